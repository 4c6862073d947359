//! Operators' orders on their way from the door to the engine.
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use tokio::sync::oneshot;

/// Orders that may wait for the engine, which hears them before anything else.
pub const MAX_WAITING: usize = 16;

pub struct PendingOrder {
    pub order: OperatorOrder,
    pub word: OrderSource,
    pub done: oneshot::Sender<OrderOutcome>,
}
