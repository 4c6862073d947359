//! When requests come and what they ask for: an open loop, whatever became of earlier ones.
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::distributions::exponential;
use crate::settings_error::SettingsError;
use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, SECOND};

/// A stretch of time with other traffic.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at_s: f64,
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    #[serde(rename = "times")]
    pub factor: f64,
    /// Rises evenly to `times` over the whole stretch, where a burst is there at once.
    #[serde(default)]
    pub ramp: bool,
}

impl Burst {
    fn is_valid(&self) -> bool {
        self.at_s >= 0.0 && self.duration_s > 0.0 && (0.0..=1000.0).contains(&self.factor)
    }

    fn factor(&self, at_s: f64) -> f64 {
        let part = (at_s - self.at_s) / self.duration_s.max(1e-9);
        match (0.0..1.0).contains(&part) {
            true if self.ramp => 1.0 + (self.factor - 1.0) * part,
            true => self.factor,
            false => 1.0,
        }
    }
}

/// One key that draws a part of all traffic for a while.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    pub at_s: f64,
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    #[serde(rename = "part")]
    pub fraction: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantTraffic {
    pub name: String,
    /// Its part of the usual traffic.
    pub share: f64,
    /// Times its part that it asks for, from `over_at_s` on for `over_s`.
    #[serde(default = "one")]
    #[serde(rename = "times")]
    pub factor: f64,
    #[serde(default)]
    #[serde(rename = "over_at_s")]
    pub overload_at_s: f64,
    #[serde(default = "for_ever")]
    #[serde(rename = "over_s")]
    pub overload_duration_s: f64,
}

fn one() -> f64 {
    1.0
}

fn for_ever() -> f64 {
    1e9
}

impl TenantTraffic {
    fn weight(&self, at_s: f64) -> f64 {
        let over =
            (self.overload_at_s..self.overload_at_s + self.overload_duration_s).contains(&at_s);
        self.share * if over { self.factor } else { 1.0 }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Requests a second with every tenant at its share.
    pub rate: f64,
    pub keys: u64,
    /// Exponent of the popularity of keys after Zipf; 0 for all alike.
    pub zipf: f64,
    /// Places by which the order of popularity moves on in a second.
    pub drift: f64,
    pub bursts: Vec<Burst>,
    pub hot_keys: Vec<HotKey>,
    pub tenants: Vec<TenantTraffic>,
    /// Part of each class, in the order of the experiment's classes; none for the first alone.
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
                overload_duration_s: for_ever(),
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

    /// Requests a second wanted at that time.
    pub fn rate_at(&self, at: Micros) -> f64 {
        self.rate * self.factor(at as f64 / SECOND as f64)
    }

    /// No time has a higher rate than this.
    fn bound(&self) -> f64 {
        let tenants: f64 = self
            .tenants
            .iter()
            .map(|t| t.share * t.factor.max(1.0))
            .sum();
        self.rate
            * self
                .bursts
                .iter()
                .fold(tenants, |factor, burst| factor * burst.factor.max(1.0))
    }
}

/// Ranks of keys after Zipf, drawn by looking a number up in the sums of the weights.
#[derive(Debug)]
pub struct Popularity {
    sums: Vec<f64>,
}

impl Popularity {
    pub fn new(keys: u64, exponent: f64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=keys.max(1)).map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        });
        Popularity {
            sums: sums.collect(),
        }
    }

    /// 0 for the most popular.
    pub fn draw(&self, dice: &mut SeededRng) -> u64 {
        let whole = self.sums.last().copied().unwrap_or(1.0);
        let at = dice.unit() * whole;
        self.sums
            .partition_point(|sum| *sum <= at)
            .min(self.sums.len() - 1) as u64
    }
}

/// One request that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub at: Micros,
    pub key: u64,
    pub class: u8,
    pub tenant: u16,
}

/// The requests of one source, in order: a Poisson process whose rate follows the traffic, thinned from its bound.
pub struct Arrivals {
    traffic: Traffic,
    popularity: Arc<Popularity>,
    dice: SeededRng,
    at: f64,
    /// Part of the whole traffic that this source has.
    part: f64,
    bound: f64,
}

impl Arrivals {
    /// One of `sources` sources among which the traffic is split.
    pub fn new(
        traffic: Traffic,
        popularity: Arc<Popularity>,
        seed: u64,
        source: usize,
        sources: usize,
    ) -> Self {
        let (part, bound) = (1.0 / sources.max(1) as f64, traffic.bound());
        let dice = SeededRng::for_part(seed, &format!("arrivals-{source}"));
        Arrivals {
            traffic,
            popularity,
            dice,
            at: 0.0,
            part,
            bound,
        }
    }

    /// The next one before the time in microseconds, if any comes.
    pub fn next_before(&mut self, end: Micros) -> Option<Arrival> {
        let end_s = end as f64 / SECOND as f64;
        if self.bound <= 0.0 {
            return None;
        }
        loop {
            self.at += exponential(&mut self.dice) / (self.bound * self.part);
            if self.at >= end_s {
                return None;
            }
            if self.dice.unit() * self.bound < self.traffic.rate * self.traffic.factor(self.at) {
                return Some(self.arrival());
            }
        }
    }

    fn arrival(&mut self) -> Arrival {
        let at_s = self.at;
        let tenants = self
            .traffic
            .tenants
            .iter()
            .map(|tenant| tenant.weight(at_s));
        let tenant = pick(tenants, self.dice.unit());
        let class = pick(self.traffic.classes.iter().copied(), self.dice.unit());
        let mut key = (self.popularity.draw(&mut self.dice) + (self.traffic.drift * at_s) as u64)
            % self.traffic.keys;
        for (i, hot) in self.traffic.hot_keys.iter().enumerate() {
            let draw = self.dice.unit();
            if (hot.at_s..hot.at_s + hot.duration_s).contains(&at_s) && draw < hot.fraction {
                // Beyond the usual keys, so that it is hot and nothing else.
                key = self.traffic.keys + i as u64;
            }
        }
        Arrival {
            at: (at_s * SECOND as f64) as Micros,
            key,
            class: class as u8,
            tenant: tenant as u16,
        }
    }
}

/// Position in a list of weights, by a draw between 0 and 1.
fn pick(weights: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let mut left = draw * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = i;
            if left < weight {
                return i;
            }
        }
        left -= weight;
    }
    last
}
