//! Cordons of the group: orders by operators and by agreed plans, and their confirmation by the other members.
use std::collections::BTreeSet;
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS, SECOND};

use super::Membership;
use crate::action::{Action, Event, HostChange};
use crate::assertion::MemberState;
use crate::cordon_set::{CordonChange, CordonEntry, CordonSet, CordonTransition, PlannedCordons};
use crate::packet::{Body, Item, Sender};
use crate::quorum::QuorumStatus;

/// Largest number of orders in progress.
pub const MAX_ORDERS: usize = 16;
/// Largest number of other members' orders that wait for the engine.
const MAX_PENDING_ACKS: usize = 64;
/// Interval between two transmissions of an order to a member that has not confirmed it, at first.
const ORDER_RETRY_INTERVAL: Micros = 100 * MS;
/// The same after [`FAST_RETRY_TTL`].
const SLOW_ORDER_RETRY_INTERVAL: Micros = SECOND;
/// Time for which an order is transmitted at the shorter interval.
const FAST_RETRY_TTL: Micros = 3 * SECOND;
/// Time for which an order is transmitted at all; later, only the comparison of cordon sets spreads its entries.
const ORDER_TTL: Micros = 60 * SECOND;

/// Reason why an order is refused. The texts are answers of the admin API and stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The order is a lift and this member is not in contact with a majority.
    #[error("{} here, and nothing is lifted without a majority of the roster", .0.as_str())]
    NoMajority(QuorumStatus),
    /// Too many orders are in progress.
    #[error("too many orders for the group are under way; ask again")]
    Busy,
    /// The cordon set has no room.
    #[error("the ledger of the group's cordons is full")]
    Full,
    /// This process is ending.
    #[error("this process is ending")]
    Leaving,
    /// The order is a lift of a cordon that an agreed plan requires.
    #[error("a plan of maintenance has it out; say `done`, `skip` or `drop` there")]
    Planned,
}

/// An order in progress.
pub(super) struct Order {
    pub number: u64,
    pub host: String,
    /// A cordon, not a lift.
    pub is_cordon: bool,
    pub entries: Vec<CordonEntry>,
    /// Members whose engine has applied the entries.
    pub confirmed: BTreeSet<String>,
    began: Micros,
    next_transmission: Micros,
}

/// An ack to another member that is due once the engine has applied the entries.
pub(super) struct PendingAck {
    to: SocketAddr,
    number: u64,
    entries: Vec<CordonEntry>,
}

impl Membership {
    /// The cordons of the group.
    #[must_use]
    pub fn cordons(&self) -> &CordonSet {
        &self.cordons
    }

    /// Merges the entries of a record again: an earlier process of this member may have written it since the start.
    pub fn restore_record(&mut self, now: Micros, entries: &[CordonEntry]) {
        self.accept_cordons(now, entries);
    }

    /// Merges entries, gossips them if they changed the set, and has the engine apply what follows.
    pub(super) fn accept_cordons(&mut self, now: Micros, entries: &[CordonEntry]) {
        if entries.is_empty() {
            return;
        }
        let digest_before = self.cordons.digest();
        let transitions = self.cordons.merge(now, entries).unwrap_or_else(|error| {
            self.actions
                .push(Action::Log(Event::CordonRejected { error }));
            Vec::new()
        });
        if self.cordons.digest() != digest_before {
            self.publish_cordons(entries, transitions);
        }
    }

    fn publish_cordons(&mut self, entries: &[CordonEntry], transitions: Vec<CordonTransition>) {
        for entry in entries {
            self.queue.push(Item::Cordon(entry.clone()));
        }
        self.actions.push(Action::WriteRecord);
        for CordonTransition { host, cordoned } in transitions {
            let change = if cordoned {
                HostChange::Cordoned
            } else {
                HostChange::Uncordoned
            };
            self.log(Event::Host {
                host: host.clone(),
                change,
            });
            self.actions.push(Action::Cordon { host, cordoned });
        }
    }

    /// Begins an operator's order to cordon a host for the whole group, or to lift its cordons; returns the number under
    /// which [`Membership::progress`] reports it.
    ///
    /// # Errors
    ///
    /// If this member must not take the order; nothing has changed then.
    pub fn order(&mut self, now: Micros, host: &str, cordon: bool) -> Result<u64, OrderError> {
        self.detect_stall(now);
        if self.leaving {
            return Err(OrderError::Leaving);
        }
        // A host lifted in the minority part of a partition would get requests while it is being worked on.
        if !cordon && !self.quorum.status.has_quorum() {
            return Err(OrderError::NoMajority(self.quorum.status));
        }
        self.check_order_limit(now)?;
        let change = if cordon {
            self.cordons
                .cordon(now, host, &self.settings.name, self.settings.process_id)
                .map_err(|_| OrderError::Full)?
        } else if self.cordons.is_planned(host, self.plan_cluster_id) {
            // A planned cordon ends by the plan alone: somebody may be working on the host.
            return Err(OrderError::Planned);
        } else {
            self.cordons.lift(now, host, self.plan_cluster_id)
        };
        let CordonChange {
            entries,
            transitions,
        } = change;
        self.publish_cordons(&entries, transitions);
        Ok(self.begin_order(now, host, cordon, entries))
    }

