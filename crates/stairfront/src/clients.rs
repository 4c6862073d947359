//! Clients: the listener, and one task for each connection, which owns the socket and keeps answers in the order
//! of their commands.
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stairfront_policy::interface::{Class, RequestId};
use stairfront_settings::Names;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, AcquireError, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::codec::Framed;
use tokio_util::task::TaskTracker;
use tracing::{debug, warn};

use crate::clock::Clock;
use crate::counters::Counters;
use crate::messages::{Answer, Arrival, Given, Input};
use crate::resp::{shrink, ClientCodec, RespError};
use crate::shutdown::Phase;
use crate::stages::take_in::{self, Taken};

/// Commands of one connection that may be open at once; reading waits beyond that.
const MOST_OPEN: usize = 64;
/// A client that reads nothing for so long is gone: longer than any deadline.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Pause after an accept that failed for want of descriptors or memory.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What all client connections share; all of it lives on the one thread.
pub struct Context {
    pub inbox: mpsc::Sender<Input>,
    pub names: Names,
    pub classes: Vec<Class>,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    /// Discovery has been heard, or waited for long enough.
    pub ready: watch::Receiver<bool>,
    pub phase: watch::Receiver<Phase>,
    /// Rung to have the connection that has been idle longest close.
    pub crowded: Notify,
    pub next_id: Cell<u32>,
}

impl Context {
    fn new_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        RequestId(id)
    }
}

/// Connections beyond the limit, which are turned away; they take descriptors of the configuration's reserve.
pub const MOST_SPARE: usize = 8;
/// An idle connection makes room in far less; after this all places are in use.
const PLACE_WAIT: Duration = Duration::from_millis(5);
/// How long a spare connection may go without a command.
const SPARE_LIMIT: Duration = Duration::from_millis(250);

/// What a connection holds of the limit on sockets, given back as it ends.
struct Place {
    spare: bool,
    _permit: OwnedSemaphorePermit,
}

