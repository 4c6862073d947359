//! What this member knows of the others.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::{GossipMessage, Incarnation, MemberState, StateAssertion};
use crate::settings::{Micros, MAX_OTHERS};
use crate::standing::RosterCount;

/// Members told as forgotten, so that a late rumour does not raise them.
const MOST_FORGOTTEN: usize = 1024;
/// Those whose own word, besides the first, shortens a suspicion (Lifeguard section IV.B).
const CONFIRMATIONS: usize = 3;
/// A suspicion that nobody else shares lasts so many times the least.
const LONGEST_SUSPICION: f64 = 3.0;

#[derive(Clone, Debug)]
pub struct Suspicion {
    pub began: Micros,
    /// Who said so, the first in front.
    pub by: Vec<String>,
}

/// What a member's last packet told of its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    pub roster: u64,
    pub view: u64,
    pub ledger: u64,
    pub namesake: bool,
}

#[derive(Clone, Debug)]
pub struct Peer {
    pub in_roster: bool,
    pub address: Option<SocketAddr>,
    pub run: u64,
    /// 0 for one that was never heard of.
    pub incarnation: Incarnation,
    pub state: MemberState,
    pub since: Micros,
    pub suspicion: Option<Suspicion>,
    /// A probe of our own is out for longer than it should be.
    pub doubted: bool,
    /// Others say that it is back; it has not answered a probe of our own since.
    pub unproven: bool,
    /// Told to it with the next probe, so that it can refute.
    pub accusation: Option<GossipMessage>,
    pub view: Option<View>,
    /// Its view of the group has differed from ours since then.
    pub differs_since: Option<Micros>,
    /// When it was last sent our ledger.
    pub ledger_sent: Micros,
}

impl Peer {
    pub fn new(in_roster: bool, now: Micros) -> Self {
        Peer {
            in_roster,
            address: None,
            run: 0,
            incarnation: 0,
            state: MemberState::Failed,
            since: now,
            suspicion: None,
            doubted: false,
            unproven: false,
            accusation: None,
            view: None,
            differs_since: None,
            ledger_sent: Micros::MIN / 2,
        }
    }

    /// As it is told to people: back by hearsay alone is not there without doubt.
    pub fn displayed_state(&self) -> MemberState {
        match self.state {
            MemberState::Alive if self.unproven => MemberState::Suspect,
            state => state,
        }
    }

    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    pub fn transition_to(&mut self, now: Micros, state: MemberState) {
        if self.state != state {
            (self.state, self.since) = (state, now);
        }
        if state != MemberState::Suspect {
            self.suspicion = None;
        }
        if !self.is_present() {
            (self.doubted, self.unproven, self.differs_since, self.view) =
                (false, false, None, None);
        }
    }
}

/// How long a suspicion lasts in a group of this size, with so many who share it (Lifeguard section IV.B).
pub fn suspicion_timeout(least: Micros, group: usize, sharers: usize) -> Micros {
    let least = least as f64 * (1.0 + 0.5 * (group.max(1) as f64).log10());
    let wanted = CONFIRMATIONS.min(group.saturating_sub(2));
    if wanted == 0 {
        return least as Micros;
    }
    let longest = least * LONGEST_SUSPICION;
    let shared =
        (sharers.saturating_sub(1).min(wanted) as f64 + 1.0).ln() / (wanted as f64 + 1.0).ln();
    (longest - (longest - least) * shared) as Micros
}

#[derive(Debug, Default)]
pub struct Table {
    pub peers: BTreeMap<String, Peer>,
    /// Names and incarnations of those that are forgotten, the oldest first.
    forgotten: VecDeque<(String, Incarnation)>,
}

impl Table {
    pub fn new(now: Micros, roster: &[String], me: &str) -> Self {
        let others = roster.iter().filter(|name| *name != me);
        Table {
            peers: others
                .map(|name| (name.clone(), Peer::new(true, now)))
                .collect(),
            forgotten: VecDeque::new(),
        }
    }

    /// Makes room for one that the roster does not name. Danger: a flood of made-up names would fill the table, and a
    /// late rumour would raise one that is long gone.
    pub fn admit(&mut self, name: &str, incarnation: Incarnation, now: Micros) -> bool {
        if self.peers.contains_key(name) {
            return true;
        }
        let others = self.peers.values().filter(|peer| !peer.in_roster).count();
        let late = self
            .forgotten
            .iter()
            .any(|(known, last)| known == name && *last >= incarnation);
        if others >= MAX_OTHERS || late {
            return false;
        }
        self.peers.insert(name.to_string(), Peer::new(false, now));
        true
    }

