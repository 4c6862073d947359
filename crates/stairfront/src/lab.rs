//! Experiments from the command line.
use std::env;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use stairfront_lab::compare::{self, Results};
use stairfront_lab::experiment::Experiment;
use stairfront_lab::process::Build;
use stairfront_lab::report;
use stairfront_lab::run::{Progress, RunEnvironment};

use crate::command_line::LabArguments;
use crate::FAULTY;

const BASELINE: &str = "stairfront-baseline";

/// This program as the balancer, and the baselines beside it.
pub fn surroundings(progress: Progress) -> io::Result<RunEnvironment> {
    let program = env::current_exe()?;
    let beside = |name: &str| program.parent().unwrap_or(Path::new(".")).join(name);
    Ok(RunEnvironment {
        baseline: beside(BASELINE),
        balancer: Build {
            program,
            arguments: vec!["serve".to_string()],
        },
        folder: env::temp_dir().join("stairfront-lab"),
        progress,
    })
}

pub fn lab(arguments: &LabArguments) -> ExitCode {
    let mut experiment = match Experiment::from_file(&arguments.experiment) {
        Ok(experiment) => experiment,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::from(FAULTY);
        }
    };
    if !arguments.seeds.is_empty() {
        experiment.seeds.clone_from(&arguments.seeds);
    }
    let progress = if arguments.quiet {
        Progress::Nothing
    } else {
        Progress::Line
    };
    let ran = surroundings(progress)
        .and_then(|around| compare::experiment(&experiment, &around).map_err(io::Error::other));
    let told = ran.and_then(|results| tell(&results, arguments).map(|()| results.rules_hold()));
    match told {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}

fn tell(results: &Results, arguments: &LabArguments) -> io::Result<()> {
    let to_stdout = Some(PathBuf::from("-")) == arguments.json;
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(results)?;
        match to_stdout {
            true => writeln!(io::stdout(), "{text}")?,
            false => fs::write(path, text)?,
        }
    }
    if !to_stdout {
        write!(io::stdout(), "{}", compare::table(results))?;
    }
    if let Some(path) = &arguments.report {
        fs::write(path, report::html(results).map_err(io::Error::other)?)?;
    }
    Ok(())
}
