//! The view of the group that operators and observers see.
use stairfront_common::time::{Micros, MS};

use super::Membership;
use crate::assertion::MemberState;
use crate::metrics::Metrics;
use crate::report::{MemberReport, Report};

impl Membership {
    /// This member's view of the group.
    #[must_use]
    pub fn report(&self, now: Micros) -> Report {
        let mut members = vec![self.own_report(now)];
        members.extend(self.table.peers.iter().map(|(name, peer)| MemberReport {
            name: name.clone(),
            address: peer.address,
            state: peer.displayed_state(),
            incarnation: peer.incarnation,
            process_id: peer.process_id,
            since_ms: ms_since(now, peer.since),
        }));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let digest = self.table.digest(&self.settings.name, self.leaving);
        Report {
            name: self.settings.name.clone(),
            group: self.settings.group.clone(),
            quorum: self.quorum.status,
            quorum_since_ms: ms_since(now, self.quorum.since),
            digest: format!("{digest:016x}"),
            roster_differs: self
                .table
                .with_other_roster(self.roster_digest)
                .into_iter()
                .collect(),
            divergence_ms: (self.table.longest_divergence(now) / MS) as u64,
            name_conflict: self.name_conflict.is_some(),
            cordons: self.cordons.cordoned_hosts().map(str::to_string).collect(),
            members,
        }
    }

    fn own_report(&self, now: Micros) -> MemberReport {
        MemberReport {
            name: self.settings.name.clone(),
            address: Some(self.settings.advertise),
            state: if self.leaving {
                MemberState::Left
            } else {
                MemberState::Alive
            },
            incarnation: self.incarnation,
            process_id: self.settings.process_id,
            since_ms: ms_since(now, self.quorum.since),
        }
    }

    /// Number of members in a state; this member counts as alive.
    #[must_use]
    pub fn count(&self, state: MemberState) -> usize {
        let others = self
            .table
            .peers
            .values()
            .filter(|peer| peer.displayed_state() == state)
            .count();
        others + usize::from(state == MemberState::Alive)
    }

    /// The longest time for which a member's view has differed from this member's.
    #[must_use]
    pub fn longest_divergence(&self, now: Micros) -> Micros {
        self.table.longest_divergence(now)
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> &Metrics {
        &self.metrics
    }
}

fn ms_since(now: Micros, since: Micros) -> u64 {
    ((now - since).max(0) / MS) as u64
}
