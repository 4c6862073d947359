//! Makes the parts of a balancer, each from what the others share with it.
use std::cell::{Cell, OnceCell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use stairfront_membership_agent::MembershipAgent;
use stairfront_policy::interface::Settings;
use stairfront_raft_node::{AgreementSection, RaftNode, RaftNodeSettings};
use stairfront_settings::LoadedSettings;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tracing::info;

use crate::client::admission::ConnectionPressure;
use crate::client::context::ClientContext;
use crate::client::permits::ClientPermits;
use crate::clock::{timer_duration, Instant};
use crate::configuration::config::Config;
use crate::configuration::limits::{stall_timeout, Sockets};
use crate::configuration::request_catalog::RequestCatalog;
use crate::control::admin_server::AdminServer;
use crate::control::cordon_record::CordonRecord;
use crate::control::discovery::{DiscoverySettings, DiscoveryWatch};
use crate::control::gossip_transport::GossipTransport;
use crate::control::maintenance::{MaintenanceHandles, MaintenanceService, Plans};
use crate::control::pending_order::{OrderDispatcher, PendingOrder, MAX_WAITING};
use crate::control::reload::ConfigReloader;
use crate::counters::{Counters, OriginUsage};
use crate::engine::{Engine, EngineHandles, GroupMembership};
use crate::lifecycle::handover::{
    HandedOverConnection, HandoverChannel, Predecessor, SuccessorHandler, UpgradeCoordinator,
    MAX_HANDED_OVER,
};
use crate::lifecycle::handover_socket;
use crate::lifecycle::handover_state::HandoverState;
use crate::lifecycle::id_log::IdLogFiles;
use crate::lifecycle::loop_monitor::{admission_controller, RuntimeHandles};
use crate::lifecycle::server::ServerDependencies;
use crate::lifecycle::shutdown::{Phase, ShutdownTime};
use crate::list_freshness::ListFreshness;
use crate::memory::ledger::MemoryLedger;
use crate::messages::EngineEvent;
use crate::stages::parse::RequestParser;
use crate::stages::route::Decide;
use crate::transport::{Listener, Network};
use crate::upstream::upstream_pool::{PoolSettings, UpstreamPool};

/// Events that may wait for the engine; senders wait beyond that. Each is handled in some microseconds.
const EVENT_QUEUE: usize = 1024;

/// Tasks that run beside the engine and the listener.
#[derive(Default)]
pub(super) struct BackgroundTasks(Vec<JoinHandle<()>>);

impl BackgroundTasks {
    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.0.push(spawn_local(task));
    }

    pub(super) fn abort(&self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// The engine's ends of the channels that lead to it and from it.
pub(super) struct EngineEnds {
    pub(super) events: mpsc::Receiver<EngineEvent>,
    pub(super) orders: mpsc::Receiver<PendingOrder>,
    pub(super) ready: watch::Sender<bool>,
}

/// Shared by the parts of one balancer.
pub(super) struct Assembly {
    pub(super) name: String,
    pub(super) sockets: Sockets,
    pub(super) runtime: RuntimeHandles,
    seed: u64,
    has_predecessor: bool,
    max_value_bytes: usize,
    start: LoadedSettings,
    agreement: Option<AgreementSection>,
    catalog: Rc<RefCell<RequestCatalog>>,
    origin: Rc<OriginUsage>,
    events: mpsc::Sender<EngineEvent>,
    orders: OrderDispatcher,
    predecessor: Rc<HandoverChannel>,
    successor: Rc<HandoverChannel>,
    ready: watch::Receiver<bool>,
    phase: watch::Receiver<Phase>,
    requested_at: ShutdownTime,
    membership: Option<Rc<MembershipAgent>>,
    maintenance: Rc<OnceCell<Rc<MaintenanceService>>>,
    poll_agent: Rc<Notify>,
    lists: Rc<ListFreshness>,
    client_permits: Rc<ClientPermits>,
    pressure: Rc<ConnectionPressure>,
}

impl Assembly {
    pub(super) fn new<N, L>(
        config: &Config,
        dependencies: &ServerDependencies<N, L>,
    ) -> (Self, EngineEnds) {
        let (events, engine_events) = mpsc::channel(EVENT_QUEUE);
        let (orders, engine_orders) = mpsc::channel(MAX_WAITING);
        let (engine_ready, ready) = watch::channel(false);
        let start = config.start.clone();
        let clock = dependencies.clock;
        let runtime = RuntimeHandles {
            clock,
            admission: admission_controller(&start.settings, clock, config.seed),
            counters: Rc::new(Counters::default()),
            polls: Rc::clone(&dependencies.polls),
            memory: MemoryLedger::new(&config.memory),
            resident: Rc::clone(&dependencies.resident),
        };
        runtime
            .memory
            .set_shared(dependencies.predecessor.is_some());
        let client_permits =
            client_permits(config.sockets.clients, dependencies.predecessor.as_ref());
        let predecessor = Rc::new(HandoverChannel::default());
        let successor = Rc::clone(&dependencies.successor);
        let assembly = Assembly {
            name: config.name.clone(),
            sockets: config.sockets,
            runtime,
            seed: config.seed,
            has_predecessor: dependencies.predecessor.is_some(),
            max_value_bytes: config.memory.max_value_bytes,
            agreement: config.agreement.clone(),
            catalog: Rc::new(RefCell::new(RequestCatalog::of(&start))),
            start,
            origin: Rc::new(OriginUsage::default()),
            events,
            orders: OrderDispatcher {
                orders,
                peers: [Rc::clone(&predecessor), Rc::clone(&successor)],
            },
            predecessor,
            successor,
            ready,
            phase: dependencies.phase.clone(),
            requested_at: Rc::clone(&dependencies.requested_at),
            membership: dependencies.membership.clone(),
            maintenance: Rc::new(OnceCell::new()),
            poll_agent: Rc::new(Notify::new()),
            lists: Rc::default(),
            client_permits: Rc::new(client_permits),
            pressure: Rc::default(),
        };
        let engine_ends = EngineEnds {
            events: engine_events,
            orders: engine_orders,
            ready: engine_ready,
        };
        (assembly, engine_ends)
    }

    pub(super) fn pool<N: Network>(
        &self,
        network: N,
        predecessor: Option<&Predecessor>,
    ) -> UpstreamPool<N> {
        let settings = PoolSettings {
            max_connections: self.sockets.servers,
            held_by_predecessor: predecessor
                .map_or(0, |predecessor| predecessor.server_connections),
            connect_timeout: timer_duration(self.start.settings.limits.connect_timeout),
            servers_idle_timeout: timer_duration(self.start.host.idle_timeout),
            stall_timeout: stall_timeout(&self.start.settings),
            max_value_bytes: self.max_value_bytes,
            memory: Rc::clone(&self.runtime.memory),
            lists: Rc::clone(&self.lists),
        };
        UpstreamPool::new(
            network,
            settings,
            self.start.names.report.clone(),
            self.events.clone(),
            Rc::clone(&self.runtime.counters),
        )
    }

    pub(super) fn discovery_watch<N: Network>(
        &self,
        network: N,
        agent: watch::Receiver<Option<SocketAddr>>,
        known_index: u64,
    ) -> DiscoveryWatch<N> {
        let settings = DiscoverySettings {
            agent,
            names: self.start.names.clone(),
            known_index,
            seed: self.seed,
            poll_now: Rc::clone(&self.poll_agent),
            lists: Rc::clone(&self.lists),
            polls: Rc::clone(&self.runtime.polls),
        };
        DiscoveryWatch::new(
            network,
            settings,
            self.events.clone(),
            Rc::clone(&self.runtime.counters),
        )
    }

    pub(super) fn client_context(&self) -> Rc<ClientContext> {
        let parser = RequestParser {
            catalog: Rc::clone(&self.catalog),
            clock: self.runtime.clock,
            counters: Rc::clone(&self.runtime.counters),
            admission: Rc::clone(&self.runtime.admission),
            ready: self.ready.clone(),
            membership: self.membership.clone(),
            maintenance: Rc::clone(&self.maintenance),
            memory: Rc::clone(&self.runtime.memory),
        };
        Rc::new(ClientContext {
            events: self.events.clone(),
            parser,
            counters: Rc::clone(&self.runtime.counters),
            polls: Rc::clone(&self.runtime.polls),
            phase: self.phase.clone(),
            pressure: Rc::clone(&self.pressure),
            permits: Rc::clone(&self.client_permits),
            successor: Rc::clone(&self.successor),
            paused: Rc::default(),
            scratch: Rc::default(),
            memory: Rc::clone(&self.runtime.memory),
            next_id: Cell::new(0),
            next_connection: Cell::new(0),
        })
    }

    /// Starts the member of the group and waits for the cordons that the group holds: a balancer that starts without them
    /// would send to hosts that the others hold out. `ask_members` if no process before this one knows them.
    pub(super) async fn join_group(
        &self,
        tasks: &mut BackgroundTasks,
        ask_members: bool,
    ) -> Option<GroupMembership> {
        let agent = Rc::clone(self.membership.as_ref()?);
        tasks.spawn(Rc::clone(&agent).run());
        let held_hosts = agent.bootstrap(ask_members).await;
        Some(GroupMembership { agent, held_hosts })
    }

    pub(super) fn engine_handles(
        &self,
        ready: watch::Sender<bool>,
        group: Option<GroupMembership>,
        state_directory: Option<&Path>,
    ) -> EngineHandles {
        EngineHandles {
            runtime: self.runtime.clone(),
            ready,
            record: CordonRecord::within(state_directory, &self.name),
            id_log: IdLogFiles::within(state_directory, &self.name),
            has_predecessor: self.has_predecessor,
            catalog: Rc::clone(&self.catalog),
            group,
            origin: Rc::clone(&self.origin),
        }
    }

    pub(super) fn engine<D: Decide, N: Network>(
        &self,
        build_policy: impl FnOnce(Settings, u64) -> D,
        pool: UpstreamPool<N>,
        handles: EngineHandles,
    ) -> Engine<D, N> {
        let build_policy = |settings| build_policy(settings, self.seed);
        Engine::new(self.start.clone(), build_policy, pool, handles)
    }

    pub(super) fn reloader(
        &self,
        config: Config,
        agent: watch::Sender<Option<SocketAddr>>,
    ) -> ConfigReloader {
        let counters = Rc::clone(&self.runtime.counters);
        ConfigReloader::new(config, agent, self.events.clone(), counters)
    }

    /// Reports to the engine, once, that this process is to end.
    pub(super) fn report_shutdown(&self) -> impl Future<Output = ()> + 'static {
        let mut phase = self.phase.clone();
        let events = self.events.clone();
        let requested_at = Rc::clone(&self.requested_at);
        async move {
            let ending = phase.wait_for(|phase| *phase != Phase::Running).await;
            if ending.is_ok() {
                let requested_at = requested_at.get().unwrap_or_else(Instant::now);
                // The engine ends only with the whole balancer.
                let _ = events
                    .send(EngineEvent::ShuttingDown { requested_at })
                    .await;
            }
        }
    }

    /// Starts what the group needs of this balancer, where there is a group.
    pub(super) fn start_group_services(&self, tasks: &mut BackgroundTasks) {
        self.start_gossip(tasks);
        self.start_maintenance(tasks);
    }

    fn start_gossip(&self, tasks: &mut BackgroundTasks) {
        if let Some(membership) = &self.membership {
            let transport = GossipTransport {
                membership: Rc::clone(membership),
                orders: self.orders.clone(),
                events: self.events.clone(),
                poll_agent: Rc::clone(&self.poll_agent),
            };
            tasks.spawn(transport.run());
        }
    }

    fn start_maintenance(&self, tasks: &mut BackgroundTasks) {
        let (Some(membership), Some(agreement)) = (&self.membership, &self.agreement) else {
            return;
        };
        let group = membership.report().group;
        let settings = RaftNodeSettings {
            name: self.name.clone(),
            group,
            voter_names: agreement.voters.clone(),
            store_path: agreement.store.clone(),
            seed: self.seed,
        };
        let raft = RaftNode::new(Rc::clone(membership), settings, Plans::default());
        let service = MaintenanceService::new(MaintenanceHandles {
            raft,
            membership: Rc::clone(membership),
            orders: self.orders.clone(),
            events: self.events.clone(),
            counters: Rc::clone(&self.runtime.counters),
            origin: Rc::clone(&self.origin),
            zones: self.start.names.zones.clone(),
            voters: agreement.voters.clone(),
            name: self.name.clone(),
        });
        tasks.spawn(Rc::clone(&service).run());
        // It is set here alone.
        let _ = self.maintenance.set(service);
    }

    pub(super) fn start_admin_server<L: Listener>(
        &self,
        tasks: &mut BackgroundTasks,
        listener: Option<L>,
    ) -> io::Result<()> {
        let Some(listener) = listener else {
            return Ok(());
        };
        info!(address = %listener.local_address()?, "serving the admin API");
        let server = AdminServer {
            orders: self.orders.clone(),
            ready: self.ready.clone(),
            membership: self.membership.clone(),
            maintenance: self.maintenance.get().cloned(),
        };
        tasks.spawn(server.run(listener));
        Ok(())
    }

    pub(super) fn start_successor_handler<L: Listener>(
        &self,
        tasks: &mut BackgroundTasks,
        state_directory: Option<&Path>,
        listener: &L,
    ) -> io::Result<()> {
        let Some(directory) = state_directory else {
            return Ok(());
        };
        let handler = SuccessorHandler {
            path: handover_socket::path(directory, &self.name),
            name: self.name.clone(),
            listener: listener.duplicate()?,
            channel: Rc::clone(&self.successor),
            orders: self.orders.orders.clone(),
            events: self.events.clone(),
            client_permits: Rc::clone(&self.client_permits),
            pressure: Rc::clone(&self.pressure),
            polls: Rc::clone(&self.runtime.polls),
            resident: Rc::clone(&self.runtime.resident),
            ready: self.ready.clone(),
            phase: self.phase.clone(),
        };
        tasks.spawn(handler.run());
        Ok(())
    }

    /// Goes on with the upgrade where there is a process to take over from. Returns what that process knew, and where its
    /// connections come.
    pub(super) fn start_upgrade(
        &self,
        tasks: &mut BackgroundTasks,
        predecessor: Option<Predecessor>,
    ) -> (Option<HandoverState>, mpsc::Receiver<HandedOverConnection>) {
        let (sender, handed_over) = mpsc::channel(MAX_HANDED_OVER);
        let Some(mut predecessor) = predecessor else {
            return (None, handed_over);
        };
        let inherited = predecessor.state.take();
        let coordinator = UpgradeCoordinator {
            predecessor,
            channel: Rc::clone(&self.predecessor),
            orders: self.orders.orders.clone(),
            handed_over: sender,
            client_permits: Rc::clone(&self.client_permits),
            ready: self.ready.clone(),
            resident: Rc::clone(&self.runtime.resident),
            events: self.events.clone(),
        };
        tasks.spawn(coordinator.run());
        (inherited, handed_over)
    }

    pub(super) fn log_counters(&self) {
        let counters = self.runtime.counters.to_string();
        let memory = self.runtime.memory.to_string();
        info!(
            counters = counters.trim_end().replace("\r\n", " "),
            memory = memory.trim_end().replace("\r\n", " "),
            "stopped"
        );
    }

    /// Leaves the group, unless a successor stays in it.
    pub(super) async fn leave_group(&self) {
        let Some(membership) = &self.membership else {
            return;
        };
        if self.phase.borrow().hands_over() {
            return;
        }
        if let Some(maintenance) = self.maintenance.get() {
            maintenance.leave();
        }
        membership.leave().await;
    }
}

fn client_permits(limit: usize, predecessor: Option<&Predecessor>) -> ClientPermits {
    predecessor.map_or_else(
        || ClientPermits::new(limit),
        |predecessor| ClientPermits::inheriting(limit, predecessor.client_permits),
    )
}
