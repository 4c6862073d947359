//! What one member's discovery told of drains and ends reaches the others, whose agents may be late. Hearsay only ever
//! stops sending: for a while, never at more than a part of the fleet at once, and never against a list of one's own
//! that is as new.
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::settings::Micros;

/// Of the listed cache hosts at most this part, one at least. Danger: a wrong word about all of them would stop all.
const MOST_PART: f64 = 0.25;
/// News remembered, so that each is taken up and passed on once.
const MOST_REMEMBERED: usize = 512;

/// A host leaves, by the list of that index, as `by` was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNews {
    pub host: String,
    pub index: u64,
    pub by: String,
}

/// What this member's own discovery has told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainAnnouncement {
    pub index: u64,
    /// Cache hosts that the list has now.
    pub hosts: usize,
    /// Those that it says drain or are gone.
    pub leaving: Vec<String>,
}

/// What is to be done about a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HintTransition {
    Stop(String),
    /// The list says what holds.
    Trust(String),
}

#[derive(Debug, Default)]
pub struct DrainHints {
    index: u64,
    hosts: usize,
    /// Held back until then, by news of that index.
    held: BTreeMap<String, (Micros, u64)>,
    remembered: VecDeque<(String, u64)>,
    /// News that the part of the fleet kept from being taken up.
    pub over_part: u64,
}

impl DrainHints {
    /// Own news: hearsay that is not newer is over. What is worth passing on.
    pub fn told(
        &mut self,
        told: &DrainAnnouncement,
        me: &str,
    ) -> (Vec<DrainNews>, Vec<HintTransition>) {
        (self.index, self.hosts) = (told.index, told.hosts);
        let over: Vec<String> = self
            .held
            .iter()
            .filter(|(_, (_, by))| *by <= told.index)
            .map(|(host, _)| host.clone())
            .collect();
        self.held.retain(|host, _| !over.contains(host));
        let fresh = |host: &&String| {
            self.remembered
                .iter()
                .all(|(known, at)| known != *host || *at < told.index)
        };
        let news: Vec<DrainNews> = told
            .leaving
            .iter()
            .filter(fresh)
            .map(|host| DrainNews {
                host: host.clone(),
                index: told.index,
                by: me.to_string(),
            })
            .collect();
        news.iter().for_each(|news| self.remember(news));
        (news, over.into_iter().map(HintTransition::Trust).collect())
    }

    fn remember(&mut self, news: &DrainNews) {
        self.remembered.push_back((news.host.clone(), news.index));
        if self.remembered.len() > MOST_REMEMBERED {
            self.remembered.pop_front();
        }
    }

    /// Somebody else's news: whether it is new here and worth passing on, and what to do.
    pub fn heard(
        &mut self,
        now: Micros,
        news: &DrainNews,
        for_long: Micros,
    ) -> (bool, Option<HintTransition>) {
        if self
            .remembered
            .iter()
            .any(|(host, index)| *host == news.host && *index >= news.index)
        {
            return (false, None);
        }
        self.remember(news);
        // Danger: an older word than one's own would stop what discovery has since called back.
        if news.index <= self.index {
            return (true, None);
        }
        let most = ((self.hosts as f64 * MOST_PART) as usize).max(1);
        if self.held.len() >= most && !self.held.contains_key(&news.host) {
            self.over_part += 1;
            return (true, None);
        }
        self.held
            .insert(news.host.clone(), (now + for_long, news.index));
        (true, Some(HintTransition::Stop(news.host.clone())))
    }

    /// What hearsay may not hold back any longer.
    pub fn tick(&mut self, now: Micros) -> Vec<HintTransition> {
        let over = self
            .held
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(host, _)| host.clone());
        let over: Vec<String> = over.collect();
        self.held.retain(|host, _| !over.contains(host));
        over.into_iter().map(HintTransition::Trust).collect()
    }

    pub fn held(&self) -> usize {
        self.held.len()
    }
}
