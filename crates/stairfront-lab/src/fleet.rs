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
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{CacheHost, CacheSettings, IdempotencyStore, ServerFaults};
use stairfront_emulator::discovery_agent::{DiscoveryAgent, EndpointRecord, EndpointStatus};
use stairfront_emulator::faults::FaultAction;
use stairfront_emulator::origin::{Origin, OriginSettings};
use stairfront_emulator::rules::Observation;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

use crate::clock::RunClock;
use crate::services::{AgentService, CacheService, OriginService, ServerCounts, Tell, Word};
use crate::station::{Address, Station};
use crate::tape::Tape;

/// How often tapes are looked at for what has waited, and idle connections closed.
const TICK: Duration = Duration::from_millis(20);
/// Connections of one station are numbered within so many.
const NUMBERS: u64 = 1 << 40;

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
enum Order {
    FaultAction(FaultAction),
    Say(Word),
    /// Discovery's agents: a host is so.
    List(usize, EndpointStatus, u64),
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
    pub worst_load: f64,
}

/// The stand-ins while they run.
pub struct Fleet {
    orders: Vec<mpsc::UnboundedSender<Order>>,
    threads: Vec<JoinHandle<Vec<ServerReport>>>,
    /// The agent of each balancer, now and after a move.
    agents: Vec<[SocketAddr; 2]>,
    known: Vec<Value>,
    hosts: Vec<SocketAddr>,
    plan: FleetPlan,
    clock: RunClock,
}

/// Addresses of all servers, by balancer.
struct Places {
    hosts: Vec<Vec<Address>>,
    origin: Vec<Address>,
    agents: Vec<[Address; 2]>,
}

