//! Operations staff run a balancer through these: what a call at their door asks (`call`), what
//! it has the balancer do (`order`), which names they may ask it
//! of and which cache hosts they have taken out (`registry`), and the record that outlives a process (`record`).
//!
//! It owns the names ever listed and the cordons. Nothing here does input or output, and nothing here decides where a
//! request goes: a cordon reaches the decision module as an event.
pub mod call;
pub mod host_registry;
pub mod order;
pub mod record;

pub use call::{AdminRequest, AdminRequestError, CordonScope, PlanAction, PlanVerb};
pub use host_registry::{HostRegistry, UnknownHost};
pub use order::{OperatorOrder, OrderOutcome, OrderSource};
