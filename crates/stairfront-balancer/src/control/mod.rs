pub mod admin_server;
pub mod cordon_record;
pub mod discovery;
pub mod gossip_transport;
pub mod maintenance;
pub mod pending_order;
pub mod reload;
pub mod server_list;
