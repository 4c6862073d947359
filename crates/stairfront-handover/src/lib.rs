//! What the old and the new process of one balancer say to each other during an upgrade: one message to a packet of a
//! local socket, some with a descriptor beside them.
//!
//! It knows the packets' form and what a knowledge sent in parts may take. It opens no socket, and does not know what
//! the knowledge says.
mod message;
mod parts;

pub use message::{Message, PacketError, MAX_PACKET_BYTES, MAX_PART_BYTES};
pub use parts::{PartsError, StateAssembler, MAX_STATE_BYTES};
