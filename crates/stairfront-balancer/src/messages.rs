//! The messages between the parts of the balancer. Payloads are slices of the buffers they were read into.
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stairfront_codec::budget::Reservation;
use stairfront_common::time::Micros;
use stairfront_policy::interface::{
    CacheId, CacheStatus, Endpoint, LoadReport, Outcome, Request, RequestId,
};
use stairfront_settings::SettingsUpdate;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Instant;
use crate::control::server_list::ServerList;
use crate::lifecycle::handover::OtherProcess;
use crate::lifecycle::handover_state::Snapshot;
use crate::list_freshness::ListInTransit;
use crate::memory::ledger::RequestMemory;
use crate::stages::liveness::RequestLiveness;
use crate::stages::open_ids::IdClaim;

/// Longest value that is copied behind the head that is encoded for it; a longer one is written from where it is.
pub const MAX_COPIED_BYTES: usize = 1024;

/// The final answer to one request, or an immediate one to a command that needs no decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value or the write's receipt, as a server gave it.
    Value(Bytes),
    /// The head of a value of so many bytes, which follow.
    Large(usize),
    /// The request is refused.
    Busy {
        /// Milliseconds after which the client may retry, where such a time is known.
        after_ms: Option<u64>,
    },
    /// No server has answered the request.
    Failed,
    /// The answer to `PING`.
    Pong,
    /// A command that changes nothing here.
    Ok,
    /// An error line of this balancer's own.
    Error(&'static str),
    /// The counters of this balancer, rendered as they are written.
    Info,
    /// A text of this balancer's own.
    Text(String),
}

/// An answer on its way to the client's connection, with the memory that its value takes until it is written.
#[derive(Debug)]
pub struct FinalAnswer {
    /// The answer, or the head of a large one.
    pub answer: Answer,
    /// Memory reserved for the value.
    pub memory: Option<Reservation>,
    /// A large value.
    pub body: Option<AnswerBody>,
}

impl From<Answer> for FinalAnswer {
    fn from(answer: Answer) -> Self {
        FinalAnswer {
            answer,
            memory: None,
            body: None,
        }
    }
}

/// The two commands that become requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Reads a value.
    Get,
    /// Writes a value.
    Set,
}

/// The parts of a client's command that go on to servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Read or write.
    pub verb: Verb,
    /// The key.
    pub key: Bytes,
    /// The client's own id of the request.
    pub id: Bytes,
    /// The list of names and values as it came.
    pub info: Bytes,
    /// The value of a write.
    pub value: Option<Bytes>,
    /// Whether its class may be repeated, whatever became of it.
    pub idempotent: bool,
}

impl Command {
    /// Number of bytes that its parts take.
    pub fn bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, Bytes::len);
        self.key.len() + self.id.len() + self.info.len() + value
    }
}

/// A command on its way to one server, with the time that is left for it.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The command.
    pub command: Command,
    /// Milliseconds that this balancer will wait for the reply.
    pub left_ms: u64,
}

impl Outgoing {
    /// A value that is written separately behind its command, so that it is not copied first.
    pub fn separate_value(&self) -> Option<&Bytes> {
        self.command
            .value
            .as_ref()
            .filter(|value| value.len() > MAX_COPIED_BYTES)
    }

    /// The list of names and values with `d` set to the time that this balancer will wait; all else as it came.
    pub fn info(&self) -> Vec<u8> {
        let info = &self.command.info;
        let mut list = Vec::with_capacity(info.len() + 8);
        for pair in info.split(|b| *b == b',').filter(|pair| !pair.is_empty()) {
            if !list.is_empty() {
                list.push(b',');
            }
            if pair.starts_with(b"d=") {
                list.extend_from_slice(format!("d={}", self.left_ms).as_bytes());
            } else {
                list.extend_from_slice(pair);
            }
        }
        list
    }
}

