//! A cache host: cores with a bounded queue, a bounded store, a cold start and what can befall it.
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use lru::LruCache;
use rustc_hash::{FxBuildHasher, FxHashMap};
use serde::{Deserialize, Serialize};

use crate::distributions::ServiceTime;
use crate::settings_error::{validate_times, SettingsError};
use crate::worker_pool::WorkerPool;
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros, MS, SECOND};

/// Requests whose miss is remembered, so that the origin's answer can be stored; old ones make room.
const MISSES_REMEMBERED: usize = 65_536;
/// Grain of the window in which a cold host's work is added up.
const WINDOW_PART: Micros = 50 * MS;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheSettings {
    pub cores: usize,
    /// Work of an answer from the store, and of a miss.
    pub hit: ServiceTime,
    pub miss: ServiceTime,
    /// Where set, the host fetches what it lacks by itself, which takes so long and no core.
    pub fetch: Option<ServiceTime>,
    /// Most requests that wait for a core; more are turned away.
    #[serde(rename = "queue")]
    pub max_queue: usize,
    /// Most keys kept; the one unused longest makes room.
    #[serde(rename = "store")]
    pub max_keys: usize,
    /// Has every key from the start, whatever `store` says: for measurements of the balancer alone.
    #[serde(rename = "has_all")]
    pub holds_all_keys: bool,
    /// After this a kept value is void, in milliseconds; 0 for never.
    pub ttl_ms: f64,
    /// Most open connections, and the work that a new one costs, in milliseconds.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    pub connect_ms: f64,
    /// A connection that stands idle for so long is closed, in milliseconds.
    pub idle_ms: f64,
    /// Part of its capacity that a host has at a cold start, and when it is warm, in milliseconds.
    #[serde(rename = "cold_from")]
    pub cold_capacity: f64,
    pub warm_up_ms: f64,
    /// Sent more than so many times what it can do for so long while cold, it falls over.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// How long a keyed request is remembered, and a repeat of it dropped, in milliseconds.
    #[serde(rename = "keyed_ms")]
    pub idempotency_ttl_ms: f64,
    /// Fields of the load report, of `outstanding`, `backlog`, `utilization` and `throughput`; none for no report.
    #[serde(rename = "report")]
    pub report_fields: Vec<String>,
    #[serde(rename = "report_every_ms")]
    pub report_interval_ms: f64,
    /// Bytes of a value beside its request's id and key.
    pub value_bytes: usize,
}

impl Default for CacheSettings {
    fn default() -> Self {
        CacheSettings {
            cores: 2,
            hit: ServiceTime {
                mean_ms: 2.0,
                distribution: crate::distributions::Distribution::Lognormal,
                spread: 0.5,
            },
            miss: ServiceTime::fixed(0.2),
            fetch: None,
            max_queue: 200,
            max_keys: 20_000,
            holds_all_keys: false,
            ttl_ms: 0.0,
            max_connections: 10_000,
            connect_ms: 0.0,
            idle_ms: 60_000.0,
            cold_capacity: 0.2,
            warm_up_ms: 10_000.0,
            overload_multiple: 3.0,
            overload_window_ms: 3_000.0,
            idempotency_ttl_ms: 2_000.0,
            report_fields: Vec::new(),
            report_interval_ms: 100.0,
            value_bytes: 64,
        }
    }
}

