//! What everybody saw, on its way to the thread that checks the rules and counts loads over time.
use std::sync::mpsc::{Receiver, Sender};

use serde::Serialize;
use stairfront_common::time::{Micros, SECOND};
use stairfront_emulator::rules::{Observation, RuleChecker, RuleLimits, RuleReport};

use crate::clock::RunClock;
use crate::live::Live;

/// Sightings handed over at once, and the longest that some wait.
const BATCH: usize = 512;
const LONGEST_WAIT: Micros = 20_000;
/// Sightings between two looks for requests that can be judged.
const SETTLE_EVERY: usize = 100_000;

type Batch = Vec<(Micros, Observation)>;

/// One thread's end: sightings are gathered and handed over in batches.
pub struct Tape {
    clock: RunClock,
    to: Sender<Batch>,
    batch: Batch,
    since: Micros,
}

impl Tape {
    pub fn new(clock: RunClock, to: Sender<Batch>) -> Self {
        Tape {
            clock,
            to,
            batch: Vec::with_capacity(BATCH),
            since: 0,
        }
    }

    pub fn note(&mut self, at: Micros, seen: Observation) {
        if self.batch.is_empty() {
            self.since = at;
        }
        self.batch.push((at, seen));
        if self.batch.len() >= BATCH {
            self.hand_over();
        }
    }

    /// Hands over what has waited long enough; to be called now and then.
    pub fn tick(&mut self) {
        if !self.batch.is_empty() && self.clock.now() - self.since > LONGEST_WAIT {
            self.hand_over();
        }
    }

    fn hand_over(&mut self) {
        // The recorder ends only when all tapes have: then nobody is left to tell.
        let _ = self.to.send(std::mem::replace(
            &mut self.batch,
            Vec::with_capacity(BATCH),
        ));
    }
}

impl Drop for Tape {
    fn drop(&mut self) {
        self.hand_over();
    }
}

/// Attempts by host and interval, and what the checker decided.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Recorded {
    pub rules: RuleReport,
    /// Attempts begun at each host in each interval; the origin last.
    pub begun: Vec<Vec<u32>>,
}

/// Length of an interval of all series.
pub const INTERVAL: Micros = SECOND / 4;

/// Hears all tapes until the last one ends.
pub fn record(from: Receiver<Batch>, limits: RuleLimits, hosts: usize, live: &Live) -> Recorded {
    let mut checker = RuleChecker::new(limits);
    let mut begun = vec![Vec::new(); hosts];
    let mut heard = 0;
    for batch in from {
        heard += batch.len();
        for (at, seen) in batch {
            if let Observation::AttemptStarted { host, .. } = seen {
                live.began(usize::from(host));
                if let Some(series) = begun.get_mut(usize::from(host)) {
                    count(series, at);
                }
            }
            checker.observe(at, seen);
        }
        if heard > SETTLE_EVERY {
            heard = 0;
            checker.judge_finished();
        }
    }
    Recorded {
        rules: checker.finish(),
        begun,
    }
}

fn count(series: &mut Vec<u32>, at: Micros) {
    let i = (at.max(0) / INTERVAL) as usize;
    if series.len() <= i {
        series.resize(i + 1, 0);
    }
    series[i] += 1;
}
