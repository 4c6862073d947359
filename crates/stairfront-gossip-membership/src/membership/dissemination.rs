//! Sending of packets with gossip (SWIM, section 4.1), and this member's assertions about itself.
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS};

use super::Membership;
use crate::action::Action;
use crate::assertion::{GossipMessage, Incarnation, StateAssertion};
use crate::packet::{Body, Item, PacketWriter, Sender, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};

/// Interval between two packets that carry gossip alone, while there is any.
const GOSSIP_INTERVAL: Micros = 100 * MS;
/// Number of random members that get such a packet.
const GOSSIP_FANOUT: usize = 2;
/// Number of members that are notified of a refutation at once.
const REFUTATION_FANOUT: usize = 4;
/// Number of members that are notified at once that this one leaves.
const LEAVE_FANOUT: usize = 32;

/// A member that may be sent packets.
pub(super) struct ReachableMember {
    pub name: String,
    pub address: SocketAddr,
}

impl Membership {
    /// Sends a datagram with the given items first, and as much other gossip as fits.
    pub(super) fn send(&mut self, to: SocketAddr, body: &Body, items: Vec<Item>) {
        let mut writer = self.packet_writer(body, MAX_DATAGRAM_BYTES);
        for item in &items {
            // An item that does not fit is sent from the queue, or by a push/pull exchange.
            writer.add(item);
        }
        let group_size = self.table.size();
        self.queue.fill(&mut writer, group_size);
        let bytes = writer.finish();
        self.metrics.datagrams_out += 1;
        self.metrics.bytes_out += bytes.len() as u64;
        self.actions.push(Action::Send { to, bytes });
    }

    pub(super) fn packet_writer(&mut self, body: &Body, max_bytes: usize) -> PacketWriter {
        PacketWriter::new(self.group_id, &self.sender(), body, max_bytes)
    }

    fn sender(&mut self) -> Sender {
        Sender {
            name: self.settings.name.clone(),
            address: self.settings.advertise,
            process_id: self.settings.process_id,
            incarnation: self.incarnation,
            roster_digest: self.roster_digest,
            view_digest: self.view_digest(),
            cordon_digest: self.cordons.digest(),
            name_conflict: self.name_conflict.is_some(),
        }
    }

    /// Digest of this member's view of the roster's members.
    pub(super) fn view_digest(&mut self) -> u64 {
        *self
            .view_digest
            .get_or_insert_with(|| self.table.digest(&self.settings.name, self.leaving))
    }

    /// At most `max` random members that are alive, except one.
    pub(super) fn random_reachable(
        &mut self,
        max: usize,
        except: Option<&str>,
    ) -> Vec<ReachableMember> {
        let members = self
            .table
            .reachable()
            .filter(|(name, _)| Some(name.as_str()) != except)
            .map(|(name, address)| ReachableMember {
                name: name.clone(),
                address,
            })
            .collect();
        self.rng.sample(members, max)
    }

    /// Sends queued gossip to random members.
    pub(super) fn run_gossip(&mut self, now: Micros) {
        if self.schedule.next_gossip > now {
            return;
        }
        self.schedule.next_gossip = now + GOSSIP_INTERVAL;
        if !self.queue.is_empty() {
            self.send_gossip(GOSSIP_FANOUT);
        }
    }

    fn send_gossip(&mut self, fanout: usize) {
        for member in self.random_reachable(fanout, None) {
            self.send(member.address, &Body::Gossip, Vec::new());
        }
    }

    /// This member's assertion about itself.
    pub(super) fn own_assertion(&self) -> Item {
        let assertion = if self.leaving {
            StateAssertion::Left
        } else {
            StateAssertion::Alive {
                address: self.settings.advertise,
                process_id: self.settings.process_id,
            }
        };
        Item::Member(GossipMessage {
            member: self.settings.name.clone(),
            incarnation: self.incarnation,
            assertion,
        })
    }

    /// Asserts with at least this incarnation that this member is alive.
    pub(super) fn refute(&mut self, now: Micros, min_incarnation: Incarnation) {
        self.incarnation = self.incarnation.max(min_incarnation);
        self.queue.push(self.own_assertion());
        self.send_gossip(REFUTATION_FANOUT);
        self.schedule.next_gossip = now + GOSSIP_INTERVAL;
    }

    /// Notifies the others that this member ends on purpose. To be called when it has stopped sending to cache hosts.
    pub fn leave(&mut self, now: Micros) {
        self.detect_stall(now);
        self.leaving = true;
        self.view_digest = None;
        let assertion = self.own_assertion();
        for member in self.random_reachable(LEAVE_FANOUT, None) {
            self.send(member.address, &Body::Gossip, vec![assertion.clone()]);
        }
    }

    /// Sends a message of another part of the program to a member, at once and without a guarantee: as a datagram if it
    /// fits, else by stream. A message for an unknown member, or one that is too large for a stream, is dropped.
    pub fn send_payload(&mut self, to: &str, bytes: Vec<u8>) {
        let Some(address) = self.table.address_of(to) else {
            return;
        };
        let body = Body::Payload { bytes };
        if self.packet_writer(&body, MAX_DATAGRAM_BYTES).fits() {
            return self.send(address, &body, Vec::new());
        }
        let writer = self.packet_writer(&body, MAX_STREAM_BYTES);
        if writer.fits() {
            self.actions.push(Action::Stream {
                to: address,
                bytes: writer.finish(),
            });
        }
    }
}
