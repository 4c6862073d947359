//! The configuration of an install outside the platform: one TOML file, documented key by key in
//! `deploy/stairfront.toml`. It is put into the platform's form here, and read further by the code of that form.
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{json, Value};
use stairfront_membership_agent::MembershipSection;
use stairfront_raft_node::AgreementSection;
use toml::de::{DeTable, DeValue};

/// An error in a file, by the file's own keys.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct TomlError {
    /// Path of the key; `syntax` for a file that is no TOML.
    pub key: String,
    /// The error.
    pub problem: String,
    /// The line, from 1, where it is known already.
    pub line: Option<usize>,
}

/// The file by its own keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TomlConfig {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: String,
    discovery: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    limits: TomlLimits,
    #[serde(default)]
    group: TomlGroup,
    membership: Option<MembershipSection>,
    agreement: Option<AgreementSection>,
    #[serde(default)]
    servers: Vec<TomlServer>,
    classes: Vec<TomlClass>,
    #[serde(default)]
    tenants: Vec<TomlTenant>,
    #[serde(default)]
    retries: TomlRetries,
    #[serde(default)]
    slow_end: TomlSlowEnd,
    rules: TomlRules,
    /// Fields of the servers' load reports.
    #[serde(default)]
    report: Vec<String>,
    /// Whether a cache fetches what it lacks by itself.
    #[serde(default)]
    caches_fetch: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TomlLimits {
    sockets: usize,
    memory_mb: usize,
    open_requests: usize,
}

