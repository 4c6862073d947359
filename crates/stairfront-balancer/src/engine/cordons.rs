//! Cordons: orders of operators and of the group that take cache hosts out of use and back in.
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_policy::interface::{CacheId, EndpointState, Event};
use tracing::{info, warn};

use crate::control::server_list::cache_id;
use crate::engine::effects::server_number;
use crate::engine::Engine;
use crate::stages::route::Decide;
use crate::transport::Network;

impl<D: Decide, N: Network> Engine<D, N> {
    /// Takes over the cordons on record, and those that the group holds.
    pub(super) fn restore_cordons(&mut self) {
        for name in self.record.read() {
            let cache = cache_id(&name);
            info!(
                server = server_number(cache),
                name, "cordon restored from the record"
            );
            self.registry.restore(cache, &name);
        }
        self.counters
            .cordoned
            .set(self.registry.cordoned_count() as u64);
        let cordoned: Vec<CacheId> = self.registry.all_cordoned().collect();
        for cache in cordoned {
            self.notify_policy(Event::Cordon { cache, on: true });
        }
    }

    /// Carries out an order, and records the operators' cordons. An order whose source vouches for the name is carried
    /// out also where the host was never listed here.
    pub(super) fn run_order(&mut self, order: &OperatorOrder, source: OrderSource) -> OrderOutcome {
        let (OperatorOrder::Cordon(name)
        | OperatorOrder::Uncordon(name)
        | OperatorOrder::GroupCordon(name)
        | OperatorOrder::GroupUncordon(name)
        | OperatorOrder::IsKnown(name)
        | OperatorOrder::GetUsage(name)) = order;
        let cache = cache_id(name);
        if source == OrderSource::Peer {
            self.registry.note_listed(cache);
        }
        let was_cordoned = self.registry.is_cordoned(cache);
        let is_known = match order {
            OperatorOrder::IsKnown(_) if self.registry.is_known(cache) => {
                return OrderOutcome::Done
            }
            OperatorOrder::IsKnown(_) => return OrderOutcome::UnknownHost,
            OperatorOrder::GetUsage(_) => return self.host_usage(cache),
            OperatorOrder::Cordon(_) => self.registry.cordon(cache, name).is_ok(),
            OperatorOrder::Uncordon(_) => self.registry.uncordon(cache).is_ok(),
            OperatorOrder::GroupCordon(_) => {
                self.registry.cordon_for_group(cache, name);
                true
            }
            OperatorOrder::GroupUncordon(_) => {
                self.registry.uncordon_for_group(cache);
                true
            }
        };
        if !is_known {
            return OrderOutcome::UnknownHost;
        }
        self.apply_cordon(cache, was_cordoned);
        match order {
            // The member of the group keeps a record of these.
            OperatorOrder::GroupCordon(_) | OperatorOrder::GroupUncordon(_) => OrderOutcome::Done,
            OperatorOrder::Uncordon(_) if self.registry.is_cordoned_by_group(cache) => {
                OrderOutcome::HeldByGroup
            }
            _ => self.record_cordons(),
        }
    }

    fn host_usage(&self, cache: CacheId) -> OrderOutcome {
        OrderOutcome::Usage {
            in_flight: self.pool.in_use(cache),
            sent: self.attempts_sent.get(&cache).copied().unwrap_or(0),
        }
    }

    fn apply_cordon(&mut self, cache: CacheId, was_cordoned: bool) {
        let on = self.registry.is_cordoned(cache);
        if on != was_cordoned {
            self.counters
                .cordoned
                .set(self.registry.cordoned_count() as u64);
            self.notify_policy(Event::Cordon { cache, on });
            self.update_barred(cache);
        }
    }

    /// Writes the record, also at a repeated order, since the first write may have failed.
    fn record_cordons(&self) -> OrderOutcome {
        let names = self.registry.cordoned_by_operators().map(|(_, name)| name);
        match self.record.write(names) {
            Ok(()) => OrderOutcome::Done,
            Err(error) => {
                warn!(%error, "cordons not recorded, they would be lost with this process");
                OrderOutcome::NotRecorded
            }
        }
    }

    /// Has the pool begin nothing new at a server that must get no new attempts: what waits for a socket or a connection
    /// ends, and idle connections close. Attempts in flight go on.
    pub(super) fn update_barred(&mut self, cache: CacheId) {
        let is_listed = self
            .servers
            .get(&cache)
            .is_some_and(|endpoint| endpoint.state == EndpointState::Ready);
        let barred =
            !is_listed || self.registry.is_cordoned(cache) || self.drain_hints.contains(&cache);
        self.pool.set_barred(cache, barred);
        if barred {
            self.pool.end_waiting(cache, &mut self.ended_attempts);
        }
    }
}
