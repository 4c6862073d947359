//! Experiments as they stand in TOML files: what is run, against what, with which faults, and what is compared.
use std::fs;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use stairfront_common::time::{from_ms, Micros};
use stairfront_emulator::arrivals::Traffic;
use stairfront_emulator::cache_host::CacheSettings;
use stairfront_emulator::client::{ClassSettings, Idempotency, RetrySettings};
use stairfront_emulator::faults::{
    FaultInterval, FaultScript, FaultScriptError, HostTarget, ScheduledAction, ScriptTargets,
    TimedFault,
};
use stairfront_emulator::origin::OriginSettings;
use stairfront_emulator::settings_error::SettingsError;

use crate::fleet::{FleetPlan, HostPlan};
use crate::load::{self, Habits};
use crate::pack::{rest_after, Group};

#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    #[error("{path}: {problem}")]
    File {
        path: String,
        problem: std::io::Error,
    },
    #[error("{path}: {key}: {problem}")]
    Parse {
        path: String,
        key: String,
        problem: String,
    },
    #[error("{path}: {}", faults.join(&format!("\n{path}: ")))]
    Faults { path: String, faults: Vec<String> },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub caches: usize,
    /// Zones that the caches are spread over in turn.
    pub zones: Vec<String>,
    /// Speeds of the caches in turn, 1 for usual ones.
    pub speeds: Vec<f64>,
    /// Lag of discovery's lists, in milliseconds.
    pub lag_ms: f64,
    /// Threads of stand-ins.
    pub threads: usize,
    /// All caches start cold.
    pub cold: bool,
    pub cache: CacheSettings,
    pub origin: OriginSettings,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            caches: 6,
            zones: vec!["a".to_string()],
            speeds: vec![1.0],
            lag_ms: 500.0,
            threads: 2,
            cold: false,
            cache: CacheSettings::default(),
            origin: OriginSettings::default(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Balancers {
    pub count: usize,
    pub sockets: usize,
    pub memory_mb: usize,
    pub most_tries: u8,
    pub connect_timeout_ms: f64,
    /// Longest advice that a refusal may give; 0 for none.
    pub max_retry_after_ms: f64,
    /// Rule 3's grace.
    pub grace_ms: f64,
    pub may_cancel: bool,
    /// What a request beyond its tenant's share is worth.
    pub over_share_worth: f64,
}

impl Default for Balancers {
    fn default() -> Self {
        Balancers {
            count: 1,
            sockets: 1024,
            memory_mb: 192,
            most_tries: 3,
            connect_timeout_ms: 250.0,
            max_retry_after_ms: 1500.0,
            grace_ms: 250.0,
            may_cancel: true,
            over_share_worth: 0.2,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSide {
    /// Threads of clients; 0 for one for each 40,000 requests a second.
    pub threads: usize,
    pub traffic: Traffic,
    pub habits: Habits,
    pub retries: RetrySettings,
}

/// Which balancer a variant runs: this build as it is, another program, or a baseline policy of the lab.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// `random`, `least-in-flight` or `one-choice`.
    #[serde(default)]
    pub baseline: Option<String>,
    /// Path of another program, started as the platform starts one.
    #[serde(default)]
    pub program: Option<PathBuf>,
    /// The balancers know nothing of each other, whatever `[group]` says.
    #[serde(default)]
    pub apart: bool,
    /// The balancers know each other and agree on nothing; no plan is posted.
    #[serde(default)]
    pub disagrees: bool,
    /// What `[group.maintenance]` plans is done by a script at every door, and the balancers know nothing of each other.
    #[serde(default)]
    pub by_hand: bool,
    /// Clients speak to the caches with no balancer between: what the stand-ins and the clients can do by themselves.
    #[serde(default)]
    pub direct: bool,
    /// Keys of the balancer's `settings` and `limits`, by their paths, such as `limits.sockets`.
    #[serde(default)]
    pub set: toml::Table,
}

/// Looks for the rate at which the slowest percent of answers passes the aim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Knee {
    /// Rate to begin with; it is doubled until it is too much, then halved in between `steps` times.
    pub from: f64,
    #[serde(default = "some_steps")]
    pub steps: u32,
    /// What the 99th percentile from when a request was due may take, in milliseconds.
    pub p99_ms: f64,
    /// Runs at so many times the rate found.
    #[serde(default)]
    pub then: Vec<f64>,
}

fn some_steps() -> u32 {
    4
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// How long requests come.
    pub seconds: f64,
    /// What is due before then is not counted, but for the rules.
    #[serde(default = "some_seconds")]
    pub warm_up_s: f64,
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    /// Rates to run at in turn; the traffic's own where there are none.
    #[serde(default)]
    pub rates: Vec<f64>,
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default)]
    pub balancers: Balancers,
    #[serde(default)]
    pub clients: ClientSide,
    #[serde(default = "one_class")]
    pub classes: Vec<ClassSettings>,
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    #[serde(default = "one_variant")]
    pub variants: Vec<Variant>,
    #[serde(default)]
    pub knee: Option<Knee>,
    /// The balancers are members of one group.
    #[serde(default)]
    pub group: Option<Group>,
}

