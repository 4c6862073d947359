//! What the old and the new process of one balancer say to each other during an upgrade: one message to a packet of a
//! local socket, some with a descriptor beside them.
//!
//! It knows the packets' form and what a knowledge sent in parts may take. It opens no socket, and does not know what
//! the knowledge says.
mod message;
mod parts;

pub use message::{Message, PacketFault, LARGEST_PACKET, LARGEST_PART};
pub use parts::{Parts, PartsFault, LARGEST_KNOWLEDGE};
