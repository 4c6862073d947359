//! The pool of connections to cache hosts and the origin: how many there are, which stand idle, and which attempts
//! wait for one. Each connection is owned by its task (`connection.rs`).
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stairfront_codec::budget::Budget;
use stairfront_policy::interface::{CacheId, Outcome};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::clock::Instant;
use crate::configuration::limits::Memory;
use crate::counters::Counters;
use crate::messages::{AttemptEnd, AttemptId, ConnectionId, EngineEvent, Job, PoolEvent, Verdict};
use crate::transport::Network;
use crate::upstream::cache_host::CacheCodec;
use crate::upstream::connection::{ConnectionContext, ConnectionTask};
use crate::upstream::origin::OriginCodec;

/// Part of the servers' own idle limit after which a connection is closed here. Danger: a request written to a
/// connection that the server is just closing ends as a reset, and may have run.
const IDLE_PART: f64 = 0.8;

/// Second answers come some milliseconds after the first. Danger: on a connection that has been used again by then one
/// would answer the next request, with what was made for another.
const REST: Duration = Duration::from_millis(50);
/// How long connections rest after one on which more came than was asked for.
const REST_MEMORY: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Resp,
    Http,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamTarget {
    pub address: SocketAddr,
    pub protocol: Protocol,
}

struct Host {
    endpoint: UpstreamTarget,
    /// Raised when connections made so far are not to be used again.
    epoch: u64,
    /// Nothing new may be begun there. EngineHandles with its connections' tasks, which look before the first byte.
    barred: Rc<Cell<bool>>,
    /// Idle connections, the one used last at the end: reusing that one lets the others run into their limit.
    idle: Vec<ConnectionId>,
}

impl Host {
    fn at(endpoint: UpstreamTarget) -> Self {
        Host {
            endpoint,
            epoch: 0,
            barred: Rc::default(),
            idle: Vec::new(),
        }
    }
}

struct Connection {
    cache: CacheId,
    epoch: u64,
    idle_since: Option<Instant>,
    /// Dropped to have an idle connection closed.
    jobs: Option<mpsc::Sender<Job>>,
}

pub struct UpstreamPool<N: Network> {
    common: Rc<ConnectionContext<N>>,
    hosts: FxHashMap<CacheId, Host>,
    connections: FxHashMap<ConnectionId, Connection>,
    most: usize,
    /// What `most` is without another process of this balancer.
    most_alone: usize,
    /// Connections told to close that still hold their socket.
    closing: usize,
    waiting: VecDeque<Job>,
    /// Those that began to wait since the engine last asked, and until when they may.
    new_waits: Vec<(AttemptId, Instant)>,
    next: u64,
    /// Until when connections rest between two attempts, where there is room for others.
    rest_until: Option<Instant>,
}

pub struct PoolSettings {
    pub connections: usize,
    /// How many of them the old process of this balancer keeps until its end.
    pub elsewhere: usize,
    pub connect_timeout: Duration,
    /// After this the servers close an idle connection themselves.
    pub servers_idle_limit: Duration,
    /// How long a server may pause in the middle of a large value.
    pub stall_limit: Duration,
    pub memory: Memory,
}

impl<N: Network> UpstreamPool<N> {
    pub fn new(
        network: N,
        limits: PoolSettings,
        report: Vec<String>,
        inbox: mpsc::Sender<EngineEvent>,
        counters: Rc<Counters>,
    ) -> Self {
        let PoolSettings {
            connections: most,
            elsewhere,
            connect_timeout,
            servers_idle_limit,
            stall_limit,
            memory,
        } = limits;
        let (largest_value, budget) = (memory.largest_value, Budget::new(memory.replies));
        let idle_limit = servers_idle_limit.mul_f64(IDLE_PART);
        UpstreamPool {
            common: Rc::new(ConnectionContext {
                network,
                inbox,
                counters,
                report,
                connect_timeout: Cell::new(connect_timeout),
                idle_limit: Cell::new(idle_limit),
                stall_limit: Cell::new(stall_limit),
                largest_value,
                budget,
            }),
            hosts: FxHashMap::default(),
            connections: FxHashMap::default(),
            most: most.saturating_sub(elsewhere).max(1),
            most_alone: most,
            closing: 0,
            waiting: VecDeque::new(),
            new_waits: Vec::new(),
            next: 0,
            rest_until: None,
        }
    }

    /// Where a server is from now on. Connections to another address are not used again.
    pub fn set(&mut self, cache: CacheId, endpoint: UpstreamTarget) {
        let host = self.hosts.entry(cache).or_insert(Host::at(endpoint));
        if host.endpoint != endpoint {
            host.endpoint = endpoint;
            self.close_idle(cache);
        }
    }

