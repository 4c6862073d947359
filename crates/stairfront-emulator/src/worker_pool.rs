//! A pool of cores with a bounded queue before them: what cache hosts and the origin do their work with.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use stairfront_common::time::Micros;

/// A job that runs, or waits for a core.
#[derive(Debug)]
struct Job<T> {
    /// Its time on a core of speed 1.
    work: Micros,
    payload: T,
}

/// A running job in the order of completion; of two that finish together the one started first comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    finish: Micros,
    start_order: u64,
    slot: usize,
}

/// A fixed number of cores at a speed that may change; a running job keeps the speed that it was started with.
#[derive(Debug)]
pub struct WorkerPool<T> {
    cores: usize,
    max_waiting: usize,
    running: BinaryHeap<Reverse<Running>>,
    slots: Vec<Option<Job<T>>>,
    free_slots: Vec<usize>,
    waiting: VecDeque<Job<T>>,
    started: u64,
    /// Core time given to work and not yet counted by `utilization_since_last_call`.
    busy: Micros,
    last_utilization_at: Micros,
}

impl<T> WorkerPool<T> {
    /// A pool of at least one core, with at most `max_waiting` jobs in its queue.
    pub fn new(cores: usize, max_waiting: usize) -> Self {
        WorkerPool {
            cores: cores.max(1),
            max_waiting,
            running: BinaryHeap::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            waiting: VecDeque::new(),
            started: 0,
            busy: 0,
            last_utilization_at: 0,
        }
    }

    /// Starts or queues a job, which takes `work` on a core of speed 1.
    ///
    /// # Errors
    ///
    /// Gives the payload back where the queue is full.
    pub fn offer(&mut self, now: Micros, work: Micros, speed: f64, payload: T) -> Result<(), T> {
        let job = Job { work, payload };
        if self.running.len() < self.cores {
            self.start(now, speed, job);
        } else if self.waiting.len() < self.max_waiting {
            self.waiting.push_back(job);
        } else {
            return Err(job.payload);
        }
        Ok(())
    }

    fn start(&mut self, at: Micros, speed: f64, job: Job<T>) {
        let duration = (job.work as f64 / speed.max(1e-6)).min(1e15) as Micros;
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(job);
        self.busy += duration;
        self.running.push(Reverse(Running {
            finish: at + duration,
            start_order: self.started,
            slot,
        }));
        self.started += 1;
    }

    /// When the next job finishes.
    pub fn next_due(&self) -> Option<Micros> {
        self.running.peek().map(|Reverse(running)| running.finish)
    }

    /// The next job finished by now, with the time at which it did; the first job in the queue takes over its core.
    pub fn take_finished(&mut self, now: Micros, speed: f64) -> Option<(Micros, T)> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse(Running { finish, slot, .. }) = self.running.pop()?;
        let finished = self.slots[slot].take()?;
        self.free_slots.push(slot);
        if let Some(next) = self.waiting.pop_front() {
            self.start(finish, speed, next);
        }
        Some((finish, finished.payload))
    }

    /// Aborts all jobs and returns them: those that ran, then those that waited.
    pub fn clear(&mut self) -> Vec<T> {
        self.running.clear();
        self.free_slots.clear();
        let jobs = std::mem::take(&mut self.slots)
            .into_iter()
            .flatten()
            .chain(self.waiting.drain(..));
        jobs.map(|job| job.payload).collect()
    }

    /// Delays all running jobs, as when the machine stands still for a while.
    pub fn stall(&mut self, duration: Micros) {
        let delay = |Reverse(running): Reverse<Running>| {
            Reverse(Running {
                finish: running.finish + duration,
                ..running
            })
        };
        self.running = std::mem::take(&mut self.running)
            .into_iter()
            .map(delay)
            .collect();
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of jobs in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of jobs that run or wait.
    pub fn outstanding(&self) -> usize {
        self.running() + self.waiting()
    }

    /// Fraction of the cores' time since the last call that was given to work, at most 1.
    pub fn utilization_since_last_call(&mut self, now: Micros) -> f64 {
        let span = (now - self.last_utilization_at).max(1) * self.cores as Micros;
        let fraction = (self.busy as f64 / span as f64).min(1.0);
        // A job that runs on beyond this call counts for the next span too.
        self.busy = (self.busy - span).clamp(0, span);
        self.last_utilization_at = now;
        fraction
    }
}
