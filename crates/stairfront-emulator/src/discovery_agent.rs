//! Discovery's agent on one balancer's machine: the endpoint list in versions, watches that wait for changes, and its
//! faults: lag, silence and a list that does not change any more.
use std::collections::{BTreeMap, VecDeque};

use serde_json::{json, Value};
use stairfront_common::time::{from_ms, Micros, MS};

use crate::cache_host::ReplySlot;

/// Changes kept for watches; a client that is further behind gets the whole list.
const MAX_CHANGES: usize = 1024;
/// Longest time that a watch may ask to be held.
const MAX_HOLD: Micros = 60_000 * MS;

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes requests.
    Serving,
    /// Is about to leave and takes no new requests.
    Draining,
    /// Is not in the list any more.
    Removed,
}

impl EndpointStatus {
    fn as_str(self) -> &'static str {
        match self {
            EndpointStatus::Serving => "SERVING",
            EndpointStatus::Draining => "DRAINING",
            EndpointStatus::Removed => "DELETED",
        }
    }
}

/// An endpoint as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its name.
    pub name: String,
    /// Where it listens, as host and port.
    pub address: String,
    /// The zone that it is in.
    pub zone: String,
    /// The kind of server, such as `cache`.
    pub kind: String,
    /// Its group of servers that share idempotency keys.
    pub group: u16,
    /// Its state.
    pub status: EndpointStatus,
    /// Since when it has been in this state, as Unix time in milliseconds; 0 for a time long ago.
    pub since_ms: u64,
}

impl EndpointRecord {
    /// The record in the form of the list's JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": self.status.as_str(),
            "weight": 1.0,
            "since_ms": self.since_ms,
        })
    }
}

/// An action of the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers 200 with this list.
    Answer(ReplySlot, String),
    /// Answers 404, because it has no such path.
    NotFound(ReplySlot),
    /// Has told the balancer this about an endpoint.
    Notified {
        /// The endpoint's name.
        name: String,
        /// Its state.
        status: EndpointStatus,
    },
}

/// A request that is held until there is a change.
struct HeldRequest {
    slot: ReplySlot,
    /// The version that the client has.
    from: u64,
    until: Micros,
}

/// A change that the agent learns of after its lag.
struct PendingChange {
    due: Micros,
    record: EndpointRecord,
}

struct Change {
    version: u64,
    record: EndpointRecord,
}

/// The agent: the list as it knows it, and who waits for a change.
#[derive(Default)]
pub struct DiscoveryAgent {
    records: BTreeMap<String, EndpointRecord>,
    version: u64,
    changes: VecDeque<Change>,
    pending: VecDeque<PendingChange>,
    lag: Micros,
    silent: bool,
    frozen: bool,
    watches: Vec<HeldRequest>,
    /// Requests that came while it was silent, by their targets.
    unanswered: Vec<(ReplySlot, String)>,
}

impl DiscoveryAgent {
    /// An agent with this list, which learns of changes after `lag`.
    pub fn new(records: Vec<EndpointRecord>, lag: Micros) -> Self {
        let records = records
            .into_iter()
            .map(|record| (record.name.clone(), record))
            .collect();
        DiscoveryAgent {
            records,
            version: 1,
            lag,
            ..DiscoveryAgent::default()
        }
    }

    /// An endpoint changes now; the agent learns of it after its lag.
    pub fn change(&mut self, now: Micros, record: EndpointRecord) {
        self.pending.push_back(PendingChange {
            due: now + self.lag,
            record,
        });
    }

    /// Begins or ends a silence, in which it answers nothing; requests that come meanwhile are answered at its end.
    pub fn set_silent(&mut self, now: Micros, silent: bool, actions: &mut Vec<Action>) {
        self.silent = silent;
        if !silent {
            for (slot, target) in std::mem::take(&mut self.unanswered) {
                self.handle_request(now, slot, &target, actions);
            }
            self.advance(now, actions);
        }
    }

    /// Freezes or unfreezes the list: while frozen, the agent answers with what it had and changes wait.
    pub fn set_frozen(&mut self, now: Micros, frozen: bool, actions: &mut Vec<Action>) {
        self.frozen = frozen;
        self.advance(now, actions);
    }

