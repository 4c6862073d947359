//! Cores with a bounded queue before them: what cache hosts and the origin do their work with.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use stairfront_common::time::Micros;

/// Work that has found a core, or waits for one.
#[derive(Debug)]
struct Job<T> {
    work: Micros,
    what: T,
}

/// So many cores at a speed that may change; a job that runs keeps the speed that it began with.
#[derive(Debug)]
pub struct WorkerPool<T> {
    cores: usize,
    most_waiting: usize,
    /// When each running job is done, by slot.
    running: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    slots: Vec<Option<Job<T>>>,
    free: Vec<usize>,
    waiting: VecDeque<Job<T>>,
    begun: u64,
    /// Time of cores in use, for `busy`.
    busy: Micros,
    looked_at: Micros,
}

impl<T> WorkerPool<T> {
    pub fn new(cores: usize, most_waiting: usize) -> Self {
        WorkerPool {
            cores: cores.max(1),
            most_waiting,
            running: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            waiting: VecDeque::new(),
            begun: 0,
            busy: 0,
            looked_at: 0,
        }
    }

    /// Takes work on, which is so long on a core of speed 1; given back where the queue is full.
    pub fn offer(&mut self, now: Micros, work: Micros, speed: f64, what: T) -> Result<(), T> {
        let job = Job { work, what };
        if self.running.len() < self.cores {
            self.begin(now, speed, job);
        } else if self.waiting.len() < self.most_waiting {
            self.waiting.push_back(job);
        } else {
            return Err(job.what);
        }
        Ok(())
    }

    fn begin(&mut self, at: Micros, speed: f64, job: Job<T>) {
        let took = (job.work as f64 / speed.max(1e-6)).min(1e15) as Micros;
        let slot = self.free.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(job);
        self.busy += took;
        self.running.push(Reverse((at + took, self.begun, slot)));
        self.begun += 1;
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.running.peek().map(|Reverse((due, ..))| *due)
    }

    /// The next job done by now, with the time it was done; the one first in the queue takes over its core.
    pub fn take_finished(&mut self, now: Micros, speed: f64) -> Option<(Micros, T)> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((due, _, slot)) = self.running.pop()?;
        let done = self.slots[slot].take()?;
        self.free.push(slot);
        if let Some(next) = self.waiting.pop_front() {
            self.begin(due, speed, next);
        }
        Some((due, done.what))
    }

    /// Ends everything at once: what ran and what waited.
    pub fn clear(&mut self) -> Vec<T> {
        self.running.clear();
        self.free.clear();
        let jobs = std::mem::take(&mut self.slots)
            .into_iter()
            .flatten()
            .chain(self.waiting.drain(..));
        jobs.map(|job| job.what).collect()
    }

    /// Time passes in which no core does anything: all running work is done so much later.
    pub fn stall(&mut self, by: Micros) {
        let later = |Reverse((due, order, slot)): Reverse<(Micros, u64, usize)>| {
            Reverse((due + by, order, slot))
        };
        self.running = std::mem::take(&mut self.running)
            .into_iter()
            .map(later)
            .collect();
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Part of the cores' time since the last look that was given to work, at most 1.
    pub fn utilization_since_last_call(&mut self, now: Micros) -> f64 {
        let span = (now - self.looked_at).max(1) * self.cores as Micros;
        let part = (self.busy as f64 / span as f64).min(1.0);
        // What was begun and runs on counts for the next span too.
        self.busy = (self.busy - span).clamp(0, span);
        self.looked_at = now;
        part
    }
}
