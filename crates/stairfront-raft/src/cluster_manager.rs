//! A voter among the others of its group: how a group is founded, who is taken in and out, how an order gets to the leader.
//! It has a `Node` and neither a socket nor a disk.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::log::{Index, Term, Voter};
use crate::message::Message;
use crate::node::{Node, RaftError, Ready, Recovered};
use crate::settings::{Micros, Settings, MS, SECOND};

/// Between two words of one that is in no group, or has no leader, or only learns.
const HERE_EVERY: Micros = SECOND;
/// One that has not said so for so long is not there. Three words: single losses make nobody absent.
const HERE_LASTS: Micros = 3 * SECOND + 500 * MS;
/// A voter that is silent for so long, while another life of its name speaks, has lost its disk.
const LOST_AFTER: Micros = 5 * SECOND;
/// Between two looks at who is to be taken in or out.
const CHANGE_EVERY: Micros = 500 * MS;
/// Between two sendings of an order to the leader.
const ORDER_EVERY: Micros = 300 * MS;
/// Orders of this member under way at once, and their bytes.
pub const MAX_PENDING_PROPOSALS: usize = 64;
pub const MAX_PROPOSAL_BYTES: usize = 64 * 1024;
/// Lives remembered of those who spoke: two for each of some hundred members.
const MOST_HERE: usize = 1024;
/// Orders remembered as taken in this term.
const MOST_TAKEN: usize = 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// This life of the name is there.
    Heartbeat,
    Raft(Message),
    /// An order for the leader, with a number that is given to no other.
    Order {
        id: u64,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Voter,
    /// None for whoever has the name.
    pub to: Option<Voter>,
    /// Which founding the sender belongs to; 0 for none.
    pub founding: u64,
    pub message: ClusterMessage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    #[error("too many orders of this member are under way; ask again")]
    Busy,
    #[error("a proposal of {0} bytes, and {MAX_PROPOSAL_BYTES} are the most")]
    TooLarge(usize),
}

struct Pending {
    id: u64,
    bytes: Vec<u8>,
    next: Micros,
    until: Micros,
}

struct PeerStatus {
    at: Micros,
    founding: u64,
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    pub foreign: u64,
    pub older_life: u64,
    pub taken_in: u64,
    pub taken_out: u64,
    pub given_up: u64,
}

pub struct ClusterManager {
    me: Voter,
    /// The voters that there are to be, the founder first.
    names: Vec<String>,
    node: Node,
    here: BTreeMap<Voter, PeerStatus>,
    pending: Vec<Pending>,
    taken: BTreeMap<u64, (Term, Index)>,
    next_here: Micros,
    next_change: Micros,
    pub figures: Metrics,
    out: Vec<(String, Envelope)>,
}

impl ClusterManager {
    pub fn new(now: Micros, set: Settings, names: &[String], recovered: Recovered) -> Self {
        ClusterManager {
            me: set.me.clone(),
            names: names.to_vec(),
            node: Node::new(now, set, recovered),
            here: BTreeMap::new(),
            pending: Vec::new(),
            taken: BTreeMap::new(),
            next_here: now,
            next_change: now,
            figures: Metrics::default(),
            out: Vec::new(),
        }
    }

    pub fn node(&self) -> &Node {
        &self.node
    }

    pub fn me(&self) -> &Voter {
        &self.me
    }

    pub fn founding(&self) -> u64 {
        self.node.log().snapshot.founding
    }

    /// As many of the configured voters are in as a majority of them: before that nothing is settled, since what a
    /// lesser number agreed could be lost with one disk.
    pub fn may_commit(&self) -> bool {
        let voters = self.node.voters();
        let there = self
            .names
            .iter()
            .filter(|name| voters.iter().any(|voter| voter.name == **name));
        there.count() * 2 > self.names.len()
    }

    // --- time ---

    pub fn tick(&mut self, now: Micros) {
        self.node.tick(now);
        if self.next_here <= now {
            self.next_here = now + HERE_EVERY;
            self.say_here();
            self.here.retain(|_, seen| now - seen.at <= LOST_AFTER * 2);
            self.found(now);
        }
        if self.next_change <= now {
            self.next_change = now + CHANGE_EVERY;
            if self.node.is_leader() {
                self.look_at_voters(now);
            }
        }
        self.send_orders(now);
    }

