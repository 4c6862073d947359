//! The life of one connection's task, and how a connection ends.
use std::rc::Rc;
use std::time::Duration;

use futures_util::{FutureExt, SinkExt};
use stairfront_codec::resp::RespError;
use stairfront_policy::interface::RequestId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::FramedParts;
use tracing::{debug, warn};

use crate::client::accept::AcceptedConnection;
use crate::client::connection::{Connection, ConnectionState, PendingReply};
use crate::client::context::ClientContext;
use crate::client::permits::ClientPermit;
use crate::clock::{sleep, timeout};
use crate::lifecycle::handover::HandedOverConnection;
use crate::lifecycle::shutdown::Phase;
use crate::messages::EngineEvent;
use crate::transport::{Stream, Unread};

/// How long the end of a connection waits for the client to read the last answer and to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same for a connection that is closed because the process ends, which may be killed half a second after the last
/// answer.
const SHUTDOWN_LINGER_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes read meanwhile at full speed, and the pause after each further read: a client that goes on sending megabytes
/// must not take the other clients' part of the processor.
const LINGER_BYTES: usize = 64 * 1024;
const LINGER_BUFFER: usize = 4096;
const LINGER_PAUSE: Duration = Duration::from_millis(20);

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum ConnectionEnd {
    /// Between requests, to make room or because it is idle.
    Closed,
    /// Between requests after an answer, because the process ends.
    Stopped,
    /// With an answer that says so.
    AfterAnswer,
    /// The client has left, or cannot be written to.
    Disconnected,
    /// Not at all: the process that takes over goes on with it.
    HandedOver,
}

/// Serves a connection to its end.
pub(super) async fn serve_connection<T: Stream>(
    accepted: AcceptedConnection<T>,
    context: Rc<ClientContext>,
    permit: ClientPermit,
) {
    context.counters.client_connections_open.add();
    let mut connection = Connection::new(accepted, Rc::clone(&context), permit);
    let mut end = connection.run().await;
    while matches!(end, ConnectionEnd::HandedOver) {
        match hand_over(connection).await {
            Ok(permit) => {
                context.counters.client_connections_open.sub();
                return context.permits.give(permit);
            }
            Err(Some(kept)) => connection = kept,
            // The socket is broken.
            Err(None) => return context.counters.client_connections_open.sub(),
        }
        end = connection.run().await;
    }
    debug!(
        connection = connection.number,
        reason = ?end,
        unanswered = connection.pending.len(),
        "client connection closed"
    );
    match end {
        // Nothing is unread and the last answer is old, or there was none. If a request crosses the close, the reset tells
        // the client that it was not read.
        ConnectionEnd::Closed | ConnectionEnd::HandedOver => {}
        // Closed over unread bytes the connection is reset, and an answer that the client has not read is lost.
        ConnectionEnd::Stopped => connection.linger(SHUTDOWN_LINGER_TIMEOUT).await,
        // Who sends what cannot be read must not keep others out.
        ConnectionEnd::AfterAnswer => tokio::select! {
            () = connection.linger(LINGER_TIMEOUT) => {}
            () = context.pressure.until_idle_asked() => {}
        },
        ConnectionEnd::Disconnected => connection.abandon_requests().await,
    }
    // The socket is closed before its permit is returned.
    let Connection { framed, permit, .. } = connection;
    drop(framed);
    context.counters.client_connections_open.sub();
    drop(permit);
}

/// Gives a connection to the process that takes over, with what was read of the next command, and returns its permit.
/// Where that fails the connection is returned, since what was read of it has to be answered here; `None` if its socket
/// is broken.
async fn hand_over<T: Stream>(
    connection: Connection<T>,
) -> Result<ClientPermit, Option<Connection<T>>> {
    let Connection {
        framed,
        context,
        state,
        permit,
        answered,
        ..
    } = connection;
    let FramedParts { io, read_buf, .. } = framed.into_parts();
    let released = io.into_inner().and_then(|socket| socket.release().ok());
    let Some(socket) = released else {
        return Err(None);
    };
    let handed_over = HandedOverConnection {
        socket,
        used: matches!(state, ConnectionState::Used),
        unread: read_buf.to_vec(),
    };
    let Err(error) = context.successor.hand_over(&handed_over).await else {
        context.counters.client_connections_handed.add();
        return Ok(permit);
    };
    warn!(%error, "connection not handed over, serving it to its end");
    let accepted = AcceptedConnection::<T>::adopt(handed_over, &context.polls).map_err(|_| None)?;
    let kept = Connection::new(accepted, context, permit);
    Err(Some(Connection {
        must_stay: true,
        answered,
        ..kept
    }))
}

impl<T: Stream> Connection<T> {
    /// Ends the connection between two requests. Nothing may come between the last look at the socket and the end of this
    /// side: a request that crosses the close has to be sent again by its client.
    pub(super) fn close(&mut self) -> ConnectionEnd {
        let end = self.own_end();
        if matches!(end, ConnectionEnd::Stopped) {
            // All answers have been written; a failure here comes again while it lingers.
            let _ = self.framed.get_mut().shutdown().now_or_never();
        }
        end
    }

    /// How it ends when the balancer and not the client ends it.
    pub(super) fn own_end(&self) -> ConnectionEnd {
        let stopping = self.must_stay || *self.context.phase.borrow() != Phase::Running;
        if stopping && (self.answered || !self.pending.is_empty()) {
            ConnectionEnd::Stopped
        } else {
            ConnectionEnd::Closed
        }
    }

    /// Whether input has come, by the kernel itself, as the last check before a close. With a small part of a core much
    /// time can pass after the event loop has polled, and what has come meanwhile counts as accepted.
    pub(super) fn has_unread_input(&self) -> bool {
        self.framed.get_ref().unread() == Unread::Bytes
    }

    /// Lets the client read the last answer: closing with input unread resets the connection, and what the
    /// client has not read is lost.
    async fn linger(&mut self, limit: Duration) {
        let drained = async {
            self.framed.close().await?;
            // Not within the task, which is there for as long as the connection.
            let mut buffer = vec![0; LINGER_BUFFER];
            let mut total = 0;
            loop {
                match self.framed.get_mut().read(&mut buffer).await? {
                    0 => return Ok::<(), RespError>(()),
                    read => total += read,
                }
                if total > LINGER_BYTES {
                    sleep(LINGER_PAUSE).await;
                }
            }
        };
        // A client that takes longer, or whose connection is broken, does not want the answer.
        let _ = timeout(limit, drained).await;
    }

    /// Reports to the engine the requests whose client has left.
    async fn abandon_requests(&mut self) {
        let request = |reply: PendingReply| match &reply {
            PendingReply::InFlight(in_flight) => Some(in_flight.id),
            PendingReply::Ready(_) | PendingReply::Held(_) => None,
        };
        // All of them are marked as finished before the first report waits for the engine.
        let abandoned: Vec<RequestId> = self.pending.drain(..).filter_map(request).collect();
        for id in abandoned {
            // The engine ends only with the whole balancer.
            let _ = self
                .context
                .events
                .send(EngineEvent::ClientDisconnected(id))
                .await;
        }
    }
}
