//! Starts a balancer on one single-threaded runtime: [`serve`] shows in which order its parts are put together, each of
//! which `assembly` makes.
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use stairfront_membership_agent::{CordonSetFile, MembershipAgent};
use stairfront_policy::interface::Settings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tracing::info;

use crate::arrival::PollClock;
use crate::client::accept;
use crate::clock::Clock;
use crate::configuration::config::Config;
use crate::control::reload;
use crate::control::server_list::ServerList;
use crate::lifecycle::assembly::{Assembly, BackgroundTasks};
use crate::lifecycle::handover::{self, HandoverChannel, Predecessor};
use crate::lifecycle::shutdown::{Phase, ShutdownTime, SignalWatch};
use crate::lifecycle::{handover_socket, loop_monitor};
use crate::memory::resident::ResidentMemory;
use crate::stages::route::Decide;
use crate::transport::{self, Listener, Network, Tcp};

/// Serves on the kernel's sockets until told to stop. `build_policy` makes the decision module from its settings and a
/// seed.
///
/// # Errors
///
/// If an address cannot be listened at, a signal cannot be caught, or the engine ends by itself.
pub fn run<D: Decide>(
    mut config: Config,
    build_policy: impl FnOnce(Settings, u64) -> D,
) -> io::Result<()> {
    let resident = Rc::new(ResidentMemory::of_this_process());
    config.memory = config.memory.with_program(resident.own_bytes());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        // Caught before the first connection can be accepted, and so before the first `PONG`.
        let hangups = reload::catch_hangups()?;
        let state_directory = std::env::var_os("TMPDIR").map(PathBuf::from);
        let (listener, predecessor) = listen(&config, state_directory.as_deref()).await?;
        let admin_listener = listen_for_admin(&config)?;
        let (phase, phases) = watch::channel(Phase::Running);
        let (hangup_sender, hangup_receiver) = mpsc::channel(1);
        let successor = Rc::new(HandoverChannel::default());
        let has_successor = {
            let successor = Rc::clone(&successor);
            move || successor.is_connected()
        };
        let (requested_at, polls) = (ShutdownTime::default(), Rc::new(PollClock::start()));
        let signals = SignalWatch {
            phase,
            requested_at: Rc::clone(&requested_at),
            polls: Rc::clone(&polls),
        };
        let stopping = spawn_local(signals.run(has_successor));
        let reloading = spawn_local(reload::forward_hangups(hangups, hangup_sender));
        let membership = start_membership(&config, state_directory.as_deref());
        let dependencies = ServerDependencies {
            network: Tcp,
            listener,
            admin_listener,
            state_directory,
            predecessor,
            successor,
            membership,
            clock: Clock::start(),
            polls,
            resident,
            phase: phases,
            requested_at,
            hangups: hangup_receiver,
        };
        let served = serve(config, build_policy, dependencies).await;
        stopping.abort();
        reloading.abort();
        served
    }))
}

/// The listener for clients: that of the running process, or a new one where there is none to take over.
async fn listen(
    config: &Config,
    state_directory: Option<&Path>,
) -> io::Result<(TcpListener, Option<Predecessor>)> {
    if let Some(directory) = state_directory {
        let path = handover_socket::path(directory, &config.name);
        let taken_over = handover::request_takeover(&path, &config.name, config.listen).await;
        if let Some((listener, predecessor)) = taken_over {
            return Ok((TcpListener::from_std(listener)?, Some(predecessor)));
        }
    }
    Ok((transport::listen(config.listen)?, None))
}

fn listen_for_admin(config: &Config) -> io::Result<Option<TcpListener>> {
    let Some(address) = config.admin else {
        return Ok(None);
    };
    let listener = transport::listen(address).map_err(|error| {
        let text = format!("ops: cannot listen on {address}: {error}");
        io::Error::new(error.kind(), text)
    })?;
    Ok(Some(listener))
}

fn start_membership(
    config: &Config,
    state_directory: Option<&Path>,
) -> Option<Rc<MembershipAgent>> {
    let section = config.membership.as_ref()?;
    let record = CordonSetFile::in_directory(state_directory, &section.group, &config.name);
    Some(MembershipAgent::new(
        section,
        &config.name,
        config.seed,
        record,
    ))
}

