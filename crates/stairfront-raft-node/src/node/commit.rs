//! The work that the consensus gives to its driver: batches are saved, their messages are sent, and
//! committed commands are applied.
use stairfront_raft::{LogIndex, OutgoingMessage, Payload, Ready, Term};

use super::{PendingBatch, RaftNode};
use crate::state_machine::StateMachine;
use crate::store_thread::StoreThread;

/// Applied entries behind the last snapshot at which a new one is made.
const COMPACTION_THRESHOLD: LogIndex = 256;

impl<M: StateMachine> RaftNode<M> {
    /// Does the work that there is, up to a batch that has to wait for the disk.
    pub(super) fn process_ready(&self, store: Option<&StoreThread>) {
        for outgoing in self.with_manager(|manager, _| manager.take_messages()) {
            self.transport.send(outgoing);
        }
        while self.pending_batch.borrow().is_none() {
            let Some(mut ready) = self.with_manager(|manager, _| manager.ready()) else {
                return;
            };
            self.apply(&mut ready);
            let batch = PendingBatch {
                number: ready.number,
                messages: std::mem::take(&mut ready.messages),
            };
            match store.filter(|_| ready.must_persist()) {
                Some(thread) => {
                    self.pending_batch.replace(Some(batch));
                    thread.save(ready);
                }
                None => self.complete(batch),
            }
        }
    }

    /// Notes that a batch is on the disk.
    pub(super) fn finish_batch(&self, number: u64) {
        let batch = self
            .pending_batch
            .borrow_mut()
            .take_if(|batch| batch.number == number);
        if let Some(batch) = batch {
            self.complete(batch);
        }
    }

    /// Sends the messages of a durable batch, and counts it.
    fn complete(&self, batch: PendingBatch) {
        self.send(batch.messages);
        self.with_manager(|manager, now| manager.persisted(now, batch.number));
    }

    fn send(&self, messages: Vec<OutgoingMessage>) {
        let manager = self.manager.borrow();
        let Some(manager) = manager.as_ref() else {
            return;
        };
        for OutgoingMessage { to, message } in messages {
            self.transport.send(manager.envelope(to, message));
        }
    }

    /// Applies what a batch commits, and compacts the log from time to time.
    fn apply(&self, ready: &mut Ready) {
        let mut applied = self.applied.get();
        if let Some(snapshot) = ready.restored.take() {
            self.state_machine
                .borrow_mut()
                .restore(snapshot.index, &snapshot.data);
            applied.last = snapshot.index;
            applied.snapshot = snapshot.index;
        }
        let committed = std::mem::take(&mut ready.committed);
        for entry in &committed {
            applied.last = entry.index;
            if let Payload::Command(command) = &entry.entry.payload {
                self.apply_command(entry.index, entry.entry.term, command);
            }
        }
        if applied.last - applied.snapshot >= COMPACTION_THRESHOLD {
            let data = self.state_machine.borrow().snapshot();
            self.with_manager(|manager, _| manager.compact(applied.last, data));
            applied.snapshot = applied.last;
        }
        self.applied.set(applied);
        if !committed.is_empty() {
            self.committed.notify_waiters();
        }
    }

    fn apply_command(&self, index: LogIndex, term: Term, command: &[u8]) {
        let proposal = self.state_machine.borrow_mut().apply(index, term, command);
        if let Some(id) = proposal {
            self.with_manager(|manager, _| manager.committed(id));
        }
    }
}
