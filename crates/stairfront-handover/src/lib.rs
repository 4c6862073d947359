//! The packets that the old and the new process of one balancer exchange during an upgrade: one message to a packet of a
//! local socket, some with a descriptor beside them.
//!
//! The crate knows the form of the packets and the bounds of a state sent in parts. It opens no socket, and does not know
//! what the state holds.
mod message;
mod state_transfer;

pub use message::{Message, PacketError, MAX_PACKET_BYTES, MAX_PART_BYTES, REVISION};
pub use state_transfer::{split_state, StateAssembler, StateTooLarge, MAX_STATE_BYTES};
