//! Ids of requests that may have run and must not run twice: whoever comes again with one gets an error.
//!
//! A client that leaves may come again with the id of a request that was written to a server a moment before, and that the
//! server begins a moment later. An id is remembered as its request leaves the table, for longer than a server holds a
//! request, and while two processes serve as one balancer both know what the other has sent (`lifecycle/id_log.rs`).
use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::lifecycle::handover::OtherProcess;
use crate::lifecycle::id_log::SharedIdLog;

/// How long an id is remembered.
const ID_TTL: Duration = Duration::from_secs(60);
/// Ids that are remembered where no limit is set.
const DEFAULT_CAPACITY: usize = 8192;

/// Hash of a client's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(pub u64);

impl IdHash {
    /// The hash of an id.
    pub fn of(id: &[u8]) -> Self {
        IdHash(xxh3_64(id))
    }
}

/// The ids that are remembered, bounded by number and age.
#[derive(Debug)]
pub struct UsedIds {
    used_at: FxHashMap<IdHash, Instant>,
    by_age: VecDeque<(Instant, IdHash)>,
    capacity: usize,
    /// What is shared with the process before this one, while there is one.
    predecessor_log: Option<SharedIdLog>,
    /// The same with the process that takes over from this one.
    successor_log: Option<SharedIdLog>,
}

impl Default for UsedIds {
    fn default() -> Self {
        UsedIds {
            used_at: FxHashMap::default(),
            by_age: VecDeque::new(),
            capacity: DEFAULT_CAPACITY,
            predecessor_log: None,
            successor_log: None,
        }
    }
}

impl UsedIds {
    /// Sets how many ids are remembered at most.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Remembers an id.
    pub fn insert(&mut self, id: IdHash) {
        let now = Instant::now();
        self.forget_old(now);
        if self.used_at.insert(id, now).is_none() {
            self.by_age.push_back((now, id));
        }
    }

    /// Whether a request with this id may have run.
    pub fn contains(&mut self, id: IdHash) -> bool {
        self.read_shared();
        let used_at = self.used_at.get(&id);
        used_at.is_some_and(|at| at.elapsed() < ID_TTL)
    }

    /// All ids that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = IdHash> + '_ {
        self.by_age.iter().map(|(_, id)| *id)
    }

    /// Shares what is sent with another process of this balancer; `None` once that has ended.
    pub fn share(&mut self, other: OtherProcess, log: Option<SharedIdLog>) {
        self.read_shared();
        match other {
            OtherProcess::Predecessor => self.predecessor_log = log,
            OtherProcess::Successor => self.successor_log = log,
        }
    }

    /// Tells the other processes that a request is about to be sent.
    pub fn announce(&mut self, id: IdHash) {
        append(&mut self.predecessor_log, id);
        append(&mut self.successor_log, id);
    }

    fn read_shared(&mut self) {
        for id in read(&mut self.predecessor_log) {
            self.insert(id);
            append(&mut self.successor_log, id);
        }
        for id in read(&mut self.successor_log) {
            self.insert(id);
            append(&mut self.predecessor_log, id);
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((used_at, id)) = self.by_age.front().copied() {
            if now < used_at + ID_TTL && self.by_age.len() < self.capacity {
                return;
            }
            self.by_age.pop_front();
            self.used_at.remove(&id);
        }
    }
}

fn read(log: &mut Option<SharedIdLog>) -> Vec<IdHash> {
    log.as_mut().map(SharedIdLog::read_new).unwrap_or_default()
}

fn append(log: &mut Option<SharedIdLog>, id: IdHash) {
    let appended = log.as_mut().map(|log| log.append(id));
    if let Some(Err(error)) = appended {
        warn!(%error, "id of a request not shared with the other process");
    }
}
