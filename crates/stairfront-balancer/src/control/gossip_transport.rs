//! Carries what the group of balancers wants from the member (`stairfront-membership-agent`) to the engine, which gets
//! it as orders and events. No request waits for it.
use std::rc::Rc;

use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_membership_agent::{MembershipAgent, MembershipEvent};
use tokio::sync::{mpsc, Notify};

use crate::control::pending_order::OrderDispatcher;
use crate::messages::EngineEvent;

/// Carries the group's events for as long as the balancer runs.
pub struct GossipTransport {
    /// The member whose events are carried.
    pub membership: Rc<MembershipAgent>,
    /// Both processes of an upgrade hold a cordon of the group.
    pub orders: OrderDispatcher,
    /// Leads to the engine.
    pub events: mpsc::Sender<EngineEvent>,
    /// Has discovery's agent polled at once.
    pub poll_agent: Rc<Notify>,
}

impl GossipTransport {
    /// Runs until the engine has ended.
    pub async fn run(self) {
        loop {
            match self.membership.next_event().await {
                MembershipEvent::Cordon { host, cordoned } => {
                    if self.apply_cordon(&host, cordoned).await.is_none() {
                        return;
                    }
                }
                MembershipEvent::DrainHint { host, stop } => {
                    let hint = EngineEvent::DrainHint {
                        host,
                        draining: stop,
                    };
                    if self.events.send(hint).await.is_err() {
                        return;
                    }
                }
                MembershipEvent::PollDiscovery => self.poll_agent.notify_one(),
            }
        }
    }

    /// Applies a cordon of the group at all processes of this balancer, and only then confirms it: a host whose cordon
    /// is confirmed before the engine has it would get requests while it is worked on. `None` once the engine has ended.
    async fn apply_cordon(&self, host: &str, cordoned: bool) -> Option<()> {
        let order = if cordoned {
            OperatorOrder::GroupCordon(host.to_string())
        } else {
            OperatorOrder::GroupUncordon(host.to_string())
        };
        let own = self
            .orders
            .run_here(order.clone(), OrderSource::Peer)
            .await?;
        let mut applied = own == OrderOutcome::Done;
        // Each peer gets the order, also where one before it has failed.
        for peer in &self.orders.peers {
            if let Some(answer) = peer.relay(&order, OrderSource::Peer).await {
                applied &= answer == Ok(OrderOutcome::Done);
            }
        }
        // Otherwise it stays unconfirmed, and the operator who ordered it is notified of that.
        if applied {
            self.membership.cordon_applied(host, cordoned);
        }
        Some(())
    }
}
