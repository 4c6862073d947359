pub mod handover;
pub mod handover_socket;
pub mod handover_state;
pub mod loop_monitor;
pub mod server;
pub mod shutdown;