    /// Whether nothing new may be begun at a server. Danger: a job may lie before a connection's task, or wait for a
    /// connection that is still coming up, long after its server began to drain.
    pub fn bar(&mut self, cache: CacheId, barred: bool) {
        let Some(host) = self.hosts.get(&cache) else {
            return;
        };
        if barred && !host.barred.replace(true) {
            self.close_idle(cache);
        } else if !barred && host.barred.get() {
            // Those that saw the old one stay barred: their attempts were decided under it.
            self.hosts
                .entry(cache)
                .and_modify(|host| host.barred = Rc::default());
        }
    }

    /// Attempts at a host that have not ended: on a connection, or waiting for one.
    pub fn in_use(&self, cache: CacheId) -> u64 {
        let busy =
            |connection: &&Connection| connection.cache == cache && connection.idle_since.is_none();
        let busy = self.connections.values().filter(busy).count();
        (busy + self.waiting.iter().filter(|job| job.cache == cache).count()) as u64
    }

    /// Closes what stands idle now and, as they end their attempts, the connections in use.
    pub fn close_idle(&mut self, cache: CacheId) {
        let Some(host) = self.hosts.get_mut(&cache) else {
            return;
        };
        host.epoch += 1;
        for connection in std::mem::take(&mut host.idle) {
            self.close(connection);
        }
    }

    pub fn forget(&mut self, cache: CacheId) {
        self.close_idle(cache);
        self.hosts.remove(&cache);
    }

    /// Other times from now on; a connection that stands idle keeps the limit that it began with.
    pub fn retune(
        &self,
        connect_timeout: Duration,
        servers_idle_limit: Duration,
        stall_limit: Duration,
    ) {
        self.common.connect_timeout.set(connect_timeout);
        self.common
            .idle_limit
            .set(servers_idle_limit.mul_f64(IDLE_PART));
        self.common.stall_limit.set(stall_limit);
    }

    /// Leaves half of the connections to a successor; more, if so many are in use, stay here. Returns how many stay.
    pub fn share(&mut self) -> usize {
        let in_use = self
            .connections
            .values()
            .filter(|c| c.idle_since.is_none())
            .count();
        self.most = (self.most_alone / 2)
            .max(in_use)
            .min(self.most_alone - self.most_alone / 4);
        self.make_room();
        self.most
    }

    /// No other process has a part of the connections any more.
    pub fn take_all(&mut self, ends: &mut impl Extend<AttemptEnd>) {
        self.most = self.most_alone;
        self.serve_waiting(ends);
    }

