//! What everybody saw, on its way to the thread that checks the rules and counts loads over time.
use std::sync::mpsc::{Receiver, Sender};

use serde::Serialize;
use stairfront_emulator::rules::{Checker, Limits, Report, Seen};
use stairfront_emulator::time::{Micros, SECOND};

use crate::clock::RunClock;
use crate::live_counters::LiveCounters;

/// Sightings handed over at once, and the longest that some wait.
const MAX_BATCH_EVENTS: usize = 512;
const MAX_BATCH_DELAY: Micros = 20_000;
/// Sightings between two looks for requests that can be judged.
const CHECK_INTERVAL_EVENTS: usize = 100_000;

type Batch = Vec<(Micros, Seen)>;

/// One thread's end: sightings are gathered and handed over in batches.
pub struct EventLog {
    clock: RunClock,
    to: Sender<Batch>,
    batch: Batch,
    first_at: Micros,
}

impl EventLog {
    pub fn new(clock: RunClock, to: Sender<Batch>) -> Self {
        EventLog {
            clock,
            to,
            batch: Vec::with_capacity(MAX_BATCH_EVENTS),
            first_at: 0,
        }
    }

    pub fn record(&mut self, at: Micros, seen: Seen) {
        if self.batch.is_empty() {
            self.first_at = at;
        }
        self.batch.push((at, seen));
        if self.batch.len() >= MAX_BATCH_EVENTS {
            self.flush();
        }
    }

    /// Hands over what has waited long enough; to be called now and then.
    pub fn flush_if_due(&mut self) {
        if !self.batch.is_empty() && self.clock.now() - self.first_at > MAX_BATCH_DELAY {
            self.flush();
        }
    }

    fn flush(&mut self) {
        // The recorder ends only when all tapes have: then nobody is left to tell.
        let _ = self.to.send(std::mem::replace(
            &mut self.batch,
            Vec::with_capacity(MAX_BATCH_EVENTS),
        ));
    }
}

impl Drop for EventLog {
    fn drop(&mut self) {
        self.flush();
    }
}

/// Attempts by host and interval, and what the checker decided.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RecordedRun {
    pub rules: Report,
    /// Attempts begun at each host in each interval; the origin last.
    pub attempts: Vec<Vec<u32>>,
}

/// Length of an interval of all series.
pub const INTERVAL: Micros = SECOND / 4;

/// Hears all tapes until the last one ends.
pub fn record(
    from: Receiver<Batch>,
    limits: Limits,
    hosts: usize,
    live_counters: &LiveCounters,
) -> RecordedRun {
    let mut checker = Checker::new(limits);
    let mut attempts = vec![Vec::new(); hosts];
    let mut handled = 0;
    for batch in from {
        handled += batch.len();
        for (at, seen) in batch {
            if let Seen::Began { host, .. } = seen {
                live_counters.record_attempt(usize::from(host));
                if let Some(series) = attempts.get_mut(usize::from(host)) {
                    count(series, at);
                }
            }
            checker.hear(at, seen);
        }
        if handled > CHECK_INTERVAL_EVENTS {
            handled = 0;
            checker.settle();
        }
    }
    RecordedRun {
        rules: checker.finish(),
        attempts,
    }
}

fn count(series: &mut Vec<u32>, at: Micros) {
    let i = (at.max(0) / INTERVAL) as usize;
    if series.len() <= i {
        series.resize(i + 1, 0);
    }
    series[i] += 1;
}
