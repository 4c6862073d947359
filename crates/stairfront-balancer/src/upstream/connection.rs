//! One connection to a server: a task that owns the socket, carries one attempt at a time and gives the socket back
//! by ending.
use std::cell::Cell;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use futures_util::{SinkExt, StreamExt};
use stairfront_codec::budget::Budget;
use stairfront_codec::buffer::shrink;
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Decoder, Encoder, Framed};
use tracing::debug;

use crate::clock::{sleep_until, timeout, timeout_at, Instant};
use crate::counters::Counters;
use crate::messages::{
    AnswerBody, AttemptEnd, BodyChunk, ConnectionId, EngineEvent, Job, Outgoing, PoolEvent, Verdict,
};
use crate::transport::{Network, Stream, Unread};

/// Pieces of a large value that wait for its client.
const MAX_QUEUED_CHUNKS: usize = 1;
/// The most that one piece of a large value has. Danger: each costs two system calls and two wakes, and with the few
/// kilobytes that a codec reads at once a part of a core is used up by them alone.
const PIECE: usize = 32 * 1024;
/// With less room than this a buffer is not read into any more.
const LEAST_ROOM: usize = 4 * 1024;

/// How one kind of server is spoken to.
pub trait UpstreamProtocol:
    Decoder<Item = MessagePart<Self::Reply>>
    + Encoder<Outgoing, Error = <Self as Decoder>::Error>
    + Sized
{
    type Reply: Debug;
    /// What stands behind a value that was written apart from its command.
    const BEHIND: &'static [u8];
    fn new(address: SocketAddr, largest_value: usize, budget: &Rc<Budget>) -> Self;
    /// What a reply means, and whether the connection can carry another request.
    fn verdict(reply: Self::Reply, report: &[String]) -> (Verdict, bool);
    /// Whether what came could not be read, or nothing more could come.
    fn is_malformed(error: &<Self as Decoder>::Error) -> bool;
}

/// What every connection's task needs to know.
pub struct ConnectionContext<N> {
    pub network: N,
    pub inbox: mpsc::Sender<EngineEvent>,
    pub counters: Rc<Counters>,
    pub report: Vec<String>,
    pub connect_timeout: Cell<Duration>,
    pub idle_limit: Cell<Duration>,
    /// A server that brings no byte for so long of a value that it has begun is gone.
    pub stall_limit: Cell<Duration>,
    pub largest_value: usize,
    /// For replies that are not whole yet.
    pub budget: Rc<Budget>,
}

/// The owner of one socket.
pub struct ConnectionTask<N: Network> {
    pub id: ConnectionId,
    pub address: SocketAddr,
    /// Raised when nothing new may be begun at this server.
    pub barred: Rc<Cell<bool>>,
    pub common: Rc<ConnectionContext<N>>,
    pub jobs: mpsc::Receiver<Job>,
}

impl<N: Network> ConnectionTask<N> {
    pub async fn run<S: UpstreamProtocol>(mut self, first: Job)
    where
        <S as Decoder>::Error: std::fmt::Display + 'static,
    {
        let mut job = first;
        let mut wire = match self.connect::<S>(&mut job).await {
            Ok(wire) => wire,
            Err(outcome) => {
                let outcome = if job.has_lapsed() {
                    Outcome::NeverSent
                } else {
                    outcome
                };
                return self
                    .closed(Some(job.end(Verdict::bare(outcome))), None)
                    .await;
            }
        };
        loop {
            if self.barred.get() {
                // The socket goes first, as always; not a byte of the attempt was written.
                drop(wire);
                return self
                    .closed(Some(job.end(Verdict::bare(Outcome::NeverSent))), None)
                    .await;
            }
            // The server may count from here at the earliest: its answer, or this loop, may have been late.
            let used = Instant::now();
            let exchanged = match job.may_begin() {
                true => exchange(&mut wire, &mut job, &self.common.report).await,
                // Nothing was written: the connection is as good as it was.
                false => ExchangeOutcome::Over(Verdict::bare(Outcome::NeverSent), true),
            };
            let (end, reusable) = match exchanged {
                ExchangeOutcome::Over(verdict, reusable) => (Some(job.end(verdict)), reusable),
                ExchangeOutcome::Begun(verdict, length) => {
                    let (pieces, coming) = mpsc::channel(MAX_QUEUED_CHUNKS);
                    let rest = Some(AnswerBody {
                        length,
                        pieces: coming,
                    });
                    let end = AttemptEnd {
                        rest,
                        ..job.end(verdict)
                    };
                    self.tell(PoolEvent::Begun { end }).await;
                    (None, pass_on(&mut wire, &pieces, &self.common).await)
                }
            };
            let surplus = reusable && !is_quiet(&wire);
            // One that its server has closed behind the answer brings nothing more.
            let more = surplus && has_more(&wire);
            if surplus {
                self.common.counters.server_connections_surplus.add();
            }
            if !reusable || surplus {
                // Danger: late bytes must never reach another request, and the attempt must be over for the
                // server before another one is sent. So the socket is closed before the end is told.
                drop(wire);
                return self.closed_with(end, None, more).await;
            }
            self.tell(PoolEvent::Idle {
                connection: self.id,
                end,
            })
            .await;
            let until = used + self.common.idle_limit.get();
            let next = self.next_job(&mut wire, until).await;
            let quiet = is_quiet(&wire);
            match next {
                // Danger: a loop that stood still finds the job and the end of the time at once.
                Some(next) if quiet && Instant::now() < until => job = next,
                next => {
                    let surplus = has_more(&wire);
                    if surplus {
                        self.common.counters.server_connections_surplus.add();
                    }
                    drop(wire);
                    self.jobs.close();
                    let unsent = next.or_else(|| self.jobs.try_recv().ok());
                    return self.closed_with(None, unsent, surplus).await;
                }
            }
        }
    }

