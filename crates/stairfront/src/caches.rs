//! Connections to cache hosts and the origin. The pool owns how many there are and which stand idle; each
//! connection is owned by one task, which carries one attempt at a time and gives the socket back by ending.
use std::collections::VecDeque;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rustc_hash::FxHashMap;
use stairfront_policy::interface::{CacheId, Load, Note, Outcome};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tokio_util::codec::{Decoder, Encoder, Framed};
use tracing::debug;

use crate::counters::Counters;
use crate::messages::{AttemptEnd, AttemptId, Command, Input, Outgoing, Verdict};
use crate::origin::OriginCodec;
use crate::resp::{shrink, CacheCodec, Value};
use crate::stages::relay;

/// Part of the servers' own idle limit after which a connection is closed here. Danger: a request written to a
/// connection that the server is just closing ends as a reset, and may have run.
const IDLE_PART: f64 = 0.8;

/// How one kind of server is spoken to.
pub trait Speech: Decoder<Item: Debug> + Encoder<Outgoing, Error = <Self as Decoder>::Error> + Sized {
    fn new(address: SocketAddr) -> Self;
    /// What a reply means, and whether the connection can carry another request.
    fn verdict(reply: Self::Item, report: &[String]) -> (Verdict, bool);
}

impl Speech for CacheCodec {
    fn new(_: SocketAddr) -> Self {
        CacheCodec
    }

    fn verdict(reply: Value, report: &[String]) -> (Verdict, bool) {
        match reply {
            Value::Array(items) => (cache_reply(items, report), true),
            Value::Error(line) => {
                let full = line.split(|b| *b == b' ').next() == Some(b"BUSY");
                let outcome = if full { Outcome::Full } else { Outcome::Errored };
                let tail = line.rsplit(|b| *b == b' ').next().unwrap_or_default();
                (Verdict { load: relay::load_report(tail, report), ..Verdict::bare(outcome) }, true)
            }
            // Not a form that a cache host answers in: what it meant is not known.
            _ => (Verdict::bare(Outcome::Errored), false),
        }
    }
}

fn cache_reply(items: Vec<Value>, report: &[String]) -> Verdict {
    let mut items = items.into_iter();
    let first = items.next();
    let note = match items.next() {
        Some(Value::Bulk(word)) => match &word[..] {
            b"hit" => Note::Hit,
            b"miss" => Note::Fetched,
            b"pending" => Note::FetchPending,
            _ => Note::None,
        },
        _ => Note::None,
    };
    let load = match items.next() {
        Some(Value::Bulk(text)) => relay::load_report(&text, report),
        _ => Load::default(),
    };
    let (outcome, value) = match first {
        Some(Value::Bulk(value)) => (Outcome::Served, Some(value)),
        Some(Value::Null) => (Outcome::Miss, None),
        _ => (Outcome::Errored, None),
    };
    Verdict { outcome, note, load, value }
}

/// One attempt on its way to one server.
#[derive(Debug)]
pub struct Job {
    pub attempt: AttemptId,
    pub cache: CacheId,
    pub command: Command,
    pub sent_at: Instant,
    pub give_up: Instant,
    /// Told when the attempt is given up before its time; a sender that is dropped means nothing.
    pub cancel: oneshot::Receiver<()>,
}

impl Job {
    /// Until when the attempt may wait for a socket and a connection together: both count in its time.
    fn connect_limit(&self, connect_timeout: Duration) -> Instant {
        self.give_up.min(self.sent_at + connect_timeout)
    }

