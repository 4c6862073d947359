//! One voter, or one that only learns.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::dice::Dice;
use crate::log::{Entry, Index, Log, Payload, Snapshot, Term, Voter};
use crate::message::{Body, Message};
use crate::settings::{Micros, Settings};

/// Learners that a leader brings the log to at once.
const MOST_LEARNERS: usize = 512;
/// Entries that a leader takes beyond those that are settled; a further order is refused.
pub const MAX_UNCOMMITTED: Index = 1024;

/// What must never be forgotten beside the log (Raft figure 2).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: Term,
    pub vote: Option<Voter>,
}

/// What a store held at a start.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    pub hard: HardState,
    pub log: Log,
}

/// To be done in this order: store all of it durably, send, say `synced`. Settled entries may be applied at any time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    pub number: u64,
    pub hard: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are void.
    pub truncate: Option<Index>,
    pub append: Vec<(Index, Entry)>,
    pub send: Vec<(Voter, Message)>,
    /// A snapshot in place of all settled before, then entries in order.
    pub restored: Option<Snapshot>,
    pub committed: Vec<(Index, Entry)>,
}

impl Ready {
    fn is_empty(&self) -> bool {
        let Ready {
            number: _,
            hard,
            snapshot,
            truncate,
            append,
            send,
            restored,
            committed,
        } = self;
        let kept = hard.is_none() && snapshot.is_none() && truncate.is_none() && append.is_empty();
        kept && send.is_empty() && restored.is_none() && committed.is_empty()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RaftError {
    #[error("not the leader, which is {}", .0.as_ref().map_or("not known", |voter| &voter.name))]
    NotLeader(Option<Voter>),
    #[error("too much is under way that is not settled; ask again")]
    Busy,
    #[error("the leadership is being handed over; ask again")]
    HandingOver,
    #[error("a change of voters is under way, or the leader has settled nothing yet; ask again")]
    Changing,
    #[error("the new voter has to learn what is settled first; ask again")]
    Behind,
    #[error("one voter at a time can be added or removed, and one has to stay")]
    Step,
}

#[derive(Clone, Debug)]
struct Progress {
    next: Index,
    matched: Index,
    /// When it answered last.
    heard: Micros,
    /// When it was last sent entries that it has not answered.
    sent: Option<Micros>,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Asks whether it would be elected; its term has not changed.
    PreCandidate(BTreeSet<Voter>),
    Candidate(BTreeSet<Voter>),
    Leader {
        progress: BTreeMap<Voter, Progress>,
        /// The entry that its term began with.
        first: Index,
        next_beat: Micros,
        hand_over: Option<(Voter, Micros)>,
    },
}

#[derive(Clone, Debug)]
pub struct Node {
    set: Settings,
    hard: HardState,
    log: Log,
    commit: Index,
    applied: Index,
    role: Role,
    leader: Option<Voter>,
    /// When a leader was last heard.
    heard: Micros,
    deadline: Micros,
    /// While it stands: when it asks again those that have not answered, and whether the leader had it stand.
    next_ask: Micros,
    handed: bool,
    /// Those that learn and do not vote.
    learners: BTreeSet<Voter>,
    dice: Dice,
    ready: Ready,
    /// The last index of each `Ready` that is not yet durable.
    unsynced: Vec<(u64, Index)>,
    synced: Index,
    numbers: u64,
}

impl Node {
    /// `recovered` is what the store held; for the first start of a group, a log whose snapshot names its voters.
    pub fn new(now: Micros, set: Settings, recovered: Recovered) -> Self {
        let Recovered { hard, log } = recovered;
        let (commit, synced) = (log.snapshot.index, log.last_index());
        let dice = Dice::new(set.seed);
        let mut node = Node {
            set,
            hard,
            commit,
            applied: commit,
            role: Role::Follower,
            leader: None,
            heard: now,
            deadline: now,
            next_ask: now,
            handed: false,
            learners: BTreeSet::new(),
            dice,
            ready: Ready::default(),
            unsynced: Vec::new(),
            synced,
            numbers: 0,
            log,
        };
        if node.log.snapshot.index > 0 {
            node.ready.restored = Some(node.log.snapshot.clone());
        }
        node.put_off(now);
        node
    }

    pub fn term(&self) -> Term {
        self.hard.term
    }

    pub fn leader(&self) -> Option<&Voter> {
        self.leader.as_ref()
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    pub fn commit(&self) -> Index {
        self.commit
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn voters(&self) -> &[Voter] {
        self.log.voters().1
    }

    fn is_voter(&self) -> bool {
        self.voters().contains(&self.set.me)
    }

    /// Nothing was ever promised or learnt here.
    pub fn is_new(&self) -> bool {
        self.hard.term == 0 && self.log.last_index() == 0
    }

    /// Begins a group: its voters are its first settled fact. Only for a node that is new, and once in a group's life.
    pub fn bootstrap(&mut self, now: Micros, voters: Vec<Voter>, founding: u64) {
        if !self.is_new() {
            return;
        }
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            voters,
            founding,
            data: Vec::new(),
        };
        self.hard = HardState {
            term: 1,
            vote: None,
        };
        self.log.compact(snapshot.clone());
        (self.commit, self.applied, self.synced) = (1, 1, 1);
        self.ready.hard = Some(self.hard.clone());
        self.ready.snapshot = Some(snapshot.clone());
        self.ready.restored = Some(snapshot);
        self.deadline = now;
    }

    /// How long the leader has not heard this voter.
    pub fn silent_for(&self, now: Micros, voter: &Voter) -> Micros {
        match &self.role {
            Role::Leader { progress, .. } => {
                progress.get(voter).map_or(Micros::MAX, |of| now - of.heard)
            }
            _ => Micros::MAX,
        }
    }

    /// Those that are to be brought the log beside the voters.
    pub fn set_learners(&mut self, learners: impl Iterator<Item = Voter>) {
        self.learners = learners.take(MOST_LEARNERS).collect();
    }

    /// What is to be done since the last call, if anything.
    pub fn ready(&mut self) -> Option<Ready> {
        self.settle();
        if self.ready.is_empty() {
            return None;
        }
        self.numbers += 1;
        let ready = Ready {
            number: self.numbers,
            ..std::mem::take(&mut self.ready)
        };
        self.unsynced.push((ready.number, self.log.last_index()));
        Some(ready)
    }

    /// All up to this `Ready` is durable. Danger: a leader that counted itself before would settle what a crash undoes.
    pub fn persisted(&mut self, now: Micros, number: u64) {
        let upto = self
            .unsynced
            .iter()
            .filter(|(known, _)| *known <= number)
            .map(|(_, last)| *last)
            .next_back();
        self.unsynced.retain(|(known, _)| *known > number);
        if let Some(upto) = upto {
            // What was cut off meanwhile does not count.
            self.synced = upto.min(self.log.last_index());
        }
        let (me, synced) = (self.set.me.clone(), self.synced);
        if let Role::Leader { progress, .. } = &mut self.role {
            if let Some(own) = progress.get_mut(&me) {
                (own.matched, own.heard) = (synced, now);
            }
            self.advance();
        }
    }

    // --- time ---

    pub fn tick(&mut self, now: Micros) {
        let election = self.set.election;
        if let Role::Leader {
            next_beat,
            hand_over,
            ..
        } = &mut self.role
        {
            if hand_over.as_ref().is_some_and(|(_, until)| *until <= now) {
                *hand_over = None;
            }
            let due = *next_beat <= now;
            if due {
                *next_beat = now + self.set.heartbeat;
            }
            // Danger: one cut off with its old belief would take orders that are never settled (Diss. section 6.2).
            if !self.hears_majority(now, election) {
                return self.follow(now, self.hard.term, None);
            }
            if due {
                self.send_all(now, true);
            }
            return;
        }
        if self.deadline <= now {
            self.stand(now);
        } else if self.next_ask <= now {
            self.ask(now);
        }
    }

    fn put_off(&mut self, now: Micros) {
        self.deadline = now + self.set.election + self.dice.below(self.set.election);
    }

    fn hears_majority(&self, now: Micros, within: Micros) -> bool {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let me = &self.set.me;
        let heard = |voter: &&Voter| {
            *voter == me
                || progress
                    .get(*voter)
                    .is_some_and(|progress| now - progress.heard <= within)
        };
        self.is_majority(self.voters().iter().filter(heard).count())
    }

    fn is_majority(&self, count: usize) -> bool {
        count * 2 > self.voters().len()
    }

    // --- elections ---

    /// Asks first whether it would be elected: one that was cut off does not end a leader that others hear.
    fn stand(&mut self, now: Micros) {
        self.put_off(now);
        // Danger: one that only learns would speak to a dead leader for ever, and the next one never hear of it.
        self.leader = None;
        if !self.is_voter() {
            return;
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.set.me.clone()]));
        if self.is_majority(1) {
            return self.campaign(now, false);
        }
        self.ask(now);
    }

    /// Danger: asked once, two of three voters on links that lose would elect nobody for many rounds (Raft section 5.1).
    fn ask(&mut self, now: Micros) {
        let (last_index, last_term, term) =
            (self.log.last_index(), self.log.last_term(), self.hard.term);
        let handed = self.handed;
        let (said, term, body) = match &self.role {
            Role::PreCandidate(granted) => (
                granted,
                term + 1,
                Body::PreVote {
                    last_index,
                    last_term,
                },
            ),
            Role::Candidate(granted) => (
                granted,
                term,
                Body::Vote {
                    last_index,
                    last_term,
                    handed,
                },
            ),
            _ => return,
        };
        let silent = self.voters().iter().filter(|voter| !said.contains(*voter));
        let silent: Vec<Voter> = silent.cloned().collect();
        self.next_ask = now + self.set.heartbeat;
        silent.iter().for_each(|voter| {
            self.send(
                voter,
                Message {
                    term,
                    body: body.clone(),
                },
            )
        });
    }

    fn campaign(&mut self, now: Micros, handed: bool) {
        self.hard = HardState {
            term: self.hard.term + 1,
            vote: Some(self.set.me.clone()),
        };
        self.ready.hard = Some(self.hard.clone());
        self.leader = None;
        self.role = Role::Candidate(BTreeSet::from([self.set.me.clone()]));
        self.put_off(now);
        if self.is_majority(1) {
            return self.lead(now);
        }
        self.handed = handed;
        self.ask(now);
    }

    fn lead(&mut self, now: Micros) {
        let next = self.log.last_index() + 1;
        let new = |heard| Progress {
            next,
            matched: 0,
            heard,
            sent: None,
        };
        let progress = self
            .voters()
            .iter()
            .map(|voter| (voter.clone(), new(now)))
            .collect();
        self.role = Role::Leader {
            progress,
            first: next,
            next_beat: now + self.set.heartbeat,
            hand_over: None,
        };
        self.leader = Some(self.set.me.clone());
        self.push(now, Payload::Nothing);
    }

    fn follow(&mut self, now: Micros, term: Term, leader: Option<Voter>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.ready.hard = Some(self.hard.clone());
        }
        self.role = Role::Follower;
        if leader.is_some() {
            self.heard = now;
        }
        self.leader = leader;
        self.put_off(now);
    }

