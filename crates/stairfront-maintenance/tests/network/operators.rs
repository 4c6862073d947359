//! The operators: they submit both plans, work at the machines that a running member shows as out, and report the work done
//! until this is committed.
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_maintenance::{
    AvailabilityBudget, CommandKind, CompletedBy, MachineView, Plan, Stage,
};

use crate::world::{member_index, MachineOfPlan, PlannedRestart, World, MEMBERS};

pub const MAX_HOSTS_OUT: u32 = 2;
const WORK_DURATION: Micros = 2 * SECOND;
const RESTART_DURATION: Micros = 1500 * MS;
const FIRST_SUBMISSION: Micros = 5 * SECOND;
const SUBMISSION_INTERVAL: Micros = 3 * SECOND;
/// The kinds of machines of the two plans.
const KINDS: [&str; 2] = ["caches", "balancers"];

impl World {
    pub fn act_as_operators(&mut self) {
        let running: Vec<usize> = (0..MEMBERS)
            .filter(|member| self.members[*member].is_running())
            .collect();
        let chosen = self.rng.below(running.len().max(1) as u64);
        let Some(member) = running.get(chosen as usize).copied() else {
            return;
        };
        let view = self.members[member].maintenance.view();
        for (number, kind) in KINDS.iter().enumerate() {
            self.submitted[number] |= view.plans.iter().any(|plan| plan.reason == *kind);
            self.submit(member, number);
        }
        for plan in &view.plans {
            for machine in &plan.machines {
                if machine.stage == Stage::Out {
                    self.work_at(member, plan.plan, machine);
                }
            }
        }
        self.check_hosts_at_work();
    }

    /// Submits a plan again until it is known to be committed. If it is committed twice, the second plan finds all work done.
    fn submit(&mut self, member: usize, number: usize) {
        let is_due = self.now >= FIRST_SUBMISSION && self.now % SUBMISSION_INTERVAL == 0;
        if self.submitted[number] || !is_due {
            return;
        }
        let max_out = if number == 0 { MAX_HOSTS_OUT } else { 1 };
        let plan = plan_of(KINDS[number], max_out);
        self.propose(member, 0, CommandKind::Submit(plan));
    }

    fn work_at(&mut self, member: usize, plan: u64, machine: &MachineView) {
        let key = (plan, machine.machine.clone());
        if machine.kind == "balancer" {
            self.restart_balancer(key);
        } else if let Some(ends_at) = self.work.get(&key) {
            if *ends_at < self.now {
                let machine = machine.machine.clone();
                self.propose(member, 0, CommandKind::Done { plan, machine });
            }
        } else {
            self.check_drained(&key);
            self.work.insert(key, self.now + WORK_DURATION);
        }
    }

    fn restart_balancer(&mut self, machine: MachineOfPlan) {
        let member = member_index(&machine.1);
        if self.work.contains_key(&machine) || !self.members[member].is_running() {
            return;
        }
        self.work.insert(machine, Micros::MAX);
        self.crash(member);
        self.restarts.push(PlannedRestart {
            at: self.now + RESTART_DURATION,
            member,
        });
    }
}

fn plan_of(kind: &str, max_out: u32) -> Plan {
    Plan {
        machines: Vec::new(),
        zones: Vec::new(),
        kinds: vec![kind.to_string()],
        max_out,
        availability: AvailabilityBudget {
            zone: 0.5,
            fleet: 0.6,
        },
        completed_by: CompletedBy::Operator,
        confirm_timeout_s: 60,
        drain_timeout_s: 60,
        work_timeout_s: 60,
        warm_up_timeout_s: 60,
        reason: kind.to_string(),
        author: "ann".to_string(),
    }
}
