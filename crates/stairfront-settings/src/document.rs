//! The settings object as it is written, key by key. Its keys are pinned; where a field's name differs, its key stands in
//! `serde(rename)`. Times are in milliseconds.
use serde::Deserialize;

use crate::error::{InvalidValue, SettingsError};

/// Time after which a server closes an idle connection, where the settings do not give one: safe with common servers.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
/// Requests open at once where the settings give no limit.
const DEFAULT_MAX_OPEN_REQUESTS: usize = 20_000;

#[derive(Deserialize)]
pub(crate) struct Document {
    #[serde(default, rename = "me")]
    pub(crate) instance: u16,
    #[serde(default = "one", rename = "replicas_of_me")]
    pub(crate) balancers: u16,
    #[serde(default, rename = "locality")]
    pub(crate) zone: u8,
    #[serde(default, rename = "areas")]
    pub(crate) zones: Vec<String>,
    #[serde(default, rename = "models")]
    pub(crate) kinds: Vec<String>,
    #[serde(default)]
    pub(crate) tick: f64,
    #[serde(default, rename = "registry_mode")]
    pub(crate) discovery: String,
    /// Whether entries of the endpoint list carry a meaningful size.
    #[serde(default)]
    pub(crate) weights: String,
    #[serde(rename = "profiles")]
    pub(crate) classes: Vec<ClassDocument>,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantDocument>,
    #[serde(default = "full", rename = "over_share_worth")]
    pub(crate) over_share_weight: f64,
    #[serde(default, rename = "caps")]
    pub(crate) limits: LimitsDocument,
    pub(crate) rules: RulesDocument,
    #[serde(default)]
    pub(crate) report: ReportDocument,
    #[serde(default, rename = "family_info")]
    pub(crate) fetching: FetchingDocument,
    #[serde(default, rename = "score_parts")]
    pub(crate) tail: TailDocument,
}

/// Only the weight of the slowest requests is read of this object.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct TailDocument {
    #[serde(rename = "slow_end")]
    pub(crate) weight: f64,
    #[serde(rename = "borne_misses")]
    pub(crate) tolerated_fraction: f64,
}

#[derive(Deserialize)]
pub(crate) struct ClassDocument {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "semantics")]
    pub(crate) idempotency: String,
    #[serde(default, rename = "group")]
    pub(crate) scope: String,
    #[serde(default)]
    pub(crate) key_ttl: f64,
    #[serde(rename = "aim")]
    pub(crate) latency_objective: f64,
    pub(crate) deadline: f64,
    #[serde(default = "full", rename = "worth")]
    pub(crate) priority_weight: f64,
    #[serde(default, rename = "late_worth")]
    pub(crate) late_weight: f64,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
pub(crate) struct TenantDocument {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(default, rename = "quota_rps")]
    pub(crate) quota_per_s: f64,
    #[serde(default)]
    pub(crate) share: f64,
}

#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct LimitsDocument {
    #[serde(rename = "most_tries")]
    pub(crate) max_attempts: u8,
    #[serde(rename = "may_duplicate")]
    pub(crate) may_hedge: bool,
    #[serde(rename = "cancel")]
    pub(crate) may_cancel: bool,
    #[serde(rename = "probes")]
    pub(crate) may_probe: bool,
    #[serde(rename = "peer_messages")]
    pub(crate) may_gossip: bool,
    /// Whether retry advice is conveyed to clients.
    pub(crate) retry_after: bool,
    pub(crate) max_retry_after: f64,
    pub(crate) connect_timeout: f64,
    #[serde(rename = "keepalive")]
    pub(crate) idle_timeout: f64,
    #[serde(rename = "open_cap")]
    pub(crate) max_open_requests: usize,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        LimitsDocument {
            max_attempts: 1,
            may_hedge: false,
            may_cancel: false,
            may_probe: false,
            may_gossip: false,
            retry_after: false,
            max_retry_after: 0.0,
            connect_timeout: 0.0,
            idle_timeout: DEFAULT_IDLE_TIMEOUT_MS,
            max_open_requests: DEFAULT_MAX_OPEN_REQUESTS,
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct RulesDocument {
    #[serde(default)]
    pub(crate) answer_slack: f64,
    #[serde(default, rename = "ask_every")]
    pub(crate) poll_interval: f64,
    #[serde(default, rename = "stop_sending_within")]
    pub(crate) drain_grace: f64,
    #[serde(default, rename = "dropped_stay_open")]
    pub(crate) removal_is_advisory: bool,
    #[serde(default = "full", rename = "cold_from")]
    pub(crate) slow_start_floor: f64,
    #[serde(default, rename = "warm_up")]
    pub(crate) slow_start_window: f64,
    #[serde(default, rename = "fall_multiple")]
    pub(crate) overload_multiple: f64,
    #[serde(default, rename = "fall")]
    pub(crate) overload_window: f64,
}

#[derive(Deserialize, Default)]
pub(crate) struct ReportDocument {
    #[serde(default)]
    pub(crate) how: String,
    #[serde(default)]
    pub(crate) fields: Vec<String>,
}

#[derive(Deserialize)]
pub(crate) struct FetchingDocument {
    #[serde(default)]
    pub(crate) mode: String,
    /// Negative where there is no origin.
    #[serde(default = "no_kind")]
    pub(crate) origin_kind: i64,
}

impl Default for FetchingDocument {
    fn default() -> Self {
        FetchingDocument {
            mode: String::new(),
            origin_kind: no_kind(),
        }
    }
}

impl Document {
    /// Reads the object.
    pub(crate) fn read<'a>(
        source: impl serde::Deserializer<'a, Error = serde_json::Error>,
    ) -> Result<Self, SettingsError> {
        serde_path_to_error::deserialize(source).map_err(|error| {
            let key = error.path().to_string();
            SettingsError::new(key, InvalidValue::Json(error.into_inner()))
        })
    }
}

fn one() -> u16 {
    1
}

fn full() -> f64 {
    1.0
}

fn no_kind() -> i64 {
    -1
}
