//! One connection to a server: a task that owns the socket, carries one attempt at a time, and ends by closing the socket.
//!
//! It carries as many attempts as there are proofs that an answer is the attempt's own (`proof.rs`).
use std::cell::Cell;
use std::fmt::{Debug, Display};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::buffer::MAX_RETAINED_CAPACITY;
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::Outcome;
use tokio::sync::mpsc;
use tokio_util::codec::{Decoder, Encoder, Framed, FramedParts};
use tracing::{debug, warn};

use crate::clock::{timeout_at, Instant};
use crate::counters::Counters;
use crate::list_freshness::ListFreshness;
use crate::memory::ledger::MemoryLedger;
use crate::messages::{
    AnswerBody, AttemptEnd, AttemptOutcome, ConnectionId, EngineEvent, HeldBytes, Job, Outgoing,
    PoolEvent,
};
use crate::transport::{is_quiet, Network, Stream, Unread};
use crate::upstream::exchange::{cancelled, exchange, ExchangeOutcome};
use crate::upstream::large_body::{forward_body, LargeBody, StreamMemory};
use crate::upstream::proof::AnswerProof;
use crate::upstream::send_gate::SendRefusal;

/// Chunks of a large value that wait for its client.
const MAX_QUEUED_CHUNKS: usize = 1;
/// How often an attempt waits for a list that is on its way; most take a turn of the event loop or two.
const MAX_LIST_WAITS: u32 = 100;
/// Time between two log lines on a surplus.
const SURPLUS_LOG_INTERVAL: Duration = Duration::from_secs(60);

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
    /// A command that has no effect, and whose reply comes in order and equals that of no request. Empty where the protocol
    /// has none: a connection carries one request then.
    const MARKER: &'static [u8];
    /// A codec for one connection.
    fn new(address: SocketAddr, max_value_bytes: usize, budget: &Rc<Budget>) -> Self;
    /// Interprets a reply, which is malformed if it has none of the protocol's forms; `report_fields` names the load
    /// report's fields in the order of the settings.
    fn interpret(reply: Self::Reply, report_fields: &[String]) -> AttemptOutcome;
    /// Whether a reply is that of the marker.
    fn is_marker_reply(reply: &Self::Reply) -> bool;
    /// Whether the input could not be read, as opposed to a connection that failed.
    fn is_malformed(error: &<Self as Decoder>::Error) -> bool;
    /// Whether there was no memory for the input.
    fn is_out_of_memory(error: &<Self as Decoder>::Error) -> bool;
    /// The memory of the last reply if it keeps the buffer into which it was read.
    fn take_memory(&mut self) -> Option<Reservation>;
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
    /// Memory for replies and large values.
    pub memory: Rc<MemoryLedger>,
    /// When a surplus was last logged.
    pub surplus_logged_at: Cell<Option<Instant>>,
    /// Whether the endpoint list in use is the newest that discovery has sent.
    pub lists: Rc<ListFreshness>,
}

/// The owner of one socket.
pub struct ConnectionTask<N: Network> {
    /// Number of the connection.
    pub id: ConnectionId,
    /// The server.
    pub address: SocketAddr,
    /// Shared by all connections.
    pub context: Rc<ConnectionContext<N>>,
    /// Further attempts; the pool drops the sender to have an idle connection closed.
    pub jobs: mpsc::Receiver<Job>,
    /// When the last attempt began.
    pub used_at: Instant,
}

/// An attempt that has ended on a connection.
struct CarriedAttempt {
    /// Its end, unless a large value has ended it before.
    end: Option<AttemptEnd>,
    /// What will prove the answer to another attempt; `None` if the connection can carry no other.
    next: Option<AnswerProof>,
    /// Whether more came than the answer.
    surplus: bool,
    /// Whether the server has answered, and all of the command was sent.
    complete: bool,
}

