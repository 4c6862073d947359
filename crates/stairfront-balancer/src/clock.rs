//! The one clock of a balancer. Every wait, time-out and time stamp of the network code comes from here: tokio's
//! clock, which a test may pause and move. Unix time is read once at the start and carried on by it, so the start times
//! in discovery's lists compare with `now`, and a clock that is set meanwhile moves nothing.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stairfront_policy::interface::Micros;
pub use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        // A machine whose clock stands before 1970 counts from 1970.
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::starting_at(micros(unix))
    }

    /// A clock that shows this Unix time now.
    pub fn starting_at(unix: Micros) -> Self {
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Micros {
        self.unix + micros(instant.saturating_duration_since(self.start))
    }
}

pub fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

/// Timers and deadlines beyond this are not told apart; far longer ones would overflow a timer.
const LONGEST: Duration = Duration::from_secs(24 * 3600);

/// A length of time that the decision module names; what is below zero is none.
pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(u64::try_from(time).unwrap_or(0)).min(LONGEST)
}
