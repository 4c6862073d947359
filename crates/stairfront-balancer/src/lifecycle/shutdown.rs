//! The end of a balancer's life: SIGTERM, and the phases that follow.
use std::io;
use std::time::Duration;

use stairfront_policy::interface::{Micros, Settings, MS, SECOND};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tracing::info;

use crate::clock::sleep;

/// New connections go on coming for 0.2 to 0.4 s after SIGTERM; those accepted by the machine must be served.
const STILL_COMING: Duration = Duration::from_millis(500);
/// What comes later than 0.7 s after SIGTERM is lost if SIGKILL finds it unanswered: better it is not read.
const STILL_READ: Duration = Duration::from_millis(200);

/// SIGKILL comes no sooner than the longest deadline, of which no more than this counts...
const LONGEST_SPARED: Micros = 3 * SECOND;
/// ...and 0.7 s more after SIGTERM, less what an answer may take to be written.
const SPARED_BEYOND: Micros = 650 * MS;

/// How long a process lives at least after it has been told to end.
pub fn life_left(settings: &Settings) -> Micros {
    let longest = settings.classes.iter().map(|class| class.deadline).max();
    longest.unwrap_or(LONGEST_SPARED).min(LONGEST_SPARED) + SPARED_BEYOND
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Running,
    /// Connections are still accepted, and closed between requests.
    Draining,
    /// The listener is closed, and idle connections with it; busy ones are still read from.
    Closing,
    /// Nothing is read any more; what is open is answered.
    Last,
    /// A successor has the listener and gets the connections, each as soon as no request on it is open.
    HandingOver,
}

impl Phase {
    pub fn listener_closed(self) -> bool {
        matches!(self, Phase::Closing | Phase::Last | Phase::HandingOver)
    }

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

/// Moves the phase on at SIGTERM (or SIGINT, for a person at a terminal).
/// `has_successor` tells whether another process has the listener.
pub async fn watch_signals(
    phase: watch::Sender<Phase>,
    has_successor: impl Fn() -> bool,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    if has_successor() {
        info!("told to stop: handing connections over between requests");
        phase.send_replace(Phase::HandingOver);
        phase.closed().await;
        return Ok(());
    }
    info!("told to stop: closing connections between requests");
    phase.send_replace(Phase::Draining);
    sleep(STILL_COMING).await;
    phase.send_replace(Phase::Closing);
    sleep(STILL_READ).await;
    phase.send_replace(Phase::Last);
    // The receivers' side ends the run; until then the phase must stay known.
    phase.closed().await;
    Ok(())
}
