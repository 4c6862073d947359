//! When requests arrive and what they ask for: an open loop, which does not wait for the answers of earlier requests.
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, SECOND};

use crate::distributions::exponential;
use crate::settings_error::SettingsError;

/// A time in which the rate of requests is multiplied.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it starts, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    /// By what the rate is multiplied.
    #[serde(rename = "times")]
    pub factor: f64,
    /// Whether the factor rises evenly from 1 over the whole time; otherwise it applies at once.
    #[serde(default)]
    pub ramp: bool,
}

impl Burst {
    fn is_valid(&self) -> bool {
        self.at_s >= 0.0 && self.duration_s > 0.0 && (0.0..=1000.0).contains(&self.factor)
    }

    fn factor(&self, at_s: f64) -> f64 {
        let progress = (at_s - self.at_s) / self.duration_s.max(1e-9);
        if !(0.0..1.0).contains(&progress) {
            1.0
        } else if self.ramp {
            1.0 + (self.factor - 1.0) * progress
        } else {
            self.factor
        }
    }
}

/// A key that draws a fraction of all requests for a while.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    /// When it starts, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    /// Fraction of the requests, between 0 and 1.
    #[serde(rename = "part")]
    pub fraction: f64,
}

/// The requests of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantTraffic {
    /// Its name.
    pub name: String,
    /// Its fraction of the normal traffic.
    pub share: f64,
    /// By what its share is multiplied during its overload.
    #[serde(default = "default_factor", rename = "times")]
    pub factor: f64,
    /// When its overload starts, in seconds.
    #[serde(default, rename = "over_at_s")]
    pub overload_at_s: f64,
    /// How long its overload lasts, in seconds.
    #[serde(default = "unlimited_s", rename = "over_s")]
    pub overload_duration_s: f64,
}

fn default_factor() -> f64 {
    1.0
}

/// Longer than any run, in seconds.
fn unlimited_s() -> f64 {
    1e9
}

impl TenantTraffic {
    fn weight(&self, at_s: f64) -> f64 {
        let overload = self.overload_at_s..self.overload_at_s + self.overload_duration_s;
        let factor = if overload.contains(&at_s) {
            self.factor
        } else {
            1.0
        };
        self.share * factor
    }
}

/// The requests of all clients of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Requests per second with every tenant at its share.
    pub rate: f64,
    /// Number of different keys.
    pub keys: u64,
    /// Exponent of the keys' popularity (Zipf's law); 0 for equal popularity.
    pub zipf: f64,
    /// Number of ranks by which the order of popularity shifts per second.
    pub drift: f64,
    /// Times with more or fewer requests.
    pub bursts: Vec<Burst>,
    /// Keys that draw a fraction of all requests.
    pub hot_keys: Vec<HotKey>,
    /// The tenants among which the requests are divided.
    pub tenants: Vec<TenantTraffic>,
    /// Fraction of the requests of each class, in the order of the experiment's classes.
    pub classes: Vec<f64>,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            rate: 500.0,
            keys: 5_000,
            zipf: 0.9,
            drift: 0.0,
            bursts: Vec::new(),
            hot_keys: Vec::new(),
            tenants: vec![TenantTraffic {
                name: "all".into(),
                share: 1.0,
                factor: 1.0,
                overload_at_s: 0.0,
                overload_duration_s: unlimited_s(),
            }],
            classes: vec![1.0],
        }
    }
}

impl Traffic {
    /// Checks that each value is in its range.
    ///
    /// # Errors
    ///
    /// Names the first key that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let error = |key: &str, reason: &str| Err(SettingsError::new(key, reason));
        if !(0.0..=10_000_000.0).contains(&self.rate) {
            return error("rate", "must be between 0 and 10,000,000 a second");
        }
        if !(1..=100_000_000).contains(&self.keys) {
            return error("keys", "must be between 1 and 100,000,000");
        }
        if !(0.0..=5.0).contains(&self.zipf) || !(0.0..=1e9).contains(&self.drift) {
            return error("zipf", "must be between 0 and 5, and drift 0 or more");
        }
        if let Some(position) = self.bursts.iter().position(|burst| !burst.is_valid()) {
            return error(
                &format!("bursts[{position}]"),
                "needs at_s of 0 or more, lasts_s above 0 and times of 1000 at most",
            );
        }
        let in_range =
            |tenant: &TenantTraffic| (0.0..=1000.0).contains(&(tenant.share * tenant.factor));
        if self.tenants.is_empty() || !self.tenants.iter().all(in_range) {
            return error(
                "tenants",
                "at least one is needed, with share and times of 0 or more",
            );
        }
        let is_fraction = |fraction: &f64| (0.0..=1.0).contains(fraction);
        if self.classes.is_empty() || !self.classes.iter().all(is_fraction) {
            return error(
                "classes",
                "at least one part is needed, each between 0 and 1",
            );
        }
        Ok(())
    }

    fn factor(&self, at_s: f64) -> f64 {
        let tenants: f64 = self.tenants.iter().map(|tenant| tenant.weight(at_s)).sum();
        self.bursts
            .iter()
            .fold(tenants, |factor, burst| factor * burst.factor(at_s))
    }

    /// Requests per second at this time.
    pub fn rate_at(&self, at: Micros) -> f64 {
        self.rate * self.factor(at as f64 / SECOND as f64)
    }

    /// An upper bound of the rate at any time.
    fn max_rate(&self) -> f64 {
        let tenants: f64 = self
            .tenants
            .iter()
            .map(|tenant| tenant.share * tenant.factor.max(1.0))
            .sum();
        self.rate
            * self
                .bursts
                .iter()
                .fold(tenants, |factor, burst| factor * burst.factor.max(1.0))
    }
}