    /// Raft section 5.4.1: a vote goes to a log that lacks nothing of one's own.
    fn is_as_new(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    // --- messages ---

    pub fn handle_message(&mut self, now: Micros, from: &Voter, message: Message) {
        let Message { term, body } = message;
        // A leader that was heard just now stands against all who would replace it unasked (Diss. section 4.2.3).
        let settled =
            self.leader.is_some() && (self.is_leader() || now - self.heard < self.set.election);
        match &body {
            Body::PreVote {
                last_index,
                last_term,
            } => {
                let granted =
                    term > self.hard.term && !settled && self.is_as_new(*last_index, *last_term);
                let answer = if granted { term } else { self.hard.term };
                return self.send(
                    from,
                    Message {
                        term: answer,
                        body: Body::PreVoteAnswer { granted },
                    },
                );
            }
            Body::PreVoteAnswer { granted: true } => return self.hear_pre_vote(now, from, term),
            Body::Vote { handed: false, .. } if settled && term > self.hard.term => return,
            _ => {}
        }
        if term > self.hard.term {
            let leads = matches!(body, Body::Append { .. } | Body::Install { .. });
            self.follow(now, term, leads.then(|| from.clone()));
        }
        if term < self.hard.term {
            // Danger: one with an older term would go on leading.
            let term = self.hard.term;
            let answer = match body {
                Body::Append { .. } | Body::Install { .. } => Body::AppendAnswer {
                    matched: None,
                    hint: 0,
                },
                Body::Vote { .. } => Body::VoteAnswer { granted: false },
                _ => return,
            };
            return self.send(from, Message { term, body: answer });
        }
        match body {
            Body::Vote {
                last_index,
                last_term,
                ..
            } => self.hear_vote(now, from, last_index, last_term),
            Body::VoteAnswer { granted: true } => {
                let counts = self.voters().contains(from);
                let Role::Candidate(granted) = &mut self.role else {
                    return;
                };
                if counts {
                    granted.insert(from.clone());
                }
                let count = granted.len();
                if self.is_majority(count) {
                    self.lead(now);
                }
            }
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                self.hear_append(now, from, prev_index, prev_term, entries, commit);
            }
            Body::AppendAnswer { matched, hint } => {
                self.hear_append_answer(now, from, matched, hint)
            }
            Body::Install { snapshot } => self.hear_install(now, from, snapshot),
            Body::Campaign if self.leader.as_ref() == Some(from) && self.is_voter() => {
                self.campaign(now, true)
            }
            _ => {}
        }
    }

