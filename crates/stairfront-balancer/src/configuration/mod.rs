pub mod config;
pub mod limits;
pub mod request_catalog;
pub mod toml_config;