/// A request read from a client.
#[derive(Debug)]
pub struct Arrival {
    /// The request as the decision module knows it.
    pub request: Request,
    /// When it was read.
    pub arrived_at: Micros,
    /// The command as it goes on to servers.
    pub command: Command,
    /// Memory that it takes until it is finished.
    pub memory: Option<Rc<RequestMemory>>,
    /// Gets the final answer.
    pub answer: oneshot::Sender<FinalAnswer>,
    /// Finished by the client's connection as soon as that reads its client's end, ahead of all events that wait for the
    /// engine then.
    pub liveness: Rc<RequestLiveness>,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt among those of the request, from 0.
    pub number: u8,
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// How it ended.
    pub outcome: Outcome,
    /// The state of the key, as the cache reported it.
    pub cache_status: CacheStatus,
    /// The server's load report; empty where it sent none.
    pub load: LoadReport,
    /// Present if and only if served; a large value follows the end of its attempt in chunks.
    pub value: Option<Bytes>,
}

impl AttemptOutcome {
    /// An outcome that the server has reported nothing about.
    pub fn without_report(outcome: Outcome) -> Self {
        AttemptOutcome {
            outcome,
            cache_status: CacheStatus::None,
            load: LoadReport::default(),
            value: None,
        }
    }
}

/// The end of an attempt.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: AttemptId,
    /// The server.
    pub cache: CacheId,
    /// When the attempt got a socket.
    pub started_at: Instant,
    /// Its result.
    pub result: AttemptOutcome,
    /// Memory reserved for the value.
    pub memory: Option<Reservation>,
    /// A large value whose first bytes have come, which ends the attempt.
    pub body: Option<AnswerBody>,
}

/// A large value on its way.
#[derive(Debug)]
pub struct AnswerBody {
    /// Number of bytes in all.
    pub length: usize,
    /// When its first bytes came.
    pub begun_at: Instant,
    /// Its first bytes, where they were held back.
    pub held: HeldBytes,
    /// The claim to the id of its request.
    pub claim: Option<Rc<IdClaim>>,
    /// Ends without [`BodyChunk::End`] if the value cannot be completed.
    pub chunks: mpsc::Receiver<BodyChunk>,
    /// Memory reserved for its chunks, shared with the server's connection.
    pub memory: Option<Rc<Reservation>>,
}

/// What is held of a large value before it is written.
#[derive(Debug, Default)]
pub struct HeldBytes {
    /// Its first bytes, in pieces.
    pub pieces: VecDeque<Bytes>,
    /// Whether these are all.
    pub is_complete: bool,
    /// Memory reserved for them.
    pub memory: Option<Reservation>,
}

impl HeldBytes {
    /// The next piece, for which no memory is reserved any more.
    pub fn next_piece(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        let left = self.pieces.iter().map(Bytes::len).sum();
        if let Some(memory) = &mut self.memory {
            // Fewer bytes are always to be had.
            let _ = memory.try_resize(left);
        }
        Some(piece)
    }
}

/// A part of a large value.
#[derive(Debug)]
pub enum BodyChunk {
    /// The next bytes.
    Bytes(Bytes),
    /// All bytes have come, and the reply was well-formed to its last byte.
    End,
}

/// One attempt on its way to one server.
#[derive(Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// The server.
    pub cache: CacheId,
    /// The command that is sent.
    pub command: Command,
    /// Memory of its request.
    pub memory: Option<Rc<RequestMemory>>,
    /// When it was decided.
    pub decided_at: Instant,
    /// When it got a socket: a wait for one of this balancer's own is not the server's slowness.
    pub started_at: Instant,
    /// When the attempt times out.
    pub give_up_at: Instant,
    /// The command must not reach the server as a whole after this, since its class bounds a retry to a window.
    pub window_end: Option<Instant>,
    /// Resolves when the attempt is cancelled; a sender that is dropped means nothing.
    pub cancel: oneshot::Receiver<()>,
    /// Set when nothing new may be begun at the server; the flag of the time at which the attempt was decided.
    pub barred: Rc<Cell<bool>>,
    /// Whether its request is still wanted.
    pub liveness: Rc<RequestLiveness>,
}

