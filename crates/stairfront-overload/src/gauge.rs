//! How far the loop is behind.
use crate::Micros;

/// How long is looked at before something is concluded. Danger: one long turn, such as a list of thousands of servers,
/// is no overload; what stays behind for all of this time is.
const INTERVAL: Micros = 50_000;

/// What the gauge found in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelaySample {
    /// The least that the loop was behind at any look: a standing queue, as opposed to a burst.
    pub standing: Micros,
    /// The most.
    pub worst: Micros,
    /// Looks that it was made from.
    pub looks: u32,
    /// How long the interval was.
    pub span: Micros,
}

/// Gathers how late due timers and waiting messages were handled.
#[derive(Clone, Debug)]
pub struct QueueDelayMonitor {
    since: Micros,
    reading: DelaySample,
}

impl QueueDelayMonitor {
    pub fn new(now: Micros) -> Self {
        QueueDelayMonitor {
            since: now,
            reading: DelaySample::default(),
        }
    }

    /// Something was handled so much later than it was due or came.
    pub fn handled(&mut self, late: Micros) {
        let late = late.max(0);
        let reading = &mut self.reading;
        reading.standing = if reading.looks == 0 {
            late
        } else {
            reading.standing.min(late)
        };
        reading.worst = reading.worst.max(late);
        reading.looks += 1;
    }

    /// What was found, once an interval is over.
    pub fn reading(&mut self, now: Micros) -> Option<DelaySample> {
        (now - self.since >= INTERVAL).then(|| self.take(now))
    }

    /// What was found since the last time, whenever that was.
    pub fn take(&mut self, now: Micros) -> DelaySample {
        self.reading.span = now - std::mem::replace(&mut self.since, now);
        std::mem::take(&mut self.reading)
    }
}
