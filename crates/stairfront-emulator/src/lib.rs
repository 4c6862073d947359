//! What stands round a balancer, as models: cache hosts, the origin, discovery's agent, clients and the faults that
//! befall them; and the checker that decides from what all of them saw whether the four rules held.
//!
//! Events and a time go in, actions come out. Nothing here opens a socket, reads a clock or starts a thread: the same
//! models run on loopback sockets (`stairfront-lab`) and wherever else events and a time can be had. Times are whole
//! microseconds since the start of a run. The same settings and seed give the same arrivals and the same draws.
pub mod arrivals;
pub mod cache_host;
pub mod client;
pub mod discovery_agent;
pub mod distributions;
pub mod faults;
pub mod group_observer;
pub mod group_script;
pub mod links;
pub mod origin;
pub mod rules;
pub mod settings_error;
mod work_window;
pub mod worker_pool;
