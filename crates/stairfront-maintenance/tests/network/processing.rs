//! What a member does with messages, with the work of its consensus, and with requests.
use stairfront_common::time::{Micros, MS};
use stairfront_maintenance::Maintenance;
use stairfront_raft::{IndexedEntry, Payload, Ready};

use crate::member::{Attempt, PersistingBatch};
use crate::world::{member_index, member_name, Delivery, Message, World, HOSTS, MEMBERS};

/// Applied entries behind the snapshot at which a member makes a new one.
const COMPACTION_THRESHOLD: u64 = 64;
const STALLED_WRITE_MS: u64 = 700;

impl World {
    pub fn handle_message(&mut self, delivery: Delivery) {
        let Delivery { from, to, message } = delivery;
        let member = &mut self.members[to];
        if !member.is_running() {
            return;
        }
        match message {
            Message::Raft(envelope) => {
                if let Some(manager) = &mut member.manager {
                    manager.handle_message(self.now, *envelope);
                }
            }
            Message::Cordon(cordon) => {
                let is_lifted = member.has_lifted(&cordon);
                member.started_isolated = false;
                if !is_lifted {
                    member.cordons.insert(cordon.clone());
                    self.send(to, from, Message::CordonConfirmed(cordon));
                }
            }
            Message::QueryDrained(cordon) => {
                if member.is_cordoned(&cordon.host) && !member.has_attempt_at(&cordon.host) {
                    self.send(to, from, Message::Drained(cordon));
                }
            }
            Message::CordonConfirmed(cordon) => {
                let confirmed = member.confirmed.entry(cordon).or_default();
                confirmed.insert(member_name(from));
            }
            Message::Drained(cordon) => {
                let drained = member.drained.entry(cordon).or_default();
                drained.insert(member_name(from));
            }
        }
    }

    /// Completes the batch that is durable by now, and starts to persist the next ones.
    pub fn process_ready(&mut self, index: usize) {
        let member = &mut self.members[index];
        if member.is_paused {
            return;
        }
        let Some(manager) = member.manager.as_mut() else {
            return;
        };
        let mut outgoing = manager.take_messages();
        let now = self.now;
        let is_durable = |batch: &mut PersistingBatch| batch.completes_at <= now;
        if let Some(batch) = member.persisting.take_if(is_durable) {
            member.disk.persist(&batch.ready);
            let messages = batch.messages.into_iter();
            outgoing.extend(messages.map(|sent| manager.envelope(sent.to, sent.message)));
            manager.persisted(now, batch.ready.number);
        }
        while self.members[index].persisting.is_none() {
            let manager = self.members[index].manager.as_mut();
            let Some(ready) = manager.and_then(|manager| manager.ready()) else {
                break;
            };
            self.begin_batch(index, ready);
        }
        for sent in outgoing {
            let to = member_index(&sent.to_name);
            self.send(index, to, Message::Raft(Box::new(sent.envelope)));
        }
    }

    /// Applies the committed entries of a batch and starts to persist it.
    fn begin_batch(&mut self, index: usize, mut ready: Ready) {
        let member = &mut self.members[index];
        if let Some(snapshot) = ready.restored.take() {
            member.maintenance = Maintenance::restore(&snapshot.data).unwrap_or_default();
            member.applied = snapshot.index;
        }
        for committed in std::mem::take(&mut ready.committed) {
            self.apply(index, committed);
        }
        let member = &mut self.members[index];
        if member.applied >= member.disk.log.snapshot.index + COMPACTION_THRESHOLD {
            if let Some(manager) = &mut member.manager {
                manager.compact(member.applied, member.maintenance.snapshot());
            }
        }
        member.update_cordons();
        let write_ms = if self.stalled_disks.contains(&index) {
            STALLED_WRITE_MS
        } else {
            1 + self.rng.below(8_u64)
        };
        member.persisting = Some(PersistingBatch {
            completes_at: self.now + write_ms as Micros * MS,
            messages: std::mem::take(&mut ready.messages),
            ready,
        });
    }

    fn apply(&mut self, index: usize, committed: IndexedEntry) {
        let member = &mut self.members[index];
        member.applied = committed.index;
        let Payload::Command(command) = &committed.entry.payload else {
            return;
        };
        let first = self.committed.entry(committed.index);
        let first = first.or_insert_with(|| command.clone());
        assert!(
            first == command || self.log_lost,
            "seed {}: two entries at index {}",
            self.seed,
            committed.index
        );
        let term = committed.entry.term;
        let id = member.maintenance.apply(committed.index, term, command);
        if let (Some(id), Some(manager)) = (id, &mut member.manager) {
            manager.committed(id);
        }
    }

    /// Each member sends a request to a host that it does not keep out; a paused one sends none.
    pub fn send_attempts(&mut self) {
        for index in 0..MEMBERS {
            let host = format!("c{}", self.rng.below(HOSTS as u64));
            let duration = self.rng.below(300_u64) as Micros * MS;
            let now = self.now;
            let member = &mut self.members[index];
            if !member.is_running() {
                continue;
            }
            member.in_flight.retain(|attempt| attempt.ends_at > now);
            if member.is_cordoned(&host) {
                continue;
            }
            member.in_flight.push(Attempt {
                host: host.clone(),
                ends_at: now + duration,
            });
            self.check_attempt(index, &host);
        }
    }
}
