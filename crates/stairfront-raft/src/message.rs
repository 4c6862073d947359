//! The messages between servers (Raft figure 2). They are exchanged in postcard's form, which
//! depends on the order of fields and variants and not on their names.
use serde::{Deserialize, Serialize};

use crate::log::{Entry, LogIndex, Snapshot, Term};

/// A Raft message with the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; in a pre-vote, the term that the sender would start.
    pub term: Term,
    /// The request or the answer.
    pub body: MessageBody,
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender in a term that has not begun yet (Diss.
    /// section 9.6).
    RequestPreVote {
        /// Index of the last entry of the sender's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteResponse {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote (Raft section 5.2).
    RequestVote {
        /// Index of the last entry of the sender's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
        /// Whether the leader itself has asked for this election, so that its presence is no reason
        /// to refuse (Diss. section 3.10).
        leadership_transfer: bool,
    },
    /// Answer to a request for a vote.
    VoteResponse {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries of the leader's log; without entries, a heartbeat (Raft section 5.3).
    AppendEntries(AppendEntries),
    /// Answer to entries and to a snapshot.
    AppendResponse {
        /// The index up to which the receiver's log is the leader's; none if the preceding entry
        /// did not match.
        match_index: Option<LogIndex>,
        /// If it did not match, the index that the leader should try next.
        next_index_hint: LogIndex,
    },
    /// A snapshot in place of entries that the leader no longer has (Raft section 7).
    InstallSnapshot {
        /// The snapshot as a whole.
        snapshot: Snapshot,
    },
    /// The leader asks the receiver to start an election at once (Diss. section 3.10).
    TimeoutNow,
}

impl MessageBody {
    /// Whether only a leader sends it.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot { .. }
        )
    }
}

/// Entries of the leader's log, behind one that the receiver should already have (Raft figure 2).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Index of the entry that precedes these.
    pub prev_log_index: LogIndex,
    /// Term of that entry.
    pub prev_log_term: Term,
    /// The entries, in order; none in a heartbeat.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub leader_commit: LogIndex,
}