impl CacheSettings {
    /// Checks that each value is in its range.
    ///
    /// # Errors
    ///
    /// Names the first key that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let services = [
            ("hit", Some(self.hit)),
            ("miss", Some(self.miss)),
            ("fetch", self.fetch),
        ];
        for (key, service) in services {
            if let Some(service) = service {
                service
                    .validate()
                    .map_err(|error| SettingsError::new(key, error.to_string()))?;
            }
        }
        validate_times(&[
            ("ttl_ms", self.ttl_ms),
            ("connect_ms", self.connect_ms),
            ("idle_ms", self.idle_ms),
            ("warm_up_ms", self.warm_up_ms),
            ("fall_ms", self.overload_window_ms),
            ("keyed_ms", self.idempotency_ttl_ms),
            ("report_every_ms", self.report_interval_ms),
        ])?;
        if !(0.001..=1.0).contains(&self.cold_capacity) {
            return Err(SettingsError::new(
                "cold_from",
                "must be between 0.001 and 1",
            ));
        }
        if self.max_keys == 0 {
            return Err(SettingsError::new("store", "must be 1 or more"));
        }
        if self.cores == 0 || self.cores > 1024 {
            return Err(SettingsError::new("cores", "must be 1 or more"));
        }
        self.validate_report_fields()
    }

    fn validate_report_fields(&self) -> Result<(), SettingsError> {
        let known = ["outstanding", "backlog", "utilization", "throughput"];
        let mut fields = self.report_fields.iter();
        match fields.find(|field| !known.contains(&field.as_str())) {
            Some(unknown) => Err(SettingsError::new(
                "report",
                format!("unknown field {unknown:?}, one of {known:?}"),
            )),
            None => Ok(()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A command as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
    /// The list of names and values.
    pub info: Bytes,
    pub value: Bytes,
}

impl Command {
    /// A value of the list, by its name.
    pub fn info_value(&self, name: &[u8]) -> Option<&[u8]> {
        let of = |pair: &'_ [u8]| -> bool {
            pair.len() > name.len() && pair[name.len()] == b'=' && pair.starts_with(name)
        };
        self.info
            .split(|b| *b == b',')
            .find(|pair| of(pair))
            .map(|pair| &pair[name.len() + 1..])
    }
}

/// A command of one connection, by its place in the order there: answers go out in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplySlot {
    pub connection: ConnectionId,
    pub sequence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// With how it went (`hit`, `miss`, `pending`) and the load report, if any.
    Value {
        value: Bytes,
        note: &'static str,
        report: Option<String>,
    },
    Miss {
        report: Option<String>,
    },
    Failed,
    Busy,
    /// Bytes in none of the protocol's forms.
    Malformed(Bytes),
    /// A good reply and a second copy of it.
    Duplicated {
        value: Bytes,
    },
    /// Never comes, but its turn passes.
    Dropped,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Reply(ReplySlot, Reply),
    Close(ConnectionId),
    /// A keyed or plain write has taken effect for the first time.
    Effect {
        id: Bytes,
        key: Bytes,
    },
    /// A miss while cold.
    ColdMiss {
        id: Bytes,
    },
    /// It was sent more than it can bear while cold, and is down for good.
    Crashed,
}

/// What can be wrong with a host; several may be at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerFaults {
    /// Times that work takes longer.
    pub slowdown: f64,
    /// Chance that an answer is lost, spoilt, doubled, or its connection is reset instead.
    pub drop_chance: f64,
    pub corrupt_chance: f64,
    pub duplicate_chance: f64,
    pub reset_chance: f64,
}

impl Default for ServerFaults {
    fn default() -> Self {
        ServerFaults {
            slowdown: 1.0,
            drop_chance: 0.0,
            corrupt_chance: 0.0,
            duplicate_chance: 0.0,
            reset_chance: 0.0,
        }
    }
}

/// Keyed requests that a group of hosts has carried out, and their receipts: repeats are answered with those.
#[derive(Debug, Default)]
pub struct IdempotencyStore {
    done: FxHashMap<Bytes, (Micros, Bytes)>,
    order: VecDeque<(Micros, Bytes)>,
}

impl IdempotencyStore {
    pub fn shared() -> Arc<Mutex<Self>> {
        Arc::default()
    }

    fn forget_before(&mut self, then: Micros) {
        while self.order.front().is_some_and(|(at, _)| *at < then) {
            let Some((at, key)) = self.order.pop_front() else {
                return;
            };
            if self.done.get(&key).is_some_and(|(done, _)| *done == at) {
                self.done.remove(&key);
            }
        }
    }

