//! The program: without arguments a balancer as the platform starts one; else what its subcommands say.
mod check;
mod command_line;
mod demo;
mod door;
mod lab;
mod maintenance;
mod members;
mod serve;
mod stand_in;

use std::process::ExitCode;

use clap::Parser;
use command_line::{Arguments, Command};

/// A faulty file, as of a faulty command line.
const FAULTY: u8 = 2;

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
        Some(Command::StandIn(what)) => stand_in::stand_in(what),
        Some(Command::Members(arguments)) => members::members(&arguments),
        Some(Command::Maintenance(arguments)) => maintenance::maintenance(&arguments),
        Some(Command::Lab(arguments)) => lab::lab(&arguments),
    }
}