    /// Attempts that began to wait for a socket, and when `give_up_waiting` is due for each.
    pub fn new_waits(&mut self) -> std::vec::Drain<'_, (AttemptId, Instant)> {
        self.new_waits.drain(..)
    }

    /// AbortOnDrop the attempts to a server that still wait for a socket. Danger: they would be sent to it long after
    /// discovery told that it drains.
    pub fn end_waiting(&mut self, cache: CacheId, ends: &mut impl Extend<AttemptEnd>) {
        self.waiting.retain(|job| {
            let stays = job.cache != cache;
            if !stays {
                ends.extend([job.end(Verdict::bare(Outcome::NeverSent))]);
            }
            stays
        });
    }

    /// Carries an attempt out, or has it wait for a socket; an end that comes at once is returned.
    pub fn dispatch(&mut self, job: Job) -> Option<AttemptEnd> {
        // Its request ended while it waited for a socket: none is opened for it.
        if !job.may_begin() {
            return Some(job.end(Verdict::bare(Outcome::NeverSent)));
        }
        let Some(host) = self.hosts.get_mut(&job.cache) else {
            return Some(job.end(Verdict::bare(Outcome::ConnectFailed)));
        };
        let now = Instant::now();
        let mut job = Job { begun: now, ..job };
        let room = self.connections.len() < self.most;
        let resting = self.rest_until.is_some_and(|until| now < until) && room;
        // The one used last is first, or the last of those that have rested.
        let rested = |connections: &FxHashMap<ConnectionId, Connection>, id: &ConnectionId| {
            let since = connections
                .get(id)
                .and_then(|connection| connection.idle_since);
            !resting || since.is_none_or(|since| now >= since + REST)
        };
        while let Some(i) = host
            .idle
            .iter()
            .rposition(|id| rested(&self.connections, id))
        {
            let id = host.idle.remove(i);
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            connection.idle_since = None;
            let Some(jobs) = &connection.jobs else {
                continue;
            };
            match jobs.try_send(job) {
                Ok(()) => return None,
                // Its task is just ending; the attempt goes to another connection.
                Err(unsent) => job = unsent.into_inner(),
            }
        }
        if self.connections.len() < self.most {
            self.open(job);
        } else {
            self.new_waits.push((
                job.attempt,
                job.connect_limit(self.common.connect_timeout.get()),
            ));
            self.waiting.push_back(job);
            self.make_room();
        }
        None
    }

    /// AbortOnDrop an attempt that still waits for a socket. Danger: a want of sockets here would count as a failure of the
    /// server, and all of them would rest. It was never issued.
    pub fn give_up_waiting(&mut self, attempt: AttemptId) -> Option<AttemptEnd> {
        let i = self.waiting.iter().position(|job| job.attempt == attempt)?;
        self.waiting
            .remove(i)
            .map(|job| job.end(Verdict::bare(Outcome::NeverSent)))
    }

    /// Books what a connection tells; ends of attempts go into `ends`.
    pub fn hear(&mut self, news: PoolEvent, ends: &mut impl Extend<AttemptEnd>) {
        match news {
            PoolEvent::Idle { connection, end } => {
                ends.extend(end);
                self.keep(connection, ends);
            }
            PoolEvent::Begun { end } => ends.extend([end]),
            PoolEvent::Closed {
                connection,
                end,
                unsent,
                surplus,
            } => {
                ends.extend(end);
                if surplus {
                    self.rest_until = Some(Instant::now() + REST_MEMORY);
                }
                if let Some(connection) = self.connections.remove(&connection) {
                    self.closing -= usize::from(connection.jobs.is_none());
                    self.common.counters.server_connections_open.sub();
                }
                ends.extend(unsent.and_then(|job| self.dispatch(*job)));
            }
        }
        self.serve_waiting(ends);
    }

    fn serve_waiting(&mut self, ends: &mut impl Extend<AttemptEnd>) {
        while self.connections.len() < self.most {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            ends.extend(self.dispatch(job));
        }
        self.make_room();
    }

    fn open(&mut self, job: Job) {
        let Some(host) = self.hosts.get(&job.cache) else {
            return;
        };
        let id = ConnectionId(self.next);
        self.next += 1;
        let (sender, jobs) = mpsc::channel(1);
        let connection = Connection {
            cache: job.cache,
            epoch: host.epoch,
            idle_since: None,
            jobs: Some(sender),
        };
        self.connections.insert(id, connection);
        self.common.counters.server_connections_opened.add();
        self.common.counters.server_connections_open.add();
        let (address, barred) = (host.endpoint.address, Rc::clone(&host.barred));
        let task = ConnectionTask {
            id,
            address,
            barred,
            common: Rc::clone(&self.common),
            jobs,
        };
        match host.endpoint.protocol {
            Protocol::Resp => spawn_local(task.run::<CacheCodec>(job)),
            Protocol::Http => spawn_local(task.run::<OriginCodec>(job)),
        };
    }

    /// A connection that has ended its attempt is kept, used by one that waits, or closed.
    fn keep(&mut self, id: ConnectionId, ends: &mut impl Extend<AttemptEnd>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let host = self
            .hosts
            .get_mut(&connection.cache)
            .filter(|host| host.epoch == connection.epoch);
        let Some(host) = host else {
            return self.close(id);
        };
        connection.idle_since = Some(Instant::now());
        host.idle.push(id);
        let cache = connection.cache;
        while let Some(i) = self.waiting.iter().position(|job| job.cache == cache) {
            // Only an attempt whose request is over ends at once, and leaves the connection to the next.
            match self.waiting.remove(i).and_then(|job| self.dispatch(job)) {
                Some(end) => ends.extend([end]),
                None => return,
            }
        }
    }

    fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.closing += usize::from(connection.jobs.take().is_some());
            connection.idle_since = None;
        }
    }

    /// Closes the connections idle longest, one for each attempt that waits for a socket and for each connection beyond
    /// the limit. This walks all of them, but only while the limit is reached.
    fn make_room(&mut self) {
        while self.closing < self.waiting.len() + self.connections.len().saturating_sub(self.most) {
            let idle = self
                .connections
                .iter()
                .filter_map(|(id, c)| Some((c.idle_since?, *id, c.cache)));
            let Some((_, id, cache)) = idle.min_by_key(|(since, ..)| *since) else {
                return;
            };
            if let Some(host) = self.hosts.get_mut(&cache) {
                host.idle.retain(|other| *other != id);
            }
            self.close(id);
        }
    }
}
