//! How requests, attempts and stops are judged by the four rules.
use stairfront_common::time::{to_ms, Micros, MS};

use super::record::{AttemptRecord, RequestRecord, SentRequest};
use super::report::Rule;
use super::{AnnouncedState, AttemptStart, ClientAnswer, CordonChange, Pause, RuleChecker};
use crate::client::Idempotency;

/// Time that a balancer needs after a pause to answer what has arrived meanwhile.
const CATCH_UP_TIME: Micros = 200 * MS;

impl RuleChecker {
    /// Rule 4, for the origin.
    pub(super) fn judge_origin_stop(&mut self, at: Micros) {
        let cold_misses = self
            .origin_requests
            .iter()
            .filter(|request| self.cold_misses.contains_key(&request.id))
            .count();
        let fraction = cold_misses as f64 / self.origin_requests.len().max(1) as f64;
        let metrics = &mut self.report.metrics;
        metrics.origin_stops += 1;
        metrics.max_cold_fraction = metrics.max_cold_fraction.max(fraction);
        if fraction >= self.limits.max_cold_fraction {
            self.report.add_violation(Rule::NoOverload, || {
                format!(
                    "{:.1} ms: the origin stopped, {fraction:.2} of its fetches from cold misses",
                    to_ms(at)
                )
            });
        }
    }

    pub(super) fn judge_request(&mut self, id: u64, request: &RequestRecord) {
        let Some(sent) = request.sent else {
            if !request.attempts.is_empty() {
                self.report.add_violation(Rule::OneEffect, || {
                    format!("{id:016x}: came to a server, and no client sent it")
                });
            }
            return;
        };
        self.report.metrics.requests += 1;
        self.judge_answers(id, request, sent);
        let mut attempts = request.attempts.clone();
        attempts.sort_by_key(|attempt| attempt.started);
        self.judge_attempts(id, &attempts);
        self.judge_effects(id, request, sent.class, &attempts);
    }

    /// Rule 1.
    fn judge_answers(&mut self, id: u64, request: &RequestRecord, sent: SentRequest) {
        let ended_at = request.lost.or(request.closed).unwrap_or(sent.deadline);
        let open_until = ended_at + self.limits.slack;
        let was_paused = self.was_paused(sent, open_until);
        self.report.metrics.answered += u64::from(!request.answers.is_empty());
        let Some(first) = request.answers.first() else {
            let gave_up = request.closed.is_some_and(|at| at <= sent.deadline);
            if was_paused || gave_up || self.was_stopped(sent, open_until) {
                self.report.metrics.excused += 1;
            } else {
                self.report.add_violation(Rule::OneAnswer, || {
                    describe_missing_answer(id, request, sent)
                });
            }
            return;
        };
        let lateness = to_ms(first.at - sent.deadline);
        let metrics = &mut self.report.metrics;
        metrics.max_lateness_ms = metrics.max_lateness_ms.max(lateness);
        if request.answers.len() > 1 {
            self.report.add_violation(Rule::OneAnswer, || {
                format!("{id:016x}: {} answers", request.answers.len())
            });
        }
        if first.answer == (ClientAnswer::Value { own: false }) {
            self.report.add_violation(Rule::OneAnswer, || {
                format!("{id:016x}: served with what was made for another request")
            });
        }
        if first.at > sent.deadline + self.limits.slack && !was_paused {
            self.report.metrics.late += 1;
            self.report.add_violation(Rule::OneAnswer, || {
                format!("{id:016x}: answered {lateness:.1} ms past its time")
            });
        }
    }

    /// Whether the balancer was killed or ended while it held the request, or as the connection ended.
    fn was_stopped(&self, sent: SentRequest, open_until: Micros) -> bool {
        self.stops
            .get(&sent.balancer)
            .into_iter()
            .flatten()
            .any(|at| (sent.at - self.limits.slack..=open_until).contains(at))
    }

    /// Whether the balancer was paused while it held the request.
    fn was_paused(&self, sent: SentRequest, open_until: Micros) -> bool {
        let overlaps = |pause: &Pause| {
            pause.from <= open_until && sent.at <= pause.until.saturating_add(CATCH_UP_TIME)
        };
        self.pauses
            .get(&sent.balancer)
            .into_iter()
            .flatten()
            .any(overlaps)
    }

    /// Rule 2, the attempts: not too many, and no two in flight together.
    fn judge_attempts(&mut self, id: u64, attempts: &[AttemptRecord]) {
        let at_origin = attempts
            .iter()
            .filter(|attempt| attempt.host == self.limits.origin)
            .count();
        let at_caches = attempts.len() - at_origin;
        let metrics = &mut self.report.metrics;
        metrics.attempts += attempts.len() as u64;
        metrics.retries += (at_origin.saturating_sub(1) + at_caches.saturating_sub(1)) as u64;
        metrics.max_attempts = metrics.max_attempts.max(attempts.len() as u64);
        if attempts.len() > self.limits.max_attempts {
            self.report.add_violation(Rule::OneEffect, || {
                format!("{id:016x}: {} attempts", attempts.len())
            });
        }
        for pair in attempts.windows(2) {
            self.judge_overlap(id, &pair[0], &pair[1]);
        }
    }

