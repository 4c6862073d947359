//! Protection of the origin in read-through mode: fewer of the likely misses are admitted while
//! misses end late or in error. Fetches past the origin's capacity would hold up the caches, and
//! with them the keys that they still have.
//!
//! A key that this balancer has not seen served is a likely miss.
use stairfront_common::time::{Micros, SECOND};

use super::pending_request::PendingRequest;
use super::Policy;
use crate::interface::{Action, AttemptResult, LogRecord, Outcome, Request};
use crate::statistics::Ewma;

/// Fraction of the likely misses that may end late or in error before fewer of them are admitted.
const TOLERATED_LATE_FRACTION: f64 = 0.15;
/// Least weight of one miss in that fraction.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of that fraction, in microseconds.
const TIME_CONSTANT: f64 = 2.0 * SECOND as f64;
/// Factor of one cut of the admitted fraction.
const CUT_FACTOR: f64 = 0.5;
/// Least fraction admitted.
const MIN_ADMITTED: f64 = 0.02;
/// Exponential growth of the admitted fraction, per second.
const GROWTH_PER_SECOND: f64 = 0.25;
/// Admitted fraction below which the origin counts as short of capacity.
const SHORTAGE_FRACTION: f64 = 0.45;

/// How many of the likely misses are admitted.
pub(super) struct MissAdmission {
    /// Fraction admitted, from above 0 to 1.
    pub(super) admitted_fraction: f64,
    /// Fraction of recent likely misses that ended late or in error.
    pub(super) late_fraction: Ewma,
    grown_at: Micros,
    cut_at: Micros,
    /// The last report.
    restricted: bool,
}

impl Default for MissAdmission {
    fn default() -> Self {
        MissAdmission {
            admitted_fraction: 1.0,
            late_fraction: Ewma::default(),
            grown_at: 0,
            cut_at: 0,
            restricted: false,
        }
    }
}

impl MissAdmission {
    /// Whether the origin is short of capacity.
    pub(super) fn origin_is_short(&self) -> bool {
        self.admitted_fraction < SHORTAGE_FRACTION
    }

    fn grow(&mut self, now: Micros) {
        let elapsed = (now - self.grown_at) as f64;
        let growth = (GROWTH_PER_SECOND * elapsed / SECOND as f64).exp();
        self.admitted_fraction = (self.admitted_fraction * growth).clamp(MIN_ADMITTED, 1.0);
        self.grown_at = now;
    }

    /// Whether a shortage has begun or ended since the last call, and which.
    fn take_change(&mut self) -> Option<bool> {
        if self.restricted == self.origin_is_short() {
            return None;
        }
        self.restricted = !self.restricted;
        Some(self.restricted)
    }

    /// Counts the end of a likely miss; one cut of the admitted fraction per latency objective.
    fn record(&mut self, now: Micros, late_or_failed: bool, latency_objective: Micros) {
        let sample = f64::from(u8::from(late_or_failed));
        self.late_fraction
            .record(now, sample, SAMPLE_WEIGHT, TIME_CONSTANT);
        let above_tolerance = self.late_fraction.value > TOLERATED_LATE_FRACTION;
        if late_or_failed && above_tolerance && now - self.cut_at > latency_objective {
            self.admitted_fraction = (self.admitted_fraction * CUT_FACTOR).max(MIN_ADMITTED);
            self.cut_at = now;
        }
    }
}

impl Policy {
    /// Whether this balancer has seen the request's key served where it is placed, so that a hit is
    /// likely.
    pub(super) fn is_likely_cached(&self, request: &Request) -> bool {
        request
            .key
            .and_then(|key| self.placements.get(key))
            .is_some_and(|placement| placement.cached)
    }

    /// Whether a request is to be rejected as a likely miss.
    pub(super) fn rejects_miss(
        &mut self,
        now: Micros,
        likely_cached: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.miss_admission.grow(now);
        if let Some(active) = self.miss_admission.take_change() {
            self.log(now, LogRecord::MissRejection { active }, actions);
        }
        let admitted_fraction = self.miss_admission.admitted_fraction;
        !likely_cached && admitted_fraction < 1.0 && self.rng.unit() > admitted_fraction
    }

    /// Learns from the answer to a likely miss. In cache-aside mode the origin's own window limits
    /// fetches.
    pub(super) fn record_miss(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        latency_objective: Micros,
    ) {
        let outcome = result.outcome;
        let may_have_run = !outcome.proves_no_effect() && outcome != Outcome::Reset;
        let likely_miss = |pending: &PendingRequest| !pending.likely_cached;
        if !self.is_cache_aside()
            && may_have_run
            && self.pending.get(&result.id).is_some_and(likely_miss)
        {
            let late_or_failed = outcome != Outcome::Served || result.elapsed > latency_objective;
            self.miss_admission
                .record(now, late_or_failed, latency_objective);
        }
    }
}
