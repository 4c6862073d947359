//! How old input may be that is read now: it may have come at any time since its source was last seen empty.
//!
//! The event loop reports input that came since it last polled the network, and a process that stood still polls late. The
//! time of a read says only when input had come at the latest.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::coop::has_budget_remaining;

use crate::clock::Instant;

/// Between two ticks of a [`PollClock`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Input whose arrival is uncertain by no more than this counts as read in time. A loop that is in time polls once in a
/// tick, and the bound is two ticks old at the most.
const USUAL_UNCERTAINTY: Duration = Duration::from_millis(30);
/// With so many bytes at once the sender may have been held up: that is half of the usual first receive window (tcp(7)).
const HELD_UP_BYTES: u64 = 32 * 1024;
/// Bytes that a sender that is held up may have written behind what has come: the usual greatest send buffer (tcp(7)).
const MAX_SEND_BUFFER: u64 = 4 * 1024 * 1024;

/// When the event loop has surely polled the network.
///
/// One task ticks it, which waits for a timer in between and so for a poll. Tasks run in the order in which they are woken,
/// and a poll reports input before it wakes timers. So a task that runs now, and was woken by input, was woken by a later
/// poll than the last tick. The poll before that began after the tick before the last, and had not found the input.
#[derive(Debug)]
pub struct PollClock {
    last_tick: Cell<Instant>,
    tick_before: Cell<Instant>,
}

impl PollClock {
    /// A clock that has ticked now.
    pub fn start() -> Self {
        let now = Instant::now();
        PollClock {
            last_tick: Cell::new(now),
            tick_before: Cell::new(now),
        }
    }

    /// Records that the ticking task runs.
    pub fn tick(&self) {
        self.tick_before.set(self.last_tick.replace(Instant::now()));
    }

    /// Input that has woken the task that runs now came after this.
    pub fn last_poll_without(&self) -> Instant {
        self.tick_before.get()
    }
}

/// Follows one source of input: when it was last seen empty, and so how old its input may be.
#[derive(Debug)]
pub struct InputWatch {
    polls: Rc<PollClock>,
    empty_at: Cell<Instant>,
    /// Whether its task has waited for input, and for nothing else, since the source was last seen empty.
    is_awaited: Cell<bool>,
    /// Bytes read so far.
    position: Cell<u64>,
    /// What had come while bytes were left behind a read.
    backlog: Cell<Option<Backlog>>,
    /// Whether its sender may have been held up since it was last waited for: what comes now was written earlier.
    is_held_up: Cell<bool>,
}

/// How far the input of a source had come at one time.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    end: u64,
    at: Instant,
}

impl InputWatch {
    /// Follows a source that held nothing at this time.
    pub fn new(polls: &Rc<PollClock>, empty_at: Instant) -> Self {
        InputWatch {
            polls: Rc::clone(polls),
            empty_at: Cell::new(empty_at),
            is_awaited: Cell::new(false),
            position: Cell::new(0),
            backlog: Cell::new(None),
            is_held_up: Cell::new(false),
        }
    }

    /// Notes that the task may have waited for something else, and returns to this source.
    pub fn resume(&self) {
        self.is_awaited.set(false);
    }

    /// Whether input that is unread at this time may have waited for longer than usual.
    pub fn is_old(&self, now: Instant) -> bool {
        ArrivalTime::between(self.empty_at.get(), now).is_uncertain()
    }

    /// Notes that the source was polled and has nothing yet.
    pub fn note_pending(&self) {
        // A task that has used up its share of a turn is told to wait without a look at the source.
        if has_budget_remaining() {
            self.is_held_up.set(false);
            self.note_empty(self.polls.last_poll_without());
            self.is_awaited.set(true);
        }
    }

    /// Notes that a read, asked for at this time, has taken all that was there. It says nothing of a sender that was held up
    /// until then.
    pub fn note_drained(&self, at: Instant) {
        if !self.is_held_up.get() {
            self.note_empty(at);
        }
    }

    /// Number of bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.position.get()
    }

    /// Notes that the source held nothing at this time.
    pub fn note_empty(&self, at: Instant) {
        self.empty_at.set(self.empty_at.get().max(at));
    }

    /// Notes that so many bytes were read, and so many were left; the read ones came after the time that is returned.
    pub fn note_bytes(&self, read: usize, unread: u64) -> Instant {
        if read as u64 + unread >= HELD_UP_BYTES {
            self.is_held_up.set(true);
        }
        let begin = self.position.get();
        self.position.set(begin + read as u64);
        if let Some(passed) = self.backlog.get().filter(|backlog| backlog.end <= begin) {
            self.note_empty(passed.at);
            self.backlog.set(None);
        }
        self.note_input()
    }

    /// Notes that so many bytes were left behind a read, asked for at this time. What comes behind them comes later: of a
    /// client that always has some waiting nothing else shows that.
    pub fn note_backlog(&self, at: Instant, unread: u64) {
        if self.backlog.get().is_none() {
            let behind = if self.is_held_up.get() {
                MAX_SEND_BUFFER
            } else {
                0
            };
            let end = self.position.get() + unread + behind;
            self.backlog.set(Some(Backlog { end, at }));
        }
    }

    /// Notes that input has been read; it came after the time that is returned.
    pub fn note_input(&self) -> Instant {
        if self.is_awaited.get() {
            self.note_empty(self.polls.last_poll_without());
        }
        self.empty_at.get()
    }
}

/// When a command came: at some time between two that are known.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalTime {
    earliest: Instant,
    latest: Instant,
}

impl ArrivalTime {
    /// A command that came after `earliest`, and was there at `latest`.
    pub fn between(earliest: Instant, latest: Instant) -> Self {
        ArrivalTime { earliest, latest }
    }

    /// From when its age counts: it came no earlier, but for the usual uncertainty of a loop that is in time.
    pub fn counted_from(self) -> Instant {
        if self.is_uncertain() {
            self.earliest
        } else {
            self.latest
        }
    }

    /// Whether its arrival is more uncertain than that of input which is read in time.
    pub fn is_uncertain(self) -> bool {
        self.uncertainty() > USUAL_UNCERTAINTY
    }

    /// By how much its arrival is uncertain.
    pub fn uncertainty(self) -> Duration {
        self.latest.saturating_duration_since(self.earliest)
    }
}
