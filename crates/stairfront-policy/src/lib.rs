//! Every decision of the stairfront balancer, without any I/O: events in, actions out.
pub mod interface;
mod knowledge;
mod measure;
mod policy;
mod state;

pub use state::Policy;
