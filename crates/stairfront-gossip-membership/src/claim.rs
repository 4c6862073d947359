//! What is said of a member, and which of two claims stands (SWIM section 4.2).
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Raised by a member alone, to refute what is said of it. Beyond `LARGEST_INCARNATION` no refutation would be left.
pub type Incarnation = u64;
pub const LARGEST_INCARNATION: Incarnation = 1 << 62;

/// What a member is to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Alive,
    /// Did not answer; it may refute that for a while.
    Suspect,
    Failed,
    /// Ended on purpose, as it said itself.
    Left,
}

impl State {
    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "failed",
            State::Left => "left",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// Said by the member itself: where it is, and which process it is.
    Alive { address: SocketAddr, run: u64 },
    /// Did not answer `by`.
    Suspect { by: String },
    /// `by` gave it up.
    Failed { by: String },
    /// Said by the member itself.
    Left,
}

/// A claim about a member, at one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub about: String,
    pub incarnation: Incarnation,
    pub claim: Claim,
}
