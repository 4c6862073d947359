//! Arithmetic that the decisions lean on: fixed hashes, seeded random numbers, fading averages. Decides nothing.
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::{Micros, SECOND};

/// A fixed hash, the same at every balancer.
pub fn point(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

/// Random numbers of one balancer, the same for the same seed.
#[derive(Default)]
pub struct Random(pub u64);

impl Random {
    /// Evenly from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        (point(self.0, u64::MAX) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What is left of a weight after `age`, where `span` is the time constant.
pub fn faded(age: Micros, span: f64) -> f64 {
    (-(age.max(0) as f64) / span).exp()
}

/// Events a second, forgetting exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    sum: f64,
    pub at: Micros,
}

impl Rate {
    pub fn add(&mut self, now: Micros, span: f64) {
        self.sum = self.sum * faded(now - self.at, span) + 1.0;
        self.at = now;
    }

    pub fn per_second(&self, now: Micros, span: f64) -> f64 {
        self.sum * faded(now - self.at, span) * SECOND as f64 / span
    }
}

/// An average whose samples count by number and, when they are rare, by age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Average {
    pub value: f64,
    at: Micros,
}

impl Average {
    pub fn add(&mut self, now: Micros, sample: f64, least_weight: f64, span: f64) {
        let weight = (1.0 - faded(now - self.at, span)).max(least_weight);
        self.at = now;
        self.value += weight * (sample - self.value);
    }
}

/// The lower median; not a number where there is none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values
        .get(values.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Moves the parts of a whole towards the one that has just come, which counts as one of so many.
pub fn add_part(parts: &mut [f64], came: usize, of: f64) {
    for (i, part) in parts.iter_mut().enumerate() {
        *part += (f64::from(u8::from(i == came)) - *part) / of;
    }
}

/// The value that more than half of a row of values lie near to: a majority vote in one pass.
#[derive(Clone, Copy, Default)]
pub struct Majority {
    value: Micros,
    votes: i32,
}

impl Majority {
    /// Takes a value in; whether it is the usual one.
    pub fn vote(&mut self, value: Micros, slack: Micros, most_votes: i32) -> bool {
        let near = (value - self.value).abs() <= slack;
        self.votes = (self.votes + if near { 1 } else { -1 }).min(most_votes);
        if self.votes < 0 {
            (self.value, self.votes) = (value, 1);
        }
        near || self.value == value
    }
}
