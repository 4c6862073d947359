//! The interface of a replicated state machine.
use stairfront_raft::{LogIndex, Term};

/// A replicated state machine: the same commands in the same order give the same state at each
/// member.
pub trait StateMachine {
    /// Applies a committed command and returns the id of its proposal, so that the proposer is
    /// notified.
    fn apply(&mut self, index: LogIndex, term: Term, command: &[u8]) -> Option<u64>;
    /// The state after all applied commands, for members that lack them.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by that of a snapshot; by the initial one if the data is empty.
    fn restore(&mut self, index: LogIndex, data: &[u8]);
}
