//! The stairfront program: a balancer without arguments, as the platform starts one; otherwise one of its subcommands.
mod admin_client;
mod arguments;
mod check;
mod demo;
mod lab;
mod maintenance;
mod maintenance_table;
mod members;
mod serve;
mod stand_in;

use std::fmt::Display;
use std::process::ExitCode;

use arguments::{Arguments, Command};
use clap::Parser;
use tikv_jemallocator::Jemalloc;

/// Configured in `.cargo/config.toml` to return freed memory to the system at once.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

/// Exit code for invalid input: a configuration, an experiment, an address where nobody answers. It is the code that the
/// parser of the command line exits with.
const INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let Arguments {
        log_format,
        log_level,
        command,
    } = Arguments::parse();
    match command {
        None => serve::serve(None, log_format, log_level),
        Some(Command::Serve { config }) => serve::serve(config.as_deref(), log_format, log_level),
        Some(Command::Check { config }) => check::check(&config),
        Some(Command::Demo) => demo::demo(),
        Some(Command::StandIn(server)) => stand_in::stand_in(server),
        Some(Command::Members(arguments)) => members::members(&arguments),
        Some(Command::Maintenance(arguments)) => maintenance::maintenance(&arguments),
        Some(Command::Lab(arguments)) => lab::lab(&arguments),
    }
}

/// Prints an error to standard error and returns the exit code for invalid input.
fn invalid_input(error: &dyn Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(INVALID_INPUT)
}

/// Prints an error to standard error and returns the exit code for a failure.
fn failure(error: &dyn Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