    pub fn end(&self, verdict: Verdict) -> AttemptEnd {
        AttemptEnd { attempt: self.attempt, cache: self.cache, sent_at: self.sent_at, verdict }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

/// What a connection's task tells the pool. The socket is closed before `Closed` is told.
#[derive(Debug)]
pub enum PoolNews {
    Idle { connection: ConnectionId, end: AttemptEnd },
    Closed { connection: ConnectionId, end: Option<AttemptEnd>, unsent: Option<Job> },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Resp,
    Http,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub protocol: Protocol,
}

struct Host {
    endpoint: Endpoint,
    /// Raised when connections made so far are not to be used again.
    epoch: u64,
    /// Idle connections, the one used last at the end: reusing that one lets the others run into their limit.
    idle: Vec<ConnectionId>,
}

struct Connection {
    cache: CacheId,
    epoch: u64,
    idle_since: Option<Instant>,
    /// Dropped to have an idle connection closed.
    jobs: Option<mpsc::Sender<Job>>,
}

/// What every connection's task needs to know.
struct Common {
    inbox: mpsc::Sender<Input>,
    counters: Rc<Counters>,
    report: Vec<String>,
    connect_timeout: Duration,
    idle_limit: Duration,
}

pub struct Pool {
    common: Rc<Common>,
    hosts: FxHashMap<CacheId, Host>,
    connections: FxHashMap<ConnectionId, Connection>,
    most: usize,
    /// Connections told to close that still hold their socket.
    closing: usize,
    waiting: VecDeque<Job>,
    /// Those that began to wait since the engine last asked, and until when they may.
    new_waits: Vec<(AttemptId, Instant)>,
    next: u64,
}

pub struct PoolLimits {
    pub connections: usize,
    pub connect_timeout: Duration,
    /// After this the servers close an idle connection themselves.
    pub servers_idle_limit: Duration,
}

impl Pool {
    pub fn new(
        limits: PoolLimits,
        report: Vec<String>,
        inbox: mpsc::Sender<Input>,
        counters: Rc<Counters>,
    ) -> Self {
        let PoolLimits { connections: most, connect_timeout, servers_idle_limit } = limits;
        let idle_limit = servers_idle_limit.mul_f64(IDLE_PART);
        Pool {
            common: Rc::new(Common { inbox, counters, report, connect_timeout, idle_limit }),
            hosts: FxHashMap::default(),
            connections: FxHashMap::default(),
            most,
            closing: 0,
            waiting: VecDeque::new(),
            new_waits: Vec::new(),
            next: 0,
        }
    }

    /// Where a server is from now on. Connections to another address are not used again.
    pub fn set(&mut self, cache: CacheId, endpoint: Endpoint) {
        let host = self.hosts.entry(cache).or_insert(Host { endpoint, epoch: 0, idle: Vec::new() });
        if host.endpoint != endpoint {
            host.endpoint = endpoint;
            self.close_idle(cache);
        }
    }

    /// Closes what stands idle now and, as they end their attempts, the connections in use.
    pub fn close_idle(&mut self, cache: CacheId) {
        let Some(host) = self.hosts.get_mut(&cache) else { return };
        host.epoch += 1;
        for connection in std::mem::take(&mut host.idle) {
            self.close(connection);
        }
    }

    pub fn forget(&mut self, cache: CacheId) {
        self.close_idle(cache);
        self.hosts.remove(&cache);
    }

    /// Attempts that began to wait for a socket, and when `give_up_waiting` is due for each.
    pub fn new_waits(&mut self) -> std::vec::Drain<'_, (AttemptId, Instant)> {
        self.new_waits.drain(..)
    }

    /// Ends the attempts to a server that still wait for a socket. Danger: they would be sent to it long after
    /// discovery told that it drains.
    pub fn end_waiting(&mut self, cache: CacheId, ends: &mut impl Extend<AttemptEnd>) {
        self.waiting.retain(|job| {
            let stays = job.cache != cache;
            if !stays {
                ends.extend([job.end(Verdict::bare(Outcome::ConnectFailed))]);
            }
            stays
        });
    }

    /// Carries an attempt out, or has it wait for a socket; an end that comes at once is returned.
    pub fn dispatch(&mut self, job: Job) -> Option<AttemptEnd> {
        let Some(host) = self.hosts.get_mut(&job.cache) else {
            return Some(job.end(Verdict::bare(Outcome::ConnectFailed)));
        };
        let mut job = job;
        while let Some(id) = host.idle.pop() {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            connection.idle_since = None;
            let Some(jobs) = &connection.jobs else { continue };
            match jobs.try_send(job) {
                Ok(()) => return None,
                // Its task is just ending; the attempt goes to another connection.
                Err(unsent) => job = unsent.into_inner(),
            }
        }
        if self.connections.len() < self.most {
            self.open(job);
        } else {
            self.new_waits.push((job.attempt, job.connect_limit(self.common.connect_timeout)));
            self.waiting.push_back(job);
            self.make_room();
        }
        None
    }

    /// Ends an attempt that still waits for a socket.
    pub fn give_up_waiting(&mut self, attempt: AttemptId) -> Option<AttemptEnd> {
        let i = self.waiting.iter().position(|job| job.attempt == attempt)?;
        self.waiting.remove(i).map(|job| job.end(Verdict::bare(Outcome::ConnectFailed)))
    }

    /// Books what a connection tells; ends of attempts go into `ends`.
    pub fn hear(&mut self, news: PoolNews, ends: &mut impl Extend<AttemptEnd>) {
        match news {
            PoolNews::Idle { connection, end } => {
                ends.extend([end]);
                self.keep(connection);
            }
            PoolNews::Closed { connection, end, unsent } => {
                ends.extend(end);
                if let Some(connection) = self.connections.remove(&connection) {
                    self.closing -= usize::from(connection.jobs.is_none());
                    self.common.counters.server_connections_open.sub();
                }
                ends.extend(unsent.and_then(|job| self.dispatch(job)));
            }
        }
        while self.connections.len() < self.most {
            let Some(job) = self.waiting.pop_front() else { break };
            ends.extend(self.dispatch(job));
        }
        self.make_room();
    }

    fn open(&mut self, job: Job) {
        let Some(host) = self.hosts.get(&job.cache) else { return };
        let id = ConnectionId(self.next);
        self.next += 1;
        let (sender, jobs) = mpsc::channel(1);
        let connection =
            Connection { cache: job.cache, epoch: host.epoch, idle_since: None, jobs: Some(sender) };
        self.connections.insert(id, connection);
        self.common.counters.server_connections_opened.add();
        self.common.counters.server_connections_open.add();
        let task = Task { id, address: host.endpoint.address, common: Rc::clone(&self.common), jobs };
        match host.endpoint.protocol {
            Protocol::Resp => spawn_local(task.run::<CacheCodec>(job)),
            Protocol::Http => spawn_local(task.run::<OriginCodec>(job)),
        };
    }

    /// A connection that has ended its attempt is kept, used by one that waits, or closed.
    fn keep(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let host = self.hosts.get_mut(&connection.cache).filter(|host| host.epoch == connection.epoch);
        let Some(host) = host else { return self.close(id) };
        connection.idle_since = Some(Instant::now());
        host.idle.push(id);
        let cache = connection.cache;
        if let Some(i) = self.waiting.iter().position(|job| job.cache == cache) {
            if let Some(job) = self.waiting.remove(i) {
                // The host is known and has an idle connection, so this ends nothing at once.
                let _ = self.dispatch(job);
            }
        }
    }

    fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.closing += usize::from(connection.jobs.take().is_some());
            connection.idle_since = None;
        }
    }

    /// Closes the connections idle longest, one for each attempt that waits for a socket. This walks all of
    /// them, but only while the limit is reached.
    fn make_room(&mut self) {
        while self.closing < self.waiting.len() {
            let idle = self.connections.iter().filter_map(|(id, c)| Some((c.idle_since?, *id, c.cache)));
            let Some((_, id, cache)) = idle.min_by_key(|(since, ..)| *since) else { return };
            if let Some(host) = self.hosts.get_mut(&cache) {
                host.idle.retain(|other| *other != id);
            }
            self.close(id);
        }
    }
}

