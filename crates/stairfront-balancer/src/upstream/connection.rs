//! One connection to a server: a task that owns the socket, carries one attempt at a time, and ends by closing the socket.
use std::cell::Cell;
use std::fmt::{Debug, Display};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use stairfront_codec::budget::Budget;
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::Outcome;
use tokio::sync::mpsc;
use tokio_util::codec::{Decoder, Encoder, Framed};
use tracing::debug;

use crate::clock::{timeout, timeout_at, Instant};
use crate::counters::Counters;
use crate::messages::{
    AnswerBody, AttemptEnd, AttemptOutcome, BodyChunk, ConnectionId, EngineEvent, Job, Outgoing,
    PoolEvent,
};
use crate::transport::{Network, Stream, Unread};
use crate::upstream::exchange::{cancelled, exchange, ExchangeOutcome};

/// Chunks of a large value that wait for its client.
const MAX_QUEUED_CHUNKS: usize = 1;
/// The most bytes that one chunk of a large value has. Each costs two system calls and two wakes; with the few kilobytes
/// that a codec reads at once they would take a part of a core by themselves.
const CHUNK_BYTES: usize = 32 * 1024;
/// With less free space than this a buffer is not read into any more.
const MIN_BUFFER_SPACE: usize = 4 * 1024;

/// The protocol of one kind of server.
pub trait UpstreamProtocol:
    Decoder<Item = MessagePart<Self::Reply>, Error: Display + 'static>
    + Encoder<Outgoing, Error = <Self as Decoder>::Error>
    + Sized
{
    /// A reply as the codec reads it.
    type Reply: Debug;
    /// Bytes that follow a value that was written separately from its command.
    const VALUE_TERMINATOR: &'static [u8];
    /// A codec for one connection.
    fn new(address: SocketAddr, max_value_bytes: usize, budget: &Rc<Budget>) -> Self;
    /// Interprets a reply; `report_fields` names the load report's fields in the order of the settings.
    fn interpret(reply: Self::Reply, report_fields: &[String]) -> InterpretedReply;
    /// Whether the input could not be read, as opposed to a connection that failed.
    fn is_malformed(error: &<Self as Decoder>::Error) -> bool;
}

/// A reply as the decision module and the client need it.
#[derive(Debug)]
pub struct InterpretedReply {
    /// The result of the attempt.
    pub result: AttemptOutcome,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

impl InterpretedReply {
    /// A reply in none of the protocol's forms: the attempt may have run, and the connection cannot be used again.
    pub fn malformed() -> Self {
        InterpretedReply {
            result: AttemptOutcome::without_report(Outcome::Malformed),
            reusable: false,
        }
    }
}

/// Shared by the tasks of all connections.
pub struct ConnectionContext<N> {
    /// Makes connections.
    pub network: N,
    /// Leads to the engine.
    pub events: mpsc::Sender<EngineEvent>,
    /// The counters of this process.
    pub counters: Rc<Counters>,
    /// Names of the load report's fields.
    pub report_fields: Vec<String>,
    /// For making a connection.
    pub connect_timeout: Cell<Duration>,
    /// After this an idle connection is closed.
    pub idle_timeout: Cell<Duration>,
    /// A server that sends no byte of a value for this long counts as failed.
    pub stall_timeout: Cell<Duration>,
    /// The largest value that is read.
    pub max_value_bytes: usize,
    /// Memory for replies that have not come as a whole.
    pub budget: Rc<Budget>,
}

/// The owner of one socket.
pub struct ConnectionTask<N: Network> {
    /// Number of the connection.
    pub id: ConnectionId,
    /// The server.
    pub address: SocketAddr,
    /// Set when nothing new may be begun at this server.
    pub barred: Rc<Cell<bool>>,
    /// Shared by all connections.
    pub context: Rc<ConnectionContext<N>>,
    /// Further attempts; the pool drops the sender to have an idle connection closed.
    pub jobs: mpsc::Receiver<Job>,
    /// When the last attempt began.
    pub used_at: Instant,
}

/// The last report of a connection.
#[derive(Default)]
struct Closing {
    end: Option<AttemptEnd>,
    unsent: Option<Job>,
    surplus: bool,
}

impl<N: Network> ConnectionTask<N> {
    /// Connects and carries attempts, `first` before all others, until the connection ends.
    pub async fn run<P: UpstreamProtocol>(mut self, first: Job) {
        let mut job = first;
        let mut framed = match self.connect::<P>(&mut job).await {
            Ok(framed) => framed,
            Err(outcome) => {
                let outcome = if job.window_is_closed() {
                    Outcome::NeverSent
                } else {
                    outcome
                };
                return self.report_closed(closing_after(&job, outcome)).await;
            }
        };
        // In each case the socket is closed before its end is reported: late bytes must never reach another request, and
        // the attempt must be over for the server before another one is sent.
        loop {
            if let Err(closing) = self.carry(&mut framed, job).await {
                drop(framed);
                return self.report_closed(closing).await;
            }
            match self.wait_for_job(&mut framed).await {
                Ok(next) => job = next,
                Err(mut closing) => {
                    drop(framed);
                    self.jobs.close();
                    closing.unsent = closing.unsent.or_else(|| self.jobs.try_recv().ok());
                    return self.report_closed(closing).await;
                }
            }
        }
    }

