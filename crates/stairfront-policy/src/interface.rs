//! Events and actions of the decision module, and the types they are made of.
//!
//! Nothing here knows a wire format: an adapter (the balancer's engine, or the simulator's adapter) translates. All points
//! in time and durations are whole microseconds.

pub use crate::snapshot::PolicySnapshot;

/// A point in time or a duration, in microseconds. The clock has no meaningful start.
pub type Micros = i64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000 * MS;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// A client request at this balancer; never reused.
    RequestId(u32));
id!(/// A server of the endpoint list: a cache, or the origin where it is listed. Opaque.
    CacheId(u64));
id!(/// The hash of what a request is about; requests for one key are placed together.
    Key(u64));
id!(/// Position in `Settings::classes`.
    ClassId(u8));
id!(/// Position in `Settings::tenants`.
    TenantId(u32));
id!(/// An availability zone: machines that can be lost together.
    Zone(u8));
id!(/// A small group of caches that discard each other's repeats of a keyed request.
    Cell(u16));
id!(/// A machine kind.
    Kind(u16));

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Carries an idempotency key: repeats are discarded inside one scope, for `key_ttl` from the earliest attempt that
    /// may have run.
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
    /// Whether two caches, by zone and cell, discard each other's repeats.
    pub fn covers(self, a: (Zone, Cell), b: (Zone, Cell)) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.0 == b.0,
            DeduplicationScope::Cell => a == b,
        }
    }
}

/// A class of requests and what is promised for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// What repeating a request of this class may do.
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
    /// Cache-aside: the balancer asks the listed origin, an endpoint of this kind; writes go there too.
    Aside {
        /// Machine kind of the origin in the endpoint list.
        origin: Kind,
    },
    /// Read-through: the cache asks the origin.
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

/// What a balancer may do at all.
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
    /// Time without a call to discovery after which a balancer counts as notified of what its list lacks.
    pub poll_interval: Micros,
    /// Time from the notice of a drain or removal after which nothing new may reach the server.
    pub drain_grace: Micros,
    /// Only a server listed as draining may get nothing new; one that a list drops without that may still be used.
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

/// Weight of the slowest requests, by class and 5 s. What was served counts in full while no more than the tolerated
/// fraction missed its latency objective, and for nothing at five times that. A rejection within the objective is no miss.
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
    /// What the balancer may do at all.
    pub limits: Limits,
    /// The times and multiples of the four rules.
    pub rules: Rules,
    /// Order of the values in load reports.
    pub report: Vec<ReportField>,
    /// Whether entries of the endpoint list carry a meaningful size.
    pub sized: bool,
}

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Serves.
    #[default]
    Ready,
    /// Finishes what it has and gets nothing new.
    Draining,
    /// Has left the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server, the same at every balancer and across restarts of its process.
    pub id: CacheId,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started, which tells one incarnation from the next; 0 for long ago.
    pub incarnation: Micros,
    /// Its zone.
    pub zone: Zone,
    /// Its cell.
    pub cell: Cell,
    /// Its machine kind.
    pub kind: Kind,
    /// Its relative size, where `Settings::sized` holds.
    pub size: f32,
}

/// What discovery has said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointListUpdate<'a> {
    /// Changed entries only.
    Delta(&'a [Endpoint]),
    /// The complete list; a server that it lacks is removed.
    Full(&'a [Endpoint]),
    /// The complete list as last known, perhaps out of date.
    Cached(&'a [Endpoint]),
    /// A poll failed or a watch broke; the list in hand stands.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server gave the answer.
    Served,
    /// The server has no value for the key, which proves that nothing ran.
    Miss,
    /// The server answered with an error.
    Errored,
    /// The server's queue was full and it rejected the attempt unseen.
    Full,
    /// The attempt's time was over.
    TimedOut,
    /// No connection came up, so nothing was sent.
    ConnectFailed,
    /// The connection was lost under the attempt.
    Reset,
    /// The answer has none of the known forms. The attempt may have run.
    Malformed,
    /// The balancer cancelled it.
    Cancelled,
    /// It was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn proves_no_effect(self) -> bool {
        matches!(
            self,
            Outcome::Miss | Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent
        )
    }
}

/// What the answering cache reported of the key (compare RFC 9211, `Cache-Status`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Nothing reported.
    None,
    /// The cache had the value.
    Hit,
    /// The cache fetched the value from the origin for this request.
    Fetched,
    /// A fetch for another request is under way.
    FetchPending,
}

