//! The client side: the listener, and one task for each connection, which owns the socket and keeps answers in the order
//! of their commands.
//!
//! [`accept`] accepts connections, [`permits`] counts them, over all processes of an upgrade, [`admission`] decides which of
//! them get a permit and which idle ones make room, [`connection`] serves one, with its reading, its waits for memory, its
//! idle handling, the large answers that it holds and its writes beside it, and [`codec`] knows the protocol.
pub mod accept;
pub mod admission;
pub mod codec;
pub mod connection;
pub mod context;
mod ending;
mod held_answer;
mod idle;
mod memory_wait;
pub mod pacing;
pub mod permits;
pub mod read;
mod refusal;
mod write;
