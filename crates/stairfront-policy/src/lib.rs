//! Every decision of the stairfront balancer, without any I/O: events in, actions out.
pub mod interface;
mod measure;
mod policy;

pub use policy::Policy;
