//! All stand-in servers of a run, on threads of their own, and the orders that they take.
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde_json::Value;
use stairfront_emulator::agent::{Agent, Line, Status};
use stairfront_emulator::cache_host::{Ailments, CacheHost, CacheSettings, RepeatGroup};
use stairfront_emulator::faults::Act;
use stairfront_emulator::origin::{Origin, OriginSettings};
use stairfront_emulator::rules::Seen;
use stairfront_emulator::time::Micros;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

use crate::clock::RunClock;
use crate::event_log::EventLog;
use crate::server_host::{Address, ServerHost};
use crate::services::{
    AgentService, CacheService, Notifier, OriginNotification, OriginService, ServerCounts,
};

/// How often tapes are looked at for what has waited, and idle connections closed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Connections of one station are numbered within so many.
const CONNECTION_IDS_PER_HOST: u64 = 1 << 40;

/// One cache host of a fleet.
#[derive(Clone, Debug)]
pub struct HostPlan {
    pub name: String,
    pub zone: String,
    pub set: CacheSettings,
}

#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub hosts: Vec<HostPlan>,
    pub origin: OriginSettings,
    pub balancers: usize,
    /// Lag of discovery's lists.
    pub lag: Micros,
    pub threads: usize,
    pub seed: u64,
    /// Hosts start cold, not long ago.
    pub cold: bool,
}

#[derive(Clone, Debug)]
enum FleetCommand {
    Act(Act),
    Notify(OriginNotification),
    /// Discovery's agents: a host is so.
    List(usize, Status, u64),
    /// Says what it counted and ends.
    End,
}

/// What a host, or the origin, had counted at the end.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ServerReport {
    pub name: String,
    #[serde(flatten)]
    pub counts: ServerCounts,
    /// The most that the origin was sent within its window, over its capacity.
    #[serde(rename = "worst_load")]
    pub max_load: f64,
}

/// The stand-ins while they run.
pub struct Fleet {
    commands: Vec<mpsc::UnboundedSender<FleetCommand>>,
    threads: Vec<JoinHandle<Vec<ServerReport>>>,
    /// The agent of each balancer, now and after a move.
    agents: Vec<[SocketAddr; 2]>,
    initial_lists: Vec<Value>,
    hosts: Vec<SocketAddr>,
    plan: FleetPlan,
    clock: RunClock,
}

/// Addresses of all servers, by balancer.
struct AddressPlan {
    hosts: Vec<Vec<Address>>,
    origin: Vec<Address>,
    agents: Vec<[Address; 2]>,
}

impl AddressPlan {
    fn reserve(plan: &FleetPlan) -> io::Result<Self> {
        let each = || {
            (0..plan.balancers)
                .map(|_| Address::reserve())
                .collect::<io::Result<Vec<_>>>()
        };
        Ok(AddressPlan {
            hosts: plan
                .hosts
                .iter()
                .map(|_| each())
                .collect::<io::Result<_>>()?,
            origin: each()?,
            agents: (0..plan.balancers)
                .map(|_| Ok([Address::reserve()?, Address::reserve()?]))
                .collect::<io::Result<_>>()?,
        })
    }

    /// The list as a balancer's agent has it.
    fn lines(&self, plan: &FleetPlan, balancer: usize, since_ms: u64) -> Vec<Line> {
        let line = |name: &str, zone: &str, kind: &str, address: &Address, since_ms| Line {
            name: name.to_string(),
            address: address.at().to_string(),
            zone: zone.to_string(),
            kind: kind.to_string(),
            group: 0,
            status: Status::Serving,
            since_ms,
        };
        let hosts = plan.hosts.iter().zip(&self.hosts);
        let mut lines: Vec<Line> = hosts
            .map(|(host, addresses)| {
                line(
                    &host.name,
                    &host.zone,
                    "cache",
                    &addresses[balancer],
                    since_ms,
                )
            })
            .collect();
        let zone = plan.hosts.first().map_or("a", |host| &host.zone);
        lines.push(line("origin", zone, "origin", &self.origin[balancer], 0));
        lines
    }
}

