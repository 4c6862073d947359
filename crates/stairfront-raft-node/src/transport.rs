//! Frames over the group membership, and the queue of side messages.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use stairfront_membership_agent::{MembershipAgent, ReceivedPayload};
use stairfront_raft::{Envelope, OutgoingEnvelope};
use tokio::sync::Notify;

use crate::frame::Frame;

/// Side messages that are kept; the oldest is dropped for a further one.
const MAX_SIDE_MESSAGES: usize = 512;

/// Bytes that one member has sent to another beside the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SideMessage {
    /// Name of the sender.
    pub from: String,
    /// The content.
    pub bytes: Vec<u8>,
}

/// Sends and receives frames over the group membership.
pub(crate) struct Transport {
    membership: Rc<MembershipAgent>,
    local_name: String,
    side_messages: RefCell<VecDeque<SideMessage>>,
    side_message_received: Notify,
    unreadable_frames: Cell<u64>,
}

impl Transport {
    pub(crate) fn new(membership: Rc<MembershipAgent>, local_name: &str) -> Self {
        Transport {
            membership,
            local_name: local_name.to_string(),
            side_messages: RefCell::default(),
            side_message_received: Notify::new(),
            unreadable_frames: Cell::default(),
        }
    }

    /// Returns once this process receives. During an upgrade the process before it still votes and
    /// has the store open.
    pub(crate) async fn start(&self) {
        self.membership.enable_payloads();
        self.membership.wait_until_listening().await;
    }

    /// A number that identifies this process.
    pub(crate) fn process_id(&self) -> u64 {
        self.membership.process_id()
    }

    /// Frames that were dropped because they could not be read or named another sender.
    pub(crate) fn unreadable_frames(&self) -> u64 {
        self.unreadable_frames.get()
    }

    pub(crate) fn send(&self, outgoing: OutgoingEnvelope) {
        let frame = Frame::Raft(outgoing.envelope);
        self.membership
            .send_payload(&outgoing.to_name, frame.encode());
    }

    /// Receives a frame. Returns the message of the consensus, if it holds one; a side message is
    /// queued.
    pub(crate) async fn receive(&self) -> Option<Envelope> {
        let ReceivedPayload { from, bytes } = self.membership.next_payload().await;
        match Frame::decode(&bytes) {
            // A member that could send in another's name could vote twice.
            Ok(Frame::Raft(envelope)) if envelope.from.name == from => Some(envelope),
            Ok(Frame::SideMessage(bytes)) => {
                self.queue_side_message(SideMessage { from, bytes });
                None
            }
            _ => {
                self.unreadable_frames.set(self.unreadable_frames.get() + 1);
                None
            }
        }
    }

    fn queue_side_message(&self, message: SideMessage) {
        let mut queue = self.side_messages.borrow_mut();
        if queue.len() >= MAX_SIDE_MESSAGES {
            queue.pop_front();
        }
        queue.push_back(message);
        self.side_message_received.notify_one();
    }

    /// Sends a side message to a member, which may be this one.
    pub(crate) fn send_side_message(&self, to: &str, bytes: Vec<u8>) {
        if to == self.local_name {
            let from = self.local_name.clone();
            return self.queue_side_message(SideMessage { from, bytes });
        }
        self.membership
            .send_payload(to, Frame::SideMessage(bytes).encode());
    }

    /// Returns the next side message, once there is one.
    pub(crate) async fn next_side_message(&self) -> SideMessage {
        loop {
            if let Some(next) = self.side_messages.borrow_mut().pop_front() {
                return next;
            }
            self.side_message_received.notified().await;
        }
    }
}
