//! A plan as an operator submits it, and the check of it. The JSON keys are those that operators have always written.
use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, Host};
use crate::queue::min_in_service;

/// Machines of one plan, of each of which a record is kept.
const MAX_MACHINES: usize = 512;
/// Longest reason and author, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Longest time that a step may be expected to take, in seconds.
const MAX_STEP_S: u32 = 7 * 86_400;
const MINUTE_S: u32 = 60;
const HOUR_S: u32 = 3600;
const ALL_CACHES: &str = "caches";
const ALL_BALANCERS: &str = "balancers";

/// A machine that a plan may name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Machine {
    /// A cache host, by its name.
    Cache(String),
    /// A balancer, by its name.
    Balancer(String),
}

impl Machine {
    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Machine::Cache(name) | Machine::Balancer(name) => name,
        }
    }
}

/// Who tells that the work on a machine is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CompletedBy {
    /// The operator.
    #[default]
    Operator,
    /// Discovery, by a later start of the machine's process.
    Restart,
}

/// Fractions of the listed hosts that must stay in service. The defaults leave the other hosts half as much again to carry
/// at most, and let no zone be served from another by plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AvailabilityBudget {
    /// Of each zone.
    pub zone: f64,
    /// Of all hosts.
    #[serde(rename = "whole")]
    pub fleet: f64,
}

impl Default for AvailabilityBudget {
    fn default() -> Self {
        AvailabilityBudget {
            zone: 0.5,
            fleet: 0.66,
        }
    }
}

/// A plan as an operator submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Cache hosts or balancers by name.
    #[serde(default)]
    pub machines: Vec<String>,
    /// All cache hosts of these zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// `caches`, `balancers`: all of them.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Machines of this plan that may be out at once.
    #[serde(rename = "at_once", default = "one_machine")]
    pub max_out: u32,
    /// Fractions that must stay in service.
    #[serde(rename = "stay", default)]
    pub availability: AvailabilityBudget,
    /// Who tells that the work on a machine is done.
    #[serde(rename = "done", default)]
    pub completed_by: CompletedBy,
    /// Seconds after which a missing confirmation is reported as late. No step is skipped because it is late.
    #[serde(rename = "confirm_s", default = "one_minute")]
    pub confirm_timeout_s: u32,
    /// Seconds after which attempts in flight are reported as late.
    #[serde(rename = "quiet_s", default = "one_minute")]
    pub drain_timeout_s: u32,
    /// Seconds after which the work is reported as late.
    #[serde(rename = "work_s", default = "one_hour")]
    pub work_timeout_s: u32,
    /// Seconds after which the warm-up is reported as late.
    #[serde(rename = "warm_s", default = "one_minute")]
    pub warm_up_timeout_s: u32,
    /// Why the machines are taken out.
    pub reason: String,
    /// Who submits it.
    pub author: String,
}

fn one_machine() -> u32 {
    1
}

fn one_minute() -> u32 {
    MINUTE_S
}

fn one_hour() -> u32 {
    HOUR_S
}

/// A fault of a plan, by the key at fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{key}: {message}")]
pub struct PlanError {
    /// The key, with a position where it is a list.
    pub key: String,
    /// The fault of its value.
    #[serde(rename = "problem")]
    pub message: String,
}

impl PlanError {
    fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        PlanError {
            key: key.into(),
            message: message.into(),
        }
    }
}

impl Plan {
    /// The machines that the plan names, each once.
    ///
    /// # Errors
    ///
    /// The first name, zone or kind that nobody knows or that is ambiguous.
    pub fn machines(&self, fleet: &Fleet) -> Result<Vec<Machine>, PlanError> {
        let by_name = self
            .machines
            .iter()
            .enumerate()
            .map(|(at, name)| machine_of(fleet, at, name));
        let by_name = by_name.collect::<Result<Vec<_>, _>>()?;
        let mut found: Vec<Machine> = Vec::new();
        let mut add_all = |machines: Vec<Machine>| {
            for machine in machines {
                if !found.contains(&machine) {
                    found.push(machine);
                }
            }
        };
        add_all(by_name);
        for (at, zone) in self.zones.iter().enumerate() {
            add_all(machines_of_zone(fleet, at, zone)?);
        }
        for (at, kind) in self.kinds.iter().enumerate() {
            add_all(machines_of_kind(fleet, at, kind)?);
        }
        Ok(found)
    }

    /// The machines that the plan names, if nothing is wrong with the plan.
    ///
    /// # Errors
    ///
    /// The first fault.
    pub fn check(&self, fleet: &Fleet) -> Result<Vec<Machine>, PlanError> {
        let machines = self.machines(fleet)?;
        check_count(&machines)?;
        self.check_values()?;
        // A machine that may never be taken out would wait in the queue for ever.
        for machine in &machines {
            let Machine::Cache(name) = machine else {
                continue;
            };
            if let Some(host) = fleet.host(name) {
                self.check_availability(fleet, host)?;
            }
        }
        self.check_majority(fleet, &machines)?;
        Ok(machines)
    }

