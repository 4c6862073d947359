//! Handling of received packets: each body and item goes to the module of its concern.
use stairfront_common::time::Micros;

use super::Membership;
use crate::action::{Action, Event, Evidence};
use crate::assertion::{GossipMessage, StateAssertion};
use crate::cordon_set::CordonEntry;
use crate::failure_detector::Requester;
use crate::packet::{
    Body, Item, Packet, PacketError, Sender, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES,
};

/// One event is logged for this number of rejected packets of a kind.
const REJECTED_PACKETS_PER_EVENT: u64 = 1000;

impl Membership {
    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.detect_stall(now);
        self.metrics.datagrams_in += 1;
        self.metrics.bytes_in += bytes.len() as u64;
        match Packet::read(self.group_id, bytes, MAX_DATAGRAM_BYTES) {
            Ok(packet) => self.handle_packet(now, packet),
            Err(error) => self.count_rejected(error),
        }
    }

    /// Handles a packet that was received by stream; returns the reply to send, if there is one.
    pub fn handle_stream_packet(&mut self, now: Micros, bytes: &[u8]) -> Option<Vec<u8>> {
        self.detect_stall(now);
        let packet = match Packet::read(self.group_id, bytes, MAX_STREAM_BYTES) {
            Ok(packet) => packet,
            Err(error) => {
                self.count_rejected(error);
                return None;
            }
        };
        match packet.body {
            Body::Payload { .. } => {
                self.handle_packet(now, packet);
                None
            }
            Body::PushPull { reply } => self.handle_push_pull(now, packet, reply),
            _ => None,
        }
    }

    fn handle_push_pull(&mut self, now: Micros, packet: Packet, reply: bool) -> Option<Vec<u8>> {
        self.metrics.push_pulls += 1;
        if reply {
            self.quorum.record_push_pull();
        }
        self.handle_packet(now, packet);
        (!reply).then(|| self.push_pull_packet(true))
    }

    fn count_rejected(&mut self, error: PacketError) {
        let counter = match error {
            PacketError::Version(_) => &mut self.metrics.other_version,
            PacketError::Group => &mut self.metrics.other_group,
            PacketError::Checksum => &mut self.metrics.corrupt,
            PacketError::Size(_) | PacketError::Encoding | PacketError::Value => {
                &mut self.metrics.undecodable
            }
        };
        *counter += 1;
        let count = *counter;
        if count % REJECTED_PACKETS_PER_EVENT == 1 {
            self.log(Event::PacketsRejected { error, count });
        }
    }

    fn handle_packet(&mut self, now: Micros, packet: Packet) {
        let Packet { from, body, items } = packet;
        if self.is_own_name(&from.name) {
            if from.process_id != self.settings.process_id {
                self.handle_packet_of_same_name(now, &from, &body);
            }
            return;
        }
        self.accept_assertion(now, alive_assertion(&from), &Evidence::OwnStatement);
        let known = self.table.peers.get(&from.name);
        let is_current = known.is_some_and(|peer| peer.process_id == from.process_id);
        if known.is_some_and(|peer| peer.incarnation > from.incarnation || !is_current) {
            self.send_assertion_about(&from);
        }
        self.compare_views(now, &from);
        let entries = self.handle_items(now, items, &from.name);
        self.handle_body(now, &from, is_current, body, entries);
        self.compare_cordons(now, &from);
    }

    /// Handles the gossip behind a body; returns the cordon entries among it.
    fn handle_items(&mut self, now: Micros, items: Vec<Item>, from: &str) -> Vec<CordonEntry> {
        let evidence = Evidence::Gossip {
            from: from.to_string(),
        };
        let mut entries = Vec::new();
        for item in items {
            match item {
                Item::Member(message) => self.accept_assertion(now, message, &evidence),
                Item::Cordon(entry) => entries.push(entry),
                Item::Drain(notice) => self.handle_drain_notice(now, notice),
            }
        }
        self.accept_cordons(now, &entries);
        entries
    }

    /// Handles a body; `is_current` says that the sender is the process that is known under its name.
    fn handle_body(
        &mut self,
        now: Micros,
        from: &Sender,
        is_current: bool,
        body: Body,
        entries: Vec<CordonEntry>,
    ) {
        match body {
            // This process must not be taken for the one that had its address before.
            Body::Ping { to, .. } if !self.is_own_name(&to) => self.metrics.misdirected += 1,
            // A sender that others know as another process has to assert its state first.
            Body::Ping { .. } | Body::PingRequest { .. } if !is_current => {}
            Body::Ping { seq, .. } => self.handle_ping(from, seq),
            Body::PingRequest {
                seq,
                target,
                address,
            } => {
                let requester = Requester {
                    address: from.address,
                    seq,
                };
                self.handle_ping_request(now, requester, target, address);
            }
            Body::Ack { seq } => self.handle_ack(from, seq),
            Body::Nack { seq } => self.detector.handle_nack(seq),
            Body::Gossip | Body::NameConflict { .. } | Body::PushPull { .. } => {}
            // Each of two processes with one name could send messages as the other one.
            Body::Payload { bytes } if is_current && !from.name_conflict => {
                let from = from.name.clone();
                self.actions.push(Action::DeliverPayload { from, bytes });
            }
            Body::Payload { .. } => {}
            Body::CordonQuery => self.send_cordon_pages(from.address),
            Body::CordonPage { page, pages } => self.handle_cordon_page(&from.name, page, pages),
            Body::CordonOrder { number } => self.handle_order(from.address, number, entries),
            Body::CordonAck { number } => self.handle_order_ack(from, is_current, number),
        }
    }
}

/// A packet shows that its sender is alive.
fn alive_assertion(from: &Sender) -> GossipMessage {
    GossipMessage {
        member: from.name.clone(),
        incarnation: from.incarnation,
        assertion: StateAssertion::Alive {
            address: from.address,
            process_id: from.process_id,
        },
    }
}
