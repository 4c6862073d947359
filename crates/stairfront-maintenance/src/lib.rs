//! Plans that take machines out for work. Agreed commands go in, one after the other, the same at each member; what is out,
//! and what may come next, follows from them (`state`, `order`). What the one who leads sees of the world becomes commands
//! here too (`lead`). It opens no socket and reads no clock.
//!
//! It owns the plans, their history and the facts that they rest on. Who holds a host out at the engines is the
//! membership's ledger, which follows `Maintenance::held`.
mod fleet;
mod lead;
mod order;
mod plan;
mod state;

pub use fleet::{Balancer, Fleet, Host};
pub use lead::{BlockedMachine, LeaderObservation};
pub use plan::{AvailabilityBudget, DoneBy, Machine, Plan, PlanError};
pub use state::{
    Command, CommandError, CommandKind, Held, Maintenance, Outcome, PlanView, Stage, View,
};
