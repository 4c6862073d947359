//! Contact with members that are not known or have failed: seeds, and attempts to reconnect.
use std::collections::BTreeSet;
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS, SECOND};

use super::Membership;
use crate::assertion::MemberState;
use crate::failure_detector::INDIRECT_PROBES;
use crate::packet::Body;

/// Interval between two attempts to join the group while no other member is present.
const JOIN_INTERVAL: Micros = 500 * MS;
/// The same while other members are present: a seed may be in a part of the group that none of them knows.
const JOINED_INTERVAL: Micros = 10 * SECOND;
/// Largest number of seeds that are contacted in one attempt.
const MAX_SEEDS_PER_JOIN: usize = INDIRECT_PROBES;
/// Interval between two pings to a failed member.
const RECONNECT_INTERVAL: Micros = SECOND;

impl Membership {
    pub(super) fn run_joins(&mut self, now: Micros) {
        if self.leaving {
            return;
        }
        if self.schedule.next_join <= now {
            let is_alone = self.table.size() == 1;
            let interval = if is_alone {
                JOIN_INTERVAL
            } else {
                JOINED_INTERVAL
            };
            self.schedule.next_join = now + interval;
            self.contact_seeds();
        }
        if self.schedule.next_reconnect <= now {
            self.schedule.next_reconnect = now + RECONNECT_INTERVAL;
            self.ping_failed_member();
        }
    }

    /// Begins push/pull exchanges with seeds that are not the address of a member that is alive.
    fn contact_seeds(&mut self) {
        let known: BTreeSet<SocketAddr> =
            self.table.reachable().map(|(_, address)| address).collect();
        let unknown = self
            .other_seeds()
            .filter(|seed| !known.contains(seed))
            .collect();
        for seed in self.rng.sample(unknown, MAX_SEEDS_PER_JOIN) {
            self.begin_push_pull(seed);
        }
    }

    /// The seeds except this member's own address.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.settings.advertise)
    }

    /// Pings a random failed member, so that the end of a partition is noticed.
    fn ping_failed_member(&mut self) {
        let failed: Vec<(String, SocketAddr)> = self
            .table
            .peers
            .iter()
            .filter(|(_, peer)| peer.state == MemberState::Failed)
            .filter_map(|(name, peer)| Some((name.clone(), peer.address?)))
            .collect();
        if let Some((name, address)) = self.rng.sample(failed, 1).pop() {
            let seq = self.detector.next_seq();
            let accusation = self.accusation_of(&name);
            self.send(address, &Body::Ping { seq, to: name }, accusation);
        }
    }
}
