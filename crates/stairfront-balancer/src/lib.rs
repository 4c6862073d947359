//! The balancer program: everything between the sockets and the decision module. The decision module
//! (`stairfront-policy`) decides; this crate carries messages, times and bytes to it and carries its actions out.
//! `docs/architecture.md` follows one request through these parts.
//!
//! It owns the sockets, the open requests and the timers of one balancer, all on one thread. The network and the clock
//! are behind [`transport`] and [`clock`]. It never decides which server gets a request, whether an attempt is retried or
//! which request is refused.
//!
//! | module | concern |
//! | --- | --- |
//! | [`configuration`] | the configuration file and the limits that follow from it |
//! | [`lifecycle`] | start, upgrade and end of the process; the one place that puts the parts together |
//! | [`client`] | the listener for clients and their connections |
//! | [`arrival`] | how old input may be that is read after a stall |
//! | [`list_freshness`] | whether the endpoint list in use is the newest that discovery has sent |
//! | [`stages`] | the stages of a request: parsed, admitted, routed, sent, relayed, completed |
//! | [`engine`] | the task that owns the decision module and the open requests |
//! | [`upstream`] | connections to cache hosts and to the origin |
//! | [`memory`] | what peers can have this process hold, by account, and resident memory |
//! | [`control`] | discovery, reload, the admin API, the group's cordons and plans of maintenance |
pub mod arrival;
pub mod client;
pub mod clock;
pub mod configuration;
pub mod control;
pub mod counters;
pub mod engine;
pub mod lifecycle;
pub mod list_freshness;
pub mod memory;
pub mod messages;
mod shared_stream;
pub mod stages;
pub mod transport;
pub mod upstream;
mod vectored;
