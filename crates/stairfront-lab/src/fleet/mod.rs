//! All stand-in servers of a run, on threads of their own, and the commands that these threads take.
mod addresses;
mod faults;
mod server_thread;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use serde_json::Value;
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{CacheSettings, IdempotencyStore};
use stairfront_emulator::discovery_agent::{DiscoveryAgent, EndpointRecord, EndpointStatus};
use stairfront_emulator::faults::FaultAction;
use stairfront_emulator::origin::OriginSettings;
use tokio::sync::mpsc;

use crate::clock::RunClock;
use crate::event_log::{EventLog, EventSender};
use crate::server_host::ReservedAddress;
use crate::services::{OriginNotification, ServerCounts};

use addresses::FleetAddresses;
use server_thread::{AgentSettings, HostSettings, ThreadSettings};

/// One cache host of a fleet.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Name of the host.
    pub name: String,
    /// Zone of the host.
    pub zone: String,
    /// Settings of its model.
    pub settings: CacheSettings,
}

/// The servers of a run.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Cache hosts.
    pub hosts: Vec<HostPlan>,
    /// Settings of the origin's model.
    pub origin: OriginSettings,
    /// Number of balancers, each of which has an address of its own at each server.
    pub balancers: usize,
    /// Lag of discovery's lists.
    pub lag: Micros,
    /// Number of threads.
    pub threads: usize,
    /// Seed of the models.
    pub seed: u64,
    /// Hosts start cold, as if started just before.
    pub cold: bool,
}

/// A change of a host in discovery's lists.
#[derive(Clone, Copy, Debug)]
struct ListChange {
    host: usize,
    status: EndpointStatus,
    /// New start time in Unix milliseconds; 0 keeps the old one.
    since_ms: u64,
}

/// A command to a thread of stand-ins.
#[derive(Clone, Debug)]
enum FleetCommand {
    Apply(FaultAction),
    Notify(OriginNotification),
    ChangeList(ListChange),
    /// Gives what was counted, and ends.
    End,
}

/// The counts of a host, or the origin, at the end of a run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ServerReport {
    /// Name of the server.
    pub name: String,
    /// The counts.
    #[serde(flatten)]
    pub counts: ServerCounts,
    /// The most that the origin got within its window, over its capacity.
    #[serde(rename = "worst_load")]
    pub max_load: f64,
}

/// Addresses of a balancer's agent.
#[derive(Clone, Copy, Debug)]
struct AgentAddresses {
    first: SocketAddr,
    /// Address after discovery has moved.
    moved: SocketAddr,
}

/// The stand-ins while they run.
pub struct Fleet {
    commands: Vec<mpsc::UnboundedSender<FleetCommand>>,
    threads: Vec<JoinHandle<Vec<ServerReport>>>,
    agents: Vec<AgentAddresses>,
    initial_lists: Vec<Value>,
    hosts: Vec<SocketAddr>,
    plan: FleetPlan,
    clock: RunClock,
}

impl Fleet {
    /// Starts all stand-ins; they listen when this returns.
    ///
    /// # Errors
    ///
    /// An address cannot be listened at, or a thread cannot be started.
    pub fn start(plan: FleetPlan, clock: RunClock, events: &EventSender) -> io::Result<Self> {
        let addresses = FleetAddresses::reserve(&plan)?;
        let since_ms = if plan.cold {
            clock.unix_ms(clock.now())
        } else {
            0
        };
        let lists: Vec<Vec<EndpointRecord>> = (0..plan.balancers)
            .map(|balancer| addresses.list(&plan, balancer, since_ms))
            .collect();
        let initial_lists = lists
            .iter()
            .map(|list| DiscoveryAgent::new(list.clone(), 0).snapshot());
        let initial_lists = initial_lists.collect();
        let hosts = addresses.first_of_each_host();
        let agents = addresses.agents();
        let (commands, inboxes): (Vec<_>, Vec<_>) = (0..plan.threads.max(1))
            .map(|_| mpsc::unbounded_channel())
            .unzip();
        let mut parts = divide(&plan, addresses, lists, inboxes.len()).into_iter();
        let mut threads = Vec::new();
        for inbox in inboxes {
            let settings = ThreadSettings {
                plan: plan.clone(),
                clock,
                event_log: EventLog::new(clock, events.clone()),
                threads: commands.clone(),
                part: parts.next().unwrap_or_default(),
            };
            threads.push(server_thread::start(settings, inbox)?);
        }
        Ok(Fleet {
            commands,
            threads,
            agents,
            initial_lists,
            hosts,
            plan,
            clock,
        })
    }

