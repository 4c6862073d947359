//! Steps of machines: the leader proposes them, and each member checks them against the agreed facts.
use crate::command::CommandError;
use crate::machine_record::{EntryStamp, MachineRecord, PlanRecord};
use crate::maintenance::Maintenance;
use crate::plan::{CompletedBy, Machine};
use crate::queue::{order, out_of_service_reason, OutOfService};
use crate::stage::Stage;

/// A step as it was proposed.
pub(crate) struct Step {
    pub plan: u64,
    pub machine: Machine,
    /// Index of the entry by which the stage that it leaves began.
    pub entered: u64,
    pub to: Stage,
    pub confirmed_by: Vec<String>,
}

impl Maintenance {
    /// Applies a step and returns the text for the history.
    pub(crate) fn apply_step(
        &mut self,
        stamp: EntryStamp,
        step: &Step,
    ) -> Result<String, CommandError> {
        self.check_step(step)?;
        let process = self.process_of(&step.machine).unwrap_or(0);
        let plan = self.plans.iter_mut().find(|plan| plan.number == step.plan);
        let plan = plan.ok_or(CommandError::NoPlan(step.plan))?;
        let record = plan
            .machines
            .iter_mut()
            .find(|record| record.machine == step.machine);
        if let Some(record) = record {
            record.enter(step.to, stamp);
            if step.to == Stage::Out {
                record.process_before = process;
            }
        }
        Ok(format!(
            "plan {}: {} is {}",
            step.plan,
            step.machine.name(),
            step.to.as_str()
        ))
    }

    fn check_step(&self, step: &Step) -> Result<(), CommandError> {
        let name = step.machine.name();
        let mut open = self.plans.iter().filter(|plan| !plan.is_finished());
        let plan = open.find(|plan| plan.number == step.plan);
        let plan = plan.ok_or(CommandError::NoPlan(step.plan))?;
        let record = plan
            .machine(&step.machine)
            .ok_or_else(|| CommandError::NoMachine {
                plan: step.plan,
                machine: name.to_string(),
            })?;
        let stage = record.stage.as_str();
        // A step that was found due from another stage would leave out what came between.
        if record.entered != step.entered {
            return Err(CommandError::Changed(format!(
                "{name} is {stage} since entry {}",
                record.entered
            )));
        }
        match (record.stage, step.to) {
            (Stage::Waiting, Stage::Notified) => self.check_begin(plan, &step.machine),
            (Stage::Notified, Stage::Draining) | (Stage::Draining, Stage::Out) => {
                self.check_confirmed(record, &step.confirmed_by)
            }
            (Stage::Out, Stage::WarmingUp) => self.check_restarted(plan, record),
            (Stage::WarmingUp, Stage::Returned) => Ok(()),
            (_, to) => {
                let text = format!("{name} is {stage}, not on its way to {}", to.as_str());
                Err(CommandError::Changed(text))
            }
        }
    }

    /// The machine may be taken out: it is the next one, and nothing forbids it.
    fn check_begin(&self, plan: &PlanRecord, machine: &Machine) -> Result<(), CommandError> {
        if let Some(reason) = self.blocked_reason(plan.number) {
            return Err(CommandError::Changed(reason));
        }
        if self.next_machine(plan).as_ref() != Some(machine) {
            return Err(CommandError::Changed(format!(
                "{} is not the next one",
                machine.name()
            )));
        }
        let out = OutOfService {
            machines: self.machines_out(),
        };
        match out_of_service_reason(machine, &plan.plan, &self.fleet, &out) {
            Some(reason) => Err(CommandError::Changed(reason)),
            None => Ok(()),
        }
    }

    fn check_confirmed(
        &self,
        record: &MachineRecord,
        confirmed_by: &[String],
    ) -> Result<(), CommandError> {
        let mut required = self.required_confirmations(&record.forced).into_iter();
        match required.find(|member| !confirmed_by.contains(member)) {
            Some(member) => Err(CommandError::Changed(format!("{member} has not said so"))),
            None => Ok(()),
        }
    }

    fn check_restarted(
        &self,
        plan: &PlanRecord,
        record: &MachineRecord,
    ) -> Result<(), CommandError> {
        let process = self.process_of(&record.machine);
        let completes_by_restart =
            plan.plan.completed_by == CompletedBy::Restart || !record.is_cache();
        if completes_by_restart && process.is_some_and(|process| process != record.process_before) {
            return Ok(());
        }
        Err(CommandError::Changed(format!(
            "{} has not started anew",
            record.machine.name()
        )))
    }

    /// Why no plan takes a further machine out, by the facts.
    #[must_use]
    pub fn fleet_fault(&self) -> Option<String> {
        let out = self.machines_out();
        let is_out = |name: &str| {
            let machine = Machine::Balancer(name.to_string());
            out.iter().any(|other| **other == machine)
        };
        let mut balancers = self.fleet.balancers.iter();
        let lost = balancers.find(|one| !one.is_present && !one.has_left && !is_out(&one.name));
        match lost {
            Some(balancer) => Some(format!("balancer {} is failed or cut off", balancer.name)),
            None => self.fleet.fault.clone(),
        }
    }

    /// Why a plan takes no further machine out now.
    #[must_use]
    pub fn blocked_reason(&self, number: u64) -> Option<String> {
        let record = self.plans.iter().find(|plan| plan.number == number)?;
        if let Some(reason) = &record.held {
            return Some(format!("held: {reason}"));
        }
        if let Some(fault) = self.fleet_fault() {
            return Some(fault);
        }
        let out = record
            .machines
            .iter()
            .filter(|machine| machine.stage.is_out())
            .count();
        let at_limit = out >= record.plan.max_out as usize;
        at_limit.then(|| format!("{out} of this plan are out"))
    }

    /// The waiting machines of a plan in their order. A machine that another plan has out waits for that one.
    pub(crate) fn queued_machines(&self, plan: &PlanRecord) -> Vec<Machine> {
        let out = self.machines_out();
        let waiting = plan
            .machines
            .iter()
            .filter(|record| record.stage == Stage::Waiting);
        let free = waiting.filter(|record| !out.contains(&&record.machine));
        let machines: Vec<Machine> = free.map(|record| record.machine.clone()).collect();
        order(&machines, &self.fleet, &OutOfService { machines: out })
    }

    /// The first machine that may be taken out; those that may not yet are passed over for now.
    pub(crate) fn next_machine(&self, plan: &PlanRecord) -> Option<Machine> {
        let out = OutOfService {
            machines: self.machines_out(),
        };
        let mut queue = self.queued_machines(plan).into_iter();
        queue
            .find(|machine| out_of_service_reason(machine, &plan.plan, &self.fleet, &out).is_none())
    }
}
