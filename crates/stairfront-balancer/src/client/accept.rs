//! The accept loop, and connections that come from the process before this one.
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};
use tokio_util::task::TaskTracker;
use tracing::{debug, warn};

use crate::arrival::{InputWatch, PollClock};
use crate::client::admission::PermitSource;
use crate::client::context::ClientContext;
use crate::client::ending::serve_connection;
use crate::client::permits::{ClientPermit, ClientPermits};
use crate::clock::{sleep, timeout, Instant};
use crate::lifecycle::handover::HandedOverConnection;
use crate::transport::{Listener, Stream};

/// Pause after an accept that failed for want of descriptors or memory.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// How long a process that hands its connections over waits for the end of the process before it, which was told to end
/// earlier.
const PREDECESSOR_END_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection that has been accepted, here or by the old process.
pub(super) struct AcceptedConnection<T> {
    pub(super) socket: T,
    /// Whether it has carried a command.
    pub(super) used: bool,
    /// Bytes read of the next command.
    pub(super) unread: Vec<u8>,
    /// Nothing unread had come at this time.
    pub(super) empty_at: Instant,
}

impl<T: Stream> AcceptedConnection<T> {
    fn new(socket: T, empty_at: Instant) -> Self {
        AcceptedConnection {
            socket,
            used: false,
            unread: Vec::new(),
            empty_at,
        }
    }

    /// A connection of another process, which gives none away on which something old is unread.
    pub(super) fn adopt(handed_over: HandedOverConnection, polls: &PollClock) -> io::Result<Self> {
        Ok(AcceptedConnection {
            socket: T::adopt(handed_over.socket)?,
            used: handed_over.used,
            unread: handed_over.unread,
            empty_at: polls.last_poll_without(),
        })
    }
}

/// Accepts until shutdown closes the listener, then waits for all connections to end. `handed_over` brings connections
/// from the process that this one takes over from.
pub async fn serve<L: Listener>(
    listener: L,
    context: Rc<ClientContext>,
    handed_over: mpsc::Receiver<HandedOverConnection>,
) {
    let mut permits = PermitSource::new(&context.permits);
    let tasks = TaskTracker::new();
    let mut phase = context.phase.clone();
    let adopting = spawn_local(adopt_connections::<L::Stream>(
        handed_over,
        Rc::clone(&context),
        tasks.clone(),
    ));
    let waiting = InputWatch::new(&context.polls, Instant::now());
    // A successor accepts all connections from its start on.
    while !phase.borrow().hands_over() {
        let accepted = tokio::select! {
            biased;
            accepted = accept_in_turn(&listener, &waiting, &context.permits) => accepted,
            _ = phase.wait_for(|phase| phase.listener_closed()) => break,
        };
        match accepted {
            Ok(accepted) => {
                context.counters.client_connections_accepted.add();
                permits.relieve(&context.pressure);
                match permits.next(&context.pressure).await {
                    Ok(Some(permit)) => {
                        let serving = serve_connection(accepted, Rc::clone(&context), permit);
                        spawn_local(tasks.track_future(serving));
                    }
                    // Its client learns from the close that nothing was read.
                    Ok(None) => debug!("client connection closed, since no permit came free"),
                    Err(_) => break,
                }
            }
            Err(error) => {
                warn!(%error, "client connection not accepted");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
    drop(listener);
    stop_adopting(adopting, &context).await;
    tasks.close();
    tasks.wait().await;
}

/// Ends the adoption of connections. What the process before this one still hands over goes on to the successor, where
/// there is one; the other process then ends first.
async fn stop_adopting(mut adopting: JoinHandle<()>, context: &ClientContext) {
    if context.phase.borrow().hands_over() {
        // A process that does not end by itself must not keep this one from ending.
        let _ = timeout(PREDECESSOR_END_TIMEOUT, &mut adopting).await;
    }
    adopting.abort();
}

/// The next connection, while this process of the balancer is the one that accepts.
async fn accept_in_turn<L: Listener>(
    listener: &L,
    waiting: &InputWatch,
    permits: &ClientPermits,
) -> io::Result<AcceptedConnection<L::Stream>> {
    loop {
        waiting.note_empty(permits.until_accepting().await);
        tokio::select! {
            biased;
            () = permits.until_not_accepting() => {}
            accepted = accept_next(listener, waiting) => return accepted,
        }
    }
}

/// The next connection. It may have waited, with commands on it, since none was last seen waiting.
async fn accept_next<L: Listener>(
    listener: &L,
    waiting: &InputWatch,
) -> io::Result<AcceptedConnection<L::Stream>> {
    waiting.resume();
    let mut accepting = pin!(listener.accept());
    let accepted = poll_fn(|cx| {
        let accepted = accepting.as_mut().poll(cx);
        if accepted.is_pending() {
            waiting.note_pending();
        }
        accepted
    });
    let socket = accepted.await?;
    Ok(AcceptedConnection::new(socket, waiting.note_input()))
}

/// Takes connections from the old process for as long as any come.
async fn adopt_connections<T: Stream>(
    mut handed_over: mpsc::Receiver<HandedOverConnection>,
    context: Rc<ClientContext>,
    tasks: TaskTracker,
) {
    while let Some(connection) = handed_over.recv().await {
        let permit = ClientPermit::inherited(context.permits.inherit());
        match AcceptedConnection::<T>::adopt(connection, &context.polls) {
            Ok(accepted) => {
                let serving = serve_connection(accepted, Rc::clone(&context), permit);
                spawn_local(tasks.track_future(serving));
            }
            Err(error) => warn!(%error, "connection of the predecessor lost"),
        }
    }
    context
        .permits
        .predecessor_ended(context.polls.last_poll_without());
}
