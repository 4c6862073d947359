//! The clients' own ids of open requests: each belongs to one request at a time, over all processes of this balancer.
//!
//! A claim is made as a request is admitted, before anything of it is sent, and given up when its answer is out and its last
//! attempt has ended, or with the process.
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::FxHashSet;
use tracing::warn;

use crate::lifecycle::id_locks::IdLocks;
use crate::stages::used_ids::IdHash;

/// The ids that requests of this process have.
#[derive(Debug, Default)]
struct ClaimedIds {
    own: FxHashSet<Bytes>,
    /// Where the ids of all processes are claimed, while there is another one.
    locks: Option<IdLocks>,
}

/// The ids of open requests.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Rc<RefCell<ClaimedIds>>);

impl OpenIds {
    /// Claims an id; `None` if another open request has it, here or in another process.
    pub fn claim(&self, id: &Bytes) -> Option<IdClaim> {
        let mut claimed = self.0.borrow_mut();
        if claimed.own.contains(id) || !claimed.claim_shared(id) {
            return None;
        }
        claimed.own.insert(id.clone());
        Some(IdClaim {
            id: id.clone(),
            ids: self.clone(),
        })
    }

    /// Whether ids are claimed over several processes.
    pub fn is_shared(&self) -> bool {
        self.0.borrow().locks.is_some()
    }

    /// Claims ids where other processes do from now on, those of requests that are open now included; `None` once there is
    /// no other process.
    pub fn share(&self, locks: Option<IdLocks>) {
        let mut claimed = self.0.borrow_mut();
        claimed.locks = locks;
        for id in &claimed.own {
            claimed.claim_shared(id);
        }
    }
}

impl ClaimedIds {
    /// Without a shared file, or where that fails, the ids of this process are all that are known.
    fn claim_shared(&self, id: &Bytes) -> bool {
        let Some(locks) = &self.locks else {
            return true;
        };
        locks.claim(IdHash::of(id)).unwrap_or_else(|error| {
            warn!(%error, "id of an open request not shared with the other process");
            true
        })
    }

    fn release(&mut self, id: &Bytes) {
        self.own.remove(id);
        let released = self
            .locks
            .as_ref()
            .map(|locks| locks.release(IdHash::of(id)));
        if let Some(Err(error)) = released {
            warn!(%error, "id of a request not released for the other process");
        }
    }
}

/// The claim to an id, given up when it is dropped.
#[derive(Debug)]
pub struct IdClaim {
    id: Bytes,
    ids: OpenIds,
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().release(&self.id);
    }
}
