//! What the parts of the balancer hand to each other. Payloads are slices of the buffers they were read into.
use bytes::Bytes;
use stairfront_policy::interface::{CacheId, Load, Note, Outcome, Request, RequestId};
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::time::Instant;

use crate::connection::PoolNews;
use crate::discovery::ServerList;

/// The final answer to one request, or an immediate one to a command that needs no decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value or the write's receipt, as a server gave it.
    Value(Bytes),
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
pub struct Given {
    pub answer: Answer,
    pub room: Option<OwnedSemaphorePermit>,
}

impl From<Answer> for Given {
    fn from(answer: Answer) -> Self {
        Given { answer, room: None }
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

/// A request taken from a client.
#[derive(Debug)]
pub struct Arrival {
    pub request: Request,
    pub command: Command,
    pub answer: oneshot::Sender<Given>,
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
    pub note: Note,
    pub load: Load,
    /// Present if and only if served.
    pub value: Option<Bytes>,
}

impl Verdict {
    pub fn bare(outcome: Outcome) -> Self {
        Verdict { outcome, note: Note::None, load: Load::default(), value: None }
    }
}

#[derive(Debug)]
pub struct AttemptEnd {
    pub attempt: AttemptId,
    pub cache: CacheId,
    pub begun: Instant,
    pub verdict: Verdict,
}

/// What the engine is told.
#[derive(Debug)]
pub enum Input {
    Arrived(Arrival),
    ClientGone(RequestId),
    Pool(PoolNews),
    List(ServerList),
}
