//! The facts that plans rest on, as the leader has observed them and all members have agreed.
use serde::{Deserialize, Serialize};

/// A cache host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Hosts of one number discard each other's repeats of keyed requests; 0 for none.
    pub deduplication_group: u16,
    /// It is listed and may be used.
    pub is_serving: bool,
    /// When its process last started, in ms since 1970; 0 for long ago.
    pub started_ms: u64,
}

/// A balancer of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// The leader sees it alive.
    pub is_present: bool,
    /// It has left the group on purpose.
    pub has_left: bool,
    /// It votes in the agreement.
    pub is_voter: bool,
    /// It leads the agreement.
    pub is_leader: bool,
    /// Tells one process of its name from the next.
    pub process_id: u64,
}

/// The machines that plans may name, and the service as the leader measures it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The listed cache hosts.
    pub hosts: Vec<Host>,
    /// The balancers of the group.
    pub balancers: Vec<Balancer>,
    /// Why no further machine should be taken out, by what the leader measures.
    pub fault: Option<String>,
}

impl Fleet {
    /// The cache host of this name.
    #[must_use]
    pub fn host(&self, name: &str) -> Option<&Host> {
        self.hosts.iter().find(|host| host.name == name)
    }

    /// The balancer of this name.
    #[must_use]
    pub fn balancer(&self, name: &str) -> Option<&Balancer> {
        self.balancers.iter().find(|balancer| balancer.name == name)
    }
}