/// Accepts until shutdown says that no more come, then waits for all connections to end.
pub async fn serve(listener: TcpListener, context: Rc<Context>, most: usize) {
    let (places, spares) = (Arc::new(Semaphore::new(most)), Arc::new(Semaphore::new(MOST_SPARE)));
    let tasks = TaskTracker::new();
    let mut phase = context.phase.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((socket, _)) => {
                context.counters.client_connections_accepted.add();
                let Ok(place) = take_place(&places, &spares, &context.crowded).await else { break };
                let connection = run_connection(socket, Rc::clone(&context), place);
                spawn_local(tasks.track_future(connection));
            }
            Err(problem) => {
                warn!("cannot accept: {problem}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

/// Danger: with all places taken a new client would wait for ever behind connections that nobody uses. The one
/// idle longest makes room: waiters are woken in the order in which they fell idle. With all of them in use the new
/// one gets a spare place, where its request is turned away: unread it would wait past its time and be lost.
async fn take_place(
    places: &Arc<Semaphore>,
    spares: &Arc<Semaphore>,
    crowded: &Notify,
) -> Result<Place, AcquireError> {
    let own = |permit| Place { spare: false, _permit: permit };
    if let Ok(permit) = Arc::clone(places).try_acquire_owned() {
        return Ok(own(permit));
    }
    crowded.notify_one();
    if let Ok(permit) = timeout(PLACE_WAIT, Arc::clone(places).acquire_owned()).await {
        return permit.map(own);
    }
    tokio::select! {
        biased;
        permit = Arc::clone(places).acquire_owned() => permit.map(own),
        permit = Arc::clone(spares).acquire_owned() => permit.map(|permit| Place { spare: true, _permit: permit }),
    }
}

/// An answer owed, in the order of the commands.
enum Owed {
    Ready(Answer),
    Awaited(RequestId, oneshot::Receiver<Given>),
}

struct Connection {
    wire: Framed<TcpStream, ClientCodec>,
    context: Rc<Context>,
    owed: VecDeque<Owed>,
    /// No command is read any more: what is owed goes out, then the connection ends.
    last: bool,
    /// A command has been read.
    used: bool,
    /// Until when a spare connection may wait for its command, which is turned away.
    spare_until: Option<Instant>,
}

/// Why a connection ends.
enum End {
    /// All that was owed has been written.
    Done,
    /// The client has left, or cannot be written to.
    Gone,
}

async fn run_connection(socket: TcpStream, context: Rc<Context>, place: Place) {
    context.counters.client_connections_open.add();
    // Answers are small and each is waited for; without it they only come later.
    if let Err(problem) = socket.set_nodelay(true) {
        debug!("no TCP_NODELAY: {problem}");
    }
    let wire = Framed::new(socket, ClientCodec);
    let spare_until = place.spare.then(|| Instant::now() + SPARE_LIMIT);
    let owed = VecDeque::new();
    let mut connection =
        Connection { wire, context: Rc::clone(&context), owed, last: false, used: false, spare_until };
    match connection.run().await {
        // Says so to the client; one that has left in this moment need not hear it.
        End::Done => connection.wire.close().await.unwrap_or_default(),
        End::Gone => connection.abandon().await,
    }
    drop(connection);
    context.counters.client_connections_open.sub();
    drop(place);
}

impl Connection {
    async fn run(&mut self) -> End {
        let context = Rc::clone(&self.context);
        let mut phase = context.phase.clone();
        loop {
            while let Some(Owed::Ready(_)) = self.owed.front() {
                let Some(Owed::Ready(answer)) = self.owed.pop_front() else { break };
                if self.write(answer).await.is_err() {
                    return End::Gone;
                }
            }
            if self.owed.is_empty() && self.last {
                return End::Done;
            }
            let idle = self.owed.is_empty();
            let (used, spare_until, now) = (self.used, self.spare_until, Instant::now());
            let reading = !self.last && self.owed.len() < MOST_OPEN;
            tokio::select! {
                biased;
                command = self.wire.next(), if reading => match command {
                    Some(Ok(words)) => {
                        if self.take(words).await.is_err() {
                            return End::Gone;
                        }
                    }
                    Some(Err(RespError::Malformed(problem))) => {
                        debug!("malformed input: {problem}");
                        context.counters.malformed.add();
                        self.owed.push_back(Owed::Ready(Answer::Error("ERR Protocol error")));
                        self.last = true;
                    }
                    Some(Err(RespError::Io(_))) | None => return End::Gone,
                },
                given = next_answer(&mut self.owed), if !idle => {
                    self.owed.pop_front();
                    if self.write(given.answer).await.is_err() {
                        return End::Gone;
                    }
                }
                () = context.crowded.notified(), if idle => return End::Done,
                () = sleep_until(spare_until.unwrap_or(now)), if idle && spare_until.is_some() => return End::Done,
                // Between requests a connection is closed when the balancer stops; what came before is read first.
                // Danger: a new one whose request is on its way would be closed in its face, so it has a while;
                // and a client that always has one more command out would keep the balancer from ending.
                _ = phase.wait_for(|phase| phase.ends(idle, used)), if !self.last => self.last = true,
            }
        }
    }

    async fn write(&mut self, answer: Answer) -> Result<(), RespError> {
        match timeout(WRITE_LIMIT, self.wire.send(answer)).await {
            Ok(written) => {
                shrink(self.wire.write_buffer_mut());
                written
            }
            Err(_) => Err(RespError::Malformed("client does not read")),
        }
    }

    /// Takes a command in; fails only when the balancer itself ends.
    async fn take(&mut self, words: Vec<Bytes>) -> Result<(), mpsc::error::SendError<Input>> {
        self.used = true;
        let context = &self.context;
        let owed = match take_in::take_in(words, context) {
            Taken::Request { .. } if self.spare_until.is_some() => {
                context.counters.over_cap.add();
                self.last = true;
                Owed::Ready(Answer::Busy { after_ms: None })
            }
            Taken::Request { command, mut request } => {
                context.counters.taken_in.add();
                request.id = context.new_id();
                let (answer, receiver) = oneshot::channel();
                context.inbox.send(Input::Arrived(Arrival { request, command, answer })).await?;
                Owed::Awaited(request.id, receiver)
            }
            Taken::Answered(answer) => Owed::Ready(answer),
            Taken::Last(answer) => {
                self.last = true;
                Owed::Ready(answer)
            }
        };
        self.owed.push_back(owed);
        Ok(())
    }

    /// Tells the engine of the requests whose client has left.
    async fn abandon(&mut self) {
        for owed in self.owed.drain(..) {
            if let Owed::Awaited(id, _) = owed {
                // The engine is gone only when the whole balancer ends.
                let _ = self.context.inbox.send(Input::ClientGone(id)).await;
            }
        }
    }
}

/// The answer to the command that is first in turn. Cancel safe: nothing is taken off the queue here.
async fn next_answer(owed: &mut VecDeque<Owed>) -> Given {
    match owed.front_mut() {
        // A request that the engine dropped unanswered has failed.
        Some(Owed::Awaited(_, receiver)) => receiver.await.unwrap_or(Given::from(Answer::Failed)),
        // Those that are ready have been written before.
        Some(Owed::Ready(_)) | None => std::future::pending().await,
    }
}
