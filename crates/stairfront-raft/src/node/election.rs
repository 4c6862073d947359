//! Leader election (Raft section 5.2) with pre-vote (Diss. section 9.6).
use std::collections::{BTreeMap, BTreeSet};

use stairfront_common::time::Micros;

use super::role::{LeaderState, Progress, Role};
use super::Node;
use crate::log::{LogIndex, Payload, Term, Voter};
use crate::message::MessageBody;
use crate::ready::HardState;

impl Node {
    /// Draws a new election timeout. Its random part makes it unlikely that two voters stand at
    /// once (Raft section 5.2).
    pub(super) fn reset_election_deadline(&mut self, now: Micros) {
        let timeout = self.settings.election_timeout;
        self.election_deadline = now + timeout + self.rng.below(timeout);
    }

    pub(super) fn is_majority(&self, count: usize) -> bool {
        count * 2 > self.voters().len()
    }

    /// Whether a majority of the voters has answered this leader within an election timeout.
    pub(super) fn has_quorum_contact(&self, now: Micros) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let in_contact = |voter: &&Voter| {
            **voter == self.settings.local
                || state.progress.get(*voter).is_some_and(|progress| {
                    now - progress.last_response <= self.settings.election_timeout
                })
        };
        self.is_majority(self.voters().iter().filter(in_contact).count())
    }

    /// Whether a leader was in contact within an election timeout. It is then not replaced, unless
    /// it has asked for that itself (Diss. section 4.2.3).
    pub(super) fn has_recent_leader(&self, now: Micros) -> bool {
        let in_contact = now - self.last_leader_contact < self.settings.election_timeout;
        self.leader.is_some() && (self.is_leader() || in_contact)
    }

    /// Asks the voters whether they would elect this node, before it raises its term: a voter that
    /// was cut off does not end a leader that the others follow.
    pub(super) fn start_pre_vote(&mut self, now: Micros) {
        self.reset_election_deadline(now);
        // A learner forgets its leader, too: it would otherwise report to a dead one for ever, and
        // be unknown to the next.
        self.leader = None;
        if !self.is_voter() {
            return;
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.settings.local.clone()]));
        if self.is_majority(1) {
            return self.start_election(now, false);
        }
        self.request_votes(now);
    }

    /// Starts an election in a new term.
    pub(super) fn start_election(&mut self, now: Micros, leadership_transfer: bool) {
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.settings.local.clone()),
        });
        self.leader = None;
        self.role = Role::Candidate(BTreeSet::from([self.settings.local.clone()]));
        self.reset_election_deadline(now);
        if self.is_majority(1) {
            return self.become_leader(now);
        }
        self.transfer_election = leadership_transfer;
        self.request_votes(now);
    }

    /// Asks the voters that have not answered. It is repeated, because on links with losses two of
    /// three voters would otherwise elect nobody for many rounds (Raft section 5.1).
    pub(super) fn request_votes(&mut self, now: Micros) {
        let last_log_index = self.log.last_index();
        let last_log_term = self.log.last_term();
        let (granted, term, body) = match &self.role {
            Role::PreCandidate(granted) => {
                let body = MessageBody::RequestPreVote {
                    last_log_index,
                    last_log_term,
                };
                (granted, self.hard_state.term + 1, body)
            }
            Role::Candidate(granted) => {
                let body = MessageBody::RequestVote {
                    last_log_index,
                    last_log_term,
                    leadership_transfer: self.transfer_election,
                };
                (granted, self.hard_state.term, body)
            }
            Role::Follower | Role::Leader(_) => return,
        };
        let unanswered: Vec<Voter> = self
            .voters()
            .iter()
            .filter(|voter| !granted.contains(*voter))
            .cloned()
            .collect();
        self.next_vote_request = now + self.settings.heartbeat_interval;
        for voter in &unanswered {
            self.send(voter, term, body.clone());
        }
    }

    fn become_leader(&mut self, now: Micros) {
        let next_index = self.log.last_index() + 1;
        let progress: BTreeMap<Voter, Progress> = self
            .voters()
            .iter()
            .map(|voter| (voter.clone(), Progress::new(next_index, now)))
            .collect();
        self.role = Role::Leader(LeaderState {
            progress,
            first_index: next_index,
            next_heartbeat: now + self.settings.heartbeat_interval,
            transfer: None,
        });
        self.leader = Some(self.settings.local.clone());
        self.append_as_leader(now, Payload::Noop);
    }

    /// Follows the leader of a term, or waits for one.
    pub(super) fn become_follower(&mut self, now: Micros, term: Term, leader: Option<Voter>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.role = Role::Follower;
        if leader.is_some() {
            self.last_leader_contact = now;
        }
        self.leader = leader;
        self.reset_election_deadline(now);
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.ready.hard_state = Some(self.hard_state.clone());
    }

    /// Whether a log lacks nothing that this node's has: only then does it get a vote (Raft section
    /// 5.4.1).
    fn is_up_to_date(&self, last_log_index: LogIndex, last_log_term: Term) -> bool {
        (last_log_term, last_log_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Micros,
        from: &Voter,
        term: Term,
        last_log_index: LogIndex,
        last_log_term: Term,
    ) {
        let granted = term > self.hard_state.term
            && !self.has_recent_leader(now)
            && self.is_up_to_date(last_log_index, last_log_term);
        let response_term = if granted { term } else { self.hard_state.term };
        self.send(
            from,
            response_term,
            MessageBody::PreVoteResponse { granted },
        );
    }

    pub(super) fn handle_pre_vote_granted(&mut self, now: Micros, from: &Voter, term: Term) {
        let counts = self.voters().contains(from) && term == self.hard_state.term + 1;
        let Role::PreCandidate(granted) = &mut self.role else {
            return;
        };
        if counts {
            granted.insert(from.clone());
        }
        let count = granted.len();
        if self.is_majority(count) {
            self.start_election(now, false);
        }
    }

    /// Answers a request for a vote. Whether the sender is a voter by this node's own log does not
    /// matter (Diss. section 4.1). A member with empty storage has a new incarnation, so there is
    /// no vote that it could have forgotten.
    pub(super) fn handle_request_vote(
        &mut self,
        now: Micros,
        from: &Voter,
        last_log_index: LogIndex,
        last_log_term: Term,
    ) {
        let vote = self.hard_state.vote.as_ref();
        let vote_is_free = vote.is_none_or(|vote| vote == from);
        let granted = vote_is_free && self.is_up_to_date(last_log_index, last_log_term);
        if granted {
            self.set_hard_state(HardState {
                term: self.hard_state.term,
                vote: Some(from.clone()),
            });
            self.reset_election_deadline(now);
        }
        self.respond(from, MessageBody::VoteResponse { granted });
    }

    pub(super) fn handle_vote_granted(&mut self, now: Micros, from: &Voter) {
        let counts = self.voters().contains(from);
        let Role::Candidate(granted) = &mut self.role else {
            return;
        };
        if counts {
            granted.insert(from.clone());
        }
        let count = granted.len();
        if self.is_majority(count) {
            self.become_leader(now);
        }
    }
}
