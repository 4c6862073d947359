//! The other members of the group, as this member knows them.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use stairfront_common::time::Micros;
use xxhash_rust::xxh3::xxh3_64;

use crate::assertion::{GossipMessage, Incarnation, MemberState, StateAssertion};
use crate::quorum::RosterCount;
use crate::settings::MAX_OTHERS;

/// Largest number of forgotten members whose incarnation is kept, so that late gossip does not bring them back.
const MAX_FORGOTTEN: usize = 1024;
/// Number of further members whose suspicion shortens the timeout (Lifeguard section IV.B).
const MAX_CONFIRMATIONS: usize = 3;
/// Timeout of a suspicion that nobody confirms, as a multiple of the shortest one.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// A time before any that occurs.
pub(crate) const NEVER: Micros = Micros::MIN / 2;

/// Suspicion of a member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// Time at which it began.
    pub began: Micros,
    /// Members that share it, the first one in front.
    pub by: Vec<String>,
}

/// State of the sender in a member's last packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvertisedState {
    /// Digest of the member's roster.
    pub roster_digest: u64,
    /// Two processes have the member's name.
    pub name_conflict: bool,
}

/// Another member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The roster names it.
    pub in_roster: bool,
    /// Its address; none for a member that was never heard of.
    pub address: Option<SocketAddr>,
    /// Its process; 0 for an unknown one.
    pub process_id: u64,
    /// Its incarnation; 0 for a member that was never heard of.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Time at which it entered the state.
    pub since: Micros,
    /// The suspicion, for a suspect.
    pub suspicion: Option<Suspicion>,
    /// A probe by this member has had no ack for longer than a protocol period.
    pub in_doubt: bool,
    /// Others assert that it is alive again; it has not answered a probe by this member since.
    pub unconfirmed: bool,
    /// Assertion of its failure by another member, which goes with the next probe so that it can be refuted.
    pub accusation: Option<GossipMessage>,
    /// State that its last packet advertised.
    pub advertised: Option<AdvertisedState>,
    /// Time since which its view of the group has differed from this member's.
    pub diverged_since: Option<Micros>,
    /// Time at which this member last sent it the cordon set.
    pub cordons_sent_at: Micros,
}

impl Peer {
    /// A member that was never heard of.
    #[must_use]
    pub fn new(in_roster: bool, now: Micros) -> Self {
        Peer {
            in_roster,
            address: None,
            process_id: 0,
            incarnation: 0,
            state: MemberState::Failed,
            since: now,
            suspicion: None,
            in_doubt: false,
            unconfirmed: false,
            accusation: None,
            advertised: None,
            diverged_since: None,
            cordons_sent_at: NEVER,
        }
    }

    /// The state for operators: a member that is alive again by gossip alone is shown as suspect.
    #[must_use]
    pub fn displayed_state(&self) -> MemberState {
        match self.state {
            MemberState::Alive if self.unconfirmed => MemberState::Suspect,
            state => state,
        }
    }

    /// Whether the member is alive or suspect.
    #[must_use]
    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether two processes have the member's name, as it said itself.
    #[must_use]
    pub fn has_name_conflict(&self) -> bool {
        self.advertised
            .is_some_and(|advertised| advertised.name_conflict)
    }

    /// Enters a state.
    pub fn transition_to(&mut self, now: Micros, state: MemberState) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
        if state != MemberState::Suspect {
            self.suspicion = None;
        }
        if !self.is_present() {
            self.in_doubt = false;
            self.unconfirmed = false;
            self.diverged_since = None;
            self.advertised = None;
        }
    }

    /// The assertions that describe the member's state; a failure is asserted by `asserted_by`.
    fn assertions(&self, asserted_by: &str) -> Vec<StateAssertion> {
        if self.incarnation == 0 {
            return Vec::new();
        }
        let mut assertions = match (self.state, &self.suspicion) {
            // With all members that share it, so that its timeout is the same at a member that has just started.
            (MemberState::Suspect, Some(suspicion)) => suspicion
                .by
                .iter()
                .map(|by| StateAssertion::Suspect { by: by.clone() })
                .collect(),
            (MemberState::Failed, _) => vec![StateAssertion::Failed {
                by: asserted_by.to_string(),
            }],
            (MemberState::Left, _) => vec![StateAssertion::Left],
            _ => Vec::new(),
        };
        assertions.extend(self.address.map(|address| StateAssertion::Alive {
            address,
            process_id: self.process_id,
        }));
        assertions
    }

    fn gossip_messages(&self, name: &str, asserted_by: &str) -> Vec<GossipMessage> {
        self.assertions(asserted_by)
            .into_iter()
            .map(|assertion| GossipMessage {
                member: name.to_string(),
                incarnation: self.incarnation,
                assertion,
            })
            .collect()
    }
}

/// Timeout of a suspicion in a group of this size that `sharers` members share (Lifeguard section IV.B).
#[must_use]
pub fn suspicion_timeout(min: Micros, group_size: usize, sharers: usize) -> Micros {
    let min = min as f64 * (1.0 + 0.5 * (group_size.max(1) as f64).log10());
    let expected = MAX_CONFIRMATIONS.min(group_size.saturating_sub(2));
    if expected == 0 {
        return min as Micros;
    }
    let max = min * MAX_SUSPICION_FACTOR;
    let confirmations = sharers.saturating_sub(1).min(expected);
    let fraction = (confirmations as f64 + 1.0).ln() / (expected as f64 + 1.0).ln();
    (max - (max - min) * fraction) as Micros
}

