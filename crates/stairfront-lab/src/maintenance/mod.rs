//! Maintenance in an experiment: what workers do at machines, by plans that the balancers agree on or by a script, and
//! what came of it.
pub mod manual_baseline;
pub mod plan_workers;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use stairfront_common::time::Micros;

use crate::admin_client::AdminAnswer;

/// Maintenance as an experiment file describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceSettings {
    /// Number of balancers that vote, the first ones.
    pub voters: usize,
    /// Each voter has a store in its member's folder.
    #[serde(default)]
    pub disks: bool,
    /// Plans in the order of the file.
    pub plans: Vec<ScheduledPlan>,
    /// Length of the work at one machine, in milliseconds.
    pub work_ms: f64,
    /// Time after the last fault and the last post within which all plans must be finished, in seconds.
    pub ends_s: f64,
    /// The work at a cache host ends its process, which comes back cold.
    #[serde(default)]
    pub restarts: bool,
    /// Settings of the script, for variants that work without plans.
    #[serde(default, rename = "hand")]
    pub manual: Option<ManualSettings>,
}

/// A plan and the time at which it is posted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledPlan {
    /// Time of the post since the start of the run, in milliseconds.
    pub at_ms: f64,
    /// Body of the post, to which a reason and an author are added.
    pub plan: serde_json::Map<String, Value>,
}

/// Settings of the script that works without plans.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManualSettings {
    /// Wait between the cordon of a machine and the work, and between its uncordon and the next machine, in milliseconds.
    pub wait_ms: f64,
}

/// A request to an admin address.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminCall {
    /// Number by which the answer is matched.
    pub number: u64,
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Body, which may be empty.
    pub body: String,
}

/// Something that workers want done.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerAction {
    /// A call to one member.
    CallMember {
        /// Index of the member.
        member: usize,
        /// The request.
        call: AdminCall,
    },
    /// A call to any member.
    Call(AdminCall),
    /// Work at a cache host begins or ends.
    SetUnderMaintenance {
        /// Name of the host.
        host: String,
        /// Whether the work begins.
        on: bool,
    },
    /// A balancer is stopped and started again.
    Restart {
        /// Number of the plan.
        plan: u64,
        /// Name of the balancer.
        balancer: String,
    },
}

/// The outcome of the maintenance in one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MaintenanceOutcome {
    /// Number of breaches.
    pub broken: u64,
    /// First breaches in words.
    pub examples: Vec<String>,
    /// Number of cache hosts that were worked at.
    pub hosts: u64,
    /// Number of balancers that were worked at.
    pub balancers: u64,
    /// Largest number of machines of one plan that were worked at together.
    #[serde(rename = "most_out")]
    pub max_out: u64,
    /// Calls that were accepted.
    #[serde(rename = "settled")]
    pub accepted: u64,
    /// Calls that were rejected or whose outcome is unknown.
    #[serde(rename = "unsettled")]
    pub rejected: u64,
    /// Time from the first post to the end of all plans, in milliseconds.
    #[serde(rename = "took_ms")]
    pub duration_ms: Option<f64>,
    /// Time from the last fault to the end of all plans, in milliseconds.
    #[serde(rename = "after_quiet_ms")]
    pub duration_after_faults_ms: Option<f64>,
    /// A majority of the voters' disks was lost at once, so the end is not judged.
    pub log_lost: bool,
    /// The script did the work, without plans.
    #[serde(rename = "by_hand")]
    pub manual_baseline: bool,
}

/// Workers at the machines of a run.
pub trait MaintenanceWorkers {
    /// The actions that are due now. The caller draws the member that is asked for its status.
    fn tick(&mut self, now: Micros, polled_member: usize) -> Vec<WorkerAction>;
    /// Handles the answer to a call; none where there was no answer.
    fn handle_answer(
        &mut self,
        now: Micros,
        number: u64,
        answer: Option<AdminAnswer>,
    ) -> Vec<WorkerAction>;
    /// The last fault has ended.
    fn faults_ended(&mut self, now: Micros);
    /// A balancer that was to be restarted is stopped or paused.
    fn restart_refused(&mut self, plan: u64, balancer: &str);
    /// A member's folder was emptied; where voters have no disk each end of a process counts as that.
    fn disk_lost(&mut self, now: Micros, member: usize);
    /// Whether a restarted process finds what it had stored.
    fn has_disks(&self) -> bool;
    /// The outcome, once no more calls are made.
    fn finish(self: Box<Self>, now: Micros) -> MaintenanceOutcome;
}
