//! Chance, from seeds. Every model has dice of its own, so that one more draw in one changes nothing in another.
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

use crate::time::{from_ms, Micros};

/// One source of chance; the same seed and name give the same draws on every machine and in every version of `rand`,
/// since the generator is named and not the library's current choice.
#[derive(Clone, Debug)]
pub struct Dice(Xoshiro256PlusPlus);

impl Dice {
    /// Dice of a part of a run, by the run's seed and the part's name.
    pub fn new(seed: u64, part: &str) -> Self {
        // FNV-1a: only to tell parts apart.
        let fold =
            |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        let part = part.bytes().fold(0xcbf2_9ce4_8422_2325, fold);
        Dice(Xoshiro256PlusPlus::seed_from_u64(seed ^ part))
    }

    /// At least 0, below 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    pub fn happens(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.unit() < chance
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.0.random_range(0..bound)
        }
    }

    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Exponential with mean 1: the gaps of a Poisson process at one a unit of time.
    pub fn gap(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }
}

/// How long a piece of work takes on one core of usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Mean, in milliseconds; 0 is work that takes no time.
    pub mean_ms: f64,
    #[serde(default)]
    pub shape: Shape,
    /// Of `lognormal`: the standard deviation of the logarithm.
    #[serde(default = "usual_spread")]
    pub spread: f64,
}

fn usual_spread() -> f64 {
    0.5
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    Fixed,
    Exponential,
    #[default]
    Lognormal,
}

impl ServiceTime {
    pub fn fixed(mean_ms: f64) -> Self {
        ServiceTime {
            mean_ms,
            shape: Shape::Fixed,
            spread: 0.0,
        }
    }

    pub fn draw(&self, dice: &mut Dice) -> Micros {
        let factor = match self.shape {
            _ if self.mean_ms <= 0.0 => return 0,
            Shape::Fixed => 1.0,
            Shape::Exponential => dice.gap(),
            // The mean of a log-normal is exp(mu + s^2/2); this mu gives a mean of 1.
            Shape::Lognormal => match LogNormal::new(-self.spread * self.spread / 2.0, self.spread)
            {
                Ok(distribution) => distribution.sample(&mut dice.0),
                // Only with a spread that is no number, which `problem` names.
                Err(_) => 1.0,
            },
        };
        from_ms(self.mean_ms * factor).max(1)
    }

    /// What is wrong with it, if anything.
    pub fn problem(&self) -> Option<&'static str> {
        if !(0.0..=3_600_000.0).contains(&self.mean_ms) {
            Some("mean_ms must be between 0 and an hour")
        } else if !(0.0..=5.0).contains(&self.spread) {
            Some("spread must be between 0 and 5")
        } else {
            None
        }
    }
}
