//! The driver of one member of a group of balancers: it brings datagrams, streams, the time and a file to the state machine
//! in `stairfront-gossip-membership`, does what its actions say, and words its events for the log. It decides nothing.
//!
//! It owns the two sockets of the member's address, the streams of push/pull exchanges (four each way at most) and the file
//! with the group's cordons. The other parts of the program hold a [`MembershipAgent`]; they wait for it only for an
//! operator's order and at the start of the process.
mod agent;
mod config;
mod cordon_file;
mod engine_events;
mod event_log;
mod handle;
mod info;
mod payload_queue;
mod sockets;
mod streams;
mod timers;

pub use agent::MembershipAgent;
pub use config::MembershipSection;
pub use cordon_file::CordonSetFile;
pub use engine_events::MembershipEvent;
pub use handle::CordonOrder;
pub use payload_queue::ReceivedPayload;
pub use sockets::DESCRIPTORS;
pub use stairfront_gossip_membership::report::{Progress, Report};
pub use stairfront_gossip_membership::{
    DrainAnnouncement, MemberState, OrderError, PlannedCordon, PlannedCordons, QuorumStatus,
    SettingsError,
};