    fn say_here(&mut self) {
        // One that leads speaks by its appends.
        if self.node.is_leader() {
            return;
        }
        let to: Vec<String> = match self.node.leader() {
            Some(leader) => vec![leader.name.clone()],
            None => self
                .names
                .iter()
                .filter(|name| **name != self.me.name)
                .cloned()
                .collect(),
        };
        to.into_iter()
            .for_each(|name| self.say(&name, None, ClusterMessage::Heartbeat));
    }

    fn say(&mut self, name: &str, to: Option<Voter>, word: ClusterMessage) {
        let envelope = Envelope {
            from: self.me.clone(),
            to,
            founding: self.founding(),
            message: word,
        };
        self.out.push((name.to_string(), envelope));
    }

    /// The first of the configured voters founds the group, once all of them say that they are in none. Danger: a founder
    /// that has lost its disk would found a second group beside the first; one voter of the first that is there says
    /// that it is in one, or says nothing, and both forbid it. With all disks lost there is no first group any more.
    fn found(&mut self, now: Micros) {
        if self.names.first() != Some(&self.me.name) || !self.node.is_new() {
            return;
        }
        let mut voters = vec![self.me.clone()];
        for name in self.names.iter().skip(1) {
            let mut lives = self
                .here
                .iter()
                .filter(|(voter, seen)| voter.name == *name && now - seen.at <= HERE_LASTS);
            let Some((voter, seen)) = lives.next() else {
                return;
            };
            // Two lives at once: one has just ended, or two processes have one name. Asked again in a while.
            if seen.founding != 0 || lives.next().is_some() {
                return;
            }
            voters.push(voter.clone());
        }
        self.node.bootstrap(now, voters, self.me.incarnation.max(1));
    }

    /// Takes in who has come back with another disk, and out whom the configuration does not name any more.
    fn look_at_voters(&mut self, now: Micros) {
        let current: BTreeSet<Voter> = self.node.voters().iter().cloned().collect();
        let founding = self.founding();
        let there = |seen: &PeerStatus| {
            now - seen.at <= HERE_LASTS && (seen.founding == 0 || seen.founding == founding)
        };
        let learners = self
            .here
            .iter()
            .filter(|(voter, seen)| !current.contains(voter) && there(seen));
        let learners: Vec<Voter> = learners.map(|(voter, _)| voter.clone()).collect();
        self.node.set_learners(learners.iter().cloned());
        let mut wanted: Option<(Vec<Voter>, bool)> = None;
        for name in &self.names {
            let old = current.iter().find(|voter| voter.name == *name);
            let mut new = learners.iter().filter(|voter| voter.name == *name);
            let (Some(new), None) = (new.next(), new.next()) else {
                continue;
            };
            match old {
                Some(old) if self.node.silent_for(now, old) < LOST_AFTER => {}
                Some(old) => {
                    let rest = current
                        .iter()
                        .filter(|voter| *voter != old)
                        .cloned()
                        .collect();
                    wanted = wanted.or(Some((rest, false)));
                }
                None => {
                    let all = current.iter().cloned().chain([new.clone()]).collect();
                    wanted = wanted.or(Some((all, true)));
                }
            }
        }
        // One that leads stays until another does.
        let unnamed = current
            .iter()
            .find(|voter| !self.names.contains(&voter.name) && **voter != self.me);
        if let Some(unnamed) = unnamed {
            let rest = current
                .iter()
                .filter(|voter| *voter != unnamed)
                .cloned()
                .collect();
            wanted = wanted.or(Some((rest, false)));
        }
        // A refusal is looked at again in its time.
        if let Some((voters, is_new)) = wanted {
            if self.node.change(now, voters).is_ok() {
                match is_new {
                    true => self.figures.taken_in += 1,
                    false => self.figures.taken_out += 1,
                }
            }
        }
    }

    // --- orders ---

