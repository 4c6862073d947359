//! The people who work at machines by a plan: they post it at some balancer, work at what is said to be out, say done. What
//! they saw is judged here and by the rules: never more out than the plan allows, nothing new at a host from its out to its
//! done, each settled word in the history, the same history at all, and an end in its time.
use std::collections::{BTreeMap, BTreeSet};

use crate::manual_baseline::ManualSettings;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use stairfront_emulator::time::{from_ms, to_ms, Micros, MS, SECOND};

/// Between two looks at what is out.
const POLL_INTERVAL: Micros = 150 * MS;
/// A word that was not settled is said again, perhaps at another balancer's door.
const REPORT_RETRY_INTERVAL: Micros = 400 * MS;
const MAX_EXAMPLES: usize = 6;
/// Disks of a majority lost within this time are more than a log survives: the rest had no time to take in new voters.
const VOTER_PROMOTION_TIMEOUT: Micros = 25 * SECOND;

/// What an experiment says of plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceSettings {
    /// So many of the balancers vote, the first ones.
    pub voters: usize,
    /// With a store each, that goes with a member's folder.
    #[serde(default)]
    pub disks: bool,
    pub plans: Vec<ScheduledPlan>,
    /// The work at one machine.
    pub work_ms: f64,
    /// All plans are over by then, after the last trouble and the last post.
    pub ends_s: f64,
    /// The work at a cache host ends its process, which comes back cold.
    #[serde(default)]
    pub restarts: bool,
    /// For variants that do the same by hand.
    #[serde(default, rename = "hand")]
    pub manual: Option<ManualSettings>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledPlan {
    pub at_ms: f64,
    /// As it is posted; its reason and author are put in.
    pub plan: serde_json::Map<String, Value>,
}

/// Something that the people do.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerAction {
    /// A call at one balancer's door.
    CallMember {
        member: usize,
        number: u64,
        method: &'static str,
        path: String,
    },
    /// A call at some balancer's door, with a number by which its answer is known.
    Call {
        number: u64,
        method: &'static str,
        path: String,
        body: String,
    },
    /// Work at a cache host begins, or is said to be done.
    SetUnderMaintenance { host: String, on: bool },
    /// This balancer is ended on purpose and started again.
    Restart { plan: u64, balancer: String },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MaintenanceOutcome {
    pub broken: u64,
    pub examples: Vec<String>,
    /// Machines worked at, cache hosts and balancers.
    pub hosts: u64,
    pub balancers: u64,
    #[serde(rename = "most_out")]
    pub max_out: u64,
    /// Words that were settled, and refused or not known to be.
    #[serde(rename = "settled")]
    pub accepted: u64,
    #[serde(rename = "unsettled")]
    pub rejected: u64,
    /// From the first post to the end of all plans, and from the last trouble, in milliseconds.
    #[serde(rename = "took_ms")]
    pub duration_ms: Option<f64>,
    #[serde(rename = "after_quiet_ms")]
    pub duration_after_faults_ms: Option<f64>,
    /// A majority of the voters' disks was lost at once: the end is not judged.
    pub log_lost: bool,
    /// By a script at every door, without plans.
    #[serde(rename = "by_hand")]
    pub manual_baseline: bool,
}

/// Those who work at machines in a run.
pub trait MaintenanceWorkers {
    /// Which member the next account is asked of is the caller's to draw.
    fn tick(&mut self, now: Micros, of: usize) -> Vec<WorkerAction>;
    /// What came of a call; none where nobody answered.
    fn handle_answer(
        &mut self,
        now: Micros,
        number: u64,
        answer: Option<(u16, Vec<u8>)>,
    ) -> Vec<WorkerAction>;
    /// The last trouble is over.
    fn faults_ended(&mut self, now: Micros);
    /// A balancer that was to be restarted is away, or held still.
    fn restart_refused(&mut self, plan: u64, balancer: &str);
    /// A member's folder was emptied; where voters have no disk any end of a process is as much.
    fn disk_lost(&mut self, now: Micros, who: usize);
    /// A process that ends and is started again finds what it had stored.
    fn has_disks(&self) -> bool;
    /// Called once nothing more is asked.
    fn finish(self: Box<Self>, now: Micros) -> MaintenanceOutcome;
}

