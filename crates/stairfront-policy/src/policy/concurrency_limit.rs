//! Concurrency limit: the window of attempts in flight at one server, with additive increase while
//! answers are in time and multiplicative decrease while they are not.
//!
//! Below one, a window stands for pauses between single attempts: hundreds of balancers with one
//! attempt each can overload a server.
use stairfront_common::time::{Micros, SECOND};

use super::outlier_detection::BUSY_UTILIZATION;
use super::server::{Role, Server};

/// First window of a cache, for all balancers together.
const INITIAL_WINDOW: f64 = 12.0;
/// Least window of a cache.
pub(super) const MIN_WINDOW: f64 = 0.1;
/// Least window of an origin, which hundreds of balancers fetch from all the time.
const MIN_ORIGIN_WINDOW: f64 = 0.01;
/// Largest window.
const MAX_WINDOW: f64 = 256.0;
/// Factor of one cut of a window above one.
const CUT_FACTOR: f64 = 0.8;
/// Factor of one cut of a window of one or less: answers are too rare there for small steps, and a
/// good one opens it.
pub(super) const SPARSE_CUT_FACTOR: f64 = 0.5;
/// Latency ratio above which a window is cut.
const MAX_LATENCY_RATIO: f64 = 1.0;
/// The same for a window of one or less: more than the variation of single answers of a healthy
/// cache.
const MAX_SPARSE_LATENCY_RATIO: f64 = 1.5;
/// The same for an origin that is not busy.
const MAX_IDLE_ORIGIN_LATENCY_RATIO: f64 = 2.0;
/// Least weight of one answer in the averages of latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.15;
/// Time constant of these averages, in microseconds.
pub(super) const LATENCY_TIME_CONSTANT: f64 = 2.0 * SECOND as f64;
/// Longest pause between two attempts that a window stands for, in microseconds.
const MAX_PAUSE: f64 = 20.0 * SECOND as f64;
/// The same in usual intervals, if that is longer: all balancers together then send a quarter of
/// the usual load.
const MAX_PAUSE_INTERVALS: f64 = 4.0;

/// Growth of a window in one round of answers in time.
///
/// All balancers together grow by one. An origin is as strong as the fleet that it stands behind is
/// large; a cache is not.
pub(super) fn window_step(role: Role, fleet_size: f64, balancers: u16) -> f64 {
    let scale = match role {
        Role::Origin => (fleet_size / INITIAL_WINDOW).max(1.0),
        Role::Cache => 1.0,
    };
    scale / f64::from(balancers)
}

/// The first window of a server with this step.
pub(super) fn initial_window(window_step: f64) -> f64 {
    (INITIAL_WINDOW * window_step).max(1.0)
}

impl Server {
    /// Whether one more attempt may be in flight, where this balancer usually sends one in
    /// `request_interval` microseconds to a cache.
    pub(super) fn has_capacity(&self, now: Micros, request_interval: f64) -> bool {
        if self.window >= 1.0 || self.in_flight > 0 {
            return f64::from(self.in_flight) < self.window;
        }
        let unit = match self.role {
            Role::Origin => self.latency_ewma.value,
            Role::Cache => request_interval.max(self.latency_ewma.value),
        };
        let max_pause = MAX_PAUSE.max(MAX_PAUSE_INTERVALS * request_interval);
        (now - self.sent_rate.last_event_at) as f64 >= (unit / self.window).min(max_pause)
    }

    /// Adapts the window to an answer, or to the lack of one, after `elapsed` microseconds, where
    /// `target` were wanted.
    pub(super) fn record_latency(&mut self, now: Micros, elapsed: f64, target: f64) {
        self.latency_ewma
            .record(now, elapsed, LATENCY_SAMPLE_WEIGHT, LATENCY_TIME_CONSTANT);
        self.latency_ratio.record(
            now,
            elapsed / target,
            LATENCY_SAMPLE_WEIGHT,
            LATENCY_TIME_CONSTANT,
        );
        if self.latency_ratio.value > self.max_latency_ratio() {
            self.cut_window(now, target);
        } else if f64::from(self.in_flight) >= self.window / 2.0 {
            let grown = self.window + self.window_step / self.window;
            self.window = if self.window < 1.0 {
                1.0
            } else {
                grown.min(MAX_WINDOW)
            };
        }
    }

    fn max_latency_ratio(&self) -> f64 {
        // An origin that is slow by nature would fetch little if it were held to a cache's times,
        // and all keys would miss again.
        if self.role == Role::Origin && self.utilization < BUSY_UTILIZATION {
            MAX_IDLE_ORIGIN_LATENCY_RATIO
        } else if self.window <= 1.0 {
            MAX_SPARSE_LATENCY_RATIO
        } else {
            MAX_LATENCY_RATIO
        }
    }

    /// Cuts the window, once in the time that an answer takes.
    pub(super) fn cut_window(&mut self, now: Micros, target: f64) {
        if now - self.window_cut_at <= target.max(self.latency_ewma.value) as Micros {
            return;
        }
        self.window_cut_at = now;
        let min_window = match self.role {
            Role::Origin => MIN_ORIGIN_WINDOW,
            Role::Cache => MIN_WINDOW,
        };
        let factor = if self.window > 1.0 {
            CUT_FACTOR
        } else {
            SPARSE_CUT_FACTOR
        };
        self.window = (self.window * factor).max(min_window);
    }
}