/// A cache's load report: up to four values in the order of `Settings::report`.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Number of values present.
    pub len: u8,
    /// The values.
    pub values: [f32; 4],
}

impl LoadReport {
    /// The value of a field, by the order that the settings name; `None` if the report lacks it.
    pub fn value(&self, report: &[ReportField], field: ReportField) -> Option<f32> {
        let i = report.iter().position(|name| *name == field)?;
        self.values
            .get(i)
            .copied()
            .filter(|_| i < usize::from(self.len))
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its number at this balancer.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its key, if it has one.
    pub key: Option<Key>,
    /// When the client gives up on it.
    pub expires_at: Micros,
    /// Whether it writes.
    pub write: bool,
    /// Marked by the client as a retry, where clients do so.
    pub retry: bool,
}

/// How one attempt for a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// The server it went to.
    pub cache: CacheId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer, by this attempt or earlier.
    pub request_finished: bool,
    /// Time from sending to the end.
    pub elapsed: Micros,
    /// What the cache reported of the key.
    pub cache_status: CacheStatus,
    /// The server's load report.
    pub load: LoadReport,
}

/// What has happened, told to the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// News of the endpoint list.
    EndpointList(EndpointListUpdate<'a>),
    /// A client's request has arrived.
    Request(Request),
    /// An attempt has ended.
    AttemptFinished(AttemptResult),
    /// A streamed answer has begun; the attempt belongs to the client from here.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// The client has left before its answer.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer set by `Action::Timer` is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server.
        cache: CacheId,
        /// How it ended.
        outcome: Outcome,
        /// Time from sending to the end.
        elapsed: Micros,
        /// The server's load report.
        load: LoadReport,
    },
    /// A message from another balancer.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// The message.
        body: &'a [u8],
    },
    /// State exported by the previous process; given after the first list, which takes precedence.
    Inherited(&'a PolicySnapshot),
    /// New settings apply from now on. Classes keep their positions; `tenants` holds for each new tenant its position
    /// before. Requests in progress keep the class and the number of attempts that they were admitted with.
    SettingsChanged {
        /// The new settings.
        settings: &'a Settings,
        /// For each new tenant, its position in the former settings.
        tenants: &'a [Option<usize>],
    },
    /// This balancer shuts down: what it has admitted and will still admit has to be answered by then.
    ShuttingDown {
        /// When the process ends.
        by: Micros,
    },
    /// Operators take a cache out of service, whatever the list says of it, or give it back after its restart.
    Cordon {
        /// The cache.
        cache: CacheId,
        /// Whether it is taken out.
        on: bool,
    },
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        cache: CacheId,
        /// Time limit of the attempt.
        timeout: Micros,
        /// The whole command has to reach the server within this time, or it may not be sent at all. Set for the retry
        /// of a keyed request, whose first byte may wait for a connection until the key's time is over.
        send_within: Option<Micros>,
    },
    /// Reject a request: nothing ran, so a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client may come again; 0 for no advice.
        retry_after: Micros,
    },
    /// Answer a request with a failure, which promises nothing.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Give `Event::Timer` with this token after the delay.
    Timer {
        /// The delay.
        delay: Micros,
        /// The token.
        token: u64,
    },
    /// Send a health check.
    HealthCheck {
        /// The server.
        cache: CacheId,
    },
    /// Close idle connections to a server.
    Disconnect {
        /// The server.
        cache: CacheId,
    },
    /// Send a message to another balancer, or to all.
    SendToPeer {
        /// Number of the receiver; `None` for all.
        peer: Option<u16>,
        /// The message.
        body: Vec<u8>,
    },
    /// Open or close the watch of the endpoint list.
    Watch(bool),
    /// Poll the endpoint list once.
    PollList,
    /// Write a log line.
    Log(String),
}
