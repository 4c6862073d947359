//! Where a voter keeps its term, its vote and its log: an embedded store (redb), synced before `save` returns. A tail that a
//! crash tore is cut by the store; what was kept and has changed since is refused, with the way out.
use std::path::{Path, PathBuf};

use postcard::{from_bytes, to_stdvec};
use redb::{Database, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stairfront_raft::{Entry, HardState, Log, LogIndex, Ready, Recovered, Snapshot, Voter};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// By name: who this is, what must not be forgotten, the snapshot.
const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
const ENTRIES: TableDefinition<LogIndex, &[u8]> = TableDefinition::new("entries");
const OWNER: &str = "owner";
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
/// Raised when an older program would misread it.
const FORM: u32 = 1;
/// Of a sum in front of each value.
const SUM: usize = 8;
/// Pages that the store keeps in memory. A log is some hundred kilobytes.
const CACHE_BYTES: usize = 1 << 20;

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    form: u32,
    group: String,
    voter: Voter,
}

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{path}: {problem}; another process may have it open, or the disk is full or gone")]
    Disk { path: String, problem: String },
    #[error(
        "{path} is spoilt ({what}): what this voter has promised is not known. Move the file away and start again: it \
         comes back as a new voter, which the others take in"
    )]
    Spoilt { path: String, what: String },
    #[error("{path} belongs to {owner}, not to {me}; name another file, or move it away")]
    Foreign {
        path: String,
        owner: String,
        me: String,
    },
    #[error("{path} has form {form}, and {FORM} is known here: written by a newer program")]
    Form { path: String, form: u32 },
}

pub struct Store {
    path: PathBuf,
    db: Database,
    voter: Voter,
}

/// A value behind its sum. Danger: a bit that a disk has turned would be taken for a vote.
fn seal<T: Serialize>(key: u64, value: &T) -> Vec<u8> {
    // Numbers, texts and lists of them alone, which cannot fail.
    let body = to_stdvec(value).unwrap_or_default();
    let mut sealed = xxh3_64_with_seed(&body, key).to_le_bytes().to_vec();
    sealed.extend(body);
    sealed
}

fn unseal<T: DeserializeOwned>(key: u64, sealed: &[u8]) -> Option<T> {
    let (sum, body) = sealed.split_at_checked(SUM)?;
    (sum == xxh3_64_with_seed(body, key).to_le_bytes())
        .then(|| from_bytes(body).ok())
        .flatten()
}

/// Of a value in `HEAD`; entries go by their index, so that none stands for another.
fn key(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(FORM))
}

impl Store {
    /// Opens the store of this voter, or makes one with the life that is given.
    pub fn open(path: &Path, group: &str, new: Voter) -> Result<(Store, Recovered), StoreError> {
        let db = Database::builder().set_cache_size(CACHE_BYTES).create(path);
        Store::of(path, db, group, new)
    }

    /// On anything that stores bytes: for tests of what a crash leaves behind.
    pub fn open_on(
        backend: impl StorageBackend,
        group: &str,
        new: Voter,
    ) -> Result<(Store, Recovered), StoreError> {
        let db = Database::builder()
            .set_cache_size(CACHE_BYTES)
            .create_with_backend(backend);
        Store::of(Path::new("memory"), db, group, new)
    }

    fn of(
        path: &Path,
        db: Result<Database, redb::DatabaseError>,
        group: &str,
        new: Voter,
    ) -> Result<(Store, Recovered), StoreError> {
        use redb::{DatabaseError, StorageError};
        let text = path.display().to_string();
        let db = db.map_err(|problem| match problem {
            DatabaseError::Storage(StorageError::Corrupted(what)) => StoreError::Spoilt {
                path: text.clone(),
                what,
            },
            DatabaseError::Storage(StorageError::Io(io)) if is_form(&io) => StoreError::Spoilt {
                path: text.clone(),
                what: io.to_string(),
            },
            other => StoreError::Disk {
                path: text.clone(),
                problem: other.to_string(),
            },
        })?;
        let mut store = Store {
            path: path.to_path_buf(),
            db,
            voter: new,
        };
        let recovered = store.recover(group)?;
        Ok((store, recovered))
    }

    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    fn disk(&self, problem: &dyn std::fmt::Display) -> StoreError {
        StoreError::Disk {
            path: self.path.display().to_string(),
            problem: problem.to_string(),
        }
    }

    fn spoilt(&self, what: impl Into<String>) -> StoreError {
        StoreError::Spoilt {
            path: self.path.display().to_string(),
            what: what.into(),
        }
    }