    async fn connect<S: UpstreamProtocol>(
        &self,
        job: &mut Job,
    ) -> Result<Framed<N::Stream, S>, Outcome> {
        let limit = job.connect_limit(self.common.connect_timeout.get());
        tokio::select! {
            biased;
            () = cancelled(&mut job.cancel) => Err(Outcome::Cancelled),
            connected = timeout_at(limit, self.common.network.connect(self.address)) => match connected {
                Ok(Ok(socket)) => {
                    let ConnectionContext { largest_value, budget, .. } = &*self.common;
                    Ok(Framed::new(socket, S::new(self.address, *largest_value, budget)))
                }
                Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
            },
        }
    }

    /// The next attempt for this connection; none if it has ended, stood idle too long or is to close.
    async fn next_job<S: UpstreamProtocol>(
        &mut self,
        wire: &mut Framed<N::Stream, S>,
        until: Instant,
    ) -> Option<Job> {
        tokio::select! {
            biased;
            // The end of the connection, or bytes that nobody asked for: either way it is of no more use.
            () = wire.get_ref().arrival() => None,
            job = timeout_at(until, self.jobs.recv()) => job.ok().flatten(),
        }
    }

    async fn closed(self, end: Option<AttemptEnd>, unsent: Option<Job>) {
        self.closed_with(end, unsent, false).await;
    }

    async fn closed_with(self, end: Option<AttemptEnd>, unsent: Option<Job>, surplus: bool) {
        let (connection, unsent) = (self.id, unsent.map(Box::new));
        self.tell(PoolEvent::Closed {
            connection,
            end,
            unsent,
            surplus,
        })
        .await;
    }

    async fn tell(&self, news: PoolEvent) {
        // The engine is gone only when the whole balancer ends.
        let _ = self
            .common
            .inbox
            .send(EngineEvent::UpstreamPool(news))
            .await;
    }
}

/// Danger: a reply names no request. What stands behind a good one would answer the next request on the connection.
fn is_quiet<T: Stream, S>(wire: &Framed<T, S>) -> bool {
    wire.read_buffer().is_empty() && wire.get_ref().unread() == Unread::Nothing
}

/// Bytes stand behind what was asked for.
fn has_more<T: Stream, S>(wire: &Framed<T, S>) -> bool {
    !wire.read_buffer().is_empty() || wire.get_ref().unread() == Unread::Bytes
}

async fn cancelled(cancel: &mut oneshot::Receiver<()>) {
    if cancel.await.is_err() {
        std::future::pending().await
    }
}

/// What became of a command.
enum ExchangeOutcome {
    /// The attempt is over; whether the connection can be used again.
    Over(Verdict, bool),
    /// A value of so many bytes has begun to come.
    Begun(Verdict, usize),
}

