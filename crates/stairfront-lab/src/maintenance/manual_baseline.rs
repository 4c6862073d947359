//! Maintenance without plans: a script that cordons a host at every balancer, waits a fixed time, works, uncordons and
//! waits again. It reads no answer and does not know which balancers are present; the rules judge the effects, as they
//! do for plans.
use std::collections::BTreeSet;
use std::ops::Range;

use stairfront_common::time::{from_ms, to_ms, Micros};

use crate::admin_client::AdminAnswer;
use crate::maintenance::{
    AdminCall, MaintenanceOutcome, MaintenanceSettings, MaintenanceWorkers, ManualSettings,
    ScheduledPlan, WorkerAction,
};

/// Step of a lane at its machine.
enum Step {
    Next,
    Cordoned(Micros),
    Working(Micros),
    Uncordoned(Micros),
}

/// One loop of the script, which works at one machine at a time.
struct Lane {
    starts_at: Micros,
    step: Step,
    machine: usize,
}

impl Lane {
    fn starting_at(at_ms: f64) -> Self {
        Lane {
            starts_at: from_ms(at_ms),
            step: Step::Next,
            machine: 0,
        }
    }

    fn is_idle(&self) -> bool {
        matches!(self.step, Step::Next)
    }
}

/// Workers that follow the script.
pub struct ManualBaseline {
    work: Micros,
    wait: Micros,
    members: usize,
    remaining_hosts: Range<usize>,
    remaining_balancers: Range<usize>,
    host_lanes: Vec<Lane>,
    balancer_lane: Lane,
    calls: u64,
    open_calls: BTreeSet<u64>,
    faults_ended_at: Option<Micros>,
    first_call_at: Option<Micros>,
    finished: bool,
    outcome: MaintenanceOutcome,
}

impl ManualBaseline {
    /// Workers for a group of `members` balancers and `caches` cache hosts, with the times of the plans.
    pub fn new(
        settings: &MaintenanceSettings,
        manual: ManualSettings,
        members: usize,
        caches: usize,
    ) -> Self {
        let cache_plan = plan_for(settings, "caches");
        let balancer_plan = plan_for(settings, "balancers");
        let host_lanes = cache_plan.map_or(Vec::new(), |scheduled| {
            let lanes = 0..concurrency(scheduled);
            lanes.map(|_| Lane::starting_at(scheduled.at_ms)).collect()
        });
        let balancers_at_ms = balancer_plan.map_or(0.0, |scheduled| scheduled.at_ms);
        ManualBaseline {
            work: from_ms(settings.work_ms),
            wait: from_ms(manual.wait_ms),
            members,
            remaining_hosts: 0..cache_plan.map_or(0, |_| caches),
            remaining_balancers: 0..balancer_plan.map_or(0, |_| members),
            host_lanes,
            balancer_lane: Lane::starting_at(balancers_at_ms),
            calls: 0,
            open_calls: BTreeSet::new(),
            faults_ended_at: None,
            first_call_at: None,
            finished: false,
            outcome: MaintenanceOutcome::default(),
        }
    }

    fn call_every_member(&mut self, verb: &str, host: usize, actions: &mut Vec<WorkerAction>) {
        for member in 0..self.members {
            self.calls += 1;
            self.open_calls.insert(self.calls);
            let call = AdminCall {
                number: self.calls,
                method: "POST",
                path: format!("/admin/{verb}/c{host}"),
                body: String::new(),
            };
            actions.push(WorkerAction::CallMember { member, call });
        }
    }

