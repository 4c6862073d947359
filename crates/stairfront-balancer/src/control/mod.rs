//! The control plane: what changes a running balancer from outside, and what it reports there. None of it is waited for
//! by a request.
pub mod admin_server;
mod answer_timeout;
pub mod cordon_record;
pub mod discovery;
pub mod gossip_transport;
pub mod maintenance;
pub mod pending_order;
pub mod reload;
pub mod server_list;
