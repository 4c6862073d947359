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
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

use crate::clock::RunClock;
use crate::services::{AgentService, CacheService, OriginService, SharedTape, Tell, Word};
use crate::station::{Address, Service, Station};
use crate::tape::Tape;

/// Words to a cache that wait; more are dropped, which costs it a miss.
const MOST_WORDS: usize = 10_000;
const WORD_LIMIT: Duration = Duration::from_secs(1);

/// What is to stand in.
pub enum StandIn {
    /// A cache host; `cold` for one that has just started.
    Cache { settings: CacheSettings, cold: bool },
    /// The origin, and the caches that it fills.
    Origin {
        settings: OriginSettings,
        caches: Vec<SocketAddr>,
    },
    Discovery {
        lines: Vec<EndpointRecord>,
        lag_ms: f64,
    },
}

/// A server of a list, from `name=address`; the one called `origin` is the origin.
pub fn line(text: &str) -> Result<EndpointRecord, String> {
    let (name, address) = text
        .split_once('=')
        .ok_or(format!("{text:?} is not name=address"))?;
    let address: SocketAddr = address
        .parse()
        .map_err(|_| format!("{address:?} is not an address and a port"))?;
    let kind = if name == "origin" { "origin" } else { "cache" };
    Ok(EndpointRecord {
        name: name.to_string(),
        address: address.to_string(),
        zone: "a".to_string(),
        kind: kind.to_string(),
        group: 0,
        status: EndpointStatus::Serving,
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
        let (to, heard) = std::sync::mpsc::channel();
        drop(heard);
        let tape: SharedTape = Rc::new(RefCell::new(Tape::new(clock, to)));
        match what {
            StandIn::Cache { settings, cold } => {
                let mut model = CacheHost::new(
                    settings,
                    seed,
                    &listen.to_string(),
                    IdempotencyStore::shared(),
                );
                if cold {
                    model.start_cold(clock.now());
                }
                until_stopped(clock, CacheService::new(model, 0, tape), listen).await
            }
            StandIn::Origin { settings, caches } => {
                let tell = tell(&caches);
                until_stopped(
                    clock,
                    OriginService::new(Origin::new(settings, seed), 0, tape, tell),
                    listen,
                )
                .await
            }
            StandIn::Discovery { lines, lag_ms } => {
                let agent = DiscoveryAgent::new(lines, from_ms(lag_ms));
                until_stopped(
                    clock,
                    AgentService::new(agent, FxHashMap::default(), 0, tape),
                    listen,
                )
                .await
            }
        }
    }))
}

async fn until_stopped<S: Service>(
    clock: RunClock,
    service: S,
    listen: SocketAddr,
) -> io::Result<()> {
    let station = Station::new(clock, service, vec![Address::reserve_at(listen)?], 0);
    station.listen()?;
    eprintln!("stands in at {listen}");
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
    station.die();
    Ok(())
}

/// Passes words on to caches in other processes, each over a connection of its own.
fn tell(caches: &[SocketAddr]) -> Tell {
    let to: Vec<mpsc::Sender<Word>> = caches
        .iter()
        .map(|cache| {
            let (to, words) = mpsc::channel(MOST_WORDS);
            spawn_local(pass_on(*cache, words));
            to
        })
        .collect();
    Rc::new(move |word| {
        to.iter()
            .for_each(|cache| drop(cache.try_send(word.clone())))
    })
}

async fn pass_on(cache: SocketAddr, mut words: mpsc::Receiver<Word>) {
    while let Some(first) = words.recv().await {
        let talk = async {
            let mut socket = TcpStream::connect(cache).await?;
            let mut next = Some(first);
            while let Some(word) = next {
                let (name, argument) = match &word {
                    Word::Filled { id } => (&b"STAND-IN.FILL"[..], id),
                    Word::Written { key } => (&b"STAND-IN.DROP"[..], key),
                };
                let mut out = BytesMut::new();
                put_number(&mut out, b'*', 2);
                put_bulk(&mut out, name);
                put_bulk(&mut out, argument);
                socket.write_all(&out).await?;
                timeout(WORD_LIMIT, socket.read_exact(&mut [0; 5])).await??;
                next = words.recv().await;
            }
            Ok::<(), io::Error>(())
        };
        if talk.await.is_err() {
            sleep(WORD_LIMIT).await;
        }
    }
}
