//! The origin: what it has is slow to get, it can take far less than all requests, and it stops when pushed over.
use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::cache_host::{value_for, ReplySlot};
use crate::distributions::ServiceTime;
use crate::settings_error::{validate_times, SettingsError};
use crate::worker_pool::WorkerPool;
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros, MS};

/// Grain of the window in which the work sent is added up.
const WINDOW_PART: Micros = 50 * MS;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginSettings {
    pub cores: usize,
    pub read: ServiceTime,
    pub write: ServiceTime,
    /// Most requests that wait for a core; more are turned away with 503 and `Not-Started`.
    #[serde(rename = "queue")]
    pub max_queue: usize,
    /// Chance that a request fails with 500 after its work.
    #[serde(rename = "errors")]
    pub error_rate: f64,
    /// Sent so many times its capacity for so long, it stops for a while; 0 for never. Milliseconds.
    pub stop_multiple: f64,
    pub stop_window_ms: f64,
    pub stopped_ms: f64,
    pub value_bytes: usize,
}

impl Default for OriginSettings {
    fn default() -> Self {
        OriginSettings {
            cores: 8,
            read: ServiceTime {
                mean_ms: 40.0,
                distribution: crate::distributions::Distribution::Lognormal,
                spread: 0.4,
            },
            write: ServiceTime {
                mean_ms: 40.0,
                distribution: crate::distributions::Distribution::Lognormal,
                spread: 0.4,
            },
            max_queue: 100,
            error_rate: 0.0,
            stop_multiple: 2.5,
            stop_window_ms: 3_000.0,
            stopped_ms: 4_000.0,
            value_bytes: 64,
        }
    }
}

impl OriginSettings {
    /// Checks that each value is in its range.
    ///
    /// # Errors
    ///
    /// Names the first key that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        for (key, service) in [("read", self.read), ("write", self.write)] {
            service
                .validate()
                .map_err(|error| SettingsError::new(key, error.to_string()))?;
        }
        if !(0.0..=1.0).contains(&self.error_rate) {
            return Err(SettingsError::new("errors", "must be between 0 and 1"));
        }
        // Both times are reported under the first one's key.
        validate_times(&[
            ("stop_window_ms", self.stop_window_ms),
            ("stop_window_ms", self.stopped_ms),
        ])?;
        if self.cores == 0 || self.cores > 1024 {
            return Err(SettingsError::new("cores", "must be 1 to 1024"));
        }
        Ok(())
    }

    /// Reads a second that all its cores can do.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * 1_000.0 / self.read.mean_ms.max(1e-3)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// 200 with this body.
    Value(ReplySlot, Bytes),
    /// 500: it may have run.
    Failed(ReplySlot),
    /// 503 with `Not-Started`.
    NotStarted(ReplySlot),
    /// The value goes to the caches that missed for this request.
    Filled { id: Bytes },
    /// A write has taken effect; the copies of its key are void.
    Written { id: Bytes, key: Bytes },
    /// It was pushed over.
    Stopped,
}

#[derive(Debug)]
pub struct Origin {
    set: OriginSettings,
    dice: SeededRng,
    workers: WorkerPool<(ReplySlot, Request)>,
    slow: f64,
    sent: VecDeque<(Micros, f64)>,
    sum: f64,
    stopped_until: Micros,
    /// The most that it was sent within a window, over its capacity.
    worst: f64,
    filler: Bytes,
}

impl Origin {
    pub fn new(set: OriginSettings, seed: u64) -> Self {
        Origin {
            dice: SeededRng::for_part(seed, "origin"),
            workers: WorkerPool::new(set.cores, set.max_queue),
            slow: 1.0,
            sent: VecDeque::new(),
            sum: 0.0,
            stopped_until: Micros::MIN,
            worst: 0.0,
            filler: Bytes::from(vec![b'.'; set.value_bytes]),
            set,
        }
    }

    pub fn set_slowdown(&mut self, factor: f64) {
        self.slow = factor.max(1e-3);
    }

    /// The most that it was sent within its window, over its capacity.
    pub fn max_load_ratio(&self) -> f64 {
        self.worst
    }

    pub fn outstanding(&self) -> usize {
        self.workers.running() + self.workers.waiting()
    }

    pub fn handle_request(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let service = if request.write {
            self.set.write
        } else {
            self.set.read
        };
        if self.count(now, service.mean_ms * MS as f64) && now >= self.stopped_until {
            self.stopped_until = now + from_ms(self.set.stopped_ms);
            actions.push(Action::Stopped);
            // What was under way may have run.
            actions.extend(
                self.workers
                    .clear()
                    .into_iter()
                    .map(|(ticket, _)| Action::Failed(ticket)),
            );
            (self.sum, self.sent) = (0.0, VecDeque::new());
        }
        if now < self.stopped_until {
            return actions.push(Action::NotStarted(ticket));
        }
        let work = service.draw(&mut self.dice);
        if let Err((ticket, _)) = self
            .workers
            .offer(now, work, 1.0 / self.slow, (ticket, request))
        {
            actions.push(Action::NotStarted(ticket));
        }
    }

    /// Adds up what is sent; true when it is more than it can bear for a whole window.
    fn count(&mut self, now: Micros, work: f64) -> bool {
        if self.set.stop_multiple <= 0.0 {
            return false;
        }
        let span = from_ms(self.set.stop_window_ms).max(WINDOW_PART);
        let part = now - now.rem_euclid(WINDOW_PART);
        match self.sent.back_mut() {
            Some((at, sum)) if *at == part => *sum += work,
            _ => self.sent.push_back((part, work)),
        }
        self.sum += work;
        while self.sent.front().is_some_and(|(at, _)| *at <= now - span) {
            self.sum -= self.sent.pop_front().map_or(0.0, |(_, sum)| sum);
        }
        let ratio = self.sum / (self.set.cores as f64 * span as f64);
        self.worst = self.worst.max(ratio);
        ratio > self.set.stop_multiple
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.workers.next_due()
    }

    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some((_, (ticket, request))) = self.workers.take_finished(now, 1.0 / self.slow) {
            if self.dice.happens(self.set.error_rate) {
                actions.push(Action::Failed(ticket));
                continue;
            }
            let value = value_for(&request.id, &request.key, &self.filler);
            actions.push(match request.write {
                true => Action::Written {
                    id: request.id,
                    key: request.key,
                },
                false => Action::Filled { id: request.id },
            });
            actions.push(Action::Value(ticket, value));
        }
    }
}
