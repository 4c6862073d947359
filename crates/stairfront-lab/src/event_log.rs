//! The observations of clients, servers and the run, on their way to the thread that checks the rules and counts loads over time.
use std::sync::mpsc::{Receiver, Sender};

use stairfront_common::time::{Micros, SECOND};
use stairfront_emulator::rules::{Observation, RuleChecker, RuleLimits, RuleReport};

use crate::clock::RunClock;
use crate::live_counters::LiveCounters;

/// Events that are handed over together.
const MAX_BATCH_EVENTS: usize = 512;
/// Longest time that an event waits for its batch.
const MAX_BATCH_DELAY: Micros = 20_000;
/// Events between two searches for requests that can be judged.
const CHECK_INTERVAL_EVENTS: usize = 100_000;
/// Length of an interval of all series.
pub const INTERVAL: Micros = SECOND / 4;

/// Something that somebody saw.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// When it was seen.
    pub at: Micros,
    /// The observation.
    pub observation: Observation,
}

/// A thread's way to the checker.
pub type EventSender = Sender<Vec<Event>>;

/// One thread's end: events are gathered and handed over in batches.
pub struct EventLog {
    clock: RunClock,
    sender: EventSender,
    batch: Vec<Event>,
    first_at: Micros,
}

impl EventLog {
    /// A log that hands over to this sender.
    pub fn new(clock: RunClock, sender: EventSender) -> Self {
        EventLog {
            clock,
            sender,
            batch: Vec::with_capacity(MAX_BATCH_EVENTS),
            first_at: 0,
        }
    }

    /// Adds an event, and hands the batch over if it is full.
    pub fn record(&mut self, at: Micros, observation: Observation) {
        if self.batch.is_empty() {
            self.first_at = at;
        }
        self.batch.push(Event { at, observation });
        if self.batch.len() >= MAX_BATCH_EVENTS {
            self.flush();
        }
    }

    /// Hands over what has waited long enough; has to be called now and then.
    pub fn flush_if_due(&mut self) {
        if !self.batch.is_empty() && self.clock.now() - self.first_at > MAX_BATCH_DELAY {
            self.flush();
        }
    }

    fn flush(&mut self) {
        let empty = Vec::with_capacity(MAX_BATCH_EVENTS);
        let batch = std::mem::replace(&mut self.batch, empty);
        // The recorder ends only when all logs have, so a failure leaves nobody to notify.
        let _ = self.sender.send(batch);
    }
}

impl Drop for EventLog {
    fn drop(&mut self) {
        self.flush();
    }
}

/// Attempts by host and interval, and what the checker decided.
#[derive(Clone, Debug, Default)]
pub struct RecordedRun {
    /// The checker's report.
    pub rules: RuleReport,
    /// Attempts that began at each host in each interval; the origin last.
    pub attempts: Vec<Vec<u32>>,
}

/// Handles the events of all logs until the last log ends.
pub fn record(
    events: Receiver<Vec<Event>>,
    limits: RuleLimits,
    hosts: usize,
    live_counters: &LiveCounters,
) -> RecordedRun {
    let mut checker = RuleChecker::new(limits);
    let mut attempts = vec![Vec::new(); hosts];
    let mut handled = 0;
    for batch in events {
        handled += batch.len();
        for Event { at, observation } in batch {
            if let Observation::AttemptStarted { host, .. } = observation {
                live_counters.record_attempt(usize::from(host));
                if let Some(series) = attempts.get_mut(usize::from(host)) {
                    count(series, at);
                }
            }
            checker.observe(at, observation);
        }
        if handled > CHECK_INTERVAL_EVENTS {
            handled = 0;
            checker.judge_finished();
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