/// A name and an incarnation of a member that is no longer in the table.
#[derive(Clone, Debug)]
struct Forgotten {
    name: String,
    incarnation: Incarnation,
}

/// All other members.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// The members by name.
    pub peers: BTreeMap<String, Peer>,
    /// Members that were removed, the oldest first.
    forgotten: VecDeque<Forgotten>,
}

impl PeerTable {
    /// A table of the roster's members except this one.
    #[must_use]
    pub fn new(now: Micros, roster: &[String], own_name: &str) -> Self {
        let others = roster.iter().filter(|name| *name != own_name);
        PeerTable {
            peers: others
                .map(|name| (name.clone(), Peer::new(true, now)))
                .collect(),
            forgotten: VecDeque::new(),
        }
    }

    /// Adds a member if it is not known; false if it is not added. The number of members beside the roster is limited, so
    /// that invented names do not fill the table, and late gossip does not bring back a forgotten member.
    pub fn admit(&mut self, name: &str, incarnation: Incarnation, now: Micros) -> bool {
        if self.peers.contains_key(name) {
            return true;
        }
        let others = self.peers.values().filter(|peer| !peer.in_roster).count();
        let is_late = self
            .forgotten
            .iter()
            .any(|forgotten| forgotten.name == name && forgotten.incarnation >= incarnation);
        if others >= MAX_OTHERS || is_late {
            return false;
        }
        self.peers.insert(name.to_string(), Peer::new(false, now));
        true
    }

    /// Removes the members beside the roster that failed or left longer ago than `after`.
    pub fn remove_expired(&mut self, now: Micros, after: Micros) {
        let is_expired =
            |peer: &Peer| !peer.in_roster && !peer.is_present() && now - peer.since > after;
        let names: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_expired(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let Some(peer) = self.peers.remove(&name) else {
                continue;
            };
            self.forgotten.push_back(Forgotten {
                name,
                incarnation: peer.incarnation,
            });
            if self.forgotten.len() > MAX_FORGOTTEN {
                self.forgotten.pop_front();
            }
        }
    }

    /// Number of present members, this one included.
    #[must_use]
    pub fn size(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_present()).count()
    }

    /// Address of a member, if it is known.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).and_then(|peer| peer.address)
    }

    /// Names and addresses of the members that are alive.
    pub fn reachable(&self) -> impl Iterator<Item = (&String, SocketAddr)> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.state == MemberState::Alive)
            .filter_map(|(name, peer)| peer.address.map(|address| (name, address)))
    }

    /// The roster's members by presence.
    #[must_use]
    pub fn roster_count(&self) -> RosterCount {
        let roster: Vec<&Peer> = self.peers.values().filter(|peer| peer.in_roster).collect();
        let is_confirmed =
            |peer: &&&Peer| peer.state == MemberState::Alive && !peer.in_doubt && !peer.unconfirmed;
        let confirmed = roster.iter().filter(is_confirmed).count();
        // Members that are alive by gossip alone do not count at all: they must not make the group whole.
        let present = roster
            .iter()
            .filter(|peer| peer.is_present() && !peer.unconfirmed)
            .count();
        RosterCount {
            roster: roster.len() + 1,
            confirmed: confirmed + 1,
            doubtful: present - confirmed,
        }
    }

    /// Digest of the roster members' presence; the same at members that agree on it.
    #[must_use]
    pub fn digest(&self, own_name: &str, leaving: bool) -> u64 {
        // The words are part of the digest that members of all versions compare.
        let presence = |peer: &Peer| match peer.state {
            MemberState::Alive | MemberState::Suspect => "there",
            MemberState::Failed => "failed",
            MemberState::Left => "left",
        };
        let hash = |name: &str, presence: &str| xxh3_64(format!("{name}\0{presence}").as_bytes());
        let own = hash(own_name, if leaving { "left" } else { "there" });
        self.peers
            .iter()
            .filter(|(_, peer)| peer.in_roster)
            .fold(own, |sum, (name, peer)| {
                sum.wrapping_add(hash(name, presence(peer)))
            })
    }

    /// All that is known, as assertions; an address is asserted even of members that have failed, since others may have
    /// to reach them.
    #[must_use]
    pub fn gossip_messages(&self, own_name: &str) -> Vec<GossipMessage> {
        self.peers
            .iter()
            .flat_map(|(name, peer)| peer.gossip_messages(name, own_name))
            .collect()
    }

    /// All that is known of one member, as assertions.
    #[must_use]
    pub fn gossip_messages_about(&self, name: &str) -> Vec<GossipMessage> {
        self.peers
            .get(name)
            .map_or(Vec::new(), |peer| peer.gossip_messages(name, name))
    }

    /// Present members whose roster has another digest.
    #[must_use]
    pub fn with_other_roster(&self, own_digest: u64) -> BTreeSet<String> {
        let differs = |peer: &Peer| {
            peer.is_present()
                && peer
                    .advertised
                    .is_some_and(|advertised| advertised.roster_digest != own_digest)
        };
        self.peers
            .iter()
            .filter(|(_, peer)| differs(peer))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The longest time for which a member's view has differed from this member's.
    #[must_use]
    pub fn longest_divergence(&self, now: Micros) -> Micros {
        let since = self.peers.values().filter_map(|peer| peer.diverged_since);
        since.map(|since| now - since).max().unwrap_or(0)
    }
}
