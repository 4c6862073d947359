//! The leader's choice of voters: a member that has lost its storage is replaced by its new
//! incarnation, a learner with a configured name is promoted to a voter, and a voter that is not
//! configured any more is removed. One change at a time.
use std::collections::BTreeSet;

use stairfront_common::time::Micros;

use super::{ClusterManager, PeerStatus, LOST_VOTER_TIMEOUT, PRESENCE_TIMEOUT};
use crate::log::Voter;

/// A change of voters.
enum VoterChange {
    Promote(Voter),
    Remove(Voter),
}

impl ClusterManager {
    /// Updates the learners and proposes the next change of voters, if one is due. One that the
    /// node refuses is proposed again at the next check.
    pub(super) fn check_voters(&mut self, now: Micros) {
        let voters: BTreeSet<Voter> = self.node.voters().iter().cloned().collect();
        let learners = self.present_learners(now, &voters);
        self.node.set_learners(learners.iter().cloned());
        let Some(change) = self.next_voter_change(now, &voters, &learners) else {
            return;
        };
        let mut changed: Vec<Voter> = voters.into_iter().collect();
        let counter = match change {
            VoterChange::Promote(learner) => {
                changed.push(learner);
                &mut self.counters.voters_added
            }
            VoterChange::Remove(removed) => {
                changed.retain(|voter| *voter != removed);
                &mut self.counters.voters_removed
            }
        };
        if self.node.change_voters(now, changed).is_ok() {
            *counter += 1;
        }
    }

    /// Members that are present and no voters.
    fn present_learners(&self, now: Micros, voters: &BTreeSet<Voter>) -> Vec<Voter> {
        let own_cluster = self.cluster_id();
        let is_present = |peer: &PeerStatus| {
            let joins = peer.cluster_id == 0 || peer.cluster_id == own_cluster;
            joins && now - peer.last_message <= PRESENCE_TIMEOUT
        };
        self.peers
            .iter()
            .filter(|(member, peer)| !voters.contains(member) && is_present(peer))
            .map(|(member, _)| member.clone())
            .collect()
    }

    /// The first change that is due: by the configured names in their order, then a voter that is
    /// not configured.
    fn next_voter_change(
        &self,
        now: Micros,
        voters: &BTreeSet<Voter>,
        learners: &[Voter],
    ) -> Option<VoterChange> {
        let by_name = self
            .voter_names
            .iter()
            .find_map(|name| self.change_for_name(now, name, voters, learners));
        by_name.or_else(|| self.remove_unconfigured(voters))
    }

    /// The change for a configured name that has one present learner: the removal of its former
    /// incarnation, once that is silent for long enough, or else its promotion.
    fn change_for_name(
        &self,
        now: Micros,
        name: &str,
        voters: &BTreeSet<Voter>,
        learners: &[Voter],
    ) -> Option<VoterChange> {
        let mut candidates = learners.iter().filter(|learner| learner.name == name);
        let learner = candidates.next()?;
        if candidates.next().is_some() {
            return None;
        }
        let Some(voter) = voters.iter().find(|voter| voter.name == name) else {
            return Some(VoterChange::Promote(learner.clone()));
        };
        let is_lost = self.node.time_since_response(now, voter) >= LOST_VOTER_TIMEOUT;
        is_lost.then(|| VoterChange::Remove(voter.clone()))
    }

    /// The removal of a voter that is not configured any more; a leader stays until another leads.
    fn remove_unconfigured(&self, voters: &BTreeSet<Voter>) -> Option<VoterChange> {
        let unconfigured = voters
            .iter()
            .find(|voter| !self.voter_names.contains(&voter.name) && **voter != self.local)?;
        Some(VoterChange::Remove(unconfigured.clone()))
    }
}