    async fn connect<P: UpstreamProtocol>(
        &self,
        job: &mut Job,
    ) -> Result<Framed<N::Stream, P>, Outcome> {
        let context = &self.context;
        let deadline = job.connect_deadline(context.connect_timeout.get());
        tokio::select! {
            biased;
            () = cancelled(&mut job.cancel) => Err(Outcome::Cancelled),
            connected = timeout_at(deadline, context.network.connect(self.address)) => match connected {
                Ok(Ok(socket)) => {
                    let codec = P::new(self.address, context.max_value_bytes, &context.budget);
                    Ok(Framed::new(socket, codec))
                }
                Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
            },
        }
    }

    /// Carries one attempt and reports its end; an error if the connection cannot carry another one.
    async fn carry<P: UpstreamProtocol>(
        &mut self,
        framed: &mut Framed<N::Stream, P>,
        mut job: Job,
    ) -> Result<(), Box<Closing>> {
        if self.barred.get() {
            // Not a byte of the attempt was written.
            return Err(closing_after(&job, Outcome::NeverSent));
        }
        self.used_at = Instant::now();
        let outcome = if job.may_begin() {
            exchange(framed, &mut job, &self.context.report_fields).await
        } else {
            // Nothing was written, and the connection can be used again.
            ExchangeOutcome::Finished(InterpretedReply {
                result: AttemptOutcome::without_report(Outcome::NeverSent),
                reusable: true,
            })
        };
        let (end, reusable) = match outcome {
            ExchangeOutcome::Finished(reply) => (Some(job.end(reply.result)), reply.reusable),
            ExchangeOutcome::BodyStarted { result, length } => {
                (None, self.stream_body(framed, &job, result, length).await)
            }
        };
        let has_surplus = reusable && !is_quiet(framed);
        if reusable && !has_surplus {
            let connection = self.id;
            self.report(PoolEvent::Idle { connection, end }).await;
            return Ok(());
        }
        if has_surplus {
            self.context.counters.server_connections_surplus.add();
        }
        Err(Box::new(Closing {
            end,
            unsent: None,
            // A connection that the server has closed behind the answer brings nothing more.
            surplus: has_surplus && has_more_input(framed),
        }))
    }

    /// Reports that a large value has begun to come, and forwards it; whether the connection can be used again.
    async fn stream_body<P: UpstreamProtocol>(
        &self,
        framed: &mut Framed<N::Stream, P>,
        job: &Job,
        result: AttemptOutcome,
        length: usize,
    ) -> bool {
        let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let end = AttemptEnd {
            body: Some(AnswerBody { length, chunks }),
            ..job.end(result)
        };
        self.report(PoolEvent::BodyStarted { end }).await;
        forward_body(framed, &sender, &self.context).await
    }

