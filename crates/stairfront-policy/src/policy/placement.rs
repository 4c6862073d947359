//! Placement of keys by two-choice consistent hashing, after Byers, Considine and Mitzenmacher,
//! "Geometric generalizations of the power of two choices": a key hashes to two points of the ring
//! and belongs to the owner with fewer keys.
use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use stairfront_common::time::{Micros, SECOND};

use super::server::Server;
use super::Policy;
use crate::interface::{CacheId, Key};
use crate::statistics::ring_position;

/// Points that a key hashes to: the paper's d.
const POINTS_PER_KEY: usize = 2;
/// Candidates of a key. The third is used when two points have one owner, or the first two have no
/// capacity.
const MAX_CANDIDATES: usize = 3;
/// Seed of the hash of caches; those of keys follow it.
const CACHE_SEED: u64 = 0;
/// Seed of the first hash of keys.
const FIRST_KEY_SEED: u64 = CACHE_SEED + 1;
/// Two counts of keys are tied within this many standard deviations of their difference under
/// chance alone.
const TIE_DEVIATIONS: f64 = 2.0;
/// Most keys remembered, where the driver sets no lower limit.
const MAX_PLACEMENTS: usize = 65_536;
/// Time after which a key that is not requested is forgotten.
const PLACEMENT_TTL: Micros = 60 * SECOND;

/// A cache's position on the ring.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    position: u64,
    cache: CacheId,
}

/// The hash ring: the ready caches in the order of their positions. A cache owns the arc before its
/// position.
#[derive(Default)]
pub(super) struct Ring(Vec<RingPoint>);

impl Ring {
    /// Replaces all caches.
    pub(super) fn rebuild(&mut self, caches: impl Iterator<Item = CacheId>) {
        let point = |cache: CacheId| RingPoint {
            position: ring_position(cache.0, CACHE_SEED),
            cache,
        };
        self.0 = caches.map(point).collect();
        self.0.sort_unstable();
    }

    /// Number of caches, and 1 where there is none, to divide by.
    pub(super) fn size_to_divide_by(&self) -> usize {
        self.0.len().max(1)
    }

    /// The caches in the order of their positions.
    pub(super) fn caches(&self) -> impl Iterator<Item = CacheId> + '_ {
        self.0.iter().map(|point| point.cache)
    }

    /// The cache at an index.
    pub(super) fn cache(&self, index: usize) -> CacheId {
        self.0[index].cache
    }

    /// The caches clockwise from the owner of a key's first point, that owner left out.
    pub(super) fn clockwise_from(&self, key: Key) -> impl Iterator<Item = CacheId> + '_ {
        let start = self.owner(ring_position(key.0, FIRST_KEY_SEED));
        (1..self.0.len()).map(move |step| self.0[(start + step) % self.0.len()].cache)
    }

    /// The distinct owners of a key's points, in the order of its hash functions.
    pub(super) fn candidates(&self, key: Key) -> Candidates {
        let mut candidates = Candidates::default();
        if self.0.is_empty() {
            return candidates;
        }
        for seed in (FIRST_KEY_SEED..).take(MAX_CANDIDATES) {
            let owner = self.owner(ring_position(key.0, seed));
            if !candidates.indices().contains(&owner) {
                candidates.push(owner);
            }
        }
        candidates
    }

    /// Index of the cache that owns a position: the next one clockwise.
    fn owner(&self, position: u64) -> usize {
        self.0.partition_point(|point| point.position < position) % self.size_to_divide_by()
    }

    /// Length of the arc that the cache at an index owns.
    fn arc(&self, index: usize) -> u64 {
        let before = (index + self.0.len() - 1) % self.0.len();
        self.0[index].position.wrapping_sub(self.0[before].position)
    }
}

/// Indices on the ring of the caches that may hold a key.
#[derive(Clone, Copy, Default)]
pub(super) struct Candidates {
    indices: [usize; MAX_CANDIDATES],
    len: usize,
}

impl Candidates {
    /// The indices, in the order of the hash functions.
    pub(super) fn indices(&self) -> &[usize] {
        &self.indices[..self.len]
    }

    fn push(&mut self, index: usize) {
        self.indices[self.len] = index;
        self.len += 1;
    }

    /// The two owners that a new key is placed on one of; the same one twice where there is no
    /// other.
    fn choices(&self) -> Option<(usize, usize)> {
        let first = *self.indices().first()?;
        let second = self.indices[self.len.min(POINTS_PER_KEY) - 1];
        Some((first, second))
    }
}

/// Where a key is placed.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    /// The cache.
    pub(super) cache: CacheId,
    /// Incarnation of the cache that the key was placed on. The placement is void for any other,
    /// also if the cache was not listed in between.
    pub(super) incarnation: Micros,
    /// When the key was last requested.
    pub(super) seen_at: Micros,
    /// Its cache has served it since, so it likely holds it.
    pub(super) cached: bool,
}