    fn recover(&mut self, group: &str) -> Result<Recovered, StoreError> {
        let disk = |problem: redb::Error| self.disk(&problem);
        let read = self
            .db
            .begin_read()
            .map_err(|problem| disk(problem.into()))?;
        let head = match read.open_table(HEAD) {
            Ok(head) => head,
            Err(redb::TableError::TableDoesNotExist(_)) => {
                drop(read);
                self.found(group)?;
                return Ok(Recovered::default());
            }
            Err(problem) => return Err(self.spoilt(problem.to_string())),
        };
        let entries = read
            .open_table(ENTRIES)
            .map_err(|problem| self.spoilt(problem.to_string()))?;
        let value = |name: &str| {
            head.get(name)
                .map_err(|problem| self.spoilt(problem.to_string()))
        };
        let owner = value(OWNER)?.and_then(|found| unseal::<Owner>(key(OWNER), found.value()));
        let owner = owner.ok_or_else(|| self.spoilt("whose it is cannot be read"))?;
        let path = self.path.display().to_string();
        if owner.form != FORM {
            return Err(StoreError::Form {
                path,
                form: owner.form,
            });
        }
        if (&*owner.group, &owner.voter.name) != (group, &self.voter.name) {
            let (owner, me) = (
                format!("{} of {}", owner.voter.name, owner.group),
                format!("{} of {group}", self.voter.name),
            );
            return Err(StoreError::Foreign { path, owner, me });
        }
        let hard = match value(HARD)? {
            None => HardState::default(),
            Some(found) => unseal(key(HARD), found.value())
                .ok_or_else(|| self.spoilt("its term and vote cannot be read"))?,
        };
        let snapshot: Snapshot = match value(SNAPSHOT)? {
            None => Snapshot::default(),
            Some(found) => unseal(key(SNAPSHOT), found.value())
                .ok_or_else(|| self.spoilt("its snapshot cannot be read"))?,
        };
        let mut log: Vec<Entry> = Vec::new();
        for found in entries
            .iter()
            .map_err(|problem| self.spoilt(problem.to_string()))?
        {
            let (index, sealed) = found.map_err(|problem| self.spoilt(problem.to_string()))?;
            let expected = snapshot.index + 1 + log.len() as LogIndex;
            if index.value() != expected {
                return Err(self.spoilt(format!(
                    "entry {expected} is not there, {} is",
                    index.value()
                )));
            }
            let entry = unseal(index.value(), sealed.value());
            log.push(entry.ok_or_else(|| self.spoilt(format!("entry {expected} cannot be read")))?);
        }
        let newest = log.last().map_or(snapshot.term, |entry| entry.term);
        if hard.term < newest {
            return Err(self.spoilt(format!(
                "an entry of term {newest}, and a vote of term {}",
                hard.term
            )));
        }
        self.voter = owner.voter;
        Ok(Recovered {
            hard_state: hard,
            log: Log::new(snapshot, log),
        })
    }

    fn found(&self, group: &str) -> Result<(), StoreError> {
        let owner = Owner {
            form: FORM,
            group: group.to_string(),
            voter: self.voter.clone(),
        };
        let write = || -> Result<(), Box<dyn std::error::Error>> {
            let transaction = self.db.begin_write()?;
            transaction
                .open_table(HEAD)?
                .insert(OWNER, &*seal(key(OWNER), &owner))?;
            transaction.open_table(ENTRIES)?;
            Ok(transaction.commit()?)
        };
        write().map_err(|problem| self.disk(&problem))
    }

    /// Keeps all that a `Ready` names. It is on the disk when this returns without a fault; after one, nothing of it
    /// counts, and the store has to be opened anew.
    pub fn save(&self, ready: &Ready) -> Result<(), StoreError> {
        if !ready.must_persist() {
            return Ok(());
        }
        let Ready {
            hard_state,
            snapshot,
            truncate_from,
            append,
            ..
        } = ready;
        let write = || -> Result<(), Box<dyn std::error::Error>> {
            let transaction = self.db.begin_write()?;
            {
                let mut head = transaction.open_table(HEAD)?;
                let mut entries = transaction.open_table(ENTRIES)?;
                if let Some(hard_state) = hard_state {
                    head.insert(HARD, &*seal(key(HARD), hard_state))?;
                }
                if let Some(snapshot) = snapshot {
                    head.insert(SNAPSHOT, &*seal(key(SNAPSHOT), snapshot))?;
                    // What stands behind it stays where it is the same history.
                    let same = match entries.get(snapshot.index)? {
                        Some(found) => unseal::<Entry>(snapshot.index, found.value())
                            .is_some_and(|entry| entry.term == snapshot.term),
                        None => false,
                    };
                    entries.retain(|index, _| same && index > snapshot.index)?;
                }
                if let Some(from) = truncate_from {
                    entries.retain(|index, _| index < *from)?;
                }
                for appended in append {
                    let index = appended.index;
                    entries.insert(index, &*seal(index, &appended.entry))?;
                }
            }
            Ok(transaction.commit()?)
        };
        write().map_err(|problem| self.disk(&problem))
    }
}

/// A file that is none of the store's, or cut short.
fn is_form(problem: &std::io::Error) -> bool {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    matches!(problem.kind(), InvalidData | UnexpectedEof)
}
