//! The stairfront balancer on sockets. The decision module decides; everything here carries messages, times and
//! bytes to it and does what it says. `docs/architecture.md` follows one request through these parts.
pub mod budget;
pub mod cache_host;
pub mod caches;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection;
pub mod counters;
pub mod discovery;
pub mod engine;
pub mod http;
pub mod messages;
pub mod origin;
pub mod reload;
pub mod resp;
pub mod server;
pub mod shutdown;
pub mod socket;
pub mod stages;
