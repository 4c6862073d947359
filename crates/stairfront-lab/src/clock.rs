//! The clock of a run: microseconds since its requests begin, the same on all threads.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stairfront_common::time::Micros;

/// A clock that shows 0 when the requests of a run begin.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    created_at: Instant,
    /// Time from the creation to 0, for everything to start.
    lead: Micros,
    unix_ms: u64,
}

impl RunClock {
    /// A clock that shows 0 after `lead`.
    pub fn starting_in(lead: Duration) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        RunClock {
            created_at: Instant::now(),
            lead: lead.as_micros() as Micros,
            unix_ms: (unix + lead).as_millis() as u64,
        }
    }

    /// The time of the run, below 0 until the requests begin.
    pub fn now(&self) -> Micros {
        self.created_at.elapsed().as_micros() as Micros - self.lead
    }

    /// A time on tokio's clock, whose timers fire up to a millisecond late.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.created_at + Duration::from_micros((at + self.lead).max(0) as u64)).into()
    }

    /// Unix time in milliseconds, for start times in discovery's lists.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.unix_ms.saturating_add_signed(at / 1000)
    }
}
