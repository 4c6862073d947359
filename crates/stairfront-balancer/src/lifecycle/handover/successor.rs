//! The old process's side of an upgrade.
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use stairfront_handover::{split_state, Message, REVISION};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};

use super::channel::{ConnectionTransfer, HandoverChannel};
use super::{OtherProcess, PERMITS_REVISION, TAKEOVER_TIMEOUT};
use crate::arrival::PollClock;
use crate::client::admission::ConnectionPressure;
use crate::client::permits::ClientPermits;
use crate::clock::{sleep, timeout};
use crate::control::pending_order::PendingOrder;
use crate::lifecycle::handover_socket::{HandoverListener, HandoverSocket};
use crate::lifecycle::handover_state::Snapshot;
use crate::lifecycle::shutdown::Phase;
use crate::memory::resident::ResidentMemory;
use crate::messages::EngineEvent;

/// Pause after a handover listener that could not be opened or read.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two questions for connections to servers that can be left to the successor.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// Why a successor is not welcomed.
#[derive(Debug, thiserror::Error)]
enum WelcomeError {
    #[error("the handover socket failed: {0}")]
    Io(#[from] io::Error),
    #[error("not a successor: {0:?}")]
    NotSuccessor(Box<Message>),
    #[error("the successor has ended")]
    Ended,
    #[error("the successor does not answer in time")]
    Late,
    #[error("the engine has ended")]
    EngineEnded,
}

/// The old process's side: accepts successors and welcomes them, one at a time.
pub struct SuccessorHandler {
    /// Path of the handover socket.
    pub path: PathBuf,
    /// Name of this balancer, which a successor has to know.
    pub name: String,
    /// Another descriptor of the listener for clients.
    pub listener: OwnedFd,
    /// Where the successor's connection is kept.
    pub channel: Rc<HandoverChannel>,
    /// Leads to the engine.
    pub orders: mpsc::Sender<PendingOrder>,
    /// Leads to the engine.
    pub events: mpsc::Sender<EngineEvent>,
    /// Permits for client connections.
    pub client_permits: Rc<ClientPermits>,
    /// Has idle connections make room.
    pub pressure: Rc<ConnectionPressure>,
    /// When the event loop has polled the network.
    pub polls: Rc<PollClock>,
    /// Measures the successor too.
    pub resident: Rc<ResidentMemory>,
    /// Whether this process can serve.
    pub ready: watch::Receiver<bool>,
    /// How far the end of this process has come.
    pub phase: watch::Receiver<Phase>,
}

impl SuccessorHandler {
    /// Runs until this process drains without a successor.
    pub async fn run(mut self) {
        // A process that cannot serve yet would take the path from one that can.
        if self.ready.wait_for(|ready| *ready).await.is_err() {
            return;
        }
        let mut phase = self.phase.clone();
        tokio::select! {
            () = self.accept_successors() => {}
            // This process stops without a successor: the listener must close with its other descriptor.
            _ = phase.wait_for(|phase| *phase == Phase::Draining) => {}
        }
    }

    async fn accept_successors(&self) {
        loop {
            if let Err(error) = self.accept_successor().await {
                warn!(%error, "successor not welcomed");
                sleep(LISTEN_RETRY_INTERVAL).await;
            }
        }
    }

