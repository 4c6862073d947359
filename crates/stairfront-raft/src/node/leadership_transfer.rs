//! Leadership transfer (Diss. section 3.10): the target is brought the whole log and then told to
//! start an election.
use stairfront_common::time::Micros;

use super::role::{LeadershipTransfer, Role};
use super::Node;
use crate::error::RaftError;
use crate::log::Voter;
use crate::message::MessageBody;

impl Node {
    /// Transfers the leadership to another voter. It is given up after an election timeout.
    ///
    /// # Errors
    ///
    /// [`RaftError::NotLeader`], or [`RaftError::NoTransferTarget`] if the target is no voter or
    /// this node itself.
    pub fn transfer_leadership(&mut self, now: Micros, target: &Voter) -> Result<(), RaftError> {
        let is_other_voter = self.voters().contains(target) && *target != self.settings.local;
        let last_index = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return Err(RaftError::NotLeader(self.leader.clone()));
        };
        if !is_other_voter {
            return Err(RaftError::NoTransferTarget);
        }
        state.transfer = Some(LeadershipTransfer {
            target: target.clone(),
            deadline: now + self.settings.election_timeout,
        });
        if state.match_index(target) == Some(last_index) {
            self.respond(target, MessageBody::TimeoutNow);
        }
        Ok(())
    }

    /// Tells a member that has all entries to start an election, if it is the target of a transfer.
    pub(super) fn complete_transfer(&mut self, member: &Voter) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let target = state.transfer.as_ref().map(|transfer| &transfer.target);
        if target == Some(member) {
            self.respond(member, MessageBody::TimeoutNow);
        }
    }

    /// The leader asks this voter to replace it.
    pub(super) fn handle_timeout_now(&mut self, now: Micros, from: &Voter) {
        if self.leader.as_ref() == Some(from) && self.is_voter() {
            self.start_election(now, true);
        }
    }
}
