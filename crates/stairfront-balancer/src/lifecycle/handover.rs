//! Upgrades: a second process of the same balancer starts beside the running one and takes over from it, the listener
//! for clients first, their connections when the old one is told to stop. Until the old one's end the two are one
//! balancer: what operators ask of either holds at both, and they share one limit of descriptors.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_handover::{split_state, Message, StateAssembler, MAX_PART_BYTES};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tracing::{debug, info, warn};

use crate::clock::{sleep, timeout};
use crate::control::pending_order::PendingOrder;
use crate::lifecycle::handover_socket::{HandoverListener, HandoverSocket};
use crate::lifecycle::handover_state::{HandoverState, Snapshot};
use crate::lifecycle::shutdown::Phase;
use crate::messages::EngineEvent;

/// What the old process may take to answer its successor, which has 6 s in all to say that it can serve.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
/// An order is owed an answer in a second; the other process has this part of it. Danger: a successor that hangs would
/// keep this one from ending, too, with connections that wait to be handed over.
const RELAY_LIMIT: Duration = Duration::from_millis(300);
/// Pause after a handover listener that could not be opened or heard.
const PAUSE: Duration = Duration::from_millis(500);
/// Most bytes read ahead on a connection that can be handed over.
pub const MAX_UNREAD_BYTES: usize = MAX_PART_BYTES;
/// Connections handed over that wait for their task.
pub const MAX_HANDED_OVER: usize = 64;

/// A client's connection from the old process.
pub struct HandedOverConnection {
    pub socket: OwnedFd,
    pub used: bool,
    pub unread: Vec<u8>,
}

/// What a new process got from the old one.
pub struct Predecessor {
    socket: HandoverSocket,
    /// Places of clients and connections to servers that are the old one's until its end.
    pub clients: usize,
    pub servers: usize,
    pub state: Option<HandoverState>,
}

/// Asks the process that serves now for its listener and what it knows; none where there is no such process, or it is
/// silent, of another version, or listens elsewhere. Then the new one starts as if it were the first.
pub async fn ask(
    path: &Path,
    name: &str,
    listen: SocketAddr,
) -> Option<(TcpListener, Predecessor)> {
    // Nobody there: the usual start.
    let socket = HandoverSocket::connect(path).ok()?;
    match timeout(ANSWER_LIMIT, hear_out(socket, name, listen)).await {
        Ok(Ok(heard)) => Some(heard),
        Ok(Err(problem)) => {
            warn!("the running process hands nothing over: {problem}");
            None
        }
        Err(_) => {
            warn!("the running process does not answer; starting without it");
            None
        }
    }
}

async fn hear_out(
    socket: HandoverSocket,
    name: &str,
    listen: SocketAddr,
) -> io::Result<(TcpListener, Predecessor)> {
    let odd = |what: &str| io::Error::other(what.to_string());
    socket
        .send(
            &Message::Hello {
                name: name.to_string(),
            },
            None,
        )
        .await?;
    let (clients, servers, listener) = match socket.receive().await? {
        Some((Message::Welcome { clients, servers }, Some(socket))) => {
            (clients, servers, TcpListener::from(socket))
        }
        Some((message, _)) => {
            return Err(odd(&format!(
                "a welcome with a listener was due, not {message:?}"
            )))
        }
        None => return Err(odd("it has ended")),
    };
    if listener.local_addr()? != listen {
        return Err(odd("it listens at another address"));
    }
    listener.set_nonblocking(true)?;
    let mut parts = StateAssembler::default();
    let state = loop {
        match socket.receive().await? {
            Some((Message::StatePart { part, last }, _)) => {
                if let Some(fleet) = parts.add(&part, last).map_err(io::Error::other)? {
                    break fleet;
                }
            }
            Some((message, _)) => return Err(odd(&format!("knowledge was due, not {message:?}"))),
            None => return Err(odd("it has ended")),
        }
    };
    let state = serde_json::from_slice(&state)
        .map_err(|problem| warn!("what the running process knows is not readable here: {problem}"))
        .ok();
    Ok((
        listener,
        Predecessor {
            socket,
            clients,
            servers,
            state,
        },
    ))
}

