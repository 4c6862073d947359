//! The configuration a balancer is started with: one JSON file, read and checked here.
use std::env;
use std::fs;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use stairfront_settings::Start;
use xxhash_rust::xxh3::xxh3_64;

use crate::limits::{Memory, Sockets, MOST_SOCKETS};
use crate::server_list::{RawList, ServerList};

const CONFIG: &str = "ROUTER_CONFIG";
/// Keys that a running balancer does not compare with a new file: the address of discovery takes effect at once, the
/// list and the seed are for a start alone.
const NOT_COMPARED: [&str; 3] = ["discovery", "known", "seed"];

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{CONFIG} is not set: it names the configuration file")]
    NoPath,
    #[error("{path}: {problem}")]
    File { path: String, problem: std::io::Error },
    #[error("{path}: {key}: {problem}")]
    Key { path: String, key: String, problem: String },
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: RawList,
    settings: Value,
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
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: Sockets,
    pub memory: Memory,
    pub known: ServerList,
    pub start: Start,
}

impl Config {
    pub fn from_environment() -> Result<Self, ConfigError> {
        Self::from_file(&env::var(CONFIG).map_err(|_| ConfigError::NoPath)?)
    }

    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        match fs::read_to_string(path) {
            Ok(text) => Self::from_text(path, &text),
            Err(problem) => Err(ConfigError::File { path: path.to_string(), problem }),
        }
    }

    /// `path` only names the source in errors.
    pub fn from_text(path: &str, text: &str) -> Result<Self, ConfigError> {
        let fault = |key: String, problem: String| ConfigError::Key { path: path.to_string(), key, problem };
        let raw: Raw = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))
            .map_err(|e| fault(e.path().to_string(), e.inner().to_string()))?;
        let mut whole: Value = serde_json::from_str(text).map_err(|e| fault(".".into(), e.to_string()))?;
        if let Some(keys) = whole.as_object_mut() {
            NOT_COMPARED.iter().for_each(|key| drop(keys.remove(*key)));
        }
        let start =
            Start::from_value(raw.settings).map_err(|e| fault(format!("settings.{}", e.key), e.problem))?;
        let sockets = raw.limits.sockets.unwrap_or(MOST_SOCKETS);
        if sockets < Sockets::FEWEST {
            let problem = format!("{sockets} is too few, {} at least", Sockets::FEWEST);
            return Err(fault("limits.sockets".to_string(), problem));
        }
        let memory_mb = raw.limits.memory_mb.unwrap_or(Memory::USUAL_MB);
        if memory_mb < Memory::FEWEST_MB {
            let problem = format!("{memory_mb} is too few, {} at least", Memory::FEWEST_MB);
            return Err(fault("limits.memory_mb".to_string(), problem));
        }
        let known =
            raw.known.read(&start.names).map_err(|e| fault("known.endpoints".to_string(), e.to_string()))?;
        Ok(Config {
            path: path.to_string(),
            text: whole,
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            seed: seed(&raw.seed),
            sockets: Sockets::split(sockets),
            memory: Memory::of(memory_mb),
            known,
            start,
        })
    }
}

impl Config {
    /// Keys in which `new` differs and that take effect at a start only, as paths.
    pub fn needs_restart(&self, new: &Config) -> Vec<String> {
        let mut paths = Vec::new();
        differing(String::new(), &self.text, &new.text, &mut paths);
        paths
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
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let of = |keys: &serde_json::Map<String, Value>| keys.get(key).cloned().unwrap_or(Value::Null);
        differing(path, &of(olds), &of(news), paths);
    }
}

/// Any text is a seed; the usual one is 16 hexadecimal digits.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}
