//! The store of a voter's term, vote and log: an embedded database (redb), synced before `save`
//! returns. The database removes an incomplete transaction that a crash has left; content that has
//! changed since it was written is refused.
mod checksum;
mod error;

use std::io;
use std::path::{Path, PathBuf};

use redb::{
    Database, ReadOnlyTable, ReadableTable, StorageBackend, StorageError, Table, TableDefinition,
    TableError,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stairfront_raft::{Entry, HardState, Log, LogIndex, Ready, Recovered, Snapshot, Voter};

use self::checksum::{seal, unseal, Key};
pub use self::error::{Corruption, DatabaseError, StoreError};

/// Single values by name: the owner, the hard state, the snapshot.
const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
/// Entries of the log by index.
const ENTRIES: TableDefinition<LogIndex, &[u8]> = TableDefinition::new("entries");
const OWNER: &str = "owner";
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";
/// Version of the format; raised when an older program would misread it.
const FORMAT_VERSION: u32 = 1;
/// Pages that the database keeps in memory. A log is some hundred kilobytes.
const CACHE_BYTES: usize = 1 << 20;

type HeadTable = ReadOnlyTable<&'static str, &'static [u8]>;
type EntryTable = ReadOnlyTable<LogIndex, &'static [u8]>;

/// The member that a store belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    format_version: u32,
    group: String,
    voter: Voter,
}

/// A voter's store.
pub struct Store {
    path: PathBuf,
    database: Database,
    voter: Voter,
}