/// One process's end of a handover socket, while there is one.
#[derive(Default)]
pub struct HandoverChannel {
    socket: RefCell<Option<Rc<HandoverSocket>>>,
    /// Orders that the other process has not answered, by number.
    waiting: RefCell<FxHashMap<u32, oneshot::Sender<OrderOutcome>>>,
    next: Cell<u32>,
}

impl HandoverChannel {
    pub fn is_up(&self) -> bool {
        self.socket.borrow().is_some()
    }

    fn socket(&self) -> Option<Rc<HandoverSocket>> {
        self.socket.borrow().clone()
    }

    /// Has the other process carry an order out too; none where there is no other. One that does not answer in time has
    /// not done it as far as anyone knows.
    pub async fn relay(
        &self,
        order: &OperatorOrder,
        word: OrderSource,
    ) -> Option<Result<OrderOutcome, ()>> {
        let socket = self.socket()?;
        let number = self.next.replace(self.next.get().wrapping_add(1));
        let (done, is_done) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, done);
        let asked = async {
            socket
                .send(
                    &Message::Order {
                        number,
                        order: order.clone(),
                        source: word,
                    },
                    None,
                )
                .await
                .map_err(|_| ())?;
            is_done.await.map_err(|_| ())
        };
        let answer = timeout(RELAY_LIMIT, asked).await;
        self.waiting.borrow_mut().remove(&number);
        // Its end meanwhile leaves this process alone, which has done it.
        if !self.is_up() {
            return None;
        }
        Some(answer.unwrap_or(Err(())))
    }

    /// Hands a client's connection over. Danger: the descriptor here is closed only after the other side has its own, or
    /// the connection would end in the client's face.
    pub async fn hand_over(&self, handed: &HandedOverConnection) -> io::Result<()> {
        let socket = self.socket().ok_or(io::ErrorKind::NotConnected)?;
        let message = Message::Connection {
            used: handed.used,
            unread: handed.unread.clone(),
        };
        let sent = timeout(
            RELAY_LIMIT,
            socket.send(&message, Some(handed.socket.as_fd())),
        )
        .await;
        sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Hears the other process until its end. `handed` takes the connections that come.
    async fn keep(
        &self,
        socket: HandoverSocket,
        orders: &mpsc::Sender<PendingOrder>,
        handed: Option<&mpsc::Sender<HandedOverConnection>>,
    ) {
        let socket = Rc::new(socket);
        self.socket.replace(Some(Rc::clone(&socket)));
        loop {
            let (message, beside) = match socket.receive().await {
                Ok(Some(received)) => received,
                Ok(None) => break,
                Err(problem) => {
                    warn!("the other process says what cannot be read: {problem}");
                    break;
                }
            };
            match (message, beside, handed) {
                (
                    Message::Order {
                        number,
                        order,
                        source,
                    },
                    ..,
                ) => {
                    let (done, is_done) = oneshot::channel();
                    if orders
                        .send(PendingOrder {
                            order,
                            word: source,
                            done,
                        })
                        .await
                        .is_err()
                    {
                        break;
                    }
                    let Ok(done) = is_done.await else { break };
                    if socket
                        .send(
                            &Message::OrderResult {
                                number,
                                outcome: done,
                            },
                            None,
                        )
                        .await
                        .is_err()
                    {
                        break;
                    }
                }
                (
                    Message::OrderResult {
                        number,
                        outcome: done,
                    },
                    ..,
                ) => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
                        // Who waited has given up meanwhile.
                        let _ = waiting.send(done);
                    }
                }
                (Message::Connection { used, unread }, Some(socket), Some(handed)) => {
                    if handed
                        .send(HandedOverConnection {
                            socket,
                            used,
                            unread,
                        })
                        .await
                        .is_err()
                    {
                        break;
                    }
                }
                (message, ..) => debug!("not expected of the other process: {message:?}"),
            }
        }
        self.socket.replace(None);
        self.waiting.borrow_mut().clear();
    }
}

