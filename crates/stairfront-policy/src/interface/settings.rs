//! Settings of one balancer: classes of requests, tenants, limits and the rules that are stated in
//! times.
use stairfront_common::time::Micros;

use super::endpoint::Location;
use super::ids::{Kind, Zone};

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Carries an idempotency key: repeats are discarded inside one scope, for `key_ttl` from the
    /// earliest attempt that may have run.
    Keyed {
        /// The caches that discard each other's repeats.
        scope: DeduplicationScope,
        /// How long a cache remembers the key.
        key_ttl: Micros,
    },
    /// Must not run twice.
    NotIdempotent,
}

/// The set of caches that discard each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All caches.
    All,
    /// The caches of one zone.
    Zone,
    /// The caches of one cell of a zone.
    Cell,
}

impl DeduplicationScope {
    /// Whether the caches at two locations discard each other's repeats.
    pub fn covers(self, a: Location, b: Location) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.zone == b.zone,
            DeduplicationScope::Cell => a == b,
        }
    }
}

/// A class of requests and what is promised for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Whether a request of this class may be repeated.
    pub idempotency: Idempotency,
    /// Time within which an answer counts in full.
    pub latency_objective: Micros,
    /// Time after which the client gives up.
    pub deadline: Micros,
    /// Priority weight: what one answer in time is worth.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the latency objective still earns.
    pub late_weight: f64,
    /// Answers are streamed to the client while they arrive.
    pub stream: bool,
}

/// A tenant and its share of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second that the tenant is entitled to, summed over all balancers.
    pub quota_per_s: f64,
    /// Fraction of the fleet's capacity that the tenant is entitled to.
    pub share: f64,
}

/// Who fetches a value that a cache lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheMode {
    /// Cache-aside: the balancer fetches from the listed origin, an endpoint of this kind, and
    /// sends writes there.
    Aside {
        /// Machine kind of the origin in the endpoint list.
        origin: Kind,
    },
    /// Read-through: the cache fetches from the origin.
    #[default]
    Through,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed without a request.
    #[default]
    Push,
    /// Changes are sent only to balancers that poll or watch.
    Poll,
}

/// A value that a load report may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in flight at the server.
    Outstanding,
    /// Requests in the server's queue.
    Backlog,
    /// Fraction of the server's cores in use.
    Utilization,
    /// Recent answer time, in milliseconds.
    RecentMs,
    /// Requests a second.
    Throughput,
    /// Errors a second.
    ErrorsPerS,
    /// A value that the decisions do not use.
    Other,
}

/// Limits on the means that a balancer may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts for one request, the first included.
    pub max_attempts: u8,
    /// A second attempt may be sent while the first is in flight (hedged requests).
    pub may_hedge: bool,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Health checks may be sent.
    pub may_probe: bool,
    /// Balancers may send messages to each other.
    pub may_gossip: bool,
    /// Longest retry advice that clients honour; 0 where none is conveyed.
    pub max_retry_after: Micros,
    /// Time limit of a connection attempt.
    pub connect_timeout: Micros,
}

/// Times and multiples that the four rules are stated in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Slack of a final answer past the client's deadline.
    pub answer_slack: Micros,
    /// Time without a call to discovery after which a balancer counts as notified of what its list
    /// lacks.
    pub poll_interval: Micros,
    /// Time from the notice of a drain or removal after which nothing new may reach the server.
    pub drain_grace: Micros,
    /// Only a server listed as draining may get nothing new; one that a list drops without that may
    /// still be used.
    pub removal_is_advisory: bool,
    /// Fraction of its capacity that a cold cache starts with, at the least.
    pub slow_start_floor: f64,
    /// Longest time from its start after which a cache is warm.
    pub slow_start_window: Micros,
    /// Multiple of its current capacity above which a cold cache is overloaded.
    pub overload_multiple: f64,
    /// Time over which that load has to last for the cache to fail.
    pub overload_window: Micros,
}

/// Weight of the slowest requests, by class and 5 s. Served requests count in full while no more
/// than the tolerated fraction missed the latency objective, and for nothing at five times that. A
/// rejection within the objective is no miss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TailLatency {
    /// Part of the result that the tail decides; 0 where only priority weights are counted.
    pub weight: f64,
    /// Fraction of requests that may miss their latency objective.
    pub tolerated_fraction: f64,
}

/// The settings of one balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this balancer among all.
    pub instance: u16,
    /// Number of balancers.
    pub balancers: u16,
    /// Zone of this balancer.
    pub zone: Zone,
    /// Interval at which events are handled.
    pub tick: Micros,
    /// Who fetches a value that a cache lacks.
    pub mode: CacheMode,
    /// How changes of the endpoint list arrive.
    pub discovery: DiscoveryMode,
    /// Classes of requests, by `ClassId`.
    pub classes: Vec<Class>,
    /// Tenants, by `TenantId`.
    pub tenants: Vec<Tenant>,
    /// Fraction of its weight that a request beyond its tenant's share keeps.
    pub over_share_weight: f64,
    /// Weight of the slowest requests.
    pub tail: TailLatency,
    /// Limits on the means that the balancer may use.
    pub limits: Limits,
    /// The times and multiples of the four rules.
    pub rules: Rules,
    /// Order of the values in load reports.
    pub report: Vec<ReportField>,
    /// Whether entries of the endpoint list carry a meaningful size.
    pub sized: bool,
}
