//! What clients got: counts by class and tenant, latencies from when a request was to be sent, and both over time.
use hdrhistogram::Histogram;
use serde::Serialize;
use stairfront_common::time::Micros;
use stairfront_emulator::client::{Attempt, Outcome};

use crate::tape::INTERVAL;

/// Latencies are told apart to three digits, up to ten minutes, in microseconds.
const LONGEST: u64 = 600_000_000;

fn histogram(digits: u8) -> Histogram<u64> {
    // The bounds are good ones, so this cannot fail; if it did, a histogram that grows would do.
    Histogram::new_with_bounds(1, LONGEST, digits).unwrap_or_else(|_| {
        let mut growing =
            Histogram::new(digits).unwrap_or_else(|_| unreachable!("1 to 5 digits are allowed"));
        growing.auto(true);
        growing
    })
}

/// Tries by how they ended, and first tries by whether any of their tries was served within the aim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// First tries that were due.
    pub asked: u64,
    /// Of them, served within the aim of the first try, whichever try it was.
    pub in_time: u64,
    pub tries: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
    pub unanswered: u64,
    /// Ended before it could be sent: no connection was free in its time.
    pub unsent: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.tries += other.tries;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.lost += other.lost;
        self.unanswered += other.unanswered;
        self.unsent += other.unsent;
    }

    /// Part of what was asked for that was served in time; 1 where nothing was asked for.
    pub fn on_time(&self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            self.in_time as f64 / self.asked as f64
        }
    }
}

/// One interval: what became of the tries that were due in it.
#[derive(Clone, Debug)]
pub struct Interval {
    pub served: u64,
    pub refused: u64,
    pub other: u64,
    pub latency: Histogram<u64>,
}

impl Interval {
    fn new() -> Self {
        Interval {
            served: 0,
            refused: 0,
            other: 0,
            latency: histogram(2),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Tally {
    tenants: usize,
    /// By class, then tenant.
    pub counts: Vec<Counts>,
    /// All tries, from when they were due to their end. One that got no answer counts with the time its client waited:
    /// left out, the worst would not show.
    pub latency: Histogram<u64>,
    pub served: Histogram<u64>,
    pub over_time: Vec<Interval>,
    from: Micros,
    until: Micros,
}

impl Tally {
    /// Counts what is due from one time until another.
    pub fn new(classes: usize, tenants: usize, from: Micros, until: Micros) -> Self {
        Tally {
            tenants,
            counts: vec![Counts::default(); classes * tenants],
            latency: histogram(3),
            served: histogram(3),
            over_time: Vec::new(),
            from,
            until,
        }
    }

    /// Books the end of a try; `unsent` where it never went out, `in_time` where it was served within its aim.
    pub fn book(&mut self, now: Micros, ask: &Attempt, end: Outcome, unsent: bool, in_time: bool) {
        let took = (now - ask.due).clamp(1, LONGEST as Micros) as u64;
        let i = (ask.due.max(0) / INTERVAL) as usize;
        if self.over_time.len() <= i {
            self.over_time.resize_with(i + 1, Interval::new);
        }
        let interval = &mut self.over_time[i];
        match end {
            Outcome::Served => interval.served += 1,
            Outcome::Rejected { .. } => interval.refused += 1,
            _ => interval.other += 1,
        }
        interval.latency.saturating_record(took);
        if !(self.from..self.until).contains(&ask.first_due) {
            return;
        }
        self.latency.saturating_record(took);
        let at = usize::from(ask.class) * self.tenants + usize::from(ask.tenant);
        let Some(counts) = self.counts.get_mut(at) else {
            return;
        };
        counts.tries += 1;
        counts.asked += u64::from(ask.retry == 0);
        counts.in_time += u64::from(in_time);
        match end {
            _ if unsent => counts.unsent += 1,
            Outcome::Served => {
                counts.served += 1;
                self.served.saturating_record(took);
            }
            Outcome::Rejected { .. } => counts.refused += 1,
            Outcome::Failed => counts.failed += 1,
            Outcome::ConnectionLost => counts.lost += 1,
            Outcome::TimedOut => counts.unanswered += 1,
        }
    }

    pub fn add(&mut self, other: &Tally) {
        self.counts
            .iter_mut()
            .zip(&other.counts)
            .for_each(|(a, b)| a.add(b));
        // Both have the same bounds.
        let _ = self.latency.add(&other.latency);
        let _ = self.served.add(&other.served);
        for (i, interval) in other.over_time.iter().enumerate() {
            match self.over_time.get_mut(i) {
                Some(mine) => {
                    mine.served += interval.served;
                    mine.refused += interval.refused;
                    mine.other += interval.other;
                    let _ = mine.latency.add(&interval.latency);
                }
                None => self.over_time.push(interval.clone()),
            }
        }
    }

    pub fn all(&self) -> Counts {
        let mut all = Counts::default();
        self.counts.iter().for_each(|counts| all.add(counts));
        all
    }

    /// All classes of one tenant.
    pub fn tenant(&self, tenant: usize) -> Counts {
        let mut all = Counts::default();
        self.counts
            .iter()
            .skip(tenant)
            .step_by(self.tenants.max(1))
            .for_each(|counts| all.add(counts));
        all
    }
}
