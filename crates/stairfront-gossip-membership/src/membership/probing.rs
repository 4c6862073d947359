//! Probing of other members (SWIM, sections 3.1 and 4.3), with Lifeguard's nacks and buddy system.
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS};

use super::Membership;
use crate::action::Evidence;
use crate::assertion::{GossipMessage, MemberState, StateAssertion};
use crate::failure_detector::{Probe, ProbeTimeouts, Requester, INDIRECT_PROBES};
use crate::packet::{Body, Item, Sender};
use crate::peer_table::Peer;

/// Interval at which the ping of a probe without an ack is sent again.
const PING_RESEND_INTERVAL: Micros = 100 * MS;
/// Largest number of unconfirmed members that are probed in one tick. After a large partition has healed, a member probes
/// 80 of them a second.
const MAX_CONFIRMATION_PROBES: usize = 4;
/// Largest number of members that are to be probed at the next tick.
pub(super) const MAX_URGENT_PROBES: usize = INDIRECT_PROBES * 2;

impl Membership {
    pub(super) fn run_probes(&mut self, now: Micros) {
        self.send_due_nacks(now);
        self.request_indirect_probes(now);
        self.resend_pings(now);
        for probe in self.detector.take_failed(now) {
            self.handle_probe_failure(now, &probe);
        }
        self.doubt_overdue_members(now);
        for name in std::mem::take(&mut self.urgent_probes) {
            self.begin_probe(now, &name);
        }
        self.probe_unconfirmed_members(now);
        if self.schedule.next_probe <= now {
            // Periods that were missed are not made up for.
            self.schedule.next_probe = now + self.settings.timing.probe_interval;
            if let Some(name) = self.next_probe_target() {
                self.begin_probe(now, &name);
            }
        }
    }

    fn send_due_nacks(&mut self, now: Micros) {
        for Requester { address, seq } in self.detector.due_nacks(now) {
            self.send(address, &Body::Nack { seq }, Vec::new());
        }
    }

    fn request_indirect_probes(&mut self, now: Micros) {
        for target in self.detector.due_indirect_probes(now) {
            let Some(address) = self.table.address_of(&target.name) else {
                continue;
            };
            let helpers = self.random_reachable(INDIRECT_PROBES, Some(&target.name));
            let request = Body::PingRequest {
                seq: target.seq,
                target: target.name,
                address,
            };
            for helper in &helpers {
                self.send(helper.address, &request, Vec::new());
            }
            let names = helpers.into_iter().map(|helper| helper.name).collect();
            self.detector.record_helpers(target.seq, names);
        }
    }

    fn resend_pings(&mut self, now: Micros) {
        for target in self.detector.due_resends(now, PING_RESEND_INTERVAL) {
            if let Some(address) = self.table.address_of(&target.name) {
                let accusation = self.accusation_of(&target.name);
                let ping = Body::Ping {
                    seq: target.seq,
                    to: target.name,
                };
                self.send(address, &ping, accusation);
            }
        }
    }

    /// A member that has not answered for a whole protocol period does not count as alive without doubt.
    fn doubt_overdue_members(&mut self, now: Micros) {
        let period = self.settings.timing.probe_interval;
        for name in self.detector.overdue(now, period) {
            if let Some(peer) = self.table.peers.get_mut(name) {
                peer.in_doubt = true;
            }
        }
    }

    fn probe_unconfirmed_members(&mut self, now: Micros) {
        let unconfirmed: Vec<String> = self
            .table
            .peers
            .iter()
            .filter(|(name, peer)| {
                peer.unconfirmed && peer.is_present() && !self.detector.is_probing(name)
            })
            .map(|(name, _)| name.clone())
            .take(MAX_CONFIRMATION_PROBES)
            .collect();
        for name in unconfirmed {
            self.begin_probe(now, &name);
        }
    }