    /// Brings an order to whoever leads, until `settled` is told of it or the time is over.
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
            return Err(ProposalError::Busy);
        }
        self.pending.push(Pending {
            id,
            bytes,
            next: now,
            until: now + limit,
        });
        self.send_orders(now);
        Ok(())
    }

    /// This order has come out of the log.
    pub fn committed(&mut self, id: u64) {
        self.pending.retain(|order| order.id != id);
    }

    pub fn is_pending(&self, id: u64) -> bool {
        self.pending.iter().any(|order| order.id == id)
    }

    fn send_orders(&mut self, now: Micros) {
        let before = self.pending.len();
        self.pending.retain(|order| order.until > now);
        self.figures.given_up += (before - self.pending.len()) as u64;
        let due = self.pending.iter_mut().filter(|order| order.next <= now);
        let due: Vec<(u64, Vec<u8>)> = due
            .map(|order| {
                order.next = now + ORDER_EVERY;
                (order.id, order.bytes.clone())
            })
            .collect();
        for (id, bytes) in due {
            match self.node.leader().cloned() {
                Some(leader) if leader == self.me => self.take(now, id, bytes),
                Some(leader) => self.say(
                    &leader.name.clone(),
                    Some(leader),
                    ClusterMessage::Order { id, bytes },
                ),
                None => {}
            }
        }
    }

    /// Danger: an order that is sent again would stand in the log twice. It may all the same, after a change of the leader:
    /// whoever applies the log has to know the orders that it has seen by their numbers.
    fn take(&mut self, now: Micros, id: u64, bytes: Vec<u8>) {
        let term = self.node.term();
        if !self.may_commit() || self.taken.get(&id).is_some_and(|(taken, _)| *taken == term) {
            return;
        }
        if let Ok(index) = self.node.propose(now, bytes) {
            if self.taken.len() >= MOST_TAKEN {
                let oldest = self
                    .taken
                    .iter()
                    .min_by_key(|(_, (_, index))| *index)
                    .map(|(id, _)| *id);
                oldest.map(|id| self.taken.remove(&id));
            }
            self.taken.insert(id, (term, index));
        }
    }

    /// Gives the leadership to another voter, the one with the lowest name that is there.
    pub fn transfer_leadership(&mut self, now: Micros) -> Result<(), RaftError> {
        let others = self.node.voters().iter().filter(|voter| **voter != self.me);
        let there = others
            .filter(|voter| self.node.silent_for(now, voter) < SECOND)
            .cloned()
            .min();
        match there {
            Some(to) => self.node.transfer_leadership(now, &to),
            None => Err(RaftError::Step),
        }
    }

    // --- messages ---

    pub fn handle_message(&mut self, now: Micros, envelope: Envelope) {
        let Envelope {
            from,
            to,
            founding,
            message,
        } = envelope;
        let own = self.founding();
        if from.name == self.me.name {
            return;
        }
        if to.is_some_and(|to| to != self.me) {
            self.figures.older_life += 1;
            return;
        }
        // Danger: voters of two foundings would count for each other.
        if founding != 0 && own != 0 && founding != own {
            self.figures.foreign += 1;
            return;
        }
        if self.here.len() < MOST_HERE || self.here.contains_key(&from) {
            self.here
                .insert(from.clone(), PeerStatus { at: now, founding });
        }
        match message {
            ClusterMessage::Heartbeat => {}
            ClusterMessage::Raft(message) => self.node.handle_message(now, &from, message),
            ClusterMessage::Order { id, bytes }
                if self.node.is_leader() && bytes.len() <= MAX_PROPOSAL_BYTES =>
            {
                self.take(now, id, bytes);
            }
            ClusterMessage::Order { .. } => {}
        }
    }

    /// What may go out at once.
    pub fn take_messages(&mut self) -> Vec<(String, Envelope)> {
        std::mem::take(&mut self.out)
    }

    /// What has to be stored first; see `Ready`.
    pub fn ready(&mut self) -> Option<Ready> {
        self.node.ready()
    }

    /// The form in which a message of a `Ready` goes out.
    pub fn envelope(&self, to: Voter, message: Message) -> (String, Envelope) {
        let (from, founding, name) = (self.me.clone(), self.founding(), to.name.clone());
        (
            name,
            Envelope {
                from,
                to: Some(to),
                founding,
                message: ClusterMessage::Raft(message),
            },
        )
    }

    pub fn persisted(&mut self, now: Micros, number: u64) {
        self.node.persisted(now, number);
    }

    /// All up to this index stands in `data`.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        self.node.compact(index, data);
    }
}
