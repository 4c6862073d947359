//! The fraction of requests to admit: cut while the event loop is later than its target, and raised again when it is not.
//!
//! While a queue stands, the rate at which its delay grows tells by how much the load exceeds the capacity: a loop that
//! falls behind by half a second in a second is offered half as much again as it can do. A cut is therefore as large as it
//! has to be, whatever the machine and the requests, and a delay that shrinks by itself is left alone.
use stairfront_common::time::{Micros, MS};

use crate::DelaySample;

/// Smallest fraction that is ever admitted. With nothing admitted nothing would show that more could be.
const MIN_FRACTION: f64 = 0.02;
/// Largest relative cut in one interval.
const MAX_CUT: f64 = 0.5;
/// Largest relative rise in one interval while a queue stands.
const MAX_RISE: f64 = 0.1;
/// Time in which a delay beyond the target is to be worked off, in microseconds.
const DRAIN_TIME: f64 = 300.0 * MS as f64;
/// Relative rise after the first interval without a queue; each further one in a row rises by as much more. Below its
/// capacity a loop shows no delay at all, so nothing tells how near it is, and large steps would make it oscillate. In a
/// row they soon become large: from a fiftieth to everything in fifteen intervals.
const GROWTH: f64 = 0.04;
/// Largest relative rise in one interval without a queue.
const MAX_GROWTH: f64 = 0.5;
/// Fraction of the target up to which a delay counts as no queue.
const NO_QUEUE_FRACTION: f64 = 0.5;

/// Adjusts the fraction of requests to admit by the delay of the event loop.
#[derive(Clone, Debug)]
pub struct FractionController {
    target: Micros,
    fraction: f64,
    /// Intervals without a queue since the last cut.
    intervals_without_queue: u32,
    previous_delay: Micros,
}

impl FractionController {
    /// A controller that admits everything. `target` is the delay that may stand for a whole interval, in microseconds.
    #[must_use]
    pub fn new(target: Micros) -> Self {
        FractionController {
            target: target.max(1),
            fraction: 1.0,
            intervals_without_queue: 0,
            previous_delay: 0,
        }
    }

    /// Sets another target; the fraction stays as it is.
    pub fn set_target(&mut self, target: Micros) {
        self.target = target.max(1);
    }

    /// Fraction of the requests to admit, at most 1.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Adjusts the fraction to the delays of one interval.
    pub fn update(&mut self, sample: DelaySample) {
        let previous = std::mem::replace(&mut self.previous_delay, sample.min);
        if sample.min as f64 <= NO_QUEUE_FRACTION * self.target as f64 {
            self.intervals_without_queue += 1;
            let growth = GROWTH * f64::from(self.intervals_without_queue);
            self.fraction *= 1.0 + growth.min(MAX_GROWTH);
        } else {
            let growing = (sample.min - previous) as f64 / sample.interval.max(1) as f64;
            let beyond_target = (sample.min - self.target) as f64 / DRAIN_TIME;
            self.fraction *= 1.0 - (growing + beyond_target).clamp(-MAX_RISE, MAX_CUT);
            self.intervals_without_queue = 0;
        }
        self.fraction = self.fraction.clamp(MIN_FRACTION, 1.0);
    }
}
