//! The endpoint list: which servers exist, from discovery's full lists and watch events.
use std::collections::BTreeSet;

use stairfront_common::time::{Micros, SECOND};

use super::concurrency_limit::{initial_window, window_step};
use super::outlier_detection::MAX_CHANCE_FAULTS;
use super::server::{Role, Server};
use super::slow_start::MEASUREMENT_INTERVAL;
use super::timer_token::TimerToken;
use super::Policy;
use crate::interface::{
    Action, CacheId, CacheMode, DiscoveryMode, Endpoint, EndpointListUpdate, EndpointState,
};

/// A list that removes at least this fraction of the ready servers at once is doubted.
const DOUBTED_FRACTION: f64 = 0.25;
/// Most doublings of the backoff between polls.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Spread of the polls of all balancers, per balancer.
const POLL_SPREAD_PER_BALANCER: Micros = SECOND / 2;
/// Fraction of the time allowed without a call to discovery within which a balancer polls.
const POLL_FRACTION: f64 = 0.7;

/// State of the endpoint list as a whole.
#[derive(Default)]
pub(super) struct ListState {
    /// Number of servers in the last full list.
    pub(super) size: f64,
    /// A first list has come.
    started: bool,
    /// Removals by the current list are judged by the outcomes of attempts.
    doubted: bool,
    /// The watch of the list is open, so its events arrive.
    subscribed: bool,
    /// Failed polls and broken watches in a row, up to a bound.
    failures: u32,
}

