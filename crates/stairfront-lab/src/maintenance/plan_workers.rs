//! Workers by plan: they post each plan to some balancer, work at the machines that are out, and report them done.
//!
//! They also check what they see: no more machines out than a plan allows, each accepted call in the history, the same
//! history at all members, and an end in time.
use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use stairfront_common::time::{from_ms, to_ms, Micros, MS, SECOND};

use crate::admin_client::AdminAnswer;
use crate::maintenance::{
    AdminCall, MaintenanceOutcome, MaintenanceSettings, MaintenanceWorkers, WorkerAction,
};

/// Time between two polls of the plans' status.
const POLL_INTERVAL: Micros = 150 * MS;
/// A report that was not accepted is sent again after this, perhaps to another balancer.
const REPORT_RETRY_INTERVAL: Micros = 400 * MS;
const MAX_EXAMPLES: usize = 6;
/// Disks of a majority lost within this time are more than the log survives: there was no time to promote new voters.
const VOTER_PROMOTION_TIMEOUT: Micros = 25 * SECOND;
/// How long after the last fault a plan may still be rejected.
const REJECTION_TIMEOUT: Micros = 10 * SECOND;

/// A call whose answer is awaited.
#[derive(Clone, Debug)]
enum PendingCall {
    PostPlan(usize),
    ReportDone(MachineKey),
    Status(usize),
}

/// A machine of a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineKey {
    plan: u64,
    machine: String,
}

/// State of the work at a machine.
#[derive(Clone, Debug, PartialEq)]
enum MachineState {
    /// The work ends then.
    WorkingUntil(Micros),
    /// Done is reported next then, until that is accepted.
    ReportAt(Micros),
    /// A balancer, whose new process reports by itself.
    Restarted,
    Finished,
}

/// The last status that a member gave.
#[derive(Clone, Debug)]
struct MemberStatus {
    history: Value,
    all_finished: bool,
}

/// All plans together, by one status.
struct StatusSummary {
    known_plans: BTreeSet<usize>,
    all_finished: bool,
}

/// Workers that follow plans.
pub struct PlanWorkers {
    settings: MaintenanceSettings,
    members: usize,
    next_poll: Micros,
    calls: u64,
    pending_calls: BTreeMap<u64, PendingCall>,
    plan_numbers: Vec<Option<u64>>,
    next_post_at: Vec<Micros>,
    machines: BTreeMap<MachineKey, MachineState>,
    /// Log indices of accepted calls.
    acknowledged: BTreeSet<u64>,
    last_status: BTreeMap<usize, MemberStatus>,
    first_post_at: Option<Micros>,
    faults_ended_at: Option<Micros>,
    completed_at: Option<Micros>,
    lost_disks: Vec<(Micros, usize)>,
    outcome: MaintenanceOutcome,
}

impl PlanWorkers {
    /// Workers for a group of `members` balancers.
    pub fn new(settings: MaintenanceSettings, members: usize) -> PlanWorkers {
        let plans = settings.plans.iter();
        let next_post_at = plans.map(|scheduled| from_ms(scheduled.at_ms)).collect();
        PlanWorkers {
            plan_numbers: vec![None; settings.plans.len()],
            settings,
            members,
            next_poll: 0,
            calls: 0,
            pending_calls: BTreeMap::new(),
            next_post_at,
            machines: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            last_status: BTreeMap::new(),
            first_post_at: None,
            faults_ended_at: None,
            completed_at: None,
            lost_disks: Vec::new(),
            outcome: MaintenanceOutcome::default(),
        }
    }

    fn call(
        &mut self,
        pending: PendingCall,
        method: &'static str,
        path: &str,
        body: String,
    ) -> WorkerAction {
        self.calls += 1;
        self.pending_calls.insert(self.calls, pending);
        WorkerAction::Call(AdminCall {
            number: self.calls,
            method,
            path: path.to_string(),
            body,
        })
    }

