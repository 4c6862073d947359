//! The course of an admitted request, from its first attempt to its final answer.
use stairfront_common::time::Micros;

use super::pending_request::{PendingRequest, Stage};
use super::timer_token::TimerToken;
use super::Policy;
use crate::interface::{Action, RequestId};

/// Ticks before the client leaves at which the final answer is given.
const ANSWER_MARGIN_TICKS: Micros = 2;

impl Policy {
    /// Time before the client leaves at which the final answer is given.
    pub(super) fn answer_margin(&self) -> Micros {
        ANSWER_MARGIN_TICKS * self.settings.tick
    }

    /// When the final answer is given at the latest: while it still earns something, and before the
    /// client leaves.
    ///
    /// A fetch goes on past the objective: its value is stored for the next reader only if its own
    /// reader waits.
    pub(super) fn answer_due_at(&self, pending: &PendingRequest) -> Micros {
        let last = pending.request.expires_at - self.answer_margin();
        let late_answers_count =
            pending.class.late_weight > 0.0 && self.settings.tail.weight <= 0.0;
        if late_answers_count || pending.stage == Stage::OriginFetch {
            last
        } else {
            last.min(pending.objective_at)
        }
    }

    /// Sends a request to a server, lets it share the fetch of its key, or answers it.
    pub(super) fn dispatch(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let is_cache_aside = self.is_cache_aside();
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.stage = Stage::Attempt;
        let is_write_to_origin = pending.request.write && is_cache_aside;
        if !is_write_to_origin && self.share_fetch(id) {
            return;
        }
        let server = if is_write_to_origin {
            self.select_origin()
        } else {
            self.select_cache(now, id)
        };
        match server {
            Some(server) if self.may_send(now, id, server) => self.send(now, id, server, actions),
            _ => self.finish_unserved(now, id, actions),
        }
    }

    /// Handles the timer of the final answer. Every request has one, so that each is answered
    /// whatever became of its attempts.
    pub(super) fn on_deadline(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let due_at = self.answer_due_at(pending);
        if due_at > now && pending.in_flight.is_some() {
            actions.push(Action::Timer {
                delay: due_at - now,
                token: TimerToken::Deadline(id).encode(),
            });
        } else {
            // Caches that answer all requests too late reject none, so this is what shows the
            // pressure.
            self.load_shedding.record(true);
            self.finish_unserved(now, id, actions);
        }
    }

    /// Gives the final answer to a request that no server has answered.
    pub(super) fn finish_unserved(
        &mut self,
        now: Micros,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        actions.push(if pending.may_reject() {
            Action::Reject {
                id,
                retry_after: self.settings.limits.max_retry_after,
            }
        } else {
            Action::Fail { id }
        });
        self.finish(now, id, false, actions);
    }

    /// Ends a request that has its final answer, and with it the fetch that it led.
    pub(super) fn finish(
        &mut self,
        now: Micros,
        id: RequestId,
        value_stored: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if let Some(key) = pending.request.key {
            self.finish_fetch(now, id, key, value_stored, actions);
        }
    }
}