impl Policy {
    /// Handles news of the list.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Micros,
        update: EndpointListUpdate<'_>,
        actions: &mut Vec<Action>,
    ) {
        let entries = match update {
            EndpointListUpdate::Failed => {
                self.list.subscribed = false;
                self.list.failures = (self.list.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
                return self.schedule_poll(actions);
            }
            EndpointListUpdate::Delta(entries) => {
                self.doubt_removals(&removed_by(entries));
                entries
            }
            EndpointListUpdate::Full(entries) | EndpointListUpdate::Cached(entries) => {
                self.list.size = entries.len() as f64;
                self.remove_unlisted(entries);
                entries
            }
        };
        for entry in entries {
            self.accept_endpoint(now, entry);
        }
        self.list.subscribed = !matches!(update, EndpointListUpdate::Cached(_));
        self.list.failures = 0;
        self.servers.retain(|_, server| {
            server.endpoint.state != EndpointState::Removed || server.in_flight > 0
        });
        self.rebuild_ring();
        self.fleet_rates.measured_at = now - MEASUREMENT_INTERVAL;
        if !self.list.started {
            self.list.started = true;
            self.schedule_poll(actions);
        }
    }

    /// Removes what a full list lacks.
    fn remove_unlisted(&mut self, entries: &[Endpoint]) {
        let listed: BTreeSet<CacheId> = entries.iter().map(|entry| entry.id).collect();
        let unlisted: Vec<CacheId> = self
            .servers
            .values()
            .map(Server::id)
            .filter(|id| !listed.contains(id))
            .collect();
        self.doubt_removals(&unlisted);
        for id in unlisted {
            self.remove_endpoint(id);
        }
    }

    /// Decides whether the removal of these servers is doubted.
    ///
    /// A list that removes much of the fleet sends all requests to the few servers that remain,
    /// which fail one by one. Where only draining is binding such a list is doubted: so many
    /// servers do not stop within one change of it, and attempts show which have. A few at once
    /// likely have stopped.
    fn doubt_removals(&mut self, removed: &[CacheId]) {
        let known = removed.iter().filter_map(|id| self.servers.get(id));
        let removed_ready = known.filter(|server| server.is_ready()).count();
        let all_ready = self.servers.values().filter(|s| s.is_ready()).count();
        self.list.doubted = self.settings.rules.removal_is_advisory
            && removed_ready as f64 >= DOUBTED_FRACTION * all_ready as f64;
    }

    /// Removes a server, or marks its removal as doubted. The removal of one that drains or is
    /// cordoned is final.
    fn remove_endpoint(&mut self, id: CacheId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.removal_doubted = (self.list.doubted || server.removal_doubted) && server.is_ready();
        if !server.removal_doubted {
            server.endpoint.state = EndpointState::Removed;
            server.listed.state = EndpointState::Removed;
        }
    }

    /// Makes a doubted removal final once attempts at the server fail. A wrong list or a server
    /// that is really gone thus costs a few failed attempts.
    pub(super) fn confirm_removal(&mut self, cache: CacheId) {
        let Some(server) = self.servers.get_mut(&cache) else {
            return;
        };
        if server.removal_doubted && server.consecutive_faults > MAX_CHANCE_FAULTS {
            server.removal_doubted = false;
            self.list.doubted = false;
            self.remove_endpoint(cache);
            self.rebuild_ring();
        }
    }

    /// Polls discovery after a random time. After a mass restart all balancers would otherwise poll
    /// at once, and all calls would fail, again and again.
    fn schedule_poll(&mut self, actions: &mut Vec<Action>) {
        if self.settings.discovery != DiscoveryMode::Poll {
            return;
        }
        let balancers = Micros::from(self.settings.balancers);
        let spread = balancers * POLL_SPREAD_PER_BALANCER * (1 << self.list.failures);
        // Past the stated time without a call the balancer counts as notified of what its list
        // lacks.
        let poll_interval = self.settings.rules.poll_interval.max(SECOND);
        let max_delay = POLL_FRACTION * poll_interval as f64;
        let random_delay = self.rng.unit() * max_delay.min(spread as f64);
        actions.push(Action::Timer {
            delay: self.settings.tick + random_delay as Micros,
            token: TimerToken::PollList.encode(),
        });
    }

    /// Opens the watch of the list if it is not open.
    pub(super) fn on_poll_timer(&self, actions: &mut Vec<Action>) {
        if !self.list.subscribed {
            actions.push(Action::WatchList(true));
        }
    }

    /// Accepts one entry of the list.
    pub(super) fn accept_endpoint(&mut self, now: Micros, listed: &Endpoint) {
        let endpoint = self.cordons.apply(listed);
        let known = self.servers.get(&endpoint.id);
        let known = known.is_some_and(|s| endpoint.incarnation <= s.endpoint.incarnation);
        // The mean takes a walk over all servers, which only a new one needs.
        let placed_keys = if known {
            0
        } else {
            self.average_placed_keys(endpoint.id)
        };
        let blank = self.blank_server(now, endpoint, placed_keys);
        let server = self
            .servers
            .entry(endpoint.id)
            .or_insert_with(|| blank.clone());
        if endpoint.state == EndpointState::Removed {
            return self.remove_endpoint(listed.id);
        }
        // A restarted process is empty under its old id, and its former keys would overload it.
        if endpoint.incarnation > server.endpoint.incarnation {
            *server = Server {
                in_flight: server.in_flight,
                ..blank
            };
        }
        server.endpoint = endpoint;
        server.listed = *listed;
        server.removal_doubted = false;
    }

    /// A server of which nothing is known but its list entry.
    fn blank_server(&self, now: Micros, endpoint: Endpoint, placed_keys: i64) -> Server {
        let is_origin = matches!(
            self.settings.mode,
            CacheMode::Aside { origin } if origin == endpoint.kind
        );
        let role = if is_origin { Role::Origin } else { Role::Cache };
        let step = window_step(role, self.list.size, self.settings.balancers);
        Server {
            endpoint,
            role,
            placed_keys,
            window: initial_window(step),
            window_step: step,
            tokens_updated_at: now,
            ..Server::default()
        }
    }

    /// The mean number of keys placed on the other caches, which a new cache starts with: it would
    /// otherwise attract all new keys.
    fn average_placed_keys(&self, new_server: CacheId) -> i64 {
        let mut sum = 0;
        let mut count = 0;
        for server in self.ring_servers().filter(|s| s.id() != new_server) {
            sum += server.placed_keys;
            count += 1;
        }
        sum / i64::max(count, 1)
    }

    /// The servers on the hash ring.
    pub(super) fn ring_servers(&self) -> impl Iterator<Item = &Server> {
        self.ring.caches().filter_map(|id| self.servers.get(&id))
    }

    /// Builds the hash ring of the ready caches. It is built within the event that changes one of
    /// them, so that a draining or removed cache gets nothing new.
    pub(super) fn rebuild_ring(&mut self) {
        let members = self.servers.values().filter(|s| s.is_ring_member());
        self.ring.rebuild(members.map(Server::id));
    }
}

fn removed_by(entries: &[Endpoint]) -> Vec<CacheId> {
    entries
        .iter()
        .filter(|entry| entry.state == EndpointState::Removed)
        .map(|entry| entry.id)
        .collect()
}
