//! The commands that members agree on, and their outcomes.
//!
//! They are stored and exchanged in postcard's form, which depends on the order of fields and variants. The texts in
//! [`CommandError`] and in the history are part of the agreed state.
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::plan::{Machine, Plan, PlanError};
use crate::stage::Stage;

/// A change of the agreed state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandKind {
    /// The facts as the leader observes them.
    Fleet(Fleet),
    /// A step that the leader has found due.
    Step {
        /// Number of the plan.
        plan: u64,
        /// The machine.
        machine: Machine,
        /// Index of the entry by which the machine's present stage began.
        entered: u64,
        /// The next stage.
        to: Stage,
        /// Members that have confirmed it: they hold the host out, or have nothing in flight there.
        confirmed_by: Vec<String>,
    },
    /// An operator submits a plan.
    Submit(Plan),
    /// An operator has a plan take no further machine out.
    Hold {
        /// Number of the plan.
        plan: u64,
        /// The reason.
        reason: String,
    },
    /// An operator lifts a hold.
    Resume {
        /// Number of the plan.
        plan: u64,
    },
    /// An operator has a plan pass a machine over.
    Skip {
        /// Number of the plan.
        plan: u64,
        /// Name of the machine.
        machine: String,
    },
    /// An operator ends a plan.
    Drop {
        /// Number of the plan.
        plan: u64,
    },
    /// An operator reports that the work on a machine is done.
    Done {
        /// Number of the plan.
        plan: u64,
        /// Name of the machine.
        machine: String,
    },
    /// An operator has a machine not wait for a member, which may still send to it.
    Force {
        /// Number of the plan.
        plan: u64,
        /// Name of the machine.
        machine: String,
        /// Name of the member.
        member: String,
    },
}

impl CommandKind {
    /// The leader proposes it, and it holds in the leader's term alone.
    pub(crate) fn is_bound_to_term(&self) -> bool {
        matches!(self, CommandKind::Fleet(_) | CommandKind::Step { .. })
    }
}

/// A command with its origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// A number that no other command has.
    pub id: u64,
    /// Clock of the proposing member, in ms since 1970. It serves the history; nothing is decided by it.
    pub at_ms: u64,
    /// Term of the leader that found a step due; 0 for an operator's command.
    pub term: u64,
    /// The member that proposed it.
    pub via: String,
    /// The operator who asked for it, or the member itself.
    pub author: String,
    /// The change.
    pub kind: CommandKind,
}

impl Command {
    /// The form in which it is agreed.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Texts, numbers and lists of these cannot fail to be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// The plan has a fault.
    #[error("{0}")]
    Plan(#[source] PlanError),
    /// There is no open plan of this number.
    #[error("plan {0} is not there, or over")]
    NoPlan(u64),
    /// The plan does not name the machine, or has finished with it.
    #[error("plan {plan} does not name {machine:?}, or it is over there")]
    NoMachine {
        /// Number of the plan.
        plan: u64,
        /// Name of the machine.
        machine: String,
    },
    /// The machine is at another stage.
    #[error("{machine} is {at}, and that is not done then")]
    Stage {
        /// Name of the machine.
        machine: String,
        /// The word for its stage.
        at: String,
    },
    /// So many plans are open, which is the limit.
    #[error("{0} plans are not over; that is the most")]
    TooMany(usize),
    /// No balancer of the group has this name.
    #[error("{0:?} is not a balancer of the group")]
    NoMember(String),
    /// The command was given by a leader that leads no more. Applied, it would continue what its successor has ended.
    #[error("given in term {given}, and settled in term {committed}")]
    OldTerm {
        /// Term of the leader that gave it.
        given: u64,
        /// Term in which it was committed.
        #[serde(rename = "now")]
        committed: u64,
    },
    /// The state no longer is what the leader found.
    #[error("not as it is any more: {0}")]
    Changed(String),
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Index of its entry in the log.
    pub index: u64,
    /// Term in which it was committed.
    pub term: u64,
    /// The index again, or why it changed nothing.
    pub result: Result<u64, CommandError>,
}
