//! The one clock of a balancer. Every wait, timeout and time stamp of the network code comes from here: tokio's clock,
//! which a test may pause and move. Unix time is read once at the start and carried on by that clock, so that start times
//! in discovery's lists compare with `now`, and a system clock that is set meanwhile changes nothing.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stairfront_common::time::{from_duration, to_duration, Micros};
pub use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Timers and deadlines beyond this are not distinguished; far longer ones would overflow a timer.
const MAX_TIMER: Duration = Duration::from_secs(24 * 3600);

/// A clock that shows Unix time, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the system's Unix time; a system clock before 1970 counts as 1970.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::starting_at(from_duration(unix))
    }

    /// A clock that shows this Unix time now.
    pub fn starting_at(unix: Micros) -> Self {
        Clock {
            unix_at_start: unix,
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The instant of this time; no later than a day from now, and no earlier than the start.
    pub fn instant_of(&self, time: Micros) -> Instant {
        let now = Instant::now();
        let left = time - self.at(now);
        if left >= 0 {
            return now + timer_duration(left);
        }
        now.checked_sub(timer_duration(-left))
            .map_or(self.start, |instant| instant.max(self.start))
    }

    /// The time at this instant; that of the start for one before it.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix_at_start + from_duration(instant.saturating_duration_since(self.start))
    }
}

/// A duration that the decision module names, for a timer: zero for a negative one, a day at most.
pub fn timer_duration(time: Micros) -> Duration {
    to_duration(time).min(MAX_TIMER)
}
