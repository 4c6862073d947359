//! An observer of the machines that are out.
use std::collections::{BTreeMap, BTreeSet};

use stairfront_maintenance::{Fleet, Host, Machine, Maintenance, Plan, Stage};

/// The plan by which each machine is out, as the observer counts it.
#[derive(Default)]
pub struct Observer {
    out: BTreeMap<String, u64>,
}

/// Hosts of a zone: all, and those in service.
#[derive(Default)]
struct ZoneCount {
    all: usize,
    in_service: usize,
}

impl Observer {
    pub fn observe(&mut self, state: &Maintenance) {
        let mut out = BTreeMap::new();
        for plan in &state.view().plans {
            for machine in &plan.machines {
                let is_out = matches!(
                    machine.stage,
                    Stage::Notified | Stage::Draining | Stage::Out | Stage::WarmingUp
                );
                if is_out {
                    let other_plan = out.insert(machine.machine.clone(), plan.plan);
                    assert!(other_plan.is_none(), "{} is out twice", machine.machine);
                }
            }
        }
        self.out = out;
    }

    /// Checks the limits of all plans, and what remains in service if a machine was just taken out. Machines that fail by
    /// themselves may leave less than a plan wants; then nothing further may be taken out.
    pub fn check(&self, fleet: &Fleet, plans: &BTreeMap<u64, Plan>, taken_out: Option<&Machine>) {
        for (number, plan) in plans {
            let out = self.out.values().filter(|of| *of == number).count();
            assert!(out <= plan.max_out as usize, "{out} of plan {number}");
        }
        match taken_out {
            Some(Machine::Balancer(_)) => self.check_voters(fleet),
            Some(Machine::Cache(_)) => self.check_hosts(fleet),
            None => {}
        }
    }

    fn check_voters(&self, fleet: &Fleet) {
        let voters = fleet.balancers.iter().filter(|one| one.is_voter);
        let all = voters.clone().count();
        let remaining = voters
            .filter(|one| one.is_present && !self.out.contains_key(&one.name))
            .count();
        assert!(remaining * 2 > all, "{remaining} of {all} voters");
    }

    fn check_hosts(&self, fleet: &Fleet) {
        self.check_deduplication_groups(fleet);
        let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
        for host in &fleet.hosts {
            let zone = zones.entry(&host.zone).or_default();
            zone.all += 1;
            zone.in_service += usize::from(host.is_serving && !self.is_out(host));
        }
        let in_service: usize = zones.values().map(|zone| zone.in_service).sum();
        let all = fleet.hosts.len();
        assert!(
            in_service as f64 >= 0.6 * all as f64 - 1e-6,
            "{in_service} of {all}"
        );
        for (name, ZoneCount { all, in_service }) in zones {
            assert!(
                in_service * 2 >= all && in_service > 0,
                "{in_service} of {all} in {name}"
            );
        }
    }

    /// Hosts of one group discard each other's repeated requests, so no two of them are out together.
    fn check_deduplication_groups(&self, fleet: &Fleet) {
        let mut groups = BTreeSet::new();
        let out = fleet.hosts.iter().filter(|host| self.is_out(host));
        for group in out.map(|host| host.deduplication_group) {
            assert!(
                group == 0 || groups.insert(group),
                "two of group {group} are out"
            );
        }
    }

    fn is_out(&self, host: &Host) -> bool {
        self.out.contains_key(&host.name)
    }
}