/// The popularity of keys by Zipf's law.
#[derive(Debug)]
pub struct Popularity {
    /// Sum of the weights up to each rank.
    cumulative_weights: Vec<f64>,
}

impl Popularity {
    /// The popularity of this many keys with this exponent.
    pub fn new(keys: u64, exponent: f64) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=keys.max(1))
            .map(|rank| {
                sum += (rank as f64).powf(-exponent);
                sum
            })
            .collect();
        Popularity { cumulative_weights }
    }

    /// Draws the rank of a key: 0 for the most popular.
    pub fn draw(&self, random: &mut SeededRng) -> u64 {
        let total = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let position = random.unit() * total;
        self.cumulative_weights
            .partition_point(|sum| *sum <= position)
            .min(self.cumulative_weights.len() - 1) as u64
    }
}

/// One request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// Number of its key. Numbers from [`Traffic::keys`] on are hot keys.
    pub key: u64,
    /// Position of its class.
    pub class: u8,
    /// Position of its tenant.
    pub tenant: u16,
}

/// The requests of one source in order of time: a Poisson process whose rate follows the traffic, by thinning a process
/// of the highest rate (Lewis and Shedler, 1979).
pub struct Arrivals {
    traffic: Traffic,
    popularity: Arc<Popularity>,
    random: SeededRng,
    /// Time of the last candidate, in seconds.
    at_s: f64,
    /// Fraction of the whole traffic that this source has.
    fraction: f64,
    max_rate: f64,
}

impl Arrivals {
    /// One of `sources` sources among which the traffic is divided evenly.
    pub fn new(
        traffic: Traffic,
        popularity: Arc<Popularity>,
        seed: u64,
        source: usize,
        sources: usize,
    ) -> Self {
        let max_rate = traffic.max_rate();
        Arrivals {
            traffic,
            popularity,
            random: SeededRng::for_part(seed, &format!("arrivals-{source}")),
            at_s: 0.0,
            fraction: 1.0 / sources.max(1) as f64,
            max_rate,
        }
    }

    /// The next request that arrives before `end`, if there is one.
    pub fn next_before(&mut self, end: Micros) -> Option<Arrival> {
        let end_s = end as f64 / SECOND as f64;
        if self.max_rate <= 0.0 {
            return None;
        }
        loop {
            self.at_s += exponential(&mut self.random) / (self.max_rate * self.fraction);
            if self.at_s >= end_s {
                return None;
            }
            let rate = self.traffic.rate * self.traffic.factor(self.at_s);
            if self.random.unit() * self.max_rate < rate {
                return Some(self.arrival());
            }
        }
    }

    fn arrival(&mut self) -> Arrival {
        let at_s = self.at_s;
        let tenants = self
            .traffic
            .tenants
            .iter()
            .map(|tenant| tenant.weight(at_s));
        let tenant = pick_weighted(tenants, self.random.unit());
        let classes = self.traffic.classes.iter().copied();
        let class = pick_weighted(classes, self.random.unit());
        Arrival {
            at: (at_s * SECOND as f64) as Micros,
            key: self.draw_key(),
            class: class as u8,
            tenant: tenant as u16,
        }
    }

    fn draw_key(&mut self) -> u64 {
        let shift = (self.traffic.drift * self.at_s) as u64;
        let mut key = (self.popularity.draw(&mut self.random) + shift) % self.traffic.keys;
        for (i, hot) in self.traffic.hot_keys.iter().enumerate() {
            let draw = self.random.unit();
            let is_hot = (hot.at_s..hot.at_s + hot.duration_s).contains(&self.at_s);
            if is_hot && draw < hot.fraction {
                // A key of its own, so that its requests add to those of no other key.
                key = self.traffic.keys + i as u64;
            }
        }
        key
    }
}

/// Position in a list of weights, by a draw between 0 and 1.
fn pick_weighted(weights: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let mut remaining = draw * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = i;
            if remaining < weight {
                return i;
            }
        }
        remaining -= weight;
    }
    last
}
