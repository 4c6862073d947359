//! Clients: the listener, and one task for each connection, which owns the socket and keeps answers in the order
//! of their commands.
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{self, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{FutureExt, Sink, SinkExt, StreamExt};
use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::buffer::shrink;
use stairfront_codec::resp::{put_bulk, put_line, put_number, CommandDecoder, RespError};
use stairfront_policy::interface::RequestId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, watch, AcquireError, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::{spawn_local, yield_now};
use tokio_util::codec::{Decoder, Encoder, Framed, FramedParts};
use tokio_util::task::TaskTracker;
use tracing::{debug, warn};

use crate::clock::{sleep, sleep_until, timeout, timeout_at, Instant};
use crate::configuration::limits::{large_patience, patience, MAX_SPARE_CONNECTIONS};
use crate::counters::Counters;
use crate::lifecycle::handover::{HandedOverConnection, HandoverChannel, MAX_UNREAD_BYTES};
use crate::lifecycle::shutdown::Phase;
use crate::messages::{Answer, Arrival, BodyChunk, EngineEvent, FinalAnswer};
use crate::stages::parse::{self, Accepted, RequestParser};
use crate::transport::{Listener, Stream, Unread};

/// Commands of one connection that may be open at once; reading waits beyond that. Few, so that one client that sends
/// hundreds at once does not fill the servers.
const MAX_OPEN: usize = 16;
/// A client may take 2 s for the head of a command, and one that has brought no whole command must be closed or told
/// within 3 s.
const SILENT_LIMIT: Duration = Duration::from_millis(2700);
/// The same for one that has carried commands: its client likely has more, and a new connection costs both sides.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// A new connection does not have to make room for so long: its first command is on its way.
const NEW_LIMIT: Duration = Duration::from_millis(200);
/// Between two looks at whether a client is still there while nothing is read from it. What waited for a client that left
/// is sent on for 0.3 s at most.
const DEPARTURE_LOOK: Duration = Duration::from_millis(50);
const UNREAD: RespError = RespError::Malformed("client does not read");
/// Between two looks at whether there is room for a large command.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// What of a large value has to come in the time of a head. Danger: less would let a few bytes now and then hold the room of
/// others for ever.
const LEAST_PROGRESS: usize = 64 * 1024;
/// How long the end of a connection waits for the client to have read the last answer, and to close its side.
const LINGER: Duration = Duration::from_secs(1);
/// The same for a connection that is closed because the process ends, which may be killed half a second after the last
/// answer.
const STOP_LINGER: Duration = Duration::from_millis(400);
/// What is read meanwhile at full speed, and the pause after each further piece. Danger: a client that goes on sending
/// megabytes that nobody wants would take the usual clients' part of the processor.
const LINGER_BYTES: usize = 64 * 1024;
const LINGER_PAUSE: Duration = Duration::from_millis(20);
/// First read buffer of a connection: a usual command has some hundred bytes, and each open one keeps its buffer.
const READ_BUFFER: usize = 1024;
/// Below this part of free places a new connection has one that stands idle close ahead of need: some clients ask once
/// and keep their connection for good.
const LOW_CAPACITY_DIVISOR: usize = 4;
/// Pause after an accept that failed for want of descriptors or memory.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What all client connections share; all of it lives on the one thread.
pub struct ClientContext {
    pub inbox: mpsc::Sender<EngineEvent>,
    pub intake: RequestParser,
    pub counters: Rc<Counters>,
    pub phase: watch::Receiver<Phase>,
    /// Rung to have a connection that nobody uses close.
    pub crowd: ConnectionPressure,
    /// Places of client connections that are free.
    pub places: Arc<Semaphore>,
    /// Places that the old process keeps until it hands over their connections or ends.
    pub elsewhere: Cell<usize>,
    /// The process that takes over, once there is one.
    pub successor: Rc<HandoverChannel>,
    /// For commands that are not whole yet.
    pub budget: Rc<Budget>,
    /// The same for those with a large value.
    pub large: Rc<Budget>,
    pub next_id: Cell<u32>,
}

impl ClientContext {
    fn new_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        RequestId(id)
    }
}

/// The connections that can make room. Those that have brought no command go first, then the one idle longest: waiters
/// are woken in the order in which they came.
#[derive(Default)]
pub struct ConnectionPressure {
    silent: Notify,
    idle: Notify,
    /// How many wait for the first bell.
    silents: Rc<Cell<usize>>,
}

