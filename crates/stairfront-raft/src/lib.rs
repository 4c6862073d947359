//! One order of decisions among a few voters, settled once and the same at all, by Raft. Messages, a time and what has been
//! made durable go in; what is to be made durable, messages and settled entries come out (`node`). It knows nothing of what
//! the entries say, opens no file and no socket, and has one source of chance, from a seed.
//!
//! It owns a voter's term, vote and log. Nothing is said that is not durable: a `Ready` is stored whole before its messages
//! go out, and its voter counts itself only then.
//!
//! Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014 (sections named as
//! "Raft"); Ongaro, "Consensus: Bridging Theory and Practice", dissertation, Stanford 2014 ("Diss."), for pre-vote,
//! leadership hand-over and one change of voters at a time.
pub mod cluster_manager;
mod dice;
pub mod log;
pub mod message;
pub mod node;
pub mod settings;

pub use cluster_manager::{ClusterManager, ClusterMessage, Envelope};
pub use log::{Entry, Index, Log, Payload, Snapshot, Term, Voter};
pub use message::Message;
pub use node::{HardState, Node, RaftError, Ready, Recovered};
pub use settings::{Micros, Settings, MS, SECOND};
