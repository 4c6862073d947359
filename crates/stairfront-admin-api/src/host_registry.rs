//! The names that discovery has ever listed, and those of them that are cordoned.
use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashSet;
use stairfront_policy::interface::CacheId;

/// Names remembered after they have left the list. A day of ever new ids brings some thousand; each takes 16 bytes.
const MAX_UNLISTED: usize = 16_384;

/// The name was never listed, or was forgotten, or belongs to an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no cache host of this name was ever listed")]
pub struct UnknownHost;

/// The cache hosts that may be cordoned, and those that are.
#[derive(Debug, Default)]
pub struct HostRegistry {
    known: FxHashSet<CacheId>,
    /// Hosts that left the list, the earliest first; some may have come back since.
    unlisted: VecDeque<CacheId>,
    /// Hosts cordoned by operators here, with their names for people and for the record.
    cordoned: BTreeMap<CacheId, String>,
    /// Hosts cordoned by the group; an operator's call to this balancer alone does not change that.
    cordoned_by_group: BTreeMap<CacheId, String>,
}

impl HostRegistry {
    /// Notes that a cache host is in the list.
    pub fn note_listed(&mut self, id: CacheId) {
        self.known.insert(id);
    }

    /// Notes that a cache host has left the list. `is_listed` tells of any host whether it is in the list now.
    ///
    /// Past the bound the host that left first is forgotten, unless it is listed again, cordoned, or left again later: its
    /// operators would be told that it was never listed.
    pub fn note_unlisted(&mut self, id: CacheId, is_listed: impl Fn(CacheId) -> bool) {
        if !self.known.contains(&id) {
            return;
        }
        self.unlisted.push_back(id);
        while self.unlisted.len() > MAX_UNLISTED {
            let Some(oldest) = self.unlisted.pop_front() else {
                return;
            };
            let is_needed =
                is_listed(oldest) || self.is_cordoned(oldest) || self.unlisted.contains(&oldest);
            if !is_needed {
                self.known.remove(&oldest);
            }
        }
    }

    /// Whether a cache host of this id was ever listed.
    #[must_use]
    pub fn is_known(&self, id: CacheId) -> bool {
        self.known.contains(&id)
    }

    /// Every cache host that may be asked about.
    pub fn known(&self) -> impl Iterator<Item = CacheId> + '_ {
        self.known.iter().copied()
    }

    /// Takes over a host that another process of this balancer knows.
    pub fn inherit(&mut self, id: CacheId, is_listed: impl Fn(CacheId) -> bool) {
        if !is_listed(id) && self.known.insert(id) {
            self.note_unlisted(id, is_listed);
        }
    }

    /// Cordons a host; true if it was not cordoned before.
    ///
    /// # Errors
    ///
    /// [`UnknownHost`] for a host that is not known.
    pub fn cordon(&mut self, id: CacheId, name: &str) -> Result<bool, UnknownHost> {
        if !self.known.contains(&id) {
            return Err(UnknownHost);
        }
        Ok(self.cordoned.insert(id, name.to_string()).is_none())
    }

    /// Lifts a host's cordon, however often it was cordoned; true if it was.
    ///
    /// # Errors
    ///
    /// [`UnknownHost`] for a host that is not known.
    pub fn uncordon(&mut self, id: CacheId) -> Result<bool, UnknownHost> {
        if !self.known.contains(&id) {
            return Err(UnknownHost);
        }
        let lifted = self.cordoned.remove(&id).is_some();
        if lifted {
            // It may have left the list meanwhile, and has to be forgotten in its turn then.
            self.unlisted.push_back(id);
        }
        Ok(lifted)
    }

    /// Takes over a cordon from a record: its host was listed when the record was written.
    pub fn restore(&mut self, id: CacheId, name: &str) {
        self.known.insert(id);
        self.cordoned.insert(id, name.to_string());
    }

    /// Cordons a host for the group, known here or not: other members vouch for it.
    pub fn cordon_for_group(&mut self, id: CacheId, name: &str) {
        self.known.insert(id);
        self.cordoned_by_group.insert(id, name.to_string());
    }

    /// Lifts the group's cordon of a host.
    pub fn uncordon_for_group(&mut self, id: CacheId) {
        if self.cordoned_by_group.remove(&id).is_some() {
            // It may have left the list meanwhile, as a host that operators uncordon.
            self.unlisted.push_back(id);
        }
    }

    /// Whether the group has a host cordoned.
    #[must_use]
    pub fn is_cordoned_by_group(&self, id: CacheId) -> bool {
        self.cordoned_by_group.contains_key(&id)
    }

    /// Whether a host is cordoned, by operators here or by the group.
    #[must_use]
    pub fn is_cordoned(&self, id: CacheId) -> bool {
        self.cordoned.contains_key(&id) || self.cordoned_by_group.contains_key(&id)
    }

    /// Every cordoned host, whoever has cordoned it.
    pub fn all_cordoned(&self) -> impl Iterator<Item = CacheId> + '_ {
        let by_group = self.cordoned_by_group.keys();
        let by_group_alone = by_group.filter(|id| !self.cordoned.contains_key(*id));
        self.cordoned.keys().chain(by_group_alone).copied()
    }

    /// Number of cordoned hosts.
    #[must_use]
    pub fn cordoned_count(&self) -> usize {
        self.all_cordoned().count()
    }

    /// Hosts that operators have cordoned here, with their names.
    pub fn cordoned_by_operators(&self) -> impl Iterator<Item = (CacheId, &str)> {
        self.cordoned.iter().map(|(id, name)| (*id, name.as_str()))
    }
}