impl Places {
    fn reserve(plan: &FleetPlan) -> io::Result<Self> {
        let each = || {
            (0..plan.balancers)
                .map(|_| Address::reserve())
                .collect::<io::Result<Vec<_>>>()
        };
        Ok(Places {
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
    fn lines(&self, plan: &FleetPlan, balancer: usize, since_ms: u64) -> Vec<EndpointRecord> {
        let line =
            |name: &str, zone: &str, kind: &str, address: &Address, since_ms| EndpointRecord {
                name: name.to_string(),
                address: address.at().to_string(),
                zone: zone.to_string(),
                kind: kind.to_string(),
                group: 0,
                status: EndpointStatus::Serving,
                since_ms,
            };
        let hosts = plan.hosts.iter().zip(&self.hosts);
        let mut lines: Vec<EndpointRecord> = hosts
            .map(|(host, places)| {
                line(&host.name, &host.zone, "cache", &places[balancer], since_ms)
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
        tapes: &Sender<Vec<(Micros, Observation)>>,
    ) -> io::Result<Self> {
        let mut places = Places::reserve(&plan)?;
        let since = if plan.cold {
            clock.unix_ms(clock.now())
        } else {
            0
        };
        let lists: Vec<Vec<EndpointRecord>> = (0..plan.balancers)
            .map(|b| places.lines(&plan, b, since))
            .collect();
        let known = lists
            .iter()
            .map(|lines| DiscoveryAgent::new(lines.clone(), 0).snapshot())
            .collect();
        let hosts = places
            .hosts
            .iter()
            .filter_map(|addresses| addresses.first().map(Address::at))
            .collect();
        let agents = places
            .agents
            .iter()
            .map(|[now, later]| [now.at(), later.at()])
            .collect();
        let threads = plan.threads.max(1);
        let (orders, inboxes): (Vec<_>, Vec<_>) =
            (0..threads).map(|_| mpsc::unbounded_channel()).unzip();
        let group = IdempotencyStore::shared();
        let mut running = Vec::new();
        for (i, inbox) in inboxes.into_iter().enumerate() {
            let mut part = Part::new(
                plan.clone(),
                clock,
                Tape::new(clock, tapes.clone()),
                orders.clone(),
            );
            for (host, addresses) in places.hosts.iter_mut().enumerate() {
                if host % threads == i {
                    part.hosts.push((
                        host,
                        std::mem::take(addresses),
                        std::sync::Arc::clone(&group),
                    ));
                }
            }
            if i == 0 {
                part.origin = Some(std::mem::take(&mut places.origin));
                part.agents = std::mem::take(&mut places.agents)
                    .into_iter()
                    .zip(lists.clone())
                    .collect();
            }
            running.push(part.run(inbox)?);
        }
        Ok(Fleet {
            orders,
            threads: running,
            agents,
            known,
            hosts,
            plan,
            clock,
        })
    }

    /// What is started with: the list as this balancer last had it.
    pub fn known(&self, balancer: usize) -> &Value {
        &self.known[balancer]
    }

    /// The caches themselves, as the first balancer reaches them.
    pub fn hosts(&self) -> &[SocketAddr] {
        &self.hosts
    }

    pub fn agent(&self, balancer: usize, moved: bool) -> SocketAddr {
        self.agents[balancer][usize::from(moved)]
    }

    /// Every change that hosts and lists know of by themselves.
    pub fn act(&self, act: FaultAction) {
        let now = self.clock.unix_ms(self.clock.now());
        match act {
            FaultAction::Kill { host } => self.order(Order::List(host, EndpointStatus::Removed, 0)),
            FaultAction::Start { host } => {
                self.order(Order::List(host, EndpointStatus::Serving, now))
            }
            FaultAction::ListDraining { host } => {
                self.order(Order::List(host, EndpointStatus::Draining, 0))
            }
            FaultAction::ListServing { host } => {
                self.order(Order::List(host, EndpointStatus::Serving, 0))
            }
            _ => {}
        }
        self.order(Order::FaultAction(act));
    }

    fn order(&self, order: Order) {
        // A thread that has ended has said why.
        self.orders
            .iter()
            .for_each(|thread| drop(thread.send(order.clone())));
    }

    /// Ends all stand-ins; what each counted, in the order of the plan, the origin last.
    pub fn end(self) -> Vec<ServerReport> {
        self.order(Order::End);
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
struct Part {
    plan: FleetPlan,
    clock: RunClock,
    tape: Tape,
    threads: Vec<mpsc::UnboundedSender<Order>>,
    hosts: Vec<(usize, Vec<Address>, std::sync::Arc<Mutex<IdempotencyStore>>)>,
    origin: Option<Vec<Address>>,
    agents: Vec<([Address; 2], Vec<EndpointRecord>)>,
}

impl Part {
    fn new(
        plan: FleetPlan,
        clock: RunClock,
        tape: Tape,
        threads: Vec<mpsc::UnboundedSender<Order>>,
    ) -> Self {
        Part {
            plan,
            clock,
            tape,
            threads,
            hosts: Vec::new(),
            origin: None,
            agents: Vec::new(),
        }
    }

    /// Listens on all its addresses before it returns.
    fn run(
        self,
        inbox: mpsc::UnboundedReceiver<Order>,
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
                    Err(problem) => {
                        let _ = ready.send(Err(problem));
                        return Vec::new();
                    }
                };
                runtime.block_on(LocalSet::new().run_until(async move {
                    match Stations::start(self) {
                        Ok(stations) => {
                            let _ = ready.send(Ok(()));
                            stations.serve(inbox).await
                        }
                        Err(problem) => {
                            let _ = ready.send(Err(problem));
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

struct Stations {
    tape: Rc<RefCell<Tape>>,
    hosts: FxHashMap<usize, Rc<Station<CacheService>>>,
    origin: Option<Rc<Station<OriginService>>>,
    agents: Vec<[Rc<Station<AgentService>>; 2]>,
    lines: Vec<Vec<EndpointRecord>>,
    plan: FleetPlan,
    moved: bool,
}

impl Stations {
    fn start(part: Part) -> io::Result<Self> {
        let Part {
            plan,
            clock,
            tape,
            threads,
            hosts,
            origin,
            agents,
        } = part;
        let tape = Rc::new(RefCell::new(tape));
        let origin_at = plan.hosts.len() as u16;
        let mut stations = Stations {
            tape: Rc::clone(&tape),
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
            let service = CacheService::new(model, i as u16, Rc::clone(&tape));
            let station = Station::new(clock, service, addresses, i as u64 * NUMBERS);
            station.listen()?;
            stations.hosts.insert(i, station);
        }
        if let Some(addresses) = origin {
            let model = Origin::new(stations.plan.origin.clone(), stations.plan.seed);
            let tell: Tell = Rc::new(move |word: Word| {
                // All threads hear it, this one too.
                threads
                    .iter()
                    .for_each(|thread| drop(thread.send(Order::Say(word.clone()))));
            });
            let service = OriginService::new(model, origin_at, Rc::clone(&tape), tell);
            let station = Station::new(clock, service, addresses, u64::from(origin_at) * NUMBERS);
            station.listen()?;
            stations.origin = Some(station);
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
            let station = |address: Address, lag| {
                let model = DiscoveryAgent::new(lines.clone(), lag);
                let service =
                    AgentService::new(model, names.clone(), balancer as u16, Rc::clone(&tape));
                Station::new(clock, service, vec![address], 0)
            };
            let pair = [
                station(now, stations.plan.lag),
                station(later, stations.plan.lag),
            ];
            pair[0].listen()?;
            stations.agents.push(pair);
            stations.lines.push(lines);
        }
        Ok(stations)
    }

    async fn serve(mut self, mut inbox: mpsc::UnboundedReceiver<Order>) -> Vec<ServerReport> {
        let mut tick = tokio::time::interval(TICK);
        let mut ticks = 0_u64;
        loop {
            tokio::select! {
                order = inbox.recv() => match order {
                    Some(Order::End) | None => return self.reports(),
                    Some(Order::FaultAction(act)) => self.act(act),
                    Some(Order::Say(word)) => self.say(&word),
                    Some(Order::List(host, status, since_ms)) => self.list(host, status, since_ms),
                },
                _ = tick.tick() => {
                    self.tape.borrow_mut().tick();
                    ticks += 1;
                    if ticks.is_multiple_of(50) {
                        self.close_idle();
                    }
                }
            }
        }
    }

    fn close_idle(&self) {
        for station in self.hosts.values() {
            station.with(|service, now, posts| service.close_idle(now, posts));
        }
    }

    fn say(&self, word: &Word) {
        for station in self.hosts.values() {
            station.with(|service, now, _| match word {
                Word::Filled { id } => service.model.fill(now, id),
                Word::Written { key } => service.model.invalidate(key),
            });
        }
    }

    fn list(&mut self, host: usize, status: EndpointStatus, since_ms: u64) {
        for (pair, lines) in self.agents.iter().zip(&mut self.lines) {
            let Some(line) = lines.get_mut(host) else {
                continue;
            };
            line.status = status;
            if since_ms > 0 {
                line.since_ms = since_ms;
            }
            for agent in pair {
                agent.with(|service, now, posts| {
                    service.model.change(now, line.clone());
                    service.model.advance(now, &mut service.actions);
                    service.carry_out(now, posts);
                });
            }
        }
    }

    fn ail(&self, host: usize, change: impl FnOnce(&mut ServerFaults)) {
        if let Some(station) = self.hosts.get(&host) {
            station.with(|service, _, _| {
                let mut ailments = service.model.faults();
                change(&mut ailments);
                service.model.set_faults(ailments);
            });
        }
    }

    fn act(&mut self, act: FaultAction) {
        let of = |host: &usize| self.hosts.get(host);
        match act {
            FaultAction::Slow { host, factor } => {
                self.ail(host, |ailments| ailments.slowdown = factor)
            }
            FaultAction::DropAnswers { host, chance } => {
                self.ail(host, |ailments| ailments.drop_chance = chance)
            }
            FaultAction::CorruptAnswers { host, chance } => {
                self.ail(host, |ailments| ailments.corrupt_chance = chance)
            }
            FaultAction::DuplicateAnswers { host, chance } => {
                self.ail(host, |ailments| ailments.duplicate_chance = chance)
            }
            FaultAction::ResetConnections { host, chance } => {
                self.ail(host, |ailments| ailments.reset_chance = chance)
            }
            FaultAction::SlowOrigin { factor } => {
                if let Some(origin) = &self.origin {
                    origin.with(|service, _, _| service.model.set_slowdown(factor));
                }
            }
            FaultAction::Freeze { host } | FaultAction::CutOff { host } => {
                if let Some(station) = of(&host) {
                    station.hold();
                }
            }
            FaultAction::Unfreeze { host } => {
                if let Some(station) = of(&host) {
                    station.release();
                }
            }
            FaultAction::Reconnect { host } => {
                // What was open across the cut is reset when the network is back.
                if let Some(station) = of(&host) {
                    station.reset_all();
                    station.release();
                }
            }
            FaultAction::Kill { host } => {
                if let Some(station) = of(&host) {
                    station.with(|service, _, _| service.model.stop());
                    station.die();
                }
            }
            FaultAction::Start { host } => {
                if let Some(station) = of(&host) {
                    station.with(|service, now, _| service.start_cold(now));
                    if let Err(problem) = station.listen() {
                        eprintln!("cache host {host} cannot listen again: {problem}");
                    }
                }
            }
            FaultAction::InvalidateCache { host, fraction } => {
                if let Some(station) = of(&host) {
                    station.with(|service, _, _| service.model.invalidate_fraction(fraction));
                }
            }
            FaultAction::Drain { host, draining } => {
                if let Some(station) = of(&host) {
                    station.with(|service, _, _| service.model.drain(draining));
                }
            }
            FaultAction::SilenceDiscovery { silent } => self.agents(|agent, now| {
                let AgentService { model, actions, .. } = agent;
                model.set_silent(now, silent, actions);
            }),
            FaultAction::FreezeDiscovery { frozen } => self.agents(|agent, now| {
                let AgentService { model, actions, .. } = agent;
                model.set_frozen(now, frozen, actions);
            }),
            FaultAction::MoveDiscovery => self.move_agents(),
            // Theirs who run the balancers, or told by `Order::List`.
            FaultAction::ListDraining { .. }
            | FaultAction::ListServing { .. }
            | FaultAction::KillBalancer { .. }
            | FaultAction::TermBalancer { .. }
            | FaultAction::StartBalancer { .. }
            | FaultAction::FreezeBalancer { .. }
            | FaultAction::UnfreezeBalancer { .. } => {}
        }
    }

    fn agents(&self, act: impl Fn(&mut AgentService, Micros)) {
        for agent in self.agents.iter().flatten() {
            agent.with(|service, now, posts| {
                act(service, now);
                service.carry_out(now, posts);
            });
        }
    }

    /// The new address listens; the old one takes no new connection and closes the open ones a while later.
    fn move_agents(&mut self) {
        if std::mem::replace(&mut self.moved, true) {
            return;
        }
        for [old, new] in &self.agents {
            if let Err(problem) = new.listen() {
                eprintln!("discovery's agent cannot listen at its new address: {problem}");
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
        for (i, station) in &self.hosts {
            let counts = station.with(|service, _, _| service.counts());
            reports.push(ServerReport {
                name: self.plan.hosts[*i].name.clone(),
                counts,
                worst_load: 0.0,
            });
        }
        if let Some(origin) = &self.origin {
            let (counts, worst_load) =
                origin.with(|service, _, _| (service.counts, service.model.max_load_ratio()));
            reports.push(ServerReport {
                name: "origin".to_string(),
                counts,
                worst_load,
            });
        }
        reports
    }
}
