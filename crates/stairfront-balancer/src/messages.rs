//! What the parts of the balancer hand to each other. Payloads are slices of the buffers they were read into.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stairfront_codec::budget::Reservation;
use stairfront_codec::message_part::MAX_BUFFERED_BYTES;
use stairfront_policy::interface::{
    CacheId, CacheStatus, Endpoint, LoadReport, Micros, Outcome, Request, RequestId,
};
use stairfront_settings::Retuned;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};

use crate::clock::Instant;
use crate::control::server_list::ServerList;
use crate::lifecycle::handover_state::Snapshot;

/// The final answer to one request, or an immediate one to a command that needs no decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value or the write's receipt, as a server gave it.
    Value(Bytes),
    /// The head of a value of so many bytes, which follow.
    Large(usize),
    /// Refused; the client may come back after so many milliseconds, where a time is told.
    Busy {
        after_ms: Option<u64>,
    },
    Failed,
    Pong,
    Ok,
    /// An error line of this balancer's own.
    Error(&'static str),
    /// A text of this balancer's own, such as its counters.
    Text(String),
}

/// An answer on its way to the client's connection, with the room that its value takes until it is written.
#[derive(Debug)]
pub struct FinalAnswer {
    pub answer: Answer,
    pub room: Option<OwnedSemaphorePermit>,
    /// The pieces of a large one.
    pub pieces: Option<mpsc::Receiver<BodyChunk>>,
}

impl From<Answer> for FinalAnswer {
    fn from(answer: Answer) -> Self {
        FinalAnswer {
            answer,
            room: None,
            pieces: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Get,
    Set,
}

/// The parts of a client's command that go on to servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    pub verb: Verb,
    pub key: Bytes,
    pub id: Bytes,
    /// The list of names and values as it came.
    pub info: Bytes,
    pub value: Option<Bytes>,
}

impl Command {
    pub fn bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, Bytes::len);
        self.key.len() + self.id.len() + self.info.len() + value
    }
}

/// A command on its way to one server, with the time that is left for it.
#[derive(Clone, Debug)]
pub struct Outgoing {
    pub command: Command,
    pub left_ms: u64,
}

impl Outgoing {
    /// A value that is written behind its command by itself, so that it is not copied first.
    pub fn apart(&self) -> Option<&Bytes> {
        self.command
            .value
            .as_ref()
            .filter(|value| value.len() > MAX_BUFFERED_BYTES)
    }

    /// The list of names and values with `d` telling how long this balancer will wait; all else as it came.
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

/// A request taken from a client.
#[derive(Debug)]
pub struct Arrival {
    pub request: Request,
    /// When it was taken in.
    pub came: Micros,
    pub command: Command,
    /// What a large value takes, until the request is over.
    pub room: Option<Reservation>,
    pub answer: oneshot::Sender<FinalAnswer>,
    /// Raised by the client's connection as its client leaves, whatever waits before the engine then.
    pub over: Rc<Cell<bool>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u8,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub outcome: Outcome,
    pub note: CacheStatus,
    pub load: LoadReport,
    /// Present if and only if served; a large one follows the end of its attempt in pieces.
    pub value: Option<Bytes>,
}

impl Verdict {
    pub fn bare(outcome: Outcome) -> Self {
        Verdict {
            outcome,
            note: CacheStatus::None,
            load: LoadReport::default(),
            value: None,
        }
    }
}

#[derive(Debug)]
pub struct AttemptEnd {
    pub attempt: AttemptId,
    pub cache: CacheId,
    pub begun: Instant,
    pub verdict: Verdict,
    /// A large value, which has begun to come: for the attempt that is its end.
    pub rest: Option<AnswerBody>,
}

/// A large value on its way.
#[derive(Debug)]
pub struct AnswerBody {
    pub length: usize,
    /// AbortOnDrop without `BodyChunk::End` if the value can't be brought to its end.
    pub pieces: mpsc::Receiver<BodyChunk>,
}

#[derive(Debug)]
pub enum BodyChunk {
    Bytes(Bytes),
    /// All have come, and the reply was good to its last byte.
    End,
}

/// One attempt on its way to one server.
#[derive(Debug)]
pub struct Job {
    pub attempt: AttemptId,
    pub cache: CacheId,
    pub command: Command,
    /// When it was decided.
    pub sent_at: Instant,
    /// When it got a socket. Danger: a wait for one of this balancer's own is not the server's slowness.
    pub begun: Instant,
    pub give_up: Instant,
    /// From when on the whole command may no longer come to the server: its class bounds a repeat to a window.
    pub lapses: Option<Instant>,
    /// Told when the attempt is given up before its time; a sender that is dropped means nothing.
    pub cancel: oneshot::Receiver<()>,
    /// Its request has been answered, or its client has left.
    pub over: Rc<Cell<bool>>,
}

impl Job {
    /// Whether it may still begin. Danger: a job may lie before a connection's task, or wait for a connection that comes up
    /// as its time ends: the request has been answered, and whoever has the answer sees it sent on all the same.
    pub fn may_begin(&self) -> bool {
        !self.over.get() && self.cancel.is_empty() && Instant::now() < self.whole_by()
    }

    /// Until when the attempt may wait for a socket and a connection together: both count in its time.
    pub fn connect_limit(&self, connect_timeout: Duration) -> Instant {
        self.whole_by().min(self.sent_at + connect_timeout)
    }

    /// Until when its last byte has to be written. Danger: the server may have forgotten the attempt before this one by
    /// then, and do the work a second time.
    pub fn whole_by(&self) -> Instant {
        self.lapses
            .map_or(self.give_up, |lapses| lapses.min(self.give_up))
    }

    /// Its window has closed, which is no fault of the server's.
    pub fn has_lapsed(&self) -> bool {
        self.lapses.is_some_and(|lapses| Instant::now() >= lapses)
    }

    pub fn end(&self, verdict: Verdict) -> AttemptEnd {
        AttemptEnd {
            attempt: self.attempt,
            cache: self.cache,
            begun: self.begun,
            verdict,
            rest: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub u64);

/// What a connection's task tells the pool. The socket is closed before `Closed` is told.
#[derive(Debug)]
pub enum PoolEvent {
    Idle {
        connection: ConnectionId,
        end: Option<AttemptEnd>,
    },
    /// The attempt has ended with a large value; the connection is in use until all of it has come.
    Begun { end: AttemptEnd },
    Closed {
        connection: ConnectionId,
        end: Option<AttemptEnd>,
        unsent: Option<Box<Job>>,
        /// More has come on it than was asked for.
        surplus: bool,
    },
}

/// What the engine is told.
pub enum EngineEvent {
    Arrived(Arrival),
    ClientGone(RequestId),
    UpstreamPool(PoolEvent),
    List(ServerList),
    /// A successor asks what this process knows; from then on it keeps a part of the descriptors alone.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Whoever keeps the plans asks for the cache hosts that are listed.
    Hosts(oneshot::Sender<Vec<(String, Endpoint)>>),
    /// Other settings, all at once.
    Retune(Box<Retuned>),
    /// There is no other process of this balancer any more.
    TakeAll,
    /// This process has been told to end.
    Ending,
    /// Another member of the group has newer news of a cache host than this balancer's discovery: nothing new goes
    /// there, or its own list counts again.
    Hearsay {
        host: String,
        stop: bool,
    },
}
