//! The Raft state of one member, voter or learner, and the dispatch of time and messages to its
//! rules.
//!
//! The rules are in modules named by the sections of the paper: [`election`], [`replication`],
//! [`snapshot`], [`membership_change`] and [`leadership_transfer`].
mod election;
mod leadership_transfer;
mod membership_change;
mod replication;
mod role;
mod snapshot;

use std::collections::BTreeSet;

use stairfront_common::random::SeededRng;
use stairfront_common::time::Micros;

use self::role::Role;
use crate::log::{IndexedEntry, Log, LogIndex, Term, Voter};
use crate::message::{Message, MessageBody};
use crate::ready::{HardState, OutgoingMessage, Ready, Recovered};
use crate::settings::Settings;

pub use self::replication::MAX_UNCOMMITTED_ENTRIES;

/// A batch that was given out and is not known to be durable.
#[derive(Clone, Debug)]
struct UnpersistedBatch {
    number: u64,
    /// The last index of the log when the batch was given out.
    last_index: LogIndex,
}

/// The Raft state of one member.
#[derive(Clone, Debug)]
pub struct Node {
    settings: Settings,
    hard_state: HardState,
    log: Log,
    commit_index: LogIndex,
    /// The last entry that was given out as committed.
    last_applied: LogIndex,
    role: Role,
    leader: Option<Voter>,
    /// When a message of a leader last came.
    last_leader_contact: Micros,
    election_deadline: Micros,
    /// In an election: when those that have not answered are asked again.
    next_vote_request: Micros,
    /// In an election: whether the leader has asked for it.
    transfer_election: bool,
    /// Members that receive the log and do not vote.
    learners: BTreeSet<Voter>,
    rng: SeededRng,
    ready: Ready,
    unpersisted: Vec<UnpersistedBatch>,
    /// The last index of the log that is durable.
    persisted_index: LogIndex,
    last_ready_number: u64,
}

impl Node {
    /// A node with the state that its store held: empty at the very first start.
    #[must_use]
    pub fn new(now: Micros, settings: Settings, recovered: Recovered) -> Self {
        let Recovered { hard_state, log } = recovered;
        let snapshot_index = log.snapshot.index;
        let rng = SeededRng::new(settings.seed);
        let mut node = Node {
            settings,
            hard_state,
            commit_index: snapshot_index,
            last_applied: snapshot_index,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            election_deadline: now,
            next_vote_request: now,
            transfer_election: false,
            learners: BTreeSet::new(),
            rng,
            ready: Ready::default(),
            unpersisted: Vec::new(),
            persisted_index: log.last_index(),
            last_ready_number: 0,
            log,
        };
        if snapshot_index > 0 {
            node.ready.restored = Some(node.log.snapshot.clone());
        }
        node.reset_election_deadline(now);
        node
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<&Voter> {
        self.leader.as_ref()
    }

    /// Whether this node leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Index of the last entry that this node knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The voters that this node goes by.
    #[must_use]
    pub fn voters(&self) -> &[Voter] {
        self.log.voters().voters
    }

    fn is_voter(&self) -> bool {
        self.voters().contains(&self.settings.local)
    }

    /// Whether this node has neither voted nor received an entry.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.hard_state.term == 0 && self.log.last_index() == 0
    }

    /// Takes the work since the last call, if there is any.
    pub fn ready(&mut self) -> Option<Ready> {
        self.collect_committed();
        if self.ready.is_empty() {
            return None;
        }
        self.last_ready_number += 1;
        let ready = Ready {
            number: self.last_ready_number,
            ..std::mem::take(&mut self.ready)
        };
        self.unpersisted.push(UnpersistedBatch {
            number: ready.number,
            last_index: self.log.last_index(),
        });
        Some(ready)
    }

    fn collect_committed(&mut self) {
        while self.last_applied < self.commit_index {
            let index = self.last_applied + 1;
            let Some(entry) = self.log.get(index).cloned() else {
                return;
            };
            self.ready.committed.push(IndexedEntry { index, entry });
            self.last_applied = index;
        }
    }

