//! Admission of requests: what is rejected on arrival, and how long an admitted request may take.
use stairfront_common::time::Micros;

use super::pending_request::{PendingRequest, Stage, TriedServers};
use super::timer_token::TimerToken;
use super::Policy;
use crate::interface::{Action, Class, Request};

/// Most votes that the usual time left may gather, so that a change of the clients' habit is
/// noticed.
const MAX_DEADLINE_VOTES: i32 = 500;
/// Ticks by which a request's time left may differ from the usual one.
const DEADLINE_TOLERANCE_TICKS: Micros = 4;

impl Policy {
    /// Handles a request that has arrived.
    pub(super) fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let request = self.bounded_by_shutdown(request);
        self.update_fleet_rates(now);
        self.slow_start_draw = self.rng.unit();
        self.retry_budget.deposit();
        self.tenant_usage.record(request.tenant);
        let likely_cached = self.is_likely_cached(&request);
        let rejected_as_miss = self.rejects_miss(now, likely_cached, actions);
        let class = self.settings.classes.get(usize::from(request.class.0));
        let Some(class) = class.copied() else {
            return actions.push(Action::Fail { id: request.id });
        };
        let pending = PendingRequest {
            request,
            class,
            max_attempts: self.settings.limits.max_attempts,
            objective_at: self.objective_at(now, &request, &class),
            likely_cached,
            stage: Stage::Attempt,
            attempts_sent: 0,
            in_flight: None,
            maybe_executed: None,
            tried: TriedServers::default(),
        };
        let due_at = self.answer_due_at(&pending);
        self.pending.insert(request.id, pending);
        if rejected_as_miss || due_at <= now || self.sheds(now, &request, actions) {
            return self.finish_unserved(now, request.id, actions);
        }
        actions.push(Action::Timer {
            delay: due_at - now,
            token: TimerToken::Deadline(request.id).encode(),
        });
        self.dispatch(now, request.id, actions);
    }

    fn bounded_by_shutdown(&self, request: Request) -> Request {
        let expires_at = match self.shutdown_at {
            Some(shutdown_at) => request.expires_at.min(shutdown_at),
            None => request.expires_at,
        };
        Request {
            expires_at,
            ..request
        }
    }

    /// When an answer stops being in time. A client's own retry arrives with less time left than
    /// usual; its time counts from the first attempt of the client.
    fn objective_at(&mut self, now: Micros, request: &Request, class: &Class) -> Micros {
        let arrived_at = now - request.waited;
        let time_left = request.expires_at - arrived_at;
        let tolerance = DEADLINE_TOLERANCE_TICKS * self.settings.tick;
        let votes = &mut self.usual_time_left[usize::from(request.class.0)];
        let spent = if votes.vote(time_left, tolerance, MAX_DEADLINE_VOTES) {
            0
        } else {
            (class.deadline - time_left).max(0)
        };
        (arrived_at + class.latency_objective - spent).min(request.expires_at)
    }
}
