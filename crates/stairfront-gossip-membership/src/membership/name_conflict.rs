//! Two living processes with one name. Without a rule both would refute each other's assertions without end. The one that
//! started first keeps the name; the other one makes no assertions about itself; neither counts for a majority.
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS, SECOND};

use super::Membership;
use crate::action::Event;
use crate::packet::{Body, Sender};

/// Minimum interval between two notices to the other process.
const CONFLICT_NOTICE_INTERVAL: Micros = 500 * MS;
/// Time without a notice from the other process after which the conflict is over.
const CONFLICT_TTL: Micros = 3 * SECOND;

/// Another process with this member's name.
#[derive(Clone, Debug)]
pub(super) struct NameConflict {
    other_process_id: u64,
    address: SocketAddr,
    until: Micros,
    /// The other process started first and keeps the name; this one makes no assertions about itself.
    other_keeps_name: bool,
}

impl Membership {
    pub(super) fn other_process_keeps_name(&self) -> bool {
        self.name_conflict
            .as_ref()
            .is_some_and(|conflict| conflict.other_keeps_name)
    }

    /// Notifies the other process regularly: if the two only answered each other, one lost packet would make both believe
    /// that the conflict is over. Then ends a conflict whose other process is silent.
    pub(super) fn run_name_conflict(&mut self, now: Micros) {
        let Some(conflict) = &self.name_conflict else {
            return;
        };
        let is_over = conflict.until <= now;
        let address = conflict.address;
        if self.is_conflict_notice_due(now) {
            self.notify_name_conflict(now, address);
        }
        if is_over {
            self.name_conflict = None;
            let name = self.settings.name.clone();
            self.log(Event::NameConflictEnded { name });
            self.refute(now, self.incarnation + 1);
        }
    }

    pub(super) fn is_conflict_notice_due(&self, now: Micros) -> bool {
        now - self.conflict_notified_at >= CONFLICT_NOTICE_INTERVAL
    }

    pub(super) fn notify_name_conflict(&mut self, now: Micros, address: SocketAddr) {
        self.conflict_notified_at = now;
        let notice = Body::NameConflict {
            started_unix_ms: self.settings.started_unix_ms,
        };
        self.send(address, &notice, Vec::new());
    }

    /// Handles a packet of another process with this member's name.
    pub(super) fn handle_packet_of_same_name(&mut self, now: Micros, from: &Sender, body: &Body) {
        if self.is_conflict_notice_due(now) && from.address != self.settings.advertise {
            self.notify_name_conflict(now, from.address);
        }
        let Body::NameConflict { started_unix_ms } = body else {
            return;
        };
        let own_start = (self.settings.started_unix_ms, self.settings.process_id);
        let other_keeps_name = (*started_unix_ms, from.process_id) < own_start;
        let previous = self.name_conflict.replace(NameConflict {
            other_process_id: from.process_id,
            address: from.address,
            until: now + CONFLICT_TTL,
            other_keeps_name,
        });
        let is_known = previous
            .as_ref()
            .is_some_and(|conflict| conflict.other_process_id == from.process_id);
        if !is_known {
            self.metrics.name_conflicts += 1;
            let name = self.settings.name.clone();
            self.log(Event::NameConflictBegan {
                name,
                other: from.address,
                other_keeps_name,
            });
        }
        if previous.is_none() && !other_keeps_name {
            self.refute(now, self.incarnation.max(from.incarnation) + 1);
        }
    }
}
