//! How much is taken: a part of what comes, cut while the loop is behind by more than its target, opened again when it is
//! not.
//!
//! While a queue stands, the speed at which its delay grows tells how much too much is taken: a loop that gets behind by
//! half a second in a second is asked for half as much again as it does. So a cut is as large as it has to be, whatever the
//! machine and the requests, and a delay that shrinks by itself is left to.
use crate::{DelaySample, Micros};

/// Least part that is ever taken: with nothing taken nothing would tell that it could be.
const LEAST: f64 = 0.02;
/// The most that one interval cuts, and opens while a queue stands.
const MOST_CUT: f64 = 0.5;
const MOST_RISE: f64 = 0.1;
/// In this time a delay beyond the target is to be gone.
const DRAIN: f64 = 300_000.0;
/// What the first interval in time after a cut opens; each further one in a row opens by so much more, up to `MOST_GROWTH`.
/// Danger: below its capacity a loop shows no delay at all, so nothing tells how near it is; opened by large steps it would
/// swing about it for ever. In a row they are soon large: from a fiftieth to all in fifteen intervals.
const GROWTH: f64 = 0.04;
const MOST_GROWTH: f64 = 0.5;
/// Up to this part of the target no queue stands.
const CALM: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct Controller {
    target: Micros,
    part: f64,
    /// Intervals in time since the last cut.
    calm: u32,
    before: Micros,
}

impl Controller {
    /// `target`: how far behind the loop may stand for a whole interval.
    pub fn new(target: Micros) -> Self {
        Controller {
            target: target.max(1),
            part: 1.0,
            calm: 0,
            before: 0,
        }
    }

    /// Another target from now on; what is taken stays as it is.
    pub fn set_target(&mut self, target: Micros) {
        self.target = target.max(1);
    }

    /// Part of the requests to take, at most 1.
    pub fn part(&self) -> f64 {
        self.part
    }

    pub fn hear(&mut self, reading: DelaySample) {
        let before = std::mem::replace(&mut self.before, reading.standing);
        if reading.standing as f64 <= CALM * self.target as f64 {
            self.calm += 1;
            self.part *= 1.0 + (GROWTH * f64::from(self.calm)).min(MOST_GROWTH);
        } else {
            let growing = (reading.standing - before) as f64 / reading.span.max(1) as f64;
            let beyond = (reading.standing - self.target) as f64 / DRAIN;
            self.part *= 1.0 - (growing + beyond).clamp(-MOST_RISE, MOST_CUT);
            self.calm = 0;
        }
        self.part = self.part.clamp(LEAST, 1.0);
    }
}
