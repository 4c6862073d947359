//! How long discovery's agent may take for an answer before the call counts as lost.
use std::time::Duration;

/// The timeout while the agent is not slow: it is on this machine.
const USUAL: Duration = Duration::from_secs(1);
/// The timeout after a call without an answer. With the pause before the next call it stays below the 6 s after which a change
/// counts as notified, for an agent that has stood still and answers new calls alone.
const AFTER_LATE: Duration = Duration::from_secs(5);
/// The timeout of every third call in a row, for an agent that takes longer.
const LONG: Duration = Duration::from_secs(12);
const LONG_INTERVAL: u32 = 3;
/// Multiple of the time that the last answer took.
const MARGIN: u32 = 2;
/// The longest; a watch is held for the rest of its time.
const MAX: Duration = Duration::from_secs(20);

/// The timeout, by what was seen.
pub(super) struct AnswerTimeout {
    /// By the last answer that was due at once.
    by_answer: Duration,
    /// Calls without an answer since the last one.
    late: u32,
}

impl Default for AnswerTimeout {
    fn default() -> Self {
        AnswerTimeout {
            by_answer: USUAL,
            late: 0,
        }
    }
}

impl AnswerTimeout {
    /// The timeout of the next call, beyond the time for which the agent may hold it.
    pub(super) fn get(&self) -> Duration {
        let least = match self.late {
            0 => USUAL,
            late if (late + 1) % LONG_INTERVAL == 0 => LONG,
            _ => AFTER_LATE,
        };
        self.by_answer.max(least)
    }

    /// Notes how long an answer took that was due at once.
    pub(super) fn note_answer(&mut self, took: Duration) {
        self.by_answer = took.saturating_mul(MARGIN).clamp(USUAL, MAX);
        self.late = 0;
    }

    /// Notes a call without an answer in time.
    pub(super) fn note_late(&mut self) {
        self.late = self.late.saturating_add(1);
    }
}
