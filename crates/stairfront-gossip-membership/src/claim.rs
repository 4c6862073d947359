//! What is said of a member, and which of two claims stands (SWIM section 4.2).
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Raised by a member alone, to refute what is said of it. Beyond `LARGEST_INCARNATION` no refutation would be left.
pub type Incarnation = u64;
pub const MAX_INCARNATION: Incarnation = 1 << 62;

/// What a member is to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    Alive,
    /// Did not answer; it may refute that for a while.
    Suspect,
    Failed,
    /// Ended on purpose, as it said itself.
    Left,
}

impl MemberState {
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "failed",
            MemberState::Left => "left",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateAssertion {
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
pub struct GossipMessage {
    pub member: String,
    pub incarnation: Incarnation,
    pub assertion: StateAssertion,
}
