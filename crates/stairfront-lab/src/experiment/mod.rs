//! Experiments as they are written in TOML files: what is run, against what, with which faults, and what is compared.
mod invalid_setting;
mod settings;
mod validate;

pub use invalid_setting::InvalidSetting;
pub use settings::{BalancerSettings, ClientSettings, FleetSettings, KneeSearch, Variant};

use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use stairfront_common::time::{from_ms, Micros};
use stairfront_emulator::arrivals::TenantTraffic;
use stairfront_emulator::client::{ClassSettings, Idempotency};
use stairfront_emulator::faults::{FaultScript, HostTarget, ScriptTargets, TimedFault};

use crate::balancer_group::GroupSettings;
use crate::fleet::{FleetPlan, HostPlan};

/// Why an experiment file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// The file is not TOML, or a value has the wrong type.
    #[error("{path}: {key}: {message}")]
    Parse {
        /// Path of the file.
        path: String,
        /// Path of the key.
        key: String,
        /// The error, with the place in the file.
        message: String,
    },
    /// Values are out of range or do not go together.
    #[error("{}", invalid_setting::lines(path, errors))]
    Invalid {
        /// Path of the file.
        path: String,
        /// All errors, in the order of the file's parts.
        errors: Vec<InvalidSetting>,
    },
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Purpose of the experiment.
    #[serde(default)]
    pub about: String,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// Requests that are due before this time, in seconds, count for the rules alone.
    #[serde(default = "default_warm_up")]
    pub warm_up_s: f64,
    /// Seeds of the runs.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
    /// Rates to run at in turn; the traffic's own where there are none.
    #[serde(default)]
    pub rates: Vec<f64>,
    /// The servers.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// The balancers.
    #[serde(default)]
    pub balancers: BalancerSettings,
    /// The clients.
    #[serde(default)]
    pub clients: ClientSettings,
    /// Classes of requests.
    #[serde(default = "default_classes")]
    pub classes: Vec<ClassSettings>,
    /// Faults of servers, discovery and balancers.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// The variants, of which the others are compared with the first.
    #[serde(default = "default_variants")]
    pub variants: Vec<Variant>,
    /// Search for the highest rate that is served in time.
    #[serde(default)]
    pub knee: Option<KneeSearch>,
    /// The balancers are members of one group.
    #[serde(default)]
    pub group: Option<GroupSettings>,
}

