//! What a voter is told at its start.
use crate::log::Voter;

/// Microseconds of a clock that only goes forward.
pub type Micros = i64;
pub const MS: Micros = 1000;
pub const SECOND: Micros = 1_000_000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub me: Voter,
    /// Between two words of a leader without news.
    pub heartbeat: Micros,
    /// Without a word of a leader for so long, and up to as much again by chance, a voter looks for another. Ten
    /// heartbeats: single losses elect nobody.
    pub election: Micros,
    /// Most entries' bytes in one message.
    pub batch_bytes: usize,
    pub seed: u64,
}

impl Settings {
    pub fn new(me: Voter, seed: u64) -> Self {
        Settings {
            me,
            heartbeat: 100 * MS,
            election: SECOND,
            batch_bytes: 16 * 1024,
            seed,
        }
    }
}