    /// Round-robin over all present members in a random order, so that the time to a member's first probe is bounded (SWIM
    /// section 4.3).
    fn next_probe_target(&mut self) -> Option<String> {
        for _ in 0..2 {
            while let Some(name) = self.probe_round.pop() {
                let is_present = self.table.peers.get(&name).is_some_and(Peer::is_present);
                if is_present && !self.detector.is_probing(&name) {
                    return Some(name);
                }
            }
            self.probe_round = self
                .table
                .peers
                .iter()
                .filter(|(_, peer)| peer.is_present())
                .map(|(name, _)| name.clone())
                .collect();
            self.rng.shuffle(&mut self.probe_round);
        }
        None
    }

    fn begin_probe(&mut self, now: Micros, name: &str) {
        let Some(peer) = self.table.peers.get(name).filter(|peer| peer.is_present()) else {
            return;
        };
        let Some(address) = peer.address else { return };
        if self.detector.is_probing(name) {
            return;
        }
        let timeouts = self.probe_timeouts();
        let Some(seq) = self.detector.begin(now, name, timeouts) else {
            return;
        };
        self.metrics.probes += 1;
        let accusation = self.accusation_of(name);
        let ping = Body::Ping {
            seq,
            to: name.to_string(),
        };
        self.send(address, &ping, accusation);
    }

    fn probe_timeouts(&self) -> ProbeTimeouts {
        ProbeTimeouts {
            direct: self.settings.timing.ack_timeout,
            total: self.settings.timing.probe_interval,
        }
    }

    /// An assertion against a member goes with each ping to it, so that it can refute it as early as possible (Lifeguard
    /// section IV.C, buddy system).
    pub(super) fn accusation_of(&self, name: &str) -> Vec<Item> {
        let Some(peer) = self.table.peers.get(name) else {
            return Vec::new();
        };
        let own_name = || self.settings.name.clone();
        let assertion = match (peer.state, &peer.suspicion) {
            (MemberState::Suspect, Some(suspicion)) => StateAssertion::Suspect {
                by: suspicion.by.first().cloned().unwrap_or_else(own_name),
            },
            (MemberState::Failed, _) if peer.incarnation > 0 => {
                StateAssertion::Failed { by: own_name() }
            }
            _ => return peer.accusation.iter().cloned().map(Item::Member).collect(),
        };
        vec![Item::Member(GossipMessage {
            member: name.to_string(),
            incarnation: peer.incarnation,
            assertion,
        })]
    }

    fn handle_probe_failure(&mut self, now: Micros, probe: &Probe) {
        self.metrics.probes_failed += 1;
        let Some(peer) = self.table.peers.get_mut(&probe.target) else {
            return;
        };
        if !peer.is_present() {
            return;
        }
        peer.in_doubt = true;
        peer.unconfirmed = false;
        let message = GossipMessage {
            member: probe.target.clone(),
            incarnation: peer.incarnation,
            assertion: StateAssertion::Suspect {
                by: self.settings.name.clone(),
            },
        };
        let evidence = Evidence::ProbeTimeout {
            after: now - probe.sent_at,
            helpers: probe.helpers.clone(),
        };
        self.accept_assertion(now, message, &evidence);
    }

    pub(super) fn handle_ping(&mut self, from: &Sender, seq: u32) {
        let own_assertion = vec![self.own_assertion()];
        self.send(from.address, &Body::Ack { seq }, own_assertion);
    }

    pub(super) fn handle_ping_request(
        &mut self,
        now: Micros,
        requester: Requester,
        target: String,
        address: SocketAddr,
    ) {
        let timeouts = self.probe_timeouts();
        let seq = self.detector.begin_relayed(now, requester, timeouts);
        let accusation = self.accusation_of(&target);
        self.send(address, &Body::Ping { seq, to: target }, accusation);
    }

    pub(super) fn handle_ack(&mut self, from: &Sender, seq: u32) {
        if let Some(name) = self.detector.handle_ack(seq) {
            if let Some(peer) = self.table.peers.get_mut(&name) {
                peer.in_doubt = false;
                peer.unconfirmed = false;
            }
        } else if let Some(requester) = self.detector.handle_relayed_ack(seq) {
            // The target's assertion about itself came with its ack, and is forwarded with this one.
            let messages = self.table.gossip_messages_about(&from.name);
            let items = messages.into_iter().map(Item::Member).collect();
            let ack = Body::Ack { seq: requester.seq };
            self.send(requester.address, &ack, items);
        }
    }
}
