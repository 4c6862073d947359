//! Pacing of commands that are answered at once and ask for no request: sound or not, at full speed they would take the
//! processor from everybody else.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Instant;
use crate::messages::Answer;

/// Interval at which a connection may send such commands on the mean, while few connections are paused.
const COMMAND_INTERVAL: Duration = Duration::from_micros(300);
/// Commands that it may send at once.
const BURST: u32 = 64;
/// With so many paused connections the interval is doubled, so that all of them together get about as many through.
const PAUSED_PER_INTERVAL: u32 = 8;
/// Cost of rendering the counters, in commands.
const INFO_COMMANDS: u32 = 64;

/// Number of connections that are paused now.
pub type PausedCount = Rc<Cell<u32>>;

/// Counts a connection as paused for as long as this lives.
struct PausedGuard(PausedCount);

impl PausedGuard {
    fn new(count: &PausedCount) -> Self {
        count.set(count.get() + 1);
        PausedGuard(Rc::clone(count))
    }
}

impl Drop for PausedGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The pace of one connection, by the generic cell rate algorithm (ITU-T I.371).
pub(super) struct CommandPacer {
    paused: PausedCount,
    /// When the commands so far are due, were they sent at the mean interval.
    due: Instant,
    guard: Option<PausedGuard>,
}

impl CommandPacer {
    pub(super) fn new(paused: &PausedCount) -> Self {
        CommandPacer {
            paused: Rc::clone(paused),
            due: Instant::now(),
            guard: None,
        }
    }

    /// Records a command that was answered at once.
    pub(super) fn record(&mut self, answer: &Answer) {
        let commands = match answer {
            Answer::Info => INFO_COMMANDS,
            _ => 1,
        };
        let now = Instant::now();
        self.due = self.due.max(now) + self.interval() * commands;
        if self.due > now + COMMAND_INTERVAL * BURST && self.guard.is_none() {
            self.guard = Some(PausedGuard::new(&self.paused));
        }
    }

    fn interval(&self) -> Duration {
        COMMAND_INTERVAL * (1 + self.paused.get() / PAUSED_PER_INTERVAL)
    }

    /// Until when nothing more is read; `None` if the connection is not paused.
    pub(super) fn paused_until(&mut self) -> Option<Instant> {
        self.guard.as_ref()?;
        // Half of a burst is let through at a time.
        let until = self.due - COMMAND_INTERVAL * (BURST / 2);
        if Instant::now() >= until {
            self.guard = None;
            return None;
        }
        Some(until)
    }
}
