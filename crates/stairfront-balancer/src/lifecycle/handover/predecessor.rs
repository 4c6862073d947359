//! The new process's side of an upgrade.
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use stairfront_handover::{Message, StateAssembler, REVISION};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use super::channel::{ConnectionTransfer, HandoverChannel};
use super::{HandedOverConnection, OtherProcess, PERMITS_REVISION, TAKEOVER_TIMEOUT};
use crate::client::permits::{ClientPermits, InheritedPermits};
use crate::clock::timeout;
use crate::control::pending_order::PendingOrder;
use crate::lifecycle::handover_socket::HandoverSocket;
use crate::lifecycle::handover_state::HandoverState;
use crate::memory::resident::ResidentMemory;
use crate::messages::EngineEvent;

/// How long no process accepts clients at most, if the old one does not answer.
const FIRST_PERMITS_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a new process does not take over from the running one.
#[derive(Debug, thiserror::Error)]
enum TakeoverError {
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    #[error("the running process has ended")]
    Ended,
    #[error("{expected} was expected, not {received:?}")]
    Unexpected {
        expected: &'static str,
        received: Box<Message>,
    },
    #[error("the running process listens at {0}")]
    OtherAddress(SocketAddr),
    #[error("the state is not whole: {0}")]
    State(#[from] stairfront_handover::StateTooLarge),
}

/// The running process from which a new one takes over.
pub struct Predecessor {
    socket: HandoverSocket,
    /// Permits for client connections that belong to the old process.
    pub client_permits: InheritedPermits,
    /// Connections to servers that the old process keeps until its end.
    pub server_connections: usize,
    /// Knowledge of the old process; none where it cannot be read here.
    pub state: Option<HandoverState>,
}

/// Asks the process that serves now for its listener and its state. `None` where there is no such process, or it is
/// silent, of another version, or listens elsewhere; the new process then starts as if it were the first.
pub async fn request_takeover(
    path: &Path,
    name: &str,
    listen: SocketAddr,
) -> Option<(TcpListener, Predecessor)> {
    // Without a process at the path this is an ordinary start.
    let socket = HandoverSocket::connect(path).ok()?;
    match timeout(TAKEOVER_TIMEOUT, take_over(socket, name, listen)).await {
        Ok(Ok(taken_over)) => Some(taken_over),
        Ok(Err(error)) => {
            warn!(%error, "predecessor hands nothing over");
            None
        }
        Err(_) => {
            warn!("predecessor does not answer, starting without it");
            None
        }
    }
}

async fn take_over(
    socket: HandoverSocket,
    name: &str,
    listen: SocketAddr,
) -> Result<(TcpListener, Predecessor), TakeoverError> {
    let hello = Message::Hello {
        name: name.to_string(),
        revision: REVISION,
    };
    socket.send(&hello, None).await?;
    let (client_permits, server_connections, listener) = match socket.receive().await? {
        Some((
            Message::Welcome {
                revision,
                clients,
                servers,
            },
            Some(socket),
        )) => {
            let permits = if revision >= PERMITS_REVISION {
                InheritedPermits::All
            } else {
                InheritedPermits::Kept(clients)
            };
            (permits, servers, TcpListener::from(socket))
        }
        Some((message, _)) => return Err(unexpected("a welcome with a listener", message)),
        None => return Err(TakeoverError::Ended),
    };
    let address = listener.local_addr()?;
    if address != listen {
        return Err(TakeoverError::OtherAddress(address));
    }
    listener.set_nonblocking(true)?;
    let state = receive_state(&socket).await?;
    let state = serde_json::from_slice(&state)
        .map_err(|error| warn!(%error, "state of the predecessor is not readable here"))
        .ok();
    let predecessor = Predecessor {
        socket,
        client_permits,
        server_connections,
        state,
    };
    Ok((listener, predecessor))
}

async fn receive_state(socket: &HandoverSocket) -> Result<Vec<u8>, TakeoverError> {
    let mut assembler = StateAssembler::default();
    loop {
        match socket.receive().await? {
            Some((Message::StatePart { part, last }, _)) => {
                if let Some(state) = assembler.add(&part, last)? {
                    return Ok(state);
                }
            }
            Some((message, _)) => return Err(unexpected("a part of the state", message)),
            None => return Err(TakeoverError::Ended),
        }
    }
}

fn unexpected(expected: &'static str, received: Message) -> TakeoverError {
    TakeoverError::Unexpected {
        expected,
        received: Box::new(received),
    }
}

/// The new process's side: serves the old process until its end, then takes the descriptors that it had kept.
pub struct UpgradeCoordinator {
    /// The process that this one takes over from.
    pub predecessor: Predecessor,
    /// Where its connection is kept.
    pub channel: Rc<HandoverChannel>,
    /// Leads to the engine.
    pub orders: mpsc::Sender<PendingOrder>,
    /// Takes the clients' connections.
    pub handed_over: mpsc::Sender<HandedOverConnection>,
    /// Permits for client connections.
    pub client_permits: Rc<ClientPermits>,
    /// Whether this process can serve.
    pub ready: watch::Receiver<bool>,
    /// Measures the old process too.
    pub resident: Rc<ResidentMemory>,
    /// Leads to the engine.
    pub events: mpsc::Sender<EngineEvent>,
}

impl UpgradeCoordinator {
    /// Runs until the old process has ended.
    pub async fn run(self) {
        let socket = Rc::new(self.predecessor.socket);
        self.resident.set_other(socket.other_process());
        let connections = ConnectionTransfer::FromPredecessor {
            handed_over: &self.handed_over,
            permits: &self.client_permits,
            events: &self.events,
        };
        let serving = self
            .channel
            .serve(Rc::clone(&socket), &self.orders, connections);
        let accepting = async {
            if self.predecessor.client_permits == InheritedPermits::All {
                accept_in_its_place(&socket, &self.client_permits, self.ready.clone()).await;
            }
        };
        let accepting = async {
            accepting.await;
            // The end of the old process ends both.
            std::future::pending().await
        };
        tokio::select! {
            () = serving => {}
            () = accepting => {}
        }
        self.resident.set_other(None);
        info!("predecessor has ended, using all descriptors");
        let ended = EngineEvent::PeerEnded(OtherProcess::Predecessor);
        // The engine ends only with the whole balancer.
        let _ = self.events.send(ended).await;
    }
}

/// Accepts clients in place of the old process as soon as this one can serve, and asks it for permits. Returns when the old
/// process has ended.
async fn accept_in_its_place(
    socket: &HandoverSocket,
    permits: &ClientPermits,
    mut ready: watch::Receiver<bool>,
) {
    if ready.wait_for(|ready| *ready).await.is_err() {
        return;
    }
    permits.note_asked();
    if socket.send(&Message::AcceptsClients, None).await.is_err() {
        return;
    }
    if timeout(FIRST_PERMITS_TIMEOUT, permits.until_accepting())
        .await
        .is_err()
    {
        // Clients are refused until it ends or gives permits, which is better than being left unread.
        warn!("predecessor gives no permits for client connections, accepting without them");
        permits.accept();
    }
    loop {
        permits.wanted().await;
        if socket.send(&Message::PermitWanted, None).await.is_err() {
            return;
        }
    }
}
