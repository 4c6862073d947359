//! The configuration file of a balancer, and what follows from it: limits, and the names that clients may use.
pub mod config;
mod difference;
pub mod error;
pub mod limits;
pub mod memory;
mod missing_key;
pub mod request_catalog;
pub mod toml_config;
