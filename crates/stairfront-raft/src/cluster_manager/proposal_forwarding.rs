//! Proposals of any member, forwarded to the leader until they are committed or their time has
//! passed.
use stairfront_common::time::{Micros, MS};

use super::{ClusterManager, ClusterMessage};
use crate::error::ProposalError;
use crate::log::{LogIndex, Term};

/// Time between two attempts to bring a proposal to the leader.
const FORWARD_INTERVAL: Micros = 300 * MS;
/// Proposals of one member that are pending at once.
pub const MAX_PENDING_PROPOSALS: usize = 64;
/// Bytes of one proposal.
pub const MAX_PROPOSAL_BYTES: usize = 64 * 1024;
/// Appended proposals that a leader remembers.
const MAX_ACCEPTED_PROPOSALS: usize = 1024;

/// A proposal of this member that has not been committed.
pub(super) struct PendingProposal {
    id: u64,
    bytes: Vec<u8>,
    next_attempt: Micros,
    deadline: Micros,
}

/// Where a proposal was appended.
pub(super) struct AcceptedProposal {
    term: Term,
    index: LogIndex,
}

impl ClusterManager {
    /// Proposes a command: it is forwarded to the leader until [`ClusterManager::committed`] is
    /// called for it or the time limit has passed. The id must be of no other proposal.
    ///
    /// # Errors
    ///
    /// [`ProposalError::TooLarge`] above [`MAX_PROPOSAL_BYTES`], [`ProposalError::TooManyPending`]
    /// beyond [`MAX_PENDING_PROPOSALS`].
    pub fn propose(
        &mut self,
        now: Micros,
        id: u64,
        bytes: Vec<u8>,
        limit: Micros,
    ) -> Result<(), ProposalError> {
        if bytes.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposalError::TooLarge(bytes.len()));
        }
        if self.pending.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposalError::TooManyPending);
        }
        self.pending.push(PendingProposal {
            id,
            bytes,
            next_attempt: now,
            deadline: now + limit,
        });
        self.forward_proposals(now);
        Ok(())
    }

    /// Notes that a proposal was committed.
    pub fn committed(&mut self, id: u64) {
        self.pending.retain(|proposal| proposal.id != id);
    }

    /// Whether a proposal of this member is neither committed nor expired.
    #[must_use]
    pub fn is_pending(&self, id: u64) -> bool {
        self.pending.iter().any(|proposal| proposal.id == id)
    }

    /// Drops the expired proposals, and brings those that are due to the leader.
    pub(super) fn forward_proposals(&mut self, now: Micros) {
        let before = self.pending.len();
        self.pending.retain(|proposal| proposal.deadline > now);
        self.counters.expired_proposals += (before - self.pending.len()) as u64;
        for (id, bytes) in self.take_due_proposals(now) {
            match self.node.leader().cloned() {
                Some(leader) if leader == self.local => self.append_proposal(now, id, bytes),
                Some(leader) => {
                    let message = ClusterMessage::Proposal { id, bytes };
                    self.send(leader.name.clone(), Some(leader), message);
                }
                None => {}
            }
        }
    }

    fn take_due_proposals(&mut self, now: Micros) -> Vec<(u64, Vec<u8>)> {
        let due = self
            .pending
            .iter_mut()
            .filter(|proposal| proposal.next_attempt <= now);
        due.map(|proposal| {
            proposal.next_attempt = now + FORWARD_INTERVAL;
            (proposal.id, proposal.bytes.clone())
        })
        .collect()
    }

    pub(super) fn handle_forwarded_proposal(&mut self, now: Micros, id: u64, bytes: Vec<u8>) {
        if self.node.is_leader() && bytes.len() <= MAX_PROPOSAL_BYTES {
            self.append_proposal(now, id, bytes);
        }
    }

    /// Appends a proposal to the log of this leader, once in a term. After a change of the leader
    /// it can be appended a second time, so the state machine has to recognize applied commands by
    /// their ids.
    fn append_proposal(&mut self, now: Micros, id: u64, bytes: Vec<u8>) {
        let term = self.node.term();
        let earlier = self.accepted.get(&id);
        let is_appended = earlier.is_some_and(|accepted| accepted.term == term);
        if is_appended || !self.may_commit() {
            return;
        }
        if let Ok(index) = self.node.propose(now, bytes) {
            if self.accepted.len() >= MAX_ACCEPTED_PROPOSALS {
                self.remove_oldest_accepted();
            }
            self.accepted.insert(id, AcceptedProposal { term, index });
        }
    }

    fn remove_oldest_accepted(&mut self) {
        let oldest = self
            .accepted
            .iter()
            .min_by_key(|(_, accepted)| accepted.index)
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.accepted.remove(&id);
        }
    }
}
