//! The idempotency keys that a group of cache hosts shares.
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use rustc_hash::FxHashMap;
use stairfront_common::time::Micros;

/// The first execution under an idempotency key.
#[derive(Debug)]
struct Execution {
    at: Micros,
    receipt: Bytes,
}

/// The requests with an idempotency key that a group of hosts has executed, with their receipts.
#[derive(Debug, Default)]
pub struct IdempotencyStore {
    executed: FxHashMap<Bytes, Execution>,
    /// Keys by when they were executed, oldest first.
    by_age: VecDeque<(Micros, Bytes)>,
}

impl IdempotencyStore {
    /// An empty store that several hosts can share.
    pub fn shared() -> Arc<Mutex<Self>> {
        Arc::default()
    }

    /// The receipt of the first request under this key, if it was executed within `ttl`; otherwise records this request
    /// as the first.
    pub fn first_receipt(
        &mut self,
        now: Micros,
        ttl: Micros,
        key: &Bytes,
        receipt: &Bytes,
    ) -> Option<Bytes> {
        self.remove_before(now - ttl);
        if let Some(first) = self.executed.get(key) {
            return Some(first.receipt.clone());
        }
        let execution = Execution {
            at: now,
            receipt: receipt.clone(),
        };
        self.executed.insert(key.clone(), execution);
        self.by_age.push_back((now, key.clone()));
        None
    }

    fn remove_before(&mut self, limit: Micros) {
        while let Some((at, key)) = self.by_age.pop_front() {
            if at >= limit {
                self.by_age.push_front((at, key));
                return;
            }
            if self.executed.get(&key).is_some_and(|first| first.at == at) {
                self.executed.remove(&key);
            }
        }
    }
}
