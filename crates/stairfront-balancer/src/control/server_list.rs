//! Endpoint lists in the form in which discovery and configuration files write them, and what the balancer reads from
//! them.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stairfront_common::time::{Micros, MS};
use stairfront_policy::interface::{CacheId, Cell, Endpoint, EndpointState, Kind, Zone};
use stairfront_settings::Names;
use xxhash_rust::xxh3::xxh3_64;

/// A list as discovery writes it, in JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawList {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<RawEndpoint>,
}

/// One server, as it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawEndpoint {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: String,
    #[serde(default = "default_weight")]
    weight: f32,
    #[serde(default)]
    since_ms: f64,
}

fn default_weight() -> f32 {
    1.0
}

/// Why a list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The state of a server is none that is known here.
    #[error("server {name:?}: unknown status {status:?}")]
    Status {
        /// The server.
        name: String,
        /// The state as written.
        status: String,
    },
    /// The address of a server cannot be parsed.
    #[error("server {name:?}: {address:?} is not an address and a port")]
    Address {
        /// The server.
        name: String,
        /// The address as written.
        address: String,
    },
    /// The start time of a server is outside the range of the clock.
    #[error("server {name:?}: since_ms {since_ms} is not a time")]
    Since {
        /// The server.
        name: String,
        /// The time as written.
        since_ms: f64,
    },
}

/// One server of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its name.
    pub name: String,
    /// The server as the decision module knows it.
    pub endpoint: Endpoint,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The server as it was written.
    pub raw: RawEndpoint,
}

/// A list that has been read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerList {
    /// Discovery's version of the list.
    pub index: u64,
    /// Whether it is the complete list, and not changes alone.
    pub full: bool,
    /// The servers.
    pub entries: Vec<ServerEntry>,
}

/// Number of a server: the same at every balancer and after every restart, whatever its address.
pub fn cache_id(name: &str) -> CacheId {
    CacheId(xxh3_64(name.as_bytes()))
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl RawList {
    /// A complete list of this version.
    pub fn complete(index: u64, endpoints: Vec<RawEndpoint>) -> Self {
        RawList {
            index,
            snapshot: true,
            endpoints,
        }
    }

    /// Reads the list; zones and kinds are numbered by their position in `names`, unknown ones by a number that no known
    /// one has.
    ///
    /// # Errors
    ///
    /// [`ListError`] for the first server that cannot be read.
    pub fn read(self, names: &Names) -> Result<ServerList, ListError> {
        let entries = self
            .endpoints
            .into_iter()
            .map(|raw| raw.read(names))
            .collect::<Result<_, _>>()?;
        Ok(ServerList {
            index: self.index,
            full: self.snapshot,
            entries,
        })
    }
}

impl RawEndpoint {
    fn read(self, names: &Names) -> Result<ServerEntry, ListError> {
        let raw = self.clone();
        let RawEndpoint {
            name,
            address,
            status,
            since_ms,
            ..
        } = self;
        let state = match status.as_str() {
            "SERVING" => EndpointState::Ready,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Removed,
            _ => return Err(ListError::Status { name, status }),
        };
        let Ok(address) = address.parse::<SocketAddr>() else {
            return Err(ListError::Address { name, address });
        };
        // A time beyond a few thousand years is a slip of a unit, and would leave the range of the clock.
        if !(0.0..1e14).contains(&since_ms) {
            return Err(ListError::Since { name, since_ms });
        }
        let zone = position(&names.zones, &self.zone).and_then(|i| u8::try_from(i).ok());
        let kind = position(&names.kinds, &self.kind).and_then(|i| u16::try_from(i).ok());
        let endpoint = Endpoint {
            id: cache_id(&name),
            state,
            incarnation: (since_ms * MS as f64) as Micros,
            zone: Zone(zone.unwrap_or(u8::MAX)),
            cell: Cell(self.group),
            kind: Kind(kind.unwrap_or(u16::MAX)),
            size: self.weight,
        };
        Ok(ServerEntry {
            name,
            endpoint,
            address,
            raw,
        })
    }
}
