//! Cordons: operators take a cache out of service, whatever discovery says of it, and give it back
//! after its restart.
use std::collections::BTreeMap;

use stairfront_common::time::Micros;

use super::Policy;
use crate::interface::{CacheId, Endpoint, EndpointState};

/// A cordon of one cache.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Cordon {
    /// In force.
    Active,
    /// Lifted at this time, after a restart that discovery may never report.
    Lifted(Micros),
}

/// The cordons, by cache.
#[derive(Default)]
pub(super) struct Cordons(BTreeMap<CacheId, Cordon>);

impl Cordons {
    /// A list entry as it applies here. Discovery knows nothing of cordons: by its entry alone a
    /// cordoned cache would be used, and one that was restarted under its cordon would count as
    /// warm.
    pub(super) fn apply(&self, listed: &Endpoint) -> Endpoint {
        match (self.0.get(&listed.id), listed.state) {
            (Some(Cordon::Active), EndpointState::Ready) => Endpoint {
                state: EndpointState::Draining,
                ..*listed
            },
            (Some(Cordon::Lifted(at)), _) => Endpoint {
                incarnation: listed.incarnation.max(*at),
                ..*listed
            },
            _ => *listed,
        }
    }

    /// Sets or lifts the cordon of a cache; returns whether this changed anything that counts.
    fn set(&mut self, now: Micros, cache: CacheId, on: bool, slow_start_window: Micros) -> bool {
        self.0.retain(
            |_, cordon| !matches!(cordon, Cordon::Lifted(at) if now - *at > slow_start_window),
        );
        // An order to lift a cordon may be repeated; it may not make a cache cold that has been in
        // use since.
        if !on && self.0.get(&cache) != Some(&Cordon::Active) {
            return false;
        }
        let cordon = if on {
            Cordon::Active
        } else {
            Cordon::Lifted(now)
        };
        self.0.insert(cache, cordon);
        true
    }

    /// The caches whose cordon was lifted lately, and when.
    pub(super) fn lifted(&self) -> impl Iterator<Item = (CacheId, Micros)> + '_ {
        self.0.iter().filter_map(|(cache, cordon)| match cordon {
            Cordon::Lifted(at) => Some((*cache, *at)),
            Cordon::Active => None,
        })
    }

    /// Adopts a lifted cordon from the previous process, unless a cordon is known here.
    pub(super) fn adopt_lifted(&mut self, cache: CacheId, at: Micros) {
        self.0.entry(cache).or_insert(Cordon::Lifted(at));
    }
}

impl Policy {
    /// Handles an order of the operators.
    pub(super) fn on_cordon(&mut self, now: Micros, cache: CacheId, on: bool) {
        let slow_start_window = self.settings.rules.slow_start_window;
        if !self.cordons.set(now, cache, on, slow_start_window) {
            return;
        }
        if self.reapply_cordon(now, cache) {
            self.rebuild_ring();
        }
    }

    /// Applies the list entry of a cache again; returns whether the cache is known.
    pub(super) fn reapply_cordon(&mut self, now: Micros, cache: CacheId) -> bool {
        let listed = self.servers.get(&cache).map(|server| server.listed);
        if let Some(listed) = &listed {
            self.accept_endpoint(now, listed);
        }
        listed.is_some()
    }
}
