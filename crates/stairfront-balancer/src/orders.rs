//! Operators' orders on their way from the door to the engine.
use stairfront_admin_api::{Done, Order, Word};
use tokio::sync::oneshot;

/// Orders that may wait for the engine, which hears them before anything else.
pub const MOST_WAITING: usize = 16;

pub struct Ordered {
    pub order: Order,
    pub word: Word,
    pub done: oneshot::Sender<Done>,
}
