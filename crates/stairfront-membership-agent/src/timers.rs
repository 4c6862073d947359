//! The agent's ticks, and the detection of stalls of the process by their absence.
use std::cell::Cell;
use std::time::Duration;

use tokio::time::{interval, Instant, Interval, MissedTickBehavior};

use crate::agent::MembershipAgent;

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a tick after which the process must have stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(800);
/// Time after a stall in which an operator's call that is read may have waited through the stall.
const STALL_REPORT_TTL: Duration = Duration::from_secs(1);

/// The timer of the ticks; ticks that were missed are not made up for.
pub(crate) fn tick_timer() -> Interval {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

#[derive(Clone, Copy)]
struct Stall {
    ended: Instant,
    duration: Duration,
}

/// The latest tick and the latest stall.
pub(crate) struct StallMonitor {
    last_tick: Cell<Instant>,
    last_stall: Cell<Option<Stall>>,
}

impl StallMonitor {
    /// A monitor whose first tick counts as due now.
    pub fn new() -> Self {
        StallMonitor {
            last_tick: Cell::new(Instant::now()),
            last_stall: Cell::new(None),
        }
    }

    /// Records a tick.
    pub fn tick(&self) {
        let now = Instant::now();
        let duration = now - self.last_tick.replace(now);
        if duration > STALL_THRESHOLD {
            self.last_stall.set(Some(Stall {
                ended: now,
                duration,
            }));
        }
    }

    /// Duration of a stall that lasts or has just ended.
    pub fn recent_stall(&self) -> Option<Duration> {
        let now = Instant::now();
        let since_tick = now - self.last_tick.get();
        if since_tick > STALL_THRESHOLD {
            return Some(since_tick);
        }
        self.last_stall
            .get()
            .filter(|stall| now - stall.ended < STALL_REPORT_TTL)
            .map(|stall| stall.duration)
    }
}

impl MembershipAgent {
    /// Duration of a stall of this process that has just ended: input that is read now may be as old.
    #[must_use]
    pub fn stalled_for(&self) -> Option<Duration> {
        self.stalls.recent_stall()
    }
}
