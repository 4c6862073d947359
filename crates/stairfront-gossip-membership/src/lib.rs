//! Membership of a group of balancers, as a state machine without I/O: failure detection by SWIM with Lifeguard's
//! extensions ([`membership`], [`peer_table`]), gossip ([`retransmit_queue`], [`packet`]), the decisions that a member may
//! take while the members disagree ([`quorum`]), the cordons of the whole group ([`cordon_set`]), and drain hints between
//! members ([`drain_hints`]).
//!
//! It owns one member's view of its group. Packets, orders and a time go in, actions and events come out ([`action`]). It
//! opens no socket, reads no clock, writes no log, and draws all random numbers from one seed. An opinion, such as that a
//! member has failed, never binds another member; a cordon does, until a member with a majority lifts it.
//!
//! SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
//! DSN 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018. The rules that follow from them cite the section.
pub mod action;
pub mod assertion;
pub mod cordon_record;
pub mod cordon_set;
pub mod drain_hints;
mod failure_detector;
pub mod membership;
pub mod metrics;
pub mod packet;
pub mod peer_table;
pub mod quorum;
pub mod report;
pub mod retransmit_queue;
pub mod settings;

pub use action::{Action, AliveTransition, Event, Evidence, HostChange, MemberChange};
pub use assertion::{GossipMessage, MemberState, StateAssertion};
pub use cordon_set::{CordonEntry, CordonSet, PlannedCordon, PlannedCordons, Tag};
pub use drain_hints::DrainAnnouncement;
pub use membership::{Membership, OrderError};
pub use metrics::Metrics;
pub use quorum::QuorumStatus;
pub use settings::{Settings, SettingsError, Timing};