impl Job {
    /// Until when the attempt may wait for a socket and a connection together, since both count as its time.
    pub fn connect_deadline(&self, connect_timeout: Duration) -> Instant {
        self.send_deadline().min(self.decided_at + connect_timeout)
    }

    /// Until when its last byte has to be written. Later the server may have forgotten the attempt before this one, and
    /// would do the work a second time.
    pub fn send_deadline(&self) -> Instant {
        self.window_end
            .map_or(self.give_up_at, |end| end.min(self.give_up_at))
    }

    /// Whether its window has closed, which is no fault of the server's.
    pub fn window_is_closed(&self) -> bool {
        self.window_end.is_some_and(|end| Instant::now() >= end)
    }

    /// The end of this attempt.
    pub fn end(&self, result: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            attempt: self.attempt,
            cache: self.cache,
            started_at: self.started_at,
            result,
            memory: None,
            body: None,
        }
    }
}

/// Number of a connection to a server, never used again in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub u64);

/// A report of a connection's task to the pool. The socket is closed before `Closed` is reported.
#[derive(Debug)]
pub enum PoolEvent {
    /// The connection can take another attempt.
    Idle {
        /// Which connection.
        connection: ConnectionId,
        /// The attempt that has ended on it.
        end: Option<AttemptEnd>,
    },
    /// The attempt has ended with a large value; the connection is in use until all of it has come.
    BodyStarted {
        /// The attempt.
        end: AttemptEnd,
    },
    /// The connection has ended.
    Closed {
        /// Which connection.
        connection: ConnectionId,
        /// The attempt that has ended with it.
        end: Option<AttemptEnd>,
        /// An attempt of which nothing was sent, for another connection.
        unsent: Option<Box<Job>>,
        /// Whether more came on it than was asked for.
        surplus: bool,
    },
}

/// A cache host of the list in use.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    /// Its name.
    pub name: String,
    /// Its entry in the list.
    pub endpoint: Endpoint,
}

/// A list on its way to the engine.
#[derive(Debug)]
pub struct ReceivedList {
    /// The list.
    pub list: ServerList,
    /// Has attempts wait until the list is applied; `None` for one that no server has sent.
    pub in_transit: Option<ListInTransit>,
}

/// An event for the engine, which handles one at a time.
pub enum EngineEvent {
    /// A client has sent a request.
    Arrived(Arrival),
    /// The client of an open request has left.
    ClientDisconnected(RequestId),
    /// A connection to a server reports.
    Pool(PoolEvent),
    /// Discovery, or a configuration without discovery, gives a list of servers.
    EndpointList(ReceivedList),
    /// A successor asks what this process knows; from then on this process keeps a part of the descriptors alone.
    Snapshot(oneshot::Sender<Snapshot>),
    /// The maintenance service asks for the cache hosts of the list in use.
    ListCacheHosts(oneshot::Sender<Vec<ListedHost>>),
    /// New settings, which are taken over all at once.
    Retune(Box<SettingsUpdate>),
    /// Another process of this balancer has ended.
    PeerEnded(OtherProcess),
    /// This process hands over and asks how many connections to servers it can leave to its successor now.
    ReleaseConnections(oneshot::Sender<usize>),
    /// The process before this one leaves so many connections to servers to this one.
    ConnectionsReleased(usize),
    /// The shutdown of this process has begun.
    ShuttingDown {
        /// When it was requested, at the earliest: the process may be killed after a time that counts from there.
        requested_at: Instant,
    },
    /// Another member of the group has a newer endpoint list than this balancer, or a hint of that kind has ended.
    DrainHint {
        /// Name of the cache host.
        host: String,
        /// Whether the host drains by that list and gets nothing new here; otherwise this balancer's own list counts.
        draining: bool,
    },
}
