//! How a cache host executes commands.
use std::sync::PoisonError;

use bytes::Bytes;
use stairfront_common::time::{from_ms, Micros, MS};

use super::{value_for, Action, CacheHost, Command, Reply, ReplySlot};
use crate::distributions::ServiceTime;

/// Replies that cannot be parsed, or that can be and answer no command.
const MALFORMED_REPLIES: [&[u8]; 5] = [
    b"*3\r\n$5\r\nabc\r\n",
    b"+WHAT\r\n",
    b"$-7\r\n",
    b"*3\r\n$3221225472\r\nx",
    b"\x00\xff\x13no line",
];

/// A command and the place of its reply.
#[derive(Debug)]
pub(super) struct PendingCommand {
    slot: ReplySlot,
    command: Command,
}

/// Work on a core.
#[derive(Debug)]
pub(super) enum Task {
    Read(PendingCommand),
    Write(PendingCommand),
    /// A read of a key that is not cached.
    Lookup(PendingCommand),
    /// The opening of a connection.
    Connect,
}

/// A fetch of a missing key.
#[derive(Debug)]
pub(super) struct Fetch {
    due: Micros,
    key: Bytes,
}

impl CacheHost {
    /// Takes a command.
    pub fn handle_command(
        &mut self,
        now: Micros,
        slot: ReplySlot,
        command: Command,
        actions: &mut Vec<Action>,
    ) {
        if let Some(used) = self.connections.get_mut(&slot.connection) {
            *used = now;
        }
        if self.crashed {
            actions.push(Action::Close(slot.connection));
            return;
        }
        if self.draining {
            actions.push(Action::Reply(slot, Reply::Busy));
            return;
        }
        let (service, task) = self.task_of(now, slot, command);
        let work = service.draw(&mut self.random);
        // A rejected command counts as load too.
        let mean_work = service.mean_ms * MS as f64;
        if self
            .cold_start
            .is_overloaded_by(&self.settings, now, mean_work)
        {
            self.crashed = true;
            self.stop();
            actions.push(Action::Crashed);
            return;
        }
        if work == 0 && self.workers.waiting() == 0 {
            self.finish(now, task, actions);
            return;
        }
        let speed = self.speed(now);
        if self.workers.offer(now, work, speed, task).is_err() {
            actions.push(Action::Reply(slot, Reply::Busy));
        }
    }

    fn task_of(&mut self, now: Micros, slot: ReplySlot, command: Command) -> (ServiceTime, Task) {
        let is_cached = !command.write && self.is_cached(now, &command.key);
        let is_write = command.write;
        let pending = PendingCommand { slot, command };
        if is_write {
            (self.settings.hit, Task::Write(pending))
        } else if is_cached {
            (self.settings.hit, Task::Read(pending))
        } else {
            (self.settings.miss, Task::Lookup(pending))
        }
    }

    fn is_cached(&mut self, now: Micros, key: &Bytes) -> bool {
        if self.settings.holds_all_keys {
            return true;
        }
        let ttl = from_ms(self.settings.ttl_ms);
        match self.store.get(key) {
            Some(stored) if ttl > 0 && now - *stored > ttl => {
                self.store.pop(key);
                false
            }
            found => found.is_some(),
        }
    }

    /// When `advance` has something to do.
    pub fn next_due(&self) -> Option<Micros> {
        let fetch = self.fetches.front().map(|fetch| fetch.due);
        self.workers.next_due().into_iter().chain(fetch).min()
    }

