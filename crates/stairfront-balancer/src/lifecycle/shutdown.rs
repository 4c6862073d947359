//! The end of a balancer process: SIGTERM, and the phases that follow.
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_policy::interface::Settings;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tracing::info;

use crate::arrival::{ArrivalTime, PollClock};
use crate::clock::{sleep_until, Instant};

/// New connections still arrive 0.2 to 0.4 s after SIGTERM; those that the kernel has accepted must be served.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// A request that arrives later than 0.7 s after SIGTERM is lost if SIGKILL finds it unanswered; it is not read.
const READ_PERIOD: Duration = Duration::from_millis(200);
/// Each phase lasts as long at least, however late the signal was seen: what has come meanwhile is accepted and read.
const MIN_PHASE: Duration = Duration::from_millis(100);
/// SIGKILL comes no sooner than the longest deadline, of which no more than this counts...
const MAX_DEADLINE: Micros = 3 * SECOND;
/// ...and 0.7 s more after SIGTERM, less what an answer may take to be written.
const MARGIN: Micros = 650 * MS;

/// How long a process lives at least after it has been told to end.
pub fn min_remaining_lifetime(settings: &Settings) -> Micros {
    let longest = settings.classes.iter().map(|class| class.deadline).max();
    longest.unwrap_or(MAX_DEADLINE).min(MAX_DEADLINE) + MARGIN
}

/// How far the end of this process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not told to end.
    Running,
    /// Connections are still accepted, and closed between requests.
    Draining,
    /// The listener is closed, and idle connections with it; busy ones are still read from.
    Closing,
    /// Nothing is read any more; open requests are answered.
    Last,
    /// A successor has the listener and gets the connections, each as soon as no request on it is open.
    HandingOver,
}

impl Phase {
    /// Whether this process accepts no further connection.
    pub fn listener_closed(self) -> bool {
        matches!(self, Phase::Closing | Phase::Last | Phase::HandingOver)
    }

    /// Whether connections go to a successor.
    pub fn hands_over(self) -> bool {
        self == Phase::HandingOver
    }

    /// Whether a client connection between requests is closed; `used` if it has carried one before.
    pub fn closes_idle(self, used: bool) -> bool {
        match self {
            Phase::Running | Phase::HandingOver => false,
            Phase::Draining => used,
            Phase::Closing | Phase::Last => true,
        }
    }
}

/// When the end of this process was requested, at the earliest; set before the phase changes.
pub type ShutdownTime = Rc<Cell<Option<Instant>>>;

/// Follows the signals that request the end of the process.
pub struct SignalWatch {
    /// Gets each phase.
    pub phase: watch::Sender<Phase>,
    /// Gets the time of the signal.
    pub requested_at: ShutdownTime,
    /// When the event loop has polled: a signal may have come during a stall.
    pub polls: Rc<PollClock>,
}

impl SignalWatch {
    /// Moves the phase on at SIGTERM (or SIGINT, for a person at a terminal). `has_successor` says whether another process
    /// has the listener.
    ///
    /// # Errors
    ///
    /// If the signals cannot be caught.
    pub async fn run(self, has_successor: impl Fn() -> bool) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let seen_at = Instant::now();
        let requested_at =
            ArrivalTime::between(self.polls.last_poll_without(), seen_at).counted_from();
        self.requested_at.set(Some(requested_at));
        let late_ms = (seen_at - requested_at).as_millis() as u64;
        if has_successor() {
            info!(
                late_ms,
                "stopping: handing connections over between requests"
            );
            self.phase.send_replace(Phase::HandingOver);
            self.phase.closed().await;
            return Ok(());
        }
        info!(late_ms, "stopping: closing connections between requests");
        self.phase.send_replace(Phase::Draining);
        let accept_until = (requested_at + ACCEPT_PERIOD).max(seen_at + MIN_PHASE);
        sleep_until(accept_until).await;
        self.phase.send_replace(Phase::Closing);
        let read_until = (requested_at + ACCEPT_PERIOD + READ_PERIOD).max(accept_until + MIN_PHASE);
        sleep_until(read_until).await;
        self.phase.send_replace(Phase::Last);
        // The receivers' side ends the process; until then the phase must stay readable.
        self.phase.closed().await;
        Ok(())
    }
}
