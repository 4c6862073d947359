//! The agreed state: the same commands in the same order make the same state at each member.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::command::{Command, Outcome};
use crate::fleet::Fleet;
use crate::machine_record::{MachineRecord, PlanRecord};
use crate::plan::Machine;
use crate::stage::Stage;
use crate::view::HistoryEntry;

/// Ids of commands remembered, so that a command that was proposed twice is applied once.
const MAX_OUTCOMES: usize = 1024;

/// A cache host that a plan keeps out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CordonedHost {
    /// Its name.
    pub host: String,
    /// Index of the entry by which the members were notified: the tag of its cordon.
    pub notified: u64,
}

/// All plans, their history and the facts that they rest on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Maintenance {
    pub(crate) fleet: Fleet,
    pub(crate) plans: Vec<PlanRecord>,
    pub(crate) history: VecDeque<HistoryEntry>,
    outcomes: VecDeque<(u64, Outcome)>,
    unreadable: u64,
}

impl Maintenance {
    /// The state of a snapshot; `None` for bytes that are none.
    #[must_use]
    pub fn restore(snapshot: &[u8]) -> Option<Self> {
        postcard::from_bytes(snapshot).ok()
    }

    /// The state as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        // Texts, numbers and lists of these cannot fail to be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Applies the next committed entry and returns the id of its command; `None` for one that cannot be read.
    pub fn apply(&mut self, index: u64, term: u64, command: &[u8]) -> Option<u64> {
        let Ok(command) = postcard::from_bytes::<Command>(command) else {
            self.unreadable += 1;
            return None;
        };
        let id = command.id;
        if self.outcome(id).is_some() {
            return Some(id);
        }
        let result = self.execute(index, term, command);
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((
            id,
            Outcome {
                index,
                term,
                result,
            },
        ));
        Some(id)
    }

    /// The outcome of the command of this id, for as long as it is remembered.
    #[must_use]
    pub fn outcome(&self, id: u64) -> Option<&Outcome> {
        let mut newest_first = self.outcomes.iter().rev();
        newest_first
            .find(|(known, _)| *known == id)
            .map(|(_, outcome)| outcome)
    }

    /// Number of entries that could not be read, since a newer program wrote them.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// The facts as agreed.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The cache hosts that get nothing new, whatever else is known of them.
    #[must_use]
    pub fn cordoned_hosts(&self) -> BTreeSet<CordonedHost> {
        let cordoned = self
            .records()
            .filter(|record| record.stage.is_cordoned() && record.is_cache());
        cordoned.map(cordoned_host).collect()
    }

    /// The cache hosts at a stage.
    pub fn hosts_at(&self, stage: Stage) -> impl Iterator<Item = CordonedHost> + '_ {
        let at_stage = self
            .records()
            .filter(move |record| record.stage == stage && record.is_cache());
        at_stage.map(cordoned_host)
    }

    /// The machines at a stage.
    pub fn machines_at(&self, stage: Stage) -> impl Iterator<Item = &Machine> {
        let at_stage = self.records().filter(move |record| record.stage == stage);
        at_stage.map(|record| &record.machine)
    }

    /// The stage of a balancer whose turn it is in a plan; `None` where it is not.
    #[must_use]
    pub fn balancer_stage(&self, balancer: &str) -> Option<Stage> {
        let machine = Machine::Balancer(balancer.to_string());
        let mut records = self.records();
        let found = records.find(|record| record.stage.is_out() && record.machine == machine);
        found.map(|record| record.stage)
    }

    /// Number of machines at each stage, by its word.
    #[must_use]
    pub fn count_by_stage(&self) -> BTreeMap<&'static str, u64> {
        let mut count = BTreeMap::new();
        for record in self.records() {
            *count.entry(record.stage.as_str()).or_insert(0) += 1;
        }
        count
    }

    /// The machines of all plans.
    pub(crate) fn records(&self) -> impl Iterator<Item = &MachineRecord> {
        self.plans.iter().flat_map(|plan| plan.machines.iter())
    }

    /// The machines that any plan has out.
    pub(crate) fn machines_out(&self) -> Vec<&Machine> {
        let out = self.records().filter(|record| record.stage.is_out());
        out.map(|record| &record.machine).collect()
    }

    /// Tells which process a machine runs, by the facts; `None` for one that is down or unknown.
    pub(crate) fn process_of(&self, machine: &Machine) -> Option<u64> {
        match machine {
            Machine::Cache(name) => {
                let host = self.fleet.host(name).filter(|host| host.is_serving);
                host.map(|host| host.started_ms)
            }
            Machine::Balancer(name) => {
                let balancer = self
                    .fleet
                    .balancer(name)
                    .filter(|balancer| balancer.is_present);
                balancer.map(|balancer| balancer.process_id)
            }
        }
    }

    /// The members that have to confirm a step of a machine.
    pub(crate) fn required_confirmations(&self, forced: &BTreeSet<String>) -> Vec<String> {
        let balancers = self.fleet.balancers.iter();
        let required =
            balancers.filter(|balancer| !balancer.has_left && !forced.contains(&balancer.name));
        required.map(|balancer| balancer.name.clone()).collect()
    }
}

fn cordoned_host(record: &MachineRecord) -> CordonedHost {
    CordonedHost {
        host: record.machine.name().to_string(),
        notified: record.notified,
    }
}