    /// Notes that all batches up to this number are durable.
    ///
    /// Only now does a leader count its own log: counted before, a crash could undo an entry that
    /// is committed.
    pub fn persisted(&mut self, now: Micros, number: u64) {
        let durable = self
            .unpersisted
            .iter()
            .rfind(|batch| batch.number <= number);
        if let Some(batch) = durable {
            // Entries that were truncated since do not count.
            self.persisted_index = batch.last_index.min(self.log.last_index());
        }
        self.unpersisted.retain(|batch| batch.number > number);
        if let Role::Leader(state) = &mut self.role {
            if let Some(own) = state.progress.get_mut(&self.settings.local) {
                own.match_index = self.persisted_index;
                own.last_response = now;
            }
            self.advance_commit_index();
        }
    }

    /// Lets the time pass: heartbeats of a leader, elections of all others.
    pub fn tick(&mut self, now: Micros) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if self.election_deadline <= now {
            self.start_pre_vote(now);
        } else if self.next_vote_request <= now {
            self.request_votes(now);
        }
    }

    fn tick_leader(&mut self, now: Micros) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        state.expire_transfer(now);
        let heartbeat_due = state.next_heartbeat <= now;
        if heartbeat_due {
            state.next_heartbeat = now + self.settings.heartbeat_interval;
        }
        // A leader that is cut off would accept proposals that are never committed (Diss. section
        // 6.2).
        if !self.has_quorum_contact(now) {
            self.become_follower(now, self.hard_state.term, None);
        } else if heartbeat_due {
            self.broadcast_heartbeat(now);
        }
    }

    /// Handles a message of another member.
    pub fn handle_message(&mut self, now: Micros, from: &Voter, message: Message) {
        let Message { term, body } = message;
        match &body {
            MessageBody::RequestPreVote {
                last_log_index,
                last_log_term,
            } => return self.handle_pre_vote(now, from, term, *last_log_index, *last_log_term),
            MessageBody::PreVoteResponse { granted: true } => {
                return self.handle_pre_vote_granted(now, from, term)
            }
            MessageBody::RequestVote {
                leadership_transfer: false,
                ..
            } if term > self.hard_state.term && self.has_recent_leader(now) => return,
            _ => {}
        }
        if term > self.hard_state.term {
            let sender_leads = body.is_from_leader();
            self.become_follower(now, term, sender_leads.then(|| from.clone()));
        }
        if term < self.hard_state.term {
            return self.reject_stale_term(from, &body);
        }
        self.handle_in_current_term(now, from, body);
    }

    /// Answers a message of an older term, so that its sender learns of the current one.
    fn reject_stale_term(&mut self, from: &Voter, body: &MessageBody) {
        if body.is_from_leader() {
            self.respond(
                from,
                MessageBody::AppendResponse {
                    match_index: None,
                    next_index_hint: 0,
                },
            );
        } else if let MessageBody::RequestVote { .. } = body {
            self.respond(from, MessageBody::VoteResponse { granted: false });
        }
    }

    fn handle_in_current_term(&mut self, now: Micros, from: &Voter, body: MessageBody) {
        match body {
            MessageBody::RequestVote {
                last_log_index,
                last_log_term,
                ..
            } => self.handle_request_vote(now, from, last_log_index, last_log_term),
            MessageBody::VoteResponse { granted: true } => self.handle_vote_granted(now, from),
            MessageBody::AppendEntries(append) => self.handle_append_entries(now, from, append),
            MessageBody::AppendResponse {
                match_index,
                next_index_hint,
            } => self.handle_append_response(now, from, match_index, next_index_hint),
            MessageBody::InstallSnapshot { snapshot } => {
                self.handle_install_snapshot(now, from, snapshot);
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(now, from),
            MessageBody::RequestPreVote { .. }
            | MessageBody::PreVoteResponse { .. }
            | MessageBody::VoteResponse { granted: false } => {}
        }
    }

    /// Sends a message of the current term.
    fn respond(&mut self, to: &Voter, body: MessageBody) {
        self.send(to, self.hard_state.term, body);
    }

    fn send(&mut self, to: &Voter, term: Term, body: MessageBody) {
        self.ready.messages.push(OutgoingMessage {
            to: to.clone(),
            message: Message { term, body },
        });
    }
}
