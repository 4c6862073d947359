//! Proposals of this member.
use std::time::Duration;

use stairfront_common::time::from_duration;
use stairfront_raft::ProposalError;
use tokio::time::timeout;

use super::RaftNode;
use crate::state_machine::StateMachine;

/// The result of a proposal within its time limit, as far as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The proposal was committed and applied here, or its own time limit has passed.
    Ended,
    /// It was not committed in time; it may be later.
    TimedOut,
    /// This member takes no part, so nothing was proposed.
    Unavailable,
}

impl<M: StateMachine> RaftNode<M> {
    /// A number that no other proposal of the group has.
    pub fn next_proposal_id(&self) -> u64 {
        let count = self.proposal_count.get() + 1;
        self.proposal_count.set(count);
        xxhash_rust::xxh3::xxh3_64_with_seed(&count.to_le_bytes(), self.transport.process_id())
    }

    /// Proposes a command and waits until it is committed and applied here.
    ///
    /// # Errors
    ///
    /// [`ProposalError`] if it is too large, or if too many are pending.
    pub async fn propose_and_wait(
        &self,
        id: u64,
        command: Vec<u8>,
        limit: Duration,
    ) -> Result<ProposalOutcome, ProposalError> {
        let now = self.now();
        match self.manager.borrow_mut().as_mut() {
            Some(manager) => manager.propose(now, id, command, from_duration(limit))?,
            None => return Ok(ProposalOutcome::Unavailable),
        }
        self.work_added.notify_one();
        let ended = async {
            loop {
                let committed = self.committed.notified();
                if !self.with_manager(|manager, _| manager.is_pending(id)) {
                    return;
                }
                committed.await;
            }
        };
        match timeout(limit, ended).await {
            Ok(()) => Ok(ProposalOutcome::Ended),
            Err(_) => Ok(ProposalOutcome::TimedOut),
        }
    }

    /// Proposes a command without waiting for it. One that is refused is dropped: its proposer
    /// looks again and proposes it anew.
    pub fn propose(&self, id: u64, command: Vec<u8>, limit: Duration) {
        let now = self.now();
        if let Some(manager) = self.manager.borrow_mut().as_mut() {
            let _ = manager.propose(now, id, command, from_duration(limit));
        }
        self.work_added.notify_one();
    }

    /// Returns once an entry is committed and applied here.
    pub async fn next_commit(&self) {
        self.committed.notified().await;
    }
}