impl Fleet {
    pub fn start(
        plan: FleetPlan,
        clock: RunClock,
        event_sender: &Sender<Vec<(Micros, Seen)>>,
    ) -> io::Result<Self> {
        let mut addresses = AddressPlan::reserve(&plan)?;
        let since = if plan.cold {
            clock.unix_ms(clock.now())
        } else {
            0
        };
        let lists: Vec<Vec<Line>> = (0..plan.balancers)
            .map(|b| addresses.lines(&plan, b, since))
            .collect();
        let initial_lists = lists
            .iter()
            .map(|lines| Agent::new(lines.clone(), 0).snapshot())
            .collect();
        let hosts = addresses
            .hosts
            .iter()
            .filter_map(|addresses| addresses.first().map(Address::at))
            .collect();
        let agents = addresses
            .agents
            .iter()
            .map(|[now, later]| [now.at(), later.at()])
            .collect();
        let threads = plan.threads.max(1);
        let (commands, inboxes): (Vec<_>, Vec<_>) =
            (0..threads).map(|_| mpsc::unbounded_channel()).unzip();
        let group = RepeatGroup::shared();
        let mut running = Vec::new();
        for (i, inbox) in inboxes.into_iter().enumerate() {
            let mut settings = ThreadSettings::new(
                plan.clone(),
                clock,
                EventLog::new(clock, event_sender.clone()),
                commands.clone(),
            );
            for (host, addresses) in addresses.hosts.iter_mut().enumerate() {
                if host % threads == i {
                    settings.hosts.push((
                        host,
                        std::mem::take(addresses),
                        std::sync::Arc::clone(&group),
                    ));
                }
            }
            if i == 0 {
                settings.origin = Some(std::mem::take(&mut addresses.origin));
                settings.agents = std::mem::take(&mut addresses.agents)
                    .into_iter()
                    .zip(lists.clone())
                    .collect();
            }
            running.push(settings.run(inbox)?);
        }
        Ok(Fleet {
            commands,
            threads: running,
            agents,
            initial_lists,
            hosts,
            plan,
            clock,
        })
    }

    /// What is started with: the list as this balancer last had it.
    pub fn initial_list(&self, balancer: usize) -> &Value {
        &self.initial_lists[balancer]
    }

    /// The caches themselves, as the first balancer reaches them.
    pub fn hosts(&self) -> &[SocketAddr] {
        &self.hosts
    }

    pub fn agent(&self, balancer: usize, moved: bool) -> SocketAddr {
        self.agents[balancer][usize::from(moved)]
    }

    /// Every change that hosts and lists know of by themselves.
    pub fn apply(&self, act: Act) {
        let now = self.clock.unix_ms(self.clock.now());
        match act {
            Act::Kill { host } => self.command(FleetCommand::List(host, Status::Gone, 0)),
            Act::Start { host } => self.command(FleetCommand::List(host, Status::Serving, now)),
            Act::ListDraining { host } => {
                self.command(FleetCommand::List(host, Status::Draining, 0))
            }
            Act::ListServing { host } => self.command(FleetCommand::List(host, Status::Serving, 0)),
            _ => {}
        }
        self.command(FleetCommand::Act(act));
    }

    fn command(&self, command: FleetCommand) {
        // A thread that has ended has said why.
        self.commands
            .iter()
            .for_each(|thread| drop(thread.send(command.clone())));
    }

    /// Ends all stand-ins; what each counted, in the order of the plan, the origin last.
    pub fn end(self) -> Vec<ServerReport> {
        self.command(FleetCommand::End);
        let mut reports: Vec<ServerReport> = self
            .threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect();
        let position = |report: &ServerReport| {
            self.plan
                .hosts
                .iter()
                .position(|host| host.name == report.name)
        };
        reports.sort_by_key(|report| position(report).unwrap_or(usize::MAX));
        reports
    }
}

/// What one thread runs.
struct ThreadSettings {
    plan: FleetPlan,
    clock: RunClock,
    event_log: EventLog,
    threads: Vec<mpsc::UnboundedSender<FleetCommand>>,
    hosts: Vec<(usize, Vec<Address>, std::sync::Arc<Mutex<RepeatGroup>>)>,
    origin: Option<Vec<Address>>,
    agents: Vec<([Address; 2], Vec<Line>)>,
}

impl ThreadSettings {
    fn new(
        plan: FleetPlan,
        clock: RunClock,
        event_log: EventLog,
        threads: Vec<mpsc::UnboundedSender<FleetCommand>>,
    ) -> Self {
        ThreadSettings {
            plan,
            clock,
            event_log,
            threads,
            hosts: Vec::new(),
            origin: None,
            agents: Vec::new(),
        }
    }

    /// Listens on all its addresses before it returns.
    fn run(
        self,
        inbox: mpsc::UnboundedReceiver<FleetCommand>,
    ) -> io::Result<JoinHandle<Vec<ServerReport>>> {
        let (ready, is_ready) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("stand-ins".to_string())
            .spawn(move || {
                let runtime = match tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                {
                    Ok(runtime) => runtime,
                    Err(error) => {
                        let _ = ready.send(Err(error));
                        return Vec::new();
                    }
                };
                runtime.block_on(LocalSet::new().run_until(async move {
                    match ServerThread::start(self) {
                        Ok(stations) => {
                            let _ = ready.send(Ok(()));
                            stations.serve(inbox).await
                        }
                        Err(error) => {
                            let _ = ready.send(Err(error));
                            Vec::new()
                        }
                    }
                }))
            })?;
        is_ready
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("a thread of stand-ins ended")))?;
        Ok(thread)
    }
}

