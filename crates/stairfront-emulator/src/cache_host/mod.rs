//! A cache host: cores with a bounded queue, a bounded store, a cold start, and the faults of a server.
//!
//! [`CacheHost`] takes commands and the time, and returns [`Action`]s. Its driver sends the replies of a connection in
//! the order of their [`ReplySlot`]s.
mod cold_start;
mod idempotency;
mod load_report;
mod protocol;
mod requests;
mod settings;

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use lru::LruCache;
use rustc_hash::{FxBuildHasher, FxHashMap};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros};

pub use self::idempotency::IdempotencyStore;
pub use self::protocol::{
    is_value_for, value_for, Action, Command, ConnectionId, Reply, ReplySlot,
};
pub use self::settings::CacheSettings;

use self::cold_start::ColdStart;
use self::load_report::LoadReporter;
use self::requests::{Fetch, PendingCommand, Task};
use crate::worker_pool::WorkerPool;

/// Most commands whose miss is remembered, so that the origin's answer can be stored; the least recently used is
/// evicted.
const MAX_REMEMBERED_MISSES: usize = 65_536;

/// The faults of a host; several may apply at once. Chances are probabilities per reply, between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerFaults {
    /// By what the time of work is multiplied.
    pub slowdown: f64,
    /// Probability that a reply is not sent.
    pub drop_chance: f64,
    /// Probability that a reply is malformed.
    pub corrupt_chance: f64,
    /// Probability that a reply is sent twice.
    pub duplicate_chance: f64,
    /// Probability that the connection is closed instead of a reply.
    pub reset_chance: f64,
}

impl Default for ServerFaults {
    fn default() -> Self {
        ServerFaults {
            slowdown: 1.0,
            drop_chance: 0.0,
            corrupt_chance: 0.0,
            duplicate_chance: 0.0,
            reset_chance: 0.0,
        }
    }
}

/// A cache host.
#[derive(Debug)]
pub struct CacheHost {
    settings: CacheSettings,
    random: SeededRng,
    workers: WorkerPool<Task>,
    /// Cached keys, with when each was stored.
    store: LruCache<Bytes, Micros, FxBuildHasher>,
    /// Keys of the commands that missed, by command id.
    misses: LruCache<Bytes, Bytes, FxBuildHasher>,
    /// Commands that wait for a fetch, by key.
    awaiting_fetch: FxHashMap<Bytes, Vec<PendingCommand>>,
    /// Fetches in progress, in the order of completion.
    fetches: VecDeque<Fetch>,
    /// Open connections, with when each was last used.
    connections: FxHashMap<ConnectionId, Micros>,
    idempotency: Arc<Mutex<IdempotencyStore>>,
    faults: ServerFaults,
    cold_start: ColdStart,
    crashed: bool,
    draining: bool,
    answered: u64,
    load_reporter: LoadReporter,
    filler: Bytes,
}

impl CacheHost {
    /// A warm host with an empty store, which shares idempotency keys with its group.
    pub fn new(
        settings: CacheSettings,
        seed: u64,
        name: &str,
        idempotency: Arc<Mutex<IdempotencyStore>>,
    ) -> Self {
        let capacity = |size: usize| NonZeroUsize::new(size).unwrap_or(NonZeroUsize::MIN);
        CacheHost {
            random: SeededRng::for_part(seed, name),
            workers: WorkerPool::new(settings.cores, settings.max_queue),
            store: LruCache::with_hasher(capacity(settings.max_keys), FxBuildHasher),
            misses: LruCache::with_hasher(capacity(MAX_REMEMBERED_MISSES), FxBuildHasher),
            awaiting_fetch: FxHashMap::default(),
            fetches: VecDeque::new(),
            connections: FxHashMap::default(),
            idempotency,
            faults: ServerFaults::default(),
            cold_start: ColdStart::default(),
            crashed: false,
            draining: false,
            answered: 0,
            load_reporter: LoadReporter::default(),
            filler: Bytes::from(vec![b'.'; settings.value_bytes]),
            settings,
        }
    }

    /// Starts again with an empty store; all connections and all work are lost.
    pub fn start_cold(&mut self, now: Micros) {
        self.store.clear();
        self.misses.clear();
        self.stop();
        self.cold_start.restart(now);
        self.crashed = false;
        self.draining = false;
    }

    /// Loses all connections and all work.
    pub fn stop(&mut self) {
        self.workers.clear();
        self.awaiting_fetch.clear();
        self.fetches.clear();
        self.connections.clear();
    }

    /// Sets its faults from now on.
    pub fn set_faults(&mut self, faults: ServerFaults) {
        self.faults = faults;
    }

    /// Its faults.
    pub fn faults(&self) -> ServerFaults {
        self.faults
    }

    /// Begins or ends a drain, in which new commands are rejected and the work in flight is finished.
    pub fn drain(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Invalidates a random part of the cached values, each with this probability.
    pub fn invalidate_fraction(&mut self, fraction: f64) {
        let keys: Vec<Bytes> = self.store.iter().map(|(key, _)| key.clone()).collect();
        for key in keys {
            if self.random.happens(fraction) {
                self.store.pop(&key);
            }
        }
    }

    /// Delays all work in progress, as when the host stands still for a while.
    pub fn stall(&mut self, duration: Micros) {
        self.workers.stall(duration);
    }

    /// Stores a key without a command.
    pub fn preload(&mut self, now: Micros, key: Bytes) {
        self.store.put(key, now);
    }

    /// The origin has answered the request of this id: its value is stored if it missed at this host.
    pub fn fill(&mut self, now: Micros, id: &Bytes) {
        if let Some(key) = self.misses.pop(id) {
            self.store.put(key, now);
        }
    }

    /// Invalidates the cached value of a key, which was written at the origin.
    pub fn invalidate(&mut self, key: &Bytes) {
        self.store.pop(key);
    }

    /// The fraction of its capacity that it has: less than 1 while it is cold.
    pub fn capacity_fraction(&self, now: Micros) -> f64 {
        self.cold_start.capacity_fraction(&self.settings, now)
    }

    fn speed(&self, now: Micros) -> f64 {
        self.capacity_fraction(now) / self.faults.slowdown.max(1e-3)
    }

    /// The most work that arrived within a window while it was cold, over the most that it can bear.
    pub fn max_cold_load_ratio(&self) -> f64 {
        self.cold_start.max_load_ratio()
    }

    /// Number of commands that run or wait.
    pub fn outstanding(&self) -> usize {
        self.workers.outstanding()
    }

    /// Whether it has crashed because it was overloaded while cold.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Opens a connection; false where it has crashed or has as many connections as it may.
    pub fn open(&mut self, now: Micros, connection: ConnectionId) -> bool {
        if self.crashed || self.connections.len() >= self.settings.max_connections {
            return false;
        }
        self.connections.insert(connection, now);
        if self.settings.connect_ms > 0.0 {
            let work = from_ms(self.settings.connect_ms);
            let speed = self.speed(now);
            // A connection is open whether or not there is room for its work.
            let _ = self.workers.offer(now, work, speed, Task::Connect);
        }
        true
    }

    /// A connection has ended.
    pub fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Closes the connections that have been idle for longer than the settings allow.
    pub fn close_idle(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let limit = now - from_ms(self.settings.idle_ms);
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, used)| **used < limit)
            .map(|(id, _)| *id)
            .collect();
        for connection in idle {
            self.connections.remove(&connection);
            actions.push(Action::Close(connection));
        }
    }
}
