//! Settings of one member, and their validation.
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS, SECOND};

/// Largest number of members in a roster. The state of so many takes some 30 KB in a push/pull exchange.
pub const MAX_ROSTER: usize = 512;
/// Largest number of known members that the roster does not name; such members have another configuration.
pub const MAX_OTHERS: usize = 64;
/// Longest name of a member or a group, in bytes: several have to fit in a datagram.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest name of a cache host, in bytes.
pub const MAX_HOST_BYTES: usize = 255;
/// Largest number of seed addresses.
const MAX_SEEDS: usize = 64;

/// Intervals and timeouts of the protocol. With the defaults, all members of a group of 60 consider a killed member failed
/// within 5 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two probes by a member (SWIM's protocol period).
    pub probe_interval: Micros,
    /// Time that a direct probe has for its ack; the remainder of the interval is for indirect probes. It has to cover the
    /// round trip with its jitter.
    pub ack_timeout: Micros,
    /// Shortest time between suspicion and failure in a group of one; each tenfold of the group's size adds half of it.
    pub min_suspicion_timeout: Micros,
    /// Mean interval between two push/pull exchanges with a random member.
    pub push_pull_interval: Micros,
    /// Time for which a drain hint keeps new requests from a host that the own endpoint list does not confirm to drain.
    pub drain_hint_ttl: Micros,
    /// Time after which a failed or left member that the roster does not name is forgotten.
    pub forget_after: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe_interval: 400 * MS,
            ack_timeout: 150 * MS,
            min_suspicion_timeout: 1000 * MS,
            push_pull_interval: 10 * SECOND,
            drain_hint_ttl: 5 * SECOND,
            forget_after: 600 * SECOND,
        }
    }
}

/// Settings of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the group; packets of other groups are ignored.
    pub group: String,
    /// Name of this member.
    pub name: String,
    /// Address at which the others reach this member.
    pub advertise: SocketAddr,
    /// Addresses of some of the other members, for joining the group.
    pub seeds: Vec<SocketAddr>,
    /// Names of all members that the group is meant to have, this one included; the same at each member.
    pub roster: Vec<String>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Random number that identifies this process among all that run, or ran, under this name.
    pub process_id: u64,
    /// Start of this process in Unix milliseconds; the first incarnation.
    pub started_unix_ms: u64,
    /// Seed of all random decisions of this member.
    pub seed: u64,
}

/// A setting with a value that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct SettingsError {
    /// Key of the setting in the configuration file's `[membership]` section.
    pub key: &'static str,
    /// The rule that the value breaks, for operators.
    pub reason: String,
}

impl SettingsError {
    /// An error of the setting `key`.
    #[must_use]
    pub fn new(key: &'static str, reason: impl Into<String>) -> Self {
        SettingsError {
            key,
            reason: reason.into(),
        }
    }
}

/// Collects the errors of settings that break a rule.
#[derive(Default)]
struct Validator {
    errors: Vec<SettingsError>,
}

impl Validator {
    fn require(&mut self, holds: bool, key: &'static str, reason: &str) {
        if !holds {
            self.errors.push(SettingsError::new(key, reason));
        }
    }
}

impl Settings {
    /// All settings with unusable values, empty for valid settings.
    #[must_use]
    pub fn validate(&self) -> Vec<SettingsError> {
        let mut validator = Validator::default();
        self.validate_names(&mut validator);
        self.validate_addresses(&mut validator);
        self.timing.validate(&mut validator);
        validator.errors
    }

    fn validate_names(&self, validator: &mut Validator) {
        let is_valid = |name: &String| is_valid_name(name, MAX_NAME_BYTES);
        validator.require(
            is_valid(&self.group),
            "group",
            "must be a name of 1 to 64 bytes without control characters",
        );
        validator.require(
            (1..=MAX_ROSTER).contains(&self.roster.len()) && self.roster.iter().all(is_valid),
            "roster",
            "must be 1 to 512 names of 1 to 64 bytes each",
        );
        let mut sorted = self.roster.clone();
        sorted.sort();
        let duplicate = sorted.windows(2).find(|pair| pair[0] == pair[1]);
        validator.require(
            duplicate.is_none(),
            "roster",
            &format!("names {:?} twice", duplicate.map_or("", |pair| &pair[0])),
        );
        validator.require(
            self.roster.contains(&self.name),
            "roster",
            &format!("does not name this balancer ({:?})", self.name),
        );
    }

    fn validate_addresses(&self, validator: &mut Validator) {
        validator.require(self.seeds.len() <= MAX_SEEDS, "seeds", "64 at most");
        validator.require(
            self.seeds.iter().all(|seed| seed.port() > 0),
            "seeds",
            "an address with port 0 reaches nobody",
        );
        validator.require(
            self.advertise.port() > 0 && !self.advertise.ip().is_unspecified(),
            "advertise",
            "must be an address and a port that the others can reach",
        );
    }
}

impl Timing {
    fn validate(&self, validator: &mut Validator) {
        validator.require(
            (100 * MS..=60 * SECOND).contains(&self.probe_interval),
            "probe_ms",
            "must be between 100 and 60,000",
        );
        validator.require(
            self.ack_timeout >= 20 * MS && self.ack_timeout * 2 <= self.probe_interval,
            "answer_ms",
            "must be from 20 to half of probe_ms",
        );
        validator.require(
            (self.probe_interval..=600 * SECOND).contains(&self.min_suspicion_timeout),
            "suspicion_ms",
            "must be from probe_ms to 600,000",
        );
        validator.require(
            (SECOND..=3600 * SECOND).contains(&self.push_pull_interval),
            "exchange_ms",
            "must be between 1,000 and an hour",
        );
        validator.require(
            (100 * MS..=60 * SECOND).contains(&self.drain_hint_ttl),
            "hearsay_ms",
            "must be between 100 and 60,000",
        );
        validator.require(
            (10 * SECOND..=30 * 86_400 * SECOND).contains(&self.forget_after),
            "forget_ms",
            "must be from 10,000 up",
        );
    }
}

/// Whether a name has 1 to `max_bytes` bytes and no control characters: a line break in a name would forge a line of the
/// log.
#[must_use]
pub fn is_valid_name(name: &str, max_bytes: usize) -> bool {
    (1..=max_bytes).contains(&name.len()) && !name.chars().any(char::is_control)
}
