//! One stand-in server by itself, for a person to try a balancer against, until Ctrl-C.
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rustc_hash::FxHashMap;
use stairfront_codec::resp::{put_bulk, put_number};
use stairfront_common::time::from_ms;
use stairfront_emulator::cache_host::{CacheHost, CacheSettings, IdempotencyStore};
use stairfront_emulator::discovery_agent::{DiscoveryAgent, EndpointRecord, EndpointStatus};
use stairfront_emulator::origin::{Origin, OriginSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clock::RunClock;
use crate::event_log::EventLog;
use crate::local_runtime::run_local;
use crate::server_host::{ReservedAddress, ServerHost, Service};
use crate::services::{
    AgentService, CacheService, Notifier, OriginNotification, OriginService, SharedEventLog,
};

/// Notifications that wait for a cache; more are dropped, which costs it a miss.
const MAX_QUEUED_NOTIFICATIONS: usize = 10_000;
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);

/// Which server is to stand in.
pub enum StandIn {
    /// A cache host.
    Cache {
        /// Settings of the model.
        settings: CacheSettings,
        /// It has just started.
        cold: bool,
    },
    /// The origin.
    Origin {
        /// Settings of the model.
        settings: OriginSettings,
        /// Caches that it fills.
        caches: Vec<SocketAddr>,
    },
    /// An agent of discovery.
    Discovery {
        /// The servers of its list.
        lines: Vec<EndpointRecord>,
        /// Lag of its list, in milliseconds.
        lag_ms: f64,
    },
}

/// A text that does not name a server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseServerError {
    /// The text has no `=`.
    #[error("{text:?} is not name=address")]
    NoAddress {
        /// The text.
        text: String,
    },
    /// The text behind the `=` is not an address.
    #[error("{address:?} is not an address and a port")]
    Address {
        /// The text behind the `=`.
        address: String,
        /// Why it cannot be parsed.
        source: std::net::AddrParseError,
    },
}

/// Parses a server of a list from `name=address`; the one named `origin` is the origin.
///
/// # Errors
///
/// The text has another form.
pub fn parse_server(text: &str) -> Result<EndpointRecord, ParseServerError> {
    let (name, address) = text
        .split_once('=')
        .ok_or_else(|| ParseServerError::NoAddress {
            text: text.to_string(),
        })?;
    let parsed: SocketAddr = address
        .parse()
        .map_err(|source| ParseServerError::Address {
            address: address.to_string(),
            source,
        })?;
    let kind = if name == "origin" { "origin" } else { "cache" };
    Ok(EndpointRecord {
        name: name.to_string(),
        address: parsed.to_string(),
        zone: "a".to_string(),
        kind: kind.to_string(),
        group: 0,
        status: EndpointStatus::Serving,
        since_ms: 0,
    })
}

/// Serves at an address until Ctrl-C or SIGTERM.
///
/// # Errors
///
/// The address cannot be listened at.
pub fn serve(what: StandIn, listen: SocketAddr, seed: u64) -> io::Result<()> {
    run_local(serve_model(what, listen, seed))?
}

async fn serve_model(what: StandIn, listen: SocketAddr, seed: u64) -> io::Result<()> {
    let clock = RunClock::starting_in(Duration::ZERO);
    // Nobody checks rules here, so the events are dropped.
    let (sender, receiver) = std::sync::mpsc::channel();
    drop(receiver);
    let event_log: SharedEventLog = Rc::new(RefCell::new(EventLog::new(clock, sender)));
    match what {
        StandIn::Cache { settings, cold } => {
            let name = listen.to_string();
            let mut model = CacheHost::new(settings, seed, &name, IdempotencyStore::shared());
            if cold {
                model.start_cold(clock.now());
            }
            let service = CacheService::new(model, 0, event_log);
            serve_until_stopped(clock, service, listen).await
        }
        StandIn::Origin { settings, caches } => {
            let notifier = notify_remote_caches(&caches);
            let service = OriginService::new(Origin::new(settings, seed), 0, event_log, notifier);
            serve_until_stopped(clock, service, listen).await
        }
        StandIn::Discovery { lines, lag_ms } => {
            let agent = DiscoveryAgent::new(lines, from_ms(lag_ms));
            let service = AgentService::new(agent, FxHashMap::default(), 0, event_log);
            serve_until_stopped(clock, service, listen).await
        }
    }
}

async fn serve_until_stopped<S: Service>(
    clock: RunClock,
    service: S,
    listen: SocketAddr,
) -> io::Result<()> {
    let addresses = vec![ReservedAddress::reserve_at(listen)?];
    let server = ServerHost::new(clock, service, addresses, 0);
    server.listen()?;
    eprintln!("stands in at {listen}");
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
    server.die();
    Ok(())
}

/// Passes notifications on to caches in other processes, each over a connection of its own.
fn notify_remote_caches(caches: &[SocketAddr]) -> Notifier {
    let start = |cache: &SocketAddr| {
        let (queue, notifications) = mpsc::channel(MAX_QUEUED_NOTIFICATIONS);
        spawn_local(forward_notifications(*cache, notifications));
        queue
    };
    let queues: Vec<mpsc::Sender<OriginNotification>> = caches.iter().map(start).collect();
    Rc::new(move |notification| {
        for queue in &queues {
            // A full queue costs the cache a miss.
            let _ = queue.try_send(notification.clone());
        }
    })
}

async fn forward_notifications(
    cache: SocketAddr,
    mut notifications: mpsc::Receiver<OriginNotification>,
) {
    while let Some(first) = notifications.recv().await {
        if exchange(cache, first, &mut notifications).await.is_err() {
            sleep(RECONNECT_INTERVAL).await;
        }
    }
}

/// Sends notifications over one connection until it fails.
async fn exchange(
    cache: SocketAddr,
    first: OriginNotification,
    notifications: &mut mpsc::Receiver<OriginNotification>,
) -> io::Result<()> {
    let mut socket = TcpStream::connect(cache).await?;
    let mut next = Some(first);
    while let Some(notification) = next {
        socket.write_all(&encode(&notification)).await?;
        timeout(NOTIFICATION_TIMEOUT, socket.read_exact(&mut [0; 5])).await??;
        next = notifications.recv().await;
    }
    Ok(())
}

/// A notification as a command between stand-ins.
fn encode(notification: &OriginNotification) -> BytesMut {
    let (name, argument) = match notification {
        OriginNotification::Filled { id } => (&b"STAND-IN.FILL"[..], id),
        OriginNotification::Written { key } => (&b"STAND-IN.DROP"[..], key),
    };
    let mut out = BytesMut::new();
    put_number(&mut out, b'*', 2);
    put_bulk(&mut out, name);
    put_bulk(&mut out, argument);
    out
}