impl ConnectionPressure {
    fn ring(&self) {
        let bell = if self.silents.get() > 0 {
            &self.silent
        } else {
            &self.idle
        };
        bell.notify_one();
    }

    /// Danger: a bell that no connection has heard would close the next one to fall idle, in the face of its client.
    fn take_back(&self) {
        for bell in [&self.silent, &self.idle] {
            let _ = bell.notified().now_or_never();
        }
    }
}

/// A connection that has brought no command for a while, counted for as long as this lives.
struct Silent(Rc<Cell<usize>>);

impl Silent {
    fn new(crowd: &ConnectionPressure) -> Self {
        crowd.silents.set(crowd.silents.get() + 1);
        Silent(Rc::clone(&crowd.silents))
    }
}

impl Drop for Silent {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// How long a new connection waits for a place: with some places in use for a tenth of a second each, one is free soon.
/// Each wait in vain halves the next, down to what an idle connection takes to close, so that a row of new
/// connections before places that are stuck does not wait past its time.
const PLACE_WAIT: Duration = Duration::from_millis(32);
const LEAST_PLACE_WAIT: Duration = Duration::from_millis(2);
/// How long a spare connection may go without a command.
const SPARE_LIMIT: Duration = Duration::from_millis(250);

/// What a connection holds of the limit on sockets, given back as it ends.
struct Slot {
    spare: bool,
    _hold: Hold,
}

#[allow(dead_code)]
enum Hold {
    Permit(OwnedSemaphorePermit),
    InheritedPermit(InheritedPermit),
}

/// A place that a connection has brought from the old process, and leaves here when it ends. Danger: it would wait behind
/// new connections for a place that was its own, and its client with it.
struct InheritedPermit(Arc<Semaphore>);

impl Drop for InheritedPermit {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

/// Takes connections from the old process for as long as any come.
async fn adopt<T: Stream>(
    mut handed: mpsc::Receiver<HandedOverConnection>,
    context: Rc<ClientContext>,
    tasks: TaskTracker,
) {
    while let Some(one) = handed.recv().await {
        let hold = match context.elsewhere.get().checked_sub(1) {
            Some(left) => {
                context.elsewhere.set(left);
                Hold::InheritedPermit(InheritedPermit(Arc::clone(&context.places)))
            }
            // Accepted there after the count was told.
            None => match Arc::clone(&context.places).acquire_owned().await {
                Ok(permit) => Hold::Permit(permit),
                Err(_) => return,
            },
        };
        match AcceptedConnection::<T>::adopt(one) {
            Ok(came) => {
                let place = Slot {
                    spare: false,
                    _hold: hold,
                };
                spawn_local(tasks.track_future(run_connection(came, Rc::clone(&context), place)));
            }
            Err(problem) => warn!("a connection of the old process is lost: {problem}"),
        }
    }
    // What the old one has kept to its end.
    context.places.add_permits(context.elsewhere.take());
}

/// Accepts until shutdown says that no more come, then waits for all connections to end. `handed` brings connections
/// from the process that this one takes over from.
pub async fn serve<L: Listener>(
    listener: L,
    context: Rc<ClientContext>,
    most: usize,
    handed: mpsc::Receiver<HandedOverConnection>,
) {
    let (places, spares) = (
        Arc::clone(&context.places),
        Arc::new(Semaphore::new(MAX_SPARE_CONNECTIONS)),
    );
    let tasks = TaskTracker::new();
    let mut phase = context.phase.clone();
    let mut patience = PLACE_WAIT;
    let adopting = spawn_local(adopt::<L::Stream>(
        handed,
        Rc::clone(&context),
        tasks.clone(),
    ));
    // A successor accepts all that come from now on.
    while !phase.borrow().hands_over() {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted.map(AcceptedConnection::new),
            _ = phase.wait_for(|phase| phase.listener_closed()) => break,
        };
        match accepted {
            Ok(came) => {
                context.counters.client_connections_accepted.add();
                // Those that the old process keeps come back soon.
                if places.available_permits() + context.elsewhere.get()
                    < most / LOW_CAPACITY_DIVISOR
                {
                    context.crowd.ring();
                    context.crowd.take_back();
                }
                let place = take_place(&places, &spares, &context.crowd, patience).await;
                let Ok(place) = place else { break };
                patience = if place.spare {
                    (patience / 2).max(LEAST_PLACE_WAIT)
                } else {
                    PLACE_WAIT
                };
                let connection = run_connection(came, Rc::clone(&context), place);
                spawn_local(tasks.track_future(connection));
            }
            Err(problem) => {
                warn!("cannot accept: {problem}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    adopting.abort();
    tasks.close();
    tasks.wait().await;
}

/// A connection that has come, and what has been read from it elsewhere.
struct AcceptedConnection<T> {
    socket: T,
    used: bool,
    unread: Vec<u8>,
}

impl<T: Stream> AcceptedConnection<T> {
    fn new(socket: T) -> Self {
        AcceptedConnection {
            socket,
            used: false,
            unread: Vec::new(),
        }
    }

    fn adopt(handed: HandedOverConnection) -> io::Result<Self> {
        let HandedOverConnection {
            socket,
            used,
            unread,
        } = handed;
        Ok(AcceptedConnection {
            socket: T::adopt(socket)?,
            used,
            unread,
        })
    }
}

/// Danger: with all places taken a new client would wait for ever behind connections that nobody uses. One of those
/// makes room. With all of them in use the new one gets a spare place, where its request is turned away: unread it would wait past its time and be lost.
async fn take_place(
    places: &Arc<Semaphore>,
    spares: &Arc<Semaphore>,
    crowd: &ConnectionPressure,
    patience: Duration,
) -> Result<Slot, AcquireError> {
    let own = |permit| Slot {
        spare: false,
        _hold: Hold::Permit(permit),
    };
    if let Ok(permit) = Arc::clone(places).try_acquire_owned() {
        return Ok(own(permit));
    }
    crowd.ring();
    let waited = timeout(patience, Arc::clone(places).acquire_owned()).await;
    crowd.take_back();
    if let Ok(permit) = waited {
        return permit.map(own);
    }
    tokio::select! {
        biased;
        permit = Arc::clone(places).acquire_owned() => permit.map(own),
        permit = Arc::clone(spares).acquire_owned() => {
            permit.map(|permit| Slot { spare: true, _hold: Hold::Permit(permit) })
        }
    }
}

/// An answer owed, in the order of the commands.
enum PendingReply {
    Ready(Answer),
    InFlight(InFlightReply),
}

/// A request that is on its way through the balancer for as long as this lives. Danger: word of its client's end waits
/// behind whatever else the engine is told; the flag stops what has not begun wherever it is.
struct InFlightReply {
    id: RequestId,
    answer: oneshot::Receiver<FinalAnswer>,
    over: Rc<Cell<bool>>,
}

impl Drop for InFlightReply {
    fn drop(&mut self) {
        self.over.set(true);
    }
}

/// Commands in, answers out.
#[derive(Debug)]
pub struct ClientCodec(CommandDecoder);

impl ClientCodec {
    /// `budget` is for usual commands that are not whole yet, `large` for those with a large value.
    pub fn new(budget: &Rc<Budget>, large: &Rc<Budget>) -> Self {
        ClientCodec(CommandDecoder::new(budget, large))
    }
}

impl Decoder for ClientCodec {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, RespError> {
        self.0.decode(src)
    }
}

impl Encoder<Answer> for ClientCodec {
    type Error = RespError;

    fn encode(&mut self, answer: Answer, dst: &mut BytesMut) -> Result<(), RespError> {
        match answer {
            Answer::Value(value) => put_bulk(dst, &value),
            Answer::Large(length) => put_number(dst, b'$', length),
            Answer::Busy { after_ms: Some(ms) } => {
                put_line(dst, b'-', format!("BUSY {ms}").as_bytes())
            }
            Answer::Busy { after_ms: None } => put_line(dst, b'-', b"BUSY"),
            Answer::Failed => put_line(dst, b'-', b"ERR failed"),
            Answer::Pong => put_line(dst, b'+', b"PONG"),
            Answer::Ok => put_line(dst, b'+', b"OK"),
            Answer::Error(text) => put_line(dst, b'-', text.as_bytes()),
            Answer::Text(text) => put_bulk(dst, text.as_bytes()),
        }
        Ok(())
    }
}

struct Connection<T: Stream> {
    wire: Framed<T, ClientCodec>,
    context: Rc<ClientContext>,
    owed: VecDeque<PendingReply>,
    /// No command is read any more: what is owed goes out, then the connection ends so.
    last: Option<ConnectionEnd>,
    /// Closes as soon as it is sure that no command has come.
    leaving: Option<CloseReason>,
    standing: ConnectionState,
    /// When it came, or had its last command or answer.
    quiet_since: Instant,
    /// Since when a command has been known to be incomplete.
    half_since: Option<Instant>,
    /// How much of a command had come when its time was last looked at.
    half_read: usize,
    /// A large command waits for room for so many bytes.
    no_room: Option<usize>,
    place: Slot,
    /// Until when a spare connection may wait for its next command.
    spare_until: Option<Instant>,
    /// Something was written to it.
    answered: bool,
    /// The process that takes over cannot have it: it ends here, between two requests.
    stays: bool,
}

/// What a connection has brought so far.
enum ConnectionState {
    New,
    Silent(#[allow(dead_code)] Silent),
    Used,
}

/// What a connection that is to close still waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// For the rest of a command that has begun to come.
    Whole,
    /// For nothing that is not there yet.
    Cut,
}

/// How a connection ends.
#[derive(Clone, Copy)]
enum ConnectionEnd {
    /// Between requests, to make room or for standing idle.
    Closed,
    /// Between requests after an answer, because the process ends.
    Stopped,
    /// With an answer that says so.
    Said,
    /// The client has left, or cannot be written to.
    Gone,
    /// Not at all: the process that takes over goes on with it.
    HandedOver,
}

async fn run_connection<T: Stream>(
    came: AcceptedConnection<T>,
    context: Rc<ClientContext>,
    place: Slot,
) {
    context.counters.client_connections_open.add();
    let mut connection = Connection::new(came, Rc::clone(&context), place);
    let mut end = connection.run().await;
    while matches!(end, ConnectionEnd::HandedOver) {
        match hand_over(connection).await {
            Ok(place) => {
                context.counters.client_connections_open.sub();
                return drop(place);
            }
            Err(Some(kept)) => connection = kept,
            // The socket is broken.
            Err(None) => return context.counters.client_connections_open.sub(),
        }
        end = connection.run().await;
    }
    match end {
        // Nothing is unread and its last answer is old, or nothing was ever said on it: where a request crosses the close
        // the reset tells the client that it was not read.
        ConnectionEnd::Closed => {}
        // Danger: closed over unread bytes it is reset, and the answer that its client has not read yet is gone.
        ConnectionEnd::Stopped => connection.linger(STOP_LINGER).await,
        ConnectionEnd::Said => connection.linger(LINGER).await,
        ConnectionEnd::Gone => connection.abandon().await,
        ConnectionEnd::HandedOver => {}
    }
    // The socket goes first, then its place.
    let Connection { wire, place, .. } = connection;
    drop(wire);
    context.counters.client_connections_open.sub();
    drop(place);
}

/// Gives a connection to the process that takes over, with what was read of the next command, and its place back. Where
/// that fails it stays: what was read of it is owed an answer here.
async fn hand_over<T: Stream>(connection: Connection<T>) -> Result<Slot, Option<Connection<T>>> {
    let Connection {
        wire,
        context,
        standing,
        place,
        answered,
        ..
    } = connection;
    let used = matches!(standing, ConnectionState::Used);
    let FramedParts { io, read_buf, .. } = wire.into_parts();
    let Ok(socket) = io.release() else {
        return Err(None);
    };
    let handed = HandedOverConnection {
        socket,
        used,
        unread: read_buf.to_vec(),
    };
    match context.successor.hand_over(&handed).await {
        Ok(()) => {
            context.counters.client_connections_handed.add();
            Ok(place)
        }
        Err(problem) => {
            warn!(
                "a connection could not be handed over, and is served to its end here: {problem}"
            );
            let came = AcceptedConnection::<T>::adopt(handed).map_err(|_| None)?;
            let kept = Connection::new(came, context, place);
            Err(Some(Connection {
                stays: true,
                answered,
                ..kept
            }))
        }
    }
}

impl<T: Stream> Connection<T> {
    fn new(came: AcceptedConnection<T>, context: Rc<ClientContext>, place: Slot) -> Self {
        let AcceptedConnection {
            socket,
            used,
            unread,
        } = came;
        let mut parts =
            FramedParts::new::<Answer>(socket, ClientCodec::new(&context.budget, &context.large));
        parts.read_buf = BytesMut::with_capacity(READ_BUFFER.max(unread.len()));
        parts.read_buf.extend_from_slice(&unread);
        parts.write_buf = BytesMut::new();
        let spare_until = place.spare.then(|| Instant::now() + SPARE_LIMIT);
        Connection {
            wire: Framed::from_parts(parts),
            context,
            owed: VecDeque::new(),
            last: None,
            leaving: None,
            standing: if used {
                ConnectionState::Used
            } else {
                ConnectionState::New
            },
            quiet_since: Instant::now(),
            half_since: None,
            half_read: 0,
            no_room: None,
            place,
            spare_until,
            answered: used,
            stays: false,
        }
    }

    async fn run(&mut self) -> ConnectionEnd {
        let context = Rc::clone(&self.context);
        let (mut phase, mut last) = (context.phase.clone(), context.phase.clone());
        let mut handover = context.phase.clone();
        loop {
            if let Err(end) = self.take_what_is_there().await {
                // What is ready was owed before the end came.
                let _ = self.write_ready(None).await;
                return end;
            }
            if self.write_ready(None).await.is_err() {
                return ConnectionEnd::Gone;
            }
            let idle = self.owed.is_empty();
            if let (true, Some(end)) = (idle, self.last) {
                return end;
            }
            let (used, spare) = (
                matches!(self.standing, ConnectionState::Used),
                self.spare_until.is_some(),
            );
            let handing = !self.stays && phase.borrow().hands_over();
            if self.stays && idle && self.leaving.is_none() {
                self.leaving = Some(CloseReason::Whole);
            }
            let movable = self.wire.read_buffer().len() <= MAX_UNREAD_BYTES;
            if handing && idle && movable {
                return ConnectionEnd::HandedOver;
            }
            // What has not been read the successor reads; of a command that is too large to move, the rest.
            let waiting = self.waits_for_room();
            let reading = self.last.is_none()
                && self.owed.len() < MAX_OPEN
                && !(handing && movable)
                && !waiting;
            // Read from, a connection tells its end by itself.
            let watched = !idle && !reading;
            if !waiting {
                self.no_room = None;
            }
            // A command that has begun to come is not cut off, up to the end of its time.
            let whole = self.wire.read_buffer().is_empty();
            let leaving =
                idle && (self.leaving == Some(CloseReason::Cut) || self.leaving.is_some() && whole);
            let staying = idle && self.leaving.is_none();
            let quiet_until = self.quiet_until();
            tokio::select! {
                biased;
                command = self.wire.next(), if reading => {
                    if let Err(end) = self.hear(command).await {
                        return end;
                    }
                }
                given = next_answer(&mut self.owed), if !idle => {
                    self.owed.pop_front();
                    if self.write_ready(Some(given)).await.is_err() {
                        return ConnectionEnd::Gone;
                    }
                }
                () = sleep(DEPARTURE_LOOK), if watched => {
                    if self.wire.get_ref().has_ended() {
                        return ConnectionEnd::Gone;
                    }
                }
                // What its client has not sent yet stays with it.
                () = sleep(ROOM_PAUSE), if waiting => {}
                // Danger: a request may be in the kernel unseen, and closing would lose it. By the time this is
                // polled again the sockets have been looked at, and the read above comes first.
                () = yield_now(), if leaving => {
                    if !self.input_waits() {
                        return self.end_here();
                    }
                }
                // A spare one has no place to give.
                () = context.crowd.idle.notified(), if staying && used && !spare => {
                    self.leaving = Some(CloseReason::Whole);
                }
                // One that has begun a command is on its way to be used.
                () = context.crowd.silent.notified(), if staying && !spare && whole
                    && matches!(self.standing, ConnectionState::Silent(_)) => {
                    self.leaving = Some(CloseReason::Cut);
                }
                () = sleep_until(quiet_until), if staying || idle && self.stays && !whole && !leaving => self.out_of_time(),
                _ = handover.wait_for(|phase| phase.hands_over()), if !handing && !self.stays => {}
                // Between requests a connection is closed when the balancer stops; what came before is read first.
                // Danger: a new one whose request is on its way would be closed in its face, so it has a while.
                _ = phase.wait_for(|phase| phase.closes_idle(used)), if staying => self.leaving = Some(CloseReason::Whole),
                // Danger: a client that always has one more command out, or half of one, would keep the balancer
                // from ending.
                _ = last.wait_for(|phase| *phase == Phase::Last), if self.last.is_none() => {
                    self.last = Some(self.own_end());
                }
            }
        }
    }

    /// Danger: whatever comes between the last look at the socket and the end of this side crosses it, and its client has
    /// to come again. So the one follows the other.
    fn end_here(&mut self) -> ConnectionEnd {
        let end = self.own_end();
        if matches!(end, ConnectionEnd::Stopped) {
            // All answers have been written; what fails here fails again as it lingers.
            let _ = self.wire.get_mut().shutdown().now_or_never();
        }
        end
    }

    /// How it ends of the balancer's own accord.
    fn own_end(&self) -> ConnectionEnd {
        let stopping = self.stays || *self.context.phase.borrow() != Phase::Running;
        if stopping && (self.answered || !self.owed.is_empty()) {
            ConnectionEnd::Stopped
        } else {
            ConnectionEnd::Closed
        }
    }

    /// Until when it may stand without a whole command or an open request.
    fn quiet_until(&self) -> Instant {
        if let Some(until) = self.spare_until {
            return until;
        }
        match (&self.standing, self.half_since) {
            (ConnectionState::New, _) => self.quiet_since + NEW_LIMIT,
            (ConnectionState::Silent(_), _) => self.quiet_since + SILENT_LIMIT,
            (ConnectionState::Used, Some(since)) => since + SILENT_LIMIT,
            (ConnectionState::Used, None) => self.quiet_since + IDLE_LIMIT,
        }
    }

    /// Danger: connections that bring nothing, half a command or one request in a day are never closed by their
    /// clients, and fill the places.
    fn out_of_time(&mut self) {
        let (read, before) = (self.wire.read_buffer().len(), self.half_read);
        self.half_read = read;
        // A large value takes as long as it takes, while it goes on coming or waits for room here.
        if read >= before + LEAST_PROGRESS || self.no_room.is_some() {
            self.quiet_since = Instant::now();
            self.half_since = self.half_since.map(|_| Instant::now());
            return;
        }
        let half = read > 0;
        match (&self.standing, self.half_since) {
            _ if self.spare_until.is_some() => self.leaving = Some(CloseReason::Whole),
            (ConnectionState::New, _) => {
                self.standing = ConnectionState::Silent(Silent::new(&self.context.crowd))
            }
            // It may have begun just now, and has its time from here.
            (ConnectionState::Used, None) if half => self.half_since = Some(Instant::now()),
            _ => {
                self.context.counters.client_connections_idled.add();
                self.leaving = Some(CloseReason::Cut);
            }
        }
    }

    /// A spare connection takes a place of its own as soon as one is free.
    fn is_spare(&mut self) -> bool {
        if self.place.spare {
            if let Ok(permit) = Arc::clone(&self.context.places).try_acquire_owned() {
                self.place = Slot {
                    spare: false,
                    _hold: Hold::Permit(permit),
                };
                self.spare_until = None;
            }
        }
        self.place.spare
    }

    /// A large command at the front has no room yet.
    fn waits_for_room(&self) -> bool {
        self.no_room
            .is_some_and(|bytes| self.context.large.available() < bytes)
    }

    /// Asks the kernel itself, as the last thing before a close. Danger: on a small part of a core much time can pass
    /// after the event loop has looked, and what came meanwhile counts as taken.
    fn input_waits(&self) -> bool {
        self.wire.get_ref().unread() == Unread::Bytes
    }

    /// Books what the wire gave: a command, or its end.
    async fn hear(
        &mut self,
        command: Option<Result<Vec<Bytes>, RespError>>,
    ) -> Result<(), ConnectionEnd> {
        match command {
            Some(Ok(words)) => {
                let room = self.wire.codec_mut().0.take_reservation();
                self.take(words, room)
                    .await
                    .map_err(|_| ConnectionEnd::Gone)
            }
            Some(Err(RespError::Malformed(problem))) => {
                debug!("malformed input: {problem}");
                self.context.counters.malformed.add();
                self.owed
                    .push_back(PendingReply::Ready(Answer::Error("ERR Protocol error")));
                self.last = Some(ConnectionEnd::Said);
                Ok(())
            }
            Some(Err(RespError::AwaitingMemory(bytes))) => {
                self.no_room = Some(bytes);
                // A reader that has told a fault ends once before it goes on.
                let _ = self.wire.next().now_or_never();
                Ok(())
            }
            Some(Err(RespError::Io(_))) | None => Err(ConnectionEnd::Gone),
        }
    }

    /// Takes the commands in that have come already, so that their answers can go out together: a write for each is what
    /// a balancer that is behind can least afford.
    async fn take_what_is_there(&mut self) -> Result<(), ConnectionEnd> {
        let handing = !self.stays && self.context.phase.borrow().hands_over();
        // Danger: read on behind a command that waits for room, all that its client sends would stand here.
        while !handing
            && !self.owed.is_empty()
            && self.last.is_none()
            && self.owed.len() < MAX_OPEN
            && !self.waits_for_room()
        {
            let Some(command) = self.wire.next().now_or_never() else {
                return Ok(());
            };
            self.hear(command).await?;
        }
        Ok(())
    }

    /// Writes the given answer and those behind it that are there, in one go.
    async fn write_ready(&mut self, mut given: Option<FinalAnswer>) -> Result<(), RespError> {
        while let Some(large) = self.write_some(given.take()).await? {
            self.write_large(large).await?;
        }
        Ok(())
    }

    /// The same up to a large value, whose pieces are returned once its head is written.
    async fn write_some(
        &mut self,
        given: Option<FinalAnswer>,
    ) -> Result<Option<mpsc::Receiver<BodyChunk>>, RespError> {
        let (mut next, mut rooms, mut large) = (given, Vec::new(), None);
        let limit = self.patience();
        while let Some(FinalAnswer {
            answer,
            room,
            pieces,
        }) = next.take().or_else(|| self.ready())
        {
            // What values take is given back once they are written.
            rooms.extend(room);
            self.while_there(limit, Sink::<Answer>::poll_ready)
                .await??;
            self.wire.start_send_unpin(answer)?;
            if let Some(pieces) = pieces {
                large = Some(pieces);
                break;
            }
        }
        if self.wire.write_buffer().is_empty() {
            return Ok(large);
        }
        self.while_there(limit, Sink::<Answer>::poll_flush)
            .await??;
        (self.quiet_since, self.answered) = (Instant::now(), true);
        shrink(self.wire.write_buffer_mut());
        Ok(large)
    }

    /// A client that reads nothing for so long is gone.
    fn patience(&self) -> Duration {
        patience(self.context.intake.terms.borrow().longest_deadline())
    }

    /// Takes a step of a write that may have to wait for its client, as long as that one is there. Danger: of one that leaves
    /// meanwhile nobody would hear, and what else it has asked for would be sent on.
    async fn while_there<R>(
        &mut self,
        limit: Duration,
        mut step: impl FnMut(Pin<&mut Framed<T, ClientCodec>>, &mut task::Context<'_>) -> Poll<R>,
    ) -> Result<R, RespError> {
        let until = Instant::now() + limit;
        loop {
            let look = until.min(Instant::now() + DEPARTURE_LOOK);
            // A step keeps nothing that is lost when it is not waited for any longer.
            match timeout_at(look, poll_fn(|cx| step(Pin::new(&mut self.wire), cx))).await {
                Ok(done) => return Ok(done),
                Err(_) if look == until || self.wire.get_ref().has_ended() => return Err(UNREAD),
                Err(_) => {}
            }
        }
    }

    /// Writes a large value piece by piece, as its client reads: the server's connection waits meanwhile. Broken off, it
    /// ends the connection, so that the client can tell that it is not whole.
    async fn write_large(
        &mut self,
        mut pieces: mpsc::Receiver<BodyChunk>,
    ) -> Result<(), RespError> {
        self.context.counters.streams.add();
        // As long as its server may take for the next one.
        let limit = large_patience(self.patience());
        loop {
            match self
                .while_there(limit, |_, cx| pieces.poll_recv(cx))
                .await?
            {
                Some(BodyChunk::Bytes(bytes)) => self.write_piece(bytes).await?,
                Some(BodyChunk::End) => return self.write_piece(Bytes::from_static(b"\r\n")).await,
                None => {
                    return Err(RespError::Malformed(
                        "a large value was not brought to its end",
                    ))
                }
            }
        }
    }

    /// A slow client is served for as long as it reads at all.
    async fn write_piece(&mut self, mut bytes: Bytes) -> Result<(), RespError> {
        let limit = large_patience(self.patience());
        while !bytes.is_empty() {
            let write = |wire: Pin<&mut Framed<T, ClientCodec>>, cx: &mut task::Context<'_>| {
                Pin::new(wire.get_mut().get_mut()).poll_write(cx, &bytes)
            };
            match self.while_there(limit, write).await?? {
                0 => return Err(UNREAD),
                written => bytes.advance(written),
            }
        }
        self.quiet_since = Instant::now();
        Ok(())
    }

    /// The answer to the command that is first in turn, if it is there.
    fn ready(&mut self) -> Option<FinalAnswer> {
        let given = match self.owed.front_mut()? {
            PendingReply::Ready(_) => None,
            PendingReply::InFlight(awaited) => match awaited.answer.try_recv() {
                Ok(given) => Some(given),
                Err(oneshot::error::TryRecvError::Empty) => return None,
                // A request that the engine dropped unanswered has failed.
                Err(oneshot::error::TryRecvError::Closed) => {
                    Some(FinalAnswer::from(Answer::Failed))
                }
            },
        };
        match self.owed.pop_front()? {
            PendingReply::Ready(answer) => Some(FinalAnswer::from(answer)),
            PendingReply::InFlight(_) => given,
        }
    }

    /// Takes a command in; fails only when the balancer itself ends.
    async fn take(
        &mut self,
        words: Vec<Bytes>,
        room: Option<Reservation>,
    ) -> Result<(), mpsc::error::SendError<EngineEvent>> {
        let spare = self.is_spare();
        let context = &self.context;
        self.standing = ConnectionState::Used;
        (self.leaving, self.half_since, self.quiet_since) = (None, None, Instant::now());
        self.half_read = 0;
        let owed = match parse::parse(words, &context.intake) {
            // Danger: closed right after its answer, it would be closed in the face of the client's next request.
            Accepted::Request { .. } if spare => {
                context.counters.over_cap.add();
                self.spare_until = Some(Instant::now() + SPARE_LIMIT);
                PendingReply::Ready(Answer::Busy { after_ms: None })
            }
            Accepted::Request {
                command,
                mut request,
            } => {
                request.id = context.new_id();
                let (sender, answer) = oneshot::channel();
                let (came, over) = (context.intake.clock.now(), Rc::default());
                let awaited = InFlightReply {
                    id: request.id,
                    answer,
                    over: Rc::clone(&over),
                };
                let arrival = Arrival {
                    request,
                    came,
                    command,
                    room,
                    answer: sender,
                    over,
                };
                context.inbox.send(EngineEvent::Arrived(arrival)).await?;
                PendingReply::InFlight(awaited)
            }
            Accepted::Answered(answer) => PendingReply::Ready(answer),
            Accepted::Last(answer) => {
                self.last = Some(ConnectionEnd::Said);
                PendingReply::Ready(answer)
            }
        };
        self.owed.push_back(owed);
        Ok(())
    }

    /// Sees to it that the last answer arrives. Danger: closing with input unread resets the connection, and what
    /// the client has not read yet is gone.
    async fn linger(&mut self, limit: Duration) {
        let drained = async {
            self.wire.close().await?;
            let (mut piece, mut read) = ([0; 4096], 0);
            loop {
                match self.wire.get_mut().read(&mut piece).await? {
                    0 => return Ok::<(), RespError>(()),
                    n => read += n,
                }
                if read > LINGER_BYTES {
                    sleep(LINGER_PAUSE).await;
                }
            }
        };
        // Over the limit or broken: the client does not want it.
        let _ = timeout(limit, drained).await;
    }

    /// Tells the engine of the requests whose client has left.
    async fn abandon(&mut self) {
        let id = |owed: PendingReply| {
            if let PendingReply::InFlight(awaited) = &owed {
                Some(awaited.id)
            } else {
                None
            }
        };
        // All of them are over before the first waits for room to be told of.
        let gone: Vec<RequestId> = self.owed.drain(..).filter_map(id).collect();
        for id in gone {
            // The engine is gone only when the whole balancer ends.
            let _ = self.context.inbox.send(EngineEvent::ClientGone(id)).await;
        }
    }
}

/// The answer to the command that is first in turn. Cancel safe: nothing is taken off the queue here.
async fn next_answer(owed: &mut VecDeque<PendingReply>) -> FinalAnswer {
    match owed.front_mut() {
        // A request that the engine dropped unanswered has failed.
        Some(PendingReply::InFlight(awaited)) => (&mut awaited.answer)
            .await
            .unwrap_or(FinalAnswer::from(Answer::Failed)),
        // Those that are ready have been written before.
        Some(PendingReply::Ready(_)) | None => std::future::pending().await,
    }
}
