//! Quorum status of a member: how much of the roster it is in contact with, and so which cordon orders it may accept.
//! Requests are served in every status; decisions that bind the group, and every lift of a cordon, need a majority.
use serde::{Deserialize, Serialize};
use stairfront_common::time::{Micros, MS, SECOND};

/// How much of the roster a member is in contact with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum QuorumStatus {
    /// The process has just started or resumed and has not yet learned the state of the group.
    Settling,
    /// The whole roster is present.
    Whole,
    /// More than half of the roster is alive without doubt.
    Majority,
    /// Half of the roster or less, but at least one other member.
    Minority,
    /// No other member of the roster.
    Alone,
}

impl QuorumStatus {
    /// Whether the member may take decisions that bind the group, and lift cordons.
    #[must_use]
    pub fn has_quorum(self) -> bool {
        matches!(self, QuorumStatus::Whole | QuorumStatus::Majority)
    }

    /// The status's name in JSON and for operators.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            QuorumStatus::Settling => "settling",
            QuorumStatus::Whole => "whole",
            QuorumStatus::Majority => "majority",
            QuorumStatus::Minority => "minority",
            QuorumStatus::Alone => "alone",
        }
    }
}

/// Time for which a status below one with a quorum has to last. It is short, since a loss only makes a member do less.
const QUORUM_LOSS_DELAY: Micros = 300 * MS;
/// Time for which a better status has to last.
const QUORUM_GAIN_DELAY: Micros = SECOND;
/// Time after which a member that has not found a quorum stops settling.
const SETTLING_TIMEOUT: Micros = 5 * SECOND;

/// Number of the roster's members by presence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RosterCount {
    /// All members of the roster.
    pub roster: usize,
    /// Members that are alive without doubt, this one included.
    pub confirmed: usize,
    /// Members that are present, but suspected or in doubt.
    pub doubtful: usize,
}

impl RosterCount {
    fn status(self) -> QuorumStatus {
        let has_majority = self.confirmed * 2 > self.roster;
        if has_majority && self.confirmed + self.doubtful >= self.roster {
            QuorumStatus::Whole
        } else if has_majority {
            QuorumStatus::Majority
        } else if self.confirmed > 1 {
            QuorumStatus::Minority
        } else {
            QuorumStatus::Alone
        }
    }
}

/// A status that was observed and is not yet in force.
#[derive(Clone, Copy, Debug)]
struct PendingStatus {
    status: QuorumStatus,
    since: Micros,
}

/// The quorum status in force, with hysteresis: a new status has to last before it comes into force.
#[derive(Debug)]
pub struct QuorumView {
    /// Status in force.
    pub status: QuorumStatus,
    /// Time at which the status came into force.
    pub since: Micros,
    pending: Option<PendingStatus>,
    settling_since: Micros,
    /// A push/pull exchange has been completed since settling began.
    push_pull_done: bool,
}

impl QuorumView {
    /// The view of a process that starts.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        QuorumView {
            status: QuorumStatus::Settling,
            since: now,
            pending: None,
            settling_since: now,
            push_pull_done: false,
        }
    }

    /// Settles anew, after a stall of the process: the state that it knows of the group is as old as the stall.
    pub fn reset(&mut self, now: Micros) {
        let since = if self.status == QuorumStatus::Settling {
            self.since
        } else {
            now
        };
        *self = QuorumView {
            since,
            ..QuorumView::new(now)
        };
    }

    /// Records that a push/pull exchange was completed.
    pub fn record_push_pull(&mut self) {
        self.push_pull_done = true;
    }

    /// Takes a new count; returns the new status if it has changed.
    pub fn update(&mut self, now: Micros, count: RosterCount) -> Option<QuorumStatus> {
        let observed = count.status();
        if observed == self.status {
            self.pending = None;
            return None;
        }
        let since = match self.pending {
            Some(pending) if pending.status == observed => pending.since,
            // Each observed status has to last by itself, so that a flapping link does not flap the status.
            _ => now,
        };
        self.pending = Some(PendingStatus {
            status: observed,
            since,
        });
        if !self.is_due(now, observed, since) {
            return None;
        }
        self.status = observed;
        self.since = now;
        self.pending = None;
        Some(observed)
    }

    /// Whether a status observed without interruption since `since` comes into force.
    fn is_due(&self, now: Micros, observed: QuorumStatus, since: Micros) -> bool {
        match self.status {
            QuorumStatus::Settling if !self.push_pull_done || !observed.has_quorum() => {
                now - self.settling_since >= SETTLING_TIMEOUT
            }
            QuorumStatus::Settling => now - since >= QUORUM_LOSS_DELAY,
            status if status.has_quorum() => now - since >= QUORUM_LOSS_DELAY,
            _ => now - since >= QUORUM_GAIN_DELAY,
        }
    }
}