/// The owner of one socket.
struct Task {
    id: ConnectionId,
    address: SocketAddr,
    common: Rc<Common>,
    jobs: mpsc::Receiver<Job>,
}

impl Task {
    async fn run<S: Speech>(mut self, first: Job)
    where
        <S as Decoder>::Error: std::fmt::Display + 'static,
    {
        let mut job = first;
        let mut wire = match self.connect::<S>(&mut job).await {
            Ok(wire) => wire,
            Err(outcome) => return self.closed(Some(job.end(Verdict::bare(outcome))), None).await,
        };
        loop {
            let (verdict, reusable) = exchange(&mut wire, &mut job, &self.common.report).await;
            let end = job.end(verdict);
            if !reusable {
                // Danger: late bytes must never reach another request, and the attempt must be over for the
                // server before another one is sent. So the socket is closed before the end is told.
                drop(wire);
                return self.closed(Some(end), None).await;
            }
            self.tell(PoolNews::Idle { connection: self.id, end }).await;
            match self.next_job(&mut wire).await {
                Some(next) => job = next,
                None => {
                    drop(wire);
                    self.jobs.close();
                    let unsent = self.jobs.try_recv().ok();
                    return self.closed(None, unsent).await;
                }
            }
        }
    }

    async fn connect<S: Speech>(&self, job: &mut Job) -> Result<Framed<TcpStream, S>, Outcome> {
        let limit = job.connect_limit(self.common.connect_timeout);
        tokio::select! {
            biased;
            () = cancelled(&mut job.cancel) => Err(Outcome::Cancelled),
            connected = timeout_at(limit, TcpStream::connect(self.address)) => match connected {
                Ok(Ok(socket)) => {
                    // Requests are small and each is waited for.
                    socket.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
                    Ok(Framed::new(socket, S::new(self.address)))
                }
                Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
            },
        }
    }

