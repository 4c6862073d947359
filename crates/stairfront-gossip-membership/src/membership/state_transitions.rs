//! Transitions of members between their states (SWIM, section 4.2, with Lifeguard's suspicion timeouts).
//!
//! This differs from SWIM in one rule: another member's assertion of a failure never ends a member here; it is a reason to
//! probe it. After a partition, each side asserts that the other side's members have failed, and accepting that would end
//! members that are alive. Only a member's assertions about itself (alive, left) are accepted as they are.
use std::net::SocketAddr;

use stairfront_common::time::Micros;

use super::probing::MAX_URGENT_PROBES;
use super::Membership;
use crate::action::{AliveTransition, Event, Evidence, MemberChange};
use crate::assertion::{GossipMessage, MemberState, StateAssertion};
use crate::failure_detector::INDIRECT_PROBES;
use crate::packet::{Body, Item, Sender};
use crate::peer_table::{suspicion_timeout, Peer, Suspicion};

/// Mean number of members that probe a newly suspected member at once. It is limited so that a large group does not probe
/// one member all at once.
const MEAN_CORROBORATION_PROBES: f64 = 6.0;
/// Largest number of members that are recorded as sharing a suspicion.
const MAX_SUSPECTING: usize = INDIRECT_PROBES + 1;

impl Suspicion {
    fn add(&mut self, by: &str) -> bool {
        let is_new = self.by.len() < MAX_SUSPECTING && !self.by.iter().any(|known| known == by);
        if is_new {
            self.by.push(by.to_string());
        }
        is_new
    }
}

impl Membership {
    /// Accepts an assertion about a member if it is newer than what is known.
    pub(super) fn accept_assertion(
        &mut self,
        now: Micros,
        message: GossipMessage,
        evidence: &Evidence,
    ) {
        if self.is_own_name(&message.member) {
            return self.handle_assertion_about_self(now, &message);
        }
        // Only an assertion that a member is alive makes it known: the other ones have no address.
        let is_known = match message.assertion {
            StateAssertion::Alive { .. } => {
                self.table.admit(&message.member, message.incarnation, now)
            }
            _ => self.table.peers.contains_key(&message.member),
        };
        if !is_known {
            return;
        }
        let is_accepted = match &message.assertion {
            StateAssertion::Alive {
                address,
                process_id,
            } => self.accept_alive(now, &message, *address, *process_id, evidence),
            StateAssertion::Suspect { by } => self.accept_suspicion(now, &message, by, evidence),
            StateAssertion::Failed { by } => {
                self.consider_failure(&message, by);
                false
            }
            StateAssertion::Left => self.accept_leave(now, &message, evidence),
        };
        if is_accepted {
            self.view_digest = None;
            self.queue.push(Item::Member(message));
        }
    }

    fn accept_alive(
        &mut self,
        now: Micros,
        message: &GossipMessage,
        address: SocketAddr,
        process_id: u64,
        evidence: &Evidence,
    ) -> bool {
        let Some(peer) = self.table.peers.get_mut(&message.member) else {
            return false;
        };
        let previous = peer.state;
        let is_same_incarnation = message.incarnation == peer.incarnation;
        peer.address = peer.address.or(Some(address));
        if peer.process_id == 0 && is_same_incarnation && message.incarnation > 0 {
            // This only completes what is known of a failed member, and must not make it alive.
            peer.process_id = process_id;
            peer.address = Some(address);
            return false;
        }
        let is_later_process =
            is_same_incarnation && process_id > peer.process_id && previous != MemberState::Left;
        if message.incarnation <= peer.incarnation && !is_later_process {
            return false;
        }
        let is_restart = peer.process_id != 0 && peer.process_id != process_id;
        let is_first = peer.incarnation == 0;
        peer.incarnation = message.incarnation;
        peer.process_id = process_id;
        peer.address = Some(address);
        // A member that receives everything and is received by nobody must not take the others' gossip about each other for
        // contact with them: a returned member counts once it has answered a probe by this member.
        peer.unconfirmed |= !is_first && (previous == MemberState::Failed || peer.in_doubt);
        peer.in_doubt = false;
        peer.accusation = None;
        peer.transition_to(now, MemberState::Alive);
        if previous != MemberState::Alive || is_restart {
            let change = MemberChange::Alive {
                address,
                transition: alive_transition(previous, is_first, is_restart),
                evidence: evidence.clone(),
            };
            self.log_member(&message.member, change);
        }
        if previous == MemberState::Failed && !is_first {
            self.push_pull_targets.push(address);
        }
        true
    }

    fn accept_suspicion(
        &mut self,
        now: Micros,
        message: &GossipMessage,
        by: &str,
        evidence: &Evidence,
    ) -> bool {
        let Some(peer) = self.table.peers.get_mut(&message.member) else {
            return false;
        };
        if message.incarnation < peer.incarnation {
            return false;
        }
        let is_newer = message.incarnation > peer.incarnation;
        match (peer.state, &mut peer.suspicion) {
            (MemberState::Left | MemberState::Failed, _) if !is_newer => return false,
            (MemberState::Suspect, Some(suspicion)) if !is_newer => return suspicion.add(by),
            _ => {}
        }
        peer.incarnation = message.incarnation;
        peer.transition_to(now, MemberState::Suspect);
        peer.suspicion = Some(Suspicion {
            began: now,
            by: vec![by.to_string()],
        });
        self.metrics.suspicions += 1;
        let evidence = evidence.clone();
        self.log_member(&message.member, MemberChange::Suspect { evidence });
        self.request_corroboration_probe(&message.member);
        true
    }

