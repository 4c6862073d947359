//! The configuration a balancer is started with, read and checked here: the platform's JSON file, or a TOML file of an
//! install of its own (`product.rs`), which is put into the platform's form first.
use std::env;
use std::fs;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use stairfront_membership_agent::{MembershipSection, DESCRIPTORS};
use stairfront_raft_node::{AgreementSection, STORE_DESCRIPTORS};
use stairfront_settings::{Start, NOT_RETUNED};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::limits::{Memory, Sockets, MAX_SOCKETS};
use crate::configuration::toml_config;
use crate::control::server_list::{RawList, ServerList};

const CONFIG: &str = "ROUTER_CONFIG";
const OPERATORS: &str = "ROUTER_OPS";
/// Keys that a running balancer does not compare with a new file: the address of discovery takes effect at once, the
/// list and the seed are for a start alone.
const NOT_COMPARED: [&str; 3] = ["discovery", "known", "seed"];

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{CONFIG} is not set: it names the configuration file")]
    NoPath,
    #[error("{OPERATORS}: {address:?} is not an address and a port")]
    Operators { address: String },
    #[error("{path}: {problem}")]
    File {
        path: String,
        problem: std::io::Error,
    },
    #[error("{path}: {key}: {problem}")]
    Key {
        path: String,
        key: String,
        problem: String,
    },
    /// A key whose line is known.
    #[error("{path}:{line}: {key}: {problem}")]
    Line {
        path: String,
        line: usize,
        key: String,
        problem: String,
    },
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: RawList,
    membership: Option<MembershipSection>,
    agreement: Option<AgreementSection>,
    settings: Value,
}

impl Raw {
    /// Descriptors that are neither clients' nor servers': those of the membership, and of a voter's store.
    fn aside(&self) -> usize {
        let store = self
            .agreement
            .as_ref()
            .and_then(|agreement| agreement.store.as_ref());
        self.membership.as_ref().map_or(0, |_| DESCRIPTORS) + store.map_or(0, |_| STORE_DESCRIPTORS)
    }
}

#[derive(Deserialize, Default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

#[derive(Debug)]
pub struct Config {
    /// Where it was read from, and is read again on SIGHUP.
    pub path: String,
    /// The file as it stands, for comparison, without what is not compared.
    text: Value,
    pub name: String,
    pub listen: SocketAddr,
    /// Where discovery's agent is; without one the list in the file is all there is.
    pub discovery: Option<SocketAddr>,
    /// Where operators call; without one they cannot.
    pub operators: Option<SocketAddr>,
    pub seed: u64,
    pub sockets: Sockets,
    pub memory: Memory,
    pub known: ServerList,
    /// The group of balancers that this one is a member of; none, and nothing of it is there.
    pub membership: Option<MembershipSection>,
    /// What the balancers agree on, and through whom; none, and nothing of it is there.
    pub agreement: Option<AgreementSection>,
    pub start: Start,
}

