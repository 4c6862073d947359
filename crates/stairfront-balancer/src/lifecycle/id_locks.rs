//! The ids of open requests, claimed by the processes of one balancer during an upgrade: a lock of the kernel on one byte of
//! a file for each id.
//!
//! The kernel has each lock owned by one process at most, and releases those of a process that is killed. A list that each
//! process kept of the other's ids could be behind.
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

use nix::errno::Errno;
use nix::fcntl::{fcntl, FcntlArg};
use nix::libc;

use crate::stages::used_ids::IdHash;

/// Bits by which a hash is shortened to the offset of a byte that can be locked.
const UNUSED_HASH_BITS: u32 = 2;

/// The file, as one process has it open.
#[derive(Debug)]
pub struct IdLocks(File);

impl IdLocks {
    /// Opens the file at this path; the process that serves first makes it.
    ///
    /// # Errors
    ///
    /// If the file cannot be opened.
    pub fn open(path: &Path, create: bool) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(create);
        options.open(path).map(IdLocks)
    }

    /// Claims an id; whether no other process has it.
    ///
    /// # Errors
    ///
    /// If the file system has no such locks.
    pub fn claim(&self, id: IdHash) -> io::Result<bool> {
        match self.set(id, libc::F_WRLCK) {
            Ok(()) => Ok(true),
            Err(Errno::EAGAIN | Errno::EACCES) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Gives up a claim; one that was not made is no error.
    ///
    /// # Errors
    ///
    /// If the file system has no such locks.
    pub fn release(&self, id: IdHash) -> io::Result<()> {
        self.set(id, libc::F_UNLCK).map_err(io::Error::from)
    }

    fn set(&self, id: IdHash, kind: libc::c_int) -> Result<(), Errno> {
        let lock = libc::flock {
            l_type: kind as libc::c_short,
            l_whence: libc::SEEK_SET as libc::c_short,
            l_start: (id.0 >> UNUSED_HASH_BITS) as libc::off_t,
            l_len: 1,
            l_pid: 0,
        };
        // Such a lock belongs to the open file, and ends with it.
        fcntl(&self.0, FcntlArg::F_OFD_SETLK(&lock)).map(drop)
    }
}
