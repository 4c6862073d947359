//! `stairfront check`: the errors of a configuration, without serving.
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use stairfront_balancer::configuration::config::Config;

use crate::{invalid_input, INVALID_INPUT};

/// Prints every error of the configuration file at this path.
pub fn check(path: &Path) -> ExitCode {
    let name = path.display().to_string();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return invalid_input(&format!("{name}: {error}")),
    };
    let errors = Config::errors(&name, &text);
    if errors.is_empty() {
        println!("{name}: good");
        return ExitCode::SUCCESS;
    }
    for error in errors {
        eprintln!("{error}");
    }
    ExitCode::from(INVALID_INPUT)
}