    /// Handles an assertion that a member has failed: it shortens a suspicion, or is a reason to probe the member.
    fn consider_failure(&mut self, message: &GossipMessage, by: &str) {
        let Some(peer) = self.table.peers.get_mut(&message.member) else {
            return;
        };
        if message.incarnation < peer.incarnation {
            return;
        }
        let is_newer = message.incarnation > peer.incarnation;
        match peer.state {
            MemberState::Failed => peer.incarnation = message.incarnation,
            MemberState::Suspect if !is_newer => {
                if let Some(suspicion) = &mut peer.suspicion {
                    suspicion.add(by);
                }
            }
            MemberState::Alive => {
                peer.accusation = Some(message.clone());
                self.request_urgent_probe(&message.member);
            }
            _ => {}
        }
    }

    fn accept_leave(&mut self, now: Micros, message: &GossipMessage, evidence: &Evidence) -> bool {
        let Some(peer) = self.table.peers.get_mut(&message.member) else {
            return false;
        };
        if message.incarnation < peer.incarnation || peer.state == MemberState::Left {
            return false;
        }
        peer.incarnation = message.incarnation;
        peer.transition_to(now, MemberState::Left);
        let evidence = evidence.clone();
        self.log_member(&message.member, MemberChange::Left { evidence });
        true
    }

    fn log_member(&mut self, member: &str, change: MemberChange) {
        self.log(Event::Member {
            member: member.to_string(),
            change,
        });
    }

    /// Some members probe a newly suspected one at once, so that a real failure is shared and a mistake is refuted early.
    fn request_corroboration_probe(&mut self, name: &str) {
        let probability = MEAN_CORROBORATION_PROBES / self.table.size() as f64;
        if self.urgent_probes.len() < MAX_URGENT_PROBES
            && self.rng.happens(probability)
            && !self.detector.is_probing(name)
        {
            self.urgent_probes.push(name.to_string());
        }
    }

    fn request_urgent_probe(&mut self, name: &str) {
        let is_requested = self.urgent_probes.iter().any(|known| known == name);
        if self.urgent_probes.len() < MAX_URGENT_PROBES && !is_requested {
            self.urgent_probes.push(name.to_string());
        }
    }

    /// Declares the members failed that did not refute a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Micros) {
        let group_size = self.table.size();
        let min = self.settings.timing.min_suspicion_timeout;
        let is_expired = |peer: &Peer| {
            peer.suspicion.as_ref().is_some_and(|suspicion| {
                now - suspicion.began >= suspicion_timeout(min, group_size, suspicion.by.len())
            })
        };
        let expired: Vec<String> = self
            .table
            .peers
            .iter()
            .filter(|(_, peer)| is_expired(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.declare_failed(now, &name);
        }
    }

    fn declare_failed(&mut self, now: Micros, name: &str) {
        let Some(peer) = self.table.peers.get_mut(name) else {
            return;
        };
        let Some(suspicion) = peer.suspicion.take() else {
            return;
        };
        peer.transition_to(now, MemberState::Failed);
        let message = GossipMessage {
            member: name.to_string(),
            incarnation: peer.incarnation,
            assertion: StateAssertion::Failed {
                by: self.settings.name.clone(),
            },
        };
        self.metrics.failures += 1;
        self.view_digest = None;
        let change = MemberChange::Failed {
            suspected_for: now - suspicion.began,
            suspected_by: suspicion.by,
        };
        self.log_member(name, change);
        self.queue.push(Item::Member(message));
    }

    /// Refutes assertions of this member's failure, unless another process keeps its name.
    fn handle_assertion_about_self(&mut self, now: Micros, message: &GossipMessage) {
        if message.incarnation < self.incarnation || self.leaving {
            return;
        }
        let next_incarnation = message.incarnation + 1;
        let other_keeps_name = self.other_process_keeps_name();
        match message.assertion {
            StateAssertion::Alive { process_id, .. }
                if process_id == self.settings.process_id
                    && message.incarnation == self.incarnation => {}
            StateAssertion::Alive {
                address,
                process_id,
            } if process_id != self.settings.process_id => {
                // An earlier process of this member, or one that runs beside it; the notice finds out.
                let is_due = self.is_conflict_notice_due(now);
                if address != self.settings.advertise && is_due {
                    self.notify_name_conflict(now, address);
                }
                if !other_keeps_name {
                    self.refute(now, next_incarnation);
                }
            }
            // The process that keeps the name refutes assertions about it.
            _ if other_keeps_name => {}
            StateAssertion::Alive { .. } => self.refute(now, next_incarnation),
            StateAssertion::Suspect { .. }
            | StateAssertion::Failed { .. }
            | StateAssertion::Left => {
                // Others got no ack from this member, which may be its own fault (Lifeguard section IV.A).
                self.detector.degrade_health();
                self.metrics.refutations += 1;
                self.refute(now, next_incarnation);
            }
        }
    }

    /// Sends a member what is asserted about it, so that it can refute it; its clock may have been set back, for instance.
    pub(super) fn send_assertion_about(&mut self, from: &Sender) {
        let Some(peer) = self.table.peers.get(&from.name) else {
            return;
        };
        let assertion = match (peer.state, peer.address) {
            (MemberState::Left, _) => StateAssertion::Left,
            (_, Some(address)) => StateAssertion::Alive {
                address,
                process_id: peer.process_id,
            },
            _ => return,
        };
        let item = Item::Member(GossipMessage {
            member: from.name.clone(),
            incarnation: peer.incarnation,
            assertion,
        });
        self.send(from.address, &Body::Gossip, vec![item]);
    }
}

fn alive_transition(previous: MemberState, is_first: bool, is_restart: bool) -> AliveTransition {
    match previous {
        _ if is_first => AliveTransition::Joined,
        _ if is_restart => AliveTransition::Restarted,
        MemberState::Suspect => AliveTransition::Refuted,
        _ => AliveTransition::Recovered,
    }
}
