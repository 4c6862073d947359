//! The names that discovery has ever listed, and those of them that are cordoned.
use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashSet;
use stairfront_policy::interface::CacheId;

/// Names remembered after they have left the list. A day of ever new ids brings some thousand; each takes 16 bytes.
const MOST_PAST: usize = 16_384;

/// The name was never listed, or was forgotten, or belongs to an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no cache host of this name was ever listed")]
pub struct UnknownHost;

/// Who may be taken out, and who is.
#[derive(Debug, Default)]
pub struct HostRegistry {
    known: FxHashSet<CacheId>,
    /// Those that are listed no more, the one longest gone first; some may have come back since.
    past: VecDeque<CacheId>,
    /// By number, with the name for people and for the record.
    cordoned: BTreeMap<CacheId, String>,
    /// Those that the group holds out; what is said here alone does not change that.
    held: BTreeMap<CacheId, String>,
}

impl HostRegistry {
    /// A cache host stands in the list.
    pub fn listed(&mut self, id: CacheId) {
        self.known.insert(id);
    }

    /// A cache host has left the list; `is_live` tells of any whether it is in the list now.
    pub fn left(&mut self, id: CacheId, is_live: impl Fn(CacheId) -> bool) {
        if !self.known.contains(&id) {
            return;
        }
        self.past.push_back(id);
        // Danger: a long day of new ids would push out one that is listed again, or cordoned, and its operators would
        // be told that it was never listed.
        while self.past.len() > MOST_PAST {
            let Some(oldest) = self.past.pop_front() else {
                return;
            };
            let kept = is_live(oldest) || self.is_cordoned(oldest) || self.past.contains(&oldest);
            if !kept {
                self.known.remove(&oldest);
            }
        }
    }

    pub fn is_known(&self, id: CacheId) -> bool {
        self.known.contains(&id)
    }

    /// Every name that may be asked of, by its number.
    pub fn known(&self) -> impl Iterator<Item = CacheId> + '_ {
        self.known.iter().copied()
    }

    /// Takes over a name that another process of this balancer has heard of.
    pub fn inherit(&mut self, id: CacheId, is_live: impl Fn(CacheId) -> bool) {
        if !is_live(id) && self.known.insert(id) {
            self.left(id, is_live);
        }
    }

    /// True if it was not cordoned before.
    pub fn cordon(&mut self, id: CacheId, name: &str) -> Result<bool, UnknownHost> {
        if !self.known.contains(&id) {
            return Err(UnknownHost);
        }
        Ok(self.cordoned.insert(id, name.to_string()).is_none())
    }

    /// True if it was cordoned before: a single call lifts any number of them.
    pub fn uncordon(&mut self, id: CacheId) -> Result<bool, UnknownHost> {
        if !self.known.contains(&id) {
            return Err(UnknownHost);
        }
        let lifted = self.cordoned.remove(&id).is_some();
        if lifted {
            // It may have left the list meanwhile, and then it is to be forgotten in its turn.
            self.past.push_back(id);
        }
        Ok(lifted)
    }

    /// Takes over a cordon from a record: its cache host was listed then.
    pub fn restore(&mut self, id: CacheId, name: &str) {
        self.known.insert(id);
        self.cordoned.insert(id, name.to_string());
    }

    /// The group holds it out; known or not, since others vouch for it.
    pub fn hold(&mut self, id: CacheId, name: &str) {
        self.known.insert(id);
        self.held.insert(id, name.to_string());
    }

    pub fn release(&mut self, id: CacheId) {
        if self.held.remove(&id).is_some() {
            // It may have left the list meanwhile, as one that is uncordoned.
            self.past.push_back(id);
        }
    }

    pub fn is_held(&self, id: CacheId) -> bool {
        self.held.contains_key(&id)
    }

    /// Taken out, by whomever.
    pub fn is_cordoned(&self, id: CacheId) -> bool {
        self.cordoned.contains_key(&id) || self.held.contains_key(&id)
    }

    pub fn all_out(&self) -> impl Iterator<Item = CacheId> + '_ {
        let held = self
            .held
            .keys()
            .filter(|id| !self.cordoned.contains_key(*id));
        self.cordoned.keys().chain(held).copied()
    }

    /// How many are out.
    pub fn out(&self) -> usize {
        self.all_out().count()
    }

    /// Those that operators have taken out here.
    pub fn cordoned(&self) -> impl Iterator<Item = (CacheId, &str)> {
        self.cordoned.iter().map(|(id, name)| (*id, name.as_str()))
    }
}
