//! The rig: stand-in servers and clients on loopback sockets round the models of `stairfront-emulator`, balancer
//! processes between them, experiments that compare variants, and their reports.
//!
//! It runs balancers as processes and knows none of their code, so that any build can be a variant. Beside the
//! processes that it starts it owns its threads and one folder for their files; all are gone when a run ends.
pub mod balancer_group;
pub mod clock;
pub mod compare;
pub mod event_log;
pub mod experiment;
pub mod fleet;
pub mod live_counters;
pub mod load;
pub mod maintenance_work;
pub mod manual_baseline;
pub mod process;
pub mod relay;
pub mod report;
pub mod run;
pub mod server_host;
pub mod services;
pub mod stand_in;
pub mod summary;
