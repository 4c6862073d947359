//! Load shedding of a balancer whose own event loop is overloaded.
//!
//! [`QueueDelayMonitor`] measures how late the event loop handles timers and messages, [`FractionController`] derives from
//! it the fraction of requests to admit, and [`PriorityThreshold`] tells which requests those are.
//! [`AdmissionController`] combines the three: one question for each request, before any other work is done for it.
//!
//! The crate knows no client, server or clock: times are given to it, in microseconds. It never decides which server a
//! request goes to.
//!
//! Source of the approach: a standing queue is told from a burst by its minimum delay over an interval, as in CoDel
//! (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012); shedding by priority follows DAGOR (Zhou et
//! al., "Overload Control for Scaling WeChat Microservices", SoCC 2018).
mod admission;
mod fraction_controller;
mod priority;
mod queue_delay;

pub use admission::{AdmissionController, AdmissionDecision, AdmissionSettings, Arrival};
pub use fraction_controller::FractionController;
pub use priority::{AdmissionLevel, PriorityThreshold, LEVELS};
pub use queue_delay::{DelaySample, QueueDelayMonitor};