    fn record_breach(&mut self, now: Micros, description: &str) {
        self.outcome.broken += 1;
        if self.outcome.examples.len() < MAX_EXAMPLES {
            let example = format!("{:.0} ms: {description}", to_ms(now));
            self.outcome.examples.push(example);
        }
    }

    fn handle_status(&mut self, now: Micros, member: usize, status: &Value) -> Vec<WorkerAction> {
        let mut actions = Vec::new();
        let summary = self.start_due_work(now, status, &mut actions);
        self.check_concurrency(now);
        let all_finished =
            summary.all_finished && summary.known_plans.len() == self.plan_numbers.len();
        if all_finished && self.completed_at.is_none() {
            self.record_completion(now);
        }
        let history = status["history"].clone();
        self.last_status.insert(
            member,
            MemberStatus {
                history,
                all_finished,
            },
        );
        actions
    }

    /// Begins the work at all machines that the status shows as out.
    fn start_due_work(
        &mut self,
        now: Micros,
        status: &Value,
        actions: &mut Vec<WorkerAction>,
    ) -> StatusSummary {
        let mut summary = StatusSummary {
            known_plans: BTreeSet::new(),
            all_finished: true,
        };
        for plan in status["plans"].as_array().into_iter().flatten() {
            let Some(number) = plan["plan"].as_u64() else {
                continue;
            };
            let reason = plan["reason"].as_str().unwrap_or_default();
            let known = (0..self.plan_numbers.len()).find(|index| reason == plan_reason(*index));
            if let Some(index) = known {
                // The plan may be committed although the answer to its post was lost.
                self.plan_numbers[index].get_or_insert(number);
                summary.known_plans.insert(index);
            }
            for machine in plan["machines"].as_array().into_iter().flatten() {
                let (Some(name), Some(stage)) =
                    (machine["machine"].as_str(), machine["stage"].as_str())
                else {
                    continue;
                };
                summary.all_finished &= matches!(stage, "back" | "skipped");
                if stage == "out" {
                    let key = MachineKey {
                        plan: number,
                        machine: name.to_string(),
                    };
                    actions.extend(self.start_work(now, key, machine["kind"] == "balancer"));
                }
            }
        }
        summary
    }

    fn start_work(
        &mut self,
        now: Micros,
        key: MachineKey,
        is_balancer: bool,
    ) -> Option<WorkerAction> {
        if self.machines.contains_key(&key) {
            return None;
        }
        let (plan, machine) = (key.plan, key.machine.clone());
        if is_balancer {
            self.outcome.balancers += 1;
            self.machines.insert(key, MachineState::Restarted);
            return Some(WorkerAction::Restart {
                plan,
                balancer: machine,
            });
        }
        self.outcome.hosts += 1;
        let until = now + from_ms(self.settings.work_ms);
        self.machines.insert(key, MachineState::WorkingUntil(until));
        Some(WorkerAction::SetUnderMaintenance {
            host: machine,
            on: true,
        })
    }

    fn record_completion(&mut self, now: Micros) {
        let since = |at: Option<Micros>| at.map(|at| to_ms((now - at).max(0)));
        self.completed_at = Some(now);
        self.outcome.duration_ms = since(self.first_post_at);
        self.outcome.duration_after_faults_ms = since(self.faults_ended_at).or(Some(0.0));
    }

    /// Checks for each plan that no more machines are worked at than it allows.
    fn check_concurrency(&mut self, now: Micros) {
        let mut working: BTreeMap<u64, u64> = BTreeMap::new();
        for (key, state) in &self.machines {
            *working.entry(key.plan).or_default() +=
                u64::from(matches!(state, MachineState::WorkingUntil(_)));
        }
        for (plan, count) in working {
            self.outcome.max_out = self.outcome.max_out.max(count);
            let Some(index) = self
                .plan_numbers
                .iter()
                .position(|number| *number == Some(plan))
            else {
                continue;
            };
            let at_once = self.settings.plans[index].plan.get("at_once");
            let max = at_once.and_then(Value::as_u64).unwrap_or(1);
            if count > max {
                self.record_breach(
                    now,
                    &format!("{count} of plan {plan} are worked at, and {max} may be"),
                );
            }
        }
    }

