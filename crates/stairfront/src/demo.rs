//! The balancer at its main job, for a newcomer: one experiment that needs no file, told second by second.
use std::io;
use std::process::ExitCode;

use stairfront_lab::compare;
use stairfront_lab::experiment::Experiment;
use stairfront_lab::run::Progress;

use crate::lab::surroundings;

const EXPERIMENT: &str = include_str!("../../../experiments/demo.toml");

pub fn demo() -> ExitCode {
    eprintln!(
        "Six stand-in caches, an origin, two balancers and their clients, all on this machine."
    );
    eprintln!(
        "Below: answers in each second, and the attempts that each cache and the origin got.\n"
    );
    let ran = Experiment::from_text("demo.toml", EXPERIMENT)
        .map_err(io::Error::other)
        .and_then(|experiment| {
            compare::experiment(&experiment, &surroundings(Progress::Table)?)
                .map_err(io::Error::other)
        });
    match ran {
        Ok(results) => {
            println!("\n{}", compare::table(&results));
            if results.rules_hold() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}