fn default_warm_up() -> f64 {
    2.0
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

fn default_variants() -> Vec<Variant> {
    vec![Variant {
        name: "this build".to_string(),
        baseline: None,
        program: None,
        no_membership: false,
        no_agreement: false,
        manual_baseline: false,
        direct: false,
        set: toml::Table::new(),
    }]
}

fn default_classes() -> Vec<ClassSettings> {
    vec![ClassSettings {
        name: "read".into(),
        latency_objective_ms: 250.0,
        deadline_ms: 1000.0,
        idempotency: Idempotency::Idempotent,
        write: false,
        priority_weight: 1.0,
        value_bytes: 0,
    }]
}

impl Experiment {
    /// Reads an experiment from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or parsed, or has values that cannot be used.
    pub fn from_file(path: &Path) -> Result<Self, ExperimentError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|source| ExperimentError::File {
            path: name.clone(),
            source,
        })?;
        Self::from_text(&name, &text)
    }

    /// Reads an experiment from text; `path` only names the source in errors.
    ///
    /// # Errors
    ///
    /// The text cannot be parsed, or has values that cannot be used.
    pub fn from_text(path: &str, text: &str) -> Result<Self, ExperimentError> {
        let parse_error = |key: &str, message: String| ExperimentError::Parse {
            path: path.to_string(),
            key: key.to_string(),
            message: message.trim_end().replace('\n', "\n    "),
        };
        let reader = toml::Deserializer::parse(text)
            .map_err(|error| parse_error("syntax", error.to_string()))?;
        let experiment: Experiment = serde_path_to_error::deserialize(reader)
            .map_err(|error| parse_error(&error.path().to_string(), error.inner().to_string()))?;
        let mut errors = experiment.validate();
        let table: toml::Table = text
            .parse()
            .map_err(|error: toml::de::Error| parse_error("syntax", error.to_string()))?;
        errors.extend(validate::unknown_fault_keys(&table));
        if !errors.is_empty() {
            let path = path.to_string();
            return Err(ExperimentError::Invalid { path, errors });
        }
        Ok(experiment)
    }

    /// Time of the last arrival.
    pub fn end(&self) -> Micros {
        from_ms(self.seconds * 1e3)
    }

    /// Time from which on due requests are counted.
    pub fn count_from(&self) -> Micros {
        from_ms(self.warm_up_s * 1e3)
    }

    /// The servers of a run.
    pub fn fleet_plan(&self, seed: u64) -> FleetPlan {
        FleetPlan {
            hosts: (0..self.fleet.caches).map(|i| self.host_plan(i)).collect(),
            origin: self.fleet.origin.clone(),
            balancers: self.balancers.count,
            lag: from_ms(self.fleet.lag_ms),
            threads: self.fleet.threads,
            seed,
            cold: self.fleet.cold,
        }
    }

    fn host_plan(&self, i: usize) -> HostPlan {
        let speed = self.fleet.speeds[i % self.fleet.speeds.len()];
        let mut settings = self.fleet.cache.clone();
        settings.hit.mean_ms /= speed;
        settings.miss.mean_ms /= speed;
        HostPlan {
            name: format!("c{i}"),
            zone: self.fleet.zones[i % self.fleet.zones.len()].clone(),
            settings,
        }
    }

    /// The hosts and balancers that faults may name.
    fn stage(&self, seed: u64) -> ScriptTargets {
        let hosts = self.fleet_plan(seed).hosts.into_iter();
        ScriptTargets {
            hosts: hosts
                .map(|host| HostTarget {
                    name: host.name,
                    zone: host.zone,
                })
                .collect(),
            balancers: self.balancers.count,
        }
    }

    /// The faults of a run, with their times and texts.
    pub fn fault_script(&self, seed: u64) -> FaultScript {
        // Faults that cannot be laid out were found by the validation.
        FaultScript::build(&self.faults, &self.stage(seed), seed).unwrap_or_default()
    }

    /// A balancer's settings in the platform's form.
    pub fn balancer_settings(&self, index: usize, rate: f64) -> Value {
        let settings = &self.balancers;
        let cache = &self.fleet.cache;
        let class = |class: &ClassSettings| {
            json!({"name": class.name, "semantics": semantics(class.idempotency), "group": "all", "key_ttl": cache.idempotency_ttl_ms,
                   "aim": class.latency_objective_ms, "deadline": class.deadline_ms, "worth": class.priority_weight})
        };
        let tenant = |tenant: &TenantTraffic| json!({"name": tenant.name, "quota_rps": rate * tenant.share, "share": tenant.share});
        let mode = match cache.fetch {
            Some(_) => json!({"mode": "through"}),
            None => json!({"mode": "aside", "origin_kind": 1}),
        };
        json!({
            "me": index, "replicas_of_me": settings.count, "locality": 0, "tick": 5.0, "registry_mode": "push",
            "areas": self.fleet.zones, "models": ["cache", "origin"], "family_info": mode,
            "profiles": self.classes.iter().map(class).collect::<Vec<_>>(),
            "tenants": self.clients.traffic.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "over_share_worth": settings.over_share_priority,
            "caps": {"most_tries": settings.max_attempts, "connect_timeout": settings.connect_timeout_ms,
                     "keepalive": cache.idle_ms, "retry_after": settings.max_retry_after_ms > 0.0,
                     "max_retry_after": settings.max_retry_after_ms, "cancel": settings.may_cancel},
            "report": {"fields": cache.report_fields},
            "rules": {"answer_slack": 20.0, "stop_sending_within": settings.grace_ms, "cold_from": cache.cold_capacity,
                      "warm_up": cache.warm_up_ms, "fall_multiple": cache.overload_multiple, "fall": cache.overload_window_ms}
        })
    }
}

/// The platform's word for how a class may be repeated.
fn semantics(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "free",
        Idempotency::Keyed => "guarded",
        Idempotency::NotIdempotent => "single_shot",
    }
}
