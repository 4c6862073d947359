//! What one balancer process knows, as plain data for the process that takes over from it. Data and copying alone: what
//! counts of it is what the list in hand still says, and nothing here overrides a drain, a restart or a cordon.
use serde::{Deserialize, Serialize};

use crate::interface::{CacheId, Key, Micros, SECOND};
use crate::measure::{Average, Rate};
use crate::state::{Cordon, Placement, Policy, Role};

/// Placements handed over, those seen last first. A usual minute brings some thousand.
const MOST_PLACEMENTS: usize = 32_768;
/// Times of answers and windows older than this say nothing of now.
const FRESH: Micros = 10 * SECOND;

/// All times are Unix time in microseconds, which both processes read from one machine's clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySnapshot {
    pub at: Micros,
    servers: Vec<KnownServer>,
    placements: Vec<KnownPlacement>,
    /// Cordons taken off lately, and when: discovery may never tell of the restart.
    uncordoned: Vec<(u64, Micros)>,
    warm_rate: f64,
    misses: f64,
    miss_late: Average,
    shed_level: f64,
    tenant_parts: Vec<f64>,
    tenant_votes: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct KnownServer {
    id: u64,
    born: Micros,
    keys: i64,
    faults: u32,
    silent: Average,
    busy: f32,
    window: f64,
    cut_at: Micros,
    pace: Average,
    stress: Average,
    sent: Rate,
    cold_tokens: f64,
    cold_at: Micros,
}

/// The key, the position of its cache among the servers, when it was seen last, whether its cache has served it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct KnownPlacement(u64, u32, Micros, bool);

impl Policy {
    pub fn snapshot(&self, now: Micros) -> PolicySnapshot {
        let mut servers: Vec<KnownServer> = self.servers.values().map(KnownServer::of).collect();
        servers.sort_unstable_by_key(|server| server.id);
        let position = |cache: CacheId| servers.binary_search_by_key(&cache.0, |s| s.id).ok();
        let known = |(key, entry): (&Key, &Placement)| {
            let at = position(entry.cache).filter(|i| servers[*i].born == entry.born)?;
            Some(KnownPlacement(
                key.0,
                u32::try_from(at).ok()?,
                entry.seen,
                entry.held,
            ))
        };
        let mut placements: Vec<KnownPlacement> = self.table.iter().filter_map(known).collect();
        // Keys in the order of their numbers, so that the same table always makes the same text.
        placements.sort_unstable_by_key(|KnownPlacement(key, _, seen, _)| {
            (std::cmp::Reverse(*seen), *key)
        });
        placements.truncate(MOST_PLACEMENTS);
        let off = |(id, cordon): (&CacheId, &Cordon)| match cordon {
            Cordon::Off(at) => Some((id.0, *at)),
            Cordon::On => None,
        };
        PolicySnapshot {
            at: now,
            uncordoned: self.cordons.iter().filter_map(off).collect(),
            warm_rate: self.warm_rate,
            misses: self.misses,
            miss_late: self.miss_late,
            shed_level: self.shed_level,
            tenant_parts: self.tenant_parts.clone(),
            tenant_votes: self.tenant_votes,
            servers,
            placements,
        }
    }

    /// Takes over what still holds: of servers that the list in hand knows by the same start, of keys seen within the
    /// time that a placement lives.
    pub(crate) fn inherit(&mut self, now: Micros, known: &PolicySnapshot) {
        let fresh = now - known.at < FRESH;
        for (id, at) in &known.uncordoned {
            // Before any start times are compared.
            let id = CacheId(*id);
            self.cordons.entry(id).or_insert(Cordon::Off(*at));
            if let Some(listed) = self.servers.get(&id).map(|server| server.listed) {
                self.learn(now, &listed);
            }
        }
        for known in &known.servers {
            let Some(server) = self.servers.get_mut(&CacheId(known.id)) else {
                continue;
            };
            if server.member.incarnation != known.born {
                continue;
            }
            server.keys = known.keys;
            // Danger: what it was sent counts against a cold cache for as long as it is cold.
            (server.cold_tokens, server.cold_at, server.sent) =
                (known.cold_tokens, known.cold_at, known.sent);
            if fresh {
                known.health(server);
            }
        }
        for KnownPlacement(key, at, seen, held) in known.placements.iter().rev() {
            let Some(cache) = known.servers.get(*at as usize).map(|s| CacheId(s.id)) else {
                continue;
            };
            let Some(server) = self.servers.get(&cache).filter(|s| s.role == Role::Cache) else {
                continue;
            };
            if server.member.incarnation == known.servers[*at as usize].born {
                let entry = Placement {
                    cache,
                    born: server.member.incarnation,
                    seen: *seen,
                    held: *held,
                };
                self.table.insert(Key(*key), entry);
                self.ages.push_back((*seen, Key(*key)));
            }
        }
        if fresh {
            (self.warm_rate, self.shed_level) = (known.warm_rate, known.shed_level);
            (self.misses, self.miss_late) = (known.misses, known.miss_late);
        }
        if known.tenant_parts.len() == self.tenant_parts.len() {
            self.tenant_parts.clone_from(&known.tenant_parts);
            self.tenant_votes = known.tenant_votes;
        }
    }
}

impl KnownServer {
    fn of(server: &crate::state::Server) -> Self {
        KnownServer {
            id: server.member.id.0,
            born: server.member.incarnation,
            keys: server.keys,
            faults: server.faults,
            silent: server.silent,
            busy: server.busy,
            window: server.window,
            cut_at: server.cut_at,
            pace: server.pace,
            stress: server.stress,
            sent: server.sent,
            cold_tokens: server.cold_tokens,
            cold_at: server.cold_at,
        }
    }

    fn health(&self, server: &mut crate::state::Server) {
        (server.faults, server.silent, server.busy) = (self.faults, self.silent, self.busy);
        (server.window, server.cut_at) = (self.window, self.cut_at);
        (server.pace, server.stress) = (self.pace, self.stress);
    }
}
