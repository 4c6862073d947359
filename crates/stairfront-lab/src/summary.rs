//! The results of the clients: counts by class and tenant, latencies from when a request was due, and both over time.
use hdrhistogram::Histogram;
use serde::Serialize;
use stairfront_common::time::Micros;
use stairfront_emulator::client::{Attempt, Outcome};

use crate::event_log::INTERVAL;

/// Longest latency that is told apart: ten minutes, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of the latencies of a run.
const RUN_DIGITS: u8 = 3;
/// Significant digits of the latencies of an interval.
const INTERVAL_DIGITS: u8 = 2;

fn histogram(digits: u8) -> Histogram<u64> {
    // The bounds are valid, so this cannot fail; if it did, a histogram that grows would do.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, digits).unwrap_or_else(|_| {
        let mut growing =
            Histogram::new(digits).unwrap_or_else(|_| unreachable!("1 to 5 digits are allowed"));
        growing.auto(true);
        growing
    })
}

/// Requests, and the attempts of clients by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that were due.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests that were served within the objective, by whichever attempt.
    pub in_time: u64,
    /// Attempts.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Attempts that were answered with an error.
    pub failed: u64,
    /// Attempts whose connection ended without an answer.
    pub lost: u64,
    /// Attempts without an answer within the deadline.
    pub unanswered: u64,
    /// Attempts that ended before they could be sent, since no connection was free in time.
    pub unsent: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.attempts += other.attempts;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.lost += other.lost;
        self.unanswered += other.unanswered;
        self.unsent += other.unsent;
    }

    /// Part of the requests that was served in time; 1 where there were none.
    pub fn in_time_ratio(&self) -> f64 {
        if self.requests == 0 {
            1.0
        } else {
            self.in_time as f64 / self.requests as f64
        }
    }
}

/// The attempts that were due in one interval.
#[derive(Clone, Debug)]
pub struct Interval {
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Attempts with any other end.
    pub other: u64,
    /// Latency of all of them, in microseconds.
    pub latency: Histogram<u64>,
}

impl Interval {
    fn new() -> Self {
        Interval {
            served: 0,
            rejected: 0,
            other: 0,
            latency: histogram(INTERVAL_DIGITS),
        }
    }

    fn record(&mut self, end: Outcome, latency_us: u64) {
        match end {
            Outcome::Served => self.served += 1,
            Outcome::Rejected { .. } => self.rejected += 1,
            _ => self.other += 1,
        }
        self.latency.saturating_record(latency_us);
    }

    fn add(&mut self, other: &Interval) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.other += other.other;
        // Both have the same bounds, so this cannot fail.
        let _ = self.latency.add(&other.latency);
    }
}

/// The end of an attempt of a client.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// How it ended.
    pub end: Outcome,
    /// It was never sent.
    pub unsent: bool,
    /// It was served within the objective of its request.
    pub in_time: bool,
}

/// Counts and latencies of a run, or of one thread of its clients.
#[derive(Clone, Debug)]
pub struct Summary {
    tenants: usize,
    /// Counts by class, then tenant.
    pub counts: Vec<Counts>,
    /// Latency of all attempts from when they were due, in microseconds. An attempt without an answer counts with the
    /// time that its client waited, since the worst would not show otherwise.
    pub latency: Histogram<u64>,
    /// Latency of the served attempts, in microseconds.
    pub served: Histogram<u64>,
    /// Attempts by interval.
    pub over_time: Vec<Interval>,
    from: Micros,
    until: Micros,
}

impl Summary {
    /// An empty summary, that counts the requests that are due from one time until another.
    pub fn new(classes: usize, tenants: usize, from: Micros, until: Micros) -> Self {
        Summary {
            tenants,
            counts: vec![Counts::default(); classes * tenants],
            latency: histogram(RUN_DIGITS),
            served: histogram(RUN_DIGITS),
            over_time: Vec::new(),
            from,
            until,
        }
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, now: Micros, request: &Attempt, attempt: AttemptEnd) {
        let latency_us = (now - request.due).clamp(1, MAX_LATENCY_US as Micros) as u64;
        self.interval(request.due).record(attempt.end, latency_us);
        if !(self.from..self.until).contains(&request.first_due) {
            return;
        }
        self.latency.saturating_record(latency_us);
        let index = usize::from(request.class) * self.tenants + usize::from(request.tenant);
        let Some(counts) = self.counts.get_mut(index) else {
            return;
        };
        counts.attempts += 1;
        counts.requests += u64::from(request.retry == 0);
        counts.in_time += u64::from(attempt.in_time);
        match attempt.end {
            _ if attempt.unsent => counts.unsent += 1,
            Outcome::Served => {
                counts.served += 1;
                self.served.saturating_record(latency_us);
            }
            Outcome::Rejected { .. } => counts.rejected += 1,
            Outcome::Failed => counts.failed += 1,
            Outcome::ConnectionLost => counts.lost += 1,
            Outcome::TimedOut => counts.unanswered += 1,
        }
    }

    fn interval(&mut self, at: Micros) -> &mut Interval {
        let i = (at.max(0) / INTERVAL) as usize;
        if self.over_time.len() <= i {
            self.over_time.resize_with(i + 1, Interval::new);
        }
        &mut self.over_time[i]
    }

    /// Adds the summary of another thread, with the same classes and tenants.
    pub fn add(&mut self, other: &Summary) {
        let pairs = self.counts.iter_mut().zip(&other.counts);
        pairs.for_each(|(counts, others)| counts.add(others));
        // Both have the same bounds, so this cannot fail.
        let _ = self.latency.add(&other.latency);
        let _ = self.served.add(&other.served);
        for (i, interval) in other.over_time.iter().enumerate() {
            match self.over_time.get_mut(i) {
                Some(own) => own.add(interval),
                None => self.over_time.push(interval.clone()),
            }
        }
    }

    /// The counts of all classes and tenants.
    pub fn all(&self) -> Counts {
        let mut all = Counts::default();
        self.counts.iter().for_each(|counts| all.add(counts));
        all
    }

    /// The counts of one tenant, over all classes.
    pub fn tenant(&self, tenant: usize) -> Counts {
        let mut all = Counts::default();
        let of_tenant = self.counts.iter().skip(tenant).step_by(self.tenants.max(1));
        of_tenant.for_each(|counts| all.add(counts));
        all
    }
}