/// Passes a large value on as it comes; whether the connection can be used again. Danger: read ahead of its client, values
/// together far over the memory limit would be held. What is not wanted yet stays with the server.
async fn pass_on<T: Stream, S: UpstreamProtocol, N>(
    wire: &mut Framed<T, S>,
    pieces: &mpsc::Sender<BodyChunk>,
    common: &ConnectionContext<N>,
) -> bool
where
    <S as Decoder>::Error: std::fmt::Display + 'static,
{
    loop {
        // What is left of the last buffer is filled first: many small pieces share one.
        let buffer = wire.read_buffer_mut();
        if buffer.capacity() - buffer.len() < LEAST_ROOM {
            buffer.reserve(PIECE);
        }
        let part = match timeout(common.stall_limit.get(), wire.next()).await {
            Ok(Some(Ok(part))) => part,
            Ok(Some(Err(problem))) => {
                debug!("a large value broke: {problem}");
                break;
            }
            Ok(None) | Err(_) => break,
        };
        let (piece, reusable) = match part {
            MessagePart::Chunk(bytes) => (BodyChunk::Bytes(bytes), None),
            MessagePart::End(reply) => match S::verdict(reply, &common.report) {
                (
                    Verdict {
                        outcome: Outcome::Served,
                        ..
                    },
                    reusable,
                ) => (BodyChunk::End, Some(reusable)),
                // What stands behind the value belongs to no answer: the value may be wrong as well.
                _ => break,
            },
            MessagePart::Complete(_) | MessagePart::Head { .. } => break,
        };
        // The client has left, or reads nothing.
        if pieces.send(piece).await.is_err() {
            return false;
        }
        if let Some(reusable) = reusable {
            return reusable;
        }
    }
    common.counters.streams_broken.add();
    false
}

/// One command and what comes back.
async fn exchange<T: Stream, S: UpstreamProtocol>(
    wire: &mut Framed<T, S>,
    job: &mut Job,
    report: &[String],
) -> ExchangeOutcome
where
    <S as Decoder>::Error: std::fmt::Display + 'static,
{
    let left = job.give_up.saturating_duration_since(Instant::now());
    let outgoing = Outgoing {
        command: job.command.clone(),
        left_ms: left.as_millis() as u64,
    };
    let whole_by = job.whole_by();
    let mut written = false;
    let talk = async {
        let apart = outgoing.apart().cloned();
        let sent = async {
            wire.send(outgoing).await?;
            if let Some(value) = apart {
                let socket = wire.get_mut();
                socket
                    .write_all_buf(&mut Buf::chain(value, S::BEHIND))
                    .await?;
                socket.flush().await?;
            }
            Ok::<(), <S as Encoder<Outgoing>>::Error>(())
        };
        match timeout_at(whole_by, sent).await {
            Ok(Ok(())) => {}
            Ok(Err(problem)) => {
                debug!("request not written: {problem}");
                return ExchangeOutcome::Over(Verdict::bare(Outcome::ConnectFailed), false);
            }
            // Closed before its last byte was written, it never ran.
            Err(_) => return ExchangeOutcome::Over(Verdict::bare(Outcome::ConnectFailed), false),
        }
        written = true;
        shrink(wire.write_buffer_mut());
        match wire.next().await {
            Some(Ok(MessagePart::Complete(reply))) => {
                let (verdict, reusable) = S::verdict(reply, report);
                ExchangeOutcome::Over(verdict, reusable)
            }
            Some(Ok(MessagePart::Head { length, reply })) => {
                let (verdict, _) = S::verdict(reply, report);
                ExchangeOutcome::Begun(
                    Verdict {
                        value: None,
                        ..verdict
                    },
                    length,
                )
            }
            // No reader yields these first.
            Some(Ok(MessagePart::Chunk(_) | MessagePart::End(_))) => {
                ExchangeOutcome::Over(Verdict::bare(Outcome::Malformed), false)
            }
            Some(Err(problem)) => {
                debug!("reply not read: {problem}");
                let outcome = if S::is_malformed(&problem) {
                    Outcome::Malformed
                } else {
                    Outcome::Reset
                };
                ExchangeOutcome::Over(Verdict::bare(outcome), false)
            }
            None => ExchangeOutcome::Over(Verdict::bare(Outcome::Reset), false),
        }
    };
    let outcome = tokio::select! {
        biased;
        done = talk => return done,
        () = cancelled(&mut job.cancel) => Outcome::Cancelled,
        () = sleep_until(job.give_up) => Outcome::TimedOut,
    };
    // What was never written whole never ran.
    let outcome = if !written && outcome == Outcome::TimedOut {
        Outcome::ConnectFailed
    } else {
        outcome
    };
    ExchangeOutcome::Over(Verdict::bare(outcome), false)
}