    pub fn forget_long_gone(&mut self, now: Micros, after: Micros) {
        let gone = |peer: &Peer| !peer.in_roster && !peer.is_present() && now - peer.since > after;
        let names: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| gone(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            if let Some(peer) = self.peers.remove(&name) {
                self.forgotten.push_back((name, peer.incarnation));
                if self.forgotten.len() > MOST_FORGOTTEN {
                    self.forgotten.pop_front();
                }
            }
        }
    }

    /// Members that are there, this one included.
    pub fn size(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_present()).count()
    }

    /// Those that may be asked or told something, and where.
    pub fn reachable(&self) -> impl Iterator<Item = (&String, SocketAddr)> {
        let there = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.state == MemberState::Alive);
        there.filter_map(|(name, peer)| peer.address.map(|address| (name, address)))
    }

    pub fn roster_count(&self) -> RosterCount {
        let roster: Vec<&Peer> = self.peers.values().filter(|peer| peer.in_roster).collect();
        let is_sure =
            |peer: &&&Peer| peer.state == MemberState::Alive && !peer.doubted && !peer.unproven;
        let sure = roster.iter().filter(is_sure).count();
        // Danger: one of whom there is hearsay alone would make the group whole.
        let doubtful = |peer: &&&Peer| peer.is_present() && !peer.unproven;
        let there = roster.iter().filter(doubtful).count();
        RosterCount {
            roster: roster.len() + 1,
            sure: sure + 1,
            doubtful: there - sure,
        }
    }

    /// The same at all members that agree on who of the roster is there, has failed or has left.
    pub fn digest(&self, me: &str, leaving: bool) -> u64 {
        let word = |peer: &Peer| match peer.state {
            MemberState::Alive | MemberState::Suspect => "there",
            MemberState::Failed => "failed",
            MemberState::Left => "left",
        };
        let mut sum =
            xxh3_64(format!("{me}\0{}", if leaving { "left" } else { "there" }).as_bytes());
        for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.in_roster) {
            sum = sum.wrapping_add(xxh3_64(format!("{name}\0{}", word(peer)).as_bytes()));
        }
        sum
    }

    /// All that is known, as claims; where one is, too, of those that others may have to reach.
    pub fn gossip_messages(&self, me: &str) -> Vec<GossipMessage> {
        self.peers
            .iter()
            .flat_map(|(name, peer)| claims(name, peer, me))
            .collect()
    }

    /// What is known of one.
    pub fn gossip_messages_about(&self, name: &str) -> Vec<GossipMessage> {
        self.peers
            .get(name)
            .map_or(Vec::new(), |peer| claims(name, peer, name))
    }

    /// Members whose roster is not the one here.
    pub fn with_other_roster(&self, own: u64) -> BTreeSet<String> {
        let differs =
            |peer: &Peer| peer.is_present() && peer.view.is_some_and(|view| view.roster != own);
        self.peers
            .iter()
            .filter(|(_, peer)| differs(peer))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// How long somebody has seen the group otherwise than this member.
    pub fn longest_difference(&self, now: Micros) -> Micros {
        let since = self.peers.values().filter_map(|peer| peer.differs_since);
        since.map(|since| now - since).max().unwrap_or(0)
    }
}

fn claims(name: &str, peer: &Peer, me: &str) -> Vec<GossipMessage> {
    let mut all = Vec::new();
    if peer.incarnation == 0 {
        return all;
    }
    let mut say = |claim| {
        all.push(GossipMessage {
            member: name.to_string(),
            incarnation: peer.incarnation,
            assertion: claim,
        })
    };
    match (peer.state, &peer.suspicion) {
        (MemberState::Suspect, Some(suspicion)) => {
            // With all who share it: one that has just started would wait for longer than the others.
            suspicion
                .by
                .iter()
                .cloned()
                .for_each(|by| say(StateAssertion::Suspect { by }));
        }
        (MemberState::Failed, _) => say(StateAssertion::Failed { by: me.to_string() }),
        (MemberState::Left, _) => say(StateAssertion::Left),
        _ => {}
    }
    if let Some(address) = peer.address {
        say(StateAssertion::Alive {
            address,
            run: peer.run,
        });
    }
    all
}