#[derive(Clone, Debug)]
enum PendingCall {
    ServerOutput(usize),
    Done(u64, String),
    Status(usize),
}

/// What somebody does at a machine.
#[derive(Clone, Debug, PartialEq)]
enum MachineState {
    WorkingUntil(Micros),
    /// Done is said from then on, until it is settled.
    ReportDone(Micros),
    /// A balancer: its new process says the rest.
    Restarted,
    Finished,
}

pub struct PlanWorkers {
    plan: MaintenanceSettings,
    members: usize,
    next_poll: Micros,
    calls: u64,
    pending_calls: BTreeMap<u64, PendingCall>,
    plan_numbers: Vec<Option<u64>>,
    next_post_at: Vec<Micros>,
    machines: BTreeMap<(u64, String), MachineState>,
    /// Indexes of settled words.
    acknowledged: BTreeSet<u64>,
    /// The last account of each member: its history, and whether all plans are over.
    last_status: BTreeMap<usize, (Micros, Value, bool)>,
    first_post_at: Option<Micros>,
    faults_ended: Option<Micros>,
    completed_at: Option<Micros>,
    disk_lost: Vec<(Micros, usize)>,
    pub outcome: MaintenanceOutcome,
}

impl PlanWorkers {
    pub fn new(plan: MaintenanceSettings, members: usize) -> PlanWorkers {
        let count = plan.plans.len();
        let next_post_at = plan
            .plans
            .iter()
            .map(|plan_numbers| from_ms(plan_numbers.at_ms))
            .collect();
        PlanWorkers {
            plan,
            members,
            next_poll: 0,
            calls: 0,
            pending_calls: BTreeMap::new(),
            plan_numbers: vec![None; count],
            next_post_at,
            machines: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            last_status: BTreeMap::new(),
            first_post_at: None,
            faults_ended: None,
            completed_at: None,
            disk_lost: Vec::new(),
            outcome: MaintenanceOutcome::default(),
        }
    }

    pub fn voters(&self) -> Vec<String> {
        (0..self.plan.voters).map(|who| format!("b{who}")).collect()
    }

    fn call(
        &mut self,
        pending_calls: PendingCall,
        method: &'static str,
        path: String,
        body: String,
    ) -> WorkerAction {
        self.calls += 1;
        self.pending_calls.insert(self.calls, pending_calls);
        WorkerAction::Call {
            number: self.calls,
            method,
            path,
            body,
        }
    }

    fn record_breach(&mut self, now: Micros, what: String) {
        self.outcome.broken += 1;
        if self.outcome.examples.len() < MAX_EXAMPLES {
            self.outcome
                .examples
                .push(format!("{:.0} ms: {what}", to_ms(now)));
        }
    }

    fn handle_status(&mut self, now: Micros, of: usize, last_status: &Value) -> Vec<WorkerAction> {
        let mut acts = Vec::new();
        let (mut any, mut all_finished) = (BTreeSet::new(), true);
        let empty = Vec::new();
        for plan in last_status["plans"].as_array().unwrap_or(&empty) {
            let Some(number) = plan["plan"].as_u64() else {
                continue;
            };
            let reason_text = plan["reason"].as_str().unwrap_or_default();
            if let Some(at) =
                (0..self.plan_numbers.len()).find(|at| reason_text == plan_reason(*at))
            {
                // Settled though nobody was told so.
                self.plan_numbers[at].get_or_insert(number);
                any.insert(at);
            }
            for row in plan["machines"].as_array().unwrap_or(&empty) {
                let (Some(machine), Some(stage)) = (row["machine"].as_str(), row["stage"].as_str())
                else {
                    continue;
                };
                all_finished &= matches!(stage, "back" | "skipped");
                let key = (number, machine.to_string());
                if stage != "out" || self.machines.contains_key(&key) {
                    continue;
                }
                if row["kind"] == "balancer" {
                    self.outcome.balancers += 1;
                    self.machines.insert(key, MachineState::Restarted);
                    acts.push(WorkerAction::Restart {
                        plan: number,
                        balancer: machine.to_string(),
                    });
                } else {
                    self.outcome.hosts += 1;
                    self.machines.insert(
                        key,
                        MachineState::WorkingUntil(now + from_ms(self.plan.work_ms)),
                    );
                    acts.push(WorkerAction::SetUnderMaintenance {
                        host: machine.to_string(),
                        on: true,
                    });
                }
            }
        }
        self.check_concurrency(now);
        let completed_at = all_finished && any.len() == self.plan_numbers.len();
        if completed_at && self.completed_at.is_none() {
            self.completed_at = Some(now);
            let since = |at: Option<Micros>| at.map(|at| to_ms((now - at).max(0)));
            self.outcome.duration_ms = since(self.first_post_at);
            self.outcome.duration_after_faults_ms = since(self.faults_ended).or(Some(0.0));
        }
        self.last_status
            .insert(of, (now, last_status["history"].clone(), completed_at));
        acts
    }

