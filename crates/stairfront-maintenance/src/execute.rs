//! The effect of each command on the agreed state.
use crate::command::{Command, CommandError, CommandKind};
use crate::machine_record::{EntryStamp, MachineRecord, PlanRecord};
use crate::maintenance::Maintenance;
use crate::plan::Plan;
use crate::stage::Stage;
use crate::step::Step;
use crate::view::HistoryEntry;

/// Plans that are not finished.
const MAX_OPEN_PLANS: usize = 16;
/// Entries of history kept, of which the oldest go first.
const MAX_HISTORY: usize = 512;

impl Maintenance {
    /// Applies a command, and returns the index of its entry.
    pub(crate) fn execute(
        &mut self,
        index: u64,
        term: u64,
        command: Command,
    ) -> Result<u64, CommandError> {
        let Command {
            at_ms,
            term: given,
            via,
            author,
            kind,
            ..
        } = command;
        if kind.is_bound_to_term() && given != term {
            return Err(CommandError::OldTerm {
                given,
                committed: term,
            });
        }
        let change = self.change(EntryStamp { index, at_ms }, via, kind)?;
        if let Some(text) = change {
            self.add_history(HistoryEntry {
                index,
                term,
                at_ms,
                author,
                text,
            });
        }
        Ok(index)
    }

    /// Changes the state, and returns the text for the history; none for facts, which change often and are of no interest to
    /// people.
    fn change(
        &mut self,
        stamp: EntryStamp,
        via: String,
        kind: CommandKind,
    ) -> Result<Option<String>, CommandError> {
        let text = match kind {
            CommandKind::Fleet(fleet) => {
                self.fleet = fleet;
                return Ok(None);
            }
            CommandKind::Step {
                plan,
                machine,
                entered,
                to,
                confirmed_by,
            } => {
                let step = Step {
                    plan,
                    machine,
                    entered,
                    to,
                    confirmed_by,
                };
                self.apply_step(stamp, &step)?
            }
            CommandKind::Submit(plan) => self.submit(stamp, plan, via)?,
            CommandKind::Hold { plan, reason } => self.hold(plan, reason)?,
            CommandKind::Resume { plan } => self.resume(plan)?,
            CommandKind::Drop { plan } => self.drop_plan(stamp, plan)?,
            CommandKind::Skip { plan, machine } => self.skip(stamp, plan, machine)?,
            CommandKind::Done { plan, machine } => self.finish_work(stamp, plan, machine)?,
            CommandKind::Force {
                plan,
                machine,
                member,
            } => self.force(plan, machine, member)?,
        };
        Ok(Some(text))
    }

    fn add_history(&mut self, entry: HistoryEntry) {
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn submit(
        &mut self,
        stamp: EntryStamp,
        plan: Plan,
        via: String,
    ) -> Result<String, CommandError> {
        let open = self.plans.iter().filter(|plan| !plan.is_finished()).count();
        if open >= MAX_OPEN_PLANS {
            return Err(CommandError::TooMany(open));
        }
        let machines = plan.check(&self.fleet).map_err(CommandError::Plan)?;
        let number = stamp.index;
        let text = format!(
            "plan {number} posted: {}, {} machines",
            plan.reason,
            machines.len()
        );
        let machines = machines
            .into_iter()
            .map(|machine| MachineRecord::waiting(machine, stamp));
        let record = PlanRecord {
            number,
            plan,
            via,
            held: None,
            dropped: false,
            machines: machines.collect(),
        };
        self.plans.retain(|plan| !plan.is_finished());
        self.plans.push(record);
        Ok(text)
    }

    fn hold(&mut self, plan: u64, reason: String) -> Result<String, CommandError> {
        let text = format!("plan {plan} is held: {reason}");
        self.open_plan(plan)?.held = Some(reason);
        Ok(text)
    }

    fn resume(&mut self, plan: u64) -> Result<String, CommandError> {
        self.open_plan(plan)?.held = None;
        Ok(format!("plan {plan} goes on"))
    }

    fn drop_plan(&mut self, stamp: EntryStamp, plan: u64) -> Result<String, CommandError> {
        let record = self.open_plan(plan)?;
        record.dropped = true;
        for machine in &mut record.machines {
            match machine.stage {
                Stage::Waiting => machine.enter(Stage::Skipped, stamp),
                // Nobody works on it yet, so it returns at once.
                Stage::Notified | Stage::Draining => machine.enter(Stage::WarmingUp, stamp),
                // Returned now, it would be used while somebody may be working on it.
                Stage::Out | Stage::WarmingUp | Stage::Returned | Stage::Skipped => {}
            }
        }
        Ok(format!("plan {plan} is dropped"))
    }

    fn skip(&mut self, stamp: EntryStamp, plan: u64, name: String) -> Result<String, CommandError> {
        let machine = self.open_machine(plan, &name)?;
        let to = match machine.stage {
            // One that warms up is in service again, whatever share of the traffic it gets.
            Stage::Waiting | Stage::WarmingUp => Stage::Skipped,
            Stage::Notified | Stage::Draining => Stage::WarmingUp,
            Stage::Out | Stage::Returned | Stage::Skipped => return Err(wrong_stage(machine)),
        };
        machine.enter(to, stamp);
        Ok(format!("plan {plan}: {name} is passed over"))
    }

    fn finish_work(
        &mut self,
        stamp: EntryStamp,
        plan: u64,
        name: String,
    ) -> Result<String, CommandError> {
        let machine = self.open_machine(plan, &name)?;
        if machine.stage != Stage::Out {
            return Err(wrong_stage(machine));
        }
        machine.enter(Stage::WarmingUp, stamp);
        Ok(format!("plan {plan}: the work at {name} is done"))
    }

    fn force(&mut self, plan: u64, name: String, member: String) -> Result<String, CommandError> {
        if self.fleet.balancer(&member).is_none() {
            return Err(CommandError::NoMember(member));
        }
        let machine = self.open_machine(plan, &name)?;
        if !matches!(machine.stage, Stage::Notified | Stage::Draining) {
            return Err(wrong_stage(machine));
        }
        machine.forced.insert(member.clone());
        Ok(format!(
            "plan {plan}: {name} does not wait for {member}, which may still send to it"
        ))
    }

    fn open_plan(&mut self, number: u64) -> Result<&mut PlanRecord, CommandError> {
        let mut open = self.plans.iter_mut().filter(|plan| !plan.is_finished());
        open.find(|plan| plan.number == number)
            .ok_or(CommandError::NoPlan(number))
    }

    fn open_machine(&mut self, plan: u64, name: &str) -> Result<&mut MachineRecord, CommandError> {
        let machines = self.open_plan(plan)?.machines.iter_mut();
        let mut open = machines.filter(|machine| !machine.stage.is_finished());
        let found = open.find(|machine| machine.machine.name() == name);
        found.ok_or_else(|| CommandError::NoMachine {
            plan,
            machine: name.to_string(),
        })
    }
}

fn wrong_stage(machine: &MachineRecord) -> CommandError {
    CommandError::Stage {
        machine: machine.machine.name().to_string(),
        at: machine.stage.as_str().to_string(),
    }
}
