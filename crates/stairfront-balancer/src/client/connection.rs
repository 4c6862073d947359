//! One client connection: reads commands, keeps their answers in order, and decides at each turn what it waits for.
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairfront_codec::buffer::{copy_with_capacity, MAX_RETAINED_CAPACITY};
use stairfront_policy::interface::RequestId;
use tokio::sync::{oneshot, watch};
use tokio::task::yield_now;
use tokio_util::codec::{Framed, FramedParts};

use crate::client::accept::AcceptedConnection;
use crate::client::admission::SilentGuard;
use crate::client::codec::ClientCodec;
use crate::client::context::ClientContext;
use crate::client::ending::ConnectionEnd;
use crate::client::held_answer::HeldAnswer;
use crate::client::idle::SPARE_TIMEOUT;
use crate::client::memory_wait::MemoryWait;
use crate::client::pacing::CommandPacer;
use crate::client::permits::ClientPermit;
use crate::client::read::next_read_event;
use crate::clock::{sleep, sleep_until, Instant};
use crate::lifecycle::shutdown::Phase;
use crate::messages::{Answer, FinalAnswer};
use crate::shared_stream::SharedStream;
use crate::stages::liveness::RequestLiveness;
use crate::transport::Stream;

/// Commands of one connection that may be open at once; reading waits beyond that. The number is small so that one client
/// that sends hundreds at once does not fill the servers.
pub(super) const MAX_OPEN: usize = 16;
/// Between two checks whether a client is still connected while nothing is read from it. Requests of a client that has
/// left are sent on for 0.3 s at most.
pub(super) const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An answer that is not written, in the order of the commands.
pub(super) enum PendingReply {
    Ready(Answer),
    InFlight(InFlightReply),
    /// A large answer that has begun to come; nothing of it is written.
    Held(HeldAnswer),
}

impl PendingReply {
    /// Until when the answer of a request that is in flight is due.
    pub(super) fn due_at(&self) -> Option<Instant> {
        match self {
            PendingReply::InFlight(in_flight) => Some(in_flight.due_at),
            PendingReply::Ready(_) | PendingReply::Held(_) => None,
        }
    }
}

/// A request that is in flight for as long as this lives. The report that its client has left waits behind all earlier
/// events of the engine; the flag ends at once whatever of the request has not begun.
pub(super) struct InFlightReply {
    pub(super) id: RequestId,
    pub(super) answer: oneshot::Receiver<FinalAnswer>,
    /// Until when its client waits for the first bytes of the answer.
    pub(super) due_at: Instant,
    pub(super) liveness: Rc<RequestLiveness>,
}

impl Drop for InFlightReply {
    fn drop(&mut self) {
        self.liveness.finish();
    }
}

/// How far a connection has been used.
pub(super) enum ConnectionState {
    /// It was accepted a moment ago.
    New,
    /// It has sent no command for a while.
    Silent {
        /// Counts it among the silent ones.
        _guard: SilentGuard,
    },
    /// It has carried a command.
    Used,
}

/// How long a connection that is to close stays open.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Until a command that has begun to come is complete.
    AfterPartialCommand,
    /// No longer than until all that has come is read.
    Immediately,
}

/// One client connection.
pub(super) struct Connection<T: Stream> {
    /// Its number in the log.
    pub(super) number: u64,
    pub(super) framed: Framed<SharedStream<T>, ClientCodec>,
    pub(super) context: Rc<ClientContext>,
    pub(super) pending: VecDeque<PendingReply>,
    /// Set once no command is read any more: the connection ends so as soon as the pending answers are written.
    pub(super) final_end: Option<ConnectionEnd>,
    /// Set once the connection closes as soon as it is certain that no command has come.
    pub(super) closing: Option<CloseReason>,
    pub(super) state: ConnectionState,
    /// When it was accepted, or had its last command or answer.
    pub(super) idle_since: Instant,
    /// Since when a command has been known to be incomplete.
    pub(super) partial_since: Option<Instant>,
    /// Bytes of a partial command at the last idle deadline.
    pub(super) partial_bytes: usize,
    /// The command that waits for memory.
    pub(super) memory_wait: Option<MemoryWait>,
    pub(super) pacer: CommandPacer,
    pub(super) permit: ClientPermit,
    /// Until when a spare connection may wait for its next command.
    pub(super) spare_until: Option<Instant>,
    /// Whether an answer was written to it.
    pub(super) answered: bool,
    /// Whether the process that takes over cannot have it, so that it ends here, between two requests.
    pub(super) must_stay: bool,
    /// How often commands were read here although the process that takes over will have the connection.
    pub(super) handover_reads: u32,
    /// Set at the end of the process: further requests are refused as they are read.
    pub(super) refusing: bool,
}

