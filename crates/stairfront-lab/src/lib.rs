//! The rig: stand-in servers and clients on loopback sockets round the models of `stairfront-emulator`, balancer
//! processes between them, experiments that compare variants, and their reports.
//!
//! It runs balancers as processes and knows none of their code, so that any build can be a variant. Beside the
//! processes that it starts it owns its threads and one folder for their files; all are gone when a run ends.
pub mod by_hand;
pub mod clock;
pub mod compare;
pub mod experiment;
pub mod fleet;
pub mod live;
pub mod load;
pub mod pack;
pub mod process;
pub mod relay;
pub mod report;
pub mod run;
pub mod services;
pub mod stand_in;
pub mod station;
pub mod tally;
pub mod tape;
pub mod work;
