//! Messages between members beside those of Raft. They are encoded by postcard: variants and fields keep their
//! order, since processes of other versions read them.
use serde::{Deserialize, Serialize};
use stairfront_maintenance::BlockedMachine;

/// A message between two maintenance services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SideEvent {
    /// The leader asks whether no attempt is open at a host.
    QuietQuery {
        /// The cache host.
        host: String,
        /// Index of the log entry since which it is held out.
        entry: u64,
    },
    /// No attempt is open at the host.
    QuietReport {
        /// The cache host.
        host: String,
        /// Index of the log entry, as in the query.
        entry: u64,
    },
    /// The leader reports why machines are blocked.
    BlockedMachines(Vec<BlockedMachine>),
}

impl SideEvent {
    /// The bytes of the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding fails only for types that this one does not contain.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a message; `None` for bytes that are no message of this version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
