//! One member of the group's Raft consensus, with its sockets and disk: the driver of
//! `stairfront-raft`.
//!
//! [`RaftNode`] gives the state machine of `stairfront-raft` its time and its messages, stores what
//! it asks for on a thread of its own, sends its messages over the group membership
//! (`stairfront-membership-agent`), and applies committed commands to a [`StateMachine`], in order.
//! A voter keeps its state in a file; a learner, and a voter without a configured file, keep it in
//! memory.
//!
//! It owns the store's file and thread. It never decides anything itself: which entries are
//! committed, who leads and who votes is the state machine's. A stalled disk delays this member's
//! Raft messages, never the balancer's requests.
mod config;
pub mod frame;
mod node;
mod state_machine;
mod status;
mod store;
mod store_thread;
mod transport;

/// File descriptors that a voter's store holds open.
pub const STORE_DESCRIPTORS: usize = 1;

pub use config::{AgreementSection, AgreementSectionError};
pub use node::{Applied, ProposalOutcome, RaftNode, RaftNodeSettings};
pub use state_machine::StateMachine;
pub use status::Status;
pub use store::{Corruption, DatabaseError, Store, StoreError};
pub use transport::SideMessage;
