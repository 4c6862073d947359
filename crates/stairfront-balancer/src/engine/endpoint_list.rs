//! Applies endpoint lists: addresses go to the pool, the servers themselves to the decision module.
use std::net::SocketAddr;

use rustc_hash::FxHashSet;
use stairfront_membership_agent::DrainAnnouncement;
use stairfront_policy::interface::{
    CacheId, CacheMode, Endpoint, EndpointListUpdate, EndpointState, Event,
};
use tracing::info;

use crate::control::server_list::{cache_id, ServerEntry, ServerList};
use crate::engine::effects::server_number;
use crate::engine::Engine;
use crate::stages::route::Decide;
use crate::transport::Network;
use crate::upstream::upstream_pool::{Protocol, UpstreamTarget};

/// Hosts kept that no list names any more: more than a list may drop by mistake, and bounded.
const MAX_REMOVED_HOSTS: usize = 4096;

impl<D: Decide, N: Network> Engine<D, N> {
    /// Applies a list; `cached` if it is the one that the configuration brings.
    pub(super) fn apply_list(&mut self, list: ServerList, cached: bool) {
        self.list_in_use.apply(&list);
        let mut endpoints: Vec<Endpoint> =
            list.entries.iter().map(|entry| entry.endpoint).collect();
        if list.full {
            self.remove_unlisted(&endpoints);
        }
        for entry in &list.entries {
            self.apply_entry(entry);
        }
        self.remove_replaced_hosts();
        // A list that is older than a drain hint must not have the host used again.
        for endpoint in &mut endpoints {
            if endpoint.state == EndpointState::Ready && self.drain_hints.contains(&endpoint.id) {
                endpoint.state = EndpointState::Draining;
            }
        }
        // It serves with any list, also an old one: a restart that waited for discovery would serve no client.
        if !self.servers.is_empty() {
            self.ready.send_replace(true);
        }
        self.notify_policy(Event::EndpointList(match (cached, list.full) {
            (true, _) => EndpointListUpdate::Cached(&endpoints),
            (false, true) => EndpointListUpdate::Full(&endpoints),
            (false, false) => EndpointListUpdate::Delta(&endpoints),
        }));
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let is_listed = |id: &CacheId| endpoints.iter().any(|endpoint| endpoint.id == *id);
        let unlisted: Vec<CacheId> = self
            .servers
            .keys()
            .copied()
            .filter(|id| !is_listed(id))
            .collect();
        for id in unlisted {
            self.remove_listed(id);
        }
    }

    fn apply_entry(&mut self, entry: &ServerEntry) {
        let endpoint = entry.endpoint;
        if endpoint.state == EndpointState::Removed {
            return self.remove_listed(endpoint.id);
        }
        let is_origin = self.is_origin(&endpoint);
        let target = UpstreamTarget {
            address: entry.address,
            protocol: if is_origin {
                Protocol::Http
            } else {
                Protocol::Resp
            },
        };
        let has_moved = self.pool.set_target(endpoint.id, target);
        let before = self.servers.insert(endpoint.id, endpoint);
        self.removed_hosts.retain(|other| *other != endpoint.id);
        if before.is_none() {
            // The decision module knows servers by number alone, and so do its log lines.
            info!(
                server = server_number(endpoint.id),
                name = entry.name,
                address = %entry.address,
                "server added"
            );
        }
        if !is_origin {
            self.registry.note_listed(endpoint.id);
            if self.membership.is_some() {
                self.names.insert(endpoint.id, entry.name.clone());
            }
        }
        // A process that was started anew does not know the connections made before, and is cold.
        if has_moved || before.is_some_and(|before| before.incarnation != endpoint.incarnation) {
            self.pool
                .withdraw_unbegun(endpoint.id, &mut self.ended_attempts);
        }
        self.update_barred(endpoint.id);
    }

    /// A list lacks a server or calls it removed. Where that is advisory the decision module goes by the server's own
    /// outcomes and may go on sending, so its address is kept.
    fn remove_listed(&mut self, id: CacheId) {
        let is_ready = |endpoint: &Endpoint| endpoint.state == EndpointState::Ready;
        if !self.removal_is_advisory || !self.servers.get(&id).is_some_and(is_ready) {
            return self.remove_server(id);
        }
        self.removed_hosts.retain(|other| *other != id);
        self.removed_hosts.push_back(id);
        if self.removed_hosts.len() > MAX_REMOVED_HOSTS {
            if let Some(oldest) = self.removed_hosts.pop_front() {
                self.remove_server(oldest);
            }
        }
    }

