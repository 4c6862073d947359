//! The configuration that a balancer is started with: the platform's JSON file, or a TOML file of an install of its own
//! (`toml_config.rs`), which is put into the platform's form first.
use std::env;
use std::fs;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use stairfront_membership_agent::{MembershipSection, DESCRIPTORS};
use stairfront_raft_node::{AgreementSection, STORE_DESCRIPTORS};
use stairfront_settings::{LoadedSettings, FIXED_KEYS};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::difference::differing_keys;
use crate::configuration::error::{ConfigError, KeyError, Source, ADMIN_VARIABLE, CONFIG_VARIABLE};
use crate::configuration::limits::{Sockets, MAX_SOCKETS};
use crate::configuration::memory::Memory;
use crate::configuration::missing_key::missing_key;
use crate::configuration::toml_config;
use crate::control::server_list::{RawList, ServerList};

/// Keys whose values a running balancer does not compare with those of a new file: the address of discovery takes effect at
/// once, the list and the seed are for a start alone.
const NOT_COMPARED: [&str; 3] = ["discovery", "known", "seed"];

/// The file in the platform's form.
#[derive(Deserialize)]
struct RawConfig {
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

#[derive(Deserialize, Default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl RawConfig {
    /// Descriptors that are neither clients' nor servers': those of the membership agent, and of a voter's store.
    fn reserved_descriptors(&self) -> usize {
        let store = self
            .agreement
            .as_ref()
            .and_then(|agreement| agreement.store.as_ref());
        self.membership.as_ref().map_or(0, |_| DESCRIPTORS) + store.map_or(0, |_| STORE_DESCRIPTORS)
    }

    fn max_sockets(&self) -> usize {
        self.limits.sockets.unwrap_or(MAX_SOCKETS)
    }

    fn limit_mb(&self) -> usize {
        self.limits.memory_mb.unwrap_or(Memory::DEFAULT_MB)
    }

    /// Every error that can be found before anything is built.
    fn errors(&self) -> Vec<KeyError> {
        let mut errors: Vec<KeyError> = LoadedSettings::errors(self.settings.clone())
            .into_iter()
            .map(|error| KeyError::within("settings", &error.key, error.error))
            .collect();
        errors.extend(self.group_errors());
        errors.extend(self.limit_errors());
        errors
    }

    fn group_errors(&self) -> Vec<KeyError> {
        let mut errors = Vec::new();
        if let Some(membership) = &self.membership {
            let found = membership.validate(&self.name).into_iter();
            errors
                .extend(found.map(|error| KeyError::within("membership", error.key, error.reason)));
            if self.settings["caps"]["peer_messages"] != Value::Bool(true) {
                errors.push(KeyError::new(
                    "membership",
                    "cannot stand beside settings.caps.peer_messages = false: the balancers here may not \
                     talk to each other",
                ));
            }
        }
        if let Some(agreement) = &self.agreement {
            let roster = self
                .membership
                .as_ref()
                .map(|membership| &membership.roster[..]);
            let found = agreement.errors(roster).into_iter();
            errors.extend(
                found.map(|error| KeyError::within("agreement", error.key(), error.to_string())),
            );
        }
        errors
    }

    fn limit_errors(&self) -> Vec<KeyError> {
        let min_sockets = Sockets::MIN + self.reserved_descriptors();
        let limits = [
            ("limits.sockets", self.max_sockets(), min_sockets),
            ("limits.memory_mb", self.limit_mb(), Memory::MIN_MB),
        ];
        let too_low = limits.into_iter().filter(|(_, given, min)| given < min);
        too_low
            .map(|(key, given, min)| {
                KeyError::new(key, format!("{given} is too few, {min} at least"))
            })
            .collect()
    }
}

/// A configuration that has been checked.
#[derive(Debug)]
pub struct Config {
    /// Where it was read from, and is read again on SIGHUP.
    pub path: String,
    /// The file in the platform's form, for comparison, without the keys that are not compared.
    compared: Value,
    /// The JSON file as it was written; none of a TOML file, which may leave keys out. As a text it takes less memory than
    /// its values, and is looked at only when another file comes.
    written: Option<Box<str>>,
    /// Name of this balancer.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Address of discovery's agent; without one the list in the file is all there is.
    pub discovery: Option<SocketAddr>,
    /// Where operators call the admin API; without one there is none.
    pub admin: Option<SocketAddr>,
    /// Seed of this balancer's random numbers.
    pub seed: u64,
    /// The descriptors.
    pub sockets: Sockets,
    /// The memory.
    pub memory: Memory,
    /// The list of servers to start with.
    pub known: ServerList,
    /// The group that this balancer is a member of, where there is one.
    pub membership: Option<MembershipSection>,
    /// The voters by which the group agrees, where it agrees on anything.
    pub agreement: Option<AgreementSection>,
    /// The settings of the decision module, and what goes with them.
    pub start: LoadedSettings,
}

