//! The context that all client connections share.
use std::cell::Cell;
use std::rc::Rc;

use stairfront_policy::interface::RequestId;
use tokio::sync::{mpsc, watch};

use crate::arrival::PollClock;
use crate::client::admission::ConnectionPressure;
use crate::client::pacing::PausedCount;
use crate::client::permits::ClientPermits;
use crate::client::read::ScratchBuffer;
use crate::counters::Counters;
use crate::lifecycle::handover::HandoverChannel;
use crate::lifecycle::shutdown::Phase;
use crate::memory::ledger::MemoryLedger;
use crate::messages::EngineEvent;
use crate::stages::parse::RequestParser;

/// Shared by all client connections; all of it lives on the one thread.
pub struct ClientContext {
    /// Leads to the engine.
    pub events: mpsc::Sender<EngineEvent>,
    /// Turns commands into requests.
    pub parser: RequestParser,
    /// The counters of this process.
    pub counters: Rc<Counters>,
    /// When the event loop has polled the network.
    pub polls: Rc<PollClock>,
    /// How far the end of this process has come.
    pub phase: watch::Receiver<Phase>,
    /// Has idle connections make room.
    pub pressure: Rc<ConnectionPressure>,
    /// Permits for client connections.
    pub permits: Rc<ClientPermits>,
    /// The process that takes over, once there is one.
    pub successor: Rc<HandoverChannel>,
    /// Number of connections that are paused, since they send commands at full speed.
    pub paused: PausedCount,
    /// Takes what is read to be dropped.
    pub scratch: Rc<ScratchBuffer>,
    /// Memory for commands and requests.
    pub memory: Rc<MemoryLedger>,
    /// Number of the next request.
    pub next_id: Cell<u32>,
    /// Number of the next connection, for the log.
    pub next_connection: Cell<u64>,
}

impl ClientContext {
    pub(super) fn new_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        RequestId(id)
    }

    pub(super) fn new_connection_number(&self) -> u64 {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        number
    }
}
