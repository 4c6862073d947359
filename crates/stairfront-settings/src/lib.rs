//! The settings that a balancer is started with, on the simulator's wire and on sockets alike: read, checked and
//! given defaults here and nowhere else. Unknown keys are ignored; absent optional ones get their documented
//! default; an error names the key at fault.
mod retune;
mod shape;

pub use retune::{Retuned, NOT_RETUNED};

use serde::Deserialize;
use stairfront_policy::interface::{
    CacheMode, Class, DeduplicationScope, DiscoveryMode, Idempotency, Kind, Limits, Micros,
    ReportField, Rules, Settings, TailLatency, Tenant, Zone, MS,
};

/// What a key of the settings has that it should not have.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{key}: {problem}")]
pub struct SettingsError {
    /// Path of the key, as in `profiles[0].aim`.
    pub key: String,
    pub problem: String,
}

impl SettingsError {
    fn new(key: impl Into<String>, problem: impl Into<String>) -> Self {
        SettingsError {
            key: key.into(),
            problem: problem.into(),
        }
    }
}

/// What the numbers of the decision module are called in the settings, in the lists and by clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Fields of a load report, in the order of `Settings::report`.
    pub report: Vec<String>,
}

/// For each tenant, the position that it had in the settings before, if it was there.
pub type Tenants = Vec<Option<usize>>;

/// Limits that a host of the module keeps by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Most requests open at once.
    pub open_requests: usize,
    /// Time after which a server closes a connection that stands idle.
    pub idle: Micros,
}

/// Everything that the settings object says.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    pub settings: Settings,
    pub names: Names,
    pub host: HostLimits,
}

impl Start {
    /// As the simulator's wire has them.
    pub fn from_text(text: &str) -> Result<Self, SettingsError> {
        let raw = Raw::read(&mut serde_json::Deserializer::from_str(text))?;
        raw.faults()
            .into_iter()
            .next()
            .map_or_else(|| raw.start(), Err)
    }

    /// As an operator wrote them: two shapes of deployment in one are refused too.
    pub fn from_value(value: serde_json::Value) -> Result<Self, SettingsError> {
        let raw = Raw::read(value)?;
        raw.faults()
            .into_iter()
            .chain(raw.mixes())
            .next()
            .map_or_else(|| raw.start(), Err)
    }

    /// Every fault that the settings have; none if `from_value` takes them.
    pub fn faults(value: serde_json::Value) -> Vec<SettingsError> {
        match Raw::read(value) {
            Err(fault) => vec![fault],
            Ok(raw) => {
                let mut faults = raw.faults();
                faults.extend(raw.mixes());
                faults.extend(raw.start().err());
                faults
            }
        }
    }
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    me: u16,
    #[serde(default = "one")]
    replicas_of_me: u16,
    #[serde(default)]
    locality: u8,
    #[serde(default)]
    areas: Vec<String>,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    tick: f64,
    #[serde(default)]
    registry_mode: String,
    #[serde(default)]
    weights: String,
    profiles: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default = "full")]
    over_share_worth: f64,
    #[serde(default)]
    caps: RawCaps,
    rules: RawRules,
    #[serde(default)]
    report: RawReport,
    #[serde(default)]
    family_info: RawFamily,
    #[serde(default)]
    score_parts: RawParts,
}

/// Only what the slowest requests weigh is read of it.
#[derive(Deserialize, Default)]
#[serde(default)]
struct RawParts {
    slow_end: f64,
    borne_misses: f64,
}

#[derive(Deserialize)]
struct RawClass {
    #[serde(default)]
    name: String,
    semantics: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    key_ttl: f64,
    aim: f64,
    deadline: f64,
    #[serde(default = "full")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct RawTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_rps: f64,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawCaps {
    most_tries: u8,
    may_duplicate: bool,
    cancel: bool,
    probes: bool,
    peer_messages: bool,
    retry_after: bool,
    max_retry_after: f64,
    connect_timeout: f64,
    keepalive: f64,
    open_cap: usize,
}

impl Default for RawCaps {
    fn default() -> Self {
        RawCaps {
            most_tries: 1,
            may_duplicate: false,
            cancel: false,
            probes: false,
            peer_messages: false,
            retry_after: false,
            max_retry_after: 0.0,
            connect_timeout: 0.0,
            keepalive: DEFAULT_IDLE_MS,
            open_cap: DEFAULT_OPEN_REQUESTS,
        }
    }
}

