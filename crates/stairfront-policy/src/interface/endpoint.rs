//! The endpoint list as discovery gives it.
use stairfront_common::time::Micros;

use super::ids::{CacheId, Cell, Kind, Zone};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Serves.
    #[default]
    Ready,
    /// Finishes what it has and gets nothing new.
    Draining,
    /// Has left the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server, the same at every balancer and across restarts of its process.
    pub id: CacheId,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started, which tells one incarnation from the next; 0 for long ago.
    pub incarnation: Micros,
    /// Its zone.
    pub zone: Zone,
    /// Its cell.
    pub cell: Cell,
    /// Its machine kind.
    pub kind: Kind,
    /// Its relative size, where `Settings::sized` holds.
    pub size: f32,
}

/// An update of the endpoint list by discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointListUpdate<'a> {
    /// Changed entries only.
    Delta(&'a [Endpoint]),
    /// The complete list; a server that it lacks is removed.
    Full(&'a [Endpoint]),
    /// The complete list as last known, perhaps out of date.
    Cached(&'a [Endpoint]),
    /// A poll failed or a watch broke; the list in hand stands.
    Failed,
}

/// Where a machine is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its zone.
    pub zone: Zone,
    /// Its cell.
    pub cell: Cell,
}

impl Endpoint {
    /// Where the server is.
    #[must_use]
    pub fn location(&self) -> Location {
        Location {
            zone: self.zone,
            cell: self.cell,
        }
    }
}
