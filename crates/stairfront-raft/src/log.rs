//! The replicated log: entries behind a snapshot of what came before them (Raft sections 5.3 and
//! 7).
use serde::{Deserialize, Serialize};

/// A term of Raft: each has one leader at most (Raft section 5.1). A plain number, since terms are
/// compared and counted in every rule and are a bare integer in the stored and the exchanged forms.
pub type Term = u64;
/// The position of an entry in the log; the first is 1, and 0 is before all. A plain number, since
/// positions are computed with in every rule and are the keys of a store.
pub type LogIndex = u64;

/// The identity of a voter or a learner: a name and the incarnation of its storage.
///
/// A member that restarts with empty storage no longer knows for whom it has voted. It therefore
/// has a new incarnation, is another voter, and counts towards a majority only after it was added.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The configured name of the member.
    pub name: String,
    /// The incarnation of its storage.
    pub incarnation: u64,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader's term: entries of earlier terms can be committed with it (Raft
    /// section 8).
    Noop,
    /// A command for the state machine, in its own form.
    Command(Vec<u8>),
    /// The voters from this entry on (Diss. section 4.1).
    Voters(Vec<Voter>),
}

impl Payload {
    /// The approximate size of the encoded payload, for the limit of a message.
    fn encoded_len(&self) -> usize {
        match self {
            Payload::Noop => 1,
            Payload::Command(bytes) => bytes.len() + 4,
            Payload::Voters(voters) => voters.iter().map(|voter| voter.name.len() + 12).sum(),
        }
    }
}

/// One entry of the log. Its index is its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which a leader appended it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// An entry with its position in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexedEntry {
    /// The position.
    pub index: LogIndex,
    /// The entry.
    pub entry: Entry,
}

/// The state after all entries up to an index were applied (Raft section 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot replaces.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The voters as of that entry.
    pub voters: Vec<Voter>,
    /// The identity of the group, which is the incarnation of the member that bootstrapped it; 0
    /// before there is one.
    pub cluster_id: u64,
    /// The state machine's own form of its state.
    pub data: Vec<u8>,
}

/// The voters of a log, and where they are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterSet<'a> {
    /// Index of the entry that names them, or of the snapshot.
    pub index: LogIndex,
    /// The voters.
    pub voters: &'a [Voter],
}

/// A snapshot and the entries behind it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// The state before the first entry.
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// A log of these entries, the first of which directly follows the snapshot.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Log { snapshot, entries }
    }

    /// Index of the last entry, or of the snapshot if there is none.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.index + self.entries.len() as LogIndex
    }

    /// Term of the last entry, or of the snapshot if there is none.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at an index; none before the snapshot and behind the last entry.
    #[must_use]
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index; none up to the snapshot and behind the last entry.
    #[must_use]
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: Entry) -> LogIndex {
        self.entries.push(entry);
        self.last_index()
    }

    /// Removes the entry at an index and all behind it.
    pub fn truncate(&mut self, from: LogIndex) {
        let kept = from.saturating_sub(self.snapshot.index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Copies entries from an index on, as many as fit into so many bytes, but one at least.
    #[must_use]
    pub fn entries_from(&self, index: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for position in index..=self.last_index() {
            let Some(entry) = self.get(position) else {
                break;
            };
            bytes += entry.payload.encoded_len();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Replaces the entries that a snapshot covers by it. The entries behind it stay if the log has
    /// the snapshot's last entry, and are removed otherwise (Raft section 7).
    pub fn compact(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            let covered = snapshot.index.saturating_sub(self.snapshot.index);
            let covered = usize::try_from(covered).unwrap_or(usize::MAX);
            self.entries.drain(..covered.min(self.entries.len()));
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// The voters that the newest entry with voters names, committed or not (Diss. section 4.1).
    #[must_use]
    pub fn voters(&self) -> VoterSet<'_> {
        self.voters_at(self.last_index())
    }

    /// The voters as of the entry at an index.
    #[must_use]
    pub fn voters_at(&self, index: LogIndex) -> VoterSet<'_> {
        let first = self.snapshot.index + 1;
        let newest = (first..=index)
            .rev()
            .find_map(|index| match &self.get(index)?.payload {
                Payload::Voters(voters) => Some(VoterSet { index, voters }),
                Payload::Noop | Payload::Command(_) => None,
            });
        newest.unwrap_or(VoterSet {
            index: self.snapshot.index,
            voters: &self.snapshot.voters,
        })
    }
}