    fn hear_pre_vote(&mut self, now: Micros, from: &Voter, term: Term) {
        let counts = self.voters().contains(from) && term == self.hard.term + 1;
        let Role::PreCandidate(granted) = &mut self.role else {
            return;
        };
        if counts {
            granted.insert(from.clone());
        }
        let count = granted.len();
        if self.is_majority(count) {
            self.campaign(now, false);
        }
    }

    fn hear_vote(&mut self, now: Micros, from: &Voter, last_index: Index, last_term: Term) {
        let free = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
        // Whether one's own log names one as a voter does not matter (Diss. section 4.1): the asker counts by its log. One
        // with an empty disk has another life, and so no older vote that it could have forgotten.
        let granted = free && self.is_as_new(last_index, last_term);
        if granted {
            self.hard.vote = Some(from.clone());
            self.ready.hard = Some(self.hard.clone());
            self.put_off(now);
        }
        self.send(
            from,
            Message {
                term: self.hard.term,
                body: Body::VoteAnswer { granted },
            },
        );
    }

    fn hear_append(
        &mut self,
        now: Micros,
        from: &Voter,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        self.follow(now, self.hard.term, Some(from.clone()));
        let term = self.hard.term;
        // What lies behind the snapshot is settled, and so the same.
        let known =
            prev_index < self.log.snapshot.index || self.log.term(prev_index) == Some(prev_term);
        if !known {
            let hint = self.hint(prev_index);
            return self.send(
                from,
                Message {
                    term,
                    body: Body::AppendAnswer {
                        matched: None,
                        hint,
                    },
                },
            );
        }
        let mut at = prev_index;
        for entry in entries {
            at += 1;
            if at <= self.log.snapshot.index {
                continue;
            }
            match self.log.term(at) {
                Some(own) if own == entry.term => continue,
                Some(_) => self.cut(at),
                None => {}
            }
            self.log.push(entry.clone());
            self.ready.append.push((at, entry));
        }
        // Only what is the leader's own, as far as it was told: what stands behind may be void (Raft section 5.3).
        self.commit = self.commit.max(commit.min(at));
        self.send(
            from,
            Message {
                term,
                body: Body::AppendAnswer {
                    matched: Some(at),
                    hint: 0,
                },
            },
        );
    }

