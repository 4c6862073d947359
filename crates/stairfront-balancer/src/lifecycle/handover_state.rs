//! What one process of a balancer leaves to the one that takes over from it.
use serde::{Deserialize, Serialize};
use stairfront_policy::interface::PolicySnapshot;

/// What one process leaves to the next.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HandoverState {
    pub knowledge: PolicySnapshot,
    /// Numbers of all cache hosts that were ever listed: operators may name them still.
    pub listed: Vec<u64>,
}

/// What the engine has to give to a successor.
pub struct Snapshot {
    /// A `HandoverState` as JSON.
    pub state: Vec<u8>,
    /// Connections to servers that this process keeps.
    pub servers: usize,
}