impl Config {
    pub fn from_environment() -> Result<Self, ConfigError> {
        let mut config = Self::from_file(&env::var(CONFIG).map_err(|_| ConfigError::NoPath)?)?;
        // It goes before the file, so that two processes can share one during an upgrade.
        if let Ok(address) = env::var(OPERATORS) {
            config.operators = Some(
                address
                    .parse()
                    .map_err(|_| ConfigError::Operators { address })?,
            );
        }
        Ok(config)
    }

    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        match fs::read_to_string(path) {
            Ok(text) => Self::from_text(path, &text),
            Err(problem) => Err(ConfigError::File {
                path: path.to_string(),
                problem,
            }),
        }
    }

    /// `path` names the source in errors, and by its ending the form: TOML for `.toml`, else the platform's JSON.
    pub fn from_text(path: &str, text: &str) -> Result<Self, ConfigError> {
        let (whole, origin) = Self::whole(path, text)?;
        let (raw, problems) = Self::examine(&whole);
        match (raw, problems.into_iter().next()) {
            (Some(raw), None) => {
                Self::build(path, whole, raw).map_err(|(key, problem)| origin.fault(key, problem))
            }
            (_, Some((key, problem))) => Err(origin.fault(key, problem)),
            (None, None) => Err(origin.fault(".".to_string(), "no configuration".to_string())),
        }
    }

    /// Every fault of a configuration; none if `from_text` takes it.
    pub fn faults(path: &str, text: &str) -> Vec<ConfigError> {
        let (whole, origin) = match Self::whole(path, text) {
            Ok(read) => read,
            Err(fault) => return vec![fault],
        };
        let (raw, mut problems) = Self::examine(&whole);
        if let (Some(raw), true) = (raw, problems.is_empty()) {
            problems.extend(Self::build(path, whole, raw).err());
        }
        problems
            .into_iter()
            .map(|(key, problem)| origin.fault(key, problem))
            .collect()
    }

    /// The file in the platform's form, and where each of its keys came from.
    fn whole(path: &str, text: &str) -> Result<(Value, Origin), ConfigError> {
        if path.ends_with(".toml") {
            let whole =
                toml_config::read(text).map_err(|fault| product_fault(path, text, fault))?;
            return Ok((
                whole,
                Origin {
                    path: path.to_string(),
                    toml: Some(text.to_string()),
                },
            ));
        }
        let origin = Origin {
            path: path.to_string(),
            toml: None,
        };
        // Read into its types first: an error of theirs names the key and the line.
        serde_path_to_error::deserialize::<_, Raw>(&mut serde_json::Deserializer::from_str(text))
            .map_err(|e| {
            // Broken syntax has no key, and its problem tells line and column.
            let key = e.path().to_string();
            origin.fault(
                if key == "?" { "syntax".into() } else { key },
                e.inner().to_string(),
            )
        })?;
        let whole =
            serde_json::from_str(text).map_err(|e| origin.fault(".".into(), e.to_string()))?;
        Ok((whole, origin))
    }

    /// What can be said before anything is built from it, fault by fault.
    fn examine(whole: &Value) -> (Option<Raw>, Vec<(String, String)>) {
        let raw: Raw = match serde_path_to_error::deserialize(whole) {
            Ok(raw) => raw,
            Err(e) => return (None, vec![(e.path().to_string(), e.inner().to_string())]),
        };
        let mut problems = Vec::new();
        let faults = Start::faults(raw.settings.clone());
        problems.extend(
            faults
                .into_iter()
                .map(|e| (format!("settings.{}", e.key), e.problem)),
        );
        if let Some(membership) = &raw.membership {
            let faults = membership.validate(&raw.name);
            problems.extend(
                faults
                    .into_iter()
                    .map(|error| (format!("membership.{}", error.key), error.reason)),
            );
            let allowed = &raw.settings["caps"]["peer_messages"];
            if *allowed != Value::Bool(true) {
                let problem =
                    "cannot stand beside settings.caps.peer_messages = false: the balancers here may not \
                               talk to each other";
                problems.push(("membership".to_string(), problem.to_string()));
            }
        }
        if let Some(agreement) = &raw.agreement {
            let roster = raw
                .membership
                .as_ref()
                .map(|membership| &membership.roster[..]);
            let errors = agreement.errors(roster);
            problems.extend(
                errors
                    .iter()
                    .map(|error| (format!("agreement.{}", error.key()), error.to_string())),
            );
        }
        let aside = raw.aside();
        let limits = [
            (
                "limits.sockets",
                raw.limits.sockets.unwrap_or(MAX_SOCKETS),
                Sockets::MIN + aside,
            ),
            (
                "limits.memory_mb",
                raw.limits.memory_mb.unwrap_or(Memory::DEFAULT_MB),
                Memory::MIN_MB,
            ),
        ];
        for (key, given, fewest) in limits {
            if given < fewest {
                problems.push((
                    key.to_string(),
                    format!("{given} is too few, {fewest} at least"),
                ));
            }
        }
        (Some(raw), problems)
    }

    fn build(path: &str, mut whole: Value, raw: Raw) -> Result<Self, (String, String)> {
        let aside = raw.aside();
        let start = Start::from_value(raw.settings)
            .map_err(|e| (format!("settings.{}", e.key), e.problem))?;
        let list = raw.known.read(&start.names);
        let known = list.map_err(|e| ("known.endpoints".to_string(), e.to_string()))?;
        if let Some(keys) = whole.as_object_mut() {
            NOT_COMPARED.iter().for_each(|key| drop(keys.remove(*key)));
        }
        Ok(Config {
            path: path.to_string(),
            text: whole,
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            operators: raw.ops,
            seed: seed(&raw.seed),
            sockets: Sockets::split(raw.limits.sockets.unwrap_or(MAX_SOCKETS), aside),
            memory: Memory::of(raw.limits.memory_mb.unwrap_or(Memory::DEFAULT_MB)),
            known,
            membership: raw.membership,
            agreement: raw.agreement,
            start,
        })
    }
}

