//! Reads the configuration, sets up the log and runs the balancer until it is told to stop.
use std::process::ExitCode;

use stairfront_balancer::config::Config;
use stairfront_balancer::server;
use stairfront_policy::Policy;
use tracing::error;

fn main() -> ExitCode {
    // Danger: the log's own complaint about a standard error that nobody reads any more would panic.
    let log = tracing_subscriber::fmt().log_internal_errors(false);
    log.with_writer(std::io::stderr).with_ansi(false).with_target(false).init();
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(problem) => {
            error!("cannot start: {problem}");
            return ExitCode::FAILURE;
        }
    };
    match server::run(config, Policy::new) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("cannot serve: {problem}");
            ExitCode::FAILURE
        }
    }
}