    /// Applies the cordons that the agreed plans require.
    pub fn apply_planned_cordons(&mut self, now: Micros, planned: &PlannedCordons) {
        self.detect_stall(now);
        self.plan_cluster_id = planned.cluster_id;
        let entries = self.cordons.plan_changes(planned);
        self.accept_cordons(now, &entries);
    }

    /// Begins to collect the confirmations of a plan's cordon, which was set by the raft log entry `log_index`; returns the
    /// number under which [`Membership::progress`] reports it.
    ///
    /// # Errors
    ///
    /// [`OrderError::Busy`] if too many orders are in progress.
    pub fn confirm_planned_cordon(
        &mut self,
        now: Micros,
        host: &str,
        log_index: u64,
    ) -> Result<u64, OrderError> {
        self.detect_stall(now);
        self.check_order_limit(now)?;
        let entry = CordonSet::planned_entry(host, self.plan_cluster_id, log_index);
        Ok(self.begin_order(now, host, true, vec![entry]))
    }

    fn check_order_limit(&mut self, now: Micros) -> Result<(), OrderError> {
        self.orders.retain(|order| now - order.began < ORDER_TTL);
        if self.orders.len() >= MAX_ORDERS {
            return Err(OrderError::Busy);
        }
        Ok(())
    }

    fn begin_order(
        &mut self,
        now: Micros,
        host: &str,
        is_cordon: bool,
        entries: Vec<CordonEntry>,
    ) -> u64 {
        self.last_order_number += 1;
        let mut confirmed = BTreeSet::new();
        if self.cordons.has_applied(&entries) {
            confirmed.insert(self.settings.name.clone());
        }
        self.orders.push(Order {
            number: self.last_order_number,
            host: host.to_string(),
            is_cordon,
            entries,
            confirmed,
            began: now,
            next_transmission: now,
        });
        self.repeat_orders(now);
        self.last_order_number
    }

    /// Sends the orders in progress to the members that have not confirmed them.
    pub(super) fn repeat_orders(&mut self, now: Micros) {
        let mut transmissions = Vec::new();
        for order in &mut self.orders {
            if order.next_transmission > now || now - order.began > ORDER_TTL {
                continue;
            }
            let is_new = now - order.began < FAST_RETRY_TTL;
            order.next_transmission = now
                + if is_new {
                    ORDER_RETRY_INTERVAL
                } else {
                    SLOW_ORDER_RETRY_INTERVAL
                };
            for (name, peer) in &self.table.peers {
                let is_unconfirmed = peer.in_roster
                    && peer.state != MemberState::Left
                    && !order.confirmed.contains(name);
                if let Some(address) = peer.address.filter(|_| is_unconfirmed) {
                    transmissions.push((address, order.number, order.entries.clone()));
                }
            }
        }
        for (to, number, entries) in transmissions {
            let items = entries.into_iter().map(Item::Cordon).collect();
            self.send(to, &Body::CordonOrder { number }, items);
        }
    }

    /// Handles another member's order, whose entries were merged already. It is confirmed once the engine has applied them;
    /// entries that found no room in the set are not in force, and so are never confirmed.
    pub(super) fn handle_order(&mut self, to: SocketAddr, number: u64, entries: Vec<CordonEntry>) {
        if self.cordons.has_applied(&entries) {
            return self.send(to, &Body::CordonAck { number }, Vec::new());
        }
        let is_known = self
            .pending_acks
            .iter()
            .any(|ack| ack.to == to && ack.number == number);
        if !is_known && self.pending_acks.len() < MAX_PENDING_ACKS {
            self.pending_acks.push(PendingAck {
                to,
                number,
                entries,
            });
        }
    }

    /// Handles another member's confirmation. One from a former process, or from one of two with the same name, says
    /// nothing about all processes that may send to the host.
    pub(super) fn handle_order_ack(&mut self, from: &Sender, is_current: bool, number: u64) {
        if from.name_conflict || !is_current {
            return;
        }
        if let Some(order) = self.orders.iter_mut().find(|order| order.number == number) {
            order.confirmed.insert(from.name.clone());
        }
    }

    /// Records that the engine has cordoned a host or ended its cordon, and confirms the orders that waited for it.
    pub fn cordon_applied(&mut self, now: Micros, host: &str, cordoned: bool) {
        self.detect_stall(now);
        if !self.cordons.mark_applied(host, cordoned) {
            return;
        }
        for order in &mut self.orders {
            if self.cordons.has_applied(&order.entries) {
                order.confirmed.insert(self.settings.name.clone());
            }
        }
        let acks = std::mem::take(&mut self.pending_acks);
        let (due, pending): (Vec<PendingAck>, Vec<PendingAck>) = acks
            .into_iter()
            .partition(|ack| self.cordons.has_applied(&ack.entries));
        self.pending_acks = pending;
        for PendingAck { to, number, .. } in due {
            self.send(to, &Body::CordonAck { number }, Vec::new());
        }
    }
}
