//! Puts the parts together on one single-threaded runtime.
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use stairfront_codec::budget::Budget;
use stairfront_membership_agent::{CordonSetFile, MembershipAgent};
use stairfront_policy::interface::Settings;
use stairfront_raft_node::{AgreementSection, RaftNode, RaftNodeSettings};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify, Semaphore};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tracing::info;

use crate::client::server::{self as client_server, ClientContext, ConnectionPressure};
use crate::clock::{duration, Clock};
use crate::configuration::config::Config;
use crate::configuration::limits::stall_limit;
use crate::configuration::request_catalog::RequestCatalog;
use crate::control::admin_server::{self, AdminServer};
use crate::control::cordon_record::CordonRecord;
use crate::control::discovery::DiscoveryWatch;
use crate::control::gossip_transport::GossipTransport;
use crate::control::maintenance::{MaintenanceHandles, MaintenanceService, Plans};
use crate::control::pending_order;
use crate::control::reload::{self, ConfigReloader};
use crate::counters::{Counters, OriginUsage};
use crate::engine::{Engine, EngineHandles};
use crate::lifecycle::handover::{
    self, HandoverChannel, Predecessor, SuccessorHandler, UpgradeCoordinator, MAX_HANDED_OVER,
};
use crate::lifecycle::handover_socket;
use crate::lifecycle::loop_monitor::{self, RuntimeHandles};
use crate::lifecycle::shutdown::{watch_signals, Phase};
use crate::messages::EngineEvent;
use crate::stages::parse::RequestParser;
use crate::stages::route::Decide;
use crate::transport::{self, Listener, Network, Tcp};
use crate::upstream::upstream_pool::{PoolSettings, UpstreamPool};

/// Messages that may wait for the engine; senders wait beyond that. Each is handled in some microseconds.
const INBOX: usize = 1024;

/// Serves on the kernel's sockets until told to stop. `decider` makes the decision module from its settings and a seed.
pub fn run<D: Decide>(config: Config, decider: impl FnOnce(Settings, u64) -> D) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        // Caught before the first connection can come, and so before the first +PONG.
        let hangups = reload::catch_hangups()?;
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
        let handover_path = folder
            .as_deref()
            .map(|folder| handover_socket::path(folder, &config.name));
        let inherited = match &handover_path {
            Some(path) => handover::ask(path, &config.name, config.listen).await,
            None => None,
        };
        let (listener, predecessor) = match inherited {
            Some((listener, predecessor)) => (TcpListener::from_std(listener)?, Some(predecessor)),
            None => (transport::listen(config.listen)?, None),
        };
        let operators = match config.operators {
            Some(address) => Some(transport::listen(address).map_err(|problem| {
                io::Error::new(
                    problem.kind(),
                    format!("ops: cannot listen on {address}: {problem}"),
                )
            })?),
            None => None,
        };
        let (phase, phases) = watch::channel(Phase::Running);
        let (rung, rings) = mpsc::channel(1);
        let successor = Rc::new(HandoverChannel::default());
        let has_successor = {
            let successor = Rc::clone(&successor);
            move || successor.is_up()
        };
        let (stopping, reloading) = (
            spawn_local(watch_signals(phase, has_successor)),
            spawn_local(reload::pass_on(hangups, rung)),
        );
        let members = config.membership.as_ref().map(|raw| {
            let record = CordonSetFile::in_directory(folder.as_deref(), &raw.group, &config.name);
            MembershipAgent::new(raw, &config.name, config.seed, record)
        });
        let around = ServerDependencies {
            network: Tcp,
            listener,
            operators,
            folder,
            predecessor,
            successor,
            members,
            clock: Clock::start(),
            phase: phases,
            hangups: rings,
        };
        let served = serve(config, decider, around).await;
        stopping.abort();
        reloading.abort();
        served
    }))
}

/// Tells the engine once that this process is to end.
async fn tell_of_the_end(mut phase: watch::Receiver<Phase>, inbox: mpsc::Sender<EngineEvent>) {
    if phase
        .wait_for(|phase| *phase != Phase::Running)
        .await
        .is_ok()
    {
        // The engine is gone only when the whole balancer ends.
        let _ = inbox.send(EngineEvent::Ending).await;
    }
}