    /// The next attempt for this connection; an error if the connection has ended, was idle too long or is to close.
    async fn wait_for_job<P: UpstreamProtocol>(
        &mut self,
        framed: &mut Framed<N::Stream, P>,
    ) -> Result<Job, Box<Closing>> {
        // The server may count its own idle time from the last use at the earliest: its answer, or this loop, may have been
        // late.
        let deadline = self.used_at + self.context.idle_timeout.get();
        let next = tokio::select! {
            biased;
            // The end of the connection, or bytes that were not asked for: in both cases it is of no more use.
            () = framed.get_ref().arrival() => None,
            job = timeout_at(deadline, self.jobs.recv()) => job.ok().flatten(),
        };
        // A loop that stood still finds the job and the deadline at once.
        let usable = is_quiet(framed) && Instant::now() < deadline;
        match next {
            Some(job) if usable => Ok(job),
            unsent => {
                let surplus = has_more_input(framed);
                if surplus {
                    self.context.counters.server_connections_surplus.add();
                }
                Err(Box::new(Closing {
                    end: None,
                    unsent,
                    surplus,
                }))
            }
        }
    }

    async fn report_closed(self, closing: Box<Closing>) {
        self.report(PoolEvent::Closed {
            connection: self.id,
            end: closing.end,
            unsent: closing.unsent.map(Box::new),
            surplus: closing.surplus,
        })
        .await;
    }

    async fn report(&self, event: PoolEvent) {
        // The engine ends only with the whole balancer.
        let _ = self.context.events.send(EngineEvent::Pool(event)).await;
    }
}

/// A connection that ends with an attempt of which the server has reported nothing.
fn closing_after(job: &Job, outcome: Outcome) -> Box<Closing> {
    Box::new(Closing {
        end: Some(job.end(AttemptOutcome::without_report(outcome))),
        ..Closing::default()
    })
}

/// Whether nothing has come behind the last reply. A reply names no request: what stands behind a well-formed one would
/// answer the next request on the connection.
fn is_quiet<T: Stream, P>(framed: &Framed<T, P>) -> bool {
    framed.read_buffer().is_empty() && framed.get_ref().unread() == Unread::Nothing
}

/// Whether bytes have come behind what was asked for.
fn has_more_input<T: Stream, P>(framed: &Framed<T, P>) -> bool {
    !framed.read_buffer().is_empty() || framed.get_ref().unread() == Unread::Bytes
}

/// Forwards a large value as it comes; whether the connection can be used again. Only one chunk is read ahead of the
/// client, since such values together may be far larger than the memory limit; the rest stays with the server.
async fn forward_body<T: Stream, P: UpstreamProtocol, N>(
    framed: &mut Framed<T, P>,
    chunks: &mpsc::Sender<BodyChunk>,
    context: &ConnectionContext<N>,
) -> bool {
    loop {
        let Some(part) = read_body_part(framed, context.stall_timeout.get()).await else {
            break;
        };
        let (chunk, reusable) = match part {
            MessagePart::Chunk(bytes) => (BodyChunk::Bytes(bytes), None),
            MessagePart::End(reply) => {
                let reply = P::interpret(reply, &context.report_fields);
                // Bytes behind the value belong to no answer, so the value may be wrong as well.
                if reply.result.outcome != Outcome::Served {
                    break;
                }
                (BodyChunk::End, Some(reply.reusable))
            }
            MessagePart::Complete(_) | MessagePart::Head { .. } => break,
        };
        // The client has left, or reads nothing.
        if chunks.send(chunk).await.is_err() {
            return false;
        }
        if let Some(reusable) = reusable {
            return reusable;
        }
    }
    context.counters.streams_broken.add();
    false
}

/// The next part of a large value; `None` if the server stalls or the connection fails.
async fn read_body_part<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    limit: Duration,
) -> Option<MessagePart<P::Reply>> {
    // The rest of the last buffer is filled first, so that many small chunks share one.
    let buffer = framed.read_buffer_mut();
    if buffer.capacity() - buffer.len() < MIN_BUFFER_SPACE {
        buffer.reserve(CHUNK_BYTES);
    }
    match timeout(limit, framed.next()).await {
        Ok(Some(Ok(part))) => Some(part),
        Ok(Some(Err(error))) => {
            debug!(%error, "large value broken off");
            None
        }
        Ok(None) | Err(_) => None,
    }
}
