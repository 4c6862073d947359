//! The connections of one thread of clients, and the requests on them.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use stairfront_common::time::Micros;
use stairfront_emulator::client::Attempt;
use tokio::sync::Notify;

use super::BalancerEndpoint;

/// A request that waits for a connection.
#[derive(Clone, Copy)]
pub(super) struct QueuedRequest {
    pub(super) request: Attempt,
    /// How often it was moved to another connection.
    pub(super) reassignments: u8,
}

/// A request that has no answer yet.
pub(super) struct PendingRequest {
    pub(super) queued: QueuedRequest,
    /// Its last byte was written.
    pub(super) sent: bool,
    /// The balancer had closed its side by the time that was written, so it cannot read the request any more.
    pub(super) crossed_close: bool,
    /// Its client has stopped waiting.
    pub(super) timed_out: bool,
}

/// One connection of a client.
pub(super) struct ClientConnection {
    /// Index of the balancer.
    pub(super) balancer: usize,
    pub(super) out: RefCell<BytesMut>,
    pub(super) pending: RefCell<VecDeque<PendingRequest>>,
    pub(super) wakeup: Notify,
    /// It accepts no further request.
    pub(super) closing: Cell<bool>,
    /// It closes at once, whatever is pending.
    pub(super) abandoned: Cell<bool>,
    /// It has carried an answer.
    pub(super) has_answered: Cell<bool>,
}

impl ClientConnection {
    pub(super) fn new(balancer: usize) -> Rc<Self> {
        Rc::new(ClientConnection {
            balancer,
            out: RefCell::default(),
            pending: RefCell::default(),
            wakeup: Notify::new(),
            closing: Cell::new(false),
            abandoned: Cell::new(false),
            has_answered: Cell::new(false),
        })
    }

    /// Closes the connection at once.
    pub(super) fn abandon(&self) {
        self.abandoned.set(true);
        self.wakeup.notify_one();
    }

    pub(super) async fn wait_until_abandoned(&self) {
        while !self.abandoned.get() {
            self.wakeup.notified().await;
        }
    }

    pub(super) fn count_unsent(&self) -> usize {
        let pending = self.pending.borrow();
        pending.iter().filter(|pending| !pending.sent).count()
    }

    fn has_capacity(&self, pipelining: usize) -> bool {
        !self.closing.get() && self.pending.borrow().len() < pipelining
    }
}

/// The connections of a thread to one balancer.
pub(super) struct BalancerConnections {
    pub(super) endpoint: BalancerEndpoint,
    pub(super) connections: RefCell<Vec<Rc<ClientConnection>>>,
    /// Where the search for a connection with capacity begins.
    next_index: Cell<usize>,
    /// It refused a connection, and is avoided until then.
    pub(super) unavailable_until: Cell<Micros>,
}

impl BalancerConnections {
    pub(super) fn new(endpoint: &BalancerEndpoint) -> Self {
        BalancerConnections {
            endpoint: endpoint.clone(),
            connections: RefCell::default(),
            next_index: Cell::new(0),
            unavailable_until: Cell::new(0),
        }
    }

    pub(super) fn is_available(&self, now: Micros) -> bool {
        self.unavailable_until.get() <= now && !self.endpoint.closed.load(Ordering::Relaxed)
    }

    /// A kept connection with capacity. Pipelined connections are used in turn, and only once there are `max` of them;
    /// else the first one with capacity is used, so that few are kept busy.
    pub(super) fn with_capacity(
        &self,
        pipelining: usize,
        max: usize,
    ) -> Option<Rc<ClientConnection>> {
        let connections = self.connections.borrow();
        let count = connections.len();
        let first = if pipelining > 1 {
            self.next_index
                .replace(self.next_index.get().wrapping_add(1))
        } else {
            0
        };
        if pipelining > 1 && count < max {
            return None;
        }
        (0..count)
            .map(|i| &connections[(first + i) % count])
            .find(|connection| connection.has_capacity(pipelining))
            .map(Rc::clone)
    }

    pub(super) fn remove(&self, connection: &Rc<ClientConnection>) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|other| !Rc::ptr_eq(other, connection));
    }
}