/// The new process's side: hears the old one until its end, then takes what it had kept.
pub struct UpgradeCoordinator {
    pub predecessor: Predecessor,
    pub link: Rc<HandoverChannel>,
    pub orders: mpsc::Sender<PendingOrder>,
    pub handed: mpsc::Sender<HandedOverConnection>,
    pub inbox: mpsc::Sender<EngineEvent>,
}

impl UpgradeCoordinator {
    pub async fn run(self) {
        let UpgradeCoordinator {
            predecessor,
            link,
            orders,
            handed,
            inbox,
        } = self;
        link.keep(predecessor.socket, &orders, Some(&handed)).await;
        info!("the old process has ended; all descriptors are this one's");
        // The engine is gone only when the whole balancer ends.
        let _ = inbox.send(EngineEvent::TakeAll).await;
    }
}

/// The old process's side: waits for successors and welcomes them, one at a time.
pub struct SuccessorHandler {
    pub path: PathBuf,
    pub name: String,
    /// Another descriptor of the listener for clients.
    pub listener: OwnedFd,
    pub link: Rc<HandoverChannel>,
    pub orders: mpsc::Sender<PendingOrder>,
    pub inbox: mpsc::Sender<EngineEvent>,
    pub places: Arc<Semaphore>,
    pub most_clients: usize,
    pub ready: watch::Receiver<bool>,
    pub phase: watch::Receiver<Phase>,
}

impl SuccessorHandler {
    pub async fn run(mut self) {
        // Danger: a process that can't serve yet would take the path from one that can.
        if self.ready.wait_for(|ready| *ready).await.is_err() {
            return;
        }
        let mut phase = self.phase.clone();
        tokio::select! {
            () = self.attend() => {}
            // Told to stop without a successor: the listener must close with its other descriptor.
            _ = phase.wait_for(|phase| *phase == Phase::Draining) => {}
        }
    }

    async fn attend(&self) {
        loop {
            if let Err(problem) = self.attend_one().await {
                warn!("no successor can be welcomed: {problem}");
                sleep(PAUSE).await;
            }
        }
    }

    async fn attend_one(&self) -> io::Result<()> {
        let socket = HandoverListener::open(&self.path)?.accept().await?;
        let welcomed = timeout(ANSWER_LIMIT, self.welcome(&socket)).await;
        if let Err(problem) = welcomed.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            self.take_all().await;
            return Err(problem);
        }
        info!("a successor has started and has the listener");
        self.link.keep(socket, &self.orders, None).await;
        warn!("the successor has ended; all descriptors are this one's again");
        self.take_all().await;
        Ok(())
    }

    async fn take_all(&self) {
        let _ = self.inbox.send(EngineEvent::TakeAll).await;
    }

    async fn welcome(&self, socket: &HandoverSocket) -> io::Result<()> {
        match socket.receive().await? {
            Some((Message::Hello { name }, _)) if name == self.name => {}
            Some((message, _)) => {
                return Err(io::Error::other(format!("not a successor: {message:?}")))
            }
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
        let (snapshot, taken) = oneshot::channel();
        let gone = |_| io::Error::other("the engine has ended");
        self.inbox
            .send(EngineEvent::Snapshot(snapshot))
            .await
            .map_err(|_| io::Error::other("the engine has ended"))?;
        let Snapshot { state, servers } = taken.await.map_err(gone)?;
        let clients = self
            .most_clients
            .saturating_sub(self.places.available_permits());
        socket
            .send(
                &Message::Welcome { clients, servers },
                Some(self.listener.as_fd()),
            )
            .await?;
        for message in split_state(&state) {
            socket.send(&message, None).await?;
        }
        Ok(())
    }
}
