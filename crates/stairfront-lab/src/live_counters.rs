//! Counters of a run while it goes on, for a table that a person watches.
use std::sync::atomic::{AtomicU64, Ordering};

use stairfront_emulator::client::Outcome;

/// Counts since the last snapshot, shared by all threads of a run.
#[derive(Debug, Default)]
pub struct LiveCounters {
    served: AtomicU64,
    rejected: AtomicU64,
    other: AtomicU64,
    slowest_us: AtomicU64,
    attempts: Vec<AtomicU64>,
}

/// The counts between two snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveSnapshot {
    /// Attempts of clients that were served.
    pub served: u64,
    /// Attempts of clients that were rejected.
    pub rejected: u64,
    /// Attempts of clients with any other end.
    pub other: u64,
    /// Longest time of an attempt, in microseconds.
    pub slowest_us: u64,
    /// Attempts at each host, the origin last.
    pub attempts: Vec<u64>,
}

impl LiveCounters {
    /// Counters for a number of hosts, the origin among them.
    pub fn new(hosts: usize) -> Self {
        LiveCounters {
            attempts: (0..hosts).map(|_| AtomicU64::new(0)).collect(),
            ..LiveCounters::default()
        }
    }

    /// Counts the end of a client's attempt.
    pub fn record_end(&self, end: Outcome, latency_us: u64) {
        let counter = match end {
            Outcome::Served => &self.served,
            Outcome::Rejected { .. } => &self.rejected,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.slowest_us.fetch_max(latency_us, Ordering::Relaxed);
    }

    /// Counts an attempt that began at a host.
    pub fn record_attempt(&self, host: usize) {
        if let Some(counter) = self.attempts.get(host) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes what was counted since the last call.
    pub fn take(&self) -> LiveSnapshot {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        LiveSnapshot {
            served: take(&self.served),
            rejected: take(&self.rejected),
            other: take(&self.other),
            slowest_us: take(&self.slowest_us),
            attempts: self.attempts.iter().map(take).collect(),
        }
    }
}
