//! Clients by themselves: what is asked when, how long each try waits, and whether there is another.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use serde::{Deserialize, Serialize};

use crate::arrivals::{Arrival, Arrivals};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros};

/// What repeating a request of a class may do.
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    pub name: String,
    /// An answer after this is worth nothing, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// A client waits no longer, in milliseconds.
    pub deadline_ms: f64,
    #[serde(default)]
    #[serde(rename = "repeats")]
    pub idempotency: Idempotency,
    #[serde(default)]
    pub write: bool,
    #[serde(default = "full")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Bytes of a write's value.
    #[serde(default = "some_bytes")]
    pub value_bytes: usize,
}

fn full() -> f64 {
    1.0
}

fn some_bytes() -> usize {
    64
}

/// How clients try again by themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Further tries after a refusal or a failure.
    #[serde(rename = "most")]
    pub max_retries: u32,
    /// Wait before one, in milliseconds, drawn between half and one and a half of it.
    #[serde(rename = "wait_ms")]
    pub backoff_ms: f64,
    /// Keeps to the advice of a refusal, where there is any.
    #[serde(rename = "advice")]
    pub honor_retry_after: bool,
    /// Marks retries as such (`r=1`).
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

/// One try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// When it was to be sent. Danger: timed from when a busy tool got round to it, a stall would vanish.
    pub due: Micros,
    /// When the first try was to be sent.
    pub first_due: Micros,
    /// New for each try.
    pub id: u64,
    pub key: u64,
    pub class: u8,
    pub tenant: u16,
    /// 0 for the first try.
    pub retry: u32,
    /// Until when the client waits.
    pub deadline: Micros,
}

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// Turned away, with advice in milliseconds where there was any.
    Rejected {
        retry_after_ms: Option<u64>,
    },
    Failed,
    /// The connection ended without an answer.
    ConnectionLost,
    /// No answer while the client waited.
    TimedOut,
}

/// All clients of one source: its arrivals and their retries, in the order in which they are due.
pub struct Clients {
    arrivals: Arrivals,
    next: Option<Arrival>,
    end: Micros,
    retries: BinaryHeap<Reverse<(Micros, Attempt)>>,
    classes: Vec<(Micros, Micros)>,
    retry: RetrySettings,
    dice: SeededRng,
    next_id: u64,
}

impl Clients {
    /// `source` keeps the ids of several sources apart; nothing is due after `end`.
    pub fn new(
        mut arrivals: Arrivals,
        classes: &[ClassSettings],
        retry: RetrySettings,
        seed: u64,
        source: usize,
        end: Micros,
    ) -> Self {
        let next = arrivals.next_before(end);
        Clients {
            arrivals,
            next,
            end,
            retries: BinaryHeap::new(),
            classes: classes
                .iter()
                .map(|class| {
                    (
                        from_ms(class.latency_objective_ms),
                        from_ms(class.deadline_ms),
                    )
                })
                .collect(),
            retry,
            dice: SeededRng::for_part(seed, &format!("clients-{source}")),
            next_id: (source as u64 + 1) << 40,
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        let retry = self.retries.peek().map(|Reverse((due, _))| *due);
        self.next
            .map(|arrival| arrival.at)
            .into_iter()
            .chain(retry)
            .min()
    }

    /// The next try that is due by now.
    pub fn take_due(&mut self, now: Micros) -> Option<Attempt> {
        let due = self.next_due().filter(|due| *due <= now)?;
        if self
            .retries
            .peek()
            .is_some_and(|Reverse((at, _))| *at == due)
        {
            return self.retries.pop().map(|Reverse((_, ask))| ask);
        }
        let Arrival {
            at,
            key,
            class,
            tenant,
        } = self.next.take()?;
        self.next = self.arrivals.next_before(self.end);
        let (_, deadline) = self
            .classes
            .get(usize::from(class))
            .copied()
            .unwrap_or((0, 0));
        let id = self.new_id();
        Some(Attempt {
            due: at,
            first_due: at,
            id,
            key,
            class,
            tenant,
            retry: 0,
            deadline: at + deadline,
        })
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Books the end of a try; true if the client comes again with another.
    pub fn record_outcome(&mut self, now: Micros, ask: &Attempt, end: Outcome) -> bool {
        if end == Outcome::Served || ask.retry >= self.retry.max_retries {
            return false;
        }
        let usual = from_ms(self.retry.backoff_ms * (0.5 + self.dice.unit()));
        let wait = match end {
            Outcome::Rejected {
                retry_after_ms: Some(ms),
            } if self.retry.honor_retry_after => from_ms(ms as f64),
            _ => usual,
        };
        let due = now + wait;
        if due >= self.end {
            return false;
        }
        let (_, deadline) = self
            .classes
            .get(usize::from(ask.class))
            .copied()
            .unwrap_or((0, 0));
        let again = Attempt {
            due,
            id: self.new_id(),
            retry: ask.retry + 1,
            deadline: due + deadline,
            ..*ask
        };
        self.retries.push(Reverse((due, again)));
        true
    }

    /// The aim of a class: counted from its first try.
    pub fn latency_objective(&self, class: u8) -> Micros {
        self.classes
            .get(usize::from(class))
            .map_or(0, |(aim, _)| *aim)
    }
}
