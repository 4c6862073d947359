//! The clock of a run: microseconds since its requests begin to come, the same on all threads.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stairfront_common::time::Micros;

#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    made: Instant,
    /// What is to be ready is, by then.
    lead: Micros,
    unix_ms: u64,
}

impl RunClock {
    /// A clock that shows 0 so much later.
    pub fn starting_in(lead: Duration) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        RunClock {
            made: Instant::now(),
            lead: lead.as_micros() as Micros,
            unix_ms: (unix + lead).as_millis() as u64,
        }
    }

    /// Below 0 until the start.
    pub fn now(&self) -> Micros {
        self.made.elapsed().as_micros() as Micros - self.lead
    }

    /// For waits on tokio's clock. Its timers fire up to a millisecond late.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.made + Duration::from_micros((at + self.lead).max(0) as u64)).into()
    }

    /// Unix time in milliseconds, for start times in discovery's lists.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.unix_ms.saturating_add_signed(at / 1000)
    }
}
