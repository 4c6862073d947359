//! A process that starts asks the other members for the group's cordons before it serves.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS};

use super::Membership;
use crate::packet::Body;

/// Interval between two queries to members that have not answered.
const QUERY_INTERVAL: Micros = 60 * MS;
/// Members that are asked at once, at least; in a large group it is half of the roster.
const MIN_QUERY_FANOUT: usize = 16;

/// The answers so far of the other members.
#[derive(Default)]
pub(super) struct BootstrapQuery {
    next_query: Micros,
    /// Members whose whole cordon set has arrived.
    answered: BTreeSet<String>,
    /// Pages that have arrived, by member.
    pages: BTreeMap<String, BTreeSet<u16>>,
}

impl Membership {
    /// Begins to ask the other members for the group's cordons.
    pub fn begin_bootstrap(&mut self, now: Micros) {
        self.bootstrap = Some(BootstrapQuery {
            next_query: now,
            ..BootstrapQuery::default()
        });
    }

    /// Whether a majority of the roster, this member included, has answered, or no question was asked.
    #[must_use]
    pub fn is_bootstrapped(&self) -> bool {
        self.bootstrap
            .as_ref()
            .is_none_or(|query| (query.answered.len() + 1) * 2 > self.settings.roster.len())
    }

    pub(super) fn run_bootstrap(&mut self, now: Micros) {
        if self.is_bootstrapped() {
            self.bootstrap = None;
        }
        let Some(query) = self
            .bootstrap
            .as_mut()
            .filter(|query| query.next_query <= now)
        else {
            return;
        };
        query.next_query = now + QUERY_INTERVAL;
        let mut targets: BTreeSet<SocketAddr> = self
            .table
            .peers
            .iter()
            .filter(|(name, _)| !query.answered.contains(*name))
            .filter_map(|(_, peer)| peer.address)
            .collect();
        targets.extend(self.other_seeds());
        // In a large group it is enough to ask for more than a majority over several queries.
        let fanout = self.settings.roster.len().div_ceil(2).max(MIN_QUERY_FANOUT);
        for address in self.rng.sample(targets.into_iter().collect(), fanout) {
            self.send(address, &Body::CordonQuery, Vec::new());
        }
    }

    /// Records one page of a member's cordon set; its entries were merged already.
    pub(super) fn handle_cordon_page(&mut self, from: &str, page: u16, pages: u16) {
        let Some(query) = &mut self.bootstrap else {
            return;
        };
        if !self.settings.roster.iter().any(|name| name == from) {
            return;
        }
        let received = query.pages.entry(from.to_string()).or_default();
        if page < pages {
            received.insert(page);
        }
        if received.len() >= usize::from(pages) {
            query.answered.insert(from.to_string());
        }
    }
}