    /// The receipt of the first request under this key, if it is remembered; else this one is.
    pub fn first_receipt(
        &mut self,
        now: Micros,
        keep: Micros,
        key: &Bytes,
        receipt: &Bytes,
    ) -> Option<Bytes> {
        self.forget_before(now - keep);
        if let Some((_, receipt)) = self.done.get(key) {
            return Some(receipt.clone());
        }
        self.done.insert(key.clone(), (now, receipt.clone()));
        self.order.push_back((now, key.clone()));
        None
    }
}

/// What a host is at.
#[derive(Debug)]
enum Task {
    Read(ReplySlot, Command),
    Write(ReplySlot, Command),
    /// A miss has been looked up; its reply is a miss, or the value once fetched.
    Lookup(ReplySlot, Command),
    /// A new connection's greeting.
    Greeting,
}

/// Work that came while cold, by parts of the window.
#[derive(Debug, Default)]
struct ColdWork {
    parts: VecDeque<(Micros, f64)>,
    sum: f64,
}

impl ColdWork {
    fn add(&mut self, now: Micros, work: f64, span: Micros) {
        let part = now - now.rem_euclid(WINDOW_PART);
        match self.parts.back_mut() {
            Some((at, sum)) if *at == part => *sum += work,
            _ => self.parts.push_back((part, work)),
        }
        self.sum += work;
        while self.parts.front().is_some_and(|(at, _)| *at <= now - span) {
            self.sum -= self.parts.pop_front().map_or(0.0, |(_, sum)| sum);
        }
    }
}

#[derive(Debug)]
pub struct CacheHost {
    set: CacheSettings,
    dice: SeededRng,
    workers: WorkerPool<Task>,
    store: LruCache<Bytes, Micros, FxBuildHasher>,
    misses: LruCache<Bytes, Bytes, FxBuildHasher>,
    /// Own fetches under way, by when they come in.
    fetching: FxHashMap<Bytes, Vec<(ReplySlot, Command)>>,
    fetches: VecDeque<(Micros, Bytes)>,
    connections: FxHashMap<ConnectionId, Micros>,
    group: Arc<Mutex<IdempotencyStore>>,
    ailments: ServerFaults,
    /// When it started, where it started cold.
    cold_since: Option<Micros>,
    cold_work: ColdWork,
    /// The most that it was sent within a window while cold, over what was allowed.
    worst_cold: f64,
    fallen: bool,
    draining: bool,
    answered: u64,
    report: Option<String>,
    reported_at: Micros,
    answered_at_report: u64,
    filler: Bytes,
}

impl CacheHost {
    pub fn new(
        set: CacheSettings,
        seed: u64,
        name: &str,
        group: Arc<Mutex<IdempotencyStore>>,
    ) -> Self {
        let size = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        CacheHost {
            dice: SeededRng::for_part(seed, name),
            workers: WorkerPool::new(set.cores, set.max_queue),
            store: LruCache::with_hasher(size(set.max_keys), FxBuildHasher),
            misses: LruCache::with_hasher(size(MISSES_REMEMBERED), FxBuildHasher),
            fetching: FxHashMap::default(),
            fetches: VecDeque::new(),
            connections: FxHashMap::default(),
            group,
            ailments: ServerFaults::default(),
            cold_since: None,
            cold_work: ColdWork::default(),
            worst_cold: 0.0,
            fallen: false,
            draining: false,
            answered: 0,
            report: None,
            reported_at: Micros::MIN / 2,
            answered_at_report: 0,
            filler: Bytes::from(vec![b'.'; set.value_bytes]),
            set,
        }
    }

    /// Starts anew with an empty store: all connections and all work are gone.
    pub fn start_cold(&mut self, now: Micros) {
        self.store.clear();
        self.misses.clear();
        self.stop();
        (self.cold_since, self.cold_work, self.fallen) = (Some(now), ColdWork::default(), false);
        self.draining = false;
    }

