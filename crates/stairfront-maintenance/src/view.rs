//! The plans as operators see them, in JSON.
use serde::{Deserialize, Serialize};

use crate::machine_record::{MachineRecord, PlanRecord};
use crate::maintenance::Maintenance;
use crate::plan::{Machine, Plan, PlanError};
use crate::queue::{order, OutOfService};
use crate::stage::Stage;

/// A command that changed something, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Index of its entry in the log.
    pub index: u64,
    /// Term in which it was committed.
    pub term: u64,
    /// Clock of the member that proposed it, in ms since 1970.
    pub at_ms: u64,
    /// Who asked for it.
    pub author: String,
    /// The change.
    pub text: String,
}

/// A machine of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    /// Its name.
    pub machine: String,
    /// `cache` or `balancer`.
    pub kind: String,
    /// How far it is.
    pub stage: Stage,
    /// When the stage began, in ms since 1970.
    pub since_ms: u64,
    /// Members that it does not wait for.
    pub forced: Vec<String>,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanView {
    /// Its number.
    pub plan: u64,
    /// Who submitted it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Why an operator holds it, if one does.
    pub held: Option<String>,
    /// An operator has ended it.
    pub dropped: bool,
    /// Its machines: those under way, those that wait in their order, those that are finished.
    pub machines: Vec<MachineView>,
}

/// All plans with their history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Why no further machine is taken out, if so.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
    /// The plans.
    pub plans: Vec<PlanView>,
    /// The latest changes, the oldest first.
    pub history: Vec<HistoryEntry>,
}

impl Maintenance {
    /// All plans with their history, for operators.
    #[must_use]
    pub fn view(&self) -> View {
        View {
            fault: self.fleet_fault(),
            plans: self.plans.iter().map(|plan| self.plan_view(plan)).collect(),
            history: self.history.iter().cloned().collect(),
        }
    }

    /// The machines that a plan would take out, in order, by the facts as they are.
    ///
    /// # Errors
    ///
    /// The first fault of the plan.
    pub fn dry_run(&self, plan: &Plan) -> Result<Vec<Machine>, PlanError> {
        let machines = plan.check(&self.fleet)?;
        let out = OutOfService {
            machines: self.machines_out(),
        };
        Ok(order(&machines, &self.fleet, &out))
    }

    fn plan_view(&self, record: &PlanRecord) -> PlanView {
        let queue = self.queued_machines(record);
        let position = |machine: &Machine| queue.iter().position(|queued| queued == machine);
        let mut machines: Vec<&MachineRecord> = record.machines.iter().collect();
        machines.sort_by_key(|machine| match machine.stage {
            Stage::Waiting => (1, position(&machine.machine), machine.entered),
            stage if stage.is_finished() => (2, None, machine.entered),
            _ => (0, None, machine.entered),
        });
        PlanView {
            plan: record.number,
            author: record.plan.author.clone(),
            reason: record.plan.reason.clone(),
            held: record.held.clone(),
            dropped: record.dropped,
            machines: machines.into_iter().map(machine_view).collect(),
        }
    }
}

fn machine_view(record: &MachineRecord) -> MachineView {
    let kind = match record.machine {
        Machine::Cache(_) => "cache",
        Machine::Balancer(_) => "balancer",
    };
    MachineView {
        machine: record.machine.name().to_string(),
        kind: kind.to_string(),
        stage: record.stage,
        since_ms: record.since_ms,
        forced: record.forced.iter().cloned().collect(),
    }
}
