//! A balancer's own overload: how far its event loop is behind (`gauge`), what part of the requests it takes while it is
//! (`controller`), and whose those are (`worth`). `Door` puts the three together: one question for each request.
//!
//! It knows no client, server or clock: times and figures are given to it, in microseconds. It never decides which server
//! a request goes to; what it turns away has cost no decision.
mod controller;
mod door;
mod gauge;
mod worth;

pub use controller::Controller;
pub use door::{AdmissionController, AdmissionDecision, AdmissionSettings, Arrival};
pub use gauge::{DelaySample, QueueDelayMonitor};
pub use worth::{AdmissionLevel, PriorityThreshold, LEVELS};

/// Microseconds.
pub type Micros = i64;
