//! The origin: a slow server that can take far fewer requests than the caches, and that stops when it is overloaded.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros, MS};

use crate::cache_host::{value_for, ReplySlot};
use crate::distributions::{Distribution, ServiceTime};
use crate::settings_error::{validate_times, SettingsError};
use crate::work_window::{WorkWindow, BUCKET_WIDTH};
use crate::worker_pool::WorkerPool;

/// Settings of an origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginSettings {
    /// Number of cores.
    pub cores: usize,
    /// Work of a read.
    pub read: ServiceTime,
    /// Work of a write.
    pub write: ServiceTime,
    /// Most requests that wait for a core; more are rejected with 503 and `Not-Started`.
    #[serde(rename = "queue")]
    pub max_queue: usize,
    /// Probability that a request fails with 500 after its work.
    #[serde(rename = "errors")]
    pub error_rate: f64,
    /// Multiple of its capacity at which it stops, when that much is sent for `stop_window_ms`; 0 for never.
    pub stop_multiple: f64,
    /// The window in which what is sent is added up, in milliseconds.
    pub stop_window_ms: f64,
    /// How long it is stopped, in milliseconds.
    pub stopped_ms: f64,
    /// Size of a value beside its request's id and key, in bytes.
    pub value_bytes: usize,
}

impl Default for OriginSettings {
    fn default() -> Self {
        let service = ServiceTime {
            mean_ms: 40.0,
            distribution: Distribution::Lognormal,
            spread: 0.4,
        };
        OriginSettings {
            cores: 8,
            read: service,
            write: service,
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

    /// Reads per second that all its cores can do.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * 1_000.0 / self.read.mean_ms.max(1e-3)
    }
}

/// A request to the origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether it is a write.
    pub write: bool,
    /// Its key.
    pub key: Bytes,
    /// Its id.
    pub id: Bytes,
}

/// An action of the origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answers 200 with this body.
    Value(ReplySlot, Bytes),
    /// Answers 500; the request may have been executed.
    Failed(ReplySlot),
    /// Answers 503 with `Not-Started`.
    NotStarted(ReplySlot),
    /// A value goes to the caches that missed for this request.
    Filled {
        /// The request's id.
        id: Bytes,
    },
    /// A write has taken effect, so that cached values of its key are not valid any more.
    Written {
        /// The request's id.
        id: Bytes,
        /// The key that was written.
        key: Bytes,
    },
    /// It stops because it is overloaded.
    Stopped,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    settings: OriginSettings,
    random: SeededRng,
    workers: WorkerPool<(ReplySlot, Request)>,
    slowdown: f64,
    received: WorkWindow,
    stopped_until: Micros,
    max_load_ratio: f64,
    filler: Bytes,
}

impl Origin {
    /// An idle origin.
    pub fn new(settings: OriginSettings, seed: u64) -> Self {
        Origin {
            random: SeededRng::for_part(seed, "origin"),
            workers: WorkerPool::new(settings.cores, settings.max_queue),
            slowdown: 1.0,
            received: WorkWindow::default(),
            stopped_until: Micros::MIN,
            max_load_ratio: 0.0,
            filler: Bytes::from(vec![b'.'; settings.value_bytes]),
            settings,
        }
    }

    /// Multiplies the time of work that starts from now on by this factor.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(1e-3);
    }

    fn speed(&self) -> f64 {
        1.0 / self.slowdown
    }

    /// The most work that it was sent within its window, over its capacity.
    pub fn max_load_ratio(&self) -> f64 {
        self.max_load_ratio
    }

    /// Number of requests that run or wait.
    pub fn outstanding(&self) -> usize {
        self.workers.outstanding()
    }

    /// Takes a request.
    pub fn handle_request(
        &mut self,
        now: Micros,
        slot: ReplySlot,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let service = if request.write {
            self.settings.write
        } else {
            self.settings.read
        };
        let overloaded = self.count_work(now, service.mean_ms * MS as f64);
        if overloaded && now >= self.stopped_until {
            self.stop(now, actions);
        }
        if now < self.stopped_until {
            actions.push(Action::NotStarted(slot));
            return;
        }
        let work = service.draw(&mut self.random);
        let speed = self.speed();
        let offered = self.workers.offer(now, work, speed, (slot, request));
        if let Err((slot, _)) = offered {
            actions.push(Action::NotStarted(slot));
        }
    }

    fn stop(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.stopped_until = now + from_ms(self.settings.stopped_ms);
        actions.push(Action::Stopped);
        // A request in flight may have been executed, so that its answer may not say `Not-Started`.
        let in_flight = self.workers.clear();
        actions.extend(in_flight.into_iter().map(|(slot, _)| Action::Failed(slot)));
        self.received = WorkWindow::default();
    }

    /// Adds up what is sent; true when it is more than the origin can bear for a whole window.
    fn count_work(&mut self, now: Micros, work: f64) -> bool {
        if self.settings.stop_multiple <= 0.0 {
            return false;
        }
        let window = from_ms(self.settings.stop_window_ms).max(BUCKET_WIDTH);
        let received = self.received.add(now, work, window);
        let ratio = received / (self.settings.cores as f64 * window as f64);
        self.max_load_ratio = self.max_load_ratio.max(ratio);
        ratio > self.settings.stop_multiple
    }

    /// When `advance` has something to do.
    pub fn next_due(&self) -> Option<Micros> {
        self.workers.next_due()
    }

    /// Answers the requests whose work is finished.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let speed = self.speed();
        while let Some((_, (slot, request))) = self.workers.take_finished(now, speed) {
            if self.random.happens(self.settings.error_rate) {
                actions.push(Action::Failed(slot));
                continue;
            }
            let value = value_for(&request.id, &request.key, &self.filler);
            actions.push(if request.write {
                Action::Written {
                    id: request.id,
                    key: request.key,
                }
            } else {
                Action::Filled { id: request.id }
            });
            actions.push(Action::Value(slot, value));
        }
    }
}
