//! The cordons of the whole group, as an observed-remove set: each cordon has a unique tag, and a lift names the tags that
//! it has observed. So of a cordon and a lift on two sides of a network partition the cordon stands, until a member that
//! has observed it lifts it. Two sets merge to the same result in any order.
//!
//! Shapiro, Preguica, Baquero, Zawirski, "Conflict-free Replicated Data Types", SSS 2011, section 3.2.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stairfront_common::time::{Micros, SECOND};
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of entries, lifted ones included. Each takes some hundred bytes.
pub const MAX_ENTRIES: usize = 1024;
/// Time for which a lifted entry is kept for members that were away. A member that missed the lift for longer brings its
/// cordon back; operators see that and lift it again, and no request goes to a cordoned host.
const LIFTED_ENTRY_TTL: Micros = 7 * 86_400 * SECOND;
/// Author of the cordons that follow from agreed maintenance plans; not a member's name.
const PLAN_AUTHOR: &str = "(maintenance)";

/// Unique identity of a cordon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag {
    /// Member that set the cordon, or `(maintenance)` for a plan.
    pub author: String,
    /// Process of the author; the raft cluster's identity for a plan.
    #[serde(rename = "run")]
    pub process_id: u64,
    /// Number of the cordon at that process; the index of the raft log entry for a plan.
    pub number: u32,
}

impl Tag {
    fn is_planned(&self, cluster_id: u64) -> bool {
        cluster_id != 0 && self.author == PLAN_AUTHOR && self.process_id == cluster_id
    }
}

/// One cordon of a cache host, set or lifted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonEntry {
    /// The cordoned cache host.
    pub host: String,
    /// Identity of the cordon.
    pub tag: Tag,
    /// The cordon has been lifted.
    pub lifted: bool,
}

/// Change of a host's state that follows from a change of the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonTransition {
    /// The cache host.
    pub host: String,
    /// Whether the host is cordoned now.
    pub cordoned: bool,
}

/// Entries that a local order has changed, and the changes of hosts that follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonChange {
    /// Entries to gossip.
    pub entries: Vec<CordonEntry>,
    /// Changes for the engine to apply.
    pub transitions: Vec<CordonTransition>,
}

/// A cordon that an agreed maintenance plan requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCordon {
    /// The cache host.
    pub host: String,
    /// Index of the raft log entry that set the cordon.
    pub log_index: u64,
}

/// The cordons that the agreed plans require, up to an entry of the raft log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannedCordons {
    /// Identity of the raft cluster; 0 for none.
    pub cluster_id: u64,
    /// All cordons that the plans require.
    pub cordons: Vec<PlannedCordon>,
    /// Index of the last raft log entry that is considered.
    pub up_to: u64,
}

#[derive(Clone, Debug, Default)]
struct Host {
    /// Time of the lift by tag, on this member's clock; none for a cordon in force.
    tags: BTreeMap<Tag, Option<Micros>>,
    /// The engine has applied the host's present state.
    applied: bool,
}

impl Host {
    fn is_cordoned(&self) -> bool {
        self.tags.values().any(Option::is_none)
    }

    /// Takes an entry of this host over; returns whether the tag is new, or none if nothing has changed.
    fn insert_entry(&mut self, now: Micros, entry: &CordonEntry) -> Option<bool> {
        match self.tags.get_mut(&entry.tag) {
            Some(lifted @ None) if entry.lifted => {
                *lifted = Some(now);
                Some(false)
            }
            // A lifted tag stays lifted: a cordon received again after its lift must not come into force again.
            Some(_) => None,
            None => {
                self.tags
                    .insert(entry.tag.clone(), entry.lifted.then_some(now));
                Some(true)
            }
        }
    }
}

/// An observed-remove set of cordons, with the engine's progress in applying it.
#[derive(Debug, Default)]
pub struct CordonSet {
    hosts: BTreeMap<String, Host>,
    count: usize,
    /// Number of the last cordon that this process has set.
    last_number: u32,
    digest: u64,
}

/// The set has no room for another cordon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the cordon set is full: {MAX_ENTRIES} cordons, none of them lifted")]
pub struct CordonSetFull;

