//! The attempts that are open at one stand-in.
use rustc_hash::FxHashMap;
use stairfront_emulator::cache_host::{ConnId, Ticket};
use stairfront_emulator::rules::Seen;
use stairfront_emulator::time::Micros;

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
    open: FxHashMap<Ticket, OpenAttempt>,
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

    pub(super) fn record(&self, at: Micros, seen: Seen) {
        self.event_log.borrow_mut().record(at, seen);
    }

    pub(super) fn begin(&mut self, at: Micros, ticket: Ticket, id: u64, balancer: u16) {
        self.last_number += 1;
        let number = self.last_number;
        self.open.insert(ticket, OpenAttempt { number, id });
        self.record(
            at,
            Seen::Began {
                attempt: number,
                id,
                host: self.host,
                balancer,
            },
        );
    }

    pub(super) fn end(&mut self, at: Micros, ticket: Ticket, ran: bool) {
        if let Some(OpenAttempt { number, id }) = self.open.remove(&ticket) {
            let attempt = number;
            self.record(at, Seen::Ended { attempt, id, ran });
        }
    }

    pub(super) fn end_connection(&mut self, at: Micros, connection: ConnId) {
        let tickets = self.open.keys().copied();
        let ended: Vec<Ticket> = tickets
            .filter(|ticket| ticket.connection == connection)
            .collect();
        ended
            .into_iter()
            .for_each(|ticket| self.end(at, ticket, false));
    }
}
