//! `[membership]` as it stands in a configuration, and what is wrong with it.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stairfront_gossip_membership::settings::{Settings, SettingsFault, Timing, MS};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSection {
    pub group: String,
    /// Where this member hears the others, by UDP and by TCP; an address of a private network.
    pub listen: SocketAddr,
    /// Where the others reach it, behind address translation; `listen` where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    pub roster: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub suspicion_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exchange_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hearsay_ms: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forget_ms: Option<f64>,
}

impl MembershipSection {
    /// For the balancer of this name. `run` and `born_ms` are those of a process, and are put in at its start.
    pub fn settings(&self, me: &str) -> Settings {
        let usual = Timing::default();
        let or = |given: Option<f64>, usual| given.map_or(usual, |ms| (ms * MS as f64) as i64);
        Settings {
            group: self.group.clone(),
            me: me.to_string(),
            advertise: self.advertise.unwrap_or(self.listen),
            seeds: self.seeds.clone(),
            roster: self.roster.clone(),
            times: Timing {
                probe: or(self.probe_ms, usual.probe),
                answer: or(self.answer_ms, usual.answer),
                suspicion: or(self.suspicion_ms, usual.suspicion),
                exchange: or(self.exchange_ms, usual.exchange),
                hearsay: or(self.hearsay_ms, usual.hearsay),
                forget: or(self.forget_ms, usual.forget),
            },
            run: 0,
            born_ms: 0,
            seed: 0,
        }
    }

    pub fn faults(&self, me: &str) -> Vec<SettingsFault> {
        let mut found = self.settings(me).faults();
        // Streams to others begin at this address, so that those on the way can tell whose they are.
        if self.listen.ip().is_unspecified() && self.advertise.is_none() {
            found.push((
                "advertise",
                "is needed where listen names no address".to_string(),
            ));
        }
        if self.listen.port() == 0 {
            found.push((
                "listen",
                "port 0 would be another one at each start".to_string(),
            ));
        }
        found
    }
}
