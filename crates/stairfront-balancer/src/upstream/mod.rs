pub mod cache_host;
pub mod connection;
pub mod load_report;
pub mod origin;
pub mod upstream_pool;
