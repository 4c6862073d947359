//! State of one open request.
use stairfront_common::time::Micros;

use crate::interface::{CacheId, Class, Location, Request};

/// An attempt that is in flight, or that may have been executed: the retry of a keyed request is
/// bound to it.
#[derive(Clone, Copy)]
pub(crate) struct MaybeExecuted {
    /// Number of the attempt, from 0.
    pub(crate) attempt: u8,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// Where its server is.
    pub(crate) location: Location,
}

/// The stage of an open request, by the event that it waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// An attempt at a cache, or a write at the origin.
    Attempt,
    /// Its own fetch from the origin, in flight or queued.
    OriginFetch,
    /// Another request's fetch of the same key.
    SharedFetch,
}

/// The last servers that a request was sent to and that are not tried again, the latest first.
#[derive(Clone, Copy, Default)]
pub(crate) struct TriedServers([Option<CacheId>; 2]);

impl TriedServers {
    /// Whether the server is among them.
    pub(crate) fn contains(&self, cache: CacheId) -> bool {
        self.0.contains(&Some(cache))
    }

    /// Adds a server; the earlier of two is forgotten.
    pub(crate) fn push(&mut self, cache: CacheId) {
        self.0 = [Some(cache), self.0[0]];
    }

    /// Removes the latest, so that it can be tried again.
    pub(crate) fn pop(&mut self) {
        self.0 = [self.0[1], None];
    }
}

/// A request that has no final answer yet.
pub(crate) struct PendingRequest {
    /// The request.
    pub(crate) request: Request,
    /// Its class as it was on admission.
    pub(crate) class: Class,
    /// Number of attempts allowed, as it was on admission.
    pub(crate) max_attempts: u8,
    /// Time after which its answer is late.
    pub(crate) objective_at: Micros,
    /// On admission its key had been served by the cache where it is placed, so a hit is likely.
    pub(crate) likely_cached: bool,
    /// The event that it waits for.
    pub(crate) stage: Stage,
    /// Number of attempts sent.
    pub(crate) attempts_sent: u8,
    /// The attempt in flight.
    pub(crate) in_flight: Option<MaybeExecuted>,
    /// The earliest ended attempt that may have been executed.
    pub(crate) maybe_executed: Option<MaybeExecuted>,
    /// Servers that it is not sent to again.
    pub(crate) tried: TriedServers,
}
