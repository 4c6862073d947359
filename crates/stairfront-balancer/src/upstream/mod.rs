//! The upstream side: connections to cache hosts (RESP2) and to the origin (HTTP/1.1).
pub mod cache_host;
mod command_write;
pub mod connection;
mod exchange;
mod large_body;
pub mod load_report;
pub mod origin;
mod proof;
pub mod send_gate;
pub mod upstream_pool;
