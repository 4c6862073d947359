//! Arithmetic beneath the decisions: fixed hashes, seeded random numbers, averages and rates that
//! decay. It decides nothing.
use serde::{Deserialize, Serialize};
use stairfront_common::time::{Micros, SECOND};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The seed that separates random numbers from ring positions, which use small seeds.
const RNG_SEED: u64 = u64::MAX;
/// Bits of a random number that a fraction keeps: the mantissa of an `f64`.
const FRACTION_BITS: u32 = 53;

/// Position of a value on the hash ring under one of the hash functions, the same at every balancer
/// (xxHash, XXH3-64).
pub(crate) fn ring_position(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

/// Random numbers of one balancer, the same for the same seed: hashes of a counter.
///
/// The numbers themselves are part of the decisions, so the generator is not that of the other
/// crates.
#[derive(Default)]
pub(crate) struct CounterRng(u64);

impl CounterRng {
    /// A generator whose counter begins at `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        CounterRng(seed)
    }

    /// A number from 0 to below 1, evenly distributed.
    pub(crate) fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        let mantissa = ring_position(self.0, RNG_SEED) >> (u64::BITS - FRACTION_BITS);
        mantissa as f64 / (1u64 << FRACTION_BITS) as f64
    }
}

/// Fraction of a weight that remains after `age`, in exponential decay with this time constant, in
/// microseconds.
fn decay(age: Micros, time_constant: f64) -> f64 {
    (-(age.max(0) as f64) / time_constant).exp()
}

/// Rate of events, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    sum: f64,
    /// Time of the last event.
    #[serde(rename = "at")]
    pub(crate) last_event_at: Micros,
}

impl DecayingRate {
    /// Counts one event at `now`.
    pub(crate) fn record(&mut self, now: Micros, time_constant: f64) {
        self.sum = self.sum * decay(now - self.last_event_at, time_constant) + 1.0;
        self.last_event_at = now;
    }

    /// Events a second at `now`.
    pub(crate) fn per_second(&self, now: Micros, time_constant: f64) -> f64 {
        self.sum * decay(now - self.last_event_at, time_constant) * SECOND as f64 / time_constant
    }
}

/// Exponentially weighted moving average whose samples are weighted by number and, where they are
/// rare, by age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ewma {
    /// The average.
    pub(crate) value: f64,
    #[serde(rename = "at")]
    updated_at: Micros,
}

impl Ewma {
    /// Adds a sample. Its weight grows with the time since the one before and is at least
    /// `min_weight`.
    pub(crate) fn record(&mut self, now: Micros, sample: f64, min_weight: f64, time_constant: f64) {
        let weight = (1.0 - decay(now - self.updated_at, time_constant)).max(min_weight);
        self.updated_at = now;
        self.value += weight * (sample - self.value);
    }
}

/// The lower median; not a number (NaN) where there are no values.
pub(crate) fn lower_median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values
        .get(values.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Moves the fractions of a whole towards the one at `index`, as one sample of `sample_count`.
pub(crate) fn shift_fractions(fractions: &mut [f64], index: usize, sample_count: f64) {
    for (i, fraction) in fractions.iter_mut().enumerate() {
        *fraction += (f64::from(u8::from(i == index)) - *fraction) / sample_count;
    }
}

/// The value that more than half of a sequence lies near to, found in one pass (Boyer and Moore's
/// majority vote).
#[derive(Clone, Copy, Default)]
pub(crate) struct MajorityVote {
    candidate: Micros,
    votes: i32,
}

impl MajorityVote {
    /// Counts a value that is near the candidate if it differs by `tolerance` at most; returns
    /// whether it is the usual one. The candidate holds `max_votes` at most, so that a change of
    /// the usual value is noticed.
    pub(crate) fn vote(&mut self, value: Micros, tolerance: Micros, max_votes: i32) -> bool {
        let near = (value - self.candidate).abs() <= tolerance;
        self.votes = (self.votes + if near { 1 } else { -1 }).min(max_votes);
        if self.votes < 0 {
            self.candidate = value;
            self.votes = 1;
        }
        near || self.candidate == value
    }
}
