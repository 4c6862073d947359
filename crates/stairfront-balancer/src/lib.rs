//! The stairfront balancer round the decision module. The decision module decides; everything here carries messages,
//! times and bytes to it and does what it says. `docs/architecture.md` follows one request through these parts.
//!
//! It owns the sockets, the open requests and the timers of one balancer, all on one thread. The network and the clock
//! stand behind `transport` and `clock`; it never decides which server, whether to retry or what is refused.
pub mod client;
pub mod clock;
pub mod configuration;
pub mod control;
pub mod counters;
pub mod engine;
pub mod lifecycle;
pub mod messages;
pub mod stages;
pub mod transport;
pub mod upstream;
