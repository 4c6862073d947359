//! The requests that operators may make of a balancer, and the state that it keeps for them.
//!
//! [`request`] reads a call to the admin server, [`order`] holds what a call has the balancer do and what came of it,
//! [`host_registry`] the names that may be asked about and the cordons on them, and [`cordon_record`] the record of
//! cordons that outlives a process.
//!
//! The crate owns the names ever listed and the cordons. Nothing here does input or output, and nothing here decides where
//! a request goes: a cordon reaches the decision module as an event.
pub mod cordon_record;
pub mod host_registry;
pub mod order;
pub mod request;

pub use host_registry::{HostRegistry, UnknownHost};
pub use order::{OperatorOrder, OrderOutcome, OrderSource};
pub use request::{AdminRequest, AdminRequestError, CordonScope, PlanAction, PlanVerb};
