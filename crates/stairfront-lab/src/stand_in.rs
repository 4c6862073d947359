//! One stand-in server by itself, for a person to try a balancer against, until Ctrl-C.
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rustc_hash::FxHashMap;
use stairfront_codec::resp::{put_bulk, put_number};
use stairfront_emulator::agent::{Agent, Line, Status};
use stairfront_emulator::cache_host::{CacheHost, CacheSettings, RepeatGroup};
use stairfront_emulator::origin::{Origin, OriginSettings};
use stairfront_emulator::time::from_ms;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

use crate::clock::RunClock;
use crate::event_log::EventLog;
use crate::server_host::{Address, ServerHost, Service};
use crate::services::{
    AgentService, CacheService, Notifier, OriginNotification, OriginService, SharedEventLog,
};

/// Words to a cache that wait; more are dropped, which costs it a miss.
const MAX_QUEUED_NOTIFICATIONS: usize = 10_000;
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(1);

/// What is to stand in.
pub enum StandIn {
    /// A cache host; `cold` for one that has just started.
    Cache {
        settings: CacheSettings,
        cold: bool,
    },
    /// The origin, and the caches that it fills.
    Origin {
        settings: OriginSettings,
        caches: Vec<SocketAddr>,
    },
    Discovery {
        lines: Vec<Line>,
        lag_ms: f64,
    },
}

/// A server of a list, from `name=address`; the one called `origin` is the origin.
pub fn parse_server(text: &str) -> Result<Line, String> {
    let (name, address) = text
        .split_once('=')
        .ok_or(format!("{text:?} is not name=address"))?;
    let address: SocketAddr = address
        .parse()
        .map_err(|_| format!("{address:?} is not an address and a port"))?;
    let kind = if name == "origin" { "origin" } else { "cache" };
    Ok(Line {
        name: name.to_string(),
        address: address.to_string(),
        zone: "a".to_string(),
        kind: kind.to_string(),
        group: 0,
        status: Status::Serving,
        since_ms: 0,
    })
}

/// Serves at an address until Ctrl-C or SIGTERM.
pub fn serve(what: StandIn, listen: SocketAddr, seed: u64) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        let clock = RunClock::starting_in(Duration::ZERO);
        // Nobody checks rules here: what is seen is dropped.
        let (to, received) = std::sync::mpsc::channel();
        drop(received);
        let event_log: SharedEventLog = Rc::new(RefCell::new(EventLog::new(clock, to)));
        match what {
            StandIn::Cache { settings, cold } => {
                let mut model =
                    CacheHost::new(settings, seed, &listen.to_string(), RepeatGroup::shared());
                if cold {
                    model.start_cold(clock.now());
                }
                serve_until_stopped(clock, CacheService::new(model, 0, event_log), listen).await
            }
            StandIn::Origin { settings, caches } => {
                let notifier = notifier(&caches);
                serve_until_stopped(
                    clock,
                    OriginService::new(Origin::new(settings, seed), 0, event_log, notifier),
                    listen,
                )
                .await
            }
            StandIn::Discovery { lines, lag_ms } => {
                let agent = Agent::new(lines, from_ms(lag_ms));
                serve_until_stopped(
                    clock,
                    AgentService::new(agent, FxHashMap::default(), 0, event_log),
                    listen,
                )
                .await
            }
        }
    }))
}

async fn serve_until_stopped<S: Service>(
    clock: RunClock,
    service: S,
    listen: SocketAddr,
) -> io::Result<()> {
    let server_host = ServerHost::new(clock, service, vec![Address::reserve_at(listen)?], 0);
    server_host.listen()?;
    eprintln!("stands in at {listen}");
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
    server_host.die();
    Ok(())
}

/// Passes words on to caches in other processes, each over a connection of its own.
fn notifier(caches: &[SocketAddr]) -> Notifier {
    let to: Vec<mpsc::Sender<OriginNotification>> = caches
        .iter()
        .map(|cache| {
            let (to, notifications) = mpsc::channel(MAX_QUEUED_NOTIFICATIONS);
            spawn_local(forward_notifications(*cache, notifications));
            to
        })
        .collect();
    Rc::new(move |notification| {
        to.iter()
            .for_each(|cache| drop(cache.try_send(notification.clone())))
    })
}

async fn forward_notifications(
    cache: SocketAddr,
    mut notifications: mpsc::Receiver<OriginNotification>,
) {
    while let Some(first) = notifications.recv().await {
        let exchange = async {
            let mut socket = TcpStream::connect(cache).await?;
            let mut next = Some(first);
            while let Some(notification) = next {
                let (name, argument) = match &notification {
                    OriginNotification::Filled { id } => (&b"STAND-IN.FILL"[..], id),
                    OriginNotification::Written { key } => (&b"STAND-IN.DROP"[..], key),
                };
                let mut out = BytesMut::new();
                put_number(&mut out, b'*', 2);
                put_bulk(&mut out, name);
                put_bulk(&mut out, argument);
                socket.write_all(&out).await?;
                timeout(NOTIFICATION_TIMEOUT, socket.read_exact(&mut [0; 5])).await??;
                next = notifications.recv().await;
            }
            Ok::<(), io::Error>(())
        };
        if exchange.await.is_err() {
            sleep(NOTIFICATION_TIMEOUT).await;
        }
    }
}
