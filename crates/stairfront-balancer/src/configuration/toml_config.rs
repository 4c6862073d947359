//! The configuration of an install that is not the platform: one TOML file, documented key by key in
//! `deploy/stairfront.toml`. It is put into the platform's form here and read further by the same code.
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{json, Value};
use stairfront_membership_agent::MembershipSection;
use stairfront_raft_node::AgreementSection;
use toml::de::{DeTable, DeValue};

/// What is wrong with a file, by its own keys.
#[derive(Debug)]
pub struct Fault {
    pub key: String,
    pub problem: String,
    /// From 1, where it is known already.
    pub line: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Product {
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
    limits: ProductLimits,
    #[serde(default)]
    group: ProductGroup,
    membership: Option<MembershipSection>,
    agreement: Option<AgreementSection>,
    #[serde(default)]
    servers: Vec<ProductServer>,
    classes: Vec<ProductClass>,
    #[serde(default)]
    tenants: Vec<ProductTenant>,
    #[serde(default)]
    retries: ProductRetries,
    #[serde(default)]
    slow_end: ProductSlowEnd,
    rules: ProductRules,
    /// Fields of the servers' load reports.
    #[serde(default)]
    report: Vec<String>,
    /// Whether a cache fetches what it lacks by itself.
    #[serde(default)]
    caches_fetch: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ProductLimits {
    sockets: usize,
    memory_mb: usize,
    open_requests: usize,
}

impl Default for ProductLimits {
    fn default() -> Self {
        ProductLimits {
            sockets: 1024,
            memory_mb: 192,
            open_requests: 20_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ProductGroup {
    balancers: u16,
    me: u16,
    /// Whether balancers may talk to each other; where it is not said, a `[membership]` says so.
    peer_messages: Option<bool>,
}

impl Default for ProductGroup {
    fn default() -> Self {
        ProductGroup {
            balancers: 1,
            me: 0,
            peer_messages: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProductServer {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    /// `cache` or `origin`.
    #[serde(default = "cache")]
    kind: String,
    #[serde(default)]
    group: u16,
}

fn cache() -> String {
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
struct ProductClass {
    name: String,
    repeats: Repeats,
    #[serde(default = "all")]
    keyed_within: String,
    #[serde(default)]
    keyed_ms: f64,
    aim_ms: f64,
    deadline_ms: f64,
    #[serde(default = "full")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

fn all() -> String {
    "all".to_string()
}

fn full() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProductTenant {
    name: String,
    requests_per_s: f64,
    share: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ProductRetries {
    most_tries: u8,
    connect_timeout_ms: f64,
    servers_idle_ms: f64,
    may_cancel: bool,
    max_retry_after_ms: f64,
    over_share_worth: f64,
}

impl Default for ProductRetries {
    fn default() -> Self {
        ProductRetries {
            most_tries: 3,
            connect_timeout_ms: 250.0,
            servers_idle_ms: 60_000.0,
            may_cancel: false,
            max_retry_after_ms: 1_500.0,
            over_share_worth: 1.0,
        }
    }
}

/// What the slowest requests weigh; nothing where it is left out.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct ProductSlowEnd {
    weight: f64,
    borne_misses: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProductRules {
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
pub fn read(text: &str) -> Result<Value, Fault> {
    let broken = |e: toml::de::Error| {
        let line = e.span().map(|span| line_at(text, span.start));
        Fault {
            key: "syntax".to_string(),
            problem: e.message().to_string(),
            line,
        }
    };
    let reader = toml::Deserializer::parse(text).map_err(broken)?;
    let product: Product = serde_path_to_error::deserialize(reader).map_err(|e| {
        let line = e.inner().span().map(|span| line_at(text, span.start));
        Fault {
            key: e.path().to_string(),
            problem: e.inner().message().to_string(),
            line,
        }
    })?;
    Ok(product.platform())
}

impl Product {
    fn platform(&self) -> Value {
        let zones = self.zones();
        let position = |zone: &String| zones.iter().position(|known| known == zone).unwrap_or(0);
        let server = |server: &ProductServer| {
            json!({"name": server.name, "address": server.address, "zone": server.zone, "type": server.kind,
                   "group": server.group, "status": "SERVING", "weight": 1.0, "since_ms": 0})
        };
        let mode = match self.caches_fetch {
            true => json!({"mode": "through"}),
            false => json!({"mode": "aside", "origin_kind": 1}),
        };
        let tenant = |t: &ProductTenant| json!({"name": t.name, "quota_rps": t.requests_per_s, "share": t.share});
        let (retries, rules) = (&self.retries, &self.rules);
        let may_talk = self
            .group
            .peer_messages
            .unwrap_or(self.membership.is_some());
        let mut whole = json!({
            "name": self.name, "listen": self.listen, "seed": self.seed,
            "limits": {"sockets": self.limits.sockets, "memory_mb": self.limits.memory_mb},
            "known": {"index": 0, "snapshot": true, "endpoints": self.servers.iter().map(server).collect::<Vec<_>>()},
            "settings": {
                "me": self.group.me, "replicas_of_me": self.group.balancers, "locality": position(&self.zone),
                "areas": zones, "models": ["cache", "origin"], "tick": 5.0, "family_info": mode,
                "profiles": self.classes.iter().map(ProductClass::platform).collect::<Vec<_>>(),
                "tenants": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
                "over_share_worth": retries.over_share_worth,
                "caps": {"most_tries": retries.most_tries, "connect_timeout": retries.connect_timeout_ms,
                         "keepalive": retries.servers_idle_ms, "open_cap": self.limits.open_requests,
                         "peer_messages": may_talk, "cancel": retries.may_cancel, "retry_after": retries.max_retry_after_ms > 0.0,
                         "max_retry_after": retries.max_retry_after_ms},
                "report": {"fields": self.report},
                "score_parts": {"slow_end": self.slow_end.weight, "borne_misses": self.slow_end.borne_misses},
                "rules": {"answer_slack": rules.answer_slack_ms, "stop_sending_within": rules.drain_grace_ms,
                          "dropped_stay_open": rules.dropped_stay_open,
                          "cold_from": rules.cold_from, "warm_up": rules.warm_up_ms,
                          "fall_multiple": rules.fall_multiple, "fall": rules.fall_ms}
            }
        });
        if let Some(agent) = self.discovery {
            whole["discovery"] = json!(agent);
        }
        if let Some(membership) = &self.membership {
            whole["membership"] = json!(membership);
        }
        if let Some(agreement) = &self.agreement {
            whole["agreement"] = json!(agreement);
        }
        if let Some(door) = self.ops {
            whole["ops"] = json!(door);
        }
        whole
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

impl ProductClass {
    fn platform(&self) -> Value {
        let semantics = match self.repeats {
            Repeats::Safe => "free",
            Repeats::Keyed => "guarded",
            Repeats::Unsafe => "single_shot",
        };
        json!({"name": self.name, "semantics": semantics, "group": self.keyed_within, "key_ttl": self.keyed_ms,
               "aim": self.aim_ms, "deadline": self.deadline_ms, "worth": self.worth, "late_worth": self.late_worth})
    }
}

/// Keys of the platform's form, and what they are called in a file of this form.
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

/// The key of such a file for one of the platform's form.
pub fn own_key(key: &str) -> String {
    let mut own = key.to_string();
    for (platform, product) in OWN_KEYS {
        match platform.strip_prefix('.') {
            // The last word of a path.
            Some(_) if own.ends_with(platform) => {
                own.truncate(own.len() - platform.len());
                own.push_str(product);
            }
            None if own.starts_with(platform) => {
                own = format!("{product}{}", &own[platform.len()..])
                    .trim_start_matches('.')
                    .to_string();
            }
            _ => {}
        }
    }
    own
}

fn line_at(text: &str, place: usize) -> usize {
    1 + text
        .bytes()
        .take(place)
        .filter(|byte| *byte == b'\n')
        .count()
}

/// The line, from 1, of a key such as `classes[0].aim_ms`; of what holds it where it is missing itself.
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let words = key
        .split(['.', '['])
        .map(|word| word.trim_end_matches(']'))
        .filter(|word| !word.is_empty());
    let root = DeValue::Table(table.into_inner());
    let (mut line, mut at) = (None, &root);
    for word in words {
        let next = match at {
            DeValue::Table(table) => {
                let found = table.iter().find(|(key, _)| key.get_ref().as_ref() == word);
                found.map(|(key, value)| (key.span().start, value))
            }
            DeValue::Array(items) => {
                let found = word.parse::<usize>().ok().and_then(|i| items.get(i));
                found.map(|item| (item.span().start, item))
            }
            _ => None,
        };
        let Some((place, value)) = next else { break };
        line = Some(line_at(text, place));
        at = value.get_ref();
    }
    line
}
