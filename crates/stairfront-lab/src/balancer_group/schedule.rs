//! When the next thing of a group's run is due.
use std::collections::VecDeque;
use std::time::Duration;

use stairfront_common::time::{Micros, MS};
use stairfront_emulator::group_script::{GroupAction, GroupScript, ScheduledGroupAction};

/// Time between two polls of each member; longer where there are many.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const POLL_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(4);
/// Time between two bursts of junk datagrams.
const JUNK_INTERVAL: Micros = 10 * MS;

/// Times of a run's actions, polls, orders and junk.
pub(super) struct Schedule {
    actions: VecDeque<ScheduledGroupAction>,
    last_fault_end: Micros,
    faults_ended: bool,
    poll_interval: Micros,
    next_poll: Micros,
    /// Time of the next order; none if there are no orders.
    pub(super) next_order: Option<Micros>,
    next_junk: Micros,
}

impl Schedule {
    pub(super) fn new(script: &GroupScript, members: usize, now: Micros) -> Self {
        let poll_interval = POLL_INTERVAL.max(POLL_INTERVAL_PER_MEMBER * members as u32);
        Schedule {
            actions: script.actions().into(),
            last_fault_end: script.end(),
            faults_ended: false,
            poll_interval: poll_interval.as_micros() as Micros,
            next_poll: now,
            next_order: None,
            next_junk: 0,
        }
    }

    /// The next action that is due.
    pub(super) fn next_action(&mut self, now: Micros) -> Option<GroupAction> {
        let is_due = self.actions.front().is_some_and(|next| next.at <= now);
        is_due
            .then(|| self.actions.pop_front())
            .flatten()
            .map(|next| next.action)
    }

    /// True once, when the last fault has ended.
    pub(super) fn faults_have_ended(&mut self, now: Micros) -> bool {
        let ended = now >= self.last_fault_end && self.actions.is_empty() && now >= 0;
        let first = ended && !self.faults_ended;
        self.faults_ended |= ended;
        first
    }

    pub(super) fn poll_is_due(&mut self, now: Micros) -> bool {
        let due = now >= self.next_poll;
        if due {
            self.next_poll = now + self.poll_interval;
        }
        due
    }

    /// Orders are sent only while there are faults.
    pub(super) fn order_is_due(&self, now: Micros) -> bool {
        !self.faults_ended && self.next_order.is_some_and(|at| at <= now)
    }

    pub(super) fn junk_is_due(&mut self, now: Micros) -> bool {
        let due = now >= self.next_junk;
        if due {
            self.next_junk = now + JUNK_INTERVAL;
        }
        due
    }

    /// Time of the next action, poll or order.
    pub(super) fn next_due(&self) -> Micros {
        let next_action = self.actions.front().map_or(Micros::MAX, |next| next.at);
        let next_order = self.next_order.unwrap_or(Micros::MAX);
        next_action.min(self.next_poll).min(next_order)
    }
}