    /// The list of servers that a balancer starts with.
    pub fn initial_list(&self, balancer: usize) -> &Value {
        &self.initial_lists[balancer]
    }

    /// Addresses of the cache hosts for the first balancer.
    pub fn hosts(&self) -> &[SocketAddr] {
        &self.hosts
    }

    /// Address of a balancer's agent of discovery, before or after it has moved.
    pub fn agent(&self, balancer: usize, moved: bool) -> SocketAddr {
        let addresses = self.agents[balancer];
        if moved {
            addresses.moved
        } else {
            addresses.first
        }
    }

    /// Applies a fault to hosts, and to discovery's lists where these show it.
    pub fn apply(&self, action: FaultAction) {
        let now = self.clock.unix_ms(self.clock.now());
        match action {
            FaultAction::Kill { host } => self.change_list(host, EndpointStatus::Removed, 0),
            FaultAction::Start { host } => self.change_list(host, EndpointStatus::Serving, now),
            FaultAction::ListDraining { host } => {
                self.change_list(host, EndpointStatus::Draining, 0)
            }
            FaultAction::ListServing { host } => self.change_list(host, EndpointStatus::Serving, 0),
            _ => {}
        }
        self.send(&FleetCommand::Apply(action));
    }

    fn change_list(&self, host: usize, status: EndpointStatus, since_ms: u64) {
        self.send(&FleetCommand::ChangeList(ListChange {
            host,
            status,
            since_ms,
        }));
    }

    fn send(&self, command: &FleetCommand) {
        for thread in &self.commands {
            // A thread that has ended has printed why.
            let _ = thread.send(command.clone());
        }
    }

    /// Ends all stand-ins; gives what each has counted, in the order of the plan, the origin last.
    pub fn end(self) -> Vec<ServerReport> {
        self.send(&FleetCommand::End);
        let threads = self.threads.into_iter();
        let mut reports: Vec<ServerReport> = threads
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect();
        let hosts = &self.plan.hosts;
        reports.sort_by_key(|report| {
            let position = hosts.iter().position(|host| host.name == report.name);
            position.unwrap_or(usize::MAX)
        });
        reports
    }
}

/// The servers of one thread.
#[derive(Default)]
struct FleetPart {
    hosts: Vec<HostSettings>,
    origin: Option<Vec<ReservedAddress>>,
    agents: Vec<AgentSettings>,
}

/// Divides the servers among threads: hosts in turn, the origin and the agents on the first.
fn divide(
    plan: &FleetPlan,
    addresses: FleetAddresses,
    lists: Vec<Vec<EndpointRecord>>,
    threads: usize,
) -> Vec<FleetPart> {
    let group = IdempotencyStore::shared();
    let mut parts: Vec<FleetPart> = (0..threads).map(|_| FleetPart::default()).collect();
    for (index, addresses) in addresses.hosts.into_iter().enumerate() {
        parts[index % threads].hosts.push(HostSettings {
            index,
            plan: plan.hosts[index].clone(),
            addresses,
            group: Arc::clone(&group),
        });
    }
    let agents = addresses.agents.into_iter().zip(lists);
    parts[0].origin = Some(addresses.origin);
    parts[0].agents = agents
        .map(|(addresses, list)| AgentSettings { addresses, list })
        .collect();
    parts
}
