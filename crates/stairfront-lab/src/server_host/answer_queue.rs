//! The answers of one connection, in the order of its commands.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::BytesMut;
use tokio::sync::Notify;

/// Answers that wait to be written, or for those before them.
#[derive(Default)]
pub(super) struct AnswerQueue {
    ready: RefCell<BytesMut>,
    /// Answers from command `first_waiting` on; none where there is no answer yet.
    waiting: RefCell<VecDeque<Option<Vec<u8>>>>,
    first_waiting: Cell<u64>,
    reset: Cell<bool>,
    changed: Notify,
}

impl AnswerQueue {
    /// Adds the answer to a command by its number on the connection.
    pub(super) fn push(&self, number: u64, answer: Vec<u8>) {
        self.insert(number, answer);
        self.changed.notify_one();
    }

    fn insert(&self, number: u64, answer: Vec<u8>) {
        let mut waiting = self.waiting.borrow_mut();
        let mut ready = self.ready.borrow_mut();
        let Some(i) = number.checked_sub(self.first_waiting.get()) else {
            return;
        };
        let i = i as usize;
        if i == 0 && waiting.is_empty() {
            ready.extend_from_slice(&answer);
            self.first_waiting.set(number + 1);
            return;
        }
        if waiting.len() <= i {
            waiting.resize(i + 1, None);
        }
        waiting[i] = Some(answer);
        while let Some(Some(next)) = waiting.front() {
            ready.extend_from_slice(next);
            waiting.pop_front();
            self.first_waiting.set(self.first_waiting.get() + 1);
        }
    }

    /// Takes the bytes that can be written.
    pub(super) fn take_ready(&self) -> BytesMut {
        self.ready.borrow_mut().split()
    }

    /// Has the connection reset.
    pub(super) fn reset(&self) {
        self.reset.set(true);
        self.changed.notify_one();
    }

    pub(super) fn is_reset(&self) -> bool {
        self.reset.get()
    }

    /// Returns when there is an answer or a reset.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    pub(super) async fn wait_for_reset(&self) {
        while !self.reset.get() {
            self.changed.notified().await;
        }
    }
}
