//! Everything around a balancer as models: cache hosts, the origin, discovery's agent, clients, the links of a group and
//! their faults; and the checkers that decide from what all of them observed whether the rules held.
//!
//! | modules | models |
//! | --- | --- |
//! | [`cache_host`], [`origin`], [`discovery_agent`] | the servers: commands and a time go in, actions come out |
//! | [`arrivals`], [`client`] | the clients: when requests are sent and retried |
//! | [`links`] | the network between the processes of a group |
//! | [`faults`], [`group_script`] | the faults of an experiment as actions in time |
//! | [`rules`], [`group_observer`] | the checkers |
//! | [`worker_pool`], [`distributions`], [`settings_error`] | parts that the models share |
//!
//! The crate owns how servers, clients and faults behave. It never opens a socket, reads a clock or starts a thread: the
//! same models run on loopback sockets (`stairfront-lab`), in simulations and in tests. Times are microseconds since the
//! start of a run. The same settings and seed give the same arrivals and the same random numbers.
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
