//! Every decision of the stairfront balancer: which cache gets a request, when an attempt is
//! repeated, what is rejected under load, when the origin is asked.
//!
//! [`Policy`] is a state machine without I/O. A driver gives it an [`interface::Event`] and the
//! time, and carries out the [`interface::Action`]s that it returns; the balancer's engine does so
//! on sockets, the simulator's adapter on a virtual clock, and the same events give the same
//! actions in both.
//!
//! The crate owns what one balancer has learned of servers, keys, tenants and open requests. It
//! reads no clock, opens no connection, writes no log line (it returns typed
//! [`interface::LogRecord`]s), and knows no wire format.
pub mod interface;
mod policy;
mod snapshot;
mod statistics;

pub use policy::Policy;
