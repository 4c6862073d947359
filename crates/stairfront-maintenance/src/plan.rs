//! A plan as an operator posts it, and what is wrong with it.
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;

/// Machines of one plan; a table row of each is kept.
const MOST_MACHINES: usize = 512;
const LONGEST_TEXT: usize = 200;
/// A step may take so long at most: longer ones belong to nobody.
const LONGEST_S: u32 = 7 * 86_400;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Machine {
    Cache(String),
    Balancer(String),
}

impl Machine {
    pub fn name(&self) -> &str {
        match self {
            Machine::Cache(name) | Machine::Balancer(name) => name,
        }
    }
}

/// Who says that the work at a machine is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DoneBy {
    #[default]
    Operator,
    /// Discovery, by a newer start of its process.
    Restart,
}

/// The part that must stay in service, of the hosts that are listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AvailabilityBudget {
    pub zone: f64,
    pub whole: f64,
}

impl Default for AvailabilityBudget {
    /// What is left carries a half more at most, and no zone serves from another by plan.
    fn default() -> Self {
        AvailabilityBudget {
            zone: 0.5,
            whole: 0.66,
        }
    }
}

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
    #[serde(default = "one")]
    pub at_once: u32,
    #[serde(default)]
    pub stay: AvailabilityBudget,
    #[serde(default)]
    pub done: DoneBy,
    /// After these a step is called late, and whoever watches is told; nothing is skipped for it.
    #[serde(default = "minute")]
    pub confirm_s: u32,
    #[serde(default = "minute")]
    pub quiet_s: u32,
    #[serde(default = "hour")]
    pub work_s: u32,
    #[serde(default = "minute")]
    pub warm_s: u32,
    pub reason: String,
    pub author: String,
}

fn one() -> u32 {
    1
}

fn minute() -> u32 {
    60
}

fn hour() -> u32 {
    3600
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct PlanError {
    pub key: String,
    pub problem: String,
}

fn fault(key: &str, problem: impl Into<String>) -> PlanError {
    PlanError {
        key: key.to_string(),
        problem: problem.into(),
    }
}

/// The least number that may stay of so many.
pub fn least(part: f64, of: usize) -> usize {
    ((part * of as f64) - 1e-9).ceil().max(1.0) as usize
}

impl Plan {
    /// The machines that it names, each once; the first fault otherwise.
    pub fn machines(&self, fleet: &Fleet) -> Result<Vec<Machine>, PlanError> {
        let mut found: Vec<Machine> = Vec::new();
        let mut add = |machine: Machine| {
            if !found.contains(&machine) {
                found.push(machine);
            }
        };
        for (at, name) in self.machines.iter().enumerate() {
            match (fleet.host(name), fleet.balancer(name)) {
                (Some(_), Some(_)) => {
                    return Err(fault(
                        &format!("machines[{at}]"),
                        format!("{name:?} is a cache host and a balancer"),
                    ))
                }
                (Some(_), None) => add(Machine::Cache(name.clone())),
                (None, Some(_)) => add(Machine::Balancer(name.clone())),
                (None, None) => {
                    return Err(fault(
                        &format!("machines[{at}]"),
                        format!("nobody knows {name:?}"),
                    ))
                }
            }
        }
        for (at, zone) in self.zones.iter().enumerate() {
            let mut any = false;
            for host in fleet.hosts.iter().filter(|host| host.zone == *zone) {
                add(Machine::Cache(host.name.clone()));
                any = true;
            }
            if !any {
                return Err(fault(
                    &format!("zones[{at}]"),
                    format!("no cache host is in {zone:?}"),
                ));
            }
        }
        for (at, kind) in self.kinds.iter().enumerate() {
            match kind.as_str() {
                "caches" => fleet
                    .hosts
                    .iter()
                    .for_each(|host| add(Machine::Cache(host.name.clone()))),
                "balancers" => fleet
                    .balancers
                    .iter()
                    .for_each(|one| add(Machine::Balancer(one.name.clone()))),
                _ => {
                    return Err(fault(
                        &format!("kinds[{at}]"),
                        format!("{kind:?} is neither caches nor balancers"),
                    ))
                }
            }
        }
        Ok(found)
    }

    /// The machines, if nothing is wrong with the whole of it.
    pub fn check(&self, fleet: &Fleet) -> Result<Vec<Machine>, PlanError> {
        let machines = self.machines(fleet)?;
        if machines.is_empty() {
            return Err(fault(
                "machines",
                "none are named, by machines, zones or kinds",
            ));
        }
        if machines.len() > MOST_MACHINES {
            return Err(fault(
                "machines",
                format!("{} are too many, {MOST_MACHINES} at most", machines.len()),
            ));
        }
        if self.at_once == 0 {
            return Err(fault("at_once", "must be 1 at least"));
        }
        for (key, part) in [
            ("stay.zone", self.stay.zone),
            ("stay.whole", self.stay.whole),
        ] {
            if !(0.0..1.0).contains(&part) {
                return Err(fault(key, format!("{part} is not from 0 to less than 1")));
            }
        }
        for (key, text) in [("reason", &self.reason), ("author", &self.author)] {
            if !(1..=LONGEST_TEXT).contains(&text.len()) || text.chars().any(char::is_control) {
                return Err(fault(
                    key,
                    format!("must be a line of 1 to {LONGEST_TEXT} bytes"),
                ));
            }
        }
        let times = [
            ("confirm_s", self.confirm_s),
            ("quiet_s", self.quiet_s),
            ("work_s", self.work_s),
            ("warm_s", self.warm_s),
        ];
        for (key, seconds) in times {
            if !(1..=LONGEST_S).contains(&seconds) {
                return Err(fault(key, format!("must be 1 to {LONGEST_S} s")));
            }
        }
        // Danger: what can never be allowed would stand in the queue for ever.
        for machine in &machines {
            let Machine::Cache(name) = machine else {
                continue;
            };
            let Some(host) = fleet.host(name) else {
                continue;
            };
            let zone = fleet
                .hosts
                .iter()
                .filter(|other| other.zone == host.zone)
                .count();
            if zone - 1 < least(self.stay.zone, zone) {
                let problem = format!(
                    "without {name}, {} of {zone} would stay in zone {:?}",
                    zone - 1,
                    host.zone
                );
                return Err(fault("stay.zone", problem));
            }
            let whole = fleet.hosts.len();
            if whole - 1 < least(self.stay.whole, whole) {
                let problem = format!("without {name}, {} of {whole} would stay", whole - 1);
                return Err(fault("stay.whole", problem));
            }
        }
        let voters = fleet.balancers.iter().filter(|one| one.votes).count();
        let named = |one: &&crate::Balancer| {
            one.votes && machines.contains(&Machine::Balancer(one.name.clone()))
        };
        let taken = fleet
            .balancers
            .iter()
            .filter(named)
            .count()
            .min(self.at_once as usize);
        if taken > 0 && (voters - taken) * 2 <= voters {
            let problem = format!("{taken} of {voters} voters at once leave no majority");
            return Err(fault("at_once", problem));
        }
        Ok(machines)
    }
}