/// The events that a connection waits for, until one of them happens.
struct WaitConditions {
    /// No request is open.
    idle: bool,
    used: bool,
    /// It is between two commands and makes room for a new connection if it is asked to.
    makes_room: bool,
    /// The same for one that has sent no command for a while.
    makes_room_unused: bool,
    /// The same for one beyond the permits, on which a command may have begun to come.
    makes_room_spare: bool,
    /// The process that takes over gets this connection between two requests.
    handing_over: bool,
    reading: bool,
    waiting_for_memory: bool,
    /// Until when nothing more is read, since it sends commands at full speed.
    paused_until: Option<Instant>,
    /// It ends unless a command has come.
    closing: bool,
    /// It is idle and is not to close.
    staying: bool,
    /// It is idle, and stays or has begun a command: its deadline ends that.
    timed: bool,
}

/// The phases that a connection waits for.
struct PhaseReceivers {
    handing_over: watch::Receiver<Phase>,
    closing_idle: watch::Receiver<Phase>,
    last: watch::Receiver<Phase>,
}

impl<T: Stream> Connection<T> {
    pub(super) fn new(
        accepted: AcceptedConnection<T>,
        context: Rc<ClientContext>,
        permit: ClientPermit,
    ) -> Self {
        let AcceptedConnection {
            socket,
            used,
            unread,
            empty_at,
        } = accepted;
        let stream = SharedStream::new(socket, &context.polls, empty_at);
        let memory = &context.memory;
        let pacer = CommandPacer::new(&context.paused);
        let codec = ClientCodec::new(&memory.commands, &memory.large_commands);
        let mut parts = FramedParts::new::<Answer>(stream, codec);
        parts.read_buf = copy_with_capacity(&unread, MAX_RETAINED_CAPACITY);
        parts.write_buf = BytesMut::new();
        let spare_until = permit.spare.then(|| Instant::now() + SPARE_TIMEOUT);
        Connection {
            number: context.new_connection_number(),
            framed: Framed::from_parts(parts),
            context,
            pending: VecDeque::new(),
            final_end: None,
            closing: None,
            state: if used {
                ConnectionState::Used
            } else {
                ConnectionState::New
            },
            idle_since: Instant::now(),
            partial_since: None,
            partial_bytes: 0,
            memory_wait: None,
            pacer,
            permit,
            spare_until,
            answered: used,
            must_stay: false,
            handover_reads: 0,
            refusing: false,
        }
    }

    /// Serves the connection until it ends.
    pub(super) async fn run(&mut self) -> ConnectionEnd {
        let context = Rc::clone(&self.context);
        let mut phases = PhaseReceivers {
            handing_over: context.phase.clone(),
            closing_idle: context.phase.clone(),
            last: context.phase.clone(),
        };
        loop {
            self.check_memory_wait();
            if let Err(end) = self.read_available().await {
                // Answers that are ready were due before the end came.
                let _ = self.write_ready(None).await;
                return end;
            }
            if self.write_ready(None).await.is_err() {
                return ConnectionEnd::Disconnected;
            }
            if let Err(end) = self.read_before_handover().await {
                return end;
            }
            if self.refusing && self.pending.is_empty() && self.final_end.is_none() {
                return self.refuse_rest().await;
            }
            let conditions = match self.wait_conditions() {
                Ok(conditions) => conditions,
                Err(end) => return end,
            };
            if let Err(end) = self.wait(&conditions, &context, &mut phases).await {
                return end;
            }
        }
    }

    /// Decides what to wait for; an error if the connection ends now.
    fn wait_conditions(&mut self) -> Result<WaitConditions, ConnectionEnd> {
        let idle = self.pending.is_empty();
        if let (true, Some(end)) = (idle, self.final_end) {
            return Err(end);
        }
        if self.must_stay && idle && self.closing.is_none() {
            self.closing = Some(CloseReason::AfterPartialCommand);
        }
        let handing_over = !self.must_stay && self.context.phase.borrow().hands_over();
        // The successor could not know for how long a command has waited.
        let movable = self.framed.read_buffer().len() <= MAX_RETAINED_CAPACITY
            && self.framed.codec().bytes_to_skip() == 0
            && self.memory_wait.is_none();
        if handing_over && idle && movable {
            return Err(ConnectionEnd::HandedOver);
        }
        let waiting_for_memory = self.waits_for_memory();
        let paused_until = self.pacer.paused_until();
        // The successor reads what was not read here, but for the rest of a command that is too large to move.
        let left_to_successor = handing_over && movable;
        let reading = self.final_end.is_none()
            && !self.refusing
            && self.pending.len() < MAX_OPEN
            && !left_to_successor
            && !waiting_for_memory
            && paused_until.is_none();
        // A command that has begun to come is not cut off until the end of its time.
        let no_partial_command = self.is_between_commands();
        self.time_partial_command(reading && !no_partial_command);
        let closing = paused_until.is_none()
            && match self.closing {
                Some(CloseReason::Immediately) => idle,
                Some(CloseReason::AfterPartialCommand) => idle && no_partial_command,
                None => false,
            };
        let used = matches!(self.state, ConnectionState::Used);
        let silent = matches!(self.state, ConnectionState::Silent { .. });
        let spare = self.spare_until.is_some();
        let staying = idle && self.closing.is_none();
        // One that has begun a command is about to be used. A spare one has no permit to give.
        let has_permit_to_give = staying && no_partial_command && !spare;
        Ok(WaitConditions {
            idle,
            used,
            makes_room: has_permit_to_give && used,
            makes_room_unused: has_permit_to_give && silent,
            makes_room_spare: idle && spare && (used || !no_partial_command),
            handing_over,
            reading,
            waiting_for_memory,
            paused_until,
            closing,
            staying,
            timed: idle && !closing && (staying || !no_partial_command),
        })
    }