    /// Loses all connections and all work.
    pub fn stop(&mut self) {
        self.workers.clear();
        self.fetching.clear();
        self.fetches.clear();
        self.connections.clear();
    }

    pub fn set_faults(&mut self, ailments: ServerFaults) {
        self.ailments = ailments;
    }

    pub fn faults(&self) -> ServerFaults {
        self.ailments
    }

    /// From now on new work is turned away; what runs is finished.
    pub fn drain(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// A part of the kept values is void.
    pub fn invalidate_fraction(&mut self, part: f64) {
        let keys: Vec<Bytes> = self.store.iter().map(|(key, _)| key.clone()).collect();
        for key in keys {
            if self.dice.happens(part) {
                self.store.pop(&key);
            }
        }
    }

    /// Nothing was done for so long.
    pub fn stall(&mut self, by: Micros) {
        self.workers.stall(by);
    }

    /// Keeps a key from before the start.
    pub fn preload(&mut self, now: Micros, key: Bytes) {
        self.store.put(key, now);
    }

    /// The origin has answered this request: stored if it missed here.
    pub fn fill(&mut self, now: Micros, id: &Bytes) {
        if let Some(key) = self.misses.pop(id) {
            self.store.put(key, now);
        }
    }

    /// The origin has taken a write of this key.
    pub fn invalidate(&mut self, key: &Bytes) {
        self.store.pop(key);
    }

    /// The part of its capacity that it has.
    pub fn capacity_fraction(&self, now: Micros) -> f64 {
        match self.cold_since {
            Some(start) if self.is_cold(now) => {
                let part = (now - start) as f64 / from_ms(self.set.warm_up_ms).max(1) as f64;
                self.set.cold_capacity + (1.0 - self.set.cold_capacity) * part.clamp(0.0, 1.0)
            }
            _ => 1.0,
        }
    }

    fn is_cold(&self, now: Micros) -> bool {
        self.cold_since
            .is_some_and(|start| now - start < from_ms(self.set.warm_up_ms))
    }

    fn speed(&self, now: Micros) -> f64 {
        self.capacity_fraction(now) / self.ailments.slowdown.max(1e-3)
    }

    /// The most sent within a window of the fall-over rule while cold, over what the rule allows.
    pub fn max_cold_load_ratio(&self) -> f64 {
        self.worst_cold
    }

    pub fn outstanding(&self) -> usize {
        self.workers.running() + self.workers.waiting()
    }

    pub fn has_crashed(&self) -> bool {
        self.fallen
    }

    /// A new connection; false where it holds as many as it may, or is down.
    pub fn open(&mut self, now: Micros, connection: ConnectionId) -> bool {
        if self.fallen || self.connections.len() >= self.set.max_connections {
            return false;
        }
        self.connections.insert(connection, now);
        if self.set.connect_ms > 0.0 {
            // A greeting that finds no room costs nothing more.
            let _ = self.workers.offer(
                now,
                from_ms(self.set.connect_ms),
                self.speed(now),
                Task::Greeting,
            );
        }
        true
    }

    pub fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Connections that have stood idle for longer than the host keeps them.
    pub fn close_idle(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let limit = now - from_ms(self.set.idle_ms);
        let idle = self
            .connections
            .iter()
            .filter(|(_, used)| **used < limit)
            .map(|(id, _)| *id);
        let idle: Vec<ConnectionId> = idle.collect();
        for connection in idle {
            self.connections.remove(&connection);
            actions.push(Action::Close(connection));
        }
    }

    pub fn handle_command(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        command: Command,
        actions: &mut Vec<Action>,
    ) {
        if let Some(used) = self.connections.get_mut(&ticket.connection) {
            *used = now;
        }
        if self.fallen {
            return actions.push(Action::Close(ticket.connection));
        }
        if self.draining {
            return actions.push(Action::Reply(ticket, Reply::Busy));
        }
        let kept = !command.write && self.holds(now, &command.key);
        let (service, task) = match (command.write, kept) {
            (true, _) => (self.set.hit, Task::Write(ticket, command)),
            (false, true) => (self.set.hit, Task::Read(ticket, command)),
            (false, false) => (self.set.miss, Task::Lookup(ticket, command)),
        };
        let work = service.draw(&mut self.dice);
        // What is sent counts, whether or not it finds room.
        if self.count_cold(now, service.mean_ms * MS as f64) {
            self.fallen = true;
            self.stop();
            return actions.push(Action::Crashed);
        }
        let speed = self.speed(now);
        if work == 0 && self.workers.waiting() == 0 {
            return self.finish(now, task, actions);
        }
        if self.workers.offer(now, work, speed, task).is_err() {
            actions.push(Action::Reply(ticket, Reply::Busy));
        }
    }

    /// Adds work up while cold; true when it has had more than it can bear for the whole window.
    fn count_cold(&mut self, now: Micros, work: f64) -> bool {
        let Some(start) = self.cold_since.filter(|_| self.is_cold(now)) else {
            return false;
        };
        let span = from_ms(self.set.overload_window_ms).max(WINDOW_PART);
        self.cold_work.add(now, work, span);
        let can = self.capacity_fraction(now) * self.set.cores as f64 * span as f64;
        let ratio = self.cold_work.sum / (can * self.set.overload_multiple).max(1.0);
        self.worst_cold = self.worst_cold.max(ratio);
        ratio > 1.0 && now - start >= span.min(SECOND)
    }

    fn holds(&mut self, now: Micros, key: &Bytes) -> bool {
        if self.set.holds_all_keys {
            return true;
        }
        let ttl = from_ms(self.set.ttl_ms);
        match self.store.get(key) {
            Some(stored) if ttl > 0 && now - *stored > ttl => {
                self.store.pop(key);
                false
            }
            found => found.is_some(),
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        let fetched = self.fetches.front().map(|(at, _)| *at);
        self.workers.next_due().into_iter().chain(fetched).min()
    }

    /// Carries out what is due.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some((at, task)) = self.workers.take_finished(now, self.speed(now)) {
            self.finish(at, task, actions);
        }
        while self.fetches.front().is_some_and(|(at, _)| *at <= now) {
            let Some((at, key)) = self.fetches.pop_front() else {
                return;
            };
            self.store.put(key.clone(), at);
            for (i, (ticket, command)) in
                self.fetching.remove(&key).into_iter().flatten().enumerate()
            {
                let note = if i == 0 { "miss" } else { "pending" };
                self.answer(at, ticket, &command, note, actions);
            }
        }
    }

