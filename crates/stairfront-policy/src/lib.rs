//! Every decision of the stairfront balancer, without any I/O: events in, actions out.
pub mod interface;
mod measure;
mod policy;
mod snapshot;
mod state;

pub use state::Policy;
