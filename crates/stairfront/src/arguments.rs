//! The command line.
use std::net::SocketAddr;
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
    /// Least severe level that is logged; `debug` has a line for each attempt at a server.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub log_level: LogLevel,
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    Warn,
    Info,
    Debug,
}

/// The form of a log line.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Serve until SIGTERM.
    #[command(
        after_help = "Examples:\n  stairfront serve --config deploy/stairfront.toml\n  \
                            ROUTER_CONFIG=config.json stairfront serve"
    )]
    Serve {
        /// The configuration; without it ROUTER_CONFIG names it.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Check a configuration and list every fault by its key.
    #[command(
        after_help = "Example:\n  stairfront check deploy/stairfront.toml\n\nExit codes: 0 good, 2 faulty."
    )]
    Check {
        /// TOML for a name that ends in .toml, else the platform's JSON.
        config: PathBuf,
    },
    /// Show the balancer at work for half a minute: stand-ins, clients, and a cache that dies.
    #[command(after_help = "Example:\n  stairfront demo\n\nExit codes: 0 all rules held, 1 not.")]
    Demo,
    /// Run one stand-in server until Ctrl-C.
    #[command(subcommand)]
    StandIn(StandIn),
    /// Show who is there of a balancer's group, as that balancer sees it.
    #[command(
        after_help = "Examples:\n  stairfront members --ops 127.0.0.1:19000\n  \
                            stairfront members --ops 127.0.0.1:19000 --watch\n\n\
                            Exit codes: 0 the group is whole, 1 it is not, 2 the balancer does not answer or is in none."
    )]
    Members(MembersArguments),
    /// Plan the work at machines of a group of balancers, and show how far it is.
    #[command(
        after_help = "Examples:\n  stairfront maintenance --ops 127.0.0.1:19000 plan disks.json --dry-run\n  \
                            stairfront maintenance --ops 127.0.0.1:19000 watch\n  \
                            stairfront maintenance --ops 127.0.0.1:19000 done 17 cache-3\n\n\
                            Exit codes: 0 settled or shown, 1 refused or not settled in time, 2 no answer."
    )]
    Maintenance(MaintenanceArguments),
    /// Run an experiment with stand-ins, clients and balancer processes on this machine.
    #[command(
        after_help = "Examples:\n  stairfront lab experiments/one-slow-cache.toml\n  \
                            stairfront lab experiments/knee.toml --json knee.json --report knee.html\n\n\
                            Exit codes: 0 all rules held, 1 a rule was broken or a run failed, 2 a faulty experiment."
    )]
    Lab(LabArguments),
}

/// Arguments of `members`.
#[derive(Args)]
pub struct MembersArguments {
    /// Where that balancer's operators call (`ops` in its configuration).
    #[arg(long)]
    pub ops: SocketAddr,
    /// Ask again each second until Ctrl-C.
    #[arg(long)]
    pub watch: bool,
    /// Print the JSON of the balancer, one line an answer.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `maintenance`.
#[derive(Args)]
pub struct MaintenanceArguments {
    /// Where any balancer's operators of the group call (`ops` in its configuration).
    #[arg(long)]
    pub ops: SocketAddr,
    /// Print the JSON of the balancer.
    #[arg(long)]
    pub json: bool,
    /// Who says it, for the history; `$USER` where it is left out.
    #[arg(long)]
    pub author: Option<String>,
    #[command(subcommand)]
    pub command: MaintenanceCommand,
}

/// The subcommands of `maintenance`.
#[derive(Subcommand)]
pub enum MaintenanceCommand {
    /// Submit a plan: a file of JSON, - for standard input.
    Plan {
        file: PathBuf,
        /// Only print the order, and how long the steps may take.
        #[arg(long)]
        dry_run: bool,
    },
    /// Show what is planned.
    Show,
    /// Show it each second until Ctrl-C.
    Watch,
    /// The work at a machine is done.
    Done { plan: u64, machine: String },
    /// Take nothing further out for a plan.
    Hold { plan: u64, why: String },
    /// Go on with it.
    Resume { plan: u64 },
    /// Pass a machine over; one that is told already is given back.
    Skip { plan: u64, machine: String },
    /// End a plan; what is out stays out until its work is done.
    Drop { plan: u64 },
    /// Do not wait for a member's word at a machine, which it may still send to.
    Force {
        plan: u64,
        machine: String,
        member: String,
    },
}

/// Arguments of `lab`.
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
    /// Print no progress while it runs.
    #[arg(long)]
    pub quiet: bool,
}

/// The servers that can be stood in for.
#[derive(Subcommand)]
pub enum StandIn {
    /// A cache host that speaks RESP2.
    #[command(
        after_help = "Example:\n  stairfront stand-in cache --listen 127.0.0.1:7001 --work-ms 5"
    )]
    Cache {
        #[arg(long)]
        listen: SocketAddr,
        /// Mean work of an answer on one core, in milliseconds.
        #[arg(long, default_value_t = 2.0)]
        work_ms: f64,
        #[arg(long, default_value_t = 2)]
        cores: usize,
        /// Most requests that wait for a core.
        #[arg(long, default_value_t = 200)]
        queue: usize,
        /// Most keys kept.
        #[arg(long, default_value_t = 20_000)]
        store: usize,
        /// Has just started.
        #[arg(long)]
        cold: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// The origin, which speaks HTTP/1.1.
    #[command(
        after_help = "Example:\n  stairfront stand-in origin --listen 127.0.0.1:7000 --fills 127.0.0.1:7001"
    )]
    Origin {
        #[arg(long)]
        listen: SocketAddr,
        /// Mean work of a fetch on one core, in milliseconds.
        #[arg(long, default_value_t = 40.0)]
        work_ms: f64,
        #[arg(long, default_value_t = 8)]
        cores: usize,
        /// Caches that are given the values they missed.
        #[arg(long, value_delimiter = ',')]
        fills: Vec<SocketAddr>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Discovery's agent with a list that does not change.
    #[command(
        after_help = "Example:\n  stairfront stand-in discovery --listen 127.0.0.1:8500 \\\n    \
                            --server c1=127.0.0.1:7001 --server origin=127.0.0.1:7000"
    )]
    Discovery {
        #[arg(long)]
        listen: SocketAddr,
        /// A server as name=address; the one called origin is the origin.
        #[arg(long = "server", value_name = "NAME=ADDRESS")]
        servers: Vec<String>,
    },
}
