//! What operators have the engine do, on its way from their door.
use tokio::sync::oneshot;

/// Orders that may wait for the engine, which hears them before anything else.
pub const MOST_WAITING: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Take a cache host out.
    Cordon(String),
    /// It may serve again.
    Uncordon(String),
}

/// What has become of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It holds, and is on record.
    Yes,
    /// Never listed, or the origin.
    Unknown,
    /// It holds in this process, but the record could not be written.
    NotRecorded,
}

pub struct Ordered {
    pub order: Order,
    pub done: oneshot::Sender<Done>,
}
