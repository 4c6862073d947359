//! Fetches from the origin in cache-aside mode: one for each key at a time (singleflight), and not
//! more in all than the origin's concurrency limit admits.
use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use stairfront_common::time::Micros;

use super::pending_request::{PendingRequest, Stage};
use super::Policy;
use crate::interface::{Action, Key, RequestId};

/// The fetch of one key.
struct Fetch {
    /// The request that fetches.
    leader: RequestId,
    /// Requests for the same key that wait for its value.
    followers: Vec<RequestId>,
}

/// Fetches in flight and those that wait for the origin.
#[derive(Default)]
pub(super) struct OriginFetches {
    by_key: FxHashMap<Key, Fetch>,
    queue: VecDeque<RequestId>,
}

impl OriginFetches {
    /// Whether fetches wait for the origin.
    pub(super) fn are_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Lets the fetch of a request wait for the origin.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        self.queue.push_back(id);
    }

    /// Ends the fetch of a key if this request leads it; returns the requests that wait for it.
    fn end(&mut self, key: Key, leader: RequestId) -> Option<Vec<RequestId>> {
        if self.by_key.get(&key)?.leader != leader {
            return None;
        }
        self.by_key.remove(&key).map(|fetch| fetch.followers)
    }
}

impl Policy {
    /// Lets a request wait for another one's fetch of the same key, if there is one. A popular key
    /// that has expired would otherwise be fetched once for each reader.
    pub(super) fn share_fetch(&mut self, id: RequestId) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        let key = pending.request.key;
        let fetch = key.and_then(|key| self.fetches.by_key.get_mut(&key));
        let Some(fetch) = fetch.filter(|fetch| fetch.leader != id) else {
            return false;
        };
        pending.stage = Stage::SharedFetch;
        fetch.followers.push(id);
        true
    }

    /// Lets a request fetch its key from the origin.
    pub(super) fn lead_fetch(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.stage = Stage::OriginFetch;
        if let Some(key) = pending.request.key {
            let fetch = Fetch {
                leader: id,
                followers: Vec::new(),
            };
            self.fetches.by_key.insert(key, fetch);
        }
        self.fetches.enqueue(id);
        self.start_fetches(now, actions);
    }

    /// Ends the fetch that a request led. Its followers read the value that was stored; if none
    /// was, the next of them fetches.
    pub(super) fn finish_fetch(
        &mut self,
        now: Micros,
        leader: RequestId,
        key: Key,
        value_stored: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut followers) = self.fetches.end(key, leader) else {
            return;
        };
        let waits = |pending: &PendingRequest| pending.stage == Stage::SharedFetch;
        followers.retain(|follower| self.pending.get(follower).is_some_and(waits));
        let mut followers = followers.into_iter();
        if !value_stored {
            if let Some(next_leader) = followers.next() {
                self.lead_fetch(now, next_leader, actions);
            }
        }
        for follower in followers {
            self.dispatch(now, follower, actions);
        }
    }

    /// Sends queued fetches while the origin has capacity. Past its capacity every fetch would be
    /// late.
    pub(super) fn start_fetches(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(origin) = self.select_origin() {
            let server = self.servers.get(&origin);
            let Some(server) = server.filter(|server| self.has_capacity(server, now)) else {
                return;
            };
            let expected_latency = server.latency_ewma.value as Micros;
            let Some(id) = self.fetches.queue.pop_front() else {
                return;
            };
            let waits = |pending: &&PendingRequest| {
                pending.stage == Stage::OriginFetch && pending.in_flight.is_none()
            };
            let Some(pending) = self.pending.get(&id).filter(waits) else {
                continue;
            };
            // A long queue served in turn answers every reader too late, so those that would be
            // late are left out.
            let due_at = if self.fetches.are_queued() {
                pending.objective_at
            } else {
                self.answer_due_at(pending)
            };
            if now + expected_latency > due_at || !self.may_send(now, id, origin) {
                self.finish_unserved(now, id, actions);
            } else {
                self.send(now, id, origin, actions);
            }
        }
    }
}
