//! State that one balancer process has learned, as plain data for the process that takes over from
//! it.
//!
//! Both processes may be of different versions, so the stored names are pinned: where a field's
//! name here differs, the stored one stands in `serde(rename)`. All times are Unix time in
//! microseconds, which both processes read from the clock of one machine.
use serde::{Deserialize, Serialize};
use stairfront_common::time::Micros;

use crate::statistics::{DecayingRate, Ewma};

/// State exported by one process for the next one. `Policy` decides how much of it the next process
/// adopts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySnapshot {
    /// When it was exported.
    pub at: Micros,
    pub(crate) servers: Vec<ServerRecord>,
    pub(crate) placements: Vec<PlacementRecord>,
    /// Cordons lifted lately: discovery may never report the restart before it.
    pub(crate) uncordoned: Vec<UncordonedRecord>,
    pub(crate) warm_rate: f64,
    #[serde(rename = "misses")]
    pub(crate) admitted_miss_fraction: f64,
    #[serde(rename = "miss_late")]
    pub(crate) late_miss_fraction: Ewma,
    pub(crate) shed_level: f64,
    #[serde(rename = "tenant_parts")]
    pub(crate) tenant_fractions: Vec<f64>,
    #[serde(rename = "tenant_votes")]
    pub(crate) tenant_samples: f64,
}

/// State of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServerRecord {
    pub(crate) id: u64,
    #[serde(rename = "born")]
    pub(crate) incarnation: Micros,
    #[serde(rename = "keys")]
    pub(crate) placed_keys: i64,
    #[serde(rename = "faults")]
    pub(crate) consecutive_faults: u32,
    #[serde(rename = "silent")]
    pub(crate) unanswered_fraction: Ewma,
    #[serde(rename = "busy")]
    pub(crate) utilization: f32,
    pub(crate) window: f64,
    #[serde(rename = "cut_at")]
    pub(crate) window_cut_at: Micros,
    #[serde(rename = "pace")]
    pub(crate) latency_ewma: Ewma,
    #[serde(rename = "stress")]
    pub(crate) latency_ratio: Ewma,
    #[serde(rename = "sent")]
    pub(crate) sent_rate: DecayingRate,
    #[serde(rename = "cold_tokens")]
    pub(crate) slow_start_tokens: f64,
    #[serde(rename = "cold_at")]
    pub(crate) tokens_updated_at: Micros,
}

/// Where a key is placed; stored as an array of its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, Micros, bool)", into = "(u64, u32, Micros, bool)")]
pub(crate) struct PlacementRecord {
    pub(crate) key: u64,
    /// Index of its cache among the servers of the snapshot.
    pub(crate) server_index: u32,
    /// When it was last requested.
    pub(crate) seen_at: Micros,
    /// Its cache has served it.
    pub(crate) cached: bool,
}

impl From<(u64, u32, Micros, bool)> for PlacementRecord {
    fn from((key, server_index, seen_at, cached): (u64, u32, Micros, bool)) -> Self {
        PlacementRecord {
            key,
            server_index,
            seen_at,
            cached,
        }
    }
}

impl From<PlacementRecord> for (u64, u32, Micros, bool) {
    fn from(record: PlacementRecord) -> Self {
        let PlacementRecord {
            key,
            server_index,
            seen_at,
            cached,
        } = record;
        (key, server_index, seen_at, cached)
    }
}

/// A lifted cordon; stored as an array of its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, Micros)", into = "(u64, Micros)")]
pub(crate) struct UncordonedRecord {
    /// The cache.
    pub(crate) id: u64,
    /// When it was lifted.
    pub(crate) at: Micros,
}

impl From<(u64, Micros)> for UncordonedRecord {
    fn from((id, at): (u64, Micros)) -> Self {
        UncordonedRecord { id, at }
    }
}

impl From<UncordonedRecord> for (u64, Micros) {
    fn from(UncordonedRecord { id, at }: UncordonedRecord) -> Self {
        (id, at)
    }
}
