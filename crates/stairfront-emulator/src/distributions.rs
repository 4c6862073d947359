//! Distributions of random durations, drawn from a [`SeededRng`].
use rand_distr::{Distribution as _, Exp1, LogNormal};
use serde::{Deserialize, Serialize};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros};
use thiserror::Error;

/// An exponentially distributed number with mean 1: the gap between two arrivals of a Poisson process with one arrival
/// per unit of time.
pub fn exponential(random: &mut SeededRng) -> f64 {
    Exp1.sample(random.generator())
}

/// How long a piece of work takes on one core of normal speed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Mean, in milliseconds; 0 is work that takes no time.
    pub mean_ms: f64,
    /// The distribution around the mean.
    #[serde(default, rename = "shape")]
    pub distribution: Distribution,
    /// Of [`Distribution::Lognormal`]: the standard deviation of the logarithm.
    #[serde(default = "default_spread")]
    pub spread: f64,
}

fn default_spread() -> f64 {
    0.5
}

/// The distribution of a service time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
    /// Log-normal.
    #[default]
    Lognormal,
}

impl ServiceTime {
    /// Work that always takes this time, in milliseconds.
    pub fn fixed(mean_ms: f64) -> Self {
        ServiceTime {
            mean_ms,
            distribution: Distribution::Fixed,
            spread: 0.0,
        }
    }

    /// Draws the time of one piece of work: at least a microsecond, or 0 where the mean is 0.
    pub fn draw(&self, random: &mut SeededRng) -> Micros {
        if self.mean_ms <= 0.0 {
            return 0;
        }
        let factor = match self.distribution {
            Distribution::Fixed => 1.0,
            Distribution::Exponential => exponential(random),
            Distribution::Lognormal => self.draw_lognormal(random),
        };
        from_ms(self.mean_ms * factor).max(1)
    }

    /// A log-normal number with mean 1.
    fn draw_lognormal(&self, random: &mut SeededRng) -> f64 {
        // The mean of a log-normal distribution is exp(mu + s^2/2); this mu makes it 1.
        match LogNormal::new(-self.spread * self.spread / 2.0, self.spread) {
            Ok(distribution) => distribution.sample(random.generator()),
            // Reached only with a spread that `validate` rejects.
            Err(_) => 1.0,
        }
    }

    /// Checks that mean and spread are in their ranges.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of its range.
    pub fn validate(&self) -> Result<(), ServiceTimeError> {
        if !(0.0..=3_600_000.0).contains(&self.mean_ms) {
            return Err(ServiceTimeError::MeanOutOfRange);
        }
        if !(0.0..=5.0).contains(&self.spread) {
            return Err(ServiceTimeError::SpreadOutOfRange);
        }
        Ok(())
    }
}

/// A field of a [`ServiceTime`] that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ServiceTimeError {
    /// The mean is negative, longer than an hour or not a number.
    #[error("mean_ms must be between 0 and an hour")]
    MeanOutOfRange,
    /// The spread is negative, above 5 or not a number.
    #[error("spread must be between 0 and 5")]
    SpreadOutOfRange,
}
