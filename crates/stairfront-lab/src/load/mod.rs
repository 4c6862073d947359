//! Clients on loopback sockets, an open loop: a request is sent when it is due, or as soon as a connection is free, and
//! timed from when it was due either way, so that a balancer that stalls cannot have its stall left out.
mod behavior;
mod client_thread;
mod connection;
mod exchange;
mod protocol;
mod special_clients;

pub use behavior::{BehaviorError, ClientBehavior};

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use stairfront_common::time::Micros;
use stairfront_emulator::arrivals::{Popularity, Traffic};
use stairfront_emulator::client::{ClassSettings, RetrySettings};

use crate::clock::RunClock;
use crate::event_log::{EventLog, EventSender};
use crate::live_counters::LiveCounters;
use crate::local_runtime::run_local;
use crate::summary::Summary;

use client_thread::{ClientThread, ClientThreadSettings};

/// A balancer as the layer in front of it knows it, that distributes connections.
#[derive(Clone, Debug)]
pub struct BalancerEndpoint {
    /// Address for clients.
    pub address: SocketAddr,
    /// It gets no new connections.
    pub closed: Arc<AtomicBool>,
}

/// The clients of a run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests over time.
    pub traffic: Traffic,
    /// Classes of requests.
    pub classes: Vec<ClassSettings>,
    /// How clients retry.
    pub retries: RetrySettings,
    /// How clients use connections.
    pub behavior: ClientBehavior,
    /// Balancers that clients connect to.
    pub balancers: Vec<BalancerEndpoint>,
    /// Number of threads.
    pub threads: usize,
    /// Seed of the requests.
    pub seed: u64,
    /// Time of the last arrival.
    pub end: Micros,
    /// Time from which on due requests are counted.
    pub count_from: Micros,
    /// Counters to watch.
    pub live_counters: Arc<LiveCounters>,
}

/// Runs all clients until each request is answered or its client has stopped waiting.
///
/// # Errors
///
/// A thread cannot be started, or ended early.
pub fn run(plan: &LoadPlan, clock: RunClock, events: &EventSender) -> io::Result<Summary> {
    let popularity = Arc::new(Popularity::new(plan.traffic.keys, plan.traffic.zipf));
    let mut threads = Vec::new();
    for index in 0..plan.threads.max(1) {
        let settings = ClientThreadSettings {
            plan: plan.clone(),
            popularity: Arc::clone(&popularity),
            clock,
            event_log: EventLog::new(clock, events.clone()),
            index,
        };
        let builder = std::thread::Builder::new().name("clients".to_string());
        threads.push(builder.spawn(move || run_local(ClientThread::run(settings)))?);
    }
    let (classes, tenants) = (plan.classes.len(), plan.traffic.tenants.len());
    let mut summary = Summary::new(classes, tenants, plan.count_from, plan.end);
    for thread in threads {
        let ended = |_| Err(io::Error::other("a thread of clients ended"));
        let part: io::Result<Summary> = thread.join().unwrap_or_else(ended);
        summary.add(&part?);
    }
    Ok(summary)
}
