//! The errors of a store. Their texts are shown to operators as the role of a member that does not
//! vote.
use std::io;

use stairfront_raft::{LogIndex, Term};

use super::FORMAT_VERSION;

/// Any error of the database; its own types differ by operation and are large.
pub type DatabaseError = Box<dyn std::error::Error + Send + Sync>;

/// Why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk or the database refuses.
    #[error("{path}: {source}; another process may have it open, or the disk is full or gone")]
    Disk {
        /// Path of the store.
        path: String,
        /// The error of the database.
        source: DatabaseError,
    },
    /// The thread that writes the store has ended.
    #[error(
        "{path}: its thread has ended; another process may have it open, or the disk is full or \
         gone"
    )]
    ThreadEnded {
        /// Path of the store.
        path: String,
    },
    /// The content is not what was written.
    #[error(
        "{path} is spoilt ({corruption}): what this voter has promised is not known. Move the file \
         away and start again: it comes back as a new voter, which the others take in"
    )]
    Corrupt {
        /// Path of the store.
        path: String,
        /// The damage.
        #[source]
        corruption: Corruption,
    },
    /// The store is that of another member.
    #[error("{path} belongs to {owner}, not to {local}; name another file, or move it away")]
    WrongOwner {
        /// Path of the store.
        path: String,
        /// The member and group that it belongs to.
        owner: String,
        /// This member and its group.
        local: String,
    },
    /// The store was written by a newer program.
    #[error(
        "{path} has form {version}, and {FORMAT_VERSION} is known here: written by a newer program"
    )]
    UnsupportedVersion {
        /// Path of the store.
        path: String,
        /// The version of its format.
        version: u32,
    },
}

/// How the content of a store is damaged.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// The database has panicked while it opened the file.
    #[error("it cannot be read at all")]
    Unreadable,
    /// The database reports damage.
    #[error("{0}")]
    Database(String),
    /// The file is not one of a database, or is cut short.
    #[error("{0}")]
    NotADatabase(#[source] io::Error),
    /// A table cannot be read.
    #[error("{0}")]
    Table(#[source] DatabaseError),
    /// The record of the owner is missing or damaged.
    #[error("whose it is cannot be read")]
    Owner,
    /// The record of term and vote is damaged.
    #[error("its term and vote cannot be read")]
    HardState,
    /// The snapshot is damaged.
    #[error("its snapshot cannot be read")]
    Snapshot,
    /// The entries are not consecutive.
    #[error("entry {expected} is not there, {found} is")]
    MissingEntry {
        /// The index that should follow.
        expected: LogIndex,
        /// The index that is there.
        found: LogIndex,
    },
    /// The entry of this index is damaged.
    #[error("entry {0} cannot be read")]
    Entry(LogIndex),
    /// The log has an entry of a term that the record of term and vote does not know.
    #[error("an entry of term {entry}, and a vote of term {vote}")]
    OutdatedHardState {
        /// Term of the last entry.
        entry: Term,
        /// Term of the vote.
        vote: Term,
    },
}
