//! One voter of the agreement (`stairfront-raft`), or one balancer that only learns: it stores on a thread of its own,
//! sends over the membership (`stairfront-membership-agent`), and hands what is settled to a machine, in order. It decides nothing.
//!
//! It owns the store's file and thread. A stalled disk stalls the voter's words, never the balancer's requests.
mod config;
mod driver;
pub mod parcel;
mod store;

/// Descriptors that a voter's store holds.
pub const STORE_DESCRIPTORS: usize = 1;

pub use config::AgreementSection;
pub use driver::{RaftNode, StateMachine, Status};
pub use store::{Store, StoreError};