    fn post_due_plans(&mut self, now: Micros, actions: &mut Vec<WorkerAction>) {
        for index in 0..self.settings.plans.len() {
            if self.plan_numbers[index].is_some() || self.next_post_at[index] > now {
                continue;
            }
            self.next_post_at[index] = now + REPORT_RETRY_INTERVAL * 2;
            let mut plan = self.settings.plans[index].plan.clone();
            plan.insert("reason".to_string(), plan_reason(index).into());
            plan.insert("author".to_string(), "crew".into());
            let body = Value::Object(plan).to_string();
            actions.push(self.call(
                PendingCall::PostPlan(index),
                "POST",
                "/admin/maintenance",
                body,
            ));
            self.first_post_at.get_or_insert(now);
        }
    }

    fn report_finished_machines(&mut self, now: Micros, actions: &mut Vec<WorkerAction>) {
        let mut reports = Vec::new();
        for (key, state) in &mut self.machines {
            if matches!(state, MachineState::WorkingUntil(until) if *until <= now) {
                *state = MachineState::ReportAt(now);
                actions.push(WorkerAction::SetUnderMaintenance {
                    host: key.machine.clone(),
                    on: false,
                });
            }
            if let MachineState::ReportAt(at) = state {
                if *at <= now {
                    *at = now + REPORT_RETRY_INTERVAL;
                    reports.push(key.clone());
                }
            }
        }
        for key in reports {
            let MachineKey { plan, machine } = &key;
            let path = format!("/admin/maintenance/done?plan={plan}&machine={machine}&author=crew");
            actions.push(self.call(PendingCall::ReportDone(key), "POST", &path, String::new()));
        }
    }

    fn handle_post_answer(&mut self, now: Micros, index: usize, answer: &AdminAnswer) {
        match answer.status {
            200 => {
                self.outcome.accepted += 1;
                let log_index = log_index(answer);
                // A plan that is posted again since its answer was lost keeps its first number.
                self.plan_numbers[index] = self.plan_numbers[index].or(log_index);
                self.acknowledged.extend(log_index);
            }
            409 => {
                self.outcome.rejected += 1;
                // A fault may be the reason of the rejection, so the plan is posted again until some time after the last.
                if self
                    .faults_ended_at
                    .is_some_and(|ended| now - ended > REJECTION_TIMEOUT)
                {
                    let text = String::from_utf8_lossy(&answer.body).trim().to_string();
                    self.record_breach(now, &format!("plan {index} refused: {text}"));
                }
            }
            _ => self.outcome.rejected += 1,
        }
    }

    fn handle_done_answer(&mut self, key: MachineKey, answer: &AdminAnswer) {
        match answer.status {
            200 => {
                self.outcome.accepted += 1;
                self.acknowledged.extend(log_index(answer));
                self.machines.insert(key, MachineState::Finished);
            }
            // An earlier report was committed, and its answer lost.
            409 => {
                self.machines.insert(key, MachineState::Finished);
            }
            _ => self.outcome.rejected += 1,
        }
    }

    /// Checks that all plans were finished in time.
    fn check_completion(&mut self, now: Micros) {
        let last_fault = self.faults_ended_at.unwrap_or(now);
        let last_post = self.next_post_at.iter().copied().max().unwrap_or(0);
        let last = last_fault.max(last_post);
        match self.completed_at {
            None => self.record_breach(now, &format!("plans not over: {:?}", self.machines)),
            Some(at) if at - last > from_ms(self.settings.ends_s * 1e3) => {
                let after = to_ms(at - last);
                self.record_breach(
                    at,
                    &format!("plans over {after:.0} ms after the last trouble"),
                );
            }
            Some(_) => {}
        }
    }