    /// Of each plan, by what is being worked at now.
    fn check_concurrency(&mut self, now: Micros) {
        let mut out: BTreeMap<u64, u64> = BTreeMap::new();
        for ((plan, _), state) in &self.machines {
            *out.entry(*plan).or_default() +=
                u64::from(matches!(state, MachineState::WorkingUntil(_)));
        }
        for (plan, count) in out {
            self.outcome.max_out = self.outcome.max_out.max(count);
            let Some(at) = self
                .plan_numbers
                .iter()
                .position(|plan_numbers| *plan_numbers == Some(plan))
            else {
                continue;
            };
            let most = self.plan.plans[at]
                .plan
                .get("at_once")
                .and_then(Value::as_u64)
                .unwrap_or(1);
            if count > most {
                self.record_breach(
                    now,
                    format!("{count} of plan {plan} are worked at, and {most} may be"),
                );
            }
        }
    }
}

impl MaintenanceWorkers for PlanWorkers {
    /// A member's folder was emptied; where voters have no disk any end of a process is as much.
    fn disk_lost(&mut self, now: Micros, who: usize) {
        if who < self.plan.voters {
            self.disk_lost.push((now, who));
        }
        let lately: BTreeSet<usize> = self
            .disk_lost
            .iter()
            .filter(|(at, _)| now - at < VOTER_PROMOTION_TIMEOUT)
            .map(|(_, who)| *who)
            .collect();
        self.outcome.log_lost |= lately.len() * 2 > self.plan.voters;
    }

    /// A balancer that was to be restarted is away, or held still: looked at again.
    fn restart_refused(&mut self, plan: u64, balancer: &str) {
        let known = self
            .machines
            .remove(&(plan, balancer.to_string()))
            .is_some();
        self.outcome.balancers -= u64::from(known);
    }

    fn faults_ended(&mut self, now: Micros) {
        self.faults_ended = Some(now);
    }

