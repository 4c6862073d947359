//! The program: without arguments a balancer as the platform starts one; else what its subcommands say.
mod command_line;
mod lab;
mod serve;

use std::process::ExitCode;

use clap::Parser;
use command_line::{Arguments, Command};

fn main() -> ExitCode {
    let Arguments { log_format, command } = Arguments::parse();
    match command {
        None => serve::serve(None, log_format),
        Some(Command::Serve { config }) => serve::serve(config.as_deref(), log_format),
        Some(Command::Lab(arguments)) => lab::lab(&arguments),
    }
}
