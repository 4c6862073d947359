//! Assertions about a member's state, as members gossip them (SWIM, section 4.2).
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Incarnation number of a member. Only the member itself raises it, to refute an assertion about it.
pub type Incarnation = u64;

/// Exclusive upper bound of incarnations in a packet: beyond it a member could not refute any more.
pub const MAX_INCARNATION: Incarnation = 1 << 62;

/// State of a member, in the opinion of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer a probe; it has a limited time to refute that.
    Suspect,
    /// The member did not refute a suspicion in time, or was never heard of.
    Failed,
    /// The member ended on purpose and said so itself.
    Left,
}

impl MemberState {
    /// The state's name in JSON and for operators.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "failed",
            MemberState::Left => "left",
        }
    }
}

/// Asserted state of a member, with its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateAssertion {
    /// The member runs; only the member itself asserts this.
    Alive {
        /// Address at which others reach the member.
        address: SocketAddr,
        /// Process that runs under the member's name.
        process_id: u64,
    },
    /// The member did not answer a probe by `by`.
    Suspect {
        /// Member that suspects it.
        by: String,
    },
    /// The member did not refute `by`'s suspicion in time.
    Failed {
        /// Member that declares it failed.
        by: String,
    },
    /// The member ended on purpose; only the member itself asserts this.
    Left,
}

/// An assertion about a member at one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Name of the member that the assertion is about.
    pub member: String,
    /// Incarnation to which the assertion applies; it says nothing about a later one.
    pub incarnation: Incarnation,
    /// The asserted state.
    pub assertion: StateAssertion,
}