impl Config {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if there is none, or it has an error.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::NoPath)?;
        let mut config = Self::from_file(&path)?;
        // The variable overrides the file, so that two processes can share one file during an upgrade.
        if let Ok(address) = env::var(ADMIN_VARIABLE) {
            let parsed = address.parse();
            config.admin = Some(parsed.map_err(|_| ConfigError::AdminAddress { address })?);
        }
        Ok(config)
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if it cannot be read or has an error.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        match fs::read_to_string(path) {
            Ok(text) => Self::from_text(path, &text),
            Err(source) => Err(ConfigError::File {
                path: path.to_string(),
                source,
            }),
        }
    }

    /// Reads a text. `path` names the source in errors, and by its ending the form: TOML for `.toml`, else the platform's
    /// JSON.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] for the first error.
    pub fn from_text(path: &str, text: &str) -> Result<Self, ConfigError> {
        let (platform, source) = platform_form(path, text)?;
        let config = Self::from_platform(path, platform);
        let config = config.map_err(|errors| source.error(first(errors)))?;
        let written = (!is_toml(path)).then(|| text.into());
        Ok(Config { written, ..config })
    }

    /// Every error of a text; none if `from_text` accepts it.
    pub fn errors(path: &str, text: &str) -> Vec<ConfigError> {
        let (platform, source) = match platform_form(path, text) {
            Ok(read) => read,
            Err(error) => return vec![error],
        };
        let errors = Self::from_platform(path, platform).err();
        errors
            .unwrap_or_default()
            .into_iter()
            .map(|error| source.error(error))
            .collect()
    }

    /// Checks and builds a configuration. There is at least one error where it fails.
    fn from_platform(path: &str, platform: Value) -> Result<Self, Vec<KeyError>> {
        let raw: RawConfig = serde_path_to_error::deserialize(&platform)
            .map_err(|error| vec![KeyError::new(error.path().to_string(), error.inner())])?;
        let errors = raw.errors();
        if !errors.is_empty() {
            return Err(errors);
        }
        Self::build(path, platform, raw).map_err(|error| vec![error])
    }

    fn build(path: &str, mut platform: Value, raw: RawConfig) -> Result<Self, KeyError> {
        let sockets = Sockets::split(raw.max_sockets(), raw.reserved_descriptors())
            .within_memory(raw.limit_mb());
        let memory = Memory::divide(raw.limit_mb(), sockets);
        let start = LoadedSettings::from_value(raw.settings)
            .map_err(|error| KeyError::within("settings", &error.key, error.error))?;
        let known = raw
            .known
            .read(&start.names)
            .map_err(|error| KeyError::new("known.endpoints", error))?;
        if let Some(keys) = platform.as_object_mut() {
            for key in NOT_COMPARED {
                keys.remove(key);
            }
        }
        Ok(Config {
            path: path.to_string(),
            compared: platform,
            written: None,
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            admin: raw.ops,
            seed: seed(&raw.seed),
            sockets,
            memory,
            known,
            membership: raw.membership,
            agreement: raw.agreement,
            start,
        })
    }

    /// Keys in which `new` differs and that take effect at a start only, as paths.
    pub fn needs_restart(&self, new: &Config) -> Vec<String> {
        let mut paths = Vec::new();
        differing_keys(String::new(), &self.compared, &new.compared, &mut paths);
        paths.retain(|path| match path.strip_prefix("settings.") {
            Some(key) => FIXED_KEYS.contains(&key.split('.').next().unwrap_or_default()),
            None => true,
        });
        paths
    }

    /// Accepts a new configuration of a running balancer. A JSON file that lacks a key which the last accepted one has was
    /// cut or lost in editing, and would set that key to its default; a TOML file is written by hand and may leave keys out.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Key`] for the first key that is missing.
    pub fn accept_successor(&self, new: Config) -> Result<Config, ConfigError> {
        let missing = match (&self.written, &new.written) {
            (Some(old), Some(new)) => missing_key(&written_value(old), &written_value(new)),
            _ => None,
        };
        match missing {
            Some(key) => Err(ConfigError::Key {
                path: new.path,
                key,
                problem: "missing, though the configuration in use has it".to_string(),
            }),
            None => Ok(new),
        }
    }

    /// Notes that a new configuration was accepted: the next file is compared with what was written there.
    pub fn note_accepted(&mut self, new: Config) {
        self.discovery = new.discovery;
        self.written = new.written;
    }
}

/// The value of a text that was read before.
fn written_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

fn first(errors: Vec<KeyError>) -> KeyError {
    let first = errors.into_iter().next();
    first.unwrap_or_else(|| KeyError::new(".", "no configuration"))
}

fn is_toml(path: &str) -> bool {
    path.ends_with(".toml")
}

/// The file in the platform's form, and where it came from.
fn platform_form(path: &str, text: &str) -> Result<(Value, Source), ConfigError> {
    let is_toml = is_toml(path);
    let source = Source {
        path: path.to_string(),
        toml: is_toml.then(|| text.to_string()),
    };
    if is_toml {
        let platform = toml_config::read(text).map_err(|error| source.toml_error(error))?;
        return Ok((platform, source));
    }
    // The text is read into its types first, because an error of theirs names the key and the line.
    let mut deserializer = serde_json::Deserializer::from_str(text);
    if let Err(error) = serde_path_to_error::deserialize::<_, RawConfig>(&mut deserializer) {
        // Broken syntax has no key, and its message names line and column.
        let key = match error.path().to_string() {
            path if path == "?" => "syntax".to_string(),
            path => path,
        };
        return Err(source.error(KeyError::new(key, error.inner())));
    }
    let platform =
        serde_json::from_str(text).map_err(|error| source.error(KeyError::new(".", error)))?;
    Ok((platform, source))
}

/// Any text is a seed; the usual one is 16 hexadecimal digits.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}
