//! Discovery's agent on one balancer's machine: the list of servers in versions, watches that wait for news, and what
//! goes wrong with it: lag, silence, lists that stand still.
use std::collections::{BTreeMap, VecDeque};

use serde_json::{json, Value};

use crate::cache_host::ReplySlot;
use stairfront_common::time::{from_ms, Micros, MS};

/// Changes kept for watches; who is further behind gets the whole list.
const CHANGES_KEPT: usize = 1024;
/// The longest hold that a watch may ask for.
const LONGEST_HOLD: Micros = 60_000 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    Serving,
    Draining,
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

/// One server as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub group: u16,
    pub status: EndpointStatus,
    /// Unix time in milliseconds; 0 for long ago.
    pub since_ms: u64,
}

impl EndpointRecord {
    pub fn to_json(&self) -> Value {
        json!({"name": self.name, "address": self.address, "zone": self.zone, "type": self.kind, "group": self.group,
               "status": self.status.as_str(), "weight": 1.0, "since_ms": self.since_ms})
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// 200 with this list.
    Answer(ReplySlot, String),
    /// 404: not a call that there is.
    NotFound(ReplySlot),
    /// The balancer has been told this of a server.
    Notified {
        name: String,
        status: EndpointStatus,
    },
}

struct Watch {
    ticket: ReplySlot,
    from: u64,
    until: Micros,
}

#[derive(Default)]
pub struct DiscoveryAgent {
    lines: BTreeMap<String, EndpointRecord>,
    index: u64,
    changes: VecDeque<(u64, EndpointRecord)>,
    /// Changes under way to the agent, and when each arrives.
    coming: VecDeque<(Micros, EndpointRecord)>,
    lag: Micros,
    silent: bool,
    still: bool,
    watches: Vec<Watch>,
    /// Calls that came while it was silent.
    unheard: Vec<(ReplySlot, String)>,
}

impl DiscoveryAgent {
    /// `lag`: how long a change is under way, in microseconds.
    pub fn new(lines: Vec<EndpointRecord>, lag: Micros) -> Self {
        let lines = lines
            .into_iter()
            .map(|line| (line.name.clone(), line))
            .collect();
        DiscoveryAgent {
            lines,
            index: 1,
            lag,
            ..DiscoveryAgent::default()
        }
    }

    /// A server is so from now on; the agent hears of it after the lag.
    pub fn change(&mut self, now: Micros, line: EndpointRecord) {
        self.coming.push_back((now + self.lag, line));
    }

    /// While silent it answers nothing, but takes calls.
    pub fn set_silent(&mut self, now: Micros, silent: bool, actions: &mut Vec<Action>) {
        self.silent = silent;
        if !silent {
            for (ticket, target) in std::mem::take(&mut self.unheard) {
                self.handle_request(now, ticket, &target, actions);
            }
            self.advance(now, actions);
        }
    }

    /// While its list stands still it answers with what it had, and changes wait.
    pub fn set_frozen(&mut self, now: Micros, still: bool, actions: &mut Vec<Action>) {
        self.still = still;
        self.advance(now, actions);
    }

    /// The list as of now, in the form of a snapshot.
    pub fn snapshot(&self) -> Value {
        let lines = self
            .lines
            .values()
            .filter(|line| line.status != EndpointStatus::Removed)
            .map(EndpointRecord::to_json);
        json!({"index": self.index, "snapshot": true, "endpoints": lines.collect::<Vec<_>>()})
    }

    pub fn next_due(&self) -> Option<Micros> {
        if self.silent {
            return None;
        }
        let coming = self
            .coming
            .iter()
            .map(|(at, _)| *at)
            .min()
            .filter(|_| !self.still);
        let held = self.watches.iter().map(|watch| watch.until).min();
        coming.into_iter().chain(held).min()
    }

    /// A call, by its target; answered now, or when there is news or its hold is over.
    pub fn handle_request(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        target: &str,
        actions: &mut Vec<Action>,
    ) {
        if self.silent {
            self.unheard.push((ticket, target.to_string()));
            return;
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path != "/api/targets" {
            return actions.push(Action::NotFound(ticket));
        }
        let named = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(known, _)| *known == name)
                .find_map(|(_, value)| value.parse::<u64>().ok())
        };
        let Some(from) = named("from") else {
            return self.answer_all(ticket, actions);
        };
        let hold = from_ms(named("hold_ms").unwrap_or(0) as f64).min(LONGEST_HOLD);
        self.watches.push(Watch {
            ticket,
            from,
            until: now + hold,
        });
        self.advance(now, actions);
    }

    /// Its connection has ended.
    pub fn forget_connection(&mut self, ticket: ReplySlot) {
        self.watches
            .retain(|watch| watch.ticket.connection != ticket.connection);
        self.unheard
            .retain(|(other, _)| other.connection != ticket.connection);
    }

    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.still {
            let all = std::mem::take(&mut self.coming);
            let (due, coming): (VecDeque<_>, VecDeque<_>) =
                all.into_iter().partition(|(at, _)| *at <= now);
            self.coming = coming;
            due.into_iter().for_each(|(_, line)| self.take_in(line));
        }
        if self.silent {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            if watch.from < self.index || watch.until <= now {
                self.answer_since(watch, actions);
            } else {
                self.watches.push(watch);
            }
        }
    }

    fn take_in(&mut self, line: EndpointRecord) {
        self.index += 1;
        self.changes.push_back((self.index, line.clone()));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        self.lines.insert(line.name.clone(), line);
    }

    fn answer_all(&self, ticket: ReplySlot, actions: &mut Vec<Action>) {
        actions.push(Action::Answer(ticket, self.snapshot().to_string()));
        let told = |line: &EndpointRecord| Action::Notified {
            name: line.name.clone(),
            status: line.status,
        };
        actions.extend(self.lines.values().map(told));
    }

    fn answer_since(&self, watch: Watch, actions: &mut Vec<Action>) {
        let first = self
            .changes
            .front()
            .map_or(self.index + 1, |(index, _)| *index);
        // Behind what is kept, or ahead of it: an agent that has started anew.
        if watch.from + 1 < first && watch.from != self.index || watch.from > self.index {
            return self.answer_all(watch.ticket, actions);
        }
        let mut news: BTreeMap<&str, &EndpointRecord> = BTreeMap::new();
        for (_, line) in self.changes.iter().filter(|(index, _)| *index > watch.from) {
            news.insert(&line.name, line);
        }
        let endpoints: Vec<Value> = news.values().map(|line| line.to_json()).collect();
        let list = json!({"index": self.index, "snapshot": false, "endpoints": endpoints});
        actions.push(Action::Answer(watch.ticket, list.to_string()));
        let told = |line: &&EndpointRecord| Action::Notified {
            name: line.name.clone(),
            status: line.status,
        };
        actions.extend(news.values().map(told));
    }
}
