//! The steps that are due by the observations of the leader, and why the others are not.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::command::CommandKind;
use crate::fleet::Fleet;
use crate::machine_record::{MachineRecord, PlanRecord};
use crate::maintenance::Maintenance;
use crate::plan::CompletedBy;
use crate::stage::Stage;

/// A cache host that is taken out, by its name and the entry by which the members were notified.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineKey {
    /// Name of the host.
    pub host: String,
    /// Index of the entry.
    pub notified: u64,
}

/// The observations of the leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderObservation {
    /// The fleet as it sees it.
    pub fleet: Fleet,
    /// Its own name.
    pub leader: String,
    /// Its clock in ms since 1970, which only serves texts for people.
    pub now_ms: u64,
    /// Members that keep a host out of service.
    pub confirmed: BTreeMap<MachineKey, Vec<String>>,
    /// Members that have no attempt in flight at a host.
    pub drained: BTreeMap<MachineKey, Vec<String>>,
    /// Hosts that get their usual share again, and balancers that are back.
    pub warm: Vec<String>,
}

/// Why a machine is not taken a step further.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedMachine {
    /// Number of the plan.
    pub plan: u64,
    /// Name of the machine.
    pub machine: String,
    /// The reason.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The commands that the leader has to propose, and the steps that it may not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NextCommands {
    /// Commands that are due.
    pub due: Vec<CommandKind>,
    /// Machines whose next step is not due.
    pub blocked: Vec<BlockedMachine>,
}

/// The next step of a machine: due, or blocked for a reason.
struct NextStep {
    to: Stage,
    confirmed_by: Vec<String>,
    blocked: Option<String>,
}

impl NextStep {
    fn unconfirmed(to: Stage, blocked: Option<String>) -> Self {
        NextStep {
            to,
            confirmed_by: Vec::new(),
            blocked,
        }
    }
}

impl Maintenance {
    /// The commands that are due, and why the rest is not. New facts go first, alone: a step that rests on them follows once
    /// they are agreed.
    #[must_use]
    pub fn next_commands(&self, observation: &LeaderObservation) -> NextCommands {
        if observation.fleet != self.fleet {
            let facts = CommandKind::Fleet(observation.fleet.clone());
            return NextCommands {
                due: vec![facts],
                blocked: Vec::new(),
            };
        }
        let mut next = NextCommands::default();
        // One machine at a time is taken out, since each one changes what may be taken out next.
        let mut begins = false;
        for plan in self.plans.iter().filter(|plan| !plan.is_finished()) {
            let next_machine = self.next_machine(plan);
            for record in &plan.machines {
                let may_begin = !begins && next_machine.as_ref() == Some(&record.machine);
                let Some(step) = self.next_step(plan, record, may_begin, observation) else {
                    continue;
                };
                match step.blocked {
                    None => {
                        begins |= step.to == Stage::Notified;
                        next.due.push(CommandKind::Step {
                            plan: plan.number,
                            machine: record.machine.clone(),
                            entered: record.entered,
                            to: step.to,
                            confirmed_by: step.confirmed_by,
                        });
                    }
                    Some(reason) => next.blocked.push(BlockedMachine {
                        plan: plan.number,
                        machine: record.machine.name().to_string(),
                        reason: with_lateness(reason, plan, record, observation.now_ms),
                    }),
                }
            }
        }
        next
    }

    /// The next step of a machine; `None` if the plan has finished with it.
    fn next_step(
        &self,
        plan: &PlanRecord,
        record: &MachineRecord,
        may_begin: bool,
        observation: &LeaderObservation,
    ) -> Option<NextStep> {
        let name = record.machine.name();
        Some(match record.stage {
            Stage::Waiting => {
                let not_its_turn = || (!may_begin).then(|| "not its turn".to_string());
                let blocked = self.blocked_reason(plan.number).or_else(not_its_turn);
                NextStep::unconfirmed(Stage::Notified, blocked)
            }
            Stage::Notified if record.is_cache() => {
                let confirmed = observation.confirmed.get(&key(record));
                self.confirmed_step(record, Stage::Draining, confirmed, "not confirmed by")
            }
            Stage::Notified => {
                let leads = name == observation.leader;
                let blocked = leads.then(|| "it leads, and hands that over".to_string());
                self.balancer_step(record, Stage::Draining, blocked)
            }
            Stage::Draining if record.is_cache() => {
                let drained = observation.drained.get(&key(record));
                self.confirmed_step(record, Stage::Out, drained, "not quiet at")
            }
            Stage::Draining => self.balancer_step(record, Stage::Out, None),
            Stage::Out => NextStep::unconfirmed(Stage::WarmingUp, self.work_reason(plan, record)),
            Stage::WarmingUp => {
                let is_warm = observation.warm.iter().any(|warm| warm == name);
                let blocked = (!is_warm).then(|| "not in use at its share yet".to_string());
                NextStep::unconfirmed(Stage::Returned, blocked)
            }
            Stage::Returned | Stage::Skipped => return None,
        })
    }

    /// A step that every member has to confirm.
    fn confirmed_step(
        &self,
        record: &MachineRecord,
        to: Stage,
        confirmed_by: Option<&Vec<String>>,
        otherwise: &str,
    ) -> NextStep {
        let confirmed_by = confirmed_by.cloned().unwrap_or_default();
        let required = self.required_confirmations(&record.forced).into_iter();
        let missing: Vec<String> = required
            .filter(|member| !confirmed_by.contains(member))
            .collect();
        let blocked = (!missing.is_empty()).then(|| format!("{otherwise}: {}", missing.join(", ")));
        NextStep {
            to,
            confirmed_by,
            blocked,
        }
    }

    /// A step of a balancer, which concerns no other member.
    fn balancer_step(
        &self,
        record: &MachineRecord,
        to: Stage,
        blocked: Option<String>,
    ) -> NextStep {
        NextStep {
            to,
            confirmed_by: self.required_confirmations(&record.forced),
            blocked,
        }
    }

    /// Why the work on a machine is not done; `None` if it is.
    fn work_reason(&self, plan: &PlanRecord, record: &MachineRecord) -> Option<String> {
        let completes_by_restart =
            plan.plan.completed_by == CompletedBy::Restart || !record.is_cache();
        if !completes_by_restart {
            return Some("work goes on: nobody has said done".to_string());
        }
        let process = self.process_of(&record.machine);
        let has_restarted = process.is_some_and(|process| process != record.process_before);
        (!has_restarted).then(|| "work goes on: it has not started anew".to_string())
    }
}

fn key(record: &MachineRecord) -> MachineKey {
    MachineKey {
        host: record.machine.name().to_string(),
        notified: record.notified,
    }
}

/// The reason, behind the time where the stage has taken longer than the plan expects.
fn with_lateness(reason: String, plan: &PlanRecord, record: &MachineRecord, now_ms: u64) -> String {
    let took_s = now_ms.saturating_sub(record.since_ms) / 1000;
    match timeout_s(plan, record.stage) {
        Some(limit_s) if took_s > u64::from(limit_s) => {
            format!("late, {took_s} s of {limit_s}: {reason}")
        }
        _ => reason,
    }
}

fn timeout_s(plan: &PlanRecord, stage: Stage) -> Option<u32> {
    match stage {
        Stage::Notified => Some(plan.plan.confirm_timeout_s),
        Stage::Draining => Some(plan.plan.drain_timeout_s),
        Stage::Out => Some(plan.plan.work_timeout_s),
        Stage::WarmingUp => Some(plan.plan.warm_up_timeout_s),
        Stage::Waiting | Stage::Returned | Stage::Skipped => None,
    }
}
