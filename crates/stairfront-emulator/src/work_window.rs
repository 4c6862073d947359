//! The work that arrived within a sliding window of time.
use std::collections::VecDeque;

use stairfront_common::time::{Micros, MS};

/// Width of the buckets by which work leaves the window, and the shortest window.
pub(crate) const BUCKET_WIDTH: Micros = 50 * MS;

#[derive(Debug)]
struct Bucket {
    start: Micros,
    work: f64,
}

/// A sum over a sliding window, kept in buckets.
#[derive(Debug, Default)]
pub(crate) struct WorkWindow {
    buckets: VecDeque<Bucket>,
    sum: f64,
}

impl WorkWindow {
    /// Adds work that arrives now, and returns the sum of the window that ends now.
    pub(crate) fn add(&mut self, now: Micros, work: f64, window: Micros) -> f64 {
        let start = now - now.rem_euclid(BUCKET_WIDTH);
        match self.buckets.back_mut() {
            Some(bucket) if bucket.start == start => bucket.work += work,
            _ => self.buckets.push_back(Bucket { start, work }),
        }
        self.sum += work;
        while let Some(oldest) = self.buckets.pop_front() {
            if oldest.start > now - window {
                self.buckets.push_front(oldest);
                break;
            }
            self.sum -= oldest.work;
        }
        self.sum
    }
}
