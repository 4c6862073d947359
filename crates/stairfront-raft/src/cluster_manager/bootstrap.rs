//! The bootstrap of a group, once in its life.
use stairfront_common::time::Micros;

use super::{ClusterManager, PRESENCE_TIMEOUT};
use crate::log::Voter;

impl ClusterManager {
    /// Bootstraps the group, if this member is the first of the configured voters and all the
    /// others report that they are in none.
    ///
    /// A founder that has lost its storage must not found a second group beside the first. Any
    /// voter of the first one prevents that: if present, it reports its group, and if absent, not
    /// all have reported. If all voters have lost their storage, there is no first group any more.
    pub(super) fn bootstrap_if_first(&mut self, now: Micros) {
        if self.voter_names.first() != Some(&self.local.name) || !self.node.is_new() {
            return;
        }
        let others = self.voter_names.iter().skip(1);
        let others: Option<Vec<Voter>> = others
            .map(|name| self.unaffiliated_peer(now, name))
            .collect();
        let Some(others) = others else {
            return;
        };
        let voters = std::iter::once(self.local.clone()).chain(others).collect();
        let cluster_id = self.local.incarnation.max(1);
        self.node.bootstrap(now, voters, cluster_id);
    }

    /// The one present incarnation of a name, if it is in no group. Two incarnations at once mean
    /// that one has just ended or that two processes have one name; none is returned until that is
    /// clear.
    fn unaffiliated_peer(&self, now: Micros, name: &str) -> Option<Voter> {
        let mut present = self.peers.iter().filter(|(voter, peer)| {
            voter.name == name && now - peer.last_message <= PRESENCE_TIMEOUT
        });
        let (voter, peer) = present.next()?;
        let is_only_one = present.next().is_none();
        (peer.cluster_id == 0 && is_only_one).then(|| voter.clone())
    }
}
