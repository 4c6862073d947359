//! The ledger of what the whole group has taken out. Each cordon has a tag that nobody else ever gives; a lift names the
//! tags that it has seen. So of a cordon and a lift given on two sides of a cut the cordon stands, until somebody who
//! has seen it lifts it (an observed-remove set: Shapiro, Preguica, Baquero, Zawirski, "Conflict-free Replicated Data
//! Types", SSS 2011, section 3.2). Two ledgers merge to the same whatever the order.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::Micros;

/// Entries kept, the lifted among them. Each takes some hundred bytes.
pub const MAX_ENTRIES: usize = 1024;
/// A lifted entry is kept so long for those that were away: one that missed the lift for longer would bring its cordon
/// back, which is seen and lifted again, and sends nothing to a host that is out.
const KEEP_LIFTED: Micros = 7 * 86_400 * 1_000_000;

/// Which cordon: of a member's process, by number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag {
    pub author: String,
    pub run: u64,
    pub number: u32,
}

/// Author of the cordons that follow from agreed plans: not a member. Their process is the founding of the agreement, their
/// number the entry of its log.
const PLANS: &str = "(maintenance)";

impl Tag {
    fn is_planned(&self, founding: u64) -> bool {
        founding != 0 && self.author == PLANS && self.run == founding
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonEntry {
    pub host: String,
    pub tag: Tag,
    pub lifted: bool,
}

/// What a change of the ledger means for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonTransition {
    pub host: String,
    pub held: bool,
}

#[derive(Clone, Debug, Default)]
struct Host {
    /// By tag; lifted since when, on this member's clock.
    tags: BTreeMap<Tag, Option<Micros>>,
    /// The engine does as the ledger says.
    applied: bool,
}

impl Host {
    fn is_held(&self) -> bool {
        self.tags.values().any(Option::is_none)
    }
}

#[derive(Debug, Default)]
pub struct CordonSet {
    hosts: BTreeMap<String, Host>,
    count: usize,
    /// Of the last cordon given here.
    last: u32,
    digest: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ledger is full: {MAX_ENTRIES} cordons, none of them lifted")]
pub struct CordonSetFull;

impl CordonSet {
    /// Sets a new cordon.
    pub fn cordon(
        &mut self,
        now: Micros,
        host: &str,
        author: &str,
        run: u64,
    ) -> Result<(CordonEntry, Vec<CordonTransition>), CordonSetFull> {
        self.last += 1;
        let tag = Tag {
            author: author.to_string(),
            run,
            number: self.last,
        };
        let entry = CordonEntry {
            host: host.to_string(),
            tag,
            lifted: false,
        };
        let turns = self.merge(now, std::slice::from_ref(&entry))?;
        Ok((entry, turns))
    }

    /// Lifts all that is known to hold a host, but what a plan of this founding does.
    pub fn lift(
        &mut self,
        now: Micros,
        host: &str,
        founding: u64,
    ) -> (Vec<CordonEntry>, Vec<CordonTransition>) {
        let tags = self
            .hosts
            .get(host)
            .into_iter()
            .flat_map(|known| known.tags.iter());
        let held = tags.filter(|(tag, lifted)| lifted.is_none() && !tag.is_planned(founding));
        let held = held.map(|(tag, _)| tag.clone());
        let entries: Vec<CordonEntry> = held
            .map(|tag| CordonEntry {
                host: host.to_string(),
                tag,
                lifted: true,
            })
            .collect();
        // They are here already, so there is room for them.
        let turns = self.merge(now, &entries).unwrap_or_default();
        (entries, turns)
    }

    /// Whether a plan of this founding holds it.
    pub fn is_planned(&self, host: &str, founding: u64) -> bool {
        let tags = self
            .hosts
            .get(host)
            .into_iter()
            .flat_map(|known| known.tags.iter());
        tags.into_iter()
            .any(|(tag, lifted)| lifted.is_none() && tag.is_planned(founding))
    }

    /// The entry by which a plan holds a host.
    pub fn planned(host: &str, founding: u64, number: u64) -> CordonEntry {
        // A log of 4,000 million entries is none that this program keeps.
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let tag = Tag {
            author: PLANS.to_string(),
            run: founding,
            number,
        };
        CordonEntry {
            host: host.to_string(),
            tag,
            lifted: false,
        }
    }

    /// What has to be entered so that the plans hold these and no others, as agreed up to an entry of the log. Danger: a
    /// member that is behind would lift what was held after the last entry that it knows.
    pub fn follow(&self, founding: u64, held: &[(String, u64)], upto: u64) -> Vec<CordonEntry> {
        let wanted: Vec<CordonEntry> = held
            .iter()
            .map(|(host, number)| CordonSet::planned(host, founding, *number))
            .collect();
        let known = |entry: &CordonEntry| self.knows(entry);
        let mut entries: Vec<CordonEntry> = wanted
            .iter()
            .filter(|entry| !known(entry))
            .cloned()
            .collect();
        let over = self.entries().filter(|entry| {
            let ours = entry.tag.is_planned(founding) && u64::from(entry.tag.number) <= upto;
            ours && !entry.lifted && !wanted.iter().any(|wanted| wanted.tag == entry.tag)
        });
        entries.extend(over.map(|entry| CordonEntry {
            lifted: true,
            ..entry
        }));
        entries
    }

