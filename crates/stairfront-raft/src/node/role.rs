//! The roles of a server (Raft figure 4) and the state that belongs to each.
use std::collections::{BTreeMap, BTreeSet};

use stairfront_common::time::Micros;

use crate::log::{LogIndex, Voter};

/// The role of a node.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected, in an unchanged term; those that would vote for it.
    PreCandidate(BTreeSet<Voter>),
    /// Asks for votes; those that have voted for it.
    Candidate(BTreeSet<Voter>),
    /// Leads.
    Leader(LeaderState),
}

/// A leader's knowledge of a member (Raft figure 2).
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// Index of the last entry known to be the same there.
    pub(super) match_index: LogIndex,
    /// When it last answered.
    pub(super) last_response: Micros,
    /// When entries were last sent that it has not answered.
    pub(super) unanswered_since: Option<Micros>,
}

impl Progress {
    /// A member of whose log nothing is known yet.
    pub(super) fn new(next_index: LogIndex, last_response: Micros) -> Self {
        Progress {
            next_index,
            match_index: 0,
            last_response,
            unanswered_since: None,
        }
    }

    /// Applies a response and returns whether it has changed anything.
    pub(super) fn update(
        &mut self,
        match_index: Option<LogIndex>,
        next_index_hint: LogIndex,
        last_index: LogIndex,
    ) -> bool {
        let before = (self.match_index, self.next_index);
        match match_index {
            Some(match_index) => {
                self.match_index = self.match_index.max(match_index);
                self.next_index = self.next_index.max(match_index + 1);
            }
            // Never before what the member is known to have.
            None => self.next_index = next_index_hint.clamp(self.match_index + 1, last_index + 1),
        }
        (self.match_index, self.next_index) != before
    }
}

/// A leadership transfer that has not ended.
#[derive(Clone, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) target: Voter,
    pub(super) deadline: Micros,
}

/// The state of a leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<Voter, Progress>,
    /// Index of the entry with which its term began.
    pub(super) first_index: LogIndex,
    pub(super) next_heartbeat: Micros,
    pub(super) transfer: Option<LeadershipTransfer>,
}

impl LeaderState {
    /// Gives up a transfer whose time has passed.
    pub(super) fn expire_transfer(&mut self, now: Micros) {
        self.transfer.take_if(|transfer| transfer.deadline <= now);
    }

    /// The last index that is known to be the same at a member; none for one that is not known.
    pub(super) fn match_index(&self, member: &Voter) -> Option<LogIndex> {
        let progress = self.progress.get(member)?;
        Some(progress.match_index)
    }
}