    fn check_values(&self) -> Result<(), PlanError> {
        if self.max_out == 0 {
            return Err(PlanError::new("at_once", "must be 1 at least"));
        }
        check_fraction("stay.zone", self.availability.zone)?;
        check_fraction("stay.whole", self.availability.fleet)?;
        check_text("reason", &self.reason)?;
        check_text("author", &self.author)?;
        check_seconds("confirm_s", self.confirm_timeout_s)?;
        check_seconds("quiet_s", self.drain_timeout_s)?;
        check_seconds("work_s", self.work_timeout_s)?;
        check_seconds("warm_s", self.warm_up_timeout_s)
    }

    /// Enough hosts would stay in service without this one.
    fn check_availability(&self, fleet: &Fleet, host: &Host) -> Result<(), PlanError> {
        let name = &host.name;
        let in_zone = fleet
            .hosts
            .iter()
            .filter(|other| other.zone == host.zone)
            .count();
        let stay = in_zone - 1;
        if stay < min_in_service(self.availability.zone, in_zone) {
            let text = format!(
                "without {name}, {stay} of {in_zone} would stay in zone {:?}",
                host.zone
            );
            return Err(PlanError::new("stay.zone", text));
        }
        let all = fleet.hosts.len();
        let stay = all - 1;
        if stay < min_in_service(self.availability.fleet, all) {
            let text = format!("without {name}, {stay} of {all} would stay");
            return Err(PlanError::new("stay.whole", text));
        }
        Ok(())
    }

    /// A majority of the voters would stay.
    fn check_majority(&self, fleet: &Fleet, machines: &[Machine]) -> Result<(), PlanError> {
        let voters = || fleet.balancers.iter().filter(|balancer| balancer.is_voter);
        let is_named = |name: &str| machines.contains(&Machine::Balancer(name.to_string()));
        let all = voters().count();
        let named = voters().filter(|voter| is_named(&voter.name)).count();
        let out = named.min(self.max_out as usize);
        if out > 0 && (all - out) * 2 <= all {
            let text = format!("{out} of {all} voters at once leave no majority");
            return Err(PlanError::new("at_once", text));
        }
        Ok(())
    }
}

fn machine_of(fleet: &Fleet, at: usize, name: &str) -> Result<Machine, PlanError> {
    let key = || format!("machines[{at}]");
    match (fleet.host(name), fleet.balancer(name)) {
        (Some(_), Some(_)) => Err(PlanError::new(
            key(),
            format!("{name:?} is a cache host and a balancer"),
        )),
        (Some(_), None) => Ok(Machine::Cache(name.to_string())),
        (None, Some(_)) => Ok(Machine::Balancer(name.to_string())),
        (None, None) => Err(PlanError::new(key(), format!("nobody knows {name:?}"))),
    }
}

fn machines_of_zone(fleet: &Fleet, at: usize, zone: &str) -> Result<Vec<Machine>, PlanError> {
    let hosts = fleet.hosts.iter().filter(|host| host.zone == zone);
    let machines: Vec<Machine> = hosts
        .map(|host| Machine::Cache(host.name.clone()))
        .collect();
    if machines.is_empty() {
        return Err(PlanError::new(
            format!("zones[{at}]"),
            format!("no cache host is in {zone:?}"),
        ));
    }
    Ok(machines)
}

fn machines_of_kind(fleet: &Fleet, at: usize, kind: &str) -> Result<Vec<Machine>, PlanError> {
    let hosts = fleet.hosts.iter();
    let balancers = fleet.balancers.iter();
    match kind {
        ALL_CACHES => Ok(hosts
            .map(|host| Machine::Cache(host.name.clone()))
            .collect()),
        ALL_BALANCERS => Ok(balancers
            .map(|one| Machine::Balancer(one.name.clone()))
            .collect()),
        _ => {
            let text = format!("{kind:?} is neither {ALL_CACHES} nor {ALL_BALANCERS}");
            Err(PlanError::new(format!("kinds[{at}]"), text))
        }
    }
}

fn check_count(machines: &[Machine]) -> Result<(), PlanError> {
    if machines.is_empty() {
        return Err(PlanError::new(
            "machines",
            "none are named, by machines, zones or kinds",
        ));
    }
    if machines.len() > MAX_MACHINES {
        let text = format!("{} are too many, {MAX_MACHINES} at most", machines.len());
        return Err(PlanError::new("machines", text));
    }
    Ok(())
}

fn check_fraction(key: &str, fraction: f64) -> Result<(), PlanError> {
    if (0.0..1.0).contains(&fraction) {
        Ok(())
    } else {
        Err(PlanError::new(
            key,
            format!("{fraction} is not from 0 to less than 1"),
        ))
    }
}

fn check_text(key: &str, text: &str) -> Result<(), PlanError> {
    if (1..=MAX_TEXT_BYTES).contains(&text.len()) && !text.chars().any(char::is_control) {
        Ok(())
    } else {
        Err(PlanError::new(
            key,
            format!("must be a line of 1 to {MAX_TEXT_BYTES} bytes"),
        ))
    }
}

fn check_seconds(key: &str, seconds: u32) -> Result<(), PlanError> {
    if (1..=MAX_STEP_S).contains(&seconds) {
        Ok(())
    } else {
        Err(PlanError::new(key, format!("must be 1 to {MAX_STEP_S} s")))
    }
}
