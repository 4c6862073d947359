//! The state that one process of a balancer leaves to the one that takes over from it.
use serde::{Deserialize, Serialize};
use stairfront_policy::interface::PolicySnapshot;
use stairfront_settings::Names;
use tracing::warn;

use crate::control::server_list::{RawList, ServerList};

/// The knowledge that one process leaves to the next, as JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HandoverState {
    /// Knowledge of the decision module.
    pub knowledge: PolicySnapshot,
    /// Numbers of all cache hosts that were ever listed, since operators may still name them.
    pub listed: Vec<u64>,
    /// The endpoint list in use; none of a build that did not hand it over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list: Option<RawList>,
}

impl HandoverState {
    /// The list to start with, beside the one of the configuration: the inherited one if it is newer. What discovery
    /// told the process before this one, this one may not be able to ask for.
    pub fn newest_list(&self, known: ServerList, names: &Names) -> ServerList {
        let Some(inherited) = &self.list else {
            return known;
        };
        match inherited.clone().read(names) {
            Ok(inherited) if inherited.index > known.index => inherited,
            Ok(_) => known,
            Err(error) => {
                warn!(%error, "endpoint list of the predecessor is not readable here");
                known
            }
        }
    }
}

/// The engine's part of a handover.
pub struct Snapshot {
    /// A [`HandoverState`] as JSON.
    pub state: Vec<u8>,
    /// Number of connections to servers that this process keeps.
    pub server_connections: usize,
}
