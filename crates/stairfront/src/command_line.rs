//! What can be said on the command line.
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// A balancer that spreads keys over cache servers in front of a slow origin.
///
/// Without a subcommand it serves with the configuration that ROUTER_CONFIG names.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub struct Arguments {
    /// Form of the log on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve until SIGTERM.
    #[command(after_help = "Examples:\n  stairfront serve --config deploy/stairfront.toml\n  \
                            ROUTER_CONFIG=config.json stairfront serve")]
    Serve {
        /// The configuration; without it ROUTER_CONFIG names it.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Run an experiment with stand-ins, clients and balancer processes on this machine.
    #[command(after_help = "Examples:\n  stairfront lab experiments/one-slow-cache.toml\n  \
                            stairfront lab experiments/knee.toml --json knee.json --report knee.html\n\n\
                            Exit codes: 0 all rules held, 1 a rule was broken or a run failed, 2 a faulty experiment.")]
    Lab(LabArguments),
}

#[derive(Args)]
pub struct LabArguments {
    /// The experiment.
    pub experiment: PathBuf,
    /// Write all figures there as JSON; - for standard output, in place of the table.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Write a report with plots over time there: one HTML file.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Use these seeds in place of the experiment's.
    #[arg(long, value_delimiter = ',')]
    pub seeds: Vec<u64>,
    /// Tell nothing while it runs.
    #[arg(long)]
    pub quiet: bool,
}