    /// The next attempt for this connection; none if it has ended, stood idle too long or is to close.
    async fn next_job<S: Speech>(&mut self, wire: &mut Framed<TcpStream, S>) -> Option<Job> {
        tokio::select! {
            biased;
            // The end of the connection, or bytes that nobody asked for: either way it is of no more use.
            _ = wire.next() => None,
            job = timeout(self.common.idle_limit, self.jobs.recv()) => job.ok().flatten(),
        }
    }

    async fn closed(self, end: Option<AttemptEnd>, unsent: Option<Job>) {
        self.tell(PoolNews::Closed { connection: self.id, end, unsent }).await;
    }

    async fn tell(&self, news: PoolNews) {
        // The engine is gone only when the whole balancer ends.
        let _ = self.common.inbox.send(Input::Pool(news)).await;
    }
}

async fn cancelled(cancel: &mut oneshot::Receiver<()>) {
    if cancel.await.is_err() {
        std::future::pending().await
    }
}

/// One command and its reply; whether the connection can be used again.
async fn exchange<S: Speech>(
    wire: &mut Framed<TcpStream, S>,
    job: &mut Job,
    report: &[String],
) -> (Verdict, bool)
where
    <S as Decoder>::Error: std::fmt::Display + 'static,
{
    let left = job.give_up.saturating_duration_since(Instant::now());
    let outgoing = Outgoing { command: job.command.clone(), left_ms: left.as_millis() as u64 };
    let mut written = false;
    let talk = async {
        if let Err(problem) = wire.send(outgoing).await {
            debug!("request not written: {problem}");
            return (Verdict::bare(Outcome::ConnectFailed), false);
        }
        written = true;
        shrink(wire.write_buffer_mut());
        match wire.next().await {
            Some(Ok(reply)) => S::verdict(reply, report),
            Some(Err(problem)) => {
                debug!("reply not read: {problem}");
                (Verdict::bare(Outcome::Reset), false)
            }
            None => (Verdict::bare(Outcome::Reset), false),
        }
    };
    let outcome = tokio::select! {
        biased;
        done = talk => return done,
        () = cancelled(&mut job.cancel) => Outcome::Cancelled,
        () = sleep_until(job.give_up) => Outcome::TimedOut,
    };
    // What was never written whole never ran.
    let outcome = if !written && outcome == Outcome::TimedOut { Outcome::ConnectFailed } else { outcome };
    (Verdict::bare(outcome), false)
}
