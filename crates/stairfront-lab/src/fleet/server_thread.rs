//! One thread of stand-ins.
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stairfront_emulator::cache_host::{CacheHost, IdempotencyStore};
use stairfront_emulator::discovery_agent::{DiscoveryAgent, EndpointRecord};
use stairfront_emulator::origin::Origin;
use tokio::sync::mpsc;

use super::addresses::ReservedAgentAddresses;
use super::{FleetCommand, FleetPart, FleetPlan, HostPlan, ListChange, ServerReport};
use crate::clock::RunClock;
use crate::event_log::EventLog;
use crate::local_runtime::run_local;
use crate::server_host::{ReservedAddress, ServerHost};
use crate::services::{
    AgentService, CacheService, Notifier, OriginNotification, OriginService, SharedEventLog,
};

/// Time between two flushes of the event log.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks between two searches for idle connections.
const TICKS_PER_IDLE_CHECK: u64 = 50;
/// Numbers of connections that each host has for itself.
const CONNECTION_IDS_PER_HOST: u64 = 1 << 40;

/// A cache host of a thread.
pub(super) struct HostSettings {
    pub(super) index: usize,
    pub(super) plan: HostPlan,
    pub(super) addresses: Vec<ReservedAddress>,
    pub(super) group: Arc<Mutex<IdempotencyStore>>,
}

/// An agent of discovery.
pub(super) struct AgentSettings {
    pub(super) addresses: ReservedAgentAddresses,
    pub(super) list: Vec<EndpointRecord>,
}

/// Settings of a thread of stand-ins.
pub(super) struct ThreadSettings {
    pub(super) plan: FleetPlan,
    pub(super) clock: RunClock,
    pub(super) event_log: EventLog,
    /// All threads, which the origin's notifications go to.
    pub(super) threads: Vec<mpsc::UnboundedSender<FleetCommand>>,
    pub(super) part: FleetPart,
}

/// A balancer's agent of discovery, with the list that it has.
pub(super) struct AgentHost {
    pub(super) first: Rc<ServerHost<AgentService>>,
    /// The agent at its second address, after discovery has moved.
    pub(super) moved: Rc<ServerHost<AgentService>>,
    list: Vec<EndpointRecord>,
}

impl AgentHost {
    pub(super) fn both(&self) -> [&Rc<ServerHost<AgentService>>; 2] {
        [&self.first, &self.moved]
    }
}

/// The stand-ins of a thread while it runs.
pub(super) struct ServerThread {
    event_log: SharedEventLog,
    pub(super) hosts: FxHashMap<usize, Rc<ServerHost<CacheService>>>,
    pub(super) origin: Option<Rc<ServerHost<OriginService>>>,
    pub(super) agents: Vec<AgentHost>,
    plan: FleetPlan,
    pub(super) discovery_moved: bool,
}

/// Starts a thread; its stand-ins listen when this returns.
pub(super) fn start(
    settings: ThreadSettings,
    inbox: mpsc::UnboundedReceiver<FleetCommand>,
) -> io::Result<JoinHandle<Vec<ServerReport>>> {
    let (ready, ready_result) = std::sync::mpsc::channel();
    let builder = std::thread::Builder::new().name("stand-ins".to_string());
    let thread = builder.spawn(move || {
        let to_caller = ready.clone();
        let served = run_local(async move {
            let thread = ServerThread::start(settings)?;
            let _ = ready.send(Ok(()));
            Ok(thread.serve(inbox).await)
        });
        served.and_then(|reports| reports).unwrap_or_else(|error| {
            // The caller waits for this until the thread is ready.
            let _ = to_caller.send(Err(error));
            Vec::new()
        })
    })?;
    ready_result
        .recv()
        .unwrap_or_else(|_| Err(io::Error::other("a thread of stand-ins ended")))?;
    Ok(thread)
}

impl ServerThread {
    fn start(settings: ThreadSettings) -> io::Result<Self> {
        let clock = settings.clock;
        let event_log: SharedEventLog = Rc::new(RefCell::new(settings.event_log));
        let mut thread = ServerThread {
            event_log,
            hosts: FxHashMap::default(),
            origin: None,
            agents: Vec::new(),
            plan: settings.plan,
            discovery_moved: false,
        };
        let part = settings.part;
        for host in part.hosts {
            thread.add_host(host, clock)?;
        }
        if let Some(addresses) = part.origin {
            let notifier = notify_all(settings.threads);
            thread.add_origin(addresses, notifier, clock)?;
        }
        let positions = thread.positions();
        for (balancer, agent) in part.agents.into_iter().enumerate() {
            thread.add_agent(agent, balancer as u16, &positions, clock)?;
        }
        Ok(thread)
    }

