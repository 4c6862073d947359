//! Progress of an order: the members that have confirmed it, and the reason for each one that has not.
use super::cordon_orders::Order;
use super::Membership;
use crate::assertion::MemberState;
use crate::peer_table::Peer;
use crate::report::{MissingMember, Progress};

/// Reason why a member has not confirmed an order.
#[derive(Clone, Copy, Debug)]
enum MissingReason {
    /// Two living processes have its name, so that one confirmation says nothing about the other one.
    NameConflict,
    /// The engine of this member has not applied the order.
    NotAppliedHere,
    /// This member never received a packet from it.
    NeverSeen,
    Failed,
    Suspect,
    Unconfirmed,
}

impl MissingReason {
    /// The reason in the JSON form.
    fn as_str(self) -> &'static str {
        match self {
            MissingReason::NameConflict => "two processes have its name",
            MissingReason::NotAppliedHere => "not done here yet",
            MissingReason::NeverSeen => "was never heard of",
            MissingReason::Failed => "failed or cut off",
            MissingReason::Suspect => "does not answer",
            MissingReason::Unconfirmed => "has not confirmed yet",
        }
    }
}

/// Members of the roster by their answer to an order.
#[derive(Default)]
struct Tracker {
    confirmed: Vec<String>,
    missing: Vec<MissingMember>,
    left: usize,
}

impl Tracker {
    fn add(&mut self, name: &str, missing: Option<MissingReason>) {
        match missing {
            None => self.confirmed.push(name.to_string()),
            Some(reason) => self.missing.push(MissingMember {
                name: name.to_string(),
                reason: reason.as_str().to_string(),
            }),
        }
    }
}

impl Membership {
    /// Progress of an order; none for an unknown or expired one.
    #[must_use]
    pub fn progress(&self, number: u64) -> Option<Progress> {
        let order = self.orders.iter().find(|order| order.number == number)?;
        let mut tracker = Tracker::default();
        tracker.add(&self.settings.name, self.own_missing_reason(order));
        for (name, peer) in self.table.peers.iter().filter(|(_, peer)| peer.in_roster) {
            if peer.state == MemberState::Left {
                tracker.left += 1;
                continue;
            }
            let is_confirmed = order.confirmed.contains(name);
            tracker.add(name, missing_reason(peer, is_confirmed));
        }
        let Tracker {
            confirmed,
            missing,
            left,
        } = tracker;
        let roster = self.settings.roster.len();
        let done = if order.is_cordon {
            missing.is_empty()
        } else {
            confirmed.len() * 2 > roster || confirmed.len() + left >= roster
        };
        Some(Progress {
            host: order.host.clone(),
            cordoned: order.is_cordon,
            done,
            confirmed,
            missing,
        })
    }

    fn own_missing_reason(&self, order: &Order) -> Option<MissingReason> {
        if self.name_conflict.is_some() {
            Some(MissingReason::NameConflict)
        } else if !order.confirmed.contains(&self.settings.name) {
            Some(MissingReason::NotAppliedHere)
        } else {
            None
        }
    }
}

/// The reason why a member that has not left is missing, or none if it is confirmed. A failed member that has not confirmed
/// is waited for, since it may still send to the host.
fn missing_reason(peer: &Peer, is_confirmed: bool) -> Option<MissingReason> {
    if peer.has_name_conflict() {
        return Some(MissingReason::NameConflict);
    }
    if is_confirmed {
        return None;
    }
    Some(match peer.state {
        MemberState::Failed if peer.incarnation == 0 => MissingReason::NeverSeen,
        MemberState::Failed => MissingReason::Failed,
        MemberState::Suspect => MissingReason::Suspect,
        MemberState::Alive | MemberState::Left => MissingReason::Unconfirmed,
    })
}