impl Store {
    /// Opens the store of a voter, or creates it. An existing store keeps the incarnation with
    /// which it was created; the given one is that of a new store.
    ///
    /// # Errors
    ///
    /// [`StoreError`] for a store that cannot be opened, is damaged, or is another's.
    pub fn open(
        path: &Path,
        group: &str,
        new_voter: Voter,
    ) -> Result<(Store, Recovered), StoreError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).create(path);
        Store::with_database(path, database, group, new_voter)
    }

    /// Opens a store on anything that stores bytes, for tests of what a crash leaves.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn open_on(
        backend: impl StorageBackend,
        group: &str,
        new_voter: Voter,
    ) -> Result<(Store, Recovered), StoreError> {
        let database = Database::builder()
            .set_cache_size(CACHE_BYTES)
            .create_with_backend(backend);
        Store::with_database(Path::new("memory"), database, group, new_voter)
    }

    fn with_database(
        path: &Path,
        database: Result<Database, redb::DatabaseError>,
        group: &str,
        new_voter: Voter,
    ) -> Result<(Store, Recovered), StoreError> {
        let mut store = Store {
            path: path.to_path_buf(),
            database: database.map_err(|error| open_error(path, error))?,
            voter: new_voter,
        };
        let recovered = store.recover(group)?;
        Ok((store, recovered))
    }

    /// The identity of the voter, with the incarnation of this store.
    #[must_use]
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    fn path_text(&self) -> String {
        self.path.display().to_string()
    }

    fn disk_error(&self, error: impl Into<DatabaseError>) -> StoreError {
        StoreError::Disk {
            path: self.path_text(),
            source: error.into(),
        }
    }

    fn corrupt(&self, corruption: Corruption) -> StoreError {
        StoreError::Corrupt {
            path: self.path_text(),
            corruption,
        }
    }

    fn table_error(&self, error: impl Into<DatabaseError>) -> StoreError {
        self.corrupt(Corruption::Table(error.into()))
    }

    fn recover(&mut self, group: &str) -> Result<Recovered, StoreError> {
        let read = self
            .database
            .begin_read()
            .map_err(|error| self.disk_error(error))?;
        let head = match read.open_table(HEAD) {
            Ok(head) => head,
            Err(TableError::TableDoesNotExist(_)) => {
                drop(read);
                self.create(group)?;
                return Ok(Recovered::default());
            }
            Err(error) => return Err(self.table_error(error)),
        };
        let entries = read
            .open_table(ENTRIES)
            .map_err(|error| self.table_error(error))?;
        let owner = self.read_owner(&head, group)?;
        let recovered = self.read_state(&head, &entries)?;
        self.voter = owner;
        Ok(recovered)
    }

    /// The owner, if it is this member of this group.
    fn read_owner(&self, head: &HeadTable, group: &str) -> Result<Voter, StoreError> {
        let owner: Owner = self
            .read_head(head, OWNER, Corruption::Owner)?
            .ok_or_else(|| self.corrupt(Corruption::Owner))?;
        if owner.format_version != FORMAT_VERSION {
            return Err(StoreError::UnsupportedVersion {
                path: self.path_text(),
                version: owner.format_version,
            });
        }
        if owner.group != group || owner.voter.name != self.voter.name {
            return Err(StoreError::WrongOwner {
                path: self.path_text(),
                owner: format!("{} of {}", owner.voter.name, owner.group),
                local: format!("{} of {group}", self.voter.name),
            });
        }
        Ok(owner.voter)
    }

    fn read_state(&self, head: &HeadTable, entries: &EntryTable) -> Result<Recovered, StoreError> {
        let hard_state: HardState = self
            .read_head(head, HARD_STATE, Corruption::HardState)?
            .unwrap_or_default();
        let snapshot: Snapshot = self
            .read_head(head, SNAPSHOT, Corruption::Snapshot)?
            .unwrap_or_default();
        let entries = self.read_entries(entries, snapshot.index)?;
        let log = Log::new(snapshot, entries);
        if hard_state.term < log.last_term() {
            return Err(self.corrupt(Corruption::OutdatedHardState {
                entry: log.last_term(),
                vote: hard_state.term,
            }));
        }
        Ok(Recovered { hard_state, log })
    }

    /// A single value; none if it was never written.
    fn read_head<T: DeserializeOwned>(
        &self,
        head: &HeadTable,
        name: &str,
        corruption: Corruption,
    ) -> Result<Option<T>, StoreError> {
        let Some(sealed) = head.get(name).map_err(|error| self.table_error(error))? else {
            return Ok(None);
        };
        match unseal(Key::of_name(name), sealed.value()) {
            Some(value) => Ok(Some(value)),
            None => Err(self.corrupt(corruption)),
        }
    }

    fn read_entries(
        &self,
        table: &EntryTable,
        snapshot_index: LogIndex,
    ) -> Result<Vec<Entry>, StoreError> {
        let rows = table.iter().map_err(|error| self.table_error(error))?;
        let mut entries = Vec::new();
        for (expected, row) in (snapshot_index + 1..).zip(rows) {
            let (index, sealed) = row.map_err(|error| self.table_error(error))?;
            let found = index.value();
            if found != expected {
                return Err(self.corrupt(Corruption::MissingEntry { expected, found }));
            }
            let entry = unseal(Key::of_entry(found), sealed.value());
            entries.push(entry.ok_or_else(|| self.corrupt(Corruption::Entry(expected)))?);
        }
        Ok(entries)
    }

    /// Writes the owner into an empty database.
    fn create(&self, group: &str) -> Result<(), StoreError> {
        let owner = Owner {
            format_version: FORMAT_VERSION,
            group: group.to_string(),
            voter: self.voter.clone(),
        };
        self.write(|head, _| {
            head.insert(OWNER, &*seal(Key::of_name(OWNER), &owner))?;
            Ok(())
        })
    }

    /// Makes a batch durable. It is on the disk when this returns without an error; after an error
    /// nothing of it counts, and the store has to be opened again.
    ///
    /// # Errors
    ///
    /// [`StoreError::Disk`].
    pub fn save(&self, ready: &Ready) -> Result<(), StoreError> {
        if !ready.must_persist() {
            return Ok(());
        }
        self.write(|head, entries| {
            if let Some(hard_state) = &ready.hard_state {
                head.insert(HARD_STATE, &*seal(Key::of_name(HARD_STATE), hard_state))?;
            }
            if let Some(snapshot) = &ready.snapshot {
                head.insert(SNAPSHOT, &*seal(Key::of_name(SNAPSHOT), snapshot))?;
                remove_covered(entries, snapshot)?;
            }
            if let Some(from) = ready.truncate_from {
                entries.retain(|index, _| index < from)?;
            }
            for appended in &ready.append {
                let sealed = seal(Key::of_entry(appended.index), &appended.entry);
                entries.insert(appended.index, &*sealed)?;
            }
            Ok(())
        })
    }

    /// Changes both tables in one transaction.
    fn write(
        &self,
        change: impl FnOnce(
            &mut Table<&str, &[u8]>,
            &mut Table<LogIndex, &[u8]>,
        ) -> Result<(), DatabaseError>,
    ) -> Result<(), StoreError> {
        let transact = || -> Result<(), DatabaseError> {
            let transaction = self.database.begin_write()?;
            let mut head = transaction.open_table(HEAD)?;
            let mut entries = transaction.open_table(ENTRIES)?;
            change(&mut head, &mut entries)?;
            drop((head, entries));
            Ok(transaction.commit()?)
        };
        transact().map_err(|error| self.disk_error(error))
    }
}

/// Removes the entries that a snapshot covers, and those behind it if they are of another history.
fn remove_covered(
    entries: &mut Table<LogIndex, &[u8]>,
    snapshot: &Snapshot,
) -> Result<(), DatabaseError> {
    let last_covered: Option<Entry> = entries
        .get(snapshot.index)?
        .and_then(|sealed| unseal(Key::of_entry(snapshot.index), sealed.value()));
    let same_history = last_covered.is_some_and(|entry| entry.term == snapshot.term);
    entries.retain(|index, _| same_history && index > snapshot.index)?;
    Ok(())
}

/// The error of a database that cannot be opened.
fn open_error(path: &Path, error: redb::DatabaseError) -> StoreError {
    let path = path.display().to_string();
    let corruption = match error {
        redb::DatabaseError::Storage(StorageError::Corrupted(damage)) => {
            Corruption::Database(damage)
        }
        redb::DatabaseError::Storage(StorageError::Io(io)) if is_malformed(&io) => {
            Corruption::NotADatabase(io)
        }
        other => {
            let source = other.into();
            return StoreError::Disk { path, source };
        }
    };
    StoreError::Corrupt { path, corruption }
}

/// Whether a file is not one of the database, or is cut short.
fn is_malformed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof
    )
}
