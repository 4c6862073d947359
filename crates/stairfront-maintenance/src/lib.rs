//! Plans of maintenance that take machines out of service in an agreed order.
//!
//! Agreed commands ([`Command`]) are applied one after the other, in the same order at each member; which machines are out
//! and which may come next follows from them ([`Maintenance`]). The leader's observations of the fleet become commands here
//! too ([`LeaderObservation`]). The crate opens no socket and reads no clock.
//!
//! It owns the plans, their history and the facts that they rest on. The cordons that keep a host out of service belong to
//! the group's cordon set, which follows [`Maintenance::cordoned_hosts`].
mod command;
mod execute;
mod fleet;
mod leader;
mod machine_record;
mod maintenance;
mod plan;
mod queue;
mod stage;
mod step;
mod view;

pub use command::{Command, CommandError, CommandKind, Outcome};
pub use fleet::{Balancer, Fleet, Host};
pub use leader::{BlockedMachine, LeaderObservation, MachineKey, NextCommands};
pub use maintenance::{CordonedHost, Maintenance};
pub use plan::{AvailabilityBudget, CompletedBy, Machine, Plan, PlanError};
pub use stage::Stage;
pub use view::{HistoryEntry, MachineView, PlanView, View};
