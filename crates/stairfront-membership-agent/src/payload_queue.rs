//! Messages from other members for another part of the program. The queue is bounded and drops the oldest message: one that
//! was not taken in time is worth the least.
use std::cell::RefCell;
use std::collections::VecDeque;

use tokio::sync::Notify;

/// Largest number of messages that wait.
const MAX_PAYLOADS: usize = 512;

/// A message from another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// Name of the member that sent it.
    pub from: String,
    /// Content.
    pub bytes: Vec<u8>,
}

/// The messages that wait; until somebody takes them, they are dropped.
#[derive(Default)]
pub(crate) struct PayloadQueue {
    queue: RefCell<Option<VecDeque<ReceivedPayload>>>,
    pushed: Notify,
}

impl PayloadQueue {
    /// Keeps messages from now on.
    pub fn enable(&self) {
        self.queue.borrow_mut().get_or_insert_with(VecDeque::new);
    }

    /// Adds a message, if messages are kept.
    pub fn push(&self, from: String, bytes: Vec<u8>) {
        if let Some(queue) = self.queue.borrow_mut().as_mut() {
            if queue.len() >= MAX_PAYLOADS {
                queue.pop_front();
            }
            queue.push_back(ReceivedPayload { from, bytes });
            self.pushed.notify_one();
        }
    }

    /// Returns the next message, as soon as there is one.
    pub async fn next(&self) -> ReceivedPayload {
        loop {
            if let Some(payload) = self.pop() {
                return payload;
            }
            self.pushed.notified().await;
        }
    }

    fn pop(&self) -> Option<ReceivedPayload> {
        self.queue
            .borrow_mut()
            .as_mut()
            .and_then(VecDeque::pop_front)
    }
}
