//! The leader's loop: it proposes the steps that are due and asks the members for the confirmations that these need.
use stairfront_common::time::SECOND;
use stairfront_maintenance::{
    CommandKind, LeaderObservation, MachineKey, Maintenance, NextCommands, Stage,
};

use crate::member::{Confirmations, Member};
use crate::world::{member_name, Message, World, MEMBERS};

impl World {
    pub fn act_as_leader(&mut self, leader: usize) {
        let member = &mut self.members[leader];
        if member.is_paused {
            return;
        }
        let Some(manager) = member.manager.as_mut() else {
            return;
        };
        if !manager.node().is_leader() || !manager.may_commit() {
            return;
        }
        let term = manager.node().term();
        let stage = member.maintenance.balancer_stage(&member_name(leader));
        if stage == Some(Stage::Notified) {
            // Without a successor in reach the transfer fails and is tried again at the next turn.
            let _ = manager.transfer_leadership(self.now);
        }
        let notified = hosts_at(&member.maintenance, Stage::Notified);
        let draining = hosts_at(&member.maintenance, Stage::Draining);
        for kind in self.due_commands(leader) {
            self.propose(leader, term, kind);
        }
        for other in 0..MEMBERS {
            for cordon in &notified {
                self.send(leader, other, Message::Cordon(cordon.clone()));
            }
            for cordon in &draining {
                self.send(leader, other, Message::QueryDrained(cordon.clone()));
            }
        }
    }

    /// The due commands, without those that were proposed within the last second.
    fn due_commands(&mut self, leader: usize) -> Vec<CommandKind> {
        let observation = self.observe(leader);
        let now = self.now;
        let member = &mut self.members[leader];
        let NextCommands { mut due, .. } = member.maintenance.next_commands(&observation);
        let proposed = &mut member.proposed;
        proposed.retain(|_, at| now - *at < SECOND);
        due.retain(|kind| !proposed.contains_key(&format!("{kind:?}")));
        proposed.extend(due.iter().map(|kind| (format!("{kind:?}"), now)));
        due
    }

    fn observe(&self, leader: usize) -> LeaderObservation {
        let member: &Member = &self.members[leader];
        let warming_up = member.maintenance.machines_at(Stage::WarmingUp);
        LeaderObservation {
            fleet: self.fleet(leader),
            leader: member_name(leader),
            confirmed: names(&member.confirmed).collect(),
            drained: names(&member.drained).collect(),
            warm: warming_up
                .map(|machine| machine.name().to_string())
                .collect(),
            ..LeaderObservation::default()
        }
    }
}

fn hosts_at(maintenance: &Maintenance, stage: Stage) -> Vec<MachineKey> {
    maintenance
        .hosts_at(stage)
        .map(|cordoned| MachineKey {
            host: cordoned.host,
            notified: cordoned.notified,
        })
        .collect()
}

fn names(confirmations: &Confirmations) -> impl Iterator<Item = (MachineKey, Vec<String>)> + '_ {
    confirmations
        .iter()
        .map(|(key, names)| (key.clone(), names.iter().cloned().collect()))
}
