//! The durable state of a node, and the work that it gives to its driver.
use serde::{Deserialize, Serialize};

use crate::log::{IndexedEntry, Log, LogIndex, Snapshot, Term, Voter};
use crate::message::Message;

/// The state that must be durable beside the log (Raft figure 2).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that this member has seen.
    pub term: Term,
    /// For whom it has voted in this term.
    pub vote: Option<Voter>,
}

/// The durable state with which a node starts.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Snapshot and entries.
    pub log: Log,
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: Voter,
    /// The message.
    pub message: Message,
}

/// A batch of work for the driver, to be done in this order: make `hard_state`, `snapshot`,
/// `truncate_from` and `append` durable, as a whole; send `messages`; call
/// [`Node::persisted`](crate::Node::persisted). Committed entries may be applied at any time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// The number of this batch; each batch of a node has a higher one.
    pub number: u64,
    /// Term and vote, if they have changed.
    pub hard_state: Option<HardState>,
    /// A new snapshot, which replaces the entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// The stored entries from this index on are void.
    pub truncate_from: Option<LogIndex>,
    /// New entries.
    pub append: Vec<IndexedEntry>,
    /// Messages that depend on the state above.
    pub messages: Vec<OutgoingMessage>,
    /// A snapshot that replaces the state machine's state, before the committed entries are
    /// applied.
    pub restored: Option<Snapshot>,
    /// Committed entries, in order.
    pub committed: Vec<IndexedEntry>,
}

impl Ready {
    /// Whether there is something to make durable.
    #[must_use]
    pub fn must_persist(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
    }

    /// Whether there is nothing to do.
    pub(crate) fn is_empty(&self) -> bool {
        !self.must_persist()
            && self.messages.is_empty()
            && self.restored.is_none()
            && self.committed.is_empty()
    }
}