    fn finish(&mut self, now: Micros, task: Task, actions: &mut Vec<Action>) {
        match task {
            Task::Greeting => {}
            Task::Read(ticket, command) => self.answer(now, ticket, &command, "hit", actions),
            Task::Write(ticket, command) => {
                self.effect(now, &command, actions);
                self.store.put(command.key.clone(), now);
                self.answer(now, ticket, &command, "hit", actions);
            }
            Task::Lookup(ticket, command) => match self.set.fetch {
                None => {
                    if self.is_cold(now) {
                        actions.push(Action::ColdMiss {
                            id: command.id.clone(),
                        });
                    }
                    self.misses.put(command.id.clone(), command.key.clone());
                    let report = self.load_report(now);
                    self.reply(ticket, Reply::Miss { report }, actions);
                }
                Some(fetch) => {
                    let waiting = self.fetching.entry(command.key.clone()).or_default();
                    if waiting.is_empty() {
                        let due = now + fetch.draw(&mut self.dice);
                        let at = self.fetches.partition_point(|(other, _)| *other <= due);
                        self.fetches.insert(at, (due, command.key.clone()));
                    }
                    waiting.push((ticket, command));
                }
            },
        }
    }

    /// A keyed request takes effect once in its group; one without a key each time.
    fn effect(&mut self, now: Micros, command: &Command, actions: &mut Vec<Action>) {
        let repeat = command
            .info_value(b"k")
            .map(Bytes::copy_from_slice)
            .and_then(|key| {
                let keep = from_ms(self.set.idempotency_ttl_ms);
                let mut group = self.group.lock().unwrap_or_else(PoisonError::into_inner);
                group.first_receipt(now, keep, &key, &command.id)
            });
        if repeat.is_none() {
            actions.push(Action::Effect {
                id: command.id.clone(),
                key: command.key.clone(),
            });
        }
    }

