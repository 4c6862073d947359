//! The part of an experiment that makes its balancers a group.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use stairfront_common::time::{from_ms, Micros, SECOND};
use stairfront_emulator::group_script::{FaultBudget, GroupScript, TimedGroupFault};

use crate::maintenance::MaintenanceSettings;

/// Number of members that others are given as seeds.
const SEED_MEMBERS: usize = 3;

/// Settings of a group of balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GroupSettings {
    /// False: the processes know nothing of each other, under the same faults.
    #[serde(rename = "knows")]
    pub membership: bool,
    /// Faults at the times given here.
    #[serde(rename = "troubles")]
    pub faults: Vec<TimedGroupFault>,
    /// Faults drawn from the run's seed, from `first_s` on.
    #[serde(rename = "drawn")]
    pub random_faults: Option<FaultBudget>,
    /// Time of the first drawn fault and the first order, in seconds.
    pub first_s: f64,
    /// Mean time between two cordon orders for the group, in seconds; 0 for none.
    #[serde(rename = "orders_every_s")]
    pub order_interval_s: f64,
    /// Time after the last fault within which all members must be complete and agree, in seconds.
    #[serde(rename = "whole_again_s")]
    pub recovery_timeout_s: f64,
    /// Random datagrams a second to every member's address.
    #[serde(rename = "rubbish_per_s")]
    pub junk_datagrams_per_s: f64,
    /// Other times of `[membership]`, such as `probe_ms`.
    #[serde(rename = "times")]
    pub membership_times: BTreeMap<String, f64>,
    /// Plans of maintenance, which the balancers agree on.
    pub maintenance: Option<MaintenanceSettings>,
    /// False: they know each other, and agree on nothing.
    #[serde(rename = "agrees")]
    pub agreement: bool,
}

impl Default for GroupSettings {
    fn default() -> Self {
        GroupSettings {
            membership: true,
            faults: Vec::new(),
            random_faults: None,
            first_s: 6.0,
            order_interval_s: 0.0,
            recovery_timeout_s: 8.0,
            junk_datagrams_per_s: 0.0,
            membership_times: BTreeMap::new(),
            maintenance: None,
            agreement: true,
        }
    }
}

/// Addresses of a member for its group.
pub(super) struct MemberAddresses {
    pub(super) listen: SocketAddr,
    pub(super) advertise: SocketAddr,
}

impl GroupSettings {
    /// The faults of a run, drawn and listed, in the order of their times.
    pub fn script(&self, seed: u64, members: usize) -> GroupScript {
        let first = from_ms(self.first_s * 1e3);
        let drawn = self
            .random_faults
            .map(|budget| GroupScript::draw(seed, members, budget, first));
        let mut script = drawn.unwrap_or(GroupScript {
            members,
            faults: Vec::new(),
        });
        script.faults.extend(self.faults.iter().cloned());
        script.faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        script
    }

    /// How long a run goes on after its last fault: the time for recovery, and a second.
    pub fn time_after_faults(&self) -> Micros {
        from_ms(self.recovery_timeout_s * 1e3) + SECOND
    }

    /// Sets the keys of a balancer's configuration that make it a member.
    pub(super) fn configure(
        &self,
        config: &mut Value,
        member: usize,
        folder: &Path,
        addresses: &MemberAddresses,
        advertised: &[SocketAddr],
    ) {
        if !self.membership {
            return;
        }
        let roster: Vec<String> = (0..advertised.len()).map(|i| format!("b{i}")).collect();
        let seeds: Vec<&SocketAddr> = advertised.iter().take(SEED_MEMBERS).collect();
        config["name"] = json!(format!("b{member}"));
        config["membership"] = json!({
            "group": "lab",
            "listen": addresses.listen,
            "advertise": addresses.advertise,
            "seeds": seeds,
            "roster": roster,
        });
        for (key, value) in &self.membership_times {
            config["membership"][key] = json!(value);
        }
        config["settings"]["caps"]["peer_messages"] = json!(true);
        if let Some(plan) = self.maintenance.as_ref().filter(|_| self.agreement) {
            let voters: Vec<String> = (0..plan.voters).map(|i| format!("b{i}")).collect();
            config["agreement"] = json!({"voters": voters});
            if plan.disks && member < plan.voters {
                config["agreement"]["store"] = json!(folder.join("agreement.redb"));
            }
        }
    }
}