impl CordonSet {
    /// Cordons a host with a new tag of this process.
    ///
    /// # Errors
    ///
    /// If the set is full.
    pub fn cordon(
        &mut self,
        now: Micros,
        host: &str,
        author: &str,
        process_id: u64,
    ) -> Result<CordonChange, CordonSetFull> {
        self.last_number += 1;
        let entry = CordonEntry {
            host: host.to_string(),
            tag: Tag {
                author: author.to_string(),
                process_id,
                number: self.last_number,
            },
            lifted: false,
        };
        let transitions = self.merge(now, std::slice::from_ref(&entry))?;
        Ok(CordonChange {
            entries: vec![entry],
            transitions,
        })
    }

    /// Lifts all known cordons of a host, except those of this raft cluster's plans.
    pub fn lift(&mut self, now: Micros, host: &str, cluster_id: u64) -> CordonChange {
        let entries: Vec<CordonEntry> = self
            .tags_in_force(host)
            .filter(|tag| !tag.is_planned(cluster_id))
            .map(|tag| CordonEntry {
                host: host.to_string(),
                tag: tag.clone(),
                lifted: true,
            })
            .collect();
        // The tags are in the set already, so it has room for them.
        let transitions = self.merge(now, &entries).unwrap_or_default();
        CordonChange {
            entries,
            transitions,
        }
    }

    fn tags_in_force(&self, host: &str) -> impl Iterator<Item = &Tag> {
        self.hosts
            .get(host)
            .into_iter()
            .flat_map(|known| known.tags.iter())
            .filter(|(_, lifted)| lifted.is_none())
            .map(|(tag, _)| tag)
    }

    /// Whether a plan of this raft cluster cordons the host.
    #[must_use]
    pub fn is_planned(&self, host: &str, cluster_id: u64) -> bool {
        self.tags_in_force(host)
            .any(|tag| tag.is_planned(cluster_id))
    }

    /// The entry that a plan's cordon has in the set.
    #[must_use]
    pub fn planned_entry(host: &str, cluster_id: u64, log_index: u64) -> CordonEntry {
        // A log of 4,000 million entries is beyond what this program keeps.
        let number = u32::try_from(log_index).unwrap_or(u32::MAX);
        CordonEntry {
            host: host.to_string(),
            tag: Tag {
                author: PLAN_AUTHOR.to_string(),
                process_id: cluster_id,
                number,
            },
            lifted: false,
        }
    }

    /// The entries to merge so that the set has the planned cordons and no other ones of the same raft cluster. Cordons of
    /// later log entries stay: a member that is behind must not lift what it does not know.
    #[must_use]
    pub fn plan_changes(&self, planned: &PlannedCordons) -> Vec<CordonEntry> {
        let wanted: Vec<CordonEntry> = planned
            .cordons
            .iter()
            .map(|cordon| {
                CordonSet::planned_entry(&cordon.host, planned.cluster_id, cordon.log_index)
            })
            .collect();
        let mut changes: Vec<CordonEntry> = wanted
            .iter()
            .filter(|entry| !self.contains(entry))
            .cloned()
            .collect();
        let is_outdated = |entry: &CordonEntry| {
            entry.tag.is_planned(planned.cluster_id)
                && u64::from(entry.tag.number) <= planned.up_to
                && !entry.lifted
                && !wanted.iter().any(|wanted| wanted.tag == entry.tag)
        };
        changes.extend(self.entries().filter(is_outdated).map(|entry| CordonEntry {
            lifted: true,
            ..entry
        }));
        changes
    }

