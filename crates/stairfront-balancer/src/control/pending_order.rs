//! Orders of operators and of the group on their way to the engine, and to the other process of this balancer during an
//! upgrade.
use std::rc::Rc;

use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use tokio::sync::{mpsc, oneshot};

use crate::lifecycle::handover::HandoverChannel;

/// Orders that may wait for the engine, which handles them before anything else.
pub const MAX_WAITING: usize = 16;

/// An order that the engine has not carried out yet.
pub struct PendingOrder {
    /// The order.
    pub order: OperatorOrder,
    /// Who vouches for the name in it.
    pub source: OrderSource,
    /// Gets the outcome; the receiver may have given up.
    pub done: oneshot::Sender<OrderOutcome>,
}

/// Has orders carried out by this process and, during an upgrade, by the other process of this balancer.
#[derive(Clone)]
pub struct OrderDispatcher {
    /// Leads to the engine of this process.
    pub orders: mpsc::Sender<PendingOrder>,
    /// The process before this one and the one after it, where there are any.
    pub peers: [Rc<HandoverChannel>; 2],
}

impl OrderDispatcher {
    /// Has this process carry an order out; `None` if its engine has ended.
    pub async fn run_here(
        &self,
        order: OperatorOrder,
        source: OrderSource,
    ) -> Option<OrderOutcome> {
        let (done, outcome) = oneshot::channel();
        let pending = PendingOrder {
            order,
            source,
            done,
        };
        self.orders.send(pending).await.ok()?;
        outcome.await.ok()
    }

    /// Has the other processes carry an order out and combines their outcomes with that of this one; `None` if one of
    /// them does not answer.
    pub async fn run_at_peers(
        &self,
        own: OrderOutcome,
        order: &OperatorOrder,
        source: OrderSource,
    ) -> Option<OrderOutcome> {
        let mut combined = own;
        for peer in &self.peers {
            if let Some(answer) = peer.relay(order, source).await {
                combined = combined.combine(answer.ok()?);
            }
        }
        Some(combined)
    }
}
