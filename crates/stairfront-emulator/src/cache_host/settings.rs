//! Settings of a cache host.
use serde::{Deserialize, Serialize};

use crate::distributions::{Distribution, ServiceTime};
use crate::settings_error::{validate_times, SettingsError};

/// Settings of a cache host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheSettings {
    /// Number of cores.
    pub cores: usize,
    /// Work of an answer from the store, and of a write.
    pub hit: ServiceTime,
    /// Work of a miss.
    pub miss: ServiceTime,
    /// Where set, the host fetches a missing value by itself, which takes this time and no core.
    pub fetch: Option<ServiceTime>,
    /// Most commands that wait for a core; more are rejected.
    #[serde(rename = "queue")]
    pub max_queue: usize,
    /// Most cached keys; the least recently used is evicted.
    #[serde(rename = "store")]
    pub max_keys: usize,
    /// Whether it has every key from the start, whatever `max_keys` says: for measurements of the balancer alone.
    #[serde(rename = "has_all")]
    pub holds_all_keys: bool,
    /// Time after which a cached value expires, in milliseconds; 0 for never.
    pub ttl_ms: f64,
    /// Most open connections.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Work of a new connection, in milliseconds.
    pub connect_ms: f64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: f64,
    /// Fraction of its capacity that it has at a cold start.
    #[serde(rename = "cold_from")]
    pub cold_capacity: f64,
    /// Time from a cold start until it is warm, in milliseconds.
    pub warm_up_ms: f64,
    /// Multiple of its capacity at which it crashes while cold, when that much is sent for `overload_window_ms`.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The window in which what is sent while cold is added up, in milliseconds.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// Time for which an idempotency key is remembered, in milliseconds.
    #[serde(rename = "keyed_ms")]
    pub idempotency_ttl_ms: f64,
    /// Fields of the load report: `outstanding`, `backlog`, `utilization` and `throughput`; empty for no report.
    #[serde(rename = "report")]
    pub report_fields: Vec<String>,
    /// Time for which a load report is repeated before a new one is made, in milliseconds.
    #[serde(rename = "report_every_ms")]
    pub report_interval_ms: f64,
    /// Size of a value beside its request's id and key, in bytes.
    pub value_bytes: usize,
}

impl Default for CacheSettings {
    fn default() -> Self {
        CacheSettings {
            cores: 2,
            hit: ServiceTime {
                mean_ms: 2.0,
                distribution: Distribution::Lognormal,
                spread: 0.5,
            },
            miss: ServiceTime::fixed(0.2),
            fetch: None,
            max_queue: 200,
            max_keys: 20_000,
            holds_all_keys: false,
            ttl_ms: 0.0,
            max_connections: 10_000,
            connect_ms: 0.0,
            idle_ms: 60_000.0,
            cold_capacity: 0.2,
            warm_up_ms: 10_000.0,
            overload_multiple: 3.0,
            overload_window_ms: 3_000.0,
            idempotency_ttl_ms: 2_000.0,
            report_fields: Vec::new(),
            report_interval_ms: 100.0,
            value_bytes: 64,
        }
    }
}

impl CacheSettings {
    /// Checks that each value is in its range.
    ///
    /// # Errors
    ///
    /// Names the first key that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let services = [
            ("hit", Some(self.hit)),
            ("miss", Some(self.miss)),
            ("fetch", self.fetch),
        ];
        for (key, service) in services {
            if let Some(service) = service {
                service
                    .validate()
                    .map_err(|error| SettingsError::new(key, error.to_string()))?;
            }
        }
        validate_times(&[
            ("ttl_ms", self.ttl_ms),
            ("connect_ms", self.connect_ms),
            ("idle_ms", self.idle_ms),
            ("warm_up_ms", self.warm_up_ms),
            ("fall_ms", self.overload_window_ms),
            ("keyed_ms", self.idempotency_ttl_ms),
            ("report_every_ms", self.report_interval_ms),
        ])?;
        if !(0.001..=1.0).contains(&self.cold_capacity) {
            return Err(SettingsError::new(
                "cold_from",
                "must be between 0.001 and 1",
            ));
        }
        if self.max_keys == 0 {
            return Err(SettingsError::new("store", "must be 1 or more"));
        }
        if self.cores == 0 || self.cores > 1024 {
            return Err(SettingsError::new("cores", "must be 1 or more"));
        }
        self.validate_report_fields()
    }

    fn validate_report_fields(&self) -> Result<(), SettingsError> {
        let known = ["outstanding", "backlog", "utilization", "throughput"];
        let mut fields = self.report_fields.iter();
        match fields.find(|field| !known.contains(&field.as_str())) {
            Some(unknown) => Err(SettingsError::new(
                "report",
                format!("unknown field {unknown:?}, one of {known:?}"),
            )),
            None => Ok(()),
        }
    }
}
