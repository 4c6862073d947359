//! How a baseline selects one of several cache servers.
use stairfront_policy::interface::CacheId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the positions on the hash ring.
const RING_SEED: u64 = 7;

/// The policy by which a request's server is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Any server.
    Random,
    /// The server with the fewest requests in flight from this balancer; of several, a random one.
    LeastInFlight,
    /// The clockwise owner of the key's position on a hash ring with one position for each server.
    ConsistentHash,
}

/// Random numbers from a seed.
pub(crate) struct RandomSequence {
    state: u64,
}

impl RandomSequence {
    pub(crate) fn new(seed: u64) -> Self {
        RandomSequence { state: seed }
    }

    /// A number from 0 to below `bound`; 0 where `bound` is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = xxh3_64_with_seed(&self.state.to_le_bytes(), 0);
        (mixed % bound.max(1) as u64) as usize
    }
}

/// The server that owns a key; position 0 of the ring stands for a request without a key.
pub(crate) fn ring_owner(mut caches: Vec<CacheId>, key: Option<u64>) -> Option<CacheId> {
    let position = key.map_or(0, ring_position);
    caches.sort_by_key(|cache| ring_position(cache.0));
    let clockwise = caches
        .iter()
        .find(|cache| ring_position(cache.0) >= position);
    clockwise.or(caches.first()).copied()
}

fn ring_position(value: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), RING_SEED)
}
