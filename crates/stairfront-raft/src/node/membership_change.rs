//! Cluster membership: the first voters, changes of one server at a time (Diss. section 4.1), and
//! learners (section 4.2.1).
use stairfront_common::time::Micros;

use super::role::Role;
use super::Node;
use crate::error::RaftError;
use crate::log::{LogIndex, Payload, Snapshot, Voter};
use crate::ready::HardState;

/// Learners that a leader replicates the log to at once.
const MAX_LEARNERS: usize = 512;

impl Node {
    /// Begins a group: its voters are its first committed fact. It does nothing at a node that is
    /// not new, and must be called at one member only.
    pub fn bootstrap(&mut self, now: Micros, voters: Vec<Voter>, cluster_id: u64) {
        if !self.is_new() {
            return;
        }
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            voters,
            cluster_id,
            data: Vec::new(),
        };
        self.set_hard_state(HardState {
            term: 1,
            vote: None,
        });
        self.log.compact(snapshot.clone());
        self.commit_index = snapshot.index;
        self.last_applied = snapshot.index;
        self.persisted_index = snapshot.index;
        self.ready.snapshot = Some(snapshot.clone());
        self.ready.restored = Some(snapshot);
        self.election_deadline = now;
    }

    /// Sets the members that receive the log and do not vote.
    pub fn set_learners(&mut self, learners: impl Iterator<Item = Voter>) {
        self.learners = learners.take(MAX_LEARNERS).collect();
    }

    /// Adds a voter or removes one: the majorities before and after share a voter (Diss. section
    /// 4.1). Returns the index of the entry.
    ///
    /// # Errors
    ///
    /// - [`RaftError::NotLeader`] and [`RaftError::TransferInProgress`].
    /// - [`RaftError::LearnerBehind`]: a voter that counted before it has the log would, with one
    ///   more loss, leave no majority that has it (Diss. section 4.2.1).
    /// - [`RaftError::ChangeInProgress`], also until the leader has committed an entry of its own
    ///   term: the changes of two leaders could overlap before that (the error in the dissertation
    ///   that was found in 2015).
    /// - [`RaftError::InvalidChange`] for anything but one voter more or less.
    pub fn change_voters(
        &mut self,
        now: Micros,
        voters: Vec<Voter>,
    ) -> Result<LogIndex, RaftError> {
        let Role::Leader(state) = &self.role else {
            return Err(RaftError::NotLeader(self.leader.clone()));
        };
        if state.transfer.is_some() {
            return Err(RaftError::TransferInProgress);
        }
        let current = self.log.voters();
        let added: Vec<&Voter> = difference(&voters, current.voters);
        let removed: Vec<&Voter> = difference(current.voters, &voters);
        let has_committed = |voter: &&Voter| state.match_index(voter) >= Some(self.commit_index);
        if !added.iter().all(has_committed) {
            return Err(RaftError::LearnerBehind);
        }
        if current.index > self.commit_index || state.first_index > self.commit_index {
            return Err(RaftError::ChangeInProgress);
        }
        if added.len() + removed.len() != 1 || voters.is_empty() {
            return Err(RaftError::InvalidChange);
        }
        Ok(self.append_as_leader(now, Payload::Voters(voters)))
    }
}

/// The voters of one list that are not in the other.
fn difference<'a>(voters: &'a [Voter], other: &[Voter]) -> Vec<&'a Voter> {
    voters
        .iter()
        .filter(|voter| !other.contains(voter))
        .collect()
}
