//! The settings text of a `BOOT`, as the decision module's own `Settings`.
//! Unknown keys are ignored; absent optional ones get their documented default.
use serde::Deserialize;
use stairfront_policy::interface::{
    CacheMode, Class, Discovery, Group, Kind, Limits, Micros, ReportField, Rules, Semantics, Settings,
    Tenant, Zone,
};

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    me: u16,
    #[serde(default = "one")]
    replicas_of_me: u16,
    #[serde(default)]
    locality: u8,
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
}

#[derive(Deserialize)]
struct RawClass {
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
    quota_rps: f64,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize, Default)]
struct RawCaps {
    #[serde(default)]
    most_tries: u8,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    connect_timeout: f64,
}

#[derive(Deserialize)]
struct RawRules {
    #[serde(default)]
    answer_slack: f64,
    #[serde(default)]
    ask_every: f64,
    #[serde(default)]
    stop_sending_within: f64,
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
        RawFamily { mode: String::new(), origin_kind: no_kind() }
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

fn us(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

fn class(raw: &RawClass) -> Result<Class, String> {
    let semantics = match raw.semantics.as_str() {
        "free" => Semantics::Free,
        "single_shot" => Semantics::SingleShot,
        "guarded" => Semantics::Guarded {
            key_ttl: us(raw.key_ttl),
            group: match raw.group.as_str() {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("unknown group {other:?}")),
            },
        },
        other => return Err(format!("unknown semantics {other:?}")),
    };
    Ok(Class {
        semantics,
        aim: us(raw.aim),
        deadline: us(raw.deadline),
        worth: raw.worth,
        late_worth: raw.late_worth,
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

pub fn parse(text: &str) -> Result<Settings, String> {
    let raw: Raw = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mode = match (raw.family_info.mode.as_str(), u16::try_from(raw.family_info.origin_kind)) {
        ("aside", Ok(kind)) => CacheMode::Aside { origin: Kind(kind) },
        ("aside", Err(_)) => return Err("mode aside without an origin kind".to_string()),
        _ => CacheMode::Through,
    };
    Ok(Settings {
        me: raw.me,
        balancers: raw.replicas_of_me.max(1),
        zone: Zone(raw.locality),
        tick: us(raw.tick),
        mode,
        discovery: if raw.registry_mode == "ask" { Discovery::Ask } else { Discovery::Push },
        classes: raw.profiles.iter().map(class).collect::<Result<_, _>>()?,
        tenants: raw.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_rps, share: t.share }).collect(),
        over_share_worth: raw.over_share_worth,
        limits: Limits {
            most_attempts: raw.caps.most_tries.max(1),
            may_duplicate: raw.caps.may_duplicate,
            may_cancel: raw.caps.cancel,
            may_probe: raw.caps.probes,
            may_tell: raw.caps.peer_messages,
            max_retry_after: if raw.caps.retry_after { us(raw.caps.max_retry_after) } else { 0 },
            connect_timeout: us(raw.caps.connect_timeout),
        },
        rules: Rules {
            answer_slack: us(raw.rules.answer_slack),
            ask_every: us(raw.rules.ask_every),
            stop_sending_within: us(raw.rules.stop_sending_within),
            cold_from: raw.rules.cold_from,
            warm_up: us(raw.rules.warm_up),
            fall_multiple: raw.rules.fall_multiple,
            fall: us(raw.rules.fall),
        },
        report: raw.report.fields.iter().map(|name| field(name)).collect(),
        sized: !matches!(raw.weights.as_str(), "off" | "none" | ""),
    })
}
