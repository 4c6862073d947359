//! State of one server as this balancer sees it.
use stairfront_common::time::Micros;

use crate::interface::{CacheId, Endpoint, EndpointState};
use crate::statistics::{DecayingRate, Ewma};

/// Whether a server stores values or is where they come from.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Role {
    /// Stores values and belongs to the hash ring.
    #[default]
    Cache,
    /// Has all values, and is listed in cache-aside mode.
    Origin,
}

/// State of one server as this balancer sees it.
#[derive(Clone, Default)]
pub(crate) struct Server {
    /// The entry of the endpoint list as it applies here, cordons included.
    pub(crate) endpoint: Endpoint,
    /// The entry as discovery gave it.
    pub(crate) listed: Endpoint,
    /// Cache or origin.
    pub(crate) role: Role,
    /// Number of keys that this balancer has placed on this incarnation; it can fall below 0 after
    /// a hand-off.
    pub(crate) placed_keys: i64,
    /// Number of attempts in flight to it.
    pub(crate) in_flight: u32,
    /// The endpoint list lacks it or calls it removed, and that is not binding: the outcomes of
    /// attempts decide.
    pub(crate) removal_doubted: bool,
    /// Lost connections, malformed answers and unanswered attempts since the last good answer.
    pub(crate) consecutive_faults: u32,
    /// Fraction of recent attempts that ended without an answer.
    pub(crate) unanswered_fraction: Ewma,
    /// Fraction of its cores in use by its last load report.
    pub(crate) utilization: f32,
    /// Concurrency limit: number of attempts that may be in flight; below 1 it stands for pauses
    /// between attempts.
    pub(crate) window: f64,
    /// Growth of the window in one round of answers in time.
    pub(crate) window_step: f64,
    /// When the window was last cut.
    pub(crate) window_cut_at: Micros,
    /// Average answer time, in microseconds.
    pub(crate) latency_ewma: Ewma,
    /// Average of the answer time over the target of its request.
    pub(crate) latency_ratio: Ewma,
    /// Rate of attempts sent to it.
    pub(crate) sent_rate: DecayingRate,
    /// Rate of attempts that it accepted, whatever their outcome.
    pub(crate) completed_rate: DecayingRate,
    /// When a connection to it was last known to work; 0 if none is.
    pub(crate) connection_used_at: Micros,
    /// How long the connection of the last attempt had been idle; 0 for one that was new or in use.
    pub(crate) connection_idle: Micros,
    /// Slow start: requests that may be sent to it, as of `tokens_updated_at`.
    pub(crate) slow_start_tokens: f64,
    /// When `slow_start_tokens` was last set.
    pub(crate) tokens_updated_at: Micros,
}

impl Server {
    /// Its id.
    pub(crate) fn id(&self) -> CacheId {
        self.endpoint.id
    }

    /// Whether it is listed as ready and not cordoned.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Whether it is a cache that belongs to the hash ring.
    pub(crate) fn is_ring_member(&self) -> bool {
        self.role == Role::Cache && self.is_ready()
    }
}
