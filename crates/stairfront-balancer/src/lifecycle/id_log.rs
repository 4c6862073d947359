//! The ids of requests that the two processes of an upgrade have sent, in two files: each process appends to one before it
//! sends, and reads the other before it admits. Those that are open are claimed in a third (`id_locks.rs`).
//!
//! A message could be read after the client's next request; a file cannot. Each file is a row of hashes of eight bytes,
//! little-endian. They are there for as long as both processes are.
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::lifecycle::id_locks::IdLocks;
use crate::stages::used_ids::IdHash;

/// Bytes of one id.
const ID_BYTES: usize = 8;
/// Bytes of one file at most: files count as memory in service.
const MAX_FILE_BYTES: u64 = 512 * 1024;
/// Ending of the file in which ids of open requests are claimed.
const LOCKS_FILE_PART: &str = "open";
/// Bytes that are read at once.
const READ_BYTES: usize = 4096;

/// Which of the two processes of an upgrade this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeSide {
    /// The process that serves first.
    Predecessor,
    /// The process that takes over.
    Successor,
}

impl UpgradeSide {
    fn file_part(self) -> &'static str {
        match self {
            UpgradeSide::Predecessor => "old",
            UpgradeSide::Successor => "new",
        }
    }

    fn other(self) -> Self {
        match self {
            UpgradeSide::Predecessor => UpgradeSide::Successor,
            UpgradeSide::Successor => UpgradeSide::Predecessor,
        }
    }
}

/// Where the files of one balancer are; none where an install has no directory for them.
#[derive(Clone, Debug, Default)]
pub struct IdLogFiles(Option<PathBuf>);

impl IdLogFiles {
    /// Files in this directory, under names that belong to the balancer called `balancer` alone.
    pub fn within(directory: Option<&Path>, balancer: &str) -> Self {
        let file = format!("stairfront-ids-v1-{:016x}", xxh3_64(balancer.as_bytes()));
        IdLogFiles(directory.map(|directory| directory.join(file)))
    }

    fn path(&self, side: UpgradeSide) -> Option<PathBuf> {
        let base = self.0.as_ref()?;
        Some(base.with_extension(side.file_part()))
    }

    /// Opens the files of an upgrade on this side. The old process makes both anew before it welcomes the new one.
    pub fn open(&self, side: UpgradeSide) -> Option<SharedIdLog> {
        let opened = self.try_open(side)?;
        opened
            .inspect_err(|error| warn!(%error, "ids are not shared with the other process"))
            .ok()
    }

    fn try_open(&self, side: UpgradeSide) -> Option<io::Result<SharedIdLog>> {
        let (own, other) = (self.path(side)?, self.path(side.other())?);
        let is_new = side == UpgradeSide::Predecessor;
        // An old process of a version without these files leaves none.
        if !is_new && !other.exists() {
            return None;
        }
        Some((|| {
            if is_new {
                // An earlier upgrade that has not ended goes on with the files that it has open.
                self.remove_logs();
                File::create_new(&own)?;
                File::create_new(&other)?;
            }
            Ok(SharedIdLog {
                own: OpenOptions::new().append(true).open(&own)?,
                own_bytes: 0,
                other: File::open(&other)?,
                other_read: 0,
            })
        })())
    }

    /// Opens the file in which the processes claim the ids of open requests; `None` if there is no directory, or the
    /// process that serves first is of a build without it.
    pub fn open_locks(&self, side: UpgradeSide) -> Option<IdLocks> {
        let path = self.locks_path()?;
        let create = side == UpgradeSide::Predecessor;
        match IdLocks::open(&path, create) {
            Ok(locks) => Some(locks),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                warn!(%error, "ids of open requests are not shared with the other process");
                None
            }
        }
    }

    fn locks_path(&self) -> Option<PathBuf> {
        let base = self.0.as_ref()?;
        Some(base.with_extension(LOCKS_FILE_PART))
    }

    /// Removes the files, since there is one process again.
    pub fn remove(&self) {
        self.remove_logs();
        if let Some(path) = self.locks_path() {
            // There may be none.
            let _ = std::fs::remove_file(path);
        }
    }

    fn remove_logs(&self) {
        for side in [UpgradeSide::Predecessor, UpgradeSide::Successor] {
            if let Some(path) = self.path(side) {
                // There may be none.
                let _ = std::fs::remove_file(path);
            }
        }
    }
}

/// The files of one upgrade, as one of its processes uses them.
#[derive(Debug)]
pub struct SharedIdLog {
    own: File,
    own_bytes: u64,
    other: File,
    other_read: u64,
}

impl SharedIdLog {
    /// Appends an id, which the other process finds from here on.
    ///
    /// # Errors
    ///
    /// If the file cannot be written, or is full.
    pub fn append(&mut self, id: IdHash) -> io::Result<()> {
        if self.own_bytes >= MAX_FILE_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.own.write_all(&id.0.to_le_bytes())?;
        self.own_bytes += ID_BYTES as u64;
        Ok(())
    }

    /// The ids that the other process has appended since the last call.
    pub fn read_new(&mut self) -> Vec<IdHash> {
        let mut ids = Vec::new();
        let mut bytes = [0; READ_BYTES];
        loop {
            let read = self.other.read_at(&mut bytes, self.other_read).unwrap_or(0);
            let whole = read - read % ID_BYTES;
            let (chunks, _) = bytes[..whole].as_chunks::<ID_BYTES>();
            ids.extend(chunks.iter().map(|id| IdHash(u64::from_le_bytes(*id))));
            self.other_read += whole as u64;
            if whole == 0 {
                return ids;
            }
        }
    }
}