impl Default for TomlLimits {
    fn default() -> Self {
        TomlLimits {
            sockets: 1024,
            memory_mb: 192,
            open_requests: 20_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TomlGroup {
    balancers: u16,
    me: u16,
    /// Whether balancers may send each other messages; where it is left out, they may if there is a `[membership]`.
    peer_messages: Option<bool>,
}

impl Default for TomlGroup {
    fn default() -> Self {
        TomlGroup {
            balancers: 1,
            me: 0,
            peer_messages: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TomlServer {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    /// `cache` or `origin`.
    #[serde(default = "default_kind")]
    kind: String,
    #[serde(default)]
    group: u16,
}

fn default_kind() -> String {
    "cache".to_string()
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Repeats {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TomlClass {
    name: String,
    repeats: Repeats,
    #[serde(default = "default_keyed_within")]
    keyed_within: String,
    #[serde(default)]
    keyed_ms: f64,
    aim_ms: f64,
    deadline_ms: f64,
    #[serde(default = "default_worth")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

fn default_keyed_within() -> String {
    "all".to_string()
}

fn default_worth() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TomlTenant {
    name: String,
    requests_per_s: f64,
    share: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TomlRetries {
    most_tries: u8,
    connect_timeout_ms: f64,
    servers_idle_ms: f64,
    may_cancel: bool,
    max_retry_after_ms: f64,
    over_share_worth: f64,
}

impl Default for TomlRetries {
    fn default() -> Self {
        TomlRetries {
            most_tries: 3,
            connect_timeout_ms: 250.0,
            servers_idle_ms: 60_000.0,
            may_cancel: false,
            max_retry_after_ms: 1_500.0,
            over_share_worth: 1.0,
        }
    }
}

/// How much the slowest requests weigh; nothing where it is left out.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct TomlSlowEnd {
    weight: f64,
    borne_misses: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TomlRules {
    drain_grace_ms: f64,
    #[serde(default)]
    dropped_stay_open: bool,
    #[serde(default)]
    answer_slack_ms: f64,
    cold_from: f64,
    warm_up_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
}

/// Reads a file and puts it into the platform's form.
///
/// # Errors
///
/// [`TomlError`] for the first key that cannot be read.
pub fn read(text: &str) -> Result<Value, TomlError> {
    let line_of_error = |error: &toml::de::Error| {
        let span = error.span()?;
        Some(line_at(text, span.start))
    };
    let reader = toml::Deserializer::parse(text).map_err(|error| TomlError {
        key: "syntax".to_string(),
        problem: error.message().to_string(),
        line: line_of_error(&error),
    })?;
    let config: TomlConfig =
        serde_path_to_error::deserialize(reader).map_err(|error| TomlError {
            key: error.path().to_string(),
            problem: error.inner().message().to_string(),
            line: line_of_error(error.inner()),
        })?;
    Ok(config.platform())
}

impl TomlConfig {
    fn platform(&self) -> Value {
        let servers: Vec<Value> = self.servers.iter().map(TomlServer::platform).collect();
        let mut platform = json!({
            "name": self.name,
            "listen": self.listen,
            "seed": self.seed,
            "limits": {"sockets": self.limits.sockets, "memory_mb": self.limits.memory_mb},
            "known": {"index": 0, "snapshot": true, "endpoints": servers},
            "settings": self.settings(),
        });
        // These sections are missing in the platform's form too where the file leaves them out.
        if let Some(agent) = self.discovery {
            platform["discovery"] = json!(agent);
        }
        if let Some(membership) = &self.membership {
            platform["membership"] = json!(membership);
        }
        if let Some(agreement) = &self.agreement {
            platform["agreement"] = json!(agreement);
        }
        if let Some(admin) = self.ops {
            platform["ops"] = json!(admin);
        }
        platform
    }

    fn settings(&self) -> Value {
        let zones = self.zones();
        let locality = zones.iter().position(|zone| *zone == self.zone);
        let mode = if self.caches_fetch {
            json!({"mode": "through"})
        } else {
            json!({"mode": "aside", "origin_kind": 1})
        };
        let classes: Vec<Value> = self.classes.iter().map(TomlClass::platform).collect();
        let tenants: Vec<Value> = self.tenants.iter().map(TomlTenant::platform).collect();
        json!({
            "me": self.group.me,
            "replicas_of_me": self.group.balancers,
            "locality": locality.unwrap_or(0),
            "areas": zones,
            "models": ["cache", "origin"],
            "tick": 5.0,
            "family_info": mode,
            "profiles": classes,
            "tenants": tenants,
            "over_share_worth": self.retries.over_share_worth,
            "caps": self.caps(),
            "report": {"fields": self.report},
            "score_parts": {
                "slow_end": self.slow_end.weight,
                "borne_misses": self.slow_end.borne_misses,
            },
            "rules": self.rules.platform(),
        })
    }

    fn caps(&self) -> Value {
        let retries = &self.retries;
        let peer_messages = self.group.peer_messages;
        json!({
            "most_tries": retries.most_tries,
            "connect_timeout": retries.connect_timeout_ms,
            "keepalive": retries.servers_idle_ms,
            "open_cap": self.limits.open_requests,
            "peer_messages": peer_messages.unwrap_or(self.membership.is_some()),
            "cancel": retries.may_cancel,
            "retry_after": retries.max_retry_after_ms > 0.0,
            "max_retry_after": retries.max_retry_after_ms,
        })
    }

    fn zones(&self) -> Vec<String> {
        let mut zones = vec![self.zone.clone()];
        for server in &self.servers {
            if !zones.contains(&server.zone) {
                zones.push(server.zone.clone());
            }
        }
        zones
    }
}

impl TomlServer {
    fn platform(&self) -> Value {
        json!({
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        })
    }
}

impl TomlClass {
    fn platform(&self) -> Value {
        let semantics = match self.repeats {
            Repeats::Safe => "free",
            Repeats::Keyed => "guarded",
            Repeats::Unsafe => "single_shot",
        };
        json!({
            "name": self.name,
            "semantics": semantics,
            "group": self.keyed_within,
            "key_ttl": self.keyed_ms,
            "aim": self.aim_ms,
            "deadline": self.deadline_ms,
            "worth": self.worth,
            "late_worth": self.late_worth,
        })
    }
}

impl TomlTenant {
    fn platform(&self) -> Value {
        json!({"name": self.name, "quota_rps": self.requests_per_s, "share": self.share})
    }
}

impl TomlRules {
    fn platform(&self) -> Value {
        json!({
            "answer_slack": self.answer_slack_ms,
            "stop_sending_within": self.drain_grace_ms,
            "dropped_stay_open": self.dropped_stay_open,
            "cold_from": self.cold_from,
            "warm_up": self.warm_up_ms,
            "fall_multiple": self.fall_multiple,
            "fall": self.fall_ms,
        })
    }
}

/// Keys of the platform's form, and the keys of a TOML file that set them.
const OWN_KEYS: [(&str, &str); 27] = [
    ("settings.rules.stop_sending_within", "rules.drain_grace_ms"),
    ("settings.rules.answer_slack", "rules.answer_slack_ms"),
    ("settings.rules.warm_up", "rules.warm_up_ms"),
    ("settings.rules.fall_multiple", "rules.fall_multiple"),
    ("settings.rules.fall", "rules.fall_ms"),
    ("settings.rules", "rules"),
    (
        "settings.caps.connect_timeout",
        "retries.connect_timeout_ms",
    ),
    ("settings.caps.keepalive", "retries.servers_idle_ms"),
    (
        "settings.caps.max_retry_after",
        "retries.max_retry_after_ms",
    ),
    ("settings.caps.open_cap", "limits.open_requests"),
    ("settings.caps.peer_messages", "group.peer_messages"),
    ("settings.caps", "retries"),
    ("settings.score_parts.slow_end", "slow_end.weight"),
    ("settings.score_parts.borne_misses", "slow_end.borne_misses"),
    ("settings.over_share_worth", "retries.over_share_worth"),
    ("settings.profiles", "classes"),
    ("settings.tenants", "tenants"),
    ("settings.report", "report"),
    ("known.endpoints", "servers"),
    ("settings", ""),
    (".aim", ".aim_ms"),
    (".deadline", ".deadline_ms"),
    (".key_ttl", ".keyed_ms"),
    (".group", ".keyed_within"),
    (".quota_rps", ".requests_per_s"),
    (".semantics", ".repeats"),
    (".type", ".kind"),
];

/// The key of a TOML file for one of the platform's form.
pub fn own_key(key: &str) -> String {
    let mut own = key.to_string();
    for (platform, toml) in OWN_KEYS {
        if platform.starts_with('.') {
            // Such an entry replaces the last part of a path, all others its beginning.
            if own.ends_with(platform) {
                own.truncate(own.len() - platform.len());
                own.push_str(toml);
            }
        } else if let Some(rest) = own.strip_prefix(platform) {
            own = format!("{toml}{rest}").trim_start_matches('.').to_string();
        }
    }
    own
}

fn line_at(text: &str, offset: usize) -> usize {
    let before = text.bytes().take(offset);
    1 + before.filter(|byte| *byte == b'\n').count()
}

/// The line, from 1, of a key such as `classes[0].aim_ms`, or of what holds the key where the key itself is missing.
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let parts = key
        .split(['.', '['])
        .map(|part| part.trim_end_matches(']'))
        .filter(|part| !part.is_empty());
    let root = DeValue::Table(table.into_inner());
    let mut value = &root;
    let mut line = None;
    for part in parts {
        let next = match value {
            DeValue::Table(table) => {
                let entry = table.iter().find(|(key, _)| key.get_ref().as_ref() == part);
                entry.map(|(key, value)| (key.span().start, value))
            }
            DeValue::Array(items) => {
                let item = part.parse::<usize>().ok().and_then(|i| items.get(i));
                item.map(|item| (item.span().start, item))
            }
            _ => None,
        };
        let Some((offset, next)) = next else { break };
        line = Some(line_at(text, offset));
        value = next.get_ref();
    }
    line
}