    /// Where a leader should look next: before the first entry of the term that did not fit.
    fn hint(&self, prev_index: Index) -> Index {
        let mut at = prev_index.min(self.log.last_index() + 1);
        let Some(term) = self.log.term(at) else {
            return at.max(1);
        };
        while at > self.log.snapshot.index + 1 && self.log.term(at - 1) == Some(term) {
            at -= 1;
        }
        at
    }

    fn cut(&mut self, from: Index) {
        self.log.truncate(from);
        self.synced = self.synced.min(from - 1);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(from - 1);
        }
        self.ready.append.retain(|(index, _)| *index < from);
        self.ready.truncate = Some(self.ready.truncate.map_or(from, |before| before.min(from)));
    }

    fn hear_install(&mut self, now: Micros, from: &Voter, snapshot: Snapshot) {
        self.follow(now, self.hard.term, Some(from.clone()));
        let (index, term) = (snapshot.index, self.hard.term);
        let own = self.log.snapshot.founding;
        if own != 0 && own != snapshot.founding {
            return;
        }
        if index > self.commit {
            self.log.compact(snapshot.clone());
            self.ready
                .append
                .retain(|(at, _)| *at > index && self.log.get(*at).is_some());
            self.ready.snapshot = Some(snapshot.clone());
            self.ready.restored = Some(snapshot);
            self.ready.committed.clear();
            (self.commit, self.applied) = (index, index);
            self.synced = self.synced.clamp(index, self.log.last_index().max(index));
        }
        let matched = Some(self.commit.min(index));
        self.send(
            from,
            Message {
                term,
                body: Body::AppendAnswer { matched, hint: 0 },
            },
        );
    }

    fn hear_append_answer(
        &mut self,
        now: Micros,
        from: &Voter,
        matched: Option<Index>,
        hint: Index,
    ) {
        let last = self.log.last_index();
        let Role::Leader {
            progress,
            hand_over,
            ..
        } = &mut self.role
        else {
            return;
        };
        let Some(of) = progress.get_mut(from) else {
            return;
        };
        (of.heard, of.sent) = (now, None);
        let before = (of.matched, of.next);
        match matched {
            Some(matched) => {
                of.matched = of.matched.max(matched);
                of.next = of.next.max(matched + 1);
            }
            // Never behind what it has.
            None => of.next = hint.clamp(of.matched + 1, last + 1),
        }
        // Danger: on a link that doubles, each answer that is answered makes two of it, without end. What tells nothing new
        // is not answered; a beat goes on where something was lost.
        let moved = (of.matched, of.next) != before;
        let (behind, caught_up) = (of.next <= last && moved, of.matched == last);
        let handed = hand_over.as_ref().is_some_and(|(to, _)| to == from) && caught_up;
        if matched.is_some() {
            self.advance();
        }
        if handed {
            let term = self.hard.term;
            self.send(
                from,
                Message {
                    term,
                    body: Body::Campaign,
                },
            );
        }
        if behind && self.is_leader() {
            self.send_log(now, from);
        }
    }

    // --- leading ---

    fn push(&mut self, now: Micros, payload: Payload) -> Index {
        let entry = Entry {
            term: self.hard.term,
            payload,
        };
        let index = self.log.push(entry.clone());
        self.ready.append.push((index, entry));
        self.send_all(now, false);
        index
    }

    /// An order to be settled: its index. It is settled once it comes out of `Ready::settled` with this leader's term.
    pub fn propose(&mut self, now: Micros, order: Vec<u8>) -> Result<Index, RaftError> {
        let Role::Leader { hand_over, .. } = &self.role else {
            return Err(RaftError::NotLeader(self.leader.clone()));
        };
        if hand_over.is_some() {
            return Err(RaftError::HandingOver);
        }
        if self.log.last_index() - self.commit >= MAX_UNCOMMITTED {
            return Err(RaftError::Busy);
        }
        Ok(self.push(now, Payload::Order(order)))
    }

    /// Adds a voter or removes one (Diss. section 4.1): majorities before and after share one. Danger: before the leader
    /// has settled an entry of its own term, two changes by two leaders could overlap (the bug found in 2015).
    pub fn change(&mut self, now: Micros, voters: Vec<Voter>) -> Result<Index, RaftError> {
        let Role::Leader {
            first,
            hand_over,
            progress,
            ..
        } = &self.role
        else {
            return Err(RaftError::NotLeader(self.leader.clone()));
        };
        if hand_over.is_some() {
            return Err(RaftError::HandingOver);
        }
        let (at, current) = self.log.voters();
        let new = voters.iter().filter(|voter| !current.contains(voter));
        // Danger: counted before it has the log, one more loss leaves no majority that has it (Diss. section 4.2.1).
        let has_log = |voter: &Voter| {
            progress
                .get(voter)
                .is_some_and(|of| of.matched >= self.commit)
        };
        if !new.clone().all(has_log) {
            return Err(RaftError::Behind);
        }
        if at > self.commit || *first > self.commit {
            return Err(RaftError::Changing);
        }
        let added = voters
            .iter()
            .filter(|voter| !current.contains(voter))
            .count();
        let removed = current
            .iter()
            .filter(|voter| !voters.contains(voter))
            .count();
        if added + removed != 1 || voters.is_empty() {
            return Err(RaftError::Step);
        }
        Ok(self.push(now, Payload::Voters(voters)))
    }

    /// Hands the leadership to another voter, for work at this one: it is brought the whole log and told to stand.
    pub fn transfer_leadership(&mut self, now: Micros, to: &Voter) -> Result<(), RaftError> {
        let known = self.voters().contains(to) && *to != self.set.me;
        let (until, term) = (now + self.set.election, self.hard.term);
        let last = self.log.last_index();
        let Role::Leader {
            hand_over,
            progress,
            ..
        } = &mut self.role
        else {
            return Err(RaftError::NotLeader(self.leader.clone()));
        };
        if !known {
            return Err(RaftError::Step);
        }
        *hand_over = Some((to.clone(), until));
        if progress
            .get(to)
            .is_some_and(|progress| progress.matched == last)
        {
            self.send(
                to,
                Message {
                    term,
                    body: Body::Campaign,
                },
            );
        }
        Ok(())
    }

    /// Settles what a majority has (Raft section 5.4.2): only entries of its own term by counting, and all before them.
    fn advance(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let mut matched: Vec<Index> = self
            .voters()
            .iter()
            .map(|voter| progress.get(voter).map_or(0, |of| of.matched))
            .collect();
        matched.sort_unstable();
        let Some(majority) = matched.get((matched.len() - 1) / 2).copied() else {
            return;
        };
        if majority > self.commit && self.log.term(majority) == Some(self.hard.term) {
            self.commit = majority;
        }
    }

    fn send_all(&mut self, now: Micros, beat: bool) {
        let others = self
            .voters()
            .iter()
            .chain(&self.learners)
            .filter(|voter| **voter != self.set.me);
        let others: BTreeSet<Voter> = others.cloned().collect();
        let next = self.log.last_index();
        let election = self.set.election;
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        progress.retain(|voter, _| others.contains(voter) || *voter == self.set.me);
        progress.entry(self.set.me.clone()).or_insert(Progress {
            next,
            matched: 0,
            heard: now,
            sent: None,
        });
        for voter in &others {
            let new = Progress {
                next,
                matched: 0,
                heard: now - election,
                sent: None,
            };
            progress.entry(voter.clone()).or_insert(new);
        }
        for voter in others {
            let Role::Leader { progress, .. } = &self.role else {
                return;
            };
            let waits = progress
                .get(&voter)
                .is_some_and(|progress| progress.sent.is_some());
            if beat || !waits {
                self.send_log(now, &voter);
            }
        }
    }

    /// The next entries for one, or a snapshot where they are gone; without news, that it is led.
    fn send_log(&mut self, now: Micros, to: &Voter) {
        let (term, last) = (self.hard.term, self.log.last_index());
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(of) = progress.get_mut(to) else {
            return;
        };
        of.sent = (of.next <= last).then_some(now);
        let prev_index = of.next.saturating_sub(1);
        let body = match self.log.term(prev_index) {
            Some(prev_term) => {
                let entries = self.log.from(of.next, self.set.batch_bytes);
                Body::Append {
                    prev_index,
                    prev_term,
                    entries,
                    commit: self.commit,
                }
            }
            None => Body::Install {
                snapshot: self.log.snapshot.clone(),
            },
        };
        self.send(to, Message { term, body });
    }

    fn send(&mut self, to: &Voter, message: Message) {
        self.ready.send.push((to.clone(), message));
    }

    // --- what is settled ---

    fn settle(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                return;
            };
            self.ready.committed.push((self.applied + 1, entry.clone()));
            self.applied += 1;
        }
    }

    /// Puts a snapshot of what was applied up to an index in the place of the entries up to it.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        if index <= self.log.snapshot.index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term(index) else {
            return;
        };
        // The voters as of that entry.
        let mut before = Log::new(self.log.snapshot.clone(), Vec::new());
        (self.log.snapshot.index + 1..=index)
            .filter_map(|at| self.log.get(at))
            .for_each(|entry| {
                before.push(entry.clone());
            });
        let voters = before.voters().1.to_vec();
        let founding = self.log.snapshot.founding;
        let snapshot = Snapshot {
            index,
            term,
            voters,
            founding,
            data,
        };
        self.log.compact(snapshot.clone());
        self.ready.snapshot = Some(snapshot);
        self.ready.append.retain(|(at, _)| *at > index);
    }
}
