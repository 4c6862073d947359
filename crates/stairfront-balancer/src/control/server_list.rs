//! Lists of servers as discovery writes them, and what the balancer reads out of them.
use std::net::SocketAddr;

use serde::Deserialize;
use stairfront_policy::interface::{
    CacheId, Cell, Endpoint, EndpointState, Kind, Micros, Zone, MS,
};
use stairfront_settings::Names;
use xxhash_rust::xxh3::xxh3_64;

/// A list as discovery writes it.
#[derive(Debug, Default, Deserialize)]
pub struct RawList {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<RawEndpoint>,
}

#[derive(Debug, Deserialize)]
struct RawEndpoint {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: String,
    #[serde(default = "one")]
    weight: f32,
    #[serde(default)]
    since_ms: f64,
}

fn one() -> f32 {
    1.0
}

#[derive(Debug, thiserror::Error)]
pub enum ListError {
    #[error("server {name:?}: unknown status {status:?}")]
    Status { name: String, status: String },
    #[error("server {name:?}: {address:?} is not an address and a port")]
    Address { name: String, address: String },
    #[error("server {name:?}: since_ms {since_ms} is not a time")]
    Since { name: String, since_ms: f64 },
}

#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub name: String,
    pub member: Endpoint,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerList {
    pub index: u64,
    /// The complete list, not changes alone.
    pub full: bool,
    pub lines: Vec<ServerEntry>,
}

/// The same at every balancer and after every restart, whatever the address.
pub fn cache_id(name: &str) -> CacheId {
    CacheId(xxh3_64(name.as_bytes()))
}

/// Position of a name; an unknown one gets a number that no known one has.
fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl RawList {
    pub fn read(self, names: &Names) -> Result<ServerList, ListError> {
        let lines = self
            .endpoints
            .into_iter()
            .map(|raw| raw.read(names))
            .collect::<Result<_, _>>()?;
        Ok(ServerList {
            index: self.index,
            full: self.snapshot,
            lines,
        })
    }
}

impl RawEndpoint {
    fn read(self, names: &Names) -> Result<ServerEntry, ListError> {
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
        // Within the range of the clock; beyond a few thousand years it is a slip of a unit.
        if !(0.0..1e14).contains(&since_ms) {
            return Err(ListError::Since { name, since_ms });
        }
        let zone = position(&names.zones, &self.zone).and_then(|i| u8::try_from(i).ok());
        let kind = position(&names.kinds, &self.kind).and_then(|i| u16::try_from(i).ok());
        let member = Endpoint {
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
            member,
            address,
        })
    }
}