struct ServerThread {
    event_log: Rc<RefCell<EventLog>>,
    hosts: FxHashMap<usize, Rc<ServerHost<CacheService>>>,
    origin: Option<Rc<ServerHost<OriginService>>>,
    agents: Vec<[Rc<ServerHost<AgentService>>; 2]>,
    lines: Vec<Vec<Line>>,
    plan: FleetPlan,
    moved: bool,
}

impl ServerThread {
    fn start(settings: ThreadSettings) -> io::Result<Self> {
        let ThreadSettings {
            plan,
            clock,
            event_log,
            threads,
            hosts,
            origin,
            agents,
        } = settings;
        let event_log = Rc::new(RefCell::new(event_log));
        let origin_at = plan.hosts.len() as u16;
        let mut stations = ServerThread {
            event_log: Rc::clone(&event_log),
            hosts: FxHashMap::default(),
            origin: None,
            agents: Vec::new(),
            lines: Vec::new(),
            moved: false,
            plan,
        };
        for (i, addresses, group) in hosts {
            let host = &stations.plan.hosts[i];
            let mut model = CacheHost::new(host.set.clone(), stations.plan.seed, &host.name, group);
            if stations.plan.cold {
                model.start_cold(clock.now());
            }
            let service = CacheService::new(model, i as u16, Rc::clone(&event_log));
            let server_host = ServerHost::new(
                clock,
                service,
                addresses,
                i as u64 * CONNECTION_IDS_PER_HOST,
            );
            server_host.listen()?;
            stations.hosts.insert(i, server_host);
        }
        if let Some(addresses) = origin {
            let model = Origin::new(stations.plan.origin.clone(), stations.plan.seed);
            let notifier: Notifier = Rc::new(move |notification: OriginNotification| {
                // All threads hear it, this one too.
                threads.iter().for_each(|thread| {
                    drop(thread.send(FleetCommand::Notify(notification.clone())))
                });
            });
            let service = OriginService::new(model, origin_at, Rc::clone(&event_log), notifier);
            let server_host = ServerHost::new(
                clock,
                service,
                addresses,
                u64::from(origin_at) * CONNECTION_IDS_PER_HOST,
            );
            server_host.listen()?;
            stations.origin = Some(server_host);
        }
        let mut names: FxHashMap<String, u16> = stations
            .plan
            .hosts
            .iter()
            .enumerate()
            .map(|(i, host)| (host.name.clone(), i as u16))
            .collect();
        names.insert("origin".to_string(), origin_at);
        for (balancer, ([now, later], lines)) in agents.into_iter().enumerate() {
            let server_host = |address: Address, lag| {
                let model = Agent::new(lines.clone(), lag);
                let service =
                    AgentService::new(model, names.clone(), balancer as u16, Rc::clone(&event_log));
                ServerHost::new(clock, service, vec![address], 0)
            };
            let pair = [
                server_host(now, stations.plan.lag),
                server_host(later, stations.plan.lag),
            ];
            pair[0].listen()?;
            stations.agents.push(pair);
            stations.lines.push(lines);
        }
        Ok(stations)
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
                    Some(FleetCommand::Act(act)) => self.apply(act),
                    Some(FleetCommand::Notify(notification)) => self.notify_caches(&notification),
                    Some(FleetCommand::List(host, status, since_ms)) => self.change_list(host, status, since_ms),
                },
                _ = tick.tick() => {
                    self.event_log.borrow_mut().flush_if_due();
                    ticks += 1;
                    if ticks.is_multiple_of(50) {
                        self.close_idle();
                    }
                }
            }
        }
    }

    fn close_idle(&self) {
        for server_host in self.hosts.values() {
            server_host.with(|service, now, outputs| service.close_idle(now, outputs));
        }
    }

    fn notify_caches(&self, notification: &OriginNotification) {
        for server_host in self.hosts.values() {
            server_host.with(|service, now, _| match notification {
                OriginNotification::Filled { id } => service.model.fill(now, id),
                OriginNotification::Written { key } => service.model.drop_key(key),
            });
        }
    }

    fn change_list(&mut self, host: usize, status: Status, since_ms: u64) {
        for (pair, lines) in self.agents.iter().zip(&mut self.lines) {
            let Some(line) = lines.get_mut(host) else {
                continue;
            };
            line.status = status;
            if since_ms > 0 {
                line.since_ms = since_ms;
            }
            for agent in pair {
                agent.with(|service, now, outputs| {
                    service.model.change(now, line.clone());
                    service.model.advance(now, &mut service.actions);
                    service.apply_actions(now, outputs);
                });
            }
        }
    }

    fn change_faults(&self, host: usize, change: impl FnOnce(&mut Ailments)) {
        if let Some(server_host) = self.hosts.get(&host) {
            server_host.with(|service, _, _| {
                let mut ailments = service.model.ailments();
                change(&mut ailments);
                service.model.set_ailments(ailments);
            });
        }
    }

    fn apply(&mut self, act: Act) {
        let of = |host: &usize| self.hosts.get(host);
        match act {
            Act::Slow { host, factor } => {
                self.change_faults(host, |ailments| ailments.slow = factor)
            }
            Act::Lose { host, chance } => {
                self.change_faults(host, |ailments| ailments.lost = chance)
            }
            Act::Spoil { host, chance } => {
                self.change_faults(host, |ailments| ailments.spoilt = chance)
            }
            Act::Double { host, chance } => {
                self.change_faults(host, |ailments| ailments.doubled = chance)
            }
            Act::Reset { host, chance } => {
                self.change_faults(host, |ailments| ailments.reset = chance)
            }
            Act::SlowOrigin { factor } => {
                if let Some(origin) = &self.origin {
                    origin.with(|service, _, _| service.model.set_slow(factor));
                }
            }
            Act::Freeze { host } | Act::CutOff { host } => {
                if let Some(server_host) = of(&host) {
                    server_host.pause();
                }
            }
            Act::Thaw { host } => {
                if let Some(server_host) = of(&host) {
                    server_host.resume();
                }
            }
            Act::Mend { host } => {
                // What was open across the cut is reset when the network is back.
                if let Some(server_host) = of(&host) {
                    server_host.reset_all();
                    server_host.resume();
                }
            }
            Act::Kill { host } => {
                if let Some(server_host) = of(&host) {
                    server_host.with(|service, _, _| service.model.stop());
                    server_host.die();
                }
            }
            Act::Start { host } => {
                if let Some(server_host) = of(&host) {
                    server_host.with(|service, now, _| service.start_cold(now));
                    if let Err(error) = server_host.listen() {
                        eprintln!("cache host {host} cannot listen again: {error}");
                    }
                }
            }
            Act::Void { host, part } => {
                if let Some(server_host) = of(&host) {
                    server_host.with(|service, _, _| service.model.void(part));
                }
            }
            Act::Drain { host, draining } => {
                if let Some(server_host) = of(&host) {
                    server_host.with(|service, _, _| service.model.drain(draining));
                }
            }
            Act::Silence { on } => self.change_agents(|agent, now| {
                let AgentService { model, actions, .. } = agent;
                model.set_silent(now, on, actions);
            }),
            Act::Stale { on } => self.change_agents(|agent, now| {
                let AgentService { model, actions, .. } = agent;
                model.set_still(now, on, actions);
            }),
            Act::MoveDiscovery => self.move_discovery(),
            // Theirs who run the balancers, or told by `Order::List`.
            Act::ListDraining { .. }
            | Act::ListServing { .. }
            | Act::KillBalancer { .. }
            | Act::TermBalancer { .. }
            | Act::StartBalancer { .. }
            | Act::FreezeBalancer { .. }
            | Act::ThawBalancer { .. } => {}
        }
    }

    fn change_agents(&self, change: impl Fn(&mut AgentService, Micros)) {
        for agent in self.agents.iter().flatten() {
            agent.with(|service, now, outputs| {
                change(service, now);
                service.apply_actions(now, outputs);
            });
        }
    }

    /// The new address listens; the old one takes no new connection and closes the open ones a while later.
    fn move_discovery(&mut self) {
        if std::mem::replace(&mut self.moved, true) {
            return;
        }
        for [old, new] in &self.agents {
            if let Err(error) = new.listen() {
                eprintln!("discovery's agent cannot listen at its new address: {error}");
            }
            let old = Rc::clone(old);
            old.stop_listening();
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(1500)).await;
                old.die();
            });
        }
    }

    fn reports(&self) -> Vec<ServerReport> {
        let mut reports = Vec::new();
        for (i, server_host) in &self.hosts {
            let counts = server_host.with(|service, _, _| service.counts());
            reports.push(ServerReport {
                name: self.plan.hosts[*i].name.clone(),
                counts,
                max_load: 0.0,
            });
        }
        if let Some(origin) = &self.origin {
            let (counts, max_load) =
                origin.with(|service, _, _| (service.counts, service.model.worst()));
            reports.push(ServerReport {
                name: "origin".to_string(),
                counts,
                max_load,
            });
        }
        reports
    }
}
