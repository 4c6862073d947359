//! Events and actions of the decision module, and the types they are made of.
//!
//! Nothing here knows a wire format: an adapter (the balancer's engine, or the simulator's adapter)
//! translates. All points in time and durations are whole microseconds.
mod endpoint;
mod ids;
mod log_record;
mod settings;

pub use stairfront_common::time::{Micros, MS, SECOND};

pub use self::endpoint::{Endpoint, EndpointListUpdate, EndpointState, Location};
pub use self::ids::{CacheId, Cell, ClassId, Key, Kind, RequestId, TenantId, Zone};
pub use self::log_record::LogRecord;
pub use self::settings::{
    CacheMode, Class, DeduplicationScope, DiscoveryMode, Idempotency, Limits, ReportField, Rules,
    Settings, TailLatency, Tenant,
};
pub use crate::snapshot::PolicySnapshot;

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

/// Status of the key as reported by the answering cache (compare RFC 9211, `Cache-Status`).
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
    /// How long it may have waited until it was read; 0 where the reader was in time.
    pub waited: Micros,
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
    /// Status of the key as reported by the cache.
    pub cache_status: CacheStatus,
    /// The server's load report.
    pub load: LoadReport,
}

/// An event that the policy decides on.
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
    /// New settings apply from now on. Classes keep their positions; `tenants` holds for each new
    /// tenant its position before. Requests in progress keep the class and the number of attempts
    /// that they were admitted with.
    SettingsChanged {
        /// The new settings.
        settings: &'a Settings,
        /// For each new tenant, its position in the former settings.
        tenants: &'a [Option<usize>],
    },
    /// This balancer shuts down: what it has admitted and will still admit has to be answered by
    /// then.
    ShuttingDown {
        /// When the process ends.
        by: Micros,
    },
    /// Operators take a cache out of service, whatever the list says of it, or give it back after
    /// its restart.
    Cordon {
        /// The cache.
        cache: CacheId,
        /// Whether it is taken out.
        on: bool,
    },
}

/// An instruction to the driver.
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
        /// The whole command has to reach the server within this time, or it may not be sent at
        /// all. Set for the retry of a keyed request, whose first byte may wait for a connection
        /// until the key's time is over.
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
    WatchList(bool),
    /// Poll the endpoint list once.
    PollList,
    /// Write a log line; the record's `Display` is its text.
    Log(LogRecord),
}