    /// The list as of now, in the form of a snapshot.
    pub fn snapshot(&self) -> Value {
        let endpoints: Vec<Value> = self
            .records
            .values()
            .filter(|record| record.status != EndpointStatus::Removed)
            .map(EndpointRecord::to_json)
            .collect();
        json!({"index": self.version, "snapshot": true, "endpoints": endpoints})
    }

    /// When `advance` has something to do.
    pub fn next_due(&self) -> Option<Micros> {
        if self.silent {
            return None;
        }
        let change = self
            .pending
            .iter()
            .map(|change| change.due)
            .min()
            .filter(|_| !self.frozen);
        let hold = self.watches.iter().map(|watch| watch.until).min();
        change.into_iter().chain(hold).min()
    }

    /// Takes a request, by its target. It is answered now, or when there is a change or its hold has passed.
    pub fn handle_request(
        &mut self,
        now: Micros,
        slot: ReplySlot,
        target: &str,
        actions: &mut Vec<Action>,
    ) {
        if self.silent {
            self.unanswered.push((slot, target.to_string()));
            return;
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path != "/api/targets" {
            actions.push(Action::NotFound(slot));
            return;
        }
        let Some(from) = query_number(query, "from") else {
            self.answer_all(slot, actions);
            return;
        };
        let hold_ms = query_number(query, "hold_ms").unwrap_or(0);
        let hold = from_ms(hold_ms as f64).min(MAX_HOLD);
        self.watches.push(HeldRequest {
            slot,
            from,
            until: now + hold,
        });
        self.advance(now, actions);
    }

    /// Drops what waits on the connection of this slot, which has ended.
    pub fn remove_connection(&mut self, slot: ReplySlot) {
        self.watches
            .retain(|watch| watch.slot.connection != slot.connection);
        self.unanswered
            .retain(|(other, _)| other.connection != slot.connection);
    }

    /// Learns of changes that are due, and answers the watches that wait for them or whose hold has passed.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.frozen {
            let (due, pending): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|change| change.due <= now);
            self.pending = pending;
            due.into_iter().for_each(|change| self.apply(change.record));
        }
        if self.silent {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            if watch.from < self.version || watch.until <= now {
                self.answer_since(&watch, actions);
            } else {
                self.watches.push(watch);
            }
        }
    }

    fn apply(&mut self, record: EndpointRecord) {
        self.version += 1;
        self.changes.push_back(Change {
            version: self.version,
            record: record.clone(),
        });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.records.insert(record.name.clone(), record);
    }

    fn answer_all(&self, slot: ReplySlot, actions: &mut Vec<Action>) {
        actions.push(Action::Answer(slot, self.snapshot().to_string()));
        actions.extend(self.records.values().map(notification));
    }

    fn answer_since(&self, watch: &HeldRequest, actions: &mut Vec<Action>) {
        let oldest = self
            .changes
            .front()
            .map_or(self.version + 1, |change| change.version);
        let too_old = watch.from + 1 < oldest && watch.from != self.version;
        // A version ahead of this one is from before a restart of the agent.
        if too_old || watch.from > self.version {
            self.answer_all(watch.slot, actions);
            return;
        }
        let mut latest: BTreeMap<&str, &EndpointRecord> = BTreeMap::new();
        for change in &self.changes {
            if change.version > watch.from {
                latest.insert(&change.record.name, &change.record);
            }
        }
        let endpoints: Vec<Value> = latest.values().map(|record| record.to_json()).collect();
        let list = json!({"index": self.version, "snapshot": false, "endpoints": endpoints});
        actions.push(Action::Answer(watch.slot, list.to_string()));
        actions.extend(latest.values().copied().map(notification));
    }
}

fn notification(record: &EndpointRecord) -> Action {
    Action::Notified {
        name: record.name.clone(),
        status: record.status,
    }
}

/// The first value of this name in a query that is a number.
fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .filter(|(known, _)| *known == name)
        .find_map(|(_, value)| value.parse().ok())
}
