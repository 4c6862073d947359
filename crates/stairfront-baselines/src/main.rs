//! A balancer that decides by a baseline policy and is started like the product: for the lab's comparisons.
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::lifecycle::server;
use stairfront_baselines::{Baseline, SelectionPolicy};
use tracing::error;

#[derive(Clone, Copy, ValueEnum)]
enum PolicyArgument {
    Random,
    LeastInFlight,
    #[value(name = "one-choice")]
    ConsistentHash,
}

impl From<PolicyArgument> for SelectionPolicy {
    fn from(argument: PolicyArgument) -> Self {
        match argument {
            PolicyArgument::Random => SelectionPolicy::Random,
            PolicyArgument::LeastInFlight => SelectionPolicy::LeastInFlight,
            PolicyArgument::ConsistentHash => SelectionPolicy::ConsistentHash,
        }
    }
}

/// Serves with a baseline policy; configured by ROUTER_CONFIG, as the product.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[arg(long)]
    policy: PolicyArgument,
}

fn main() -> ExitCode {
    let policy = SelectionPolicy::from(Arguments::parse().policy);
    tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => {
            error!(%error, "cannot serve");
            return ExitCode::FAILURE;
        }
    };
    let served = server::run(config, |settings, seed| {
        Baseline::new(policy, settings, seed)
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "cannot serve");
            ExitCode::FAILURE
        }
    }
}