#[derive(Deserialize)]
struct RawRules {
    #[serde(default)]
    answer_slack: f64,
    #[serde(default)]
    ask_every: f64,
    #[serde(default)]
    stop_sending_within: f64,
    #[serde(default)]
    dropped_stay_open: bool,
    #[serde(default = "full")]
    cold_from: f64,
    #[serde(default)]
    warm_up: f64,
    #[serde(default)]
    fall_multiple: f64,
    #[serde(default)]
    fall: f64,
}

#[derive(Deserialize, Default)]
struct RawReport {
    #[serde(default)]
    how: String,
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize)]
struct RawFamily {
    #[serde(default)]
    mode: String,
    #[serde(default = "no_kind")]
    origin_kind: i64,
}

impl Default for RawFamily {
    fn default() -> Self {
        RawFamily {
            mode: String::new(),
            origin_kind: no_kind(),
        }
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

/// Without a word of when servers close idle connections, a quarter of a minute is safe with common ones.
const DEFAULT_IDLE_MS: f64 = 15_000.0;
/// Requests open at once where the settings set no limit.
const DEFAULT_OPEN_REQUESTS: usize = 20_000;
/// Times beyond this (a day) are slips of a unit, not settings.
const LONGEST_MS: f64 = 86_400_000.0;

fn us(ms: f64) -> Micros {
    (ms * MS as f64).round() as Micros
}

fn class(i: usize, raw: &RawClass) -> Result<Class, SettingsError> {
    let unknown = |key: &str, word: &str| {
        Err(SettingsError::new(
            format!("profiles[{i}].{key}"),
            format!("unknown word {word:?}"),
        ))
    };
    let semantics = match raw.semantics.as_str() {
        "free" => Idempotency::Idempotent,
        "single_shot" => Idempotency::NotIdempotent,
        "guarded" => Idempotency::Keyed {
            key_ttl: us(raw.key_ttl),
            scope: match raw.group.as_str() {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return unknown("group", other),
            },
        },
        other => return unknown("semantics", other),
    };
    Ok(Class {
        idempotency: semantics,
        latency_objective: us(raw.aim),
        deadline: us(raw.deadline),
        priority_weight: raw.worth,
        late_weight: raw.late_worth,
        stream: raw.stream,
    })
}

fn field(name: &str) -> ReportField {
    match name {
        "outstanding" => ReportField::Outstanding,
        "backlog" => ReportField::Backlog,
        "utilization" => ReportField::Utilization,
        "recent_ms" => ReportField::RecentMs,
        "throughput" => ReportField::Throughput,
        "errors_per_s" => ReportField::ErrorsPerS,
        _ => ReportField::Other,
    }
}

fn names<T>(list: &[T], name: impl Fn(&T) -> &String) -> Vec<String> {
    list.iter().map(|item| name(item).clone()).collect()
}

impl Raw {
    fn read<'a>(
        source: impl serde::Deserializer<'a, Error = serde_json::Error>,
    ) -> Result<Self, SettingsError> {
        serde_path_to_error::deserialize(source)
            .map_err(|e| SettingsError::new(e.path().to_string(), e.inner().to_string()))
    }

    /// Figures that would only show up as strange decisions hours later.
    fn faults(&self) -> Vec<SettingsError> {
        let mut checks = vec![must(
            !self.profiles.is_empty(),
            "profiles",
            "at least one class is needed",
        )];
        for (i, class) in self.profiles.iter().enumerate() {
            let key = |name: &str| format!("profiles[{i}].{name}");
            checks.push(positive(key("aim"), class.aim));
            checks.push(positive(key("deadline"), class.deadline));
            checks.push(time(key("key_ttl"), class.key_ttl));
            checks.push(share(key("late_worth"), class.late_worth));
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            checks.push(at_least_zero(
                format!("tenants[{i}].quota_rps"),
                tenant.quota_rps,
            ));
        }
        let rules = &self.rules;
        checks.extend([
            time("tick", self.tick),
            share("over_share_worth", self.over_share_worth),
            time("caps.max_retry_after", self.caps.max_retry_after),
            time("caps.connect_timeout", self.caps.connect_timeout),
            positive("caps.keepalive", self.caps.keepalive),
            must(self.caps.open_cap > 0, "caps.open_cap", "must be above 0"),
            must(
                self.caps.most_tries > 0,
                "caps.most_tries",
                "must be above 0",
            ),
            time("rules.answer_slack", rules.answer_slack),
            time("rules.ask_every", rules.ask_every),
            time("rules.stop_sending_within", rules.stop_sending_within),
            time("rules.warm_up", rules.warm_up),
            time("rules.fall", rules.fall),
            share("rules.cold_from", rules.cold_from),
            at_least_zero("rules.fall_multiple", rules.fall_multiple),
            at_least_zero("score_parts.slow_end", self.score_parts.slow_end),
            share("score_parts.borne_misses", self.score_parts.borne_misses),
        ]);
        checks.into_iter().filter_map(Result::err).collect()
    }

    fn start(&self) -> Result<Start, SettingsError> {
        let mode = match (
            self.family_info.mode.as_str(),
            u16::try_from(self.family_info.origin_kind),
        ) {
            ("aside", Ok(kind)) => CacheMode::Aside { origin: Kind(kind) },
            ("aside", Err(_)) => {
                return Err(SettingsError::new(
                    "family_info.origin_kind",
                    "mode aside needs an origin kind",
                ))
            }
            _ => CacheMode::Through,
        };
        let classes = self
            .profiles
            .iter()
            .enumerate()
            .map(|(i, raw)| class(i, raw));
        let classes = classes.collect::<Result<Vec<_>, _>>()?;
        Ok(Start {
            names: Names {
                classes: names(&self.profiles, |c| &c.name),
                tenants: names(&self.tenants, |t| &t.name),
                zones: self.areas.clone(),
                kinds: self.models.clone(),
                report: self.report.fields.clone(),
            },
            host: HostLimits {
                open_requests: self.caps.open_cap,
                idle: us(self.caps.keepalive),
            },
            settings: self.settings(mode, classes),
        })
    }

    fn settings(&self, mode: CacheMode, classes: Vec<Class>) -> Settings {
        let tenant = |t: &RawTenant| Tenant {
            quota_per_s: t.quota_rps,
            share: t.share,
        };
        Settings {
            instance: self.me,
            balancers: self.replicas_of_me.max(1),
            zone: Zone(self.locality),
            tick: us(self.tick),
            mode,
            discovery: if self.registry_mode == "ask" {
                DiscoveryMode::Poll
            } else {
                DiscoveryMode::Push
            },
            classes,
            tenants: self.tenants.iter().map(tenant).collect(),
            over_share_weight: self.over_share_worth,
            tail: TailLatency {
                weight: self.score_parts.slow_end,
                tolerated_fraction: self.score_parts.borne_misses,
            },
            limits: self.caps.limits(),
            rules: self.rules.rules(),
            report: self.report.fields.iter().map(|name| field(name)).collect(),
            sized: !matches!(self.weights.as_str(), "off" | "none" | ""),
        }
    }
}

impl RawCaps {
    fn limits(&self) -> Limits {
        Limits {
            max_attempts: self.most_tries,
            may_hedge: self.may_duplicate,
            may_cancel: self.cancel,
            may_probe: self.probes,
            may_gossip: self.peer_messages,
            max_retry_after: if self.retry_after {
                us(self.max_retry_after)
            } else {
                0
            },
            connect_timeout: us(self.connect_timeout),
        }
    }
}

impl RawRules {
    fn rules(&self) -> Rules {
        Rules {
            answer_slack: us(self.answer_slack),
            poll_interval: us(self.ask_every),
            drain_grace: us(self.stop_sending_within),
            removal_is_advisory: self.dropped_stay_open,
            slow_start_floor: self.cold_from,
            slow_start_window: us(self.warm_up),
            overload_multiple: self.fall_multiple,
            overload_window: us(self.fall),
        }
    }
}

fn must(good: bool, key: impl Into<String>, problem: &str) -> Result<(), SettingsError> {
    good.then_some(())
        .ok_or_else(|| SettingsError::new(key, problem))
}

fn positive(key: impl Into<String>, ms: f64) -> Result<(), SettingsError> {
    must(
        ms > 0.0 && ms <= LONGEST_MS,
        key,
        "must be a time in milliseconds above 0, a day at most",
    )
}

fn time(key: impl Into<String>, ms: f64) -> Result<(), SettingsError> {
    must(
        (0.0..=LONGEST_MS).contains(&ms),
        key,
        "must be a time in milliseconds, a day at most",
    )
}

fn share(key: impl Into<String>, value: f64) -> Result<(), SettingsError> {
    must((0.0..=1.0).contains(&value), key, "must be between 0 and 1")
}

fn at_least_zero(key: impl Into<String>, value: f64) -> Result<(), SettingsError> {
    must(value >= 0.0 && value.is_finite(), key, "must be 0 or more")
}
