//! Outlier detection: what the outcome of an attempt says of its server.
//!
//! There is no separate list of ejected servers: faults cut the concurrency limit of the server,
//! down to single attempts that find out whether it has recovered.
use stairfront_common::time::{Micros, SECOND};

use super::concurrency_limit::{LATENCY_TIME_CONSTANT, MIN_WINDOW, SPARSE_CUT_FACTOR};
use super::server::{Role, Server};
use super::Policy;
use crate::interface::{Action, AttemptResult, CacheStatus, LogRecord, Outcome, ReportField};

/// Fraction of its cores from which a server counts as busy.
pub(super) const BUSY_UTILIZATION: f32 = 0.9;
/// Stands for a server that reports no utilization: not idle, and not known to be busy.
pub(super) const UNKNOWN_UTILIZATION: f32 = f32::MAX;
/// Lost connections and malformed answers in a row that are chance: the network's, not the
/// server's.
pub(super) const MAX_CHANCE_FAULTS: u32 = 2;
/// Attempts without an answer in a row that are chance.
const MAX_CHANCE_UNANSWERED: u32 = 8;
/// Largest window of a server after a failed connection or an error of its own.
const MAX_FAULT_WINDOW: f64 = 0.25;
/// Least weight of one attempt in the fraction of unanswered ones.
const UNANSWERED_SAMPLE_WEIGHT: f64 = 0.05;
/// Fraction of its latency objective that an answer may take on average; the rest is for variation
/// and a retry.
const TARGET_FRACTION: f64 = 0.4;

/// Measures by which the outcome of an attempt is judged.
struct AttemptContext {
    /// Time that its answer may take on average, in microseconds.
    target: f64,
    /// This balancer sends less than one request per latency objective to a cache.
    traffic_is_rare: bool,
    /// It may have been lost with an idle connection.
    possibly_lost: bool,
}

impl Policy {
    /// Learns from the end of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let latency_objective = self.latency_objective_of(result);
        let target = TARGET_FRACTION * latency_objective as f64;
        let context = AttemptContext {
            target,
            traffic_is_rare: self.request_interval() > target / TARGET_FRACTION,
            possibly_lost: self.record_connection(now, result, actions),
        };
        let is_cache_aside = self.is_cache_aside();
        let Some(server) = self.servers.get_mut(&result.cache) else {
            return;
        };
        let former_window = server.window;
        server.record_acceptance(now, result.outcome);
        // A cache that answers with errors at once looks idle and attracts requests. Where it
        // fetches by itself, the errors are the origin's.
        if result.outcome == Outcome::Errored && is_cache_aside {
            server.record_fault(now, 0);
        }
        let utilization = result
            .load
            .value(&self.settings.report, ReportField::Utilization);
        server.record_result(now, result, utilization, &context);
        server.in_flight = server.in_flight.saturating_sub(1);
        let is_cache = server.role == Role::Cache;
        self.in_flight_at_caches = self.in_flight_at_caches.saturating_sub(u32::from(is_cache));
        let record = server.window_change(former_window, result.outcome);
        self.record_miss(now, result, latency_objective);
        if let Some(record) = record {
            self.log(now, record, actions);
        }
    }

    /// The latency objective of the attempt's request, and the shortest of all if the request has
    /// ended.
    fn latency_objective_of(&self, result: &AttemptResult) -> Micros {
        let classes = &self.settings.classes;
        let shortest = classes.iter().map(|class| class.latency_objective).min();
        self.pending
            .get(&result.id)
            .map(|pending| pending.class.latency_objective)
            .or(shortest)
            .unwrap_or(SECOND)
    }

    /// Learns of the connection that the attempt was sent on; returns whether the attempt may have
    /// been lost with it.
    fn record_connection(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) -> bool {
        let server = self.servers.get(&result.cache);
        let idle = server.map_or(0, |server| server.connection_idle);
        let verdict = self.idle_connections.record(now, idle, result.outcome);
        if verdict.newly_detected {
            self.log(now, LogRecord::IdleConnectionsLost { idle }, actions);
        }
        if let Some(server) = self.servers.get_mut(&result.cache) {
            // After a loss the next attempt has a new connection, whose answer says nothing of idle
            // ones.
            server.connection_used_at = if verdict.possibly_lost { 0 } else { now };
            if verdict.possibly_lost {
                let cache = result.cache;
                actions.push(Action::Disconnect { cache });
            }
        }
        verdict.possibly_lost
    }
}

