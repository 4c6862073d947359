//! One member of a group of balancers, on sockets: it carries datagrams, streams, times and a record to the core in
//! `stairfront-gossip-membership` and does what that says. It decides nothing.
//!
//! It owns the two sockets of its address, the streams of full exchanges (4 each way at most) and the file that keeps
//! the group's cordons. Others hold a `Members` and never wait for it, but an operator's order and a start.
mod config;
mod driver;
mod record;
mod streams;

pub use config::MembershipSection;
pub use driver::{CordonOrder, MembershipAgent, MembershipEvent, DESCRIPTORS};
pub use record::CordonSetFile;
pub use stairfront_gossip_membership::report::{Progress, Report};
pub use stairfront_gossip_membership::{DrainAnnouncement, MemberState, QuorumStatus};
