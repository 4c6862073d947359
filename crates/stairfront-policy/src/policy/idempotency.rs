//! When a request may be sent again, by the idempotency of its class.
use stairfront_common::time::Micros;

use super::pending_request::PendingRequest;
use super::Policy;
use crate::interface::{CacheId, DeduplicationScope, Idempotency, RequestId};

impl Policy {
    /// Whether a request may be sent to a server now.
    pub(super) fn may_send(&self, now: Micros, id: RequestId, cache: CacheId) -> bool {
        let (Some(pending), Some(server)) = (self.pending.get(&id), self.servers.get(&cache))
        else {
            return false;
        };
        if pending.in_flight.is_some() || pending.attempts_sent >= pending.max_attempts {
            return false;
        }
        let Some(earliest) = pending.maybe_executed else {
            return true;
        };
        match pending.class.idempotency {
            Idempotency::Idempotent => true,
            // A keyed request outside the scope or the time of its key would take effect twice.
            Idempotency::Keyed { scope, key_ttl } => {
                scope.covers(server.endpoint.location(), earliest.location)
                    && now + self.settings.tick < earliest.sent_at + key_ttl
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// Time left until a server may forget the key of a keyed retry; `None` for any other request.
    ///
    /// A retry that is decided within the time of its key may wait for a connection and be sent
    /// after it.
    pub(super) fn key_time_left(&self, now: Micros, pending: &PendingRequest) -> Option<Micros> {
        match (pending.class.idempotency, pending.maybe_executed) {
            (Idempotency::Keyed { key_ttl, .. }, Some(earliest)) => {
                Some(earliest.sent_at + key_ttl - self.settings.tick - now)
            }
            _ => None,
        }
    }
}

impl PendingRequest {
    /// Whether the request may be rejected, which tells the client that a retry is harmless.
    pub(super) fn may_reject(&self) -> bool {
        match self.class.idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NotIdempotent => {
                self.maybe_executed.is_none() && self.in_flight.is_none()
            }
        }
    }
}