    /// Removes the hosts that no list names any more and whose address another host has now: what was meant for them would
    /// reach the other one.
    fn remove_replaced_hosts(&mut self) {
        if self.removed_hosts.is_empty() {
            return;
        }
        let removed: FxHashSet<CacheId> = self.removed_hosts.iter().copied().collect();
        let listed = self.servers.keys().filter(|id| !removed.contains(id));
        let in_use: FxHashSet<SocketAddr> =
            listed.filter_map(|id| self.pool.address_of(*id)).collect();
        let is_replaced = |id: &CacheId| {
            self.pool
                .address_of(*id)
                .is_some_and(|address| in_use.contains(&address))
        };
        let replaced: Vec<CacheId> = self
            .removed_hosts
            .iter()
            .copied()
            .filter(is_replaced)
            .collect();
        for id in replaced {
            info!(
                server = server_number(id),
                "another server has the address of a removed one"
            );
            self.removed_hosts.retain(|other| *other != id);
            self.remove_server(id);
        }
    }

    fn remove_server(&mut self, id: CacheId) {
        self.servers.remove(&id);
        self.names.remove(&id);
        self.attempts_sent.remove(&id);
        self.drain_hints.remove(&id);
        let servers = &self.servers;
        self.registry
            .note_unlisted(id, |other| servers.contains_key(&other));
        self.pool.set_barred(id, true);
        self.pool.end_waiting(id, &mut self.ended_attempts);
        self.pool.remove_target(id);
    }

    /// Goes by another member's list for one host, or by this balancer's own list again. The list in hand stays as it is:
    /// the decision module is notified that the host drains, or of what the list says.
    pub(super) fn apply_drain_hint(&mut self, cache: CacheId, draining: bool) {
        let Some(own) = self.servers.get(&cache).copied() else {
            self.drain_hints.remove(&cache);
            return;
        };
        let changed = if draining {
            self.drain_hints.insert(cache)
        } else {
            self.drain_hints.remove(&cache)
        };
        if changed && own.state == EndpointState::Ready {
            let state = if draining {
                EndpointState::Draining
            } else {
                own.state
            };
            let endpoint = Endpoint { state, ..own };
            self.notify_policy(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint])));
            self.update_barred(cache);
        }
    }

    /// Names of the cache hosts in use that are no longer to be used by a list.
    pub(super) fn leaving_hosts(&self, list: &ServerList) -> Vec<String> {
        if self.membership.is_none() {
            return Vec::new();
        }
        let mut leaving: Vec<String> = list
            .entries
            .iter()
            .filter(|entry| entry.endpoint.state != EndpointState::Ready)
            .map(|entry| entry.name.clone())
            .collect();
        if list.full {
            let is_listed = |name: &str| list.entries.iter().any(|entry| entry.name == name);
            leaving.extend(self.names.values().filter(|name| !is_listed(name)).cloned());
        }
        // Hosts that have been leaving before are not announced again.
        leaving.retain(|name| {
            let endpoint = self.servers.get(&cache_id(name));
            endpoint.is_some_and(|endpoint| endpoint.state == EndpointState::Ready)
        });
        leaving
    }

    /// Announces the version of the list in use to the group, so that what members say of older lists counts as known.
    pub(super) fn announce_list(&self, index: u64, leaving: Vec<String>) {
        if let Some(membership) = &self.membership {
            membership.handle_announcement(&DrainAnnouncement {
                index,
                hosts: self.cache_host_count(),
                leaving,
            });
        }
    }

    fn cache_host_count(&self) -> usize {
        self.servers
            .values()
            .filter(|endpoint| !self.is_origin(endpoint))
            .count()
    }

    pub(super) fn is_origin(&self, endpoint: &Endpoint) -> bool {
        matches!(self.mode, CacheMode::Aside { origin } if origin == endpoint.kind)
    }
}
