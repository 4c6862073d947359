//! Consensus among a few voters by Raft: one log of commands, committed in one order and the same
//! at every member.
//!
//! The crate is a state machine without I/O. Messages, the time and the numbers of durable
//! [`Ready`] batches go in; what is to be made durable, messages to send and committed entries come
//! out. [`Node`] is one member's Raft state; [`ClusterManager`] wraps it with what a running group
//! needs: bootstrap, the choice of voters, and the forwarding of proposals to the leader.
//!
//! It owns a member's term, vote and log, and one source of random numbers, from a seed. It never
//! opens a file or a socket, never reads a clock, and never interprets the content of a command. No
//! message leaves before the state that it depends on is durable: a [`Ready`] is stored as a whole
//! before its messages are sent, and a leader counts its own log towards a majority only after
//! that.
//!
//! Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC
//! 2014 (cited as "Raft"); Ongaro, "Consensus: Bridging Theory and Practice", dissertation,
//! Stanford 2014 (cited as "Diss."), for pre-vote, leadership transfer and membership changes of
//! one server at a time.
mod cluster_manager;
mod error;
mod log;
mod message;
mod node;
mod ready;
mod settings;

pub use cluster_manager::{
    ClusterManager, ClusterMessage, Counters, Envelope, OutgoingEnvelope, MAX_PENDING_PROPOSALS,
    MAX_PROPOSAL_BYTES,
};
pub use error::{ProposalError, RaftError};
pub use log::{Entry, IndexedEntry, Log, LogIndex, Payload, Snapshot, Term, Voter, VoterSet};
pub use message::{AppendEntries, Message, MessageBody};
pub use node::{Node, MAX_UNCOMMITTED_ENTRIES};
pub use ready::{HardState, OutgoingMessage, Ready, Recovered};
pub use settings::Settings;
pub use stairfront_common::time::{Micros, MS, SECOND};