    fn advance_host_lane(&mut self, now: Micros, lane: &mut Lane, actions: &mut Vec<WorkerAction>) {
        match lane.step {
            Step::Next => {
                let Some(host) = self.remaining_hosts.next() else {
                    return;
                };
                self.first_call_at.get_or_insert(now);
                lane.machine = host;
                self.call_every_member("cordon", host, actions);
                lane.step = Step::Cordoned(now + self.wait);
            }
            Step::Cordoned(until) if until <= now => {
                self.outcome.hosts += 1;
                actions.push(set_under_maintenance(lane.machine, true));
                lane.step = Step::Working(now + self.work);
            }
            Step::Working(until) if until <= now => {
                actions.push(set_under_maintenance(lane.machine, false));
                self.call_every_member("uncordon", lane.machine, actions);
                lane.step = Step::Uncordoned(now + self.wait);
            }
            Step::Uncordoned(until) if until <= now => lane.step = Step::Next,
            Step::Cordoned(_) | Step::Working(_) | Step::Uncordoned(_) => {}
        }
    }

    fn restart_balancers(&mut self, now: Micros, actions: &mut Vec<WorkerAction>) {
        match self.balancer_lane.step {
            Step::Next if self.balancer_lane.starts_at <= now => {
                let Some(next) = self.remaining_balancers.next() else {
                    return;
                };
                self.outcome.balancers += 1;
                actions.push(WorkerAction::Restart {
                    plan: 0,
                    balancer: format!("b{next}"),
                });
                // A restart takes its time before the wait.
                self.balancer_lane.step = Step::Uncordoned(now + self.wait * 2);
            }
            Step::Uncordoned(until) if until <= now => self.balancer_lane.step = Step::Next,
            _ => {}
        }
    }

    fn check_finished(&mut self, now: Micros) {
        let none_remaining = self.remaining_hosts.is_empty() && self.remaining_balancers.is_empty();
        let idle = self.host_lanes.iter().all(Lane::is_idle) && self.balancer_lane.is_idle();
        if self.finished || !none_remaining || !idle {
            return;
        }
        self.finished = true;
        self.outcome.duration_ms = self.first_call_at.map(|first| to_ms(now - first));
        let after_faults = self.faults_ended_at.map_or(0.0, |ended| to_ms(now - ended));
        self.outcome.duration_after_faults_ms = Some(after_faults);
    }
}

impl MaintenanceWorkers for ManualBaseline {
    fn tick(&mut self, now: Micros, _: usize) -> Vec<WorkerAction> {
        let mut actions = Vec::new();
        let mut lanes = std::mem::take(&mut self.host_lanes);
        for lane in lanes.iter_mut().filter(|lane| lane.starts_at <= now) {
            self.advance_host_lane(now, lane, &mut actions);
        }
        let is_working = |lane: &&Lane| matches!(lane.step, Step::Working(_));
        let working = lanes.iter().filter(is_working).count() as u64;
        self.outcome.max_out = self.outcome.max_out.max(working);
        self.host_lanes = lanes;
        self.restart_balancers(now, &mut actions);
        self.check_finished(now);
        actions
    }

    fn handle_answer(
        &mut self,
        _: Micros,
        number: u64,
        answer: Option<AdminAnswer>,
    ) -> Vec<WorkerAction> {
        if self.open_calls.remove(&number) {
            match answer {
                Some(AdminAnswer { status: 200, .. }) => self.outcome.accepted += 1,
                _ => self.outcome.rejected += 1,
            }
        }
        Vec::new()
    }

    fn faults_ended(&mut self, now: Micros) {
        self.faults_ended_at = Some(now);
    }

    /// The script does not notice that the process was stopped or paused.
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

fn set_under_maintenance(host: usize, on: bool) -> WorkerAction {
    WorkerAction::SetUnderMaintenance {
        host: format!("c{host}"),
        on,
    }
}

/// The first plan for machines of this kind.
fn plan_for<'a>(settings: &'a MaintenanceSettings, kind: &str) -> Option<&'a ScheduledPlan> {
    settings.plans.iter().find(|scheduled| {
        let kinds = scheduled
            .plan
            .get("kinds")
            .and_then(|kinds| kinds.as_array());
        kinds.is_some_and(|kinds| kinds.iter().any(|other| other == kind))
    })
}

fn concurrency(scheduled: &ScheduledPlan) -> u64 {
    let at_once = scheduled.plan.get("at_once");
    at_once.and_then(serde_json::Value::as_u64).unwrap_or(1)
}
