//! What a member may do, by how much of the roster it is in touch with. Serving goes on in every standing; what binds
//! the group, and every lift, needs a majority.
use serde::{Deserialize, Serialize};

use crate::settings::{Micros, MS, SECOND};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum QuorumStatus {
    /// Just started, or just awake: it has not heard enough.
    Settling,
    /// All of the roster are there.
    Whole,
    /// More than half are.
    Majority,
    /// Half or fewer are, but not this one alone.
    Minority,
    Alone,
}

impl QuorumStatus {
    /// Whether it may do what binds the group, and lift what holds.
    pub fn has_quorum(self) -> bool {
        matches!(self, QuorumStatus::Whole | QuorumStatus::Majority)
    }

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

/// A loss of the majority is believed soon, since what follows is only that less is done; a gain has to last.
const DOWN_AFTER: Micros = 300 * MS;
const UP_AFTER: Micros = SECOND;
/// One that has heard of nobody enough by then has what it has.
const SETTLED_AFTER: Micros = 5 * SECOND;

/// What is counted, of the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RosterCount {
    pub roster: usize,
    /// Alive without doubt, this one among them.
    pub sure: usize,
    /// Those under suspicion.
    pub doubtful: usize,
}

impl RosterCount {
    fn standing(self) -> QuorumStatus {
        if self.sure * 2 > self.roster {
            match self.sure + self.doubtful >= self.roster {
                true => QuorumStatus::Whole,
                false => QuorumStatus::Majority,
            }
        } else if self.sure > 1 {
            QuorumStatus::Minority
        } else {
            QuorumStatus::Alone
        }
    }
}

/// The standing in force, and the one that may follow it.
#[derive(Debug)]
pub struct QuorumView {
    pub now: QuorumStatus,
    pub since: Micros,
    next: Option<(QuorumStatus, Micros)>,
    settling_since: Micros,
    /// A full exchange has been made since then.
    exchanged: bool,
}

impl QuorumView {
    pub fn new(now: Micros) -> Self {
        QuorumView {
            now: QuorumStatus::Settling,
            since: now,
            next: None,
            settling_since: now,
            exchanged: false,
        }
    }

    /// Danger: one that has slept believes what held before; it knows nothing until it has heard anew.
    pub fn reset(&mut self, now: Micros) {
        *self = QuorumView {
            since: if self.now == QuorumStatus::Settling {
                self.since
            } else {
                now
            },
            ..QuorumView::new(now)
        };
    }

    pub fn exchanged(&mut self) {
        self.exchanged = true;
    }

    /// The new standing, if it has changed.
    pub fn update(&mut self, now: Micros, census: RosterCount) -> Option<QuorumStatus> {
        let seen = census.standing();
        if seen == self.now {
            self.next = None;
            return None;
        }
        let since = match self.next {
            Some((next, since)) if next == seen => since,
            // Danger: a link that flaps would flap the standing with it; each new opinion has to last by itself.
            _ => now,
        };
        self.next = Some((seen, since));
        let wait = match self.now {
            QuorumStatus::Settling if !self.exchanged || !seen.has_quorum() => {
                SETTLED_AFTER - (now - self.settling_since).min(SETTLED_AFTER)
            }
            QuorumStatus::Settling => DOWN_AFTER,
            _ if self.now.has_quorum() => DOWN_AFTER,
            _ => UP_AFTER,
        };
        if self.now == QuorumStatus::Settling && (!self.exchanged || !seen.has_quorum()) {
            if wait > 0 {
                return None;
            }
        } else if now - since < wait {
            return None;
        }
        (self.now, self.since, self.next) = (seen, now, None);
        Some(seen)
    }
}