impl Server {
    /// Counts an attempt that the server accepted.
    fn record_acceptance(&mut self, now: Micros, outcome: Outcome) {
        let accepted = !matches!(
            outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent
        );
        if accepted {
            self.completed_rate
                .record(now, super::slow_start::RATE_TIME_CONSTANT);
        }
    }

    /// Adapts the window and the counts of faults to an outcome.
    fn record_result(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        utilization: Option<f32>,
        context: &AttemptContext,
    ) {
        let is_retry = result.attempt > 0;
        let elapsed = result.elapsed as f64;
        match result.outcome {
            Outcome::Served | Outcome::Miss => {
                self.record_answer(now, result, utilization, context.target);
            }
            // A malformed request gets a malformed answer at each retry, and any connection is lost
            // now and then.
            Outcome::Malformed if is_retry => {}
            // The path to the server has lost it, not the server.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset if context.possibly_lost => {}
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Malformed => {
                self.record_fault(now, MAX_CHANCE_FAULTS);
            }
            // With a request every few seconds, a count of unanswered attempts would cost a request
            // each.
            Outcome::TimedOut if context.traffic_is_rare => {
                self.record_latency(now, elapsed, context.target);
            }
            Outcome::TimedOut | Outcome::Cancelled => {
                self.record_answered(now, false);
                self.record_fault(now, MAX_CHANCE_UNANSWERED);
            }
            Outcome::Full | Outcome::Errored => self.cut_window(now, context.target),
            Outcome::NeverSent => {}
        }
    }

    fn record_answer(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        utilization: Option<f32>,
        target: f64,
    ) {
        if self.consecutive_faults > MAX_CHANCE_FAULTS {
            // It has failed and is back: one attempt at a time shows how well.
            self.window = self.window.max(1.0);
        }
        self.consecutive_faults = 0;
        self.utilization = utilization.unwrap_or(UNKNOWN_UTILIZATION);
        self.record_answered(now, true);
        // The time of a cache's own fetch says nothing of the load at the cache.
        let own_fetch = result.cache_status == CacheStatus::Fetched && self.role == Role::Cache;
        if result.outcome == Outcome::Served && !own_fetch {
            self.record_latency(now, result.elapsed as f64, target);
        }
    }

    fn record_answered(&mut self, now: Micros, answered: bool) {
        let unanswered = if answered { 0.0 } else { 1.0 };
        self.unanswered_fraction.record(
            now,
            unanswered,
            UNANSWERED_SAMPLE_WEIGHT,
            LATENCY_TIME_CONSTANT,
        );
    }

    /// Counts a fault; past `max_chance` of them in a row the window is cut. A dead or broken
    /// server answers at once, so a fault counts for more than a slow answer.
    fn record_fault(&mut self, now: Micros, max_chance: u32) {
        self.consecutive_faults += 1;
        if self.consecutive_faults > max_chance {
            self.window_cut_at = now;
            self.window = (self.window * SPARSE_CUT_FACTOR).clamp(MIN_WINDOW, MAX_FAULT_WINDOW);
        }
    }

    /// The record of a window that has fallen below one or risen to it, or of any cut of an
    /// origin's window.
    fn window_change(&self, former_window: f64, outcome: Outcome) -> Option<LogRecord> {
        let crossed_one = (self.window < 1.0) != (former_window < 1.0);
        let origin_cut = self.role == Role::Origin && self.window < former_window;
        (crossed_one || origin_cut).then_some(LogRecord::ServerWindow {
            cache: self.id(),
            window: self.window,
            outcome,
        })
    }
}
