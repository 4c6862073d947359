//! The state that one process of a balancer leaves to the one that takes over from it.
use serde::{Deserialize, Serialize};
use stairfront_policy::interface::PolicySnapshot;

/// The knowledge that one process leaves to the next, as JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HandoverState {
    /// Knowledge of the decision module.
    pub knowledge: PolicySnapshot,
    /// Numbers of all cache hosts that were ever listed, since operators may still name them.
    pub listed: Vec<u64>,
}

/// The engine's part of a handover.
pub struct Snapshot {
    /// A [`HandoverState`] as JSON.
    pub state: Vec<u8>,
    /// Number of connections to servers that this process keeps.
    pub server_connections: usize,
}
