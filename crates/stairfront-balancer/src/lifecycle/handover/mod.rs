//! Upgrades: a second process of the same balancer starts beside the running one and takes over from it, first the
//! listener for clients, then their connections when the old process is told to stop. Until the end of the old process
//! the two are one balancer: what operators order of either is done by both, and they share one limit of descriptors.
//!
//! The new process calls [`request_takeover`] and runs an [`UpgradeCoordinator`]; the old one runs a
//! [`SuccessorHandler`]. Each keeps its end of the connection in a [`HandoverChannel`].
mod channel;
mod predecessor;
mod successor;

use std::os::fd::OwnedFd;
use std::time::Duration;

use stairfront_handover::MAX_PART_BYTES;

pub use channel::{HandoverChannel, RelayError};
pub use predecessor::{request_takeover, Predecessor, UpgradeCoordinator};
pub use successor::SuccessorHandler;

/// Time that the old process may take to answer its successor, which has 6 s in all to become ready.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The first revision of packets with which permits for client connections are given one by one.
const PERMITS_REVISION: u32 = 1;
/// Most bytes read ahead on a connection that can be handed over.
pub const MAX_UNREAD_BYTES: usize = MAX_PART_BYTES;
/// Connections handed over that wait for their task.
pub const MAX_HANDED_OVER: usize = 64;

/// A client's connection from the old process.
pub struct HandedOverConnection {
    /// The connection itself.
    pub socket: OwnedFd,
    /// Whether it has carried a command.
    pub used: bool,
    /// Bytes read of the next command.
    pub unread: Vec<u8>,
}

/// The other process of this balancer, as seen from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherProcess {
    /// This process takes over from it.
    Predecessor,
    /// It takes over from this process.
    Successor,
}
