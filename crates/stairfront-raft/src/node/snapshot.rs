//! Log compaction and the installation of a leader's snapshot (Raft section 7).
use stairfront_common::time::Micros;

use super::Node;
use crate::log::{LogIndex, Snapshot, Voter};
use crate::message::MessageBody;

impl Node {
    /// Replaces the applied entries up to an index by a snapshot with the state machine's data.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.log.snapshot.index || index > self.last_applied {
            return;
        }
        let Some(term) = self.log.term(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            voters: self.log.voters_at(index).voters.to_vec(),
            cluster_id: self.log.snapshot.cluster_id,
            data,
        };
        self.log.compact(snapshot.clone());
        self.ready.snapshot = Some(snapshot);
        self.ready.append.retain(|appended| appended.index > index);
    }

    pub(super) fn handle_install_snapshot(
        &mut self,
        now: Micros,
        from: &Voter,
        snapshot: Snapshot,
    ) {
        self.become_follower(now, self.hard_state.term, Some(from.clone()));
        let own_cluster = self.log.snapshot.cluster_id;
        if own_cluster != 0 && own_cluster != snapshot.cluster_id {
            return;
        }
        let snapshot_index = snapshot.index;
        if snapshot_index > self.commit_index {
            self.install(snapshot);
        }
        self.respond(
            from,
            MessageBody::AppendResponse {
                match_index: Some(self.commit_index.min(snapshot_index)),
                next_index_hint: 0,
            },
        );
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.log.compact(snapshot.clone());
        let last_index = self.log.last_index();
        self.ready
            .append
            .retain(|appended| appended.index > index && appended.index <= last_index);
        self.ready.snapshot = Some(snapshot.clone());
        self.ready.restored = Some(snapshot);
        self.ready.committed.clear();
        self.commit_index = index;
        self.last_applied = index;
        self.persisted_index = self.persisted_index.clamp(index, last_index.max(index));
    }
}