/// A key and when it was requested, in the queue of keys that may be forgotten.
struct SeenKey {
    seen_at: Micros,
    key: Key,
}

/// The placements of keys, bounded by number and age.
#[derive(Default)]
pub(super) struct PlacementTable {
    placements: FxHashMap<Key, Placement>,
    /// Keys by the time at which they were last inspected, oldest first.
    by_age: VecDeque<SeenKey>,
    /// Most keys remembered; [`MAX_PLACEMENTS`] where none is set.
    max: Option<usize>,
}

impl PlacementTable {
    /// Sets how many keys are remembered at most.
    pub(super) fn set_max(&mut self, max: usize) {
        self.max = Some(max.clamp(1, MAX_PLACEMENTS));
    }

    /// The placement of a key.
    pub(super) fn get(&self, key: Key) -> Option<&Placement> {
        self.placements.get(&key)
    }

    /// The placement of a key, to be changed.
    pub(super) fn get_mut(&mut self, key: Key) -> Option<&mut Placement> {
        self.placements.get_mut(&key)
    }

    /// Sets the placement of a key.
    pub(super) fn insert(&mut self, key: Key, placement: Placement) {
        let seen_at = placement.seen_at;
        self.placements.insert(key, placement);
        self.by_age.push_back(SeenKey { seen_at, key });
    }

    /// Forgets a key.
    fn remove(&mut self, key: Key) -> Option<Placement> {
        self.placements.remove(&key)
    }

    /// All placements, in no order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Key, &Placement)> {
        self.placements
            .iter()
            .map(|(key, placement)| (*key, placement))
    }

    /// The next key that is to be forgotten, since it has not been requested for too long, or there
    /// are too many keys and it was inspected longest ago.
    fn pop_expired(&mut self, now: Micros) -> Option<Key> {
        while let Some(&SeenKey { seen_at, key }) = self.by_age.front() {
            let full = self.placements.len() >= self.max.unwrap_or(MAX_PLACEMENTS);
            if !full && now - seen_at < PLACEMENT_TTL {
                return None;
            }
            self.by_age.pop_front();
            match self.get(key).map(|placement| placement.seen_at) {
                Some(latest) if latest > seen_at && !(full && latest == now) => {
                    let seen_at = latest;
                    self.by_age.push_back(SeenKey { seen_at, key });
                }
                Some(_) => return Some(key),
                None => {}
            }
        }
        None
    }
}

impl Policy {
    /// Where a key belongs: where it is placed, and a new key on one of its candidates. `None`
    /// while the ring is empty.
    pub(super) fn place(&mut self, now: Micros, key: Key) -> Option<CacheId> {
        if let Some(placement) = self.placements.get_mut(key) {
            let server = self.servers.get(&placement.cache);
            let is_valid = |server: &Server| {
                server.is_ready() && server.endpoint.incarnation == placement.incarnation
            };
            if now - placement.seen_at < PLACEMENT_TTL && server.is_some_and(is_valid) {
                placement.seen_at = now;
                return Some(placement.cache);
            }
            self.remove_key(key);
        }
        while let Some(expired) = self.placements.pop_expired(now) {
            self.remove_key(expired);
        }
        let (first, second) = self.ring.candidates(key).choices()?;
        let cache = self.ring.cache(self.less_loaded(first, second));
        self.place_on(now, key, cache);
        Some(cache)
    }

    /// The owner with fewer keys, and the one with the shorter arc if they are tied.
    ///
    /// Small counts differ by chance, and each of many balancers would choose another cache; counts
    /// that differ by no more than chance are a tie.
    fn less_loaded(&self, first: usize, second: usize) -> usize {
        let first_keys = self.placed_keys_at(first);
        let second_keys = self.placed_keys_at(second);
        let chance = TIE_DEVIATIONS * (first_keys + second_keys).sqrt();
        let tied = (first_keys - second_keys).abs() <= chance;
        let choose_first = if tied {
            self.ring.arc(first) <= self.ring.arc(second)
        } else {
            first_keys < second_keys
        };
        if choose_first {
            first
        } else {
            second
        }
    }

    fn placed_keys_at(&self, index: usize) -> f64 {
        let server = self.servers.get(&self.ring.cache(index));
        server.map_or(0, |server| server.placed_keys.max(0)) as f64
    }

    /// Places a key on a cache.
    pub(super) fn place_on(&mut self, now: Micros, key: Key, cache: CacheId) {
        if let Some(server) = self.servers.get_mut(&cache) {
            server.placed_keys += 1;
            let placement = Placement {
                cache,
                incarnation: server.endpoint.incarnation,
                seen_at: now,
                cached: false,
            };
            self.placements.insert(key, placement);
        }
    }

    /// Ends the placement of a key.
    pub(super) fn remove_key(&mut self, key: Key) {
        let Some(placement) = self.placements.remove(key) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&placement.cache) {
            if server.endpoint.incarnation == placement.incarnation {
                server.placed_keys -= 1;
            }
        }
    }
}