fn some_seconds() -> f64 {
    2.0
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

fn one_variant() -> Vec<Variant> {
    let name = "this build".to_string();
    vec![Variant {
        name,
        baseline: None,
        program: None,
        apart: false,
        disagrees: false,
        by_hand: false,
        direct: false,
        set: toml::Table::new(),
    }]
}

fn one_class() -> Vec<ClassSettings> {
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

/// Keys that an entry under `faults` may have, whatever its kind.
const FAULT_KEYS: [&str; 10] = [
    "kind",
    "at_s",
    "lasts_s",
    "on",
    "part",
    "factor",
    "chance",
    "copies",
    "at_a_time",
    "each_s",
];
const BASELINES: [&str; 3] = ["random", "least-in-flight", "one-choice"];

impl Experiment {
    pub fn from_file(path: &Path) -> Result<Self, ExperimentError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|problem| ExperimentError::File {
            path: name.clone(),
            problem,
        })?;
        Self::from_text(&name, &text)
    }

    /// `path` only names the source in errors.
    pub fn from_text(path: &str, text: &str) -> Result<Self, ExperimentError> {
        let parse = |key: String, problem: String| ExperimentError::Parse {
            path: path.to_string(),
            key,
            problem: problem.trim_end().replace('\n', "\n    "),
        };
        let reader =
            toml::Deserializer::parse(text).map_err(|e| parse("syntax".into(), e.to_string()))?;
        let experiment: Experiment = serde_path_to_error::deserialize(reader)
            .map_err(|e| parse(e.path().to_string(), e.inner().to_string()))?;
        let mut faults = experiment.faults_found();
        let whole: toml::Table = text
            .parse()
            .map_err(|e: toml::de::Error| parse("syntax".into(), e.to_string()))?;
        faults.extend(unknown_fault_keys(&whole));
        match faults.is_empty() {
            true => Ok(experiment),
            false => Err(ExperimentError::Faults {
                path: path.to_string(),
                faults,
            }),
        }
    }

    /// All faults that no type tells, by key.
    fn faults_found(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut must = |good: bool, key: &str, problem: &str| {
            if !good {
                found.push(format!("{key}: {problem}"));
            }
        };
        must(
            (0.1..=86_400.0).contains(&self.seconds),
            "seconds",
            "must be between 0.1 and a day",
        );
        must(
            (0.0..self.seconds.max(0.1)).contains(&self.warm_up_s),
            "warm_up_s",
            "must be below seconds",
        );
        must(!self.seeds.is_empty(), "seeds", "at least one is needed");
        let good = self
            .rates
            .iter()
            .all(|rate| (0.0..=10_000_000.0).contains(rate));
        must(good, "rates", "must be between 0 and 10,000,000 a second");
        must(
            !self.variants.is_empty(),
            "variants",
            "at least one is needed",
        );
        let most = if self.group.is_some() { 300 } else { 64 };
        must(
            (1..=most).contains(&self.balancers.count),
            "balancers.count",
            "must be between 1 and 64, 300 in a group",
        );
        let touched = self
            .faults
            .iter()
            .any(|timed| timed.fault.affects_balancers());
        let problem = "balancers of a group are troubled under [group] alone";
        must(self.group.is_none() || !touched, "faults", problem);
        if let Some(group) = &self.group {
            let count = self.balancers.count;
            let known = group.troubles.iter().all(|timed| {
                timed
                    .fault
                    .affected_members()
                    .iter()
                    .all(|who| *who < count)
            });
            must(
                known,
                "group.troubles",
                "names a balancer that there is not; they are counted from 0",
            );
            let good = group
                .troubles
                .iter()
                .all(|timed| timed.at_ms >= 0.0 && timed.duration_ms >= 0.0);
            must(
                good,
                "group.troubles",
                "at_ms and lasts_ms must be 0 or more",
            );
            let ends = self
                .seeds
                .iter()
                .map(|seed| group.script(*seed, count).end())
                .max()
                .unwrap_or(0);
            let rest = from_ms(self.seconds * 1e3) - ends;
            must(
                rest >= rest_after(group),
                "seconds",
                "must leave whole_again_s and one more after the last trouble",
            );
        }
        must(
            (1..=5_000).contains(&self.fleet.caches),
            "fleet.caches",
            "must be between 1 and 5,000",
        );
        must(
            !self.fleet.zones.is_empty(),
            "fleet.zones",
            "at least one is needed",
        );
        let speeds = &self.fleet.speeds;
        let good = !speeds.is_empty() && speeds.iter().all(|speed| (0.01..=100.0).contains(speed));
        must(
            good,
            "fleet.speeds",
            "at least one is needed, each between 0.01 and 100",
        );
        must(
            !self.classes.is_empty(),
            "classes",
            "at least one is needed",
        );
        for (i, class) in self.classes.iter().enumerate() {
            let good = class.latency_objective_ms > 0.0
                && class.deadline_ms >= class.latency_objective_ms
                && class.deadline_ms <= 3_600_000.0;
            must(
                good,
                &format!("classes[{i}].deadline_ms"),
                "must be at least aim_ms, and that above 0",
            );
        }
        for (i, variant) in self.variants.iter().enumerate() {
            let known = variant
                .baseline
                .as_deref()
                .is_none_or(|name| BASELINES.contains(&name));
            let baseline = format!("variants[{i}].baseline");
            must(
                known,
                &baseline,
                "must be one of random, least-in-flight, one-choice",
            );
            let ways = [
                variant.baseline.is_some(),
                variant.program.is_some(),
                variant.direct,
            ];
            let several = ways.into_iter().filter(|way| *way).count() > 1;
            must(
                !several,
                &baseline,
                "only one of baseline, program and direct can stand in a variant",
            );
            let twice = self.variants[..i]
                .iter()
                .any(|other| other.name == variant.name);
            must(!twice, &format!("variants[{i}].name"), "stands twice");
        }
        if let Some(knee) = &self.knee {
            let good = knee.from >= 1.0 && knee.p99_ms > 0.0 && knee.steps <= 20;
            must(
                good,
                "knee",
                "needs from of 1 or more, p99_ms above 0 and steps of 20 at most",
            );
        }
        let parts = [
            ("fleet.cache", self.fleet.cache.validate().err()),
            ("fleet.origin", self.fleet.origin.validate().err()),
            ("clients.traffic", self.clients.traffic.validate().err()),
            (
                "clients.habits",
                load::fault(&self.clients.habits).map(|(key, p)| SettingsError::new(key, p)),
            ),
        ];
        for (table, error) in parts {
            found.extend(error.map(|error| format!("{table}.{error}")));
        }
        if self.clients.traffic.classes.len() > self.classes.len() {
            found
                .push("clients.traffic.classes: has more parts than there are classes".to_string());
        }
        found.extend(self.script(1).err().map(|error| error.to_string()));
        found
    }

    pub fn end(&self) -> Micros {
        from_ms(self.seconds * 1e3)
    }

    pub fn count_from(&self) -> Micros {
        from_ms(self.warm_up_s * 1e3)
    }

    pub fn fleet_plan(&self, seed: u64) -> FleetPlan {
        let of = |i: usize| {
            let speed = self.fleet.speeds[i % self.fleet.speeds.len()];
            let mut set = self.fleet.cache.clone();
            set.hit.mean_ms /= speed;
            set.miss.mean_ms /= speed;
            let zone = self.fleet.zones[i % self.fleet.zones.len()].clone();
            HostPlan {
                name: format!("c{i}"),
                zone,
                set,
            }
        };
        FleetPlan {
            hosts: (0..self.fleet.caches).map(of).collect(),
            origin: self.fleet.origin.clone(),
            balancers: self.balancers.count,
            lag: from_ms(self.fleet.lag_ms),
            threads: self.fleet.threads,
            seed,
            cold: self.fleet.cold,
        }
    }

    pub fn script(&self, seed: u64) -> Result<FaultScript, FaultScriptError> {
        let hosts = self
            .fleet_plan(seed)
            .hosts
            .into_iter()
            .map(|host| HostTarget {
                name: host.name,
                zone: host.zone,
            })
            .collect();
        FaultScript::build(
            &self.faults,
            &ScriptTargets {
                hosts,
                balancers: self.balancers.count,
            },
            seed,
        )
    }

    pub fn steps(&self, seed: u64) -> (Vec<ScheduledAction>, Vec<FaultInterval>) {
        let script = self.script(seed).unwrap_or_default();
        (script.steps, script.marks)
    }

    /// A balancer's settings in the platform's form.
    pub fn balancer_settings(&self, me: usize, rate: f64) -> Value {
        let (set, cache) = (&self.balancers, &self.fleet.cache);
        let class = |class: &ClassSettings| {
            let semantics = match class.idempotency {
                Idempotency::Idempotent => "free",
                Idempotency::Keyed => "guarded",
                Idempotency::NotIdempotent => "single_shot",
            };
            json!({"name": class.name, "semantics": semantics, "group": "all", "key_ttl": cache.idempotency_ttl_ms,
                   "aim": class.latency_objective_ms, "deadline": class.deadline_ms, "worth": class.priority_weight})
        };
        let tenant = |tenant: &stairfront_emulator::arrivals::TenantTraffic| json!({"name": tenant.name, "quota_rps": rate * tenant.share, "share": tenant.share});
        let mode = match cache.fetch {
            Some(_) => json!({"mode": "through"}),
            None => json!({"mode": "aside", "origin_kind": 1}),
        };
        json!({
            "me": me, "replicas_of_me": set.count, "locality": 0, "tick": 5.0, "registry_mode": "push",
            "areas": self.fleet.zones, "models": ["cache", "origin"], "family_info": mode,
            "profiles": self.classes.iter().map(class).collect::<Vec<_>>(),
            "tenants": self.clients.traffic.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "over_share_worth": set.over_share_worth,
            "caps": {"most_tries": set.most_tries, "connect_timeout": set.connect_timeout_ms,
                     "keepalive": cache.idle_ms, "retry_after": set.max_retry_after_ms > 0.0,
                     "max_retry_after": set.max_retry_after_ms, "cancel": set.may_cancel},
            "report": {"fields": cache.report_fields},
            "rules": {"answer_slack": 20.0, "stop_sending_within": set.grace_ms, "cold_from": cache.cold_capacity,
                      "warm_up": cache.warm_up_ms, "fall_multiple": cache.overload_multiple, "fall": cache.overload_window_ms}
        })
    }
}

fn unknown_fault_keys(whole: &toml::Table) -> Vec<String> {
    let entries = whole
        .get("faults")
        .and_then(toml::Value::as_array)
        .into_iter()
        .flatten();
    let mut found = Vec::new();
    for (i, entry) in entries.enumerate() {
        let keys = entry.as_table().into_iter().flat_map(|table| table.keys());
        let unknown = keys.filter(|key| !FAULT_KEYS.contains(&key.as_str()));
        found.extend(unknown.map(|key| format!("faults[{i}].{key}: unknown key")));
    }
    found
}
