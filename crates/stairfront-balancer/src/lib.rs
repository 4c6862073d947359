//! The stairfront balancer round the decision module. The decision module decides; everything here carries messages,
//! times and bytes to it and does what it says. `docs/architecture.md` follows one request through these parts.
//!
//! It owns the sockets, the open requests and the timers of one balancer, all on one thread. The network and the clock
//! stand behind `transport` and `clock`; it never decides which server, whether to retry or what is refused.
pub mod cache_host;
pub mod caches;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection;
pub mod cordon_record;
pub mod counters;
pub mod discovery;
pub mod engine;
pub mod group;
pub mod handover;
pub mod handover_socket;
pub mod handover_state;
pub mod heartbeat;
pub mod limits;
pub mod load_report;
pub mod maintenance;
pub mod messages;
pub mod operators;
pub mod orders;
pub mod origin;
pub mod product;
pub mod reload;
pub mod server;
pub mod server_list;
pub mod shutdown;
pub mod stages;
pub mod terms;
pub mod transport;