    fn judge_overlap(&mut self, id: u64, first: &AttemptRecord, second: &AttemptRecord) {
        // The end of the second does not matter: the first has to end before the second starts.
        let overlap_ms = first
            .ended
            .map_or(f64::INFINITY, |ended| to_ms(ended - second.started));
        let metrics = &mut self.report.metrics;
        metrics.max_overlap_ms = metrics.max_overlap_ms.max(overlap_ms.min(1e9));
        if !self.limits.allow_overlap && overlap_ms > to_ms(self.limits.slack) {
            self.report.add_violation(Rule::OneEffect, || {
                format!(
                    "{id:016x}: at hosts {} and {} for {overlap_ms:.1} ms together",
                    first.host, second.host
                )
            });
        }
    }

    /// Rule 2, the effects: at most one where a repeat does harm.
    fn judge_effects(
        &mut self,
        id: u64,
        request: &RequestRecord,
        class: u8,
        attempts: &[AttemptRecord],
    ) {
        let idempotency = self
            .limits
            .classes
            .get(usize::from(class))
            .copied()
            .unwrap_or_default();
        let executed = attempts.iter().filter(|attempt| attempt.executed).count() as u64;
        let applied = u64::from(request.effects);
        let effects = match idempotency {
            Idempotency::Idempotent => return,
            Idempotency::Keyed => applied,
            Idempotency::NotIdempotent => executed.max(applied),
        };
        let metrics = &mut self.report.metrics;
        metrics.max_effects = metrics.max_effects.max(effects);
        if effects > 1 {
            self.report.add_violation(Rule::OneEffect, || {
                format!("{id:016x}: took effect {effects} times")
            });
        }
        // A rejection tells the client that a retry does no harm.
        let is_rejected = request
            .answers
            .iter()
            .any(|received| received.answer == ClientAnswer::Rejected);
        if idempotency == Idempotency::NotIdempotent && is_rejected && executed > 0 {
            self.report.add_violation(Rule::OneEffect, || {
                format!("{id:016x}: refused after it had run")
            });
        }
    }

    /// Rule 3, for cordons: they are confirmed only once every balancer knows of them, so that there is no grace.
    pub(super) fn judge_cordon(&mut self, start: AttemptStart) {
        let AttemptStart { at, balancer, host } = start;
        let applies = |change: &&CordonChange| {
            change.host == host && change.balancer.is_none_or(|only| only == balancer)
        };
        let last = self
            .cordon_changes
            .iter()
            .filter(applies)
            .rfind(|change| change.at <= at);
        let Some(change) = last.filter(|change| change.cordoned) else {
            return;
        };
        let elapsed = at - change.at;
        let elapsed_ms = to_ms(elapsed);
        let metrics = &mut self.report.metrics;
        metrics.max_after_cordon_ms = metrics.max_after_cordon_ms.max(elapsed_ms);
        if elapsed > self.limits.slack {
            self.report.add_violation(Rule::NothingToDraining, || {
                format!(
                    "{:.1} ms: host {host} got something new from balancer {balancer} {elapsed_ms:.1} ms after the \
                     group's yes",
                    to_ms(at)
                )
            });
        }
    }

    /// Rule 3, for drains.
    pub(super) fn judge_drain(&mut self, start: AttemptStart) {
        let AttemptStart { at, balancer, host } = start;
        let Some(announcements) = self.announcements.get(&(balancer, host)) else {
            return;
        };
        // The first of the announcements in a row that the host drains: a repeat gives no new grace.
        let mut draining_since = None;
        for announcement in announcements.iter().filter(|known| known.at <= at) {
            draining_since = match announcement.state {
                AnnouncedState::Draining => draining_since.or(Some(announcement.at)),
                AnnouncedState::Serving => None,
            };
        }
        let Some(since) = draining_since else { return };
        let elapsed = at - since;
        let elapsed_ms = to_ms(elapsed);
        let metrics = &mut self.report.metrics;
        metrics.max_after_drain_ms = metrics.max_after_drain_ms.max(elapsed_ms);
        if elapsed > self.limits.grace + self.limits.slack {
            self.report.add_violation(Rule::NothingToDraining, || {
                format!(
                    "host {host} got something new {elapsed_ms:.1} ms after balancer {balancer} was told"
                )
            });
        }
    }
}

fn describe_missing_answer(id: u64, request: &RequestRecord, sent: SentRequest) -> String {
    if let Some(lost) = request.lost {
        return format!(
            "{id:016x}: lost with its connection after {:.1} ms",
            to_ms(lost - sent.at)
        );
    }
    let attempts: Vec<(u16, Micros, Option<Micros>)> = request
        .attempts
        .iter()
        .map(|attempt| (attempt.host, attempt.started, attempt.ended))
        .collect();
    format!(
        "{id:016x}: no answer in its {:.1} ms, sent to b{} at {:.1}; its attempts: {attempts:?}",
        to_ms(sent.deadline - sent.at),
        sent.balancer,
        to_ms(sent.at)
    )
}
