//! Experiments as they stand in TOML files: what is run, against what, with which faults, and what is compared.
use std::fs;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use stairfront_emulator::arrivals::Traffic;
use stairfront_emulator::cache_host::CacheSettings;
use stairfront_emulator::client::{ClassSettings, Repeats, RetrySettings};
use stairfront_emulator::faults::{Mark, Script, Stage, Step, TimedFault};
use stairfront_emulator::origin::OriginSettings;
use stairfront_emulator::time::{from_ms, Micros};

use crate::balancer_group::{quiet_period_after, Group};
use crate::fleet::{FleetPlan, HostPlan};
use crate::load::{self, ClientBehavior};

#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    #[error("{path}: {error}")]
    File { path: String, error: std::io::Error },
    #[error("{path}: {key}: {error}")]
    Parse {
        path: String,
        key: String,
        error: String,
    },
    #[error("{path}: {}", faults.join(&format!("\n{path}: ")))]
    Faults { path: String, faults: Vec<String> },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
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

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
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
pub struct BalancerSettings {
    pub count: usize,
    pub sockets: usize,
    pub memory_mb: usize,
    #[serde(rename = "most_tries")]
    pub max_attempts: u8,
    pub connect_timeout_ms: f64,
    /// Longest advice that a refusal may give; 0 for none.
    pub max_retry_after_ms: f64,
    /// Rule 3's grace.
    pub grace_ms: f64,
    pub may_cancel: bool,
    /// What a request beyond its tenant's share is worth.
    #[serde(rename = "over_share_worth")]
    pub over_share_priority: f64,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            count: 1,
            sockets: 1024,
            memory_mb: 192,
            max_attempts: 3,
            connect_timeout_ms: 250.0,
            max_retry_after_ms: 1500.0,
            grace_ms: 250.0,
            may_cancel: true,
            over_share_priority: 0.2,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Threads of clients; 0 for one for each 40,000 requests a second.
    pub threads: usize,
    pub traffic: Traffic,
    #[serde(rename = "habits")]
    pub behavior: ClientBehavior,
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
    #[serde(default, rename = "apart")]
    pub no_membership: bool,
    /// The balancers know each other and agree on nothing; no plan is posted.
    #[serde(default, rename = "disagrees")]
    pub no_agreement: bool,
    /// What `[group.maintenance]` plans is done by a script at every door, and the balancers know nothing of each other.
    #[serde(default, rename = "by_hand")]
    pub manual_baseline: bool,
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
pub struct KneeSearch {
    /// Rate to begin with; it is doubled until it is too much, then halved in between `steps` times.
    pub from: f64,
    #[serde(default = "default_steps")]
    pub steps: u32,
    /// What the 99th percentile from when a request was due may take, in milliseconds.
    pub p99_ms: f64,
    /// Runs at so many times the rate found.
    #[serde(default)]
    pub then: Vec<f64>,
}

fn default_steps() -> u32 {
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
    #[serde(default = "default_warm_up")]
    pub warm_up_s: f64,
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
    /// Rates to run at in turn; the traffic's own where there are none.
    #[serde(default)]
    pub rates: Vec<f64>,
    #[serde(default)]
    pub fleet: FleetSettings,
    #[serde(default)]
    pub balancers: BalancerSettings,
    #[serde(default)]
    pub clients: ClientSettings,
    #[serde(default = "default_classes")]
    pub classes: Vec<ClassSettings>,
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    #[serde(default = "default_variants")]
    pub variants: Vec<Variant>,
    #[serde(default)]
    pub knee: Option<KneeSearch>,
    /// The balancers are members of one group.
    #[serde(default)]
    pub group: Option<Group>,
}

fn default_warm_up() -> f64 {
    2.0
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

fn default_variants() -> Vec<Variant> {
    let name = "this build".to_string();
    vec![Variant {
        name,
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
        aim_ms: 250.0,
        deadline_ms: 1000.0,
        repeats: Repeats::Safe,
        write: false,
        worth: 1.0,
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
        let text = fs::read_to_string(path).map_err(|error| ExperimentError::File {
            path: name.clone(),
            error,
        })?;
        Self::from_text(&name, &text)
    }

    /// `path` only names the source in errors.
    pub fn from_text(path: &str, text: &str) -> Result<Self, ExperimentError> {
        let parse = |key: String, error: String| ExperimentError::Parse {
            path: path.to_string(),
            key,
            error: error.trim_end().replace('\n', "\n    "),
        };
        let reader =
            toml::Deserializer::parse(text).map_err(|e| parse("syntax".into(), e.to_string()))?;
        let experiment: Experiment = serde_path_to_error::deserialize(reader)
            .map_err(|e| parse(e.path().to_string(), e.inner().to_string()))?;
        let mut faults = experiment.validate();
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
    fn validate(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut require = |valid: bool, key: &str, error: &str| {
            if !valid {
                found.push(format!("{key}: {error}"));
            }
        };
        require(
            (0.1..=86_400.0).contains(&self.seconds),
            "seconds",
            "must be between 0.1 and a day",
        );
        require(
            (0.0..self.seconds.max(0.1)).contains(&self.warm_up_s),
            "warm_up_s",
            "must be below seconds",
        );
        require(!self.seeds.is_empty(), "seeds", "at least one is needed");
        let valid = self
            .rates
            .iter()
            .all(|rate| (0.0..=10_000_000.0).contains(rate));
        require(valid, "rates", "must be between 0 and 10,000,000 a second");
        require(
            !self.variants.is_empty(),
            "variants",
            "at least one is needed",
        );
        let most = if self.group.is_some() { 300 } else { 64 };
        require(
            (1..=most).contains(&self.balancers.count),
            "balancers.count",
            "must be between 1 and 64, 300 in a group",
        );
        let touched = self
            .faults
            .iter()
            .any(|timed| timed.fault.is_of_balancers());
        let error = "balancers of a group are troubled under [group] alone";
        require(self.group.is_none() || !touched, "faults", error);
        if let Some(group) = &self.group {
            let count = self.balancers.count;
            let known = group
                .troubles
                .iter()
                .all(|timed| timed.trouble.touched().iter().all(|who| *who < count));
            require(
                known,
                "group.troubles",
                "names a balancer that there is not; they are counted from 0",
            );
            let valid = group
                .troubles
                .iter()
                .all(|timed| timed.at_ms >= 0.0 && timed.lasts_ms >= 0.0);
            require(
                valid,
                "group.troubles",
                "at_ms and lasts_ms must be 0 or more",
            );
            let ends = self
                .seeds
                .iter()
                .map(|seed| group.script(*seed, count).ends())
                .max()
                .unwrap_or(0);
            let rest = from_ms(self.seconds * 1e3) - ends;
            require(
                rest >= quiet_period_after(group),
                "seconds",
                "must leave whole_again_s and one more after the last trouble",
            );
        }
        require(
            (1..=5_000).contains(&self.fleet.caches),
            "fleet.caches",
            "must be between 1 and 5,000",
        );
        require(
            !self.fleet.zones.is_empty(),
            "fleet.zones",
            "at least one is needed",
        );
        let speeds = &self.fleet.speeds;
        let valid = !speeds.is_empty() && speeds.iter().all(|speed| (0.01..=100.0).contains(speed));
        require(
            valid,
            "fleet.speeds",
            "at least one is needed, each between 0.01 and 100",
        );
        require(
            !self.classes.is_empty(),
            "classes",
            "at least one is needed",
        );
        for (i, class) in self.classes.iter().enumerate() {
            let valid = class.aim_ms > 0.0
                && class.deadline_ms >= class.aim_ms
                && class.deadline_ms <= 3_600_000.0;
            require(
                valid,
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
            require(
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
            require(
                !several,
                &baseline,
                "only one of baseline, program and direct can stand in a variant",
            );
            let twice = self.variants[..i]
                .iter()
                .any(|other| other.name == variant.name);
            require(!twice, &format!("variants[{i}].name"), "stands twice");
        }
        if let Some(knee) = &self.knee {
            let valid = knee.from >= 1.0 && knee.p99_ms > 0.0 && knee.steps <= 20;
            require(
                valid,
                "knee",
                "needs from of 1 or more, p99_ms above 0 and steps of 20 at most",
            );
        }
        let parts = [
            (
                "fleet.cache",
                self.fleet
                    .cache
                    .fault()
                    .map(|(key, error)| (key.to_string(), error)),
            ),
            (
                "fleet.origin",
                self.fleet
                    .origin
                    .fault()
                    .map(|(key, error)| (key.to_string(), error)),
            ),
            ("clients.traffic", self.clients.traffic.fault()),
            (
                "clients.habits",
                load::behavior_error(&self.clients.behavior).map(|(key, p)| (key.to_string(), p)),
            ),
        ];
        for (place, fault) in parts {
            found.extend(fault.map(|(key, error)| format!("{place}.{key}: {error}")));
        }
        if self.clients.traffic.classes.len() > self.classes.len() {
            found
                .push("clients.traffic.classes: has more parts than there are classes".to_string());
        }
        found.extend(self.script(1).err());
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

    pub fn script(&self, seed: u64) -> Result<Script, String> {
        let hosts = self
            .fleet_plan(seed)
            .hosts
            .into_iter()
            .map(|host| (host.name, host.zone))
            .collect();
        Script::lay_out(
            &self.faults,
            &Stage {
                hosts,
                balancers: self.balancers.count,
            },
            seed,
        )
    }

    pub fn steps(&self, seed: u64) -> (Vec<Step>, Vec<Mark>) {
        let script = self.script(seed).unwrap_or_default();
        (script.steps, script.marks)
    }

    /// A balancer's settings in the platform's form.
    pub fn balancer_settings(&self, me: usize, rate: f64) -> Value {
        let (set, cache) = (&self.balancers, &self.fleet.cache);
        let class = |class: &ClassSettings| {
            let semantics = match class.repeats {
                Repeats::Safe => "free",
                Repeats::Keyed => "guarded",
                Repeats::Unsafe => "single_shot",
            };
            json!({"name": class.name, "semantics": semantics, "group": "all", "key_ttl": cache.keyed_ms,
                   "aim": class.aim_ms, "deadline": class.deadline_ms, "worth": class.worth})
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
            "over_share_worth": set.over_share_priority,
            "caps": {"most_tries": set.max_attempts, "connect_timeout": set.connect_timeout_ms,
                     "keepalive": cache.idle_ms, "retry_after": set.max_retry_after_ms > 0.0,
                     "max_retry_after": set.max_retry_after_ms, "cancel": set.may_cancel},
            "report": {"fields": cache.report},
            "rules": {"answer_slack": 20.0, "stop_sending_within": set.grace_ms, "cold_from": cache.cold_from,
                      "warm_up": cache.warm_up_ms, "fall_multiple": cache.fall_multiple, "fall": cache.fall_ms}
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
