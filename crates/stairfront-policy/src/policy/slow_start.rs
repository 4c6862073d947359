//! Slow start: a cache that has just started is cold and weaker, and gets requests from a budget
//! that grows with its age.
use std::collections::BTreeMap;

use stairfront_common::time::{Micros, SECOND};

use super::server::{Role, Server};
use super::Policy;
use crate::interface::{CacheId, Kind};

/// Requests a second that a cold cache always gets from all balancers together, so that it warms
/// up.
const TRICKLE_PER_SECOND: f64 = 1.5;
/// Fraction of the stated budget of a cold cache that all balancers together may save up.
const SAVED_FRACTION: f64 = 0.3;
/// Time constant of the rates of one server, in microseconds.
pub(super) const RATE_TIME_CONSTANT: f64 = 4.0 * SECOND as f64;
/// Time between two measurements of the whole fleet: a tenth of the time constant of what they
/// measure. One walk over all servers for each request would be too much.
pub(super) const MEASUREMENT_INTERVAL: Micros = RATE_TIME_CONSTANT as Micros / 10;

/// Rates of the warm caches, as of the last measurement.
#[derive(Default)]
pub(super) struct FleetRates {
    /// Mean rate of attempts sent to a warm cache, per second.
    pub(super) warm_rate: f64,
    /// Mean rate that a warm cache of each machine kind accepts, per second. A kind without a warm
    /// cache keeps its last.
    by_kind: BTreeMap<Kind, f64>,
    /// When they were measured.
    pub(super) measured_at: Micros,
}

/// A mean that is being computed.
#[derive(Clone, Copy, Default)]
struct RunningMean {
    sum: f64,
    count: f64,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }
}

impl Policy {
    /// Measures the rates of the fleet, if that is due.
    pub(super) fn update_fleet_rates(&mut self, now: Micros) {
        if now - self.fleet_rates.measured_at < MEASUREMENT_INTERVAL {
            return;
        }
        self.fleet_rates.measured_at = now;
        let mut sent = RunningMean::default();
        let mut completed_by_kind = BTreeMap::<Kind, RunningMean>::new();
        for server in self.ring_servers() {
            if self.capacity_fraction(server, now) < 1.0 {
                continue;
            }
            sent.add(server.sent_rate.per_second(now, RATE_TIME_CONSTANT));
            let completed = server.completed_rate.per_second(now, RATE_TIME_CONSTANT);
            let kind = server.endpoint.kind;
            completed_by_kind.entry(kind).or_default().add(completed);
        }
        self.fleet_rates.warm_rate = sent.sum / f64::max(sent.count, 1.0);
        let means = completed_by_kind
            .into_iter()
            .map(|(kind, mean)| (kind, mean.sum / mean.count));
        self.fleet_rates.by_kind.extend(means);
    }

    /// Fraction of its capacity that a server surely has, by the stated time of warming up.
    fn capacity_fraction(&self, server: &Server, now: Micros) -> f64 {
        let rules = &self.settings.rules;
        let incarnation = server.endpoint.incarnation;
        let age = now - incarnation;
        if server.role == Role::Origin || incarnation <= 0 || age >= rules.slow_start_window {
            return 1.0;
        }
        rules.slow_start_floor
            + (1.0 - rules.slow_start_floor) * (age.max(0) as f64 / rules.slow_start_window as f64)
    }

    /// Whether an ordinary request may be sent to the server now: it is warm, or the request's draw
    /// wins a token.
    pub(super) fn accepts_requests(&self, server: &Server, now: Micros) -> bool {
        server.is_ready()
            && (self.capacity_fraction(server, now) >= 1.0
                || self.available_tokens(server, now) > self.slow_start_draw)
    }

    /// Requests that a cold server may get from this balancer now.
    ///
    /// A cold cache that gets a multiple of its present capacity fails and does not recover. The
    /// rate at which this balancer sends to a warm cache stands for its part of the capacity, so
    /// that no other balancer has to be asked.
    pub(super) fn available_tokens(&self, server: &Server, now: Micros) -> f64 {
        let trickle = TRICKLE_PER_SECOND / f64::from(self.settings.balancers);
        // The mean of all kinds is a multiple of what the weakest kind can do, and what a full
        // cache rejected is no work that it could have done: so by kind, and completed work only.
        let warm_rate = self
            .fleet_rates
            .by_kind
            .get(&server.endpoint.kind)
            .copied()
            .unwrap_or(self.fleet_rates.warm_rate);
        let rate = (warm_rate * self.capacity_fraction(server, now)).max(trickle) / SECOND as f64;
        let saved = server.slow_start_tokens + rate * (now - server.tokens_updated_at) as f64;
        saved.min(self.max_tokens(rate))
    }

    /// Most tokens that may be saved up at this rate per microsecond.
    ///
    /// Whole tokens saved up by each of hundreds of balancers would be spent in one burst. So a
    /// part of the budget may be saved; where that is below one, a request draws for it.
    fn max_tokens(&self, rate: f64) -> f64 {
        let rules = &self.settings.rules;
        let multiple = rules.overload_multiple.max(1.0);
        let window = rules.overload_window.max(SECOND);
        (SAVED_FRACTION * multiple * rate * window as f64)
            .min((rate * SECOND as f64 / 2.0).max(1.0))
    }

    /// Spends the fraction of a token that a request has drawn for and lost; with enough draws it
    /// would otherwise always be won.
    pub(super) fn forfeit_tokens(&mut self, now: Micros, cache: CacheId) {
        let Some(server) = self.servers.get(&cache) else {
            return;
        };
        let lost =
            self.capacity_fraction(server, now) < 1.0 && self.available_tokens(server, now) < 1.0;
        if let Some(server) = self.servers.get_mut(&cache).filter(|_| lost) {
            server.slow_start_tokens = 0.0;
            server.tokens_updated_at = now;
        }
    }
}
