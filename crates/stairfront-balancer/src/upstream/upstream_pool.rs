//! The pool of connections to cache hosts and the origin: how many there are, which are idle, and which attempts wait for
//! one. Each connection is owned by its task (`connection.rs`).
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stairfront_policy::interface::{CacheId, Outcome};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::clock::Instant;
use crate::configuration::limits::SECOND_PROCESS_DESCRIPTORS;
use crate::counters::Counters;
use crate::lifecycle::handover::OtherProcess;
use crate::list_freshness::ListFreshness;
use crate::memory::ledger::MemoryLedger;
use crate::messages::{
    AttemptEnd, AttemptId, AttemptOutcome, ConnectionId, EngineEvent, Job, PoolEvent,
};
use crate::transport::Network;
use crate::upstream::cache_host::CacheCodec;
use crate::upstream::connection::{ConnectionContext, ConnectionTask};
use crate::upstream::origin::OriginCodec;

/// Part of the servers' own idle timeout after which a connection is closed here. A request written to a connection that
/// the server is just closing ends as a reset, and may have run.
const IDLE_TIMEOUT_RATIO: f64 = 0.8;
/// Connections that a process keeps to its end, for commands of which a part had come as it was told to end.
const MIN_CONNECTIONS_AT_END: usize = 4;
/// How long a connection rests between two attempts where surplus answers were seen. This is for service alone: a second
/// answer that comes while the next request is out on its connection leaves that one without a proof (`proof.rs`), and it
/// fails or is sent again.
const REST_PERIOD: Duration = Duration::from_millis(50);
/// How long connections rest after one on which more came than was asked for.
const SURPLUS_TTL: Duration = Duration::from_secs(60);

/// How a server is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2: a cache host.
    Resp,
    /// HTTP/1.1: the origin.
    Http,
}

/// Where a server is and how it is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// Its address.
    pub address: SocketAddr,
    /// Its protocol.
    pub protocol: Protocol,
}

struct Host {
    target: UpstreamTarget,
    /// Increased when connections made so far are not to be used again.
    epoch: u64,
    /// Whether nothing new may be begun there. Shared with the attempts there, which check it before the first byte.
    barred: Rc<Cell<bool>>,
    /// Idle connections, the one used last at the end: reusing that one lets the others reach their idle timeout.
    idle: Vec<ConnectionId>,
}

