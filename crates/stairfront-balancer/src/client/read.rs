//! Reads commands, also those that have waited, and makes requests of them.
use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt};
use stairfront_codec::resp::{CommandMemory, RespError};
use stairfront_policy::interface::Request;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;
use tracing::debug;

use crate::arrival::ArrivalTime;
use crate::client::codec::{ClientCodec, ClientInput};
use crate::client::connection::{
    Connection, ConnectionState, InFlightReply, PendingReply, MAX_OPEN,
};
use crate::client::ending::ConnectionEnd;
use crate::client::idle::SPARE_TIMEOUT;
use crate::clock::Instant;
use crate::memory::ledger::RequestMemory;
use crate::messages::{Answer, Arrival, Command, EngineEvent};
use crate::shared_stream::SharedStream;
use crate::stages::liveness::RequestLiveness;
use crate::stages::parse::Accepted;
use crate::transport::Stream;

/// Bytes that are read at once to be dropped.
const SCRATCH_BYTES: usize = 64 * 1024;
/// A client that always has more commands waiting is handed over with some after so many rounds of them.
const MAX_HANDOVER_READS: u32 = 8;

/// A buffer for what is read to be dropped, one for all connections. It is large, since a sender goes on only once much of
/// what it has sent is read.
#[derive(Debug)]
pub struct ScratchBuffer(RefCell<Box<[u8]>>);

impl Default for ScratchBuffer {
    fn default() -> Self {
        ScratchBuffer(RefCell::new(vec![0; SCRATCH_BYTES].into()))
    }
}

/// The next input of a client. Cancel safe. What is to be dropped is read past the decoder, which has small buffers.
pub(super) async fn next_input<T: Stream>(
    framed: &mut Framed<SharedStream<T>, ClientCodec>,
    scratch: &ScratchBuffer,
) -> Option<Result<ClientInput, RespError>> {
    loop {
        let to_skip = framed.codec().bytes_to_skip();
        if to_skip == 0 || !framed.read_buffer().is_empty() {
            return framed.next().await;
        }
        let read = poll_fn(|cx| {
            let mut scratch = scratch.0.borrow_mut();
            let length = to_skip.min(scratch.len());
            let mut buffer = ReadBuf::new(&mut scratch[..length]);
            let read = Pin::new(framed.get_mut()).poll_read(cx, &mut buffer);
            read.map_ok(|()| buffer.filled().len())
        });
        match read.await {
            Ok(0) => return None,
            Ok(read) => framed.codec_mut().note_skipped(read),
            Err(error) => return Some(Err(error.into())),
        }
    }
}

/// What has been read of a connection.
pub(super) enum ReadEvent {
    /// A whole command, an error, or `None` at the end of the connection.
    Input(Option<Result<ClientInput, RespError>>),
    /// The first part of a command.
    CommandBegun,
}

/// The next event. Cancel safe.
pub(super) async fn next_read_event<T: Stream>(
    framed: &mut Framed<SharedStream<T>, ClientCodec>,
    scratch: &ScratchBuffer,
) -> ReadEvent {
    if !is_between_commands(framed) {
        return ReadEvent::Input(next_input(framed, scratch).await);
    }
    poll_fn(|cx| match framed.poll_next_unpin(cx) {
        Poll::Ready(input) => Poll::Ready(ReadEvent::Input(input)),
        Poll::Pending if is_between_commands(framed) => Poll::Pending,
        Poll::Pending => Poll::Ready(ReadEvent::CommandBegun),
    })
    .await
}

/// Whether nothing of a further command has been read.
pub(super) fn is_between_commands<T: Stream>(
    framed: &Framed<SharedStream<T>, ClientCodec>,
) -> bool {
    framed.read_buffer().is_empty() && framed.codec().bytes_to_skip() == 0
}

impl<T: Stream> Connection<T> {
    /// Handles what was read. With the first part of a command the connection has another deadline.
    pub(super) async fn handle_read(&mut self, event: ReadEvent) -> Result<(), ConnectionEnd> {
        match event {
            ReadEvent::Input(input) => self.handle_input(input).await,
            ReadEvent::CommandBegun => Ok(()),
        }
    }

    /// Handles what was read: a command, an error or the end of the connection.
    pub(super) async fn handle_input(
        &mut self,
        input: Option<Result<ClientInput, RespError>>,
    ) -> Result<(), ConnectionEnd> {
        match input {
            Some(Ok(ClientInput::Command { words, memory })) => {
                self.memory_wait = None;
                self.handle_command(words, memory)
                    .await
                    .map_err(|_| ConnectionEnd::Disconnected)
            }
            Some(Ok(ClientInput::Unreserved(command))) => {
                self.handle_unreserved(command);
                Ok(())
            }
            Some(Err(RespError::Io(_))) | None => Err(ConnectionEnd::Disconnected),
            Some(Err(error)) => {
                debug!(%error, connection = self.number, "malformed input of a client");
                self.context.counters.malformed.add();
                self.pending
                    .push_back(PendingReply::Ready(Answer::Error("ERR Protocol error")));
                self.final_end = Some(ConnectionEnd::AfterAnswer);
                Ok(())
            }
        }
    }

