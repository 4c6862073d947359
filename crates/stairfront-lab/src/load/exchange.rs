//! A connection from its begin to its end: requests are written, answers read, and a request that the balancer cannot
//! have read is sent again.
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use stairfront_codec::budget::Budget;
use stairfront_codec::resp::{ReplyDecoder, Value};
use stairfront_common::time::{Micros, MS};
use stairfront_emulator::client::Outcome;
use stairfront_emulator::rules::Observation;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Decoder;

use super::client_thread::ClientThread;
use super::connection::{ClientConnection, PendingRequest, QueuedRequest};
use super::protocol::{parse_reply, ParsedReply};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a balancer that refused a connection is avoided while there are others.
const UNAVAILABLE_TTL: Micros = 200 * MS;
/// Looks, a millisecond apart, for the reset behind an end: on loopback it comes at once, or when a kernel thread has had
/// time for it.
const MAX_RESET_CHECKS: u32 = 20;
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(1);
const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// How a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// By the client.
    ByClient,
    /// Before the balancer had read what is pending.
    Unread,
    /// By the balancer.
    Closed,
}

impl ClientThread {
    /// Opens a connection, runs it until its end, and finishes or moves what is pending on it.
    pub(super) async fn run_connection(self: Rc<Self>, connection: Rc<ClientConnection>) {
        let target = &self.balancers[connection.balancer];
        let connect = TcpStream::connect(target.endpoint.address);
        let end = match timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(socket)) => {
                // Without it requests are only sent later.
                let _ = socket.set_nodelay(true);
                self.exchange(socket, &connection).await
            }
            _ => {
                let until = self.clock.now() + UNAVAILABLE_TTL;
                target.unavailable_until.set(until);
                ConnectionEnd::Unread
            }
        };
        connection.closing.set(true);
        target.remove(&connection);
        self.finish_connection(&connection, end);
        self.wakeup.notify_one();
    }

    /// Finishes the requests on a connection that has ended, or gives them to another one.
    fn finish_connection(self: &Rc<Self>, connection: &ClientConnection, end: ConnectionEnd) {
        let now = self.clock.now();
        let all_pending = connection.pending.take();
        for pending in all_pending {
            let request = pending.queued.request;
            let id = request.id;
            let unread = !pending.sent || pending.crossed_close || end == ConnectionEnd::Unread;
            if pending.timed_out {
                self.record(now, Observation::ClientClosed { id });
            } else if unread {
                // The balancer has not read it, so it is sent once more, as clients of this protocol do.
                self.dispatch(QueuedRequest {
                    request,
                    reassignments: pending.queued.reassignments + 1,
                });
            } else if end == ConnectionEnd::ByClient {
                self.record(now, Observation::ClientClosed { id });
                self.finish_attempt(now, &request, Outcome::TimedOut, false);
            } else {
                self.record(now, Observation::ConnectionLost { id });
                self.finish_attempt(now, &request, Outcome::ConnectionLost, false);
            }
        }
    }

    async fn exchange(
        &self,
        mut socket: TcpStream,
        connection: &ClientConnection,
    ) -> ConnectionEnd {
        let mut codec = ReplyDecoder::new(MAX_VALUE_BYTES, &Budget::new(usize::MAX / 2));
        let mut input = BytesMut::with_capacity(READ_BUFFER_BYTES);
        loop {
            if connection.abandoned.get() {
                return ConnectionEnd::ByClient;
            }
            if let Err(end) = self.write_pending(&mut socket, connection).await {
                return end;
            }
            input.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                () = connection.wakeup.notified() => continue,
                read = socket.read_buf(&mut input) => match read {
                    Ok(0) => return self.classify_end_of_stream(&socket, connection).await,
                    Ok(_) => {}
                    Err(_) => return classify_reset(connection),
                },
            }
            loop {
                match codec.decode(&mut input) {
                    Ok(Some(reply)) => self.handle_reply(connection, &reply),
                    Ok(None) => break,
                    Err(_) => return ConnectionEnd::Closed,
                }
            }
            if connection.closing.get() && connection.pending.borrow().is_empty() {
                return ConnectionEnd::ByClient;
            }
        }
    }

    /// Writes the requests that were added since the last time; the error is the end of the connection.
    async fn write_pending(
        &self,
        socket: &mut TcpStream,
        connection: &ClientConnection,
    ) -> Result<(), ConnectionEnd> {
        let out = connection.out.borrow_mut().split();
        if out.is_empty() {
            return Ok(());
        }
        let unsent = connection.count_unsent();
        let written = tokio::select! {
            written = socket.write_all(&out) => written,
            () = connection.wait_until_abandoned() => return Err(ConnectionEnd::ByClient),
        };
        if written.is_err() {
            return Err(classify_reset(connection));
        }
        // This has to be asked right after the write: later, an end behind a request that was read would excuse its loss.
        // An end that came within the write stays in doubt, and counts as crossed.
        let crossed_close = connection.has_answered.get() && peer_has_closed(socket);
        self.record_sent(connection, unsent, crossed_close);
        Ok(())
    }

    /// A request that crossed the close is answered with a reset, which comes behind the end that was read.
    async fn classify_end_of_stream(
        &self,
        socket: &TcpStream,
        connection: &ClientConnection,
    ) -> ConnectionEnd {
        if connection.pending.borrow().is_empty() {
            return ConnectionEnd::ByClient;
        }
        for _ in 0..MAX_RESET_CHECKS {
            if matches!(socket.take_error(), Ok(Some(_))) {
                return classify_reset(connection);
            }
            sleep(RESET_CHECK_INTERVAL).await;
        }
        ConnectionEnd::Closed
    }

    fn record_sent(&self, connection: &ClientConnection, unsent: usize, crossed_close: bool) {
        let now = self.clock.now();
        let mut pending = connection.pending.borrow_mut();
        let written = pending.iter_mut().filter(|pending| !pending.sent);
        for pending in written.take(unsent) {
            pending.sent = true;
            pending.crossed_close = crossed_close;
            let request = &pending.queued.request;
            self.record(
                now,
                Observation::RequestSent {
                    id: request.id,
                    class: request.class,
                    balancer: connection.balancer as u16,
                    deadline: request.deadline,
                },
            );
        }
    }

    fn handle_reply(&self, connection: &ClientConnection, reply: &Value) {
        let now = self.clock.now();
        connection.has_answered.set(true);
        let first = connection.pending.borrow_mut().pop_front();
        let Some(PendingRequest {
            queued, timed_out, ..
        }) = first
        else {
            let balancer = connection.balancer as u16;
            return self.record(now, Observation::UnsolicitedAnswer { balancer });
        };
        let request = queued.request;
        let ParsedReply { answer, end } = parse_reply(reply, request.id);
        self.record(
            now,
            Observation::Answered {
                id: request.id,
                answer,
            },
        );
        // A late answer is for the checker alone: its client has stopped waiting.
        if !timed_out {
            self.finish_attempt(now, &request, end, false);
        }
    }
}

/// A reset on a connection that has answered before means that what crossed it was not read.
fn classify_reset(connection: &ClientConnection) -> ConnectionEnd {
    if connection.has_answered.get() {
        ConnectionEnd::Unread
    } else {
        ConnectionEnd::Closed
    }
}

/// Whether the kernel knows that the peer has closed its side, also behind bytes that nobody has read.
fn peer_has_closed(socket: &TcpStream) -> bool {
    let mut polled = [PollFd::new(socket, PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut polled, Some(&now)).is_ok() && polled[0].revents().contains(PollFlags::RDHUP)
}
