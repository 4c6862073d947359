//! `stairfront lab`: an experiment and its results.
use std::env;
use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use stairfront_lab::compare::{self, Results};
use stairfront_lab::experiment::Experiment;
use stairfront_lab::process::Build;
use stairfront_lab::report;
use stairfront_lab::run::{Progress, RunEnvironment};

use crate::arguments::LabArguments;
use crate::{failure, invalid_input};

const BASELINE_PROGRAM: &str = "stairfront-baseline";
const STANDARD_OUTPUT: &str = "-";

/// Runs an experiment and prints or writes its results.
pub fn lab(arguments: &LabArguments) -> ExitCode {
    let mut experiment = match Experiment::from_file(&arguments.experiment) {
        Ok(experiment) => experiment,
        Err(error) => return invalid_input(&error),
    };
    if !arguments.seeds.is_empty() {
        experiment.seeds.clone_from(&arguments.seeds);
    }
    match run(&experiment, arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => failure(&error),
    }
}

/// This program as the balancer, and the baselines beside it.
pub fn surroundings(progress: Progress) -> io::Result<RunEnvironment> {
    let program = env::current_exe()?;
    let directory = program.parent().unwrap_or(Path::new("."));
    Ok(RunEnvironment {
        baseline: directory.join(BASELINE_PROGRAM),
        balancer: Build {
            program,
            arguments: vec!["serve".to_string()],
        },
        folder: env::temp_dir().join("stairfront-lab"),
        progress,
    })
}

/// Whether the rules held.
fn run(experiment: &Experiment, arguments: &LabArguments) -> io::Result<bool> {
    let progress = if arguments.quiet {
        Progress::Nothing
    } else {
        Progress::Line
    };
    let results =
        compare::experiment(experiment, &surroundings(progress)?).map_err(io::Error::other)?;
    write_results(&results, arguments)?;
    Ok(results.rules_hold())
}

fn write_results(results: &Results, arguments: &LabArguments) -> io::Result<()> {
    let json_to_stdout = arguments.json.as_deref() == Some(Path::new(STANDARD_OUTPUT));
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(results)?;
        if json_to_stdout {
            writeln!(io::stdout(), "{text}")?;
        } else {
            fs::write(path, text)?;
        }
    }
    if !json_to_stdout {
        write!(io::stdout(), "{}", compare::table(results))?;
    }
    if let Some(path) = &arguments.report {
        fs::write(path, report::html(results).map_err(io::Error::other)?)?;
    }
    Ok(())
}
