//! A balancer that decides by a baseline policy, started as the product is: for the lab's comparisons.
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::lifecycle::server;
use stairfront_baselines::{Baseline, Choice};
use tracing::error;

#[derive(Clone, Copy, ValueEnum)]
enum Policy {
    Random,
    LeastInFlight,
    OneChoice,
}

/// Serves with a baseline policy; configured by ROUTER_CONFIG, as the product.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[arg(long)]
    policy: Policy,
}

fn main() -> ExitCode {
    let choice = match Arguments::parse().policy {
        Policy::Random => Choice::Random,
        Policy::LeastInFlight => Choice::LeastInFlight,
        Policy::OneChoice => Choice::OneChoice,
    };
    let log = tracing_subscriber::fmt().log_internal_errors(false);
    log.with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    let served = Config::from_environment()
        .map_err(|problem| problem.to_string())
        .and_then(|config| {
            server::run(config, |set, seed| Baseline::new(choice, set, seed))
                .map_err(|e| e.to_string())
        });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("cannot serve: {problem}");
            ExitCode::FAILURE
        }
    }
}