    fn tick(&mut self, now: Micros, of: usize) -> Vec<WorkerAction> {
        let mut acts = Vec::new();
        for at in 0..self.plan.plans.len() {
            if self.plan_numbers[at].is_none() && self.next_post_at[at] <= now {
                self.next_post_at[at] = now + REPORT_RETRY_INTERVAL * 2;
                let mut plan = self.plan.plans[at].plan.clone();
                plan.insert("reason".to_string(), plan_reason(at).into());
                plan.insert("author".to_string(), "crew".into());
                let body = Value::Object(plan).to_string();
                acts.push(self.call(
                    PendingCall::ServerOutput(at),
                    "POST",
                    "/admin/maintenance".to_string(),
                    body,
                ));
                self.first_post_at.get_or_insert(now);
            }
        }
        let mut reports = Vec::new();
        for (key, state) in &mut self.machines {
            if matches!(state, MachineState::WorkingUntil(until) if *until <= now) {
                *state = MachineState::ReportDone(now);
                acts.push(WorkerAction::SetUnderMaintenance {
                    host: key.1.clone(),
                    on: false,
                });
            }
            if let MachineState::ReportDone(at) = state {
                if *at <= now {
                    *at = now + REPORT_RETRY_INTERVAL;
                    reports.push(key.clone());
                }
            }
        }
        for (plan, machine) in reports {
            let path = format!("/admin/maintenance/done?plan={plan}&machine={machine}&author=crew");
            acts.push(self.call(
                PendingCall::Done(plan, machine),
                "POST",
                path,
                String::new(),
            ));
        }
        if self.next_poll <= now {
            self.next_poll = now + POLL_INTERVAL;
            acts.push(self.call(
                PendingCall::Status(of),
                "GET",
                "/admin/maintenance".to_string(),
                String::new(),
            ));
        }
        acts
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        number: u64,
        answer: Option<(u16, Vec<u8>)>,
    ) -> Vec<WorkerAction> {
        let Some(pending_calls) = self.pending_calls.remove(&number) else {
            return Vec::new();
        };
        let (status, body) = answer.unwrap_or_default();
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        let index = value["index"].as_u64();
        match (pending_calls, status) {
            (PendingCall::Status(of), 200) => return self.handle_status(now, of, &value),
            (PendingCall::Status(_), _) => {}
            (PendingCall::ServerOutput(at), 200) => {
                self.outcome.accepted += 1;
                // Danger: posted again since its answer was lost, it would stand there twice; the first counts.
                self.plan_numbers[at] = self.plan_numbers[at].or(index);
                self.acknowledged.extend(index);
            }
            (PendingCall::ServerOutput(at), 409) => {
                let text = String::from_utf8_lossy(&body).trim().to_string();
                self.outcome.rejected += 1;
                // The plan may be refused for what has just failed, and is tried again.
                if self
                    .faults_ended
                    .is_some_and(|faults_ended| now - faults_ended > 10 * SECOND)
                {
                    self.record_breach(now, format!("plan {at} refused: {text}"));
                }
            }
            (PendingCall::Done(plan, machine), 200) => {
                self.outcome.accepted += 1;
                self.acknowledged.extend(index);
                self.machines
                    .insert((plan, machine), MachineState::Finished);
            }
            // Said before, and settled without this one hearing it.
            (PendingCall::Done(plan, machine), 409) => {
                self.machines
                    .insert((plan, machine), MachineState::Finished);
            }
            (PendingCall::ServerOutput(_) | PendingCall::Done(..), _) => self.outcome.rejected += 1,
        }
        Vec::new()
    }

    /// Called once nothing more is asked: what the members said last is held against each other.
    fn finish(mut self: Box<Self>, now: Micros) -> MaintenanceOutcome {
        if self.outcome.log_lost {
            return self.outcome;
        }
        let last = self
            .faults_ended
            .unwrap_or(now)
            .max(self.next_post_at.iter().copied().max().unwrap_or(0));
        match self.completed_at {
            None => self.record_breach(now, format!("plans not over: {:?}", self.machines)),
            Some(completed_at) if completed_at - last > from_ms(self.plan.ends_s * 1e3) => {
                self.record_breach(
                    completed_at,
                    format!(
                        "plans over {:.0} ms after the last trouble",
                        to_ms(completed_at - last)
                    ),
                );
            }
            Some(_) => {}
        }
        let late: Vec<(usize, Value)> = self
            .last_status
            .iter()
            .filter(|(_, (.., completed_at))| *completed_at)
            .map(|(who, (_, lines, _))| (*who, lines.clone()))
            .collect();
        if self.completed_at.is_some() && late.len() < self.members {
            let who: Vec<usize> = (0..self.members)
                .filter(|who| late.iter().all(|(of, _)| of != who))
                .collect();
            self.record_breach(
                now,
                format!("b{who:?} had not heard of the end when the run ended"),
            );
        }
        if let Some((first, lines)) = late.first().cloned() {
            for (who, other) in &late {
                if *other != lines {
                    self.record_breach(now, format!("b{first} and b{who} have unlike histories"));
                }
            }
            let indexes: BTreeSet<u64> = lines
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|line| line["index"].as_u64())
                .collect();
            let lost: Vec<u64> = self.acknowledged.difference(&indexes).copied().collect();
            if !lost.is_empty() {
                self.record_breach(now, format!("settled words that no history has: {lost:?}"));
            }
        }
        self.outcome
    }

    fn has_disks(&self) -> bool {
        self.plan.disks
    }
}

fn plan_reason(at: usize) -> String {
    format!("work {at}")
}
