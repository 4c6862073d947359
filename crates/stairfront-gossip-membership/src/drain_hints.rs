//! Drain hints: one member's discovery says that a cache host drains, and the other members, whose discovery may be late,
//! stop sending new requests there. A hint only ever stops requests, for a limited time, for a limited part of the fleet,
//! and never against an own endpoint list that is as new.
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use stairfront_common::time::Micros;

/// Largest part of the listed cache hosts that hints may stop, one host at least: wrong hints about all of them would
/// otherwise stop all requests.
const MAX_HINTED_FRACTION: f64 = 0.25;
/// Notices that are remembered, so that each is applied and passed on once.
const MAX_REMEMBERED: usize = 512;

/// A cache host drains or is removed according to one member's endpoint list; gossiped to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNotice {
    /// The cache host.
    pub host: String,
    /// Index of the endpoint list that says so.
    pub index: u64,
    /// Member whose discovery has that list.
    pub by: String,
}

/// Draining hosts according to this member's own discovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainAnnouncement {
    /// Index of the endpoint list.
    pub index: u64,
    /// Number of cache hosts in the list.
    pub hosts: usize,
    /// Hosts that the list marks as draining, or no longer has.
    pub leaving: Vec<String>,
}

/// Change of the treatment of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HintTransition {
    /// Stop new requests to this host.
    Stop(String),
    /// The own endpoint list decides about this host again.
    Release(String),
}

/// Reaction to a notice from another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticeOutcome {
    /// The notice is new here and is to be passed on.
    pub is_new: bool,
    /// Change of the treatment of the host, if any.
    pub transition: Option<HintTransition>,
}

/// Reaction to an announcement by the own discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementOutcome {
    /// Notices to gossip.
    pub notices: Vec<DrainNotice>,
    /// Hosts about which the own list decides again.
    pub transitions: Vec<HintTransition>,
}

#[derive(Debug)]
struct Hint {
    until: Micros,
    index: u64,
}

/// Hints in force, and the notices that were handled.
#[derive(Debug, Default)]
pub struct DrainHints {
    own_index: u64,
    hosts: usize,
    hints: BTreeMap<String, Hint>,
    remembered: VecDeque<(String, u64)>,
    /// Number of notices that were not applied because of the limit on the part of the fleet.
    pub over_limit: u64,
}

impl DrainHints {
    /// Handles an announcement by the own discovery; hints that are not newer than it end.
    pub fn handle_announcement(
        &mut self,
        announcement: &DrainAnnouncement,
        own_name: &str,
    ) -> AnnouncementOutcome {
        self.own_index = announcement.index;
        self.hosts = announcement.hosts;
        let transitions = self.release(|hint| hint.index <= announcement.index);
        let is_new = |host: &&String| {
            self.remembered
                .iter()
                .all(|(known, index)| known != *host || *index < announcement.index)
        };
        let notices: Vec<DrainNotice> = announcement
            .leaving
            .iter()
            .filter(is_new)
            .map(|host| DrainNotice {
                host: host.clone(),
                index: announcement.index,
                by: own_name.to_string(),
            })
            .collect();
        for notice in &notices {
            self.remember(notice);
        }
        AnnouncementOutcome {
            notices,
            transitions,
        }
    }

    fn remember(&mut self, notice: &DrainNotice) {
        self.remembered
            .push_back((notice.host.clone(), notice.index));
        if self.remembered.len() > MAX_REMEMBERED {
            self.remembered.pop_front();
        }
    }

    /// Handles another member's notice. A hint that follows from it lasts for `ttl`.
    pub fn handle_notice(
        &mut self,
        now: Micros,
        notice: &DrainNotice,
        ttl: Micros,
    ) -> NoticeOutcome {
        let is_known = self
            .remembered
            .iter()
            .any(|(host, index)| *host == notice.host && *index >= notice.index);
        if is_known {
            return NoticeOutcome {
                is_new: false,
                transition: None,
            };
        }
        self.remember(notice);
        NoticeOutcome {
            is_new: true,
            transition: self.apply(now, notice, ttl),
        }
    }

    fn apply(&mut self, now: Micros, notice: &DrainNotice, ttl: Micros) -> Option<HintTransition> {
        // A notice by an older list would stop a host that discovery has called back since.
        if notice.index <= self.own_index {
            return None;
        }
        let max = ((self.hosts as f64 * MAX_HINTED_FRACTION) as usize).max(1);
        if self.hints.len() >= max && !self.hints.contains_key(&notice.host) {
            self.over_limit += 1;
            return None;
        }
        let hint = Hint {
            until: now + ttl,
            index: notice.index,
        };
        self.hints.insert(notice.host.clone(), hint);
        Some(HintTransition::Stop(notice.host.clone()))
    }

    /// Ends the hints whose time is over.
    pub fn tick(&mut self, now: Micros) -> Vec<HintTransition> {
        self.release(|hint| hint.until <= now)
    }

    fn release(&mut self, is_over: impl Fn(&Hint) -> bool) -> Vec<HintTransition> {
        let released: Vec<String> = self
            .hints
            .iter()
            .filter(|(_, hint)| is_over(hint))
            .map(|(host, _)| host.clone())
            .collect();
        for host in &released {
            self.hints.remove(host);
        }
        released.into_iter().map(HintTransition::Release).collect()
    }
}
