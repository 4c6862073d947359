//! Hand-off to the next process: what is exported, and what of it the next process adopts.
//!
//! The endpoint list in hand goes before a snapshot: nothing in it overrides a drain, a restart or
//! a cordon.
use std::cmp::Reverse;

use stairfront_common::time::{Micros, SECOND};

use super::placement::Placement;
use super::server::{Role, Server};
use super::Policy;
use crate::interface::{CacheId, Key, PolicySnapshot};
use crate::snapshot::{PlacementRecord, ServerRecord, UncordonedRecord};

/// Placements handed over, the latest requested first. A usual minute brings some thousand.
const MAX_PLACEMENTS: usize = 32_768;
/// Windows and measurements older than this say nothing of the present.
const MEASUREMENT_TTL: Micros = 10 * SECOND;

impl Policy {
    /// Exports the state that the process which takes over from this one may adopt.
    #[must_use]
    pub fn snapshot(&self, now: Micros) -> PolicySnapshot {
        let mut servers: Vec<ServerRecord> = self.servers.values().map(Server::record).collect();
        servers.sort_unstable_by_key(|server| server.id);
        let uncordoned = self.cordons.lifted();
        PolicySnapshot {
            at: now,
            placements: self.placement_records(&servers),
            servers,
            uncordoned: uncordoned
                .map(|(id, at)| UncordonedRecord { id: id.0, at })
                .collect(),
            warm_rate: self.fleet_rates.warm_rate,
            admitted_miss_fraction: self.miss_admission.admitted_fraction,
            late_miss_fraction: self.miss_admission.late_fraction,
            shed_level: self.load_shedding.level,
            tenant_fractions: self.tenant_usage.fractions.clone(),
            tenant_samples: self.tenant_usage.samples,
        }
    }

    fn placement_records(&self, servers: &[ServerRecord]) -> Vec<PlacementRecord> {
        let record = |(key, placement): (Key, &Placement)| {
            let index = servers
                .binary_search_by_key(&placement.cache.0, |server| server.id)
                .ok()
                .filter(|index| servers[*index].incarnation == placement.incarnation)?;
            Some(PlacementRecord {
                key: key.0,
                server_index: u32::try_from(index).ok()?,
                seen_at: placement.seen_at,
                cached: placement.cached,
            })
        };
        let mut records: Vec<PlacementRecord> = self.placements.iter().filter_map(record).collect();
        // Keys that were requested at one time are ordered too, so that the same table gives the
        // same text.
        records.sort_unstable_by_key(|record| (Reverse(record.seen_at), record.key));
        records.truncate(MAX_PLACEMENTS);
        records
    }

    /// Adopts what still holds of a snapshot: servers whose incarnation is that of the list in
    /// hand, and keys placed on one.
    pub(super) fn inherit(&mut self, now: Micros, snapshot: &PolicySnapshot) {
        let is_recent = now - snapshot.at < MEASUREMENT_TTL;
        // Cordons come first, since they change the incarnations that are compared below.
        for uncordoned in &snapshot.uncordoned {
            let cache = CacheId(uncordoned.id);
            self.cordons.adopt_lifted(cache, uncordoned.at);
            self.reapply_cordon(now, cache);
        }
        for record in &snapshot.servers {
            if let Some(server) = self.servers.get_mut(&CacheId(record.id)) {
                server.adopt(record, is_recent);
            }
        }
        for record in snapshot.placements.iter().rev() {
            self.adopt_placement(record, &snapshot.servers);
        }
        if is_recent {
            self.fleet_rates.warm_rate = snapshot.warm_rate;
            self.load_shedding.level = snapshot.shed_level;
            self.miss_admission.admitted_fraction = snapshot.admitted_miss_fraction;
            self.miss_admission.late_fraction = snapshot.late_miss_fraction;
        }
        if snapshot.tenant_fractions.len() == self.tenant_usage.fractions.len() {
            self.tenant_usage
                .fractions
                .clone_from(&snapshot.tenant_fractions);
            self.tenant_usage.samples = snapshot.tenant_samples;
        }
    }

    fn adopt_placement(&mut self, record: &PlacementRecord, servers: &[ServerRecord]) {
        let Some(server_record) = servers.get(record.server_index as usize) else {
            return;
        };
        let cache = CacheId(server_record.id);
        let Some(server) = self.servers.get(&cache) else {
            return;
        };
        let incarnation = server.endpoint.incarnation;
        if server.role == Role::Cache && incarnation == server_record.incarnation {
            let placement = Placement {
                cache,
                incarnation,
                seen_at: record.seen_at,
                cached: record.cached,
            };
            self.placements.insert(Key(record.key), placement);
        }
    }
}

impl Server {
    fn record(&self) -> ServerRecord {
        ServerRecord {
            id: self.endpoint.id.0,
            incarnation: self.endpoint.incarnation,
            placed_keys: self.placed_keys,
            consecutive_faults: self.consecutive_faults,
            unanswered_fraction: self.unanswered_fraction,
            utilization: self.utilization,
            window: self.window,
            window_cut_at: self.window_cut_at,
            latency_ewma: self.latency_ewma,
            latency_ratio: self.latency_ratio,
            sent_rate: self.sent_rate,
            slow_start_tokens: self.slow_start_tokens,
            tokens_updated_at: self.tokens_updated_at,
        }
    }

    /// Adopts a record of the same incarnation; measurements only if they are recent.
    fn adopt(&mut self, record: &ServerRecord, is_recent: bool) {
        if self.endpoint.incarnation != record.incarnation {
            return;
        }
        self.placed_keys = record.placed_keys;
        // Requests sent to a cold cache count against its budget for as long as it is cold.
        self.slow_start_tokens = record.slow_start_tokens;
        self.tokens_updated_at = record.tokens_updated_at;
        self.sent_rate = record.sent_rate;
        if is_recent {
            self.consecutive_faults = record.consecutive_faults;
            self.unanswered_fraction = record.unanswered_fraction;
            self.utilization = record.utilization;
            self.window = record.window;
            self.window_cut_at = record.window_cut_at;
            self.latency_ewma = record.latency_ewma;
            self.latency_ratio = record.latency_ratio;
        }
    }
}
