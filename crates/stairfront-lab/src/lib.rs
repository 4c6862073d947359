//! The test rig: stand-in servers and clients on loopback sockets round the models of `stairfront-emulator`, balancer
//! processes between them, experiments that compare variants, and their reports.
//!
//! It runs balancers as processes and uses none of their code, so that any build can be a variant. It owns the processes
//! that it starts, its threads, and one folder for their files; all are removed when a run ends. It never judges a
//! balancer by the balancer's own counters: what clients and servers saw decides.
//!
//! [`compare::experiment`] runs an experiment, [`run::run`] one run of it, [`stand_in::serve`] a single server.
pub mod admin_client;
pub mod balancer_group;
pub mod clock;
pub mod compare;
pub mod error;
pub mod event_log;
pub mod experiment;
pub mod fleet;
pub mod live_counters;
pub mod load;
pub mod local_runtime;
pub mod maintenance;
pub mod process;
pub mod relay;
pub mod report;
pub mod run;
pub mod server_host;
pub mod services;
pub mod stand_in;
pub mod summary;
