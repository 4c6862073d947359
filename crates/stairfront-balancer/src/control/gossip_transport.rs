//! What the group of balancers has this one do, on its way from the member (`stairfront-membership-agent`) to the engine. The
//! engine hears it as orders and inputs; nobody who serves waits for it.
use std::rc::Rc;

use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_membership_agent::{MembershipAgent, MembershipEvent};
use tokio::sync::{mpsc, oneshot, Notify};

use crate::control::pending_order::PendingOrder;
use crate::lifecycle::handover::HandoverChannel;
use crate::messages::EngineEvent;

/// Carries what the group wants for as long as the balancer runs.
pub struct GossipTransport {
    pub members: Rc<MembershipAgent>,
    pub orders: mpsc::Sender<PendingOrder>,
    pub inbox: mpsc::Sender<EngineEvent>,
    /// Other processes of this balancer, during an upgrade: what the group holds, both hold.
    pub links: [Rc<HandoverChannel>; 2],
    /// Has discovery's agent asked at once.
    pub ask_agent: Rc<Notify>,
}

impl GossipTransport {
    pub async fn run(self) {
        loop {
            match self.members.next_event().await {
                MembershipEvent::Cordon { host, cordoned } => {
                    if self.cordon(&host, cordoned).await.is_none() {
                        return;
                    }
                }
                MembershipEvent::DrainHint { host, stop } => {
                    if self
                        .inbox
                        .send(EngineEvent::Hearsay { host, stop })
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                MembershipEvent::PollDiscovery => self.ask_agent.notify_one(),
            }
        }
    }

    /// None once the engine has ended. Danger: confirmed before the engine has it, a host would get requests while it is
    /// worked on.
    async fn cordon(&self, host: &str, held: bool) -> Option<()> {
        let order = if held {
            OperatorOrder::GroupCordon(host.to_string())
        } else {
            OperatorOrder::GroupUncordon(host.to_string())
        };
        let (done, is_done) = oneshot::channel();
        self.orders
            .send(PendingOrder {
                order: order.clone(),
                word: OrderSource::Peer,
                done,
            })
            .await
            .ok()?;
        let mut all = is_done.await.ok()? == OrderOutcome::Done;
        for link in &self.links {
            if let Some(answer) = link.relay(&order, OrderSource::Peer).await {
                all &= answer == Ok(OrderOutcome::Done);
            }
        }
        // Otherwise it stays unconfirmed, and its operator hears that.
        if all {
            self.members.cordon_applied(host, held);
        }
        Some(())
    }
}
