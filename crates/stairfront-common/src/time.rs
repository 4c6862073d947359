//! Points in time and durations of the cores that are given their time by a driver.
use std::time::Duration;

/// A point in time or a duration, in whole microseconds. A point in time counts from a start that the driver chooses, so
/// that the same core runs on a monotonic clock and on a simulated one.
pub type Micros = i64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000 * MS;

/// A duration as microseconds; the longest that can be told where it is longer.
#[must_use]
pub fn from_duration(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Microseconds as a duration; none for a negative number.
#[must_use]
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(u64::try_from(time).unwrap_or(0))
}

/// Milliseconds, as they stand in a settings file, rounded to whole microseconds.
#[must_use]
pub fn from_ms(ms: f64) -> Micros {
    (ms * MS as f64).round() as Micros
}

/// Microseconds as milliseconds.
#[must_use]
pub fn to_ms(time: Micros) -> f64 {
    time as f64 / MS as f64
}
