//! Work at machines as it is done without plans: a script that calls at every balancer's door, waits a fixed time, works,
//! calls again and waits again. It looks at no answer and knows nothing of who is there; what that comes to is judged by the
//! rules, as it is for plans (`work.rs`).
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use stairfront_emulator::time::{from_ms, to_ms, Micros};

use crate::maintenance_work::{
    MaintenanceOutcome, MaintenanceSettings, MaintenanceWorkers, WorkerAction,
};

/// What the script is given.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManualSettings {
    /// From the calls that take a machine out until the work, and from the calls that give it back until the next one.
    pub wait_ms: f64,
}

/// One machine at a time of one place in the script.
enum Step {
    Next,
    Out(Micros),
    Work(Micros),
    Back(Micros),
}

/// Hosts or balancers that one loop of the script goes through.
struct AnswerQueue {
    starts_at: Micros,
    step: Step,
    machine: usize,
}

pub struct ManualBaseline {
    plan: MaintenanceSettings,
    wait: Micros,
    members: usize,
    /// Cache hosts yet to come, and the loops over them; then the balancers, one at a time.
    remaining_hosts: std::ops::Range<usize>,
    remaining_balancers: std::ops::Range<usize>,
    lanes: Vec<AnswerQueue>,
    restart_lane: AnswerQueue,
    calls: u64,
    open_calls: BTreeSet<u64>,
    faults_ended: Option<Micros>,
    first_call_at: Option<Micros>,
    finished: bool,
    outcome: MaintenanceOutcome,
}

impl ManualBaseline {
    pub fn new(
        plan: MaintenanceSettings,
        manual: ManualSettings,
        members: usize,
        caches: usize,
    ) -> Self {
        let scheduled = |kind: &str| {
            plan.plans.iter().find(|scheduled| {
                let kinds = scheduled
                    .plan
                    .get("kinds")
                    .and_then(|kinds| kinds.as_array());
                kinds.is_some_and(|kinds| kinds.iter().any(|of| of == kind))
            })
        };
        let lane = |at_ms: f64| AnswerQueue {
            starts_at: from_ms(at_ms),
            step: Step::Next,
            machine: 0,
        };
        let at_once = |scheduled: &crate::maintenance_work::ScheduledPlan| {
            scheduled.plan.get("at_once").and_then(|n| n.as_u64())
        };
        let caches_at =
            scheduled("caches").map(|scheduled| (scheduled.at_ms, at_once(scheduled).unwrap_or(1)));
        let balancers_at = scheduled("balancers").map(|scheduled| scheduled.at_ms);
        ManualBaseline {
            wait: from_ms(manual.wait_ms),
            members,
            remaining_hosts: 0..if caches_at.is_some() { caches } else { 0 },
            remaining_balancers: 0..if balancers_at.is_some() { members } else { 0 },
            lanes: caches_at.map_or(Vec::new(), |(at, n)| (0..n).map(|_| lane(at)).collect()),
            restart_lane: lane(balancers_at.unwrap_or(0.0)),
            calls: 0,
            open_calls: BTreeSet::new(),
            faults_ended: None,
            first_call_at: None,
            finished: false,
            outcome: MaintenanceOutcome::default(),
            plan,
        }
    }

    fn call_every_member(&mut self, verb: &str, host: usize, acts: &mut Vec<WorkerAction>) {
        for member in 0..self.members {
            self.calls += 1;
            self.open_calls.insert(self.calls);
            let path = format!("/admin/{verb}/c{host}");
            acts.push(WorkerAction::CallMember {
                member,
                number: self.calls,
                method: "POST",
                path,
            });
        }
    }

    fn restart_balancers(&mut self, now: Micros, acts: &mut Vec<WorkerAction>) {
        match self.restart_lane.step {
            Step::Next if self.restart_lane.starts_at <= now => {
                let Some(next) = self.remaining_balancers.next() else {
                    return;
                };
                self.outcome.balancers += 1;
                acts.push(WorkerAction::Restart {
                    plan: 0,
                    balancer: format!("b{next}"),
                });
                // A restart takes its time before the wait.
                self.restart_lane.step = Step::Back(now + self.wait * 2);
            }
            Step::Back(until) if until <= now => self.restart_lane.step = Step::Next,
            _ => {}
        }
    }
}

impl MaintenanceWorkers for ManualBaseline {
    fn tick(&mut self, now: Micros, _: usize) -> Vec<WorkerAction> {
        let mut acts = Vec::new();
        let mut lanes = std::mem::take(&mut self.lanes);
        for lane in lanes.iter_mut().filter(|lane| lane.starts_at <= now) {
            match lane.step {
                Step::Next => {
                    let Some(host) = self.remaining_hosts.next() else {
                        continue;
                    };
                    self.first_call_at.get_or_insert(now);
                    lane.machine = host;
                    self.call_every_member("cordon", host, &mut acts);
                    lane.step = Step::Out(now + self.wait);
                }
                Step::Out(until) if until <= now => {
                    self.outcome.hosts += 1;
                    acts.push(WorkerAction::SetUnderMaintenance {
                        host: format!("c{}", lane.machine),
                        on: true,
                    });
                    lane.step = Step::Work(now + from_ms(self.plan.work_ms));
                }
                Step::Work(until) if until <= now => {
                    acts.push(WorkerAction::SetUnderMaintenance {
                        host: format!("c{}", lane.machine),
                        on: false,
                    });
                    self.call_every_member("uncordon", lane.machine, &mut acts);
                    lane.step = Step::Back(now + self.wait);
                }
                Step::Back(until) if until <= now => lane.step = Step::Next,
                Step::Out(_) | Step::Work(_) | Step::Back(_) => {}
            }
        }
        let working = lanes
            .iter()
            .filter(|lane| matches!(lane.step, Step::Work(_)))
            .count() as u64;
        self.outcome.max_out = self.outcome.max_out.max(working);
        self.lanes = lanes;
        self.restart_balancers(now, &mut acts);
        let idle = |lane: &AnswerQueue| matches!(lane.step, Step::Next);
        let done = self.remaining_hosts.is_empty() && self.remaining_balancers.is_empty();
        if done && !self.finished && self.lanes.iter().all(idle) && idle(&self.restart_lane) {
            self.finished = true;
            self.outcome.duration_ms = self
                .first_call_at
                .map(|first_call_at| to_ms(now - first_call_at));
            self.outcome.duration_after_faults_ms = self
                .faults_ended
                .map_or(Some(0.0), |faults_ended| Some(to_ms(now - faults_ended)));
        }
        acts
    }

    fn handle_answer(
        &mut self,
        _: Micros,
        number: u64,
        answer: Option<(u16, Vec<u8>)>,
    ) -> Vec<WorkerAction> {
        if self.open_calls.remove(&number) {
            match answer {
                Some((200, _)) => self.outcome.accepted += 1,
                _ => self.outcome.rejected += 1,
            }
        }
        Vec::new()
    }

    fn faults_ended(&mut self, now: Micros) {
        self.faults_ended = Some(now);
    }

    /// The script has ended a process that was away, or held still: it does not notice.
    fn restart_refused(&mut self, _: u64, _: &str) {}

    fn disk_lost(&mut self, _: Micros, _: usize) {}

    fn has_disks(&self) -> bool {
        true
    }

    fn finish(mut self: Box<Self>, _: Micros) -> MaintenanceOutcome {
        self.outcome.manual_baseline = true;
        self.outcome
    }
}