    fn answer(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        command: &Command,
        note: &'static str,
        actions: &mut Vec<Action>,
    ) {
        self.answered += 1;
        let value = value_for(&command.id, &command.key, &self.filler);
        let report = self.load_report(now);
        if self.dice.happens(self.ailments.duplicate_chance) {
            return self.reply(ticket, Reply::Duplicated { value }, actions);
        }
        self.reply(
            ticket,
            Reply::Value {
                value,
                note,
                report,
            },
            actions,
        );
    }

    fn reply(&mut self, ticket: ReplySlot, reply: Reply, actions: &mut Vec<Action>) {
        let ServerFaults {
            drop_chance,
            corrupt_chance,
            reset_chance,
            ..
        } = self.ailments;
        if self.dice.happens(reset_chance) {
            return actions.push(Action::Close(ticket.connection));
        }
        let reply = if self.dice.happens(drop_chance) {
            Reply::Dropped
        } else if self.dice.happens(corrupt_chance) {
            self.noise()
        } else {
            reply
        };
        actions.push(Action::Reply(ticket, reply));
    }

    /// Something that cannot be read, or can and is no answer.
    fn noise(&mut self) -> Reply {
        let forms: [&'static [u8]; 5] = [
            b"*3\r\n$5\r\nabc\r\n",
            b"+WHAT\r\n",
            b"$-7\r\n",
            b"*3\r\n$3221225472\r\nx",
            b"\x00\xff\x13no line",
        ];
        Reply::Malformed(Bytes::from_static(
            forms[self.dice.below(forms.len() as u64) as usize],
        ))
    }

    fn load_report(&mut self, now: Micros) -> Option<String> {
        if self.set.report_fields.is_empty() {
            return None;
        }
        if now - self.reported_at >= from_ms(self.set.report_interval_ms) || self.report.is_none() {
            let span = (now - self.reported_at).clamp(1, 10 * SECOND) as f64 / SECOND as f64;
            let throughput = (self.answered - self.answered_at_report) as f64 / span;
            let busy = self.workers.utilization_since_last_call(now);
            (self.reported_at, self.answered_at_report) = (now, self.answered);
            let mut text = String::new();
            for field in &self.set.report_fields {
                let figure = match field.as_str() {
                    "outstanding" => self.outstanding() as f64,
                    "backlog" => self.workers.waiting() as f64,
                    "utilization" => busy,
                    _ => throughput,
                };
                let comma = if text.is_empty() { "" } else { "," };
                // Writing to a String cannot fail.
                let _ = write!(text, "{comma}{field}={figure:.3}");
            }
            self.report = Some(text);
        }
        self.report.clone()
    }
}

/// A value that says for which request and key it was made, so that whoever gets it can tell.
pub fn value_for(id: &[u8], key: &[u8], filler: &[u8]) -> Bytes {
    let mut value = Vec::with_capacity(id.len() + key.len() + filler.len() + 2);
    for part in [id, b" ", key, b" ", filler] {
        value.extend_from_slice(part);
    }
    Bytes::from(value)
}

/// Whether a value was made for this request.
pub fn is_value_for(value: &[u8], id: &[u8]) -> bool {
    value
        .strip_prefix(id)
        .is_some_and(|rest| rest.first() == Some(&b' '))
}
