//! How late the event loop handles what is due.
use stairfront_common::time::{Micros, MS};

/// Time over which delays are gathered. A single long turn, such as a list of thousands of servers, is no overload; a
/// delay that lasts for all of this time is.
const INTERVAL: Micros = 50 * MS;

/// The delays of one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelaySample {
    /// Smallest delay, in microseconds: that of a standing queue, as opposed to a burst.
    pub min: Micros,
    /// Largest delay, in microseconds.
    pub max: Micros,
    /// Number of delays recorded.
    pub count: u32,
    /// Length of the interval, in microseconds.
    pub interval: Micros,
}

/// Gathers the delays with which due timers or waiting messages were handled.
#[derive(Clone, Debug)]
pub struct QueueDelayMonitor {
    started_at: Micros,
    sample: DelaySample,
}

impl QueueDelayMonitor {
    /// A monitor whose first interval begins now.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        QueueDelayMonitor {
            started_at: now,
            sample: DelaySample::default(),
        }
    }

    /// Records one delay, in microseconds; a negative one counts as none.
    pub fn record(&mut self, delay: Micros) {
        let delay = delay.max(0);
        let sample = &mut self.sample;
        sample.min = if sample.count == 0 {
            delay
        } else {
            sample.min.min(delay)
        };
        sample.max = sample.max.max(delay);
        sample.count += 1;
    }

    /// The sample of an interval that is complete, which begins the next one.
    pub fn take_complete(&mut self, now: Micros) -> Option<DelaySample> {
        (now - self.started_at >= INTERVAL).then(|| self.take(now))
    }

    /// The sample since the last one, however long that is, which begins the next interval.
    pub fn take(&mut self, now: Micros) -> DelaySample {
        self.sample.interval = now - std::mem::replace(&mut self.started_at, now);
        std::mem::take(&mut self.sample)
    }
}
