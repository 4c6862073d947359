//! The connection between the two processes of an upgrade, as each of them uses it: orders, connections and permits.
use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_handover::Message;
use tokio::sync::{mpsc, oneshot};
use tracing::{debug, warn};

use super::HandedOverConnection;
use crate::client::admission::ConnectionPressure;
use crate::client::permits::ClientPermits;
use crate::clock::timeout;
use crate::control::pending_order::PendingOrder;
use crate::lifecycle::handover_socket::HandoverSocket;
use crate::messages::EngineEvent;

/// The other process's part of the second in which an order is answered. It is short because a successor that hangs would
/// also keep this process from ending, with connections that wait to be handed over.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// The other process has not confirmed in time that an order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the other process did not answer")]
pub struct RelayError;

/// Who gets connections and permits by this channel.
pub(super) enum ConnectionTransfer<'a> {
    /// This process gets them from the process before it.
    FromPredecessor {
        handed_over: &'a mpsc::Sender<HandedOverConnection>,
        permits: &'a ClientPermits,
        /// Leads to the engine.
        events: &'a mpsc::Sender<EngineEvent>,
    },
    /// The successor gets them from this process.
    ToSuccessor {
        permits: &'a ClientPermits,
        pressure: &'a ConnectionPressure,
    },
}

impl ConnectionTransfer<'_> {
    /// Handles a message about connections or permits; `None` if this process ends.
    async fn handle(&self, message: Message, descriptor: Option<OwnedFd>) -> Option<()> {
        match (self, message, descriptor) {
            (
                ConnectionTransfer::FromPredecessor { handed_over, .. },
                Message::Connection { used, unread },
                Some(socket),
            ) => {
                let connection = HandedOverConnection {
                    socket,
                    used,
                    unread,
                };
                handed_over.send(connection).await.ok()?;
            }
            (
                ConnectionTransfer::FromPredecessor { permits, .. },
                Message::Permits { count },
                _,
            ) => {
                permits.receive(count);
                permits.accept();
            }
            (
                ConnectionTransfer::FromPredecessor { events, .. },
                Message::ServerConnections { count },
                _,
            ) => {
                let released = EngineEvent::ConnectionsReleased(count);
                events.send(released).await.ok()?;
            }
            (ConnectionTransfer::ToSuccessor { permits, .. }, Message::AcceptsClients, _) => {
                debug!("successor accepts clients");
                permits.stop_accepting();
            }
            (ConnectionTransfer::ToSuccessor { permits, pressure }, Message::PermitWanted, _) => {
                pressure.relieve();
                permits.want();
            }
            (_, message, _) => {
                debug!(received = ?message, "unexpected message of the other process");
            }
        }
        Some(())
    }
}

/// One process's end of the connection to the other process of its balancer, while there is one.
#[derive(Default)]
pub struct HandoverChannel {
    socket: RefCell<Option<Rc<HandoverSocket>>>,
    /// Orders that the other process has not answered, by number.
    unanswered: RefCell<FxHashMap<u32, oneshot::Sender<OrderOutcome>>>,
    next_number: Cell<u32>,
}

impl HandoverChannel {
    /// Whether there is another process.
    pub fn is_connected(&self) -> bool {
        self.socket.borrow().is_some()
    }

    fn socket(&self) -> Option<Rc<HandoverSocket>> {
        self.socket.borrow().clone()
    }

    /// Has the other process carry an order out too; `None` where there is no other.
    ///
    /// # Errors
    ///
    /// [`RelayError`] if the other process does not confirm in time: it may or may not have carried the order out.
    pub async fn relay(
        &self,
        order: &OperatorOrder,
        source: OrderSource,
    ) -> Option<Result<OrderOutcome, RelayError>> {
        let socket = self.socket()?;
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (done, outcome) = oneshot::channel();
        self.unanswered.borrow_mut().insert(number, done);
        let message = Message::Order {
            number,
            order: order.clone(),
            source,
        };
        let exchange = async {
            socket.send(&message, None).await.map_err(|_| RelayError)?;
            outcome.await.map_err(|_| RelayError)
        };
        let answer = timeout(RELAY_TIMEOUT, exchange).await;
        self.unanswered.borrow_mut().remove(&number);
        // If the other process has ended meanwhile, this one is alone, and it has carried the order out.
        if !self.is_connected() {
            return None;
        }
        Some(answer.unwrap_or(Err(RelayError)))
    }

    /// Hands a client's connection over. The descriptor here must stay open until the other side has its own, or the
    /// connection would end for the client.
    ///
    /// # Errors
    ///
    /// If there is no other process, or it does not take the connection in time.
    pub async fn hand_over(&self, connection: &HandedOverConnection) -> io::Result<()> {
        let socket = self.socket().ok_or(io::ErrorKind::NotConnected)?;
        let message = Message::Connection {
            used: connection.used,
            unread: connection.unread.clone(),
        };
        let sending = socket.send(&message, Some(connection.socket.as_fd()));
        let sent = timeout(RELAY_TIMEOUT, sending).await;
        sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Handles the messages of the other process until its end.
    pub(super) async fn serve(
        &self,
        socket: Rc<HandoverSocket>,
        orders: &mpsc::Sender<PendingOrder>,
        connections: ConnectionTransfer<'_>,
    ) {
        self.socket.replace(Some(Rc::clone(&socket)));
        loop {
            let (message, descriptor) = match socket.receive().await {
                Ok(Some(received)) => received,
                Ok(None) => break,
                Err(error) => {
                    warn!(%error, "message of the other process is not readable");
                    break;
                }
            };
            let handled = match message {
                Message::Order {
                    number,
                    order,
                    source,
                } => run_order(&socket, orders, number, order, source).await,
                Message::OrderResult { number, outcome } => {
                    self.report_outcome(number, outcome);
                    Some(())
                }
                message => connections.handle(message, descriptor).await,
            };
            if handled.is_none() {
                break;
            }
        }
        self.socket.replace(None);
        self.unanswered.borrow_mut().clear();
    }

    fn report_outcome(&self, number: u32, outcome: OrderOutcome) {
        if let Some(waiting) = self.unanswered.borrow_mut().remove(&number) {
            // The task that waited may have given up meanwhile.
            let _ = waiting.send(outcome);
        }
    }
}

/// Carries out an order of the other process and confirms it; `None` if either side has ended.
async fn run_order(
    socket: &HandoverSocket,
    orders: &mpsc::Sender<PendingOrder>,
    number: u32,
    order: OperatorOrder,
    source: OrderSource,
) -> Option<()> {
    let (done, outcome) = oneshot::channel();
    let pending = PendingOrder {
        order,
        source,
        done,
    };
    orders.send(pending).await.ok()?;
    let outcome = outcome.await.ok()?;
    socket
        .send(&Message::OrderResult { number, outcome }, None)
        .await
        .ok()
}
