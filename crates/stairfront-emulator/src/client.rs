//! Clients: when each request is sent, how long an attempt waits for its answer, and whether it is retried.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use serde::{Deserialize, Serialize};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros};

use crate::arrivals::{Arrival, Arrivals};

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Idempotency {
    /// A repeat does no harm.
    #[default]
    #[serde(rename = "safe")]
    Idempotent,
    /// A repeat under the same idempotency key is dropped for a time.
    Keyed,
    /// Each execution takes effect.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Time from the first attempt after which an answer is of no use, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Longest time that a client waits for an attempt's answer, in milliseconds.
    pub deadline_ms: f64,
    /// Whether its requests may be repeated.
    #[serde(default, rename = "repeats")]
    pub idempotency: Idempotency,
    /// Whether its requests are writes.
    #[serde(default)]
    pub write: bool,
    /// Its priority when load is shed, between 0 and 1.
    #[serde(default = "default_priority_weight", rename = "worth")]
    pub priority_weight: f64,
    /// Size of a write's value, in bytes.
    #[serde(default = "default_value_bytes")]
    pub value_bytes: usize,
}

fn default_priority_weight() -> f64 {
    1.0
}

fn default_value_bytes() -> usize {
    64
}

/// How clients retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Most retries after a rejection or a failure.
    #[serde(rename = "most")]
    pub max_retries: u32,
    /// Mean wait before a retry, in milliseconds; each is drawn between half and one and a half of it.
    #[serde(rename = "wait_ms")]
    pub backoff_ms: f64,
    /// Whether the Retry-After of a rejection replaces the backoff.
    #[serde(rename = "advice")]
    pub honor_retry_after: bool,
    /// Whether retries are marked as such (`r=1`).
    #[serde(rename = "marked")]
    pub mark_retries: bool,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            max_retries: 0,
            backoff_ms: 200.0,
            honor_retry_after: true,
            mark_retries: true,
        }
    }
}

/// One attempt of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// When it is to be sent. Latency counts from here and not from when a busy driver sends it: otherwise a stall of
    /// the driver would not show in the latencies.
    pub due: Micros,
    /// When the first attempt of its request was to be sent.
    pub first_due: Micros,
    /// Its id, which no other attempt has.
    pub id: u64,
    /// Number of its key.
    pub key: u64,
    /// Position of its class.
    pub class: u8,
    /// Position of its tenant.
    pub tenant: u16,
    /// Number of attempts of its request before it.
    pub retry: u32,
    /// Until when the client waits.
    pub deadline: Micros,
}

/// How an attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a value.
    Served,
    /// Rejected.
    Rejected {
        /// The Retry-After of the rejection, in milliseconds, where it had one.
        retry_after_ms: Option<u64>,
    },
    /// With an error.
    Failed,
    /// The connection ended without an answer.
    ConnectionLost,
    /// No answer until the deadline.
    TimedOut,
}

/// The times of a class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTimes {
    latency_objective: Micros,
    deadline: Micros,
}

/// All clients of one source: its arrivals and their retries, in the order in which they are due.
pub struct Clients {
    arrivals: Arrivals,
    next_arrival: Option<Arrival>,
    end: Micros,
    retries: BinaryHeap<Reverse<Attempt>>,
    classes: Vec<ClassTimes>,
    settings: RetrySettings,
    random: SeededRng,
    last_id: u64,
}

/// Settings of the clients of one source, beside their arrivals.
#[derive(Clone, Debug)]
pub struct ClientSettings<'a> {
    /// The classes of requests, in the order that the arrivals count them.
    pub classes: &'a [ClassSettings],
    /// How they retry.
    pub retry: RetrySettings,
    /// The seed of the run.
    pub seed: u64,
    /// Position of the source, which keeps the ids of several sources apart.
    pub source: usize,
    /// Nothing is due at this time or later.
    pub end: Micros,
}

impl Clients {
    /// The clients of one source.
    pub fn new(mut arrivals: Arrivals, settings: ClientSettings) -> Self {
        let classes = settings
            .classes
            .iter()
            .map(|class| ClassTimes {
                latency_objective: from_ms(class.latency_objective_ms),
                deadline: from_ms(class.deadline_ms),
            })
            .collect();
        let part = format!("clients-{}", settings.source);
        Clients {
            next_arrival: arrivals.next_before(settings.end),
            arrivals,
            end: settings.end,
            retries: BinaryHeap::new(),
            classes,
            settings: settings.retry,
            random: SeededRng::for_part(settings.seed, &part),
            last_id: (settings.source as u64 + 1) << 40,
        }
    }

    /// When the next attempt is due.
    pub fn next_due(&self) -> Option<Micros> {
        let arrival = self.next_arrival.map(|arrival| arrival.at);
        let retry = self.retries.peek().map(|Reverse(attempt)| attempt.due);
        arrival.into_iter().chain(retry).min()
    }

    /// The next attempt that is due by now.
    pub fn take_due(&mut self, now: Micros) -> Option<Attempt> {
        let due = self.next_due().filter(|due| *due <= now)?;
        if let Some(Reverse(retry)) = self.retries.peek().copied() {
            if retry.due == due {
                self.retries.pop();
                return Some(retry);
            }
        }
        let arrival = self.next_arrival.take()?;
        self.next_arrival = self.arrivals.next_before(self.end);
        Some(Attempt {
            due: arrival.at,
            first_due: arrival.at,
            id: self.next_id(),
            key: arrival.key,
            class: arrival.class,
            tenant: arrival.tenant,
            retry: 0,
            deadline: arrival.at + self.class(arrival.class).deadline,
        })
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Notes how an attempt ended, and whether the client retries.
    pub fn record_outcome(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome) -> bool {
        if outcome == Outcome::Served || attempt.retry >= self.settings.max_retries {
            return false;
        }
        // Drawn even where a Retry-After replaces it, so that the draws that follow do not depend on the answers' form.
        let backoff = from_ms(self.settings.backoff_ms * (0.5 + self.random.unit()));
        let wait = match outcome {
            Outcome::Rejected {
                retry_after_ms: Some(ms),
            } if self.settings.honor_retry_after => from_ms(ms as f64),
            _ => backoff,
        };
        let due = now + wait;
        if due >= self.end {
            return false;
        }
        let retry = Attempt {
            due,
            id: self.next_id(),
            retry: attempt.retry + 1,
            deadline: due + self.class(attempt.class).deadline,
            ..*attempt
        };
        self.retries.push(Reverse(retry));
        true
    }

    /// The latency objective of a class, counted from the first attempt.
    pub fn latency_objective(&self, class: u8) -> Micros {
        self.class(class).latency_objective
    }

    fn class(&self, class: u8) -> ClassTimes {
        self.classes
            .get(usize::from(class))
            .copied()
            .unwrap_or_default()
    }
}
