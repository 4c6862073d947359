//! Attempts: sending one, handling its end, and the retry after it.
use stairfront_common::time::Micros;

use super::outlier_detection::{BUSY_UTILIZATION, MAX_CHANCE_FAULTS};
use super::pending_request::{MaybeExecuted, PendingRequest, Stage};
use super::server::{Role, Server};
use super::slow_start::RATE_TIME_CONSTANT;
use super::timer_token::TimerToken;
use super::Policy;
use crate::interface::{Action, AttemptResult, CacheId, Idempotency, Outcome, RequestId};

/// Fraction of unanswered attempts at a server above which an attempt is cancelled half way to its
/// objective.
const CANCEL_UNANSWERED_FRACTION: f64 = 0.08;

impl Policy {
    /// Sends an attempt.
    ///
    /// Work that is cancelled goes on at the server. So an attempt stays in flight and counts until
    /// the client leaves, unless answers get lost while the server is idle: waiting then takes all
    /// the time that a retry needs.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        cache: CacheId,
        actions: &mut Vec<Action>,
    ) {
        let answer_margin = self.answer_margin();
        let server = self.servers.get(&cache);
        let Some(tokens) = server.map(|server| self.available_tokens(server, now)) else {
            return;
        };
        let pending = self.pending.get(&id);
        let send_within = pending.and_then(|pending| self.key_time_left(now, pending));
        let (Some(pending), Some(server)) =
            (self.pending.get_mut(&id), self.servers.get_mut(&cache))
        else {
            return;
        };
        server.slow_start_tokens = (tokens - 1.0).max(0.0);
        server.tokens_updated_at = now;
        // Something on the path may drop idle connections without notice, and what is sent on one
        // is lost.
        server.connection_idle = server.idle_time(now);
        if self
            .idle_connections
            .must_close(now, server.connection_idle)
        {
            actions.push(Action::Disconnect { cache });
            server.connection_idle = 0;
        }
        server.connection_used_at = now;
        server.in_flight += 1;
        server.sent_rate.record(now, RATE_TIME_CONSTANT);
        self.in_flight_at_caches += u32::from(server.role == Role::Cache);
        pending.record_sent(now, server);
        let time_left = pending.request.expires_at - answer_margin - now;
        actions.push(Action::Send {
            id,
            cache,
            timeout: time_left.max(self.settings.tick),
            send_within,
        });
        if self.settings.limits.may_cancel {
            actions.extend(cancel_timer(now, pending, server));
        }
    }

    /// Handles the timer that cancels an attempt.
    pub(super) fn on_cancel_timer(&self, id: RequestId, attempt: u8, actions: &mut Vec<Action>) {
        let in_flight = self.pending.get(&id).and_then(|pending| pending.in_flight);
        if in_flight.is_some_and(|in_flight| in_flight.attempt == attempt) {
            actions.push(Action::Cancel { id, attempt });
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn on_attempt_finished(
        &mut self,
        now: Micros,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        self.record_outcome(now, &result, actions);
        self.confirm_removal(result.cache);
        let server = self.servers.get(&result.cache);
        let server_seems_sound =
            server.is_some_and(|server| server.consecutive_faults <= MAX_CHANCE_FAULTS);
        if let Some(pending) = self.pending.get_mut(&result.id) {
            pending.record_finished(&result, server_seems_sound);
            let is_late = now > pending.objective_at;
            let served = result.outcome == Outcome::Served;
            self.record_cached(&result);
            if result.request_finished {
                self.load_shedding.record(is_late || !served);
                self.finish(now, result.id, served, actions);
            } else {
                self.retry(now, result.id, result.outcome, actions);
            }
        }
        self.start_fetches(now, actions);
    }

    /// Learns from an answer whether the cache has the request's key.
    fn record_cached(&mut self, result: &AttemptResult) {
        if !matches!(result.outcome, Outcome::Served | Outcome::Errored) {
            return;
        }
        let Some(pending) = self.pending.get(&result.id) else {
            return;
        };
        let key = pending.request.key;
        if let Some(placement) = key.and_then(|key| self.placements.get_mut(key)) {
            if placement.cache == result.cache {
                placement.cached = result.outcome == Outcome::Served && !pending.request.write;
            }
        }
    }

    /// Sends a request again after an attempt without a final answer, or ends it.
    fn retry(&mut self, now: Micros, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let stage = pending.stage;
        if pending.attempts_sent >= pending.max_attempts
            || self.answer_due_at(pending) <= now + self.settings.tick
        {
            return self.finish_unserved(now, id, actions);
        }
        if outcome == Outcome::Miss && self.is_cache_aside() {
            if !self.share_fetch(id) {
                self.lead_fetch(now, id, actions);
            }
            return;
        }
        // A cancelled attempt is this balancer's own decision, and no failure that a retry would
        // multiply.
        let cost = if outcome == Outcome::Cancelled {
            0.0
        } else {
            1.0
        };
        let origin_failed = outcome == Outcome::Errored && self.miss_admission.origin_is_short();
        if !self.retry_budget.covers(cost) || origin_failed {
            return self.finish_unserved(now, id, actions);
        }
        self.retry_budget.withdraw(cost);
        if stage == Stage::OriginFetch {
            self.fetches.enqueue(id);
        } else {
            self.dispatch(now, id, actions);
        }
    }
}

/// The timer that cancels an attempt at a server whose answers get lost.
fn cancel_timer(now: Micros, pending: &PendingRequest, server: &Server) -> Option<Action> {
    let in_flight = pending.in_flight?;
    let delay = (pending.objective_at - now) / 2;
    let answers_get_lost = server.unanswered_fraction.value > CANCEL_UNANSWERED_FRACTION
        && server.utilization < BUSY_UTILIZATION;
    let may_cancel = pending.class.idempotency == Idempotency::Idempotent;
    let token = TimerToken::CancelAttempt {
        id: pending.request.id,
        attempt: in_flight.attempt,
    };
    (may_cancel && answers_get_lost && delay as f64 > server.latency_ewma.value).then(|| {
        Action::Timer {
            delay,
            token: token.encode(),
        }
    })
}

impl Server {
    /// How long the connection that the next attempt is sent on has been idle; 0 for a new one or
    /// one in use.
    fn idle_time(&self, now: Micros) -> Micros {
        if self.in_flight > 0 || self.connection_used_at == 0 {
            0
        } else {
            now - self.connection_used_at
        }
    }
}

impl PendingRequest {
    /// Records that an attempt was sent.
    fn record_sent(&mut self, now: Micros, server: &Server) {
        self.in_flight = Some(MaybeExecuted {
            attempt: self.attempts_sent,
            sent_at: now,
            location: server.endpoint.location(),
        });
        self.attempts_sent += 1;
        self.tried.push(server.id());
    }

    /// Records that an attempt has ended.
    fn record_finished(&mut self, result: &AttemptResult, server_seems_sound: bool) {
        let ended = self
            .in_flight
            .take_if(|in_flight| in_flight.attempt == result.attempt);
        if let Some(ended) = ended.filter(|_| !result.outcome.proves_no_effect()) {
            self.maybe_executed.get_or_insert(ended);
        }
        // The cache has what was malformed or lost on the way: on a retry it need not fetch, as
        // another would.
        let answer_lost = matches!(
            result.outcome,
            Outcome::Malformed | Outcome::Reset | Outcome::Cancelled
        );
        if answer_lost && server_seems_sound {
            self.tried.pop();
        }
    }
}
