//! The JSON forms that operators and observers see: a member's view of the group, and the progress of an order.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::assertion::{Incarnation, MemberState};
use crate::quorum::QuorumStatus;

/// One member, as the reporting member sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: String,
    /// Its address; none for a member that was never heard of.
    pub address: Option<SocketAddr>,
    /// Its state.
    pub state: MemberState,
    /// Its incarnation; 0 for a member that was never heard of.
    pub incarnation: Incarnation,
    /// Its process, for this program alone: the number is too large for some readers of JSON.
    #[serde(skip)]
    pub process_id: u64,
    /// Time since it entered the state, in milliseconds.
    pub since_ms: u64,
}

/// A member's view of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the reporting member.
    #[serde(rename = "me")]
    pub name: String,
    /// Name of the group.
    pub group: String,
    /// Quorum status of the reporting member.
    #[serde(rename = "standing")]
    pub quorum: QuorumStatus,
    /// Time since the quorum status came into force, in milliseconds.
    #[serde(rename = "standing_since_ms")]
    pub quorum_since_ms: u64,
    /// Digest of the view of the roster's members; equal at members that agree.
    pub digest: String,
    /// Members that have another roster.
    pub roster_differs: Vec<String>,
    /// The longest time for which a member's view has differed from this one's, in milliseconds.
    #[serde(rename = "disagree_ms")]
    pub divergence_ms: u64,
    /// Another living process has the reporting member's name.
    #[serde(rename = "namesake")]
    pub name_conflict: bool,
    /// Cache hosts that the group has cordoned.
    pub cordons: Vec<String>,
    /// All known members, the reporting one included.
    pub members: Vec<MemberReport>,
}

/// Progress of an order for the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The cache host.
    pub host: String,
    /// Whether the order is a cordon, not a lift.
    pub cordoned: bool,
    /// A cordon is done when every member of the roster has applied it or has left; a lift when a majority has.
    pub done: bool,
    /// Members that have applied the order.
    pub confirmed: Vec<String>,
    /// Members that have not.
    pub missing: Vec<MissingMember>,
}

/// A member that has not confirmed an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingMember {
    /// Name of the member.
    pub name: String,
    /// The reason, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}