    /// Handles the next event that happens; an error if the connection ends by it.
    async fn wait(
        &mut self,
        conditions: &WaitConditions,
        context: &ClientContext,
        phases: &mut PhaseReceivers,
    ) -> Result<(), ConnectionEnd> {
        let idle_deadline = self.idle_deadline();
        let memory_check = self.next_memory_check();
        let pause_end = conditions.paused_until.unwrap_or(memory_check);
        self.framed.get_ref().resume_reading();
        tokio::select! {
            biased;
            event = next_read_event(&mut self.framed, &self.context.scratch), if conditions.reading => self.handle_read(event).await?,
            answer = next_answer(&mut self.pending), if !conditions.idle => {
                let due_at = self.pending.pop_front().and_then(|reply| reply.due_at());
                if let Some(answer) = self.hold_large(answer, due_at) {
                    let written = self.write_ready(Some(answer)).await;
                    written.map_err(|_| ConnectionEnd::Disconnected)?;
                }
            }
            // A connection that is read from reports its end by itself.
            () = sleep(DEPARTURE_CHECK_INTERVAL), if !conditions.idle && !conditions.reading => {
                if self.framed.get_ref().has_ended() {
                    return Err(ConnectionEnd::Disconnected);
                }
                self.framed.get_ref().note_unread();
            }
            // Bytes that the client has not sent yet stay with the client.
            () = sleep_until(memory_check), if conditions.waiting_for_memory => {
                if self.framed.get_ref().has_ended() {
                    return Err(ConnectionEnd::Disconnected);
                }
            }
            () = sleep_until(pause_end), if conditions.paused_until.is_some() => {}
            // A request may be in the kernel unseen, and closing would lose it. By the time this is polled again the
            // sockets have been polled, and the read above comes first.
            () = yield_now(), if conditions.closing => {
                if !self.has_unread_input() {
                    return Err(self.close());
                }
            }
            () = context.pressure.until_idle_asked(), if conditions.makes_room => {
                self.closing = Some(CloseReason::AfterPartialCommand);
            }
            () = context.pressure.until_silent_asked(), if conditions.makes_room_unused => {
                self.closing = Some(CloseReason::Immediately);
            }
            // Its next request would be refused.
            () = context.pressure.until_spare_asked(), if conditions.makes_room_spare => {
                self.closing = Some(CloseReason::Immediately);
            }
            () = sleep_until(idle_deadline), if conditions.timed => {
                self.handle_idle_timeout();
            }
            _ = phases.handing_over.wait_for(|phase| phase.hands_over()),
                if !conditions.handing_over && !self.must_stay => {}
            // When the balancer stops, a connection is closed between requests, after what has come is read. A new one,
            // whose request is on its way, is left open for a while.
            _ = phases.closing_idle.wait_for(|phase| phase.closes_idle(conditions.used)), if conditions.staying => {
                self.closing = Some(CloseReason::AfterPartialCommand);
            }
            // A client that always has one more command open, or half of one, must not keep the balancer from ending.
            _ = phases.last.wait_for(|phase| *phase == Phase::Last), if !self.refusing => {
                self.refusing = true;
            }
        }
        Ok(())
    }
}

/// The answer to the oldest unanswered command. Cancel safe: nothing is removed from the queue here.
async fn next_answer(pending: &mut VecDeque<PendingReply>) -> FinalAnswer {
    match pending.front_mut() {
        // A request that the engine drops without an answer has failed.
        Some(PendingReply::InFlight(in_flight)) => (&mut in_flight.answer)
            .await
            .unwrap_or(FinalAnswer::from(Answer::Failed)),
        Some(PendingReply::Held(held)) => held.ready().await,
        // Answers that are ready have been written before.
        Some(PendingReply::Ready(_)) | None => std::future::pending().await,
    }
}