    fn add_host(&mut self, host: HostSettings, clock: RunClock) -> io::Result<()> {
        let HostPlan { name, settings, .. } = host.plan;
        let mut model = CacheHost::new(settings, self.plan.seed, &name, host.group);
        if self.plan.cold {
            model.start_cold(clock.now());
        }
        let service = CacheService::new(model, host.index as u16, Rc::clone(&self.event_log));
        let first_connection = host.index as u64 * CONNECTION_IDS_PER_HOST;
        let server = ServerHost::new(clock, service, host.addresses, first_connection);
        server.listen()?;
        self.hosts.insert(host.index, server);
        Ok(())
    }

    fn add_origin(
        &mut self,
        addresses: Vec<ReservedAddress>,
        notifier: Notifier,
        clock: RunClock,
    ) -> io::Result<()> {
        let position = self.plan.hosts.len() as u16;
        let model = Origin::new(self.plan.origin.clone(), self.plan.seed);
        let service = OriginService::new(model, position, Rc::clone(&self.event_log), notifier);
        let first_connection = u64::from(position) * CONNECTION_IDS_PER_HOST;
        let server = ServerHost::new(clock, service, addresses, first_connection);
        server.listen()?;
        self.origin = Some(server);
        Ok(())
    }

    /// Positions of all servers by name, the origin last.
    fn positions(&self) -> FxHashMap<String, u16> {
        let hosts = self.plan.hosts.iter().map(|host| host.name.clone());
        let names = hosts.chain(["origin".to_string()]).enumerate();
        names.map(|(i, name)| (name, i as u16)).collect()
    }

    fn add_agent(
        &mut self,
        settings: AgentSettings,
        balancer: u16,
        positions: &FxHashMap<String, u16>,
        clock: RunClock,
    ) -> io::Result<()> {
        let list = settings.list;
        let server = |address| {
            let model = DiscoveryAgent::new(list.clone(), self.plan.lag);
            let event_log = Rc::clone(&self.event_log);
            let service = AgentService::new(model, positions.clone(), balancer, event_log);
            ServerHost::new(clock, service, vec![address], 0)
        };
        let first = server(settings.addresses.first);
        let moved = server(settings.addresses.moved);
        first.listen()?;
        self.agents.push(AgentHost { first, moved, list });
        Ok(())
    }

    async fn serve(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<FleetCommand>,
    ) -> Vec<ServerReport> {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        let mut ticks = 0_u64;
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(FleetCommand::End) | None => return self.reports(),
                    Some(FleetCommand::Apply(action)) => self.apply(action),
                    Some(FleetCommand::Notify(notification)) => self.notify_caches(&notification),
                    Some(FleetCommand::ChangeList(change)) => self.change_list(change),
                },
                _ = tick.tick() => {
                    self.event_log.borrow_mut().flush_if_due();
                    ticks += 1;
                    if ticks.is_multiple_of(TICKS_PER_IDLE_CHECK) {
                        self.close_idle();
                    }
                }
            }
        }
    }

    fn close_idle(&self) {
        for server in self.hosts.values() {
            server.with(|service, now, outputs| service.close_idle(now, outputs));
        }
    }

    fn notify_caches(&self, notification: &OriginNotification) {
        for server in self.hosts.values() {
            server.with(|service, now, _| match notification {
                OriginNotification::Filled { id } => service.model.fill(now, id),
                OriginNotification::Written { key } => service.model.invalidate(key),
            });
        }
    }

    fn change_list(&mut self, change: ListChange) {
        for agent in &mut self.agents {
            let Some(server) = agent.list.get_mut(change.host) else {
                continue;
            };
            server.status = change.status;
            if change.since_ms > 0 {
                server.since_ms = change.since_ms;
            }
            let server = server.clone();
            for host in agent.both() {
                host.with(|service, now, outputs| service.change(now, server.clone(), outputs));
            }
        }
    }

    fn reports(&self) -> Vec<ServerReport> {
        let mut reports = Vec::new();
        for (i, server) in &self.hosts {
            reports.push(ServerReport {
                name: self.plan.hosts[*i].name.clone(),
                counts: server.with(|service, _, _| service.counts()),
                max_load: 0.0,
            });
        }
        if let Some(origin) = &self.origin {
            reports.push(origin.with(|service, _, _| ServerReport {
                name: "origin".to_string(),
                counts: service.counts,
                max_load: service.model.max_load_ratio(),
            }));
        }
        reports
    }
}

/// Notifies the caches of all threads, this one's too.
fn notify_all(threads: Vec<mpsc::UnboundedSender<FleetCommand>>) -> Notifier {
    Rc::new(move |notification: OriginNotification| {
        for thread in &threads {
            // A thread that has ended has no caches to notify.
            let _ = thread.send(FleetCommand::Notify(notification.clone()));
        }
    })
}