    /// Checks that all members know of the end, with the same history, and that it has all accepted calls.
    fn check_histories(&mut self, now: Micros) {
        let finished = self
            .last_status
            .iter()
            .filter(|(_, status)| status.all_finished);
        let histories: Vec<(usize, Value)> = finished
            .map(|(member, status)| (*member, status.history.clone()))
            .collect();
        if self.completed_at.is_some() && histories.len() < self.members {
            let knows = |member: &usize| histories.iter().any(|(other, _)| other == member);
            let unaware: Vec<usize> = (0..self.members).filter(|member| !knows(member)).collect();
            self.record_breach(
                now,
                &format!("b{unaware:?} had not heard of the end when the run ended"),
            );
        }
        let Some((first, history)) = histories.first() else {
            return;
        };
        for (member, other) in &histories {
            if other != history {
                self.record_breach(
                    now,
                    &format!("b{first} and b{member} have unlike histories"),
                );
            }
        }
        let entries = history.as_array().into_iter().flatten();
        let indices: BTreeSet<u64> = entries
            .filter_map(|entry| entry["index"].as_u64())
            .collect();
        let lost: Vec<u64> = self.acknowledged.difference(&indices).copied().collect();
        if !lost.is_empty() {
            self.record_breach(now, &format!("settled words that no history has: {lost:?}"));
        }
    }
}

impl MaintenanceWorkers for PlanWorkers {
    fn tick(&mut self, now: Micros, polled_member: usize) -> Vec<WorkerAction> {
        let mut actions = Vec::new();
        self.post_due_plans(now, &mut actions);
        self.report_finished_machines(now, &mut actions);
        if self.next_poll <= now {
            self.next_poll = now + POLL_INTERVAL;
            let status = PendingCall::Status(polled_member);
            actions.push(self.call(status, "GET", "/admin/maintenance", String::new()));
        }
        actions
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        number: u64,
        answer: Option<AdminAnswer>,
    ) -> Vec<WorkerAction> {
        let Some(pending) = self.pending_calls.remove(&number) else {
            return Vec::new();
        };
        let answer = answer.unwrap_or_default();
        match pending {
            PendingCall::Status(member) if answer.status == 200 => {
                return self.handle_status(now, member, &json_body(&answer));
            }
            PendingCall::Status(_) => {}
            PendingCall::PostPlan(index) => self.handle_post_answer(now, index, &answer),
            PendingCall::ReportDone(key) => self.handle_done_answer(key, &answer),
        }
        Vec::new()
    }

    fn faults_ended(&mut self, now: Micros) {
        self.faults_ended_at = Some(now);
    }

    /// The machine is forgotten, so that the next status has it restarted.
    fn restart_refused(&mut self, plan: u64, balancer: &str) {
        let key = MachineKey {
            plan,
            machine: balancer.to_string(),
        };
        let known = self.machines.remove(&key).is_some();
        self.outcome.balancers -= u64::from(known);
    }

    fn disk_lost(&mut self, now: Micros, member: usize) {
        if member < self.settings.voters {
            self.lost_disks.push((now, member));
        }
        let recent = self
            .lost_disks
            .iter()
            .filter(|(at, _)| now - at < VOTER_PROMOTION_TIMEOUT);
        let lost: BTreeSet<usize> = recent.map(|(_, member)| *member).collect();
        self.outcome.log_lost |= lost.len() * 2 > self.settings.voters;
    }

    fn has_disks(&self) -> bool {
        self.settings.disks
    }

    fn finish(mut self: Box<Self>, now: Micros) -> MaintenanceOutcome {
        if !self.outcome.log_lost {
            self.check_completion(now);
            self.check_histories(now);
        }
        self.outcome
    }
}

fn json_body(answer: &AdminAnswer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

/// Log index of the entry by which a call was accepted.
fn log_index(answer: &AdminAnswer) -> Option<u64> {
    json_body(answer)["index"].as_u64()
}

/// Reason that a plan carries, by which it is found in the status.
fn plan_reason(index: usize) -> String {
    format!("work {index}")
}
