//! Figures of a run while it goes on, for a table that a person watches.
use std::sync::atomic::{AtomicU64, Ordering};

use stairfront_emulator::client::Outcome;

/// Counted since the last look; shared by all threads of a run.
#[derive(Debug, Default)]
pub struct Live {
    served: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
    slowest_us: AtomicU64,
    /// Attempts at each host, the origin last.
    begun: Vec<AtomicU64>,
}

/// What was counted between two looks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Glance {
    pub served: u64,
    pub refused: u64,
    pub other: u64,
    pub slowest_us: u64,
    pub begun: Vec<u64>,
}

impl Live {
    pub fn new(hosts: usize) -> Self {
        Live {
            begun: (0..hosts).map(|_| AtomicU64::new(0)).collect(),
            ..Live::default()
        }
    }

    pub fn ended(&self, end: Outcome, took_us: u64) {
        let counter = match end {
            Outcome::Served => &self.served,
            Outcome::Rejected { .. } => &self.refused,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.slowest_us.fetch_max(took_us, Ordering::Relaxed);
    }

    pub fn began(&self, host: usize) {
        if let Some(counter) = self.begun.get(host) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes what was counted since the last call.
    pub fn take(&self) -> Glance {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        Glance {
            served: take(&self.served),
            refused: take(&self.refused),
            other: take(&self.other),
            slowest_us: take(&self.slowest_us),
            begun: self.begun.iter().map(take).collect(),
        }
    }
}
