//! The view of maintenance in the admin API and in `INFO`, and the committing of operators' commands.
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairfront_maintenance::{BlockedMachine, CommandKind, Outcome, Plan, PlanError, View};
use stairfront_raft::ProposalError;
use stairfront_raft_node::Status;

use crate::control::maintenance::MaintenanceService;

/// For an operator's command, within the second in which a call is answered.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a report of the leader on blocked machines counts.
const BLOCKED_TTL: Duration = Duration::from_secs(3);

/// The body of `/admin/maintenance`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedView {
    /// Name of this balancer.
    #[serde(rename = "me")]
    pub balancer: String,
    /// State of the agreement at this balancer.
    pub agreement: Status,
    /// The agreed plans.
    #[serde(flatten)]
    pub view: View,
    /// Why machines are blocked, by the leader; empty where it has reported nothing lately.
    #[serde(rename = "waits")]
    pub blocked: Vec<BlockedMachine>,
}

/// The answer to an operator's command that has been committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedCommand {
    /// The balancer that was called.
    pub via: String,
    /// The leader, where it is known.
    pub leader: Option<String>,
    /// Index of the log entry.
    pub index: u64,
    /// Term of the log entry.
    pub term: u64,
}

/// The answer to a plan that is only tried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DryRun {
    /// Names of the machines in the order in which they would be taken out.
    pub order: Vec<String>,
    /// Number of rounds.
    pub rounds: u64,
    /// Seconds that all rounds may take before their steps count as late.
    #[serde(rename = "at_most_s")]
    pub max_seconds: u64,
}

/// Why an operator's command is not carried out. The texts are bodies of the admin API.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PlanCommandError {
    /// Just founded or just started, this balancer knows no machine, and would reject every name.
    #[error("nothing is agreed of the fleet yet; ask again")]
    NoFleet,
    /// The plan does not fit what is agreed.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The command cannot be proposed.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// The command was committed and rejected by the agreed state.
    #[error(transparent)]
    Command(#[from] stairfront_maintenance::CommandError),
    /// The command may or may not be committed later.
    #[error("not settled in time, {leader} leads; it may be yet: look before you say it again")]
    NotCommitted {
        /// Name of the leader.
        leader: String,
    },
    /// There is no leader.
    #[error("nobody leads ({role}); nothing can be agreed without a majority of the voters")]
    NoLeader {
        /// Role of this balancer in the agreement.
        role: String,
    },
}

impl PlanCommandError {
    /// Whether the command is rejected for good, and repeating it is of no use.
    pub fn is_rejection(&self) -> bool {
        match self {
            PlanCommandError::Plan(_)
            | PlanCommandError::Proposal(_)
            | PlanCommandError::Command(_) => true,
            PlanCommandError::NoFleet
            | PlanCommandError::NotCommitted { .. }
            | PlanCommandError::NoLeader { .. } => false,
        }
    }
}

impl MaintenanceService {
    /// The body of `/admin/maintenance`.
    pub fn published_view(&self) -> PublishedView {
        let blocked = self.blocked.borrow();
        let blocked = blocked
            .as_ref()
            .filter(|report| report.received_at.elapsed() < BLOCKED_TTL);
        PublishedView {
            balancer: self.handles.name.clone(),
            agreement: self.handles.raft.status(),
            view: self.handles.raft.state_machine().0.view(),
            blocked: blocked.map_or(Vec::new(), |report| report.machines.clone()),
        }
    }

    /// The lines of `INFO` on the agreement and the plans.
    pub fn info_lines(&self) -> String {
        let mut text = self.handles.raft.metrics_text();
        for (stage, count) in self.handles.raft.state_machine().0.count_by_stage() {
            text += &format!("maintenance_{stage}:{count}\r\n");
        }
        text
    }

    /// The machines that a plan would take out, in order, by the state that is agreed now.
    ///
    /// # Errors
    ///
    /// If the plan would be rejected, or no fleet is agreed yet.
    pub fn dry_run(&self, plan: &Plan) -> Result<DryRun, PlanCommandError> {
        let machine = self.handles.raft.state_machine();
        if machine.0.fleet().hosts.is_empty() {
            return Err(PlanCommandError::NoFleet);
        }
        let order = machine.0.dry_run(plan)?;
        let rounds = order.len().div_ceil(plan.max_out.max(1) as usize) as u64;
        let wait_s = u64::from(plan.confirm_timeout_s)
            + u64::from(plan.drain_timeout_s)
            + u64::from(plan.warm_up_timeout_s);
        let order = order
            .iter()
            .map(|machine| machine.name().to_string())
            .collect();
        Ok(DryRun {
            order,
            rounds,
            max_seconds: rounds * (wait_s + u64::from(plan.work_timeout_s)),
        })
    }

    /// Brings an operator's command to the leader, and waits until it is committed.
    ///
    /// # Errors
    ///
    /// If it is rejected, or not known to be committed in time.
    pub async fn run_command(
        &self,
        author: &str,
        kind: CommandKind,
    ) -> Result<CommittedCommand, PlanCommandError> {
        let raft = &self.handles.raft;
        let command = self.command(author, kind);
        let id = command.id;
        let proposed = raft
            .propose_and_wait(id, command.encode(), COMMAND_TIMEOUT)
            .await;
        let status = raft.status();
        let outcome: Option<Outcome> = raft.state_machine().0.outcome(id).cloned();
        proposed?;
        let Some(Outcome {
            index,
            term,
            result,
        }) = outcome
        else {
            return Err(match status.leader {
                Some(leader) => PlanCommandError::NotCommitted { leader },
                None => PlanCommandError::NoLeader { role: status.role },
            });
        };
        result?;
        Ok(CommittedCommand {
            via: self.handles.name.clone(),
            leader: status.leader,
            index,
            term,
        })
    }
}
