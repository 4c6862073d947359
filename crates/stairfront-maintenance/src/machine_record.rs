//! The records of plans and of their machines in the agreed state.
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::plan::{Machine, Plan};
use crate::stage::Stage;

/// The entry that is applied: its index, and the clock of the member that proposed it, in ms since 1970.
#[derive(Clone, Copy)]
pub(crate) struct EntryStamp {
    pub index: u64,
    pub at_ms: u64,
}

/// A machine of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MachineRecord {
    pub machine: Machine,
    pub stage: Stage,
    /// Index of the entry by which the stage began.
    pub entered: u64,
    /// Index of the entry by which the members were notified; 0 before.
    pub notified: u64,
    /// When the stage began, in ms since 1970.
    pub since_ms: u64,
    /// Members that it does not wait for.
    pub forced: BTreeSet<String>,
    /// Start (cache host) or process (balancer) when work began.
    pub process_before: u64,
}

impl MachineRecord {
    pub(crate) fn waiting(machine: Machine, stamp: EntryStamp) -> Self {
        MachineRecord {
            machine,
            stage: Stage::Waiting,
            entered: stamp.index,
            notified: 0,
            since_ms: stamp.at_ms,
            forced: BTreeSet::new(),
            process_before: 0,
        }
    }

    pub(crate) fn enter(&mut self, stage: Stage, stamp: EntryStamp) {
        self.stage = stage;
        self.entered = stamp.index;
        self.since_ms = stamp.at_ms;
        if stage == Stage::Notified {
            self.notified = stamp.index;
        }
    }

    pub(crate) fn is_cache(&self) -> bool {
        matches!(self.machine, Machine::Cache(_))
    }
}

/// A plan that was submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    pub number: u64,
    pub plan: Plan,
    /// The member it was submitted at.
    pub via: String,
    /// Why an operator holds it, if one does.
    pub held: Option<String>,
    /// An operator has ended it: nothing waits any more, and what is out returns when its work is done.
    pub dropped: bool,
    pub machines: Vec<MachineRecord>,
}

impl PlanRecord {
    pub(crate) fn is_finished(&self) -> bool {
        self.machines
            .iter()
            .all(|machine| machine.stage.is_finished())
    }

    pub(crate) fn machine(&self, machine: &Machine) -> Option<&MachineRecord> {
        self.machines
            .iter()
            .find(|record| record.machine == *machine)
    }
}
