//! The settings of a member.
use stairfront_common::time::{Micros, MS, SECOND};

use crate::log::Voter;

/// The settings of a [`Node`](crate::Node).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The identity of this member.
    pub local: Voter,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Micros,
    /// Time without contact to a leader after which a voter starts an election; a random part of up
    /// to as much again is added. Ten heartbeats, so that single losses start no election.
    pub election_timeout: Micros,
    /// Bytes of entries in one message, at most; one entry is always sent, whatever its size.
    pub max_batch_bytes: usize,
    /// Seed of the random part of the election timeout.
    pub seed: u64,
}

impl Settings {
    /// The default timing for this member.
    #[must_use]
    pub fn new(local: Voter, seed: u64) -> Self {
        Settings {
            local,
            heartbeat_interval: 100 * MS,
            election_timeout: SECOND,
            max_batch_bytes: 16 * 1024,
            seed,
        }
    }
}
