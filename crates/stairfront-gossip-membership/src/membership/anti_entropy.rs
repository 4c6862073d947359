//! Push/pull exchanges of the whole state, and the comparison of cordon sets.
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS};

use super::Membership;
use crate::action::Action;
use crate::packet::{Body, Item, Sender, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};
use crate::peer_table::{AdvertisedState, Peer};

/// Minimum interval between two push/pull exchanges.
const MIN_PUSH_PULL_INTERVAL: Micros = 300 * MS;
/// Time after which a divergence from a member's view leads to a push/pull exchange with it.
const MAX_DIVERGENCE: Micros = 1500 * MS;
/// Largest number of addresses that wait for a push/pull exchange after one has begun.
const MAX_PUSH_PULL_TARGETS: usize = 8;
/// Minimum interval between two transfers of the whole cordon set to one member.
const MIN_CORDON_TRANSFER_INTERVAL: Micros = 500 * MS;

impl Membership {
    /// Begins a push/pull exchange if one is due: with a member that has returned, with one whose view diverges, or with a
    /// random one.
    pub(super) fn run_push_pulls(&mut self, now: Micros) {
        if now - self.schedule.last_push_pull < MIN_PUSH_PULL_INTERVAL || self.leaving {
            return;
        }
        if let Some(target) = self.push_pull_targets.pop() {
            self.push_pull_targets.retain(|other| *other != target);
            self.push_pull_targets.truncate(MAX_PUSH_PULL_TARGETS);
            self.schedule.last_push_pull = now;
            return self.begin_push_pull(target);
        }
        let diverged = self.diverged_member(now);
        let random = if self.schedule.next_push_pull <= now {
            self.random_reachable(1, None).pop()
        } else {
            None
        };
        if let Some(target) = diverged.or(random.map(|member| member.address)) {
            // Half of the interval is random, so that members do not exchange all at once.
            let interval = self.settings.timing.push_pull_interval;
            let random_part = self.rng.below(interval as usize) as Micros;
            self.schedule.next_push_pull = now + interval / 2 + random_part;
            self.schedule.last_push_pull = now;
            self.begin_push_pull(target);
        }
    }

    fn diverged_member(&self, now: Micros) -> Option<SocketAddr> {
        let is_diverged = |peer: &&Peer| {
            peer.diverged_since
                .is_some_and(|since| now - since > MAX_DIVERGENCE)
        };
        self.table
            .peers
            .values()
            .find(is_diverged)
            .and_then(|peer| peer.address)
    }

    pub(super) fn begin_push_pull(&mut self, with: SocketAddr) {
        let bytes = self.push_pull_packet(false);
        self.actions.push(Action::PushPull { with, bytes });
    }

    /// A packet with all cordons and assertions that fit.
    pub(super) fn push_pull_packet(&mut self, reply: bool) -> Vec<u8> {
        let mut writer = self.packet_writer(&Body::PushPull { reply }, MAX_STREAM_BYTES);
        let messages = self.table.gossip_messages(&self.settings.name);
        let items = self
            .cordons
            .entries()
            .map(Item::Cordon)
            .chain(messages.into_iter().map(Item::Member));
        for item in items {
            if !writer.add(&item) {
                break;
            }
        }
        writer.finish()
    }

    /// Records a push/pull exchange that could not be made or had no reply.
    pub fn handle_push_pull_failure(&mut self) {
        self.metrics.push_pulls_failed += 1;
    }

    /// Records the state that a member's packet advertises, and whether its view of the group is this member's.
    pub(super) fn compare_views(&mut self, now: Micros, from: &Sender) {
        let own_digest = self.view_digest();
        let Some(peer) = self.table.peers.get_mut(&from.name) else {
            return;
        };
        if peer.process_id != from.process_id || !peer.is_present() {
            return;
        }
        peer.advertised = Some(AdvertisedState {
            roster_digest: from.roster_digest,
            name_conflict: from.name_conflict,
        });
        peer.diverged_since = if from.view_digest == own_digest {
            None
        } else {
            peer.diverged_since.or(Some(now))
        };
    }

    /// Sends the cordon set to a member that has another one. Otherwise that member could send requests to a host that the
    /// group has cordoned.
    pub(super) fn compare_cordons(&mut self, now: Micros, from: &Sender) {
        if from.cordon_digest == self.cordons.digest() {
            return;
        }
        let Some(peer) = self.table.peers.get_mut(&from.name) else {
            return;
        };
        if now - peer.cordons_sent_at >= MIN_CORDON_TRANSFER_INTERVAL {
            peer.cordons_sent_at = now;
            self.send_cordon_pages(from.address);
        }
    }

    /// Sends the cordon set in datagrams.
    pub(super) fn send_cordon_pages(&mut self, to: SocketAddr) {
        let page_contents = self.cordon_pages();
        let pages = page_contents.len() as u16;
        for (page, items) in (0u16..).zip(page_contents) {
            self.send(to, &Body::CordonPage { page, pages }, items);
        }
    }

    /// The cordon set, cut so that each page fits in a datagram; one empty page for an empty set.
    fn cordon_pages(&mut self) -> Vec<Vec<Item>> {
        // The page numbers with the longest encoding, so that a page fits whatever its number.
        let widest = Body::CordonPage {
            page: u16::MAX,
            pages: u16::MAX,
        };
        let entries: Vec<Item> = self.cordons.entries().map(Item::Cordon).collect();
        let mut pages: Vec<Vec<Item>> = vec![Vec::new()];
        let mut writer = self.packet_writer(&widest, MAX_DATAGRAM_BYTES);
        for item in entries {
            if !writer.add(&item) {
                writer = self.packet_writer(&widest, MAX_DATAGRAM_BYTES);
                if !writer.add(&item) {
                    continue;
                }
                pages.push(Vec::new());
            }
            if let Some(page) = pages.last_mut() {
                page.push(item);
            }
        }
        pages
    }
}
