//! The parts of an experiment.
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use stairfront_emulator::arrivals::Traffic;
use stairfront_emulator::cache_host::CacheSettings;
use stairfront_emulator::client::RetrySettings;
use stairfront_emulator::origin::OriginSettings;

use crate::load::ClientBehavior;

/// The servers of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Number of caches.
    pub caches: usize,
    /// Zones that the caches are spread over in turn.
    pub zones: Vec<String>,
    /// Speeds of the caches in turn, 1 for usual ones.
    pub speeds: Vec<f64>,
    /// Lag of discovery's lists, in milliseconds.
    pub lag_ms: f64,
    /// Number of threads of stand-ins.
    pub threads: usize,
    /// All caches start cold.
    pub cold: bool,
    /// Settings of the caches.
    pub cache: CacheSettings,
    /// Settings of the origin.
    pub origin: OriginSettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            caches: 6,
            zones: vec!["a".to_string()],
            speeds: vec![1.0],
            lag_ms: 500.0,
            threads: 2,
            cold: false,
            cache: CacheSettings::default(),
            origin: OriginSettings::default(),
        }
    }
}

/// The balancers of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalancerSettings {
    /// Number of balancers.
    pub count: usize,
    /// Number of sockets that each may have.
    pub sockets: usize,
    /// Memory that each may have, in MB.
    pub memory_mb: usize,
    /// Largest number of attempts for a request.
    #[serde(rename = "most_tries")]
    pub max_attempts: u8,
    /// Time for a connection to a server, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Longest Retry-After of a rejection, in milliseconds; 0 for none.
    pub max_retry_after_ms: f64,
    /// Time after a drain notice within which a server may still get attempts (rule 3), in milliseconds.
    pub grace_ms: f64,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Priority weight of a request beyond its tenant's quota.
    #[serde(rename = "over_share_worth")]
    pub over_share_priority: f64,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            count: 1,
            sockets: 1024,
            memory_mb: 192,
            max_attempts: 3,
            connect_timeout_ms: 250.0,
            max_retry_after_ms: 1500.0,
            grace_ms: 250.0,
            may_cancel: true,
            over_share_priority: 0.2,
        }
    }
}

/// The clients of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Number of threads; 0 for one for each 40,000 requests a second.
    pub threads: usize,
    /// Requests over time.
    pub traffic: Traffic,
    /// How clients use connections.
    #[serde(rename = "habits")]
    pub behavior: ClientBehavior,
    /// How clients retry.
    pub retries: RetrySettings,
}

/// Which balancer a variant runs: this build as it is, another program, or a baseline policy of the lab.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name of the variant.
    pub name: String,
    /// `random`, `least-in-flight` or `one-choice`.
    #[serde(default)]
    pub baseline: Option<String>,
    /// Path of another program, started as the platform starts one.
    #[serde(default)]
    pub program: Option<PathBuf>,
    /// The balancers know nothing of each other, whatever `[group]` says.
    #[serde(default, rename = "apart")]
    pub no_membership: bool,
    /// The balancers know each other and agree on nothing; no plan is posted.
    #[serde(default, rename = "disagrees")]
    pub no_agreement: bool,
    /// A script at every balancer does the work of `[group.maintenance]`, and the balancers know nothing of each other.
    #[serde(default, rename = "by_hand")]
    pub manual_baseline: bool,
    /// Clients connect to the caches without a balancer: what the stand-ins and the clients can do by themselves.
    #[serde(default)]
    pub direct: bool,
    /// Keys of the balancer's `settings` and `limits`, by their paths, such as `limits.sockets`.
    #[serde(default)]
    pub set: toml::Table,
}

/// Search for the rate at which the slowest percent of answers passes the objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KneeSearch {
    /// First rate; it is doubled until it is too high, then the range is halved `steps` times.
    pub from: f64,
    /// Number of halvings.
    #[serde(default = "default_steps")]
    pub steps: u32,
    /// Largest 99th percentile of the latency from when a request was due, in milliseconds.
    pub p99_ms: f64,
    /// Multiples of the rate found, at which further runs are made.
    #[serde(default)]
    pub then: Vec<f64>,
}

fn default_steps() -> u32 {
    4
}