/// What a balancer finds round itself: its network, its clock and those who tell it to stop or to read again.
pub struct ServerDependencies<N, L> {
    pub network: N,
    pub listener: L,
    /// Where operators call.
    pub operators: Option<L>,
    /// For what is to outlive this process; shared with the one that follows it.
    pub folder: Option<PathBuf>,
    /// The process that this one takes over from, and the one that takes over from it.
    pub predecessor: Option<Predecessor>,
    pub successor: Rc<HandoverChannel>,
    /// The group that this balancer is a member of, where there is one.
    pub members: Option<Rc<MembershipAgent>>,
    pub clock: Clock,
    pub phase: watch::Receiver<Phase>,
    pub hangups: mpsc::Receiver<()>,
}

/// Serves until the phase says to close and all that was taken is answered; on a hangup the configuration is read
/// again.
pub async fn serve<D: Decide, N: Network, L: Listener>(
    mut config: Config,
    decider: impl FnOnce(Settings, u64) -> D,
    around: ServerDependencies<N, L>,
) -> io::Result<()> {
    let ServerDependencies {
        network,
        listener,
        operators,
        folder,
        predecessor,
        successor,
        members,
        clock,
        phase,
        hangups,
    } = around;
    let before = Rc::new(HandoverChannel::default());
    let ask_agent = Rc::new(Notify::new());
    let (known, start) = (std::mem::take(&mut config.known), config.start.clone());
    let zones = start.names.zones.clone();
    let agreement = config.agreement.clone();
    let (name, seed, sockets, memory) = (
        config.name.clone(),
        config.seed,
        config.sockets,
        config.memory,
    );
    let (agent, agents) = watch::channel(config.discovery);
    let (inbox, inputs) = mpsc::channel(INBOX);
    let (ready, is_ready) = watch::channel(false);
    let (orders, ordered) = mpsc::channel(pending_order::MAX_WAITING);
    let counters = Rc::new(Counters::default());
    let (clients_elsewhere, servers_elsewhere) = predecessor
        .as_ref()
        .map_or((0, 0), |old| (old.clients, old.servers));
    let limits = PoolSettings {
        connections: sockets.servers,
        elsewhere: servers_elsewhere,
        connect_timeout: duration(start.settings.limits.connect_timeout),
        servers_idle_limit: duration(start.host.idle),
        stall_limit: stall_limit(&start.settings),
        memory,
    };
    let pool = UpstreamPool::new(
        network.clone(),
        limits,
        start.names.report.clone(),
        inbox.clone(),
        Rc::clone(&counters),
    );
    let watch = DiscoveryWatch::new(
        network,
        agents,
        start.names.clone(),
        known.index,
        seed,
        inbox.clone(),
        Rc::clone(&counters),
    )
    .asked_by(Rc::clone(&ask_agent));
    let door = loop_monitor::door(&start.settings, clock, seed);
    let lists = inbox.clone();
    let terms = Rc::new(RefCell::new(RequestCatalog::of(&start)));
    let places = Arc::new(Semaphore::new(
        sockets.clients.saturating_sub(clients_elsewhere),
    ));
    let kept = Rc::new(OnceCell::new());
    let context = Rc::new(ClientContext {
        inbox: inbox.clone(),
        intake: RequestParser {
            terms: Rc::clone(&terms),
            clock,
            counters: Rc::clone(&counters),
            door: Rc::clone(&door),
            ready: is_ready.clone(),
            members: members.clone(),
            keeper: Rc::clone(&kept),
        },
        counters: Rc::clone(&counters),
        phase: phase.clone(),
        crowd: ConnectionPressure::default(),
        places: Arc::clone(&places),
        elsewhere: Cell::new(clients_elsewhere),
        successor: Rc::clone(&successor),
        budget: Budget::new(memory.commands),
        large: Budget::new(memory.large_commands),
        next_id: Cell::new(0),
    });
    let decider = |settings| decider(settings, seed);
    let vitals = RuntimeHandles {
        clock,
        door,
        counters: Rc::clone(&counters),
    };
    let record = CordonRecord::within(folder.as_deref(), &name);
    let last_phase = phase.clone();
    let hands_over = move || last_phase.borrow().hands_over();
    let mut watching = Vec::new();
    // Danger: one that starts with nothing would send to what the others hold out. It asks before it serves.
    let group = match &members {
        Some(members) => {
            watching.push(spawn_local(Rc::clone(members).run()));
            Some((
                Rc::clone(members),
                members.bootstrap(predecessor.is_none()).await,
            ))
        }
        None => None,
    };
    let origin = Rc::new(OriginUsage::default());
    let shared = EngineHandles {
        vitals: vitals.clone(),
        ready,
        record,
        terms,
        members: group,
        origin: Rc::clone(&origin),
    };
    let engine = Engine::new(start, decider, memory, pool, shared);
    info!(
        "{name} serves on {} with {} known servers",
        listener.local_address()?,
        known.lines.len()
    );
    let reloads = ConfigReloader::new(config, agent, lists, Rc::clone(&counters));
    let beating = loop_monitor::beat(vitals);
    watching.push(spawn_local(tell_of_the_end(phase.clone(), inbox.clone())));
    watching.extend([
        spawn_local(beating),
        spawn_local(watch.run()),
        spawn_local(reloads.run(hangups)),
    ]);
    if let Some(members) = &members {
        let links = [Rc::clone(&before), Rc::clone(&successor)];
        let (orders, inbox) = (orders.clone(), inbox.clone());
        let carrier = GossipTransport {
            members: Rc::clone(members),
            orders,
            inbox,
            links,
            ask_agent,
        };
        watching.push(spawn_local(carrier.run()));
    }
    let keeper = match (&members, agreement) {
        (
            Some(members),
            Some(AgreementSection {
                voters: names,
                store,
            }),
        ) => {
            let group = members.report().group;
            let settings = RaftNodeSettings {
                name: name.clone(),
                group,
                voter_names: names.clone(),
                store_path: store,
                seed,
            };
            let voters = RaftNode::new(Rc::clone(members), settings, Plans::default());
            let keeper = MaintenanceService::new(MaintenanceHandles {
                voters,
                members: Rc::clone(members),
                orders: orders.clone(),
                inbox: inbox.clone(),
                links: [Rc::clone(&before), Rc::clone(&successor)],
                counters: Rc::clone(&counters),
                origin,
                zones,
                names,
                me: name.clone(),
            });
            watching.push(spawn_local(Rc::clone(&keeper).run()));
            // Set here alone.
            let _ = kept.set(Rc::clone(&keeper));
            Some(keeper)
        }
        _ => None,
    };
    if let Some(listener) = operators {
        info!("operators call at {}", listener.local_address()?);
        let links = [Rc::clone(&before), Rc::clone(&successor)];
        let (members, keeper) = (members.clone(), keeper.clone());
        let desk = AdminServer {
            orders: orders.clone(),
            links,
            ready: is_ready.clone(),
            members,
            keeper,
        };
        watching.push(spawn_local(admin_server::serve(listener, desk)));
    }
    if let Some(folder) = &folder {
        let attendant = SuccessorHandler {
            path: handover_socket::path(folder, &name),
            name,
            listener: listener.duplicate()?,
            link: successor,
            orders: orders.clone(),
            inbox: inbox.clone(),
            places: Arc::clone(&places),
            most_clients: sockets.clients,
            ready: is_ready,
            phase,
        };
        watching.push(spawn_local(attendant.run()));
    }
    let (handed, connections) = mpsc::channel(MAX_HANDED_OVER);
    let mut inherited = None;
    if let Some(mut predecessor) = predecessor {
        inherited = predecessor.state.take();
        let orders = orders.clone();
        let succession = UpgradeCoordinator {
            predecessor,
            link: before,
            orders,
            handed,
            inbox,
        };
        watching.push(spawn_local(succession.run()));
    }
    let mut deciding = spawn_local(engine.run(known, inherited, inputs, ordered));
    let ended = tokio::select! {
        () = client_server::serve(listener, context, sockets.clients, connections) => Ok(()),
        // Danger: without its engine a balancer would take requests and answer none.
        ended = &mut deciding => Err(io::Error::other(format!("the engine ended: {ended:?}"))),
    };
    if let Some(members) = members.filter(|_| !hands_over()) {
        kept.get().iter().for_each(|keeper| keeper.leave());
        members.leave().await;
    }
    watching.iter().for_each(JoinHandle::abort);
    deciding.abort();
    drop(orders);
    info!(
        "stopped: {}",
        counters.to_string().trim_end().replace("\r\n", " ")
    );
    ended
}
