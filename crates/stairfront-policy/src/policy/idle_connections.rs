//! Idle connections that something on the path drops unseen: a device that forgets them notifies
//! neither end, and what is sent on one is lost.
use stairfront_common::time::{Micros, MS, SECOND};

use crate::interface::Outcome;

/// Idle time below which a connection is not suspected.
const MIN_IDLE: Micros = 300 * MS;
/// Attempts lost in a row on idle connections that show it.
const MIN_LOSSES: u32 = 2;
/// How long connections that were idle for longer than the limit are not used after a loss.
const LIMIT_TTL: Micros = 20 * SECOND;

/// Conclusion from an outcome about the connection that its attempt was sent on.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct IdleVerdict {
    /// The attempt may have been lost with an idle connection, so it says nothing of its server.
    pub(super) possibly_lost: bool,
    /// Losses were detected that no limit was known for.
    pub(super) newly_detected: bool,
}

/// The idle time after which connections are dropped unseen, as learned from losses.
pub(super) struct IdleConnections {
    idle_limit: Micros,
    lost_at: Micros,
    consecutive_losses: u32,
}

impl Default for IdleConnections {
    fn default() -> Self {
        IdleConnections {
            idle_limit: 0,
            lost_at: -LIMIT_TTL,
            consecutive_losses: 0,
        }
    }
}

impl IdleConnections {
    /// Whether a connection that has been idle for so long is to be closed before use.
    pub(super) fn must_close(&self, now: Micros, idle: Micros) -> bool {
        self.limit_is_known(now) && idle >= self.idle_limit
    }

    /// Learns from the outcome of an attempt on a connection that had been idle for so long.
    pub(super) fn record(&mut self, now: Micros, idle: Micros, outcome: Outcome) -> IdleVerdict {
        if idle < MIN_IDLE || outcome == Outcome::NeverSent {
            return IdleVerdict::default();
        }
        let lost = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset
        );
        self.consecutive_losses = if lost { self.consecutive_losses + 1 } else { 0 };
        let known = self.limit_is_known(now);
        let detected = lost && (self.consecutive_losses >= MIN_LOSSES || known);
        if detected {
            let upper_bound = if known { self.idle_limit } else { idle };
            // The true limit lies anywhere below the idle time that was lost.
            self.idle_limit = upper_bound.min(idle / 2).max(MIN_IDLE);
            self.lost_at = now;
        }
        IdleVerdict {
            possibly_lost: lost,
            newly_detected: detected && !known,
        }
    }

    fn limit_is_known(&self, now: Micros) -> bool {
        now - self.lost_at < LIMIT_TTL
    }
}
