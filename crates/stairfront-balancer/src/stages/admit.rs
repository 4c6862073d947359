//! Second stage: a request gets its place in the table of open requests.
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use stairfront_codec::budget::Reservation;
use stairfront_policy::interface::{CacheId, Micros, Request, RequestId};
use tokio::sync::{oneshot, Semaphore};

use crate::clock::Instant;
use crate::configuration::limits::Memory;
use crate::messages::{Answer, Arrival, Command, FinalAnswer};

/// An attempt whose end has not been heard.
pub struct OutstandingAttempt {
    pub number: u8,
    /// Used to have the attempt ended early.
    pub cancel: Option<oneshot::Sender<()>>,
}

/// A send that waits for the end of an attempt that was just cancelled.
#[derive(Clone, Copy)]
pub struct Deferred {
    pub number: u8,
    pub cache: CacheId,
    pub timeout: Micros,
    pub lapses: Option<Instant>,
}

/// An open request, from admission until it is answered and its last attempt has ended.
pub struct OpenRequest {
    pub command: Command,
    /// What it takes of the room for requests; a large value has room of its own.
    pub bytes: usize,
    pub room: Option<Reservation>,
    /// None once answered, or when the engine has heard that the client left.
    pub answer: Option<oneshot::Sender<FinalAnswer>>,
    pub sent: u8,
    /// How often it may be sent, as when it was taken.
    pub most: u8,
    pub out: Vec<OutstandingAttempt>,
    pub deferred: Option<Deferred>,
    /// Raised as the answer is given or the client leaves; shared with its client's connection and with its attempts, which
    /// look before the first byte.
    pub over: Rc<Cell<bool>>,
}

impl OpenRequest {
    /// Its client has left, and the engine has not heard it yet.
    pub fn is_deserted(&self) -> bool {
        self.over.get() && self.answer.is_some()
    }

    /// What the final answer goes to, once; none if the client has had it or has left. The only place where it is taken.
    pub fn end(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        self.over.set(true);
        self.answer.take()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// Another open request has its id.
    IdOpen,
    /// One too many: memory has an end.
    NoRoom,
}

/// The open requests; each is taken off in one place, `complete`.
pub struct RequestTable {
    pub open: FxHashMap<RequestId, OpenRequest>,
    /// The clients' own ids of the open requests.
    pub ids: FxHashSet<Bytes>,
    pub bytes: usize,
    /// Bytes left for values on their way to clients.
    pub room: Arc<Semaphore>,
    most: usize,
    most_bytes: usize,
}

impl RequestTable {
    pub fn new(most: usize, memory: Memory) -> Self {
        RequestTable {
            open: FxHashMap::default(),
            ids: FxHashSet::default(),
            bytes: 0,
            room: Arc::new(Semaphore::new(memory.answers)),
            most,
            most_bytes: memory.requests,
        }
    }

    /// Another limit on open requests; those beyond it stay.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Enters a request that may be sent so often, or answers it at once.
    pub fn admit(
        &mut self,
        arrival: Arrival,
        most_attempts: u8,
    ) -> Result<Request, AdmissionError> {
        let Arrival {
            request,
            command,
            room,
            answer,
            over,
            ..
        } = arrival;
        let large = command
            .value
            .as_ref()
            .filter(|_| room.is_some())
            .map_or(0, Bytes::len);
        let bytes = command.bytes() - large;
        let problem = if self.ids.contains(&command.id) {
            // Danger: servers know a request by its id alone. A second one under it would count as a second copy, and
            // be answered with what was made for the first.
            Some((
                AdmissionError::IdOpen,
                Answer::Error("ERR id is open already"),
            ))
        } else if self.open.len() >= self.most || self.bytes + bytes > self.most_bytes {
            Some((AdmissionError::NoRoom, Answer::Busy { after_ms: None }))
        } else {
            None
        };
        if let Some((problem, told)) = problem {
            // A client that has left needs no answer.
            let _ = answer.send(FinalAnswer::from(told));
            return Err(problem);
        }
        self.ids.insert(command.id.clone());
        self.bytes += bytes;
        let open = OpenRequest {
            command,
            bytes,
            room,
            answer: Some(answer),
            sent: 0,
            most: most_attempts,
            out: Vec::new(),
            deferred: None,
            over,
        };
        self.open.insert(request.id, open);
        Ok(request)
    }
}