    /// Finishes the work and the fetches that are due.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some((at, task)) = self.workers.take_finished(now, self.speed(now)) {
            self.finish(at, task, actions);
        }
        while let Some(fetch) = self.fetches.pop_front() {
            if fetch.due > now {
                self.fetches.push_front(fetch);
                return;
            }
            self.finish_fetch(fetch, actions);
        }
    }

    fn finish(&mut self, now: Micros, task: Task, actions: &mut Vec<Action>) {
        match task {
            Task::Connect => {}
            Task::Read(pending) => self.answer(now, &pending, "hit", actions),
            Task::Write(pending) => {
                self.apply_write(now, &pending.command, actions);
                self.store.put(pending.command.key.clone(), now);
                self.answer(now, &pending, "hit", actions);
            }
            Task::Lookup(pending) => match self.settings.fetch {
                Some(fetch) => self.fetch(now, fetch, pending),
                None => self.answer_miss(now, &pending, actions),
            },
        }
    }

    /// Fetches a missing value, or waits for the fetch that an earlier command started.
    fn fetch(&mut self, now: Micros, duration: ServiceTime, pending: PendingCommand) {
        let key = pending.command.key.clone();
        let waiting = self.awaiting_fetch.entry(key.clone()).or_default();
        if waiting.is_empty() {
            let due = now + duration.draw(&mut self.random);
            let position = self.fetches.partition_point(|other| other.due <= due);
            self.fetches.insert(position, Fetch { due, key });
        }
        waiting.push(pending);
    }

    fn finish_fetch(&mut self, fetch: Fetch, actions: &mut Vec<Action>) {
        let waiting = self.awaiting_fetch.remove(&fetch.key).unwrap_or_default();
        self.store.put(fetch.key, fetch.due);
        for (i, pending) in waiting.iter().enumerate() {
            let note = if i == 0 { "miss" } else { "pending" };
            self.answer(fetch.due, pending, note, actions);
        }
    }

    fn answer_miss(&mut self, now: Micros, pending: &PendingCommand, actions: &mut Vec<Action>) {
        let PendingCommand { slot, command } = pending;
        if self.cold_start.is_cold(&self.settings, now) {
            actions.push(Action::ColdMiss {
                id: command.id.clone(),
            });
        }
        self.misses.put(command.id.clone(), command.key.clone());
        let report = self.load_report(now);
        self.reply(*slot, Reply::Miss { report }, actions);
    }

    /// Applies a write: under an idempotency key once in the group, without one each time.
    fn apply_write(&mut self, now: Micros, command: &Command, actions: &mut Vec<Action>) {
        let first_receipt = command.info_value(b"k").and_then(|key| {
            let key = Bytes::copy_from_slice(key);
            let ttl = from_ms(self.settings.idempotency_ttl_ms);
            let mut store = self
                .idempotency
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            store.first_receipt(now, ttl, &key, &command.id)
        });
        if first_receipt.is_none() {
            actions.push(Action::Effect {
                id: command.id.clone(),
                key: command.key.clone(),
            });
        }
    }

    fn answer(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        note: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let PendingCommand { slot, command } = pending;
        self.answered += 1;
        let value = value_for(&command.id, &command.key, &self.filler);
        let report = self.load_report(now);
        let reply = if self.random.happens(self.faults.duplicate_chance) {
            Reply::Duplicated { value }
        } else {
            Reply::Value {
                value,
                note,
                report,
            }
        };
        self.reply(*slot, reply, actions);
    }

    fn reply(&mut self, slot: ReplySlot, reply: Reply, actions: &mut Vec<Action>) {
        if self.random.happens(self.faults.reset_chance) {
            actions.push(Action::Close(slot.connection));
            return;
        }
        let reply = if self.random.happens(self.faults.drop_chance) {
            Reply::Dropped
        } else if self.random.happens(self.faults.corrupt_chance) {
            self.malformed_reply()
        } else {
            reply
        };
        actions.push(Action::Reply(slot, reply));
    }

    fn malformed_reply(&mut self) -> Reply {
        let position = self.random.below(MALFORMED_REPLIES.len() as u64) as usize;
        Reply::Malformed(Bytes::from_static(MALFORMED_REPLIES[position]))
    }

    fn load_report(&mut self, now: Micros) -> Option<String> {
        self.load_reporter
            .report(now, &self.settings, self.answered, &mut self.workers)
    }
}