impl Host {
    fn new(target: UpstreamTarget) -> Self {
        Host {
            target,
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

/// The connections to all servers.
pub struct UpstreamPool<N: Network> {
    context: Rc<ConnectionContext<N>>,
    hosts: FxHashMap<CacheId, Host>,
    connections: FxHashMap<ConnectionId, Connection>,
    max_connections: usize,
    /// The same without another process of this balancer.
    max_connections_alone: usize,
    /// Those that the process before this one keeps.
    held_by_predecessor: usize,
    /// Those that the process after this one has.
    held_by_successor: usize,
    /// Those that nobody has, since that process takes as many descriptors for itself.
    reserved_for_successor: usize,
    /// Number of closing connections that still hold their socket.
    closing: usize,
    waiting: VecDeque<Job>,
    /// Attempts that began to wait since the engine last asked, and until when each may.
    new_waits: Vec<(AttemptId, Instant)>,
    next_id: u64,
    /// Until when connections rest between two attempts, where there is capacity for others.
    rest_until: Option<Instant>,
}

/// Limits and times of a pool, and what its attempts wait for.
pub struct PoolSettings {
    /// The most connections.
    pub max_connections: usize,
    /// How many of them the old process of this balancer keeps until its end.
    pub held_by_predecessor: usize,
    /// For making a connection.
    pub connect_timeout: Duration,
    /// After this the servers close an idle connection themselves.
    pub servers_idle_timeout: Duration,
    /// How long a server may pause in the middle of a large value.
    pub stall_timeout: Duration,
    /// The largest value that is read.
    pub max_value_bytes: usize,
    /// Memory for replies and large values.
    pub memory: Rc<MemoryLedger>,
    /// Whether the endpoint list in use is the newest that discovery has sent.
    pub lists: Rc<ListFreshness>,
}

impl<N: Network> UpstreamPool<N> {
    /// A pool without servers. `report_fields` are the names of the load report's fields.
    pub fn new(
        network: N,
        settings: PoolSettings,
        report_fields: Vec<String>,
        events: mpsc::Sender<EngineEvent>,
        counters: Rc<Counters>,
    ) -> Self {
        let max_connections_alone = settings.max_connections;
        let held_by_predecessor = settings.held_by_predecessor.min(max_connections_alone);
        let max_connections = max_connections_alone - held_by_predecessor;
        let context = ConnectionContext {
            network,
            events,
            counters,
            report_fields,
            connect_timeout: Cell::new(settings.connect_timeout),
            idle_timeout: Cell::new(settings.servers_idle_timeout.mul_f64(IDLE_TIMEOUT_RATIO)),
            stall_timeout: Cell::new(settings.stall_timeout),
            max_value_bytes: settings.max_value_bytes,
            memory: settings.memory,
            surplus_logged_at: Cell::default(),
            lists: settings.lists,
        };
        UpstreamPool {
            context: Rc::new(context),
            hosts: FxHashMap::default(),
            connections: FxHashMap::default(),
            max_connections: max_connections.max(1),
            max_connections_alone,
            held_by_predecessor,
            held_by_successor: 0,
            reserved_for_successor: 0,
            closing: 0,
            waiting: VecDeque::new(),
            new_waits: Vec::new(),
            next_id: 0,
            rest_until: None,
        }
    }

    /// Sets where a server is from now on; whether it was elsewhere before. Connections to another address are not used
    /// again.
    pub fn set_target(&mut self, cache: CacheId, target: UpstreamTarget) -> bool {
        let host = self.hosts.entry(cache).or_insert(Host::new(target));
        let has_moved = host.target != target;
        if has_moved {
            host.target = target;
            self.close_idle(cache);
        }
        has_moved
    }

    /// Where a server is.
    pub fn address_of(&self, cache: CacheId) -> Option<SocketAddr> {
        self.hosts.get(&cache).map(|host| host.target.address)
    }

    /// Withholds the attempts at a server that have not begun: they were decided for the process that it was before, which
    /// may have been warm. Idle connections to it close.
    pub fn withdraw_unbegun(&mut self, cache: CacheId, ends: &mut impl Extend<AttemptEnd>) {
        let Some(host) = self.hosts.get_mut(&cache) else {
            return;
        };
        std::mem::take(&mut host.barred).set(true);
        self.close_idle(cache);
        self.end_waiting(cache, ends);
    }

    /// Sets whether nothing new may be begun at a server. A job may wait for a connection's task, or for a connection that
    /// is still being made, long after its server has begun to drain.
    pub fn set_barred(&mut self, cache: CacheId, barred: bool) {
        let Some(host) = self.hosts.get(&cache) else {
            return;
        };
        if barred && !host.barred.replace(true) {
            self.close_idle(cache);
        } else if !barred && host.barred.get() {
            // Jobs that hold the old flag stay barred, since their attempts were decided under it.
            self.hosts
                .entry(cache)
                .and_modify(|host| host.barred = Rc::default());
        }
    }

    /// Number of attempts at a host that have not ended: on a connection, or waiting for one.
    pub fn in_use(&self, cache: CacheId) -> u64 {
        let busy =
            |connection: &&Connection| connection.cache == cache && connection.idle_since.is_none();
        let busy = self.connections.values().filter(busy).count();
        (busy + self.waiting.iter().filter(|job| job.cache == cache).count()) as u64
    }

    /// Closes the idle connections to a host now and, as their attempts end, those in use.
    pub fn close_idle(&mut self, cache: CacheId) {
        let Some(host) = self.hosts.get_mut(&cache) else {
            return;
        };
        host.epoch += 1;
        for connection in std::mem::take(&mut host.idle) {
            self.close(connection);
        }
    }

    /// Removes a host that gets nothing more.
    pub fn remove_target(&mut self, cache: CacheId) {
        self.close_idle(cache);
        self.hosts.remove(&cache);
    }

    /// Sets other times from now on; a connection that is idle keeps the timeout that it began with.
    pub fn retune(
        &self,
        connect_timeout: Duration,
        servers_idle_timeout: Duration,
        stall_timeout: Duration,
    ) {
        self.context.connect_timeout.set(connect_timeout);
        self.context
            .idle_timeout
            .set(servers_idle_timeout.mul_f64(IDLE_TIMEOUT_RATIO));
        self.context.stall_timeout.set(stall_timeout);
    }

    /// Leaves half of this process's connections to a successor, or fewer if more are in use here, less the descriptors that
    /// the successor takes for itself. Returns how many the successor does not have.
    pub fn share_connections(&mut self) -> usize {
        let in_use = self.count_in_use();
        let own = self.max_connections_alone - self.held_by_predecessor;
        let kept = (own / 2).max(in_use).min(own - own / 4);
        let left = own - kept;
        self.reserved_for_successor = SECOND_PROCESS_DESCRIPTORS.min(left / 2);
        self.held_by_successor = left - self.reserved_for_successor;
        self.apply_shares();
        self.make_room(self.max_connections);
        self.max_connections_alone - self.held_by_successor
    }

    /// Leaves connections that this process needs no more to its successor; how many. With so many open requests, which are
    /// the last ones, each may need one. Idle connections beyond that close, and are left once they are closed.
    pub fn release_connections(&mut self, open_requests: usize) -> usize {
        let in_use = self.count_in_use() + self.waiting.len();
        let needed = in_use.max(open_requests).max(MIN_CONNECTIONS_AT_END);
        self.make_room(needed);
        let kept = needed.max(self.connections.len());
        let released = self.max_connections.saturating_sub(kept);
        self.held_by_successor += released;
        self.apply_shares();
        released
    }

    /// Uses connections that the process before this one has released.
    pub fn take_released(&mut self, count: usize, ends: &mut impl Extend<AttemptEnd>) {
        self.held_by_predecessor = self.held_by_predecessor.saturating_sub(count);
        self.apply_shares();
        self.serve_waiting(ends);
    }

    /// Uses the connections of another process of this balancer, which has ended.
    pub fn take_connections_of(&mut self, other: OtherProcess, ends: &mut impl Extend<AttemptEnd>) {
        match other {
            OtherProcess::Predecessor => self.held_by_predecessor = 0,
            OtherProcess::Successor => {
                self.held_by_successor = 0;
                self.reserved_for_successor = 0;
            }
        }
        self.apply_shares();
        self.serve_waiting(ends);
    }

    fn apply_shares(&mut self) {
        let other = self.held_by_predecessor + self.held_by_successor;
        let held = other + self.reserved_for_successor;
        self.max_connections = (self.max_connections_alone - held).max(1);
    }

    fn count_in_use(&self) -> usize {
        let in_use = |connection: &&Connection| connection.idle_since.is_none();
        self.connections.values().filter(in_use).count()
    }

    /// Attempts that have begun to wait for a socket since the last call, and when `give_up_waiting` is due for each.
    pub fn new_waits(&mut self) -> std::vec::Drain<'_, (AttemptId, Instant)> {
        self.new_waits.drain(..)
    }

    /// Ends the attempts at a server that still wait for a socket: they would be sent to it long after it has begun to
    /// drain.
    pub fn end_waiting(&mut self, cache: CacheId, ends: &mut impl Extend<AttemptEnd>) {
        self.waiting.retain(|job| {
            let stays = job.cache != cache;
            if !stays {
                ends.extend([job.end(AttemptOutcome::without_report(Outcome::NeverSent))]);
            }
            stays
        });
    }

    /// Carries an attempt out that was decided just now, or has it wait for a socket; an end that comes at once is
    /// returned.
    pub fn dispatch(&mut self, job: Job) -> Option<AttemptEnd> {
        let Some(host) = self.hosts.get(&job.cache) else {
            return Some(job.end(AttemptOutcome::without_report(Outcome::ConnectFailed)));
        };
        self.place(Job {
            barred: Rc::clone(&host.barred),
            ..job
        })
    }

    /// Places an attempt on a connection, also after a wait.
    fn place(&mut self, job: Job) -> Option<AttemptEnd> {
        // Its request ended while it waited for a socket: none is opened for it.
        if let Err(refusal) = job.check_known() {
            return Some(job.withhold(refusal));
        }
        if !self.hosts.contains_key(&job.cache) {
            return Some(job.end(AttemptOutcome::without_report(Outcome::ConnectFailed)));
        }
        let job = Job {
            started_at: Instant::now(),
            ..job
        };
        let job = self.send_to_idle(job)?;
        if self.connections.len() < self.max_connections {
            // A connection costs the server more than this question costs here.
            if let Err(refusal) = job.may_begin() {
                return Some(job.withhold(refusal));
            }
            self.open(job);
            return None;
        }
        let deadline = job.connect_deadline(self.context.connect_timeout.get());
        self.new_waits.push((job.attempt, deadline));
        self.waiting.push_back(job);
        self.make_room(self.max_connections);
        None
    }

    /// Gives a job to an idle connection; returned if there is none. The connection used last is taken, or the last of
    /// those that have rested.
    fn send_to_idle(&mut self, mut job: Job) -> Option<Job> {
        let host = self.hosts.get_mut(&job.cache)?;
        let now = job.started_at;
        let has_capacity = self.connections.len() < self.max_connections;
        let resting = self.rest_until.is_some_and(|until| now < until) && has_capacity;
        let has_rested = |connections: &FxHashMap<ConnectionId, Connection>, id: &ConnectionId| {
            let since = connections
                .get(id)
                .and_then(|connection| connection.idle_since);
            !resting || since.is_none_or(|since| now >= since + REST_PERIOD)
        };
        while let Some(i) = host
            .idle
            .iter()
            .rposition(|id| has_rested(&self.connections, id))
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
                // The task is just ending; the attempt goes to another connection.
                Err(unsent) => job = unsent.into_inner(),
            }
        }
        Some(job)
    }

