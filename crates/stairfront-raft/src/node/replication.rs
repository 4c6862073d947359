//! Log replication (Raft section 5.3) and the commit rule (section 5.4.2).
use std::collections::BTreeSet;

use stairfront_common::time::Micros;

use super::role::{Progress, Role};
use super::Node;
use crate::error::RaftError;
use crate::log::{Entry, IndexedEntry, LogIndex, Payload, Voter};
use crate::message::{AppendEntries, MessageBody};

/// Uncommitted entries that a leader accepts; a further proposal is refused.
pub const MAX_UNCOMMITTED_ENTRIES: LogIndex = 1024;

/// Which members a leader sends to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Recipients {
    /// All members.
    All,
    /// Those that have answered what was sent to them.
    WithoutUnanswered,
}

// The leader's side.
impl Node {
    /// Appends a command to the log and returns its index. It is committed once an entry with this
    /// index and this leader's term comes out of [`Ready::committed`](crate::Ready::committed).
    ///
    /// # Errors
    ///
    /// [`RaftError::NotLeader`], [`RaftError::TransferInProgress`], or
    /// [`RaftError::TooManyUncommitted`] beyond [`MAX_UNCOMMITTED_ENTRIES`].
    pub fn propose(&mut self, now: Micros, command: Vec<u8>) -> Result<LogIndex, RaftError> {
        let Role::Leader(state) = &self.role else {
            return Err(RaftError::NotLeader(self.leader.clone()));
        };
        if state.transfer.is_some() {
            return Err(RaftError::TransferInProgress);
        }
        if self.log.last_index() - self.commit_index >= MAX_UNCOMMITTED_ENTRIES {
            return Err(RaftError::TooManyUncommitted);
        }
        Ok(self.append_as_leader(now, Payload::Command(command)))
    }

    /// Appends an entry of the current term and sends it.
    pub(super) fn append_as_leader(&mut self, now: Micros, payload: Payload) -> LogIndex {
        let index = self.append(Entry {
            term: self.hard_state.term,
            payload,
        });
        self.broadcast(now, Recipients::WithoutUnanswered);
        index
    }

    fn append(&mut self, entry: Entry) -> LogIndex {
        let index = self.log.push(entry.clone());
        self.ready.append.push(IndexedEntry { index, entry });
        index
    }

    /// Time since a member last answered this leader; the longest possible where this node does not
    /// lead or knows no such member.
    #[must_use]
    pub fn time_since_response(&self, now: Micros, voter: &Voter) -> Micros {
        let Role::Leader(state) = &self.role else {
            return Micros::MAX;
        };
        state
            .progress
            .get(voter)
            .map_or(Micros::MAX, |progress| now - progress.last_response)
    }

    /// Sends to every member what it lacks, or an empty message.
    pub(super) fn broadcast_heartbeat(&mut self, now: Micros) {
        self.broadcast(now, Recipients::All);
    }

    fn broadcast(&mut self, now: Micros, recipients: Recipients) {
        let others = self.other_members();
        self.track_members(now, &others);
        for member in others {
            let Role::Leader(state) = &self.role else {
                return;
            };
            let unanswered = state
                .progress
                .get(&member)
                .is_some_and(|progress| progress.unanswered_since.is_some());
            if recipients == Recipients::All || !unanswered {
                self.send_append(now, &member);
            }
        }
    }

    /// Voters and learners without this node.
    fn other_members(&self) -> BTreeSet<Voter> {
        self.voters()
            .iter()
            .chain(&self.learners)
            .filter(|member| **member != self.settings.local)
            .cloned()
            .collect()
    }

    /// Keeps progress for this node and the others, and for nobody else. A new member counts as not
    /// in contact.
    fn track_members(&mut self, now: Micros, others: &BTreeSet<Voter>) {
        let last_index = self.log.last_index();
        let long_ago = now - self.settings.election_timeout;
        let local = &self.settings.local;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        state
            .progress
            .retain(|member, _| others.contains(member) || member == local);
        state
            .progress
            .entry(local.clone())
            .or_insert(Progress::new(last_index, now));
        for member in others {
            state
                .progress
                .entry(member.clone())
                .or_insert(Progress::new(last_index, long_ago));
        }
    }

