//! A voter's log: entries behind a snapshot of what came before them.
use serde::{Deserialize, Serialize};

pub type Term = u64;
pub type Index = u64;

/// A voter is a name and the life of its disk. Danger: one that comes back with an empty disk has forgotten for whom it
/// has voted; it is another voter, and counts once it was taken in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub name: String,
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A leader's first entry (Raft section 8): what came before it can be settled with it.
    Nothing,
    Order(Vec<u8>),
    /// The voters from this entry on.
    Voters(Vec<Voter>),
}

impl Payload {
    fn bytes(&self) -> usize {
        match self {
            Payload::Nothing => 1,
            Payload::Order(bytes) => bytes.len() + 4,
            Payload::Voters(voters) => voters.iter().map(|voter| voter.name.len() + 12).sum(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub payload: Payload,
}

/// All that was settled up to an entry, in the form of whoever applies entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub voters: Vec<Voter>,
    /// Which group this is: the life of its founder; 0 before there is one.
    pub founding: u64,
    pub data: Vec<u8>,
}

/// Indexes begin with 1; 0 is before all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Log { snapshot, entries }
    }

    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// None for an index that is behind the snapshot or not there.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    pub fn push(&mut self, entry: Entry) -> Index {
        self.entries.push(entry);
        self.last_index()
    }

    /// Drops this entry and all behind it.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Entries from an index on, as many as fit, one at least.
    pub fn from(&self, index: Index, most_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut some = Vec::new();
        for at in index..=self.last_index() {
            let Some(entry) = self.get(at) else { break };
            bytes += entry.payload.bytes();
            if bytes > most_bytes && !some.is_empty() {
                break;
            }
            some.push(entry.clone());
        }
        some
    }

    /// Puts a snapshot in the place of what it holds; what stands behind it stays if it fits.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let fits = self.term(snapshot.index) == Some(snapshot.term);
        let gone = usize::try_from(snapshot.index.saturating_sub(self.snapshot.index))
            .unwrap_or(usize::MAX);
        match fits {
            true => drop(self.entries.drain(..gone.min(self.entries.len()))),
            false => self.entries.clear(),
        }
        self.snapshot = snapshot;
    }

    /// The voters as the newest entry that names them says, settled or not (Diss. section 4.1), and where it stands.
    pub fn voters(&self) -> (Index, &[Voter]) {
        let named = self
            .entries
            .iter()
            .enumerate()
            .rev()
            .find_map(|(at, entry)| match &entry.payload {
                Payload::Voters(voters) => {
                    Some((self.snapshot.index + 1 + at as Index, voters.as_slice()))
                }
                _ => None,
            });
        named.unwrap_or((self.snapshot.index, &self.snapshot.voters))
    }
}
