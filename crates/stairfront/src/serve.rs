//! `stairfront serve`: the configuration, the log and the balancer.
use std::path::Path;
use std::process::ExitCode;

use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::lifecycle::server;
use stairfront_policy::Policy;
use tracing::{error, Level};

use crate::arguments::{LogFormat, LogLevel};

/// Serves until SIGTERM, with the configuration at this path or the one that the environment names.
pub fn serve(config: Option<&Path>, format: LogFormat, level: LogLevel) -> ExitCode {
    start_log(format, level);
    let config = match config {
        Some(path) => Config::from_file(&path.display().to_string()),
        None => Config::from_environment(),
    };
    let config = match config {
        Ok(config) => config,
        Err(error) => {
            error!(%error, "cannot start");
            return ExitCode::FAILURE;
        }
    };
    let max_placements = config.memory.max_placements();
    let build_policy =
        move |settings, seed| Policy::new(settings, seed).with_max_placements(max_placements);
    match server::run(config, build_policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "cannot serve");
            ExitCode::FAILURE
        }
    }
}

fn start_log(format: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
    };
    // An error of the log itself would be printed to standard error, which panics where nobody reads that any more.
    let log = tracing_subscriber::fmt().log_internal_errors(false);
    let log = log
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}