    /// Whether a further command may be read behind those that are open.
    fn may_read_on(&mut self) -> bool {
        self.pending.len() < MAX_OPEN
            && !self.refusing
            && !self.waits_for_memory()
            && self.pacer.paused_until().is_none()
    }

    /// Handles the commands that have come already, so that their answers can be written together: one write for each is
    /// what a balancer that is behind can afford least.
    pub(super) async fn read_available(&mut self) -> Result<(), ConnectionEnd> {
        let handing_over = !self.must_stay && self.context.phase.borrow().hands_over();
        // Nothing is read behind a command that waits for memory, or all that its client sends would be kept here.
        while !handing_over
            && !self.pending.is_empty()
            && self.final_end.is_none()
            && self.may_read_on()
        {
            self.framed.get_ref().resume_reading();
            let Some(command) = next_input(&mut self.framed, &self.context.scratch).now_or_never()
            else {
                return Ok(());
            };
            self.handle_input(command).await?;
        }
        Ok(())
    }

    /// Handles commands that may have waited while earlier ones were answered, before the connection is handed over: the
    /// process that takes over cannot know how old they are.
    pub(super) async fn read_before_handover(&mut self) -> Result<(), ConnectionEnd> {
        let hands_over = !self.must_stay && self.context.phase.borrow().hands_over();
        let has_buffered = !self.framed.read_buffer().is_empty();
        if !hands_over
            || !self.pending.is_empty()
            || self.handover_reads >= MAX_HANDOVER_READS
            || !self.framed.get_ref().may_hold_old_input(has_buffered)
        {
            return Ok(());
        }
        self.handover_reads += 1;
        while self.final_end.is_none() && self.may_read_on() {
            self.framed.get_ref().resume_reading();
            let Some(input) = next_input(&mut self.framed, &self.context.scratch).now_or_never()
            else {
                return Ok(());
            };
            self.handle_input(input).await?;
        }
        Ok(())
    }

    /// Handles a command; fails only when the balancer itself ends.
    async fn handle_command(
        &mut self,
        words: Vec<Bytes>,
        memory: Option<CommandMemory>,
    ) -> Result<(), mpsc::error::SendError<EngineEvent>> {
        let spare = self.is_spare();
        self.state = ConnectionState::Used;
        self.closing = None;
        self.partial_since = None;
        self.partial_bytes = 0;
        self.idle_since = Instant::now();
        let context = &self.context;
        let arrival = ArrivalTime::between(self.framed.get_ref().arrived_after(), Instant::now());
        let reply = match context.parser.parse(words, arrival) {
            Accepted::Request { .. } if self.refusing => self.refuse_request(),
            // The connection stays open for a while, since the client's next request may be on its way.
            Accepted::Request { .. } if spare => {
                self.spare_until = Some(Instant::now() + SPARE_TIMEOUT);
                self.refuse_request()
            }
            Accepted::Request { command, request } => {
                debug!(
                    connection = self.number,
                    request = %command.id.escape_ascii(),
                    info = %command.info.escape_ascii(),
                    uncertain_ms = arrival.uncertainty().as_millis() as u64,
                    "request read"
                );
                match context.memory.reserve_request(command.bytes(), memory) {
                    Some(memory) => {
                        let in_flight = self.open_request(command, request, memory).await?;
                        PendingReply::InFlight(in_flight)
                    }
                    None => self.refuse_request(),
                }
            }
            Accepted::Answered(answer) => {
                if !matches!(answer, Answer::Busy { .. }) {
                    self.pacer.record(&answer);
                }
                PendingReply::Ready(answer)
            }
            Accepted::Last(answer) => {
                self.final_end = Some(ConnectionEnd::AfterAnswer);
                PendingReply::Ready(answer)
            }
        };
        self.pending.push_back(reply);
        Ok(())
    }

    /// The refusal of a request before any decision.
    fn refuse_request(&self) -> PendingReply {
        self.context.counters.over_cap.add();
        PendingReply::Ready(Answer::Busy { after_ms: None })
    }

    /// Reports a request to the engine, which answers it.
    async fn open_request(
        &self,
        command: Command,
        request: Request,
        memory: Rc<RequestMemory>,
    ) -> Result<InFlightReply, mpsc::error::SendError<EngineEvent>> {
        let context = &self.context;
        let request = Request {
            id: context.new_id(),
            ..request
        };
        let (sender, answer) = oneshot::channel();
        let liveness = Rc::new(RequestLiveness::of(self.framed.get_ref().peer()));
        let in_flight = InFlightReply {
            id: request.id,
            answer,
            due_at: self.context.parser.clock.instant_of(request.expires_at),
            liveness: Rc::clone(&liveness),
        };
        let arrival = Arrival {
            request,
            arrived_at: context.parser.clock.now(),
            command,
            memory: Some(memory),
            answer: sender,
            liveness,
        };
        context.events.send(EngineEvent::Arrived(arrival)).await?;
        Ok(in_flight)
    }
}