    /// Merges entries. The engine has to apply the returned transitions, and [`CordonSet::mark_applied`] records that.
    ///
    /// # Errors
    ///
    /// If an entry found no room; the other entries are merged.
    pub fn merge(
        &mut self,
        now: Micros,
        entries: &[CordonEntry],
    ) -> Result<Vec<CordonTransition>, CordonSetFull> {
        let mut transitions: Vec<CordonTransition> = Vec::new();
        let mut is_changed = false;
        let mut is_full = false;
        for entry in entries {
            if self.count >= MAX_ENTRIES && !self.contains(entry) && !self.evict_lifted() {
                is_full = true;
                continue;
            }
            let host = self.hosts.entry(entry.host.clone()).or_default();
            let was_cordoned = host.is_cordoned();
            let Some(is_new) = host.insert_entry(now, entry) else {
                continue;
            };
            self.count += usize::from(is_new);
            is_changed = true;
            if host.is_cordoned() != was_cordoned {
                host.applied = false;
                transitions.retain(|transition| transition.host != entry.host);
                transitions.push(CordonTransition {
                    host: entry.host.clone(),
                    cordoned: host.is_cordoned(),
                });
            } else if !was_cordoned && host.tags.len() == 1 {
                // The cordon was lifted before this member knew it: there is nothing to apply.
                host.applied = true;
            }
        }
        if is_changed {
            self.digest = self.compute_digest();
        }
        if is_full {
            return Err(CordonSetFull);
        }
        Ok(transitions)
    }

    fn contains(&self, entry: &CordonEntry) -> bool {
        self.hosts
            .get(&entry.host)
            .is_some_and(|host| host.tags.contains_key(&entry.tag))
    }

    /// Removes the entry that was lifted first; false where none is lifted.
    fn evict_lifted(&mut self) -> bool {
        let lifted = self.hosts.iter().flat_map(|(name, host)| {
            host.tags
                .iter()
                .filter_map(move |(tag, at)| at.map(|at| (at, name.clone(), tag.clone())))
        });
        let Some((_, host, tag)) = lifted.min() else {
            return false;
        };
        self.remove(&host, &tag);
        true
    }

    fn remove(&mut self, host: &str, tag: &Tag) {
        if let Some(known) = self.hosts.get_mut(host) {
            self.count -= usize::from(known.tags.remove(tag).is_some());
            if known.tags.is_empty() {
                self.hosts.remove(host);
            }
        }
    }

    /// Removes the entries that were lifted longer ago than they are kept.
    pub fn tick(&mut self, now: Micros) {
        let expired: Vec<(String, Tag)> = self
            .hosts
            .iter()
            .flat_map(|(name, host)| host.tags.iter().map(move |(tag, at)| (name, tag, at)))
            .filter(|(.., at)| at.is_some_and(|at| now - at > LIFTED_ENTRY_TTL))
            .map(|(name, tag, _)| (name.clone(), tag.clone()))
            .collect();
        if expired.is_empty() {
            return;
        }
        for (host, tag) in &expired {
            self.remove(host, tag);
        }
        self.digest = self.compute_digest();
    }

    /// Records that the engine has applied a host's state; false if the set has another state by now.
    pub fn mark_applied(&mut self, host: &str, cordoned: bool) -> bool {
        match self.hosts.get_mut(host) {
            Some(known) if known.is_cordoned() == cordoned => {
                known.applied = true;
                true
            }
            _ => false,
        }
    }

    /// Whether a cordon of the host is in force.
    #[must_use]
    pub fn is_cordoned(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(Host::is_cordoned)
    }

    /// Whether the set contains these entries and the engine has applied the state of their hosts.
    #[must_use]
    pub fn has_applied(&self, entries: &[CordonEntry]) -> bool {
        entries.iter().all(|entry| {
            self.hosts
                .get(&entry.host)
                .is_some_and(|host| host.applied && host.tags.contains_key(&entry.tag))
        })
    }

    /// The hosts that are cordoned.
    pub fn cordoned_hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts
            .iter()
            .filter(|(_, host)| host.is_cordoned())
            .map(|(name, _)| name.as_str())
    }

    /// All entries, lifted ones included.
    pub fn entries(&self) -> impl Iterator<Item = CordonEntry> + '_ {
        self.hosts.iter().flat_map(|(name, host)| {
            host.tags.iter().map(|(tag, lifted)| CordonEntry {
                host: name.clone(),
                tag: tag.clone(),
                lifted: lifted.is_some(),
            })
        })
    }

    /// Digest of all entries; the same at members with the same entries.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn compute_digest(&self) -> u64 {
        self.entries().fold(0, |sum: u64, entry| {
            let Tag {
                author,
                process_id,
                number,
            } = &entry.tag;
            let text = format!(
                "{}\0{author}\0{process_id}\0{number}\0{}",
                entry.host, entry.lifted
            );
            sum.wrapping_add(xxh3_64(text.as_bytes()))
        })
    }
}
