//! The endpoint list in use as discovery wrote it, for the process that takes over.
use std::collections::BTreeMap;

use stairfront_policy::interface::EndpointState;

use crate::control::server_list::{RawEndpoint, RawList, ServerList};

/// The servers of the list in use, by name.
#[derive(Default)]
pub(super) struct ListInUse {
    index: u64,
    servers: BTreeMap<String, RawEndpoint>,
}

impl ListInUse {
    /// Follows a complete list, or changes.
    pub(super) fn apply(&mut self, list: &ServerList) {
        self.index = list.index;
        if list.full {
            self.servers.clear();
        }
        for entry in &list.entries {
            if entry.endpoint.state == EndpointState::Removed {
                self.servers.remove(&entry.name);
            } else {
                self.servers.insert(entry.name.clone(), entry.raw.clone());
            }
        }
    }

    /// The complete list.
    pub(super) fn to_raw(&self) -> RawList {
        RawList::complete(self.index, self.servers.values().cloned().collect())
    }
}