/// Where a configuration came from, to name its faults by.
struct Origin {
    path: String,
    /// Its text, where it is an install's own TOML file.
    toml: Option<String>,
}

impl Origin {
    /// A fault of a key of the platform's form, named as it stands in the file.
    fn fault(&self, key: String, problem: String) -> ConfigError {
        let path = self.path.clone();
        let Some(text) = &self.toml else {
            return ConfigError::Key { path, key, problem };
        };
        let key = toml_config::own_key(&key);
        match toml_config::line_of(text, &key) {
            Some(line) => ConfigError::Line {
                path,
                line,
                key,
                problem,
            },
            None => ConfigError::Key { path, key, problem },
        }
    }
}

fn product_fault(path: &str, text: &str, fault: toml_config::Fault) -> ConfigError {
    let (path, toml_config::Fault { key, problem, line }) = (path.to_string(), fault);
    match line.or_else(|| toml_config::line_of(text, &key)) {
        Some(line) => ConfigError::Line {
            path,
            line,
            key,
            problem,
        },
        None => ConfigError::Key { path, key, problem },
    }
}

impl Config {
    /// Keys in which `new` differs and that take effect at a start only, as paths.
    pub fn needs_restart(&self, new: &Config) -> Vec<String> {
        let mut paths = Vec::new();
        differing(String::new(), &self.text, &new.text, &mut paths);
        paths.retain(|path| match path.strip_prefix("settings.") {
            Some(key) => NOT_RETUNED.contains(&key.split('.').next().unwrap_or_default()),
            None => true,
        });
        paths
    }

    /// Danger: a file that lacks a key which this one has was cut or lost in editing; taken over it would have that key
    /// at its default, which nobody has asked for. A TOML file is written by hand and may leave out what it likes.
    pub fn is_followed_by(&self, new: Config) -> Result<Config, ConfigError> {
        let lacking = if self.path.ends_with(".toml") {
            None
        } else {
            lacking("", &self.text, &new.text)
        };
        match lacking {
            Some(key) => {
                let problem = "missing, though the configuration in use has it".to_string();
                Err(ConfigError::Key {
                    path: new.path,
                    key,
                    problem,
                })
            }
            None => Ok(new),
        }
    }
}

/// Keys that go with others' values: a class that is safe to repeat has none of them.
const OPTIONAL: [&str; 2] = ["group", "key_ttl"];

/// The first key, as a path, that `old` has and `new` lacks. Of lists, the keys that all entries had.
fn lacking(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(olds), Value::Object(news)) => olds.iter().find_map(|(key, old)| {
            let path = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            match news.get(key) {
                Some(new) => lacking(&path, old, new),
                None => Some(path).filter(|_| !OPTIONAL.contains(&key.as_str())),
            }
        }),
        (Value::Array(olds), Value::Array(news)) => {
            let common = olds
                .first()?
                .as_object()?
                .iter()
                .filter(|(key, _)| olds.iter().all(|old| old.get(key).is_some()));
            let common: Value = common.map(|(key, _)| (key.clone(), Value::Null)).collect();
            news.iter()
                .enumerate()
                .find_map(|(i, new)| lacking(&format!("{path}[{i}]"), &common, new))
        }
        _ => None,
    }
}

/// Paths of the keys in which two values differ, down to those that hold no further keys.
fn differing(path: String, old: &Value, new: &Value, paths: &mut Vec<String>) {
    let (Value::Object(olds), Value::Object(news)) = (old, new) else {
        if old != new {
            paths.push(path);
        }
        return;
    };
    let added = news.keys().filter(|key| !olds.contains_key(*key));
    for key in olds.keys().chain(added) {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        let of =
            |keys: &serde_json::Map<String, Value>| keys.get(key).cloned().unwrap_or(Value::Null);
        differing(path, &of(olds), &of(news), paths);
    }
}

/// Any text is a seed; the usual one is 16 hexadecimal digits.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}
