//! The attempts that are open at one stand-in.
use rustc_hash::FxHashMap;
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{ConnectionId, ReplySlot};
use stairfront_emulator::rules::Observation;

use super::SharedEventLog;

/// An attempt that has not ended.
struct OpenAttempt {
    number: u64,
    id: u64,
}

/// Records attempts for the checker as they begin and end.
pub(super) struct AttemptTracker {
    host: u16,
    event_log: SharedEventLog,
    open: FxHashMap<ReplySlot, OpenAttempt>,
    last_number: u64,
}

impl AttemptTracker {
    /// A tracker for the host at this position among all hosts, which also keeps the numbers of several hosts apart.
    pub(super) fn new(host: u16, event_log: SharedEventLog) -> Self {
        AttemptTracker {
            host,
            event_log,
            open: FxHashMap::default(),
            last_number: u64::from(host) << 48,
        }
    }

    pub(super) fn host(&self) -> u16 {
        self.host
    }

    pub(super) fn record(&self, at: Micros, observation: Observation) {
        self.event_log.borrow_mut().record(at, observation);
    }

    pub(super) fn begin(&mut self, at: Micros, slot: ReplySlot, id: u64, balancer: u16) {
        self.last_number += 1;
        let number = self.last_number;
        self.open.insert(slot, OpenAttempt { number, id });
        self.record(
            at,
            Observation::AttemptStarted {
                attempt: number,
                id,
                host: self.host,
                balancer,
            },
        );
    }

    pub(super) fn end(&mut self, at: Micros, slot: ReplySlot, executed: bool) {
        if let Some(OpenAttempt { number, id }) = self.open.remove(&slot) {
            let attempt = number;
            self.record(
                at,
                Observation::AttemptEnded {
                    attempt,
                    id,
                    executed,
                },
            );
        }
    }

    pub(super) fn end_connection(&mut self, at: Micros, connection: ConnectionId) {
        let slots = self.open.keys().copied();
        let ended: Vec<ReplySlot> = slots.filter(|slot| slot.connection == connection).collect();
        ended.into_iter().for_each(|slot| self.end(at, slot, false));
    }
}
