//! A member of a group: who founds the group, which members vote, and how a proposal of any member
//! gets to the leader.
//!
//! [`ClusterManager`] wraps a [`Node`] and, like it, has neither a socket nor a disk. Its concerns
//! are in modules of their own: [`bootstrap`], [`voter_changes`] and [`proposal_forwarding`].
mod bootstrap;
mod proposal_forwarding;
mod voter_changes;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stairfront_common::time::{Micros, MS, SECOND};

use self::proposal_forwarding::{AcceptedProposal, PendingProposal};
use crate::error::RaftError;
use crate::log::{LogIndex, Voter};
use crate::message::Message;
use crate::node::Node;
use crate::ready::{Ready, Recovered};
use crate::settings::Settings;

pub use self::proposal_forwarding::{MAX_PENDING_PROPOSALS, MAX_PROPOSAL_BYTES};

/// Time between two heartbeats of a member that does not lead.
const HEARTBEAT_INTERVAL: Micros = SECOND;
/// Time after its last message for which a member counts as present. Three heartbeats, so that
/// single losses make no member absent.
const PRESENCE_TIMEOUT: Micros = 3 * SECOND + 500 * MS;
/// A voter that has been silent for so long, while another incarnation of its name is present, has
/// lost its storage.
const LOST_VOTER_TIMEOUT: Micros = 5 * SECOND;
/// Time after which a member that was heard of is forgotten.
const PEER_TTL: Micros = 2 * LOST_VOTER_TIMEOUT;
/// Time between two checks of a leader for a change of voters.
const VOTER_CHECK_INTERVAL: Micros = 500 * MS;
/// Time without a response after which a voter is no target of a leadership transfer.
const TRANSFER_CONTACT_TIMEOUT: Micros = SECOND;
/// Identities of members that are remembered: two incarnations of each of some hundred members.
const MAX_PEERS: usize = 1024;

/// A message between members of a group. Its form is postcard's and depends on the order of fields
/// and variants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// The sender is present.
    Heartbeat,
    /// A message of Raft.
    Raft(Message),
    /// A proposal that is forwarded to the leader.
    Proposal {
        /// A number that no other proposal has.
        id: u64,
        /// The command.
        bytes: Vec<u8>,
    },
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Voter,
    /// The receiver; none for whichever incarnation has the name to which it is delivered.
    pub to: Option<Voter>,
    /// The group of the sender; 0 for none.
    pub cluster_id: u64,
    /// The content.
    pub message: ClusterMessage,
}

/// An envelope and the name of the member to which it is to be delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingEnvelope {
    /// Name of the receiving member.
    pub to_name: String,
    /// The envelope.
    pub envelope: Envelope,
}

/// The latest message of another member.
struct PeerStatus {
    last_message: Micros,
    cluster_id: u64,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages of members of another group, which were dropped.
    pub foreign_messages: u64,
    /// Messages for another incarnation of this member, which were dropped.
    pub stale_incarnation_messages: u64,
    /// Voters that this member has added as a leader.
    pub voters_added: u64,
    /// Voters that this member has removed as a leader.
    pub voters_removed: u64,
    /// Proposals of this member that were not committed in time.
    pub expired_proposals: u64,
}

/// A member of a group, voter or learner.
pub struct ClusterManager {
    local: Voter,
    /// Names of the configured voters, the founder first.
    voter_names: Vec<String>,
    node: Node,
    peers: BTreeMap<Voter, PeerStatus>,
    pending: Vec<PendingProposal>,
    /// Proposals that were appended here as a leader, by id.
    accepted: BTreeMap<u64, AcceptedProposal>,
    next_heartbeat: Micros,
    next_voter_check: Micros,
    counters: Counters,
    outgoing: Vec<OutgoingEnvelope>,
}

impl ClusterManager {
    /// A member with the names of the configured voters, the founder first, and the state that its
    /// store held.
    #[must_use]
    pub fn new(
        now: Micros,
        settings: Settings,
        voter_names: &[String],
        recovered: Recovered,
    ) -> Self {
        ClusterManager {
            local: settings.local.clone(),
            voter_names: voter_names.to_vec(),
            node: Node::new(now, settings, recovered),
            peers: BTreeMap::new(),
            pending: Vec::new(),
            accepted: BTreeMap::new(),
            next_heartbeat: now,
            next_voter_check: now,
            counters: Counters::default(),
            outgoing: Vec::new(),
        }
    }

