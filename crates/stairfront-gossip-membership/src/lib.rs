//! The balancers of one group know each other through this: who is there and who has failed (`table`, `detector`, by
//! SWIM with Lifeguard's extensions), how news travels (`gossip`, `packet`), what one may do while they disagree
//! (`standing`), which cache hosts the whole group has taken out (`cordons`), and what was heard of drains (`news`).
//!
//! It owns one member's view of its group. Events and a time go in, actions come out (`core`); it opens no socket, reads
//! no clock, and has one source of chance, from a seed. An opinion (a member has failed) never binds anyone; what binds,
//! a cordon, is held until somebody with a majority lifts it.
//!
//! SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
//! DSN 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018. Sections of both are named where a rule follows them.
pub mod claim;
pub mod cordons;
pub mod core;
mod detector;
mod dice;
pub mod gossip;
pub mod news;
pub mod packet;
pub mod report;
pub mod settings;
pub mod standing;
pub mod table;

pub use crate::core::{Action, Membership, Metrics};
pub use claim::{GossipMessage, MemberState, StateAssertion};
pub use cordons::{CordonEntry, CordonSet, Tag};
pub use news::DrainAnnouncement;
pub use settings::{Micros, Settings, Timing, MS, SECOND};
pub use standing::QuorumStatus;
