//! `stairfront demo`: the balancer at its main job, for a newcomer: one experiment that needs no file, shown by the second.
use std::io;
use std::process::ExitCode;

use stairfront_lab::compare::{self, Results};
use stairfront_lab::experiment::Experiment;
use stairfront_lab::run::Progress;

use crate::failure;
use crate::lab::surroundings;

const EXPERIMENT_NAME: &str = "demo.toml";
const EXPERIMENT: &str = include_str!("../../../experiments/demo.toml");

/// Runs the experiment and prints whether all rules held.
pub fn demo() -> ExitCode {
    eprintln!(
        "Six stand-in caches, an origin, two balancers and their clients, all on this machine."
    );
    eprintln!(
        "Below: answers in each second, and the attempts that each cache and the origin got.\n"
    );
    let results = match run() {
        Ok(results) => results,
        Err(error) => return failure(&error),
    };
    println!("\n{}", compare::table(&results));
    if results.rules_hold() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run() -> io::Result<Results> {
    let experiment =
        Experiment::from_text(EXPERIMENT_NAME, EXPERIMENT).map_err(io::Error::other)?;
    compare::experiment(&experiment, &surroundings(Progress::Table)?).map_err(io::Error::other)
}