    /// The Raft state of this member.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The identity of this member.
    #[must_use]
    pub fn local(&self) -> &Voter {
        &self.local
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The identity of the group: the incarnation of the member that bootstrapped it; 0 before this
    /// member is in one.
    #[must_use]
    pub fn cluster_id(&self) -> u64 {
        self.node.log().snapshot.cluster_id
    }

    /// Whether proposals are accepted: a majority of the configured voters votes. A decision of
    /// fewer could be lost with one disk.
    #[must_use]
    pub fn may_commit(&self) -> bool {
        let voters = self.node.voters();
        let is_voter = |name: &&String| voters.iter().any(|voter| voter.name == **name);
        self.voter_names.iter().filter(is_voter).count() * 2 > self.voter_names.len()
    }

    /// Lets the time pass.
    pub fn tick(&mut self, now: Micros) {
        self.node.tick(now);
        if self.next_heartbeat <= now {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
            self.peers
                .retain(|_, peer| now - peer.last_message <= PEER_TTL);
            self.bootstrap_if_first(now);
        }
        if self.next_voter_check <= now {
            self.next_voter_check = now + VOTER_CHECK_INTERVAL;
            if self.node.is_leader() {
                self.check_voters(now);
            }
        }
        self.forward_proposals(now);
    }

    /// Reports the presence of this member to the leader, or to all configured voters while none is
    /// known. A leader needs no heartbeat, since its appends show its presence.
    fn send_heartbeats(&mut self) {
        if self.node.is_leader() {
            return;
        }
        let receivers: Vec<String> = match self.node.leader() {
            Some(leader) => vec![leader.name.clone()],
            None => self
                .voter_names
                .iter()
                .filter(|name| **name != self.local.name)
                .cloned()
                .collect(),
        };
        for name in receivers {
            self.send(name, None, ClusterMessage::Heartbeat);
        }
    }

    fn send(&mut self, to_name: String, to: Option<Voter>, message: ClusterMessage) {
        let envelope = self.seal(to, message);
        self.outgoing.push(OutgoingEnvelope { to_name, envelope });
    }

    fn seal(&self, to: Option<Voter>, message: ClusterMessage) -> Envelope {
        Envelope {
            from: self.local.clone(),
            to,
            cluster_id: self.cluster_id(),
            message,
        }
    }

    /// Transfers the leadership to another voter: of those that have answered lately the first by
    /// identity.
    ///
    /// # Errors
    ///
    /// [`RaftError::NoTransferTarget`] if no other voter has answered lately; so at a member that
    /// does not lead.
    pub fn transfer_leadership(&mut self, now: Micros) -> Result<(), RaftError> {
        let in_contact = |voter: &&Voter| {
            **voter != self.local
                && self.node.time_since_response(now, voter) < TRANSFER_CONTACT_TIMEOUT
        };
        let target = self.node.voters().iter().filter(in_contact).min().cloned();
        match target {
            Some(target) => self.node.transfer_leadership(now, &target),
            None => Err(RaftError::NoTransferTarget),
        }
    }

    /// Handles a message of another member.
    pub fn handle_message(&mut self, now: Micros, envelope: Envelope) {
        if envelope.from.name == self.local.name || !self.is_addressed_here(&envelope) {
            return;
        }
        let Envelope {
            from,
            cluster_id,
            message,
            ..
        } = envelope;
        self.note_peer(now, &from, cluster_id);
        match message {
            ClusterMessage::Heartbeat => {}
            ClusterMessage::Raft(message) => self.node.handle_message(now, &from, message),
            ClusterMessage::Proposal { id, bytes } => {
                self.handle_forwarded_proposal(now, id, bytes);
            }
        }
    }

    /// Whether a message is for this incarnation, and of this group or of a member that is in none:
    /// the voters of two groups must not count for each other.
    fn is_addressed_here(&mut self, envelope: &Envelope) -> bool {
        let own_cluster = self.cluster_id();
        if envelope.to.as_ref().is_some_and(|to| *to != self.local) {
            self.counters.stale_incarnation_messages += 1;
            return false;
        }
        let both_in_groups = envelope.cluster_id != 0 && own_cluster != 0;
        if both_in_groups && envelope.cluster_id != own_cluster {
            self.counters.foreign_messages += 1;
            return false;
        }
        true
    }

    fn note_peer(&mut self, now: Micros, peer: &Voter, cluster_id: u64) {
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(peer) {
            let status = PeerStatus {
                last_message: now,
                cluster_id,
            };
            self.peers.insert(peer.clone(), status);
        }
    }

    /// Takes the messages that may be sent at once.
    pub fn take_messages(&mut self) -> Vec<OutgoingEnvelope> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the work of the node since the last call, if there is any.
    pub fn ready(&mut self) -> Option<Ready> {
        self.node.ready()
    }

    /// The form in which a message of a [`Ready`] is sent.
    #[must_use]
    pub fn envelope(&self, to: Voter, message: Message) -> OutgoingEnvelope {
        OutgoingEnvelope {
            to_name: to.name.clone(),
            envelope: self.seal(Some(to), ClusterMessage::Raft(message)),
        }
    }

    /// Notes that all batches up to this number are durable.
    pub fn persisted(&mut self, now: Micros, number: u64) {
        self.node.persisted(now, number);
    }

    /// Replaces the applied entries up to an index by a snapshot with the state machine's data.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        self.node.compact(index, data);
    }
}