    async fn accept_successor(&self) -> Result<(), WelcomeError> {
        let socket = HandoverListener::open(&self.path)?.accept().await?;
        let revision = match timeout(TAKEOVER_TIMEOUT, self.receive_hello(&socket)).await {
            Ok(revision) => revision?,
            Err(_) => return Err(WelcomeError::Late),
        };
        let gives_permits = revision >= PERMITS_REVISION;
        let welcome = timeout(TAKEOVER_TIMEOUT, self.welcome(&socket, gives_permits)).await;
        if let Err(error) = welcome.unwrap_or(Err(WelcomeError::Late)) {
            self.successor_ended().await;
            return Err(error);
        }
        self.resident.set_other(socket.other_process());
        info!("successor has started and has the listener");
        let socket = Rc::new(socket);
        let connections = ConnectionTransfer::ToSuccessor {
            permits: &self.client_permits,
            pressure: &self.pressure,
        };
        let serving = self
            .channel
            .serve(Rc::clone(&socket), &self.orders, connections);
        tokio::select! {
            () = serving => {}
            () = give_permits(&socket, &self.client_permits) => {}
            () = self.give_server_connections(&socket), if gives_permits => {}
        }
        self.resident.set_other(None);
        warn!("successor has ended, using all descriptors again");
        self.successor_ended().await;
        Ok(())
    }

    /// Leaves connections to servers to the successor from when this process is told to end, as it needs them no more: the
    /// successor then has all clients. Runs until it is dropped.
    async fn give_server_connections(&self, socket: &HandoverSocket) {
        let mut phase = self.phase.clone();
        // It can be read to the end of this process.
        let _ = phase.wait_for(|phase| phase.hands_over()).await;
        while let Ok(count) = self.release_connections().await {
            let message = Message::ServerConnections { count };
            if count > 0 && socket.send(&message, None).await.is_err() {
                break;
            }
            sleep(RELEASE_INTERVAL).await;
        }
        // The end of the successor is handled by whoever reads from it.
        std::future::pending().await
    }

    async fn release_connections(&self) -> Result<usize, WelcomeError> {
        let (reply, released) = oneshot::channel();
        self.ask_engine(EngineEvent::ReleaseConnections(reply), released)
            .await
    }

    async fn ask_engine<T>(
        &self,
        question: EngineEvent,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, WelcomeError> {
        self.events
            .send(question)
            .await
            .map_err(|_| WelcomeError::EngineEnded)?;
        answer.await.map_err(|_| WelcomeError::EngineEnded)
    }

    /// Takes back what the successor had.
    async fn successor_ended(&self) {
        self.client_permits
            .successor_ended(self.polls.last_poll_without());
        let ended = EngineEvent::PeerEnded(OtherProcess::Successor);
        // The engine ends only with the whole balancer.
        let _ = self.events.send(ended).await;
    }

    /// The revision of the successor's packets.
    async fn receive_hello(&self, socket: &HandoverSocket) -> Result<u32, WelcomeError> {
        match socket.receive().await? {
            Some((Message::Hello { name, revision }, _)) if name == self.name => Ok(revision),
            Some((message, _)) => Err(WelcomeError::NotSuccessor(Box::new(message))),
            None => Err(WelcomeError::Ended),
        }
    }

    async fn welcome(
        &self,
        socket: &HandoverSocket,
        gives_permits: bool,
    ) -> Result<(), WelcomeError> {
        let Snapshot {
            state,
            server_connections,
        } = self.snapshot().await?;
        let welcome = Message::Welcome {
            revision: REVISION,
            clients: self.client_permits.share(gives_permits),
            servers: server_connections,
        };
        socket.send(&welcome, Some(self.listener.as_fd())).await?;
        for message in split_state(&state) {
            socket.send(&message, None).await?;
        }
        Ok(())
    }

    async fn snapshot(&self) -> Result<Snapshot, WelcomeError> {
        let (reply, snapshot) = oneshot::channel();
        self.ask_engine(EngineEvent::Snapshot(reply), snapshot)
            .await
    }
}

/// Gives the successor the permits that are free once it accepts clients, and each further one as it is released. Runs until
/// it is dropped.
async fn give_permits(socket: &HandoverSocket, permits: &ClientPermits) {
    permits.until_successor_accepts().await;
    // Also none: it tells the successor that this process accepts no more.
    let mut count = permits.take_available();
    while socket.send(&Message::Permits { count }, None).await.is_ok() {
        count = permits.take_next().await;
    }
    // The end of the successor is handled by whoever reads from it.
    std::future::pending().await
}
