//! Times, in whole microseconds.

/// A point in time since the start of a run, or a length of time, in microseconds.
pub type Micros = i64;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MS;

/// Milliseconds as they stand in a settings file; a fraction of a microsecond is rounded off.
pub fn from_ms(ms: f64) -> Micros {
    (ms * MS as f64).round() as Micros
}

pub fn to_ms(time: Micros) -> f64 {
    time as f64 / MS as f64
}
