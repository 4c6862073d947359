//! The `[membership]` section of a configuration.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stairfront_common::time::{Micros, MS};
use stairfront_gossip_membership::{Settings, SettingsError, Timing};

/// The `[membership]` section. Durations are in milliseconds; [`Timing`] has their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSection {
    /// Name of the group.
    pub group: String,
    /// Address of this member's sockets, UDP and TCP; in a private network.
    pub listen: SocketAddr,
    /// Address at which the others reach this member, behind address translation; by default `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Addresses of some of the other members.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Names of all members, the same at each of them.
    pub roster: Vec<String>,
    /// Interval between two probes.
    #[serde(rename = "probe_ms", default, skip_serializing_if = "Option::is_none")]
    pub probe_interval_ms: Option<f64>,
    /// Time for the ack of a direct probe.
    #[serde(rename = "answer_ms", default, skip_serializing_if = "Option::is_none")]
    pub ack_timeout_ms: Option<f64>,
    /// Shortest time between suspicion and failure.
    #[serde(
        rename = "suspicion_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub min_suspicion_timeout_ms: Option<f64>,
    /// Mean interval between two push/pull exchanges.
    #[serde(
        rename = "exchange_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub push_pull_interval_ms: Option<f64>,
    /// Time for which a drain hint holds.
    #[serde(
        rename = "hearsay_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub drain_hint_ttl_ms: Option<f64>,
    /// Time after which a failed or left member beside the roster is forgotten.
    #[serde(rename = "forget_ms", default, skip_serializing_if = "Option::is_none")]
    pub forget_after_ms: Option<f64>,
}

impl MembershipSection {
    /// The settings of the balancer `name`. The identity, start and seed of the process are 0 until it starts.
    #[must_use]
    pub fn settings(&self, name: &str) -> Settings {
        Settings {
            group: self.group.clone(),
            name: name.to_string(),
            advertise: self.advertise.unwrap_or(self.listen),
            seeds: self.seeds.clone(),
            roster: self.roster.clone(),
            timing: self.timing(),
            process_id: 0,
            started_unix_ms: 0,
            seed: 0,
        }
    }

    fn timing(&self) -> Timing {
        // Fractions of a microsecond are cut off, as the settings of earlier versions did.
        let micros = |ms: f64| (ms * MS as f64) as Micros;
        let or_default =
            |configured: Option<f64>, default: Micros| configured.map_or(default, micros);
        let default = Timing::default();
        Timing {
            probe_interval: or_default(self.probe_interval_ms, default.probe_interval),
            ack_timeout: or_default(self.ack_timeout_ms, default.ack_timeout),
            min_suspicion_timeout: or_default(
                self.min_suspicion_timeout_ms,
                default.min_suspicion_timeout,
            ),
            push_pull_interval: or_default(self.push_pull_interval_ms, default.push_pull_interval),
            drain_hint_ttl: or_default(self.drain_hint_ttl_ms, default.drain_hint_ttl),
            forget_after: or_default(self.forget_after_ms, default.forget_after),
        }
    }

    /// All settings of the section with unusable values, for the balancer `name`.
    #[must_use]
    pub fn validate(&self, name: &str) -> Vec<SettingsError> {
        let mut errors = self.settings(name).validate();
        // Streams to others are opened from this address, so that their origin can be told on the way.
        if self.listen.ip().is_unspecified() && self.advertise.is_none() {
            errors.push(SettingsError::new(
                "advertise",
                "is needed where listen names no address",
            ));
        }
        if self.listen.port() == 0 {
            errors.push(SettingsError::new(
                "listen",
                "port 0 would be another one at each start",
            ));
        }
        errors
    }
}
