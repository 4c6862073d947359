//! Start, upgrade and end of the process. [`server`] is the only place that puts the parts of a balancer together.
mod assembly;
pub mod handover;
pub mod handover_socket;
pub mod handover_state;
pub mod id_locks;
pub mod id_log;
pub mod loop_monitor;
pub mod server;
pub mod shutdown;
