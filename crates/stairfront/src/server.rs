//! Puts the parts together on one single-threaded runtime.
use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tracing::info;

use crate::budget::Budget;
use crate::caches::{Pool, PoolLimits};
use crate::clients::{self, Context, Crowd};
use crate::clock::{duration, Clock};
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::Watch;
use crate::engine::Engine;
use crate::reload::{self, Reloads};
use crate::shutdown::{watch_signals, Phase};

/// Messages that may wait for the engine; senders wait beyond that. Each is handled in some microseconds.
const INBOX: usize = 1024;

/// Serves until told to stop.
pub fn run(config: Config) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        // Caught before the first connection can come, and so before the first +PONG.
        let hangups = reload::catch_hangups()?;
        let listener = TcpListener::bind(config.listen).await?;
        let (phase, phases) = watch::channel(Phase::Running);
        let (rung, rings) = mpsc::channel(1);
        let (stopping, reloading) =
            (spawn_local(watch_signals(phase)), spawn_local(reload::pass_on(hangups, rung)));
        let served = serve(config, listener, phases, rings).await;
        stopping.abort();
        reloading.abort();
        served
    }))
}

/// Serves until the phase says to close and all that was taken is answered; on a hangup the configuration is read
/// again.
pub async fn serve(
    mut config: Config,
    listener: TcpListener,
    phase: watch::Receiver<Phase>,
    hangups: mpsc::Receiver<()>,
) -> io::Result<()> {
    let (known, start) = (std::mem::take(&mut config.known), config.start.clone());
    let (name, seed, sockets, memory) = (config.name.clone(), config.seed, config.sockets, config.memory);
    let (agent, agents) = watch::channel(config.discovery);
    let (inbox, inputs) = mpsc::channel(INBOX);
    let (ready, is_ready) = watch::channel(false);
    let counters = Rc::new(Counters::default());
    let clock = Clock::start();
    let limits = PoolLimits {
        connections: sockets.servers,
        connect_timeout: duration(start.settings.limits.connect_timeout),
        servers_idle_limit: duration(start.host.idle),
        memory,
    };
    let pool = Pool::new(limits, start.names.report.clone(), inbox.clone(), Rc::clone(&counters));
    let watch = Watch::new(agents, start.names.clone(), known.index, inbox.clone(), Rc::clone(&counters));
    let context = Rc::new(Context {
        inbox,
        names: start.names.clone(),
        classes: start.settings.classes.clone(),
        clock,
        counters: Rc::clone(&counters),
        ready: is_ready,
        phase,
        crowd: Crowd::default(),
        budget: Budget::new(memory.commands),
        next_id: Cell::new(0),
    });
    let engine = Engine::new(start, seed, memory, clock, pool, Rc::clone(&counters), ready);
    info!("{name} serves on {} with {} known servers", listener.local_addr()?, known.lines.len());
    let reloads = Reloads { current: config, agent, counters: Rc::clone(&counters) };
    let watching = [spawn_local(watch.run()), spawn_local(reloads.run(hangups))];
    let mut deciding = spawn_local(engine.run(known, inputs));
    let ended = tokio::select! {
        () = clients::serve(listener, context, sockets.clients) => Ok(()),
        // Danger: without its engine a balancer would take requests and answer none.
        ended = &mut deciding => Err(io::Error::other(format!("the engine ended: {ended:?}"))),
    };
    watching.iter().for_each(JoinHandle::abort);
    deciding.abort();
    info!("stopped: {}", counters.to_string().trim_end().replace("\r\n", " "));
    ended
}