    /// Ends an attempt that still waits for a socket, as never sent: a want of sockets here must not count as a failure of
    /// the server, or all servers would be ejected.
    pub fn give_up_waiting(&mut self, attempt: AttemptId) -> Option<AttemptEnd> {
        let i = self.waiting.iter().position(|job| job.attempt == attempt)?;
        self.waiting
            .remove(i)
            .map(|job| job.end(AttemptOutcome::without_report(Outcome::NeverSent)))
    }

    /// Handles what a connection reports; ends of attempts go into `ends`.
    pub fn handle(&mut self, event: PoolEvent, ends: &mut impl Extend<AttemptEnd>) {
        match event {
            PoolEvent::Idle { connection, end } => {
                ends.extend(end);
                self.keep(connection, ends);
            }
            PoolEvent::BodyStarted { end } => ends.extend([end]),
            PoolEvent::Closed {
                connection,
                end,
                unsent,
                surplus,
            } => {
                ends.extend(end);
                if surplus {
                    self.rest_until = Some(Instant::now() + SURPLUS_TTL);
                }
                if let Some(connection) = self.connections.remove(&connection) {
                    self.closing -= usize::from(connection.jobs.is_none());
                    self.context.counters.server_connections_open.sub();
                }
                ends.extend(unsent.and_then(|job| self.place(*job)));
            }
        }
        self.serve_waiting(ends);
    }