/// Everything that a balancer is given: its network, its clock, and who tells it to stop or to reload.
pub struct ServerDependencies<N, L> {
    /// Makes connections to servers and to discovery.
    pub network: N,
    /// The listener for clients.
    pub listener: L,
    /// The listener of the admin API.
    pub admin_listener: Option<L>,
    /// Directory of what outlives this process, shared with the one that follows it.
    pub state_directory: Option<PathBuf>,
    /// The process that this one takes over from.
    pub predecessor: Option<Predecessor>,
    /// The process that takes over from this one.
    pub successor: Rc<HandoverChannel>,
    /// The member of the group, where there is a group.
    pub membership: Option<Rc<MembershipAgent>>,
    /// The clock.
    pub clock: Clock,
    /// When the event loop has polled the network.
    pub polls: Rc<PollClock>,
    /// The memory that the kernel counts for this balancer.
    pub resident: Rc<ResidentMemory>,
    /// How far the end of this process has come.
    pub phase: watch::Receiver<Phase>,
    /// When the end of this process was requested.
    pub requested_at: ShutdownTime,
    /// Each message has the configuration read again.
    pub hangups: mpsc::Receiver<()>,
}

/// The list to start with. Without discovery that of the configuration is the newest.
fn newest_list(config: &mut Config, predecessor: Option<&Predecessor>) -> ServerList {
    let known = std::mem::take(&mut config.known);
    match predecessor.and_then(|predecessor| predecessor.state.as_ref()) {
        Some(state) if config.discovery.is_some() => state.newest_list(known, &config.start.names),
        _ => known,
    }
}

/// Serves until the phase says to close and all accepted requests are answered.
///
/// # Errors
///
/// If a listener fails, or the engine ends by itself: without it requests would be accepted and never answered.
pub async fn serve<D: Decide, N: Network, L: Listener>(
    mut config: Config,
    build_policy: impl FnOnce(Settings, u64) -> D,
    dependencies: ServerDependencies<N, L>,
) -> io::Result<()> {
    let (assembly, engine_ends) = Assembly::new(&config, &dependencies);
    let ServerDependencies {
        network,
        listener,
        admin_listener,
        state_directory,
        predecessor,
        hangups,
        ..
    } = dependencies;
    let state_directory = state_directory.as_deref();
    let known = newest_list(&mut config, predecessor.as_ref());
    let (agent_sender, agent) = watch::channel(config.discovery);

    let pool = assembly.pool(network.clone(), predecessor.as_ref());
    let discovery = assembly.discovery_watch(network, agent, known.index);
    let client_context = assembly.client_context();
    let mut tasks = BackgroundTasks::default();
    let group = assembly.join_group(&mut tasks, predecessor.is_none()).await;
    let handles = assembly.engine_handles(engine_ends.ready, group, state_directory);
    let engine = assembly.engine(build_policy, pool, handles);
    info!(
        balancer = assembly.name,
        address = %listener.local_address()?,
        servers = known.entries.len(),
        "serving clients"
    );
    let reloader = assembly.reloader(config, agent_sender);
    tasks.spawn(assembly.report_shutdown());
    tasks.spawn(loop_monitor::run(assembly.runtime.clone()));
    tasks.spawn(discovery.run());
    tasks.spawn(reloader.run(hangups));
    assembly.start_group_services(&mut tasks);
    assembly.start_admin_server(&mut tasks, admin_listener)?;
    assembly.start_successor_handler(&mut tasks, state_directory, &listener)?;
    let (inherited, handed_over) = assembly.start_upgrade(&mut tasks, predecessor);
    let engine = engine.run(known, inherited, engine_ends.events, engine_ends.orders);

    let mut engine = spawn_local(engine);
    let ended = tokio::select! {
        () = accept::serve(listener, client_context, handed_over) => Ok(()),
        ended = &mut engine => Err(io::Error::other(format!("the engine ended: {ended:?}"))),
    };
    assembly.leave_group().await;
    tasks.abort();
    engine.abort();
    assembly.log_counters();
    ended
}
