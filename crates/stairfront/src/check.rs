//! Checking a configuration without serving.
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use stairfront_balancer::configuration::config::Config;

use crate::FAULTY;

pub fn check(path: &Path) -> ExitCode {
    let name = path.display().to_string();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(problem) => {
            eprintln!("{name}: {problem}");
            return ExitCode::from(FAULTY);
        }
    };
    let faults = Config::errors(&name, &text);
    faults.iter().for_each(|fault| eprintln!("{fault}"));
    if !faults.is_empty() {
        return ExitCode::from(FAULTY);
    }
    println!("{name}: good");
    ExitCode::SUCCESS
}