    fn serve_waiting(&mut self, ends: &mut impl Extend<AttemptEnd>) {
        while self.connections.len() < self.max_connections {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            ends.extend(self.place(job));
        }
        self.make_room(self.max_connections);
    }

    fn open(&mut self, job: Job) {
        let Some(host) = self.hosts.get(&job.cache) else {
            return;
        };
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let (sender, jobs) = mpsc::channel(1);
        let connection = Connection {
            cache: job.cache,
            epoch: host.epoch,
            idle_since: None,
            jobs: Some(sender),
        };
        self.connections.insert(id, connection);
        self.context.counters.server_connections_opened.add();
        self.context.counters.server_connections_open.add();
        let task = ConnectionTask {
            id,
            address: host.target.address,
            context: Rc::clone(&self.context),
            jobs,
            used_at: Instant::now(),
        };
        match host.target.protocol {
            Protocol::Resp => spawn_local(task.run::<CacheCodec>(job)),
            Protocol::Http => spawn_local(task.run::<OriginCodec>(job)),
        };
    }

    /// Keeps a connection whose attempt has ended, uses it for one that waits, or closes it.
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
            // Only an attempt whose request is finished ends at once, and leaves the connection to the next.
            match self.waiting.remove(i).and_then(|job| self.place(job)) {
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
    /// the limit. It goes through all connections, but only while the limit is reached.
    fn make_room(&mut self, limit: usize) {
        while self.closing < self.waiting.len() + self.connections.len().saturating_sub(limit) {
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