    /// Sends a member its next entries, or a snapshot where they were compacted; a heartbeat if it
    /// lacks nothing.
    fn send_append(&mut self, now: Micros, to: &Voter) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(to) else {
            return;
        };
        let next_index = progress.next_index;
        progress.unanswered_since = (next_index <= self.log.last_index()).then_some(now);
        let prev_log_index = next_index.saturating_sub(1);
        let body = match self.log.term(prev_log_index) {
            Some(prev_log_term) => MessageBody::AppendEntries(AppendEntries {
                prev_log_index,
                prev_log_term,
                entries: self
                    .log
                    .entries_from(next_index, self.settings.max_batch_bytes),
                leader_commit: self.commit_index,
            }),
            None => MessageBody::InstallSnapshot {
                snapshot: self.log.snapshot.clone(),
            },
        };
        self.respond(to, body);
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: Micros,
        from: &Voter,
        match_index: Option<LogIndex>,
        next_index_hint: LogIndex,
    ) {
        let last_index = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(from) else {
            return;
        };
        progress.last_response = now;
        progress.unanswered_since = None;
        // Only an answer that brings news is followed by further entries: on a link that
        // duplicates, two answers to each message would otherwise grow without end. A heartbeat
        // resends what was lost.
        let brings_news = progress.update(match_index, next_index_hint, last_index);
        let lacks_entries = progress.next_index <= last_index;
        let has_all_entries = progress.match_index == last_index;
        if match_index.is_some() {
            self.advance_commit_index();
        }
        if has_all_entries {
            self.complete_transfer(from);
        }
        if lacks_entries && brings_news {
            self.send_append(now, from);
        }
    }

    /// Commits what a majority has: only entries of the leader's own term by counting, and with
    /// them all that precede (Raft section 5.4.2).
    pub(super) fn advance_commit_index(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let match_index = |voter| state.match_index(voter).unwrap_or(0);
        let mut match_indices: Vec<LogIndex> = self.voters().iter().map(match_index).collect();
        match_indices.sort_unstable();
        let Some(median) = match_indices.len().checked_sub(1).map(|last| last / 2) else {
            return;
        };
        let majority_index = match_indices[median];
        if majority_index > self.commit_index
            && self.log.term(majority_index) == Some(self.hard_state.term)
        {
            self.commit_index = majority_index;
        }
    }
}

// The follower's side.
impl Node {
    pub(super) fn handle_append_entries(
        &mut self,
        now: Micros,
        from: &Voter,
        append: AppendEntries,
    ) {
        self.become_follower(now, self.hard_state.term, Some(from.clone()));
        let AppendEntries {
            prev_log_index,
            prev_log_term,
            entries,
            leader_commit,
        } = append;
        // The entries that the snapshot covers are committed, and so the same at the leader.
        let matches = prev_log_index < self.log.snapshot.index
            || self.log.term(prev_log_index) == Some(prev_log_term);
        if !matches {
            let next_index_hint = self.next_index_hint(prev_log_index);
            return self.respond(
                from,
                MessageBody::AppendResponse {
                    match_index: None,
                    next_index_hint,
                },
            );
        }
        let match_index = prev_log_index + entries.len() as LogIndex;
        self.reconcile_entries(prev_log_index, entries);
        // Only up to the last entry of this message: what is behind it may be of another history
        // (Raft section 5.3).
        self.commit_index = self.commit_index.max(leader_commit.min(match_index));
        self.respond(
            from,
            MessageBody::AppendResponse {
                match_index: Some(match_index),
                next_index_hint: 0,
            },
        );
    }

    /// Appends the entries that follow an index, in place of those that conflict with them.
    fn reconcile_entries(&mut self, prev_log_index: LogIndex, entries: Vec<Entry>) {
        for (index, entry) in (prev_log_index + 1..).zip(entries) {
            if index <= self.log.snapshot.index {
                continue;
            }
            match self.log.term(index) {
                Some(own_term) if own_term == entry.term => continue,
                Some(_) => self.truncate_log(index),
                None => {}
            }
            self.append(entry);
        }
    }

    /// The index that a leader should try next: the first of the term of the entry that did not
    /// match (Raft section 5.3).
    fn next_index_hint(&self, prev_log_index: LogIndex) -> LogIndex {
        let mut index = prev_log_index.min(self.log.last_index() + 1);
        let Some(term) = self.log.term(index) else {
            return index.max(1);
        };
        while index > self.log.snapshot.index + 1 && self.log.term(index - 1) == Some(term) {
            index -= 1;
        }
        index
    }

    /// Removes the entries from an index on, also from what is not durable yet.
    fn truncate_log(&mut self, from: LogIndex) {
        self.log.truncate(from);
        let last_kept = from - 1;
        self.persisted_index = self.persisted_index.min(last_kept);
        for batch in &mut self.unpersisted {
            batch.last_index = batch.last_index.min(last_kept);
        }
        self.ready.append.retain(|appended| appended.index < from);
        let earlier = self.ready.truncate_from.unwrap_or(from);
        self.ready.truncate_from = Some(earlier.min(from));
    }
}
