//! What a member tells of itself and of the group, for operators and for an observer who compares it with others'.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::claim::{Incarnation, MemberState};
use crate::standing::QuorumStatus;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    pub name: String,
    /// None for one that was never heard of.
    pub address: Option<SocketAddr>,
    pub state: MemberState,
    /// 0 for one that was never heard of.
    pub incarnation: Incarnation,
    /// Which process it is, for this program alone: too large a number for some readers of JSON.
    #[serde(skip)]
    pub run: u64,
    /// How long it has been so.
    pub since_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub me: String,
    pub group: String,
    pub standing: QuorumStatus,
    pub standing_since_ms: u64,
    /// Of its view of the roster's members: equal at members that agree.
    pub digest: String,
    /// Members whose roster is not this one's.
    pub roster_differs: Vec<String>,
    /// The longest that a member's view has differed from this one's, in milliseconds.
    pub disagree_ms: u64,
    /// Another living process has this one's name.
    pub namesake: bool,
    /// Cache hosts that the group holds out.
    pub cordons: Vec<String>,
    pub members: Vec<MemberReport>,
}

/// How far an order for the group has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub host: String,
    pub cordoned: bool,
    /// A cordon: every member of the roster holds it, or has left on purpose. A lift: more than half have done it.
    pub done: bool,
    pub confirmed: Vec<String>,
    pub missing: Vec<Missing>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    pub name: String,
    pub why: String,
}