impl CarriedAttempt {
    /// One that ends its connection before the exchange is complete.
    fn incomplete(job: &Job, outcome: Outcome) -> Self {
        CarriedAttempt {
            end: Some(unanswered(job, outcome)),
            next: None,
            surplus: false,
            complete: false,
        }
    }
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
        let mut proof = AnswerProof::FirstRequest;
        loop {
            match self.carry(&mut framed, job, proof).await {
                Ok(next) => proof = next,
                Err(closing) => {
                    drop(framed);
                    return self.report_closed(closing).await;
                }
            }
            match self.wait_for_job(&mut framed).await {
                Ok(next) => job = next,
                Err(mut closing) => {
                    framed.get_ref().deliver_unsent_on_close();
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
                    socket.discard_unsent_on_close();
                    let replies = &context.memory.replies;
                    let codec = P::new(self.address, context.max_value_bytes, replies);
                    Ok(framed(socket, codec))
                }
                Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
            },
        }
    }

    /// Carries one attempt and reports its end; what will prove the answer to another one, or an error if the connection
    /// cannot carry another one.
    async fn carry<P: UpstreamProtocol>(
        &mut self,
        framed: &mut Framed<N::Stream, P>,
        mut job: Job,
        proof: AnswerProof,
    ) -> Result<AnswerProof, Box<Closing>> {
        let mut waits = 0;
        let carried = loop {
            if (proof == AnswerProof::FirstRequest || waits > 0) && !is_quiet(framed) {
                return Err(self.closing_before(framed, job, proof));
            }
            self.used_at = Instant::now();
            match self.perform(framed, &mut job, proof).await {
                Ok(carried) => break carried,
                Err(SendRefusal::ListPending) if waits < MAX_LIST_WAITS => {
                    self.context.lists.wait(waits).await;
                    waits += 1;
                }
                Err(refusal) => {
                    // Nothing was written, and the connection can be used as before.
                    self.report_idle(Some(job.withhold(refusal))).await;
                    return Ok(proof);
                }
            }
        };
        if carried.surplus {
            self.record_surplus(Some(&job));
        }
        if carried.complete && job.window_end.is_some() {
            framed.get_ref().set_unacknowledged_timeout(None);
        }
        match carried.next {
            Some(next) if is_quiet(framed) => {
                self.report_idle(carried.end).await;
                Ok(next)
            }
            _ => {
                if carried.complete {
                    framed.get_ref().deliver_unsent_on_close();
                }
                Err(Box::new(Closing {
                    end: carried.end,
                    unsent: None,
                    surplus: carried.surplus,
                }))
            }
        }
    }

    /// The end of a connection that has ended, or on which something came, before the job's first byte. What came on a new
    /// one answers no request; a job for one that was used before goes to another.
    fn closing_before<P: UpstreamProtocol>(
        &self,
        framed: &Framed<N::Stream, P>,
        job: Job,
        proof: AnswerProof,
    ) -> Box<Closing> {
        let surplus = has_more_input(framed);
        if surplus {
            self.record_surplus(Some(&job));
        }
        if proof == AnswerProof::FirstRequest {
            return closing_after(&job, Outcome::ConnectFailed);
        }
        Box::new(Closing {
            end: None,
            unsent: Some(job),
            surplus,
        })
    }

    /// Sends the command of a job and reads what comes back. A reply that broke off is no surplus, nor is the end of a
    /// connection behind a complete one. An error if nothing was written.
    async fn perform<P: UpstreamProtocol>(
        &self,
        framed: &mut Framed<N::Stream, P>,
        job: &mut Job,
        proof: AnswerProof,
    ) -> Result<CarriedAttempt, SendRefusal> {
        let proof = proof.required_for::<P>(&job.command);
        let carried = match exchange(framed, job, proof, &self.context).await {
            ExchangeOutcome::Finished(result, memory) => {
                // A server may answer before it has read all; the rest must not reach it later.
                let complete = framed.get_ref().is_sent();
                CarriedAttempt {
                    end: Some(AttemptEnd {
                        memory,
                        ..job.end(result)
                    }),
                    next: proof.next::<P>().filter(|_| complete),
                    surplus: has_more_input(framed),
                    complete,
                }
            }
            ExchangeOutcome::BodyStarted { result, length } => {
                let Some(memory) = StreamMemory::reserve(&self.context.memory.streams) else {
                    return Ok(served_without_value(job));
                };
                let body = LargeBody {
                    length,
                    proof,
                    memory,
                };
                let complete = self.stream_body(framed, job, result, body).await;
                CarriedAttempt {
                    end: None,
                    next: proof.next::<P>().filter(|_| complete),
                    surplus: complete && has_more_input(framed),
                    complete,
                }
            }
            ExchangeOutcome::NotBegun(refusal) => return Err(refusal),
            ExchangeOutcome::Failed(outcome) => CarriedAttempt::incomplete(job, outcome),
            ExchangeOutcome::OutOfMemory => served_without_value(job),
            ExchangeOutcome::Unproven => CarriedAttempt {
                surplus: true,
                ..CarriedAttempt::incomplete(job, Outcome::Malformed)
            },
        };
        Ok(carried)
    }

    async fn report_idle(&self, end: Option<AttemptEnd>) {
        let connection = self.id;
        self.report(PoolEvent::Idle { connection, end }).await;
    }

    /// Counts and logs that more came on this connection than the answer to a request; `job` is the one on it, if any.
    fn record_surplus(&self, job: Option<&Job>) {
        self.context.counters.server_connections_surplus.add();
        let now = Instant::now();
        let logged_at = self.context.surplus_logged_at.get();
        if logged_at.is_some_and(|at| now < at + SURPLUS_LOG_INTERVAL) {
            return;
        }
        self.context.surplus_logged_at.set(Some(now));
        warn!(
            connection = self.id.0,
            address = %self.address,
            request = job.map(|job| display(job.command.id.escape_ascii())),
            "more came than one answer"
        );
    }

    /// Reports that a large value has begun to come, and forwards it; whether the connection can be used again.
    async fn stream_body<P: UpstreamProtocol>(
        &self,
        framed: &mut Framed<N::Stream, P>,
        job: &Job,
        result: AttemptOutcome,
        body: LargeBody,
    ) -> bool {
        let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let length = body.length;
        let end = AttemptEnd {
            body: Some(AnswerBody {
                length,
                begun_at: Instant::now(),
                held: HeldBytes::default(),
                claim: None,
                chunks,
                memory: Some(body.memory.share()),
            }),
            ..job.end(result)
        };
        self.report(PoolEvent::BodyStarted { end }).await;
        forward_body(framed, body, &sender, &self.context).await
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
                    self.record_surplus(None);
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
        debug!(
            connection = self.id.0,
            address = %self.address,
            outcome = ?closing.end.as_ref().map(|end| end.result.outcome),
            unsent = closing.unsent.is_some(),
            surplus = closing.surplus,
            "server connection closed"
        );
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

/// The end of an attempt of which the server has reported nothing.
fn unanswered(job: &Job, outcome: Outcome) -> AttemptEnd {
    job.end(AttemptOutcome::without_report(outcome))
}

/// An attempt that the server has served, without memory for the value. The rest of the reply is not read.
fn served_without_value(job: &Job) -> CarriedAttempt {
    debug!(
        request = %job.command.id.escape_ascii(),
        "no memory for a reply"
    );
    CarriedAttempt::incomplete(job, Outcome::Served)
}

/// A connection with buffers of the size that it keeps.
fn framed<T: Stream, P: UpstreamProtocol>(socket: T, codec: P) -> Framed<T, P> {
    let mut parts = FramedParts::new(socket, codec);
    parts.read_buf = BytesMut::with_capacity(MAX_RETAINED_CAPACITY);
    parts.write_buf = BytesMut::new();
    Framed::from_parts(parts)
}

/// A connection that ends with an attempt of which the server has reported nothing.
fn closing_after(job: &Job, outcome: Outcome) -> Box<Closing> {
    Box::new(Closing {
        end: Some(unanswered(job, outcome)),
        ..Closing::default()
    })
}

/// Whether bytes have come behind what was asked for.
fn has_more_input<T: Stream, P>(framed: &Framed<T, P>) -> bool {
    !framed.read_buffer().is_empty() || framed.get_ref().unread() == Unread::Bytes
}