    /// Takes entries over; what has turned is to be done by the engine, then told by `applied`.
    pub fn merge(
        &mut self,
        now: Micros,
        entries: &[CordonEntry],
    ) -> Result<Vec<CordonTransition>, CordonSetFull> {
        let mut turns: Vec<CordonTransition> = Vec::new();
        let mut changed = false;
        let mut full = false;
        for entry in entries {
            if self.count >= MAX_ENTRIES && !self.knows(entry) && !self.make_room() {
                full = true;
                continue;
            }
            let host = self.hosts.entry(entry.host.clone()).or_default();
            let before = host.is_held();
            match host.tags.get_mut(&entry.tag) {
                // Danger: a cordon heard once more after its lift would hold again.
                Some(lifted @ None) if entry.lifted => *lifted = Some(now),
                Some(_) => continue,
                None => {
                    host.tags
                        .insert(entry.tag.clone(), entry.lifted.then_some(now));
                    self.count += 1;
                }
            }
            changed = true;
            if host.is_held() != before {
                host.applied = false;
                turns.retain(|turn| turn.host != entry.host);
                turns.push(CordonTransition {
                    host: entry.host.clone(),
                    held: host.is_held(),
                });
            } else if !before && host.tags.len() == 1 {
                // Lifted before it was ever heard of here: there is nothing to do.
                host.applied = true;
            }
        }
        if changed {
            self.digest = self.digest_now();
        }
        if full {
            Err(CordonSetFull)
        } else {
            Ok(turns)
        }
    }

    fn knows(&self, entry: &CordonEntry) -> bool {
        self.hosts
            .get(&entry.host)
            .is_some_and(|host| host.tags.contains_key(&entry.tag))
    }

    /// Forgets the entry lifted longest ago; false where none is lifted.
    fn make_room(&mut self) -> bool {
        let lifted = self.hosts.iter().flat_map(|(name, host)| {
            host.tags
                .iter()
                .filter_map(move |(tag, at)| at.map(|at| (at, name.clone(), tag.clone())))
        });
        let Some((_, host, tag)) = lifted.min() else {
            return false;
        };
        self.drop_tag(&host, &tag);
        true
    }

    fn drop_tag(&mut self, host: &str, tag: &Tag) {
        if let Some(known) = self.hosts.get_mut(host) {
            self.count -= usize::from(known.tags.remove(tag).is_some());
            if known.tags.is_empty() {
                self.hosts.remove(host);
            }
        }
    }

    /// Forgets what was lifted long ago.
    pub fn tick(&mut self, now: Micros) {
        let old: Vec<(String, Tag)> = self
            .hosts
            .iter()
            .flat_map(|(name, host)| host.tags.iter().map(move |(tag, at)| (name, tag, at)))
            .filter(|(.., at)| at.is_some_and(|at| now - at > KEEP_LIFTED))
            .map(|(name, tag, _)| (name.clone(), tag.clone()))
            .collect();
        if !old.is_empty() {
            old.iter().for_each(|(host, tag)| self.drop_tag(host, tag));
            self.digest = self.digest_now();
        }
    }

    /// The engine does as the ledger said; false if the ledger says otherwise by now.
    pub fn applied(&mut self, host: &str, held: bool) -> bool {
        let known = self
            .hosts
            .get_mut(host)
            .filter(|known| known.is_held() == held);
        known.map(|known| known.applied = true).is_some()
    }

    pub fn is_held(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(Host::is_held)
    }

    /// Whether what stands here of these entries is done by the engine, too.
    pub fn has_applied(&self, entries: &[CordonEntry]) -> bool {
        entries.iter().all(|entry| {
            self.hosts
                .get(&entry.host)
                .is_some_and(|host| host.applied && host.tags.contains_key(&entry.tag))
        })
    }

    pub fn held(&self) -> impl Iterator<Item = &str> {
        self.hosts
            .iter()
            .filter(|(_, host)| host.is_held())
            .map(|(name, _)| name.as_str())
    }

    pub fn entries(&self) -> impl Iterator<Item = CordonEntry> + '_ {
        self.hosts.iter().flat_map(|(name, host)| {
            host.tags.iter().map(|(tag, lifted)| CordonEntry {
                host: name.clone(),
                tag: tag.clone(),
                lifted: lifted.is_some(),
            })
        })
    }

    /// The same for the same entries at whatever member.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn digest_now(&self) -> u64 {
        let mut sum = 0u64;
        for entry in self.entries() {
            let Tag {
                author,
                run,
                number,
            } = &entry.tag;
            let text = format!(
                "{}\0{author}\0{run}\0{number}\0{}",
                entry.host, entry.lifted
            );
            sum = sum.wrapping_add(xxh3_64(text.as_bytes()));
        }
        sum
    }
}

/// The ledger as a file keeps it.
#[derive(Serialize, Deserialize)]
struct Record {
    version: u32,
    entries: Vec<CordonEntry>,
}

const RECORD_VERSION: u32 = 1;

#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("not a ledger of cordons: {0}")]
    Json(#[from] serde_json::Error),
    #[error("version {0} is not known here, {RECORD_VERSION} is")]
    Version(u32),
}

pub fn write_record(ledger: &CordonSet) -> String {
    let record = Record {
        version: RECORD_VERSION,
        entries: ledger.entries().collect(),
    };
    // Texts and numbers alone, which cannot fail.
    serde_json::to_string(&record).unwrap_or_default()
}

/// A torn one is an error, never part of a ledger.
pub fn read_record(text: &str) -> Result<Vec<CordonEntry>, RecordError> {
    let Record { version, entries } = serde_json::from_str(text)?;
    match version {
        RECORD_VERSION => Ok(entries),
        other => Err(RecordError::Version(other)),
    }
}
