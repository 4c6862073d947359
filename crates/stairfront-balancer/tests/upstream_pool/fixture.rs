//! A pool of connections to one cache host, and attempts for it.
use std::rc::Rc;

use bytes::Bytes;
use stairfront_balancer::configuration::memory::Memory;
use stairfront_balancer::counters::Counters;
use stairfront_balancer::memory::ledger::MemoryLedger;
use stairfront_balancer::messages::{
    AttemptEnd, AttemptId, Command, EngineEvent, Job, PoolEvent, Verb,
};
use stairfront_balancer::transport::{Network, Tcp};
use stairfront_balancer::upstream::upstream_pool::{
    PoolSettings, Protocol, UpstreamPool, UpstreamTarget,
};
use stairfront_policy::interface::{CacheId, RequestId};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use stairfront_test_support::loopback::ms;

pub const CACHE: CacheId = CacheId(1);

pub fn job(id: u32) -> (Job, oneshot::Sender<()>) {
    let (cancel, cancelled) = oneshot::channel();
    let word = Bytes::from_static(b"w");
    let command = Command {
        verb: Verb::Get,
        key: word.clone(),
        id: word.clone(),
        info: word,
        value: None,
        idempotent: true,
    };
    let (attempt, now) = (
        AttemptId {
            request: RequestId(id),
            number: 0,
        },
        Instant::now(),
    );
    let give_up_at = now + ms(1000);
    let liveness = Rc::default();
    (
        Job {
            attempt,
            cache: CACHE,
            command,
            memory: None,
            decided_at: now,
            started_at: now,
            give_up_at,
            window_end: None,
            cancel: cancelled,
            barred: Rc::default(),
            liveness,
        },
        cancel,
    )
}

pub async fn end<N: Network>(
    pool: &mut UpstreamPool<N>,
    events: &mut mpsc::Receiver<EngineEvent>,
) -> AttemptEnd {
    ends(pool, events).await.remove(0)
}

/// The next ends of attempts that the pool reports.
pub async fn ends<N: Network>(
    pool: &mut UpstreamPool<N>,
    events: &mut mpsc::Receiver<EngineEvent>,
) -> Vec<AttemptEnd> {
    let mut ends: Vec<AttemptEnd> = Vec::new();
    while ends.is_empty() {
        match events.recv().await {
            Some(EngineEvent::Pool(event)) => {
                let idle = matches!(event, PoolEvent::Idle { .. });
                pool.handle(event, &mut ends);
                assert!(!idle || !ends.is_empty());
            }
            other => panic!("nothing else is reported: {}", other.is_some()),
        }
    }
    ends
}

/// A pool of `max` connections to one cache host, and the events of its connections.
pub fn pool(
    address: std::net::SocketAddr,
    max: usize,
) -> (UpstreamPool<Tcp>, mpsc::Receiver<EngineEvent>) {
    pool_on(Tcp, address, max, ms(10_000))
}

pub fn pool_on<N: Network>(
    network: N,
    address: std::net::SocketAddr,
    max: usize,
    servers_idle_timeout: std::time::Duration,
) -> (UpstreamPool<N>, mpsc::Receiver<EngineEvent>) {
    pool_of(network, address, max, servers_idle_timeout, Rc::default())
}

pub fn pool_with<N: Network>(
    network: N,
    address: std::net::SocketAddr,
    max: usize,
    counters: Rc<Counters>,
) -> (UpstreamPool<N>, mpsc::Receiver<EngineEvent>) {
    pool_of(network, address, max, ms(10_000), counters)
}

pub fn pool_of<N: Network>(
    network: N,
    address: std::net::SocketAddr,
    max: usize,
    servers_idle_timeout: std::time::Duration,
    counters: Rc<Counters>,
) -> (UpstreamPool<N>, mpsc::Receiver<EngineEvent>) {
    let (event_sender, events) = mpsc::channel(16);
    let settings = PoolSettings {
        servers_idle_timeout,
        ..settings(max)
    };
    let mut pool = UpstreamPool::new(network, settings, Vec::new(), event_sender, counters);
    pool.set_target(
        CACHE,
        UpstreamTarget {
            address,
            protocol: Protocol::Resp,
        },
    );
    (pool, events)
}

pub fn settings(max_connections: usize) -> PoolSettings {
    PoolSettings {
        max_connections,
        held_by_predecessor: 0,
        connect_timeout: ms(250),
        servers_idle_timeout: ms(10_000),
        stall_timeout: ms(10_000),
        max_value_bytes: Memory::of(64).max_value_bytes,
        memory: MemoryLedger::new(&Memory::of(64)),
        lists: Rc::default(),
    }
}

/// The kernel's TCP, on which no connection is made before the gate is open.
#[derive(Clone)]
pub struct Late(pub watch::Receiver<bool>);

impl Network for Late {
    type Stream = TcpStream;

    async fn connect(&self, to: std::net::SocketAddr) -> std::io::Result<TcpStream> {
        let socket = Tcp.connect(to).await?;
        self.0.clone().wait_for(|open| *open).await.unwrap();
        Ok(socket)
    }
}
