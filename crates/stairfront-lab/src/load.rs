//! Clients on loopback sockets: an open loop. A request is sent when it is due, or as soon as a connection is free, and
//! timed from when it was due either way, so that a balancer that stalls cannot have its stall left out.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde::{Deserialize, Serialize};
use stairfront_codec::budget::Budget;
use stairfront_codec::resp::{put_bulk, put_number, ReplyReader, Value};
use stairfront_emulator::arrivals::{Arrivals, Popularity, Traffic};
use stairfront_emulator::cache_host::is_made_for;
use stairfront_emulator::client::{Ask, ClassSettings, Clients, End, Repeats, RetrySettings};
use stairfront_emulator::dice::Dice;
use stairfront_emulator::rules::{Answer, Seen};
use stairfront_emulator::time::{Micros, MS, SECOND};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Decoder;

use crate::clock::RunClock;
use crate::event_log::EventLog;
use crate::live_counters::LiveCounters;
use crate::summary::Summary;

/// How often waits are looked through.
const SWEEP_INTERVAL: Micros = 10 * MS;
/// A connection that does not come up in this time is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A balancer that refused a connection is left alone for so long while there are others.
const UNAVAILABLE_TTL: Micros = 200 * MS;
/// Beyond its time a client with one request on a connection closes it after this.
const CLOSE_TIMEOUT: Micros = 60 * MS;
/// Others on a connection that carries several wait so long for answers that are late.
const LATE_ANSWER_TIMEOUT: Micros = 30 * SECOND;
/// Times that a request which nobody has read goes to another connection.
const MAX_REASSIGNMENTS: u8 = 4;
/// Between two commands, and two reads, of a client that reads slowly.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Looks, a millisecond apart, for the reset behind an end: on loopback it is there at once, or when a kernel thread
/// has got round to it.
const MAX_RESET_CHECKS: u32 = 20;
const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// How clients use connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientBehavior {
    /// Most kept connections to each balancer.
    pub connections: usize,
    /// Most requests open on one of them; above 1 they are pipelined.
    pub pipelining: usize,
    /// Part of requests on a connection of their own.
    pub one_shot: f64,
    /// Connections that are opened and say nothing.
    pub idle: usize,
    /// Connections that ask for much and read little of it.
    pub slow_readers: usize,
}

impl Default for ClientBehavior {
    fn default() -> Self {
        ClientBehavior {
            connections: 64,
            pipelining: 1,
            one_shot: 0.0,
            idle: 0,
            slow_readers: 0,
        }
    }
}

/// One balancer as the front that deals out connections knows it.
#[derive(Clone, Debug)]
pub struct BalancerEndpoint {
    pub address: SocketAddr,
    /// Gets no new connections.
    pub closed: Arc<AtomicBool>,
}

#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub traffic: Traffic,
    pub classes: Vec<ClassSettings>,
    pub retries: RetrySettings,
    pub behavior: ClientBehavior,
    pub balancers: Vec<BalancerEndpoint>,
    pub threads: usize,
    pub seed: u64,
    /// Arrivals end then; what is due from `count_from` on is counted.
    pub end: Micros,
    pub count_from: Micros,
    pub live_counters: Arc<LiveCounters>,
}

/// Runs all clients until the last answer is in or nobody waits any more.
pub fn run(
    plan: &LoadPlan,
    clock: RunClock,
    event_sender: &Sender<Vec<(Micros, Seen)>>,
) -> io::Result<Summary> {
    let popularity = Arc::new(Popularity::new(plan.traffic.keys, plan.traffic.zipf));
    let (classes, tenants) = (plan.classes.len(), plan.traffic.tenants.len());
    let mut threads = Vec::new();
    for source in 0..plan.threads.max(1) {
        let (plan, popularity) = (plan.clone(), Arc::clone(&popularity));
        let event_log = EventLog::new(clock, event_sender.clone());
        threads.push(
            std::thread::Builder::new()
                .name("clients".to_string())
                .spawn(move || {
                    let runtime = tokio::runtime::Builder::new_current_thread()
                        .enable_all()
                        .build()?;
                    Ok(
                        runtime.block_on(LocalSet::new().run_until(ClientThread::run(
                            plan, popularity, clock, event_log, source,
                        ))),
                    )
                })?,
        );
    }
    let mut summary = Summary::new(classes, tenants, plan.count_from, plan.end);
    for thread in threads {
        let part: io::Result<Summary> = thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("a thread of clients ended")));
        summary.add(&part?);
    }
    Ok(summary)
}

/// A request that has no answer yet.
struct PendingRequest {
    request: Ask,
    /// Its last byte has been written.
    sent: bool,
    /// The balancer had ended its side by the time that was written: it cannot be read as a command any more.
    crossed_close: bool,
    /// Its client waits no longer.
    timed_out: bool,
    reassignments: u8,
}

/// One connection.
struct ClientConnection {
    balancer: usize,
    out: RefCell<BytesMut>,
    pending: RefCell<VecDeque<PendingRequest>>,
    wakeup: Notify,
    /// Takes no further request.
    closing: Cell<bool>,
    /// Closes at once, whatever it is owed.
    abandoned: Cell<bool>,
    /// Has carried an answer before.
    has_answered: Cell<bool>,
}

impl ClientConnection {
    fn new(balancer: usize) -> Rc<Self> {
        Rc::new(ClientConnection {
            balancer,
            out: RefCell::default(),
            pending: RefCell::default(),
            wakeup: Notify::new(),
            closing: Cell::new(false),
            abandoned: Cell::new(false),
            has_answered: Cell::new(false),
        })
    }
}

/// What one balancer is to a source.
struct BalancerConnections {
    endpoint: BalancerEndpoint,
    connections: RefCell<Vec<Rc<ClientConnection>>>,
    /// Where to look first for a free one.
    next_index: Cell<usize>,
    unavailable_until: Cell<Micros>,
}

/// The clients of one thread.
struct ClientThread {
    plan: LoadPlan,
    clock: RunClock,
    clients: RefCell<Clients>,
    event_log: RefCell<EventLog>,
    summary: RefCell<Summary>,
    balancers: Vec<BalancerConnections>,
    next_index: Cell<usize>,
    /// Due, and without a connection yet.
    waiting: RefCell<VecDeque<(Ask, u8)>>,
    in_flight: Cell<usize>,
    rng: RefCell<Dice>,
    wake: Notify,
    /// Most kept connections to each balancer from this thread.
    max_connections: usize,
}

impl ClientThread {
    async fn run(
        plan: LoadPlan,
        popularity: Arc<Popularity>,
        clock: RunClock,
        event_log: EventLog,
        source: usize,
    ) -> Summary {
        let threads = plan.threads.max(1);
        let arrivals = Arrivals::new(plan.traffic.clone(), popularity, plan.seed, source, threads);
        let clients = Clients::new(
            arrivals,
            &plan.classes,
            plan.retries.clone(),
            plan.seed,
            source,
            plan.end,
        );
        let summary = Summary::new(
            plan.classes.len(),
            plan.traffic.tenants.len(),
            plan.count_from,
            plan.end,
        );
        let balancer = |endpoint: &BalancerEndpoint| BalancerConnections {
            endpoint: endpoint.clone(),
            connections: RefCell::default(),
            next_index: Cell::new(0),
            unavailable_until: Cell::new(0),
        };
        let this = Rc::new(ClientThread {
            clock,
            clients: RefCell::new(clients),
            event_log: RefCell::new(event_log),
            summary: RefCell::new(summary),
            balancers: plan.balancers.iter().map(balancer).collect(),
            next_index: Cell::new(source),
            waiting: RefCell::default(),
            in_flight: Cell::new(0),
            rng: RefCell::new(Dice::new(plan.seed, &format!("habits-{source}"))),
            wake: Notify::new(),
            max_connections: plan.behavior.connections.div_ceil(threads).max(1),
            plan,
        });
        let share = |all: usize| all / threads + usize::from(source < all % threads);
        for i in 0..share(this.plan.behavior.idle) {
            spawn_local(Rc::clone(&this).hold_idle_connection(i));
        }
        let slow = 0..share(this.plan.behavior.slow_readers);
        let slow: Vec<_> = slow
            .map(|i| spawn_local(Rc::clone(&this).read_slowly(i, source)))
            .collect();
        Rc::clone(&this).drive().await;
        // Danger: what they still wait for would count as never answered if they had no time to say that they leave.
        for reader in slow {
            // It ends with the plan, and fails only by a panic, which has been shown.
            let _ = reader.await;
        }
        this.summary.replace(Summary::new(0, 1, 0, 0))
    }

    async fn drive(self: Rc<Self>) {
        let mut next_sweep = 0;
        loop {
            let now = self.clock.now();
            // Bound first: settling within the loop would borrow the clients again.
            loop {
                let request = self.clients.borrow_mut().take(now);
                let Some(request) = request else { break };
                self.dispatch(request, 0);
            }
            self.dispatch_waiting(now);
            if now >= next_sweep {
                self.expire_requests(now);
                next_sweep = now + SWEEP_INTERVAL;
            }
            let next = self.clients.borrow().next_due();
            let idle = self.in_flight.get() == 0 && self.waiting.borrow().is_empty();
            if next.is_none() && idle {
                return;
            }
            let due = next.map_or(next_sweep, |next| next.min(next_sweep));
            tokio::select! {
                () = sleep_until(self.clock.instant(due)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Gives a request to a connection, or has it wait for one.
    fn dispatch(self: &Rc<Self>, request: Ask, reassignments: u8) {
        let now = self.clock.now();
        if reassignments == 0 {
            self.in_flight.set(self.in_flight.get() + 1);
        }
        if reassignments > MAX_REASSIGNMENTS {
            return self.finish_attempt(now, &request, End::Lost, true);
        }
        let one_shot = self.rng.borrow_mut().happens(self.plan.behavior.one_shot);
        let Some(balancer) = self.next_balancer(now) else {
            return self.finish_attempt(now, &request, End::Lost, true);
        };
        let connection = if one_shot {
            let connection = ClientConnection::new(balancer);
            connection.closing.set(true);
            spawn_local(Rc::clone(self).run_connection(Rc::clone(&connection)));
            Some(connection)
        } else {
            self.free_connection(balancer)
        };
        match connection {
            Some(connection) => self.write_request(now, &connection, request, reassignments),
            None => self
                .waiting
                .borrow_mut()
                .push_back((request, reassignments)),
        }
    }

    /// The next balancer in turn that is not known to be down; any if all are.
    fn next_balancer(&self, now: Micros) -> Option<usize> {
        let n = self.balancers.len();
        let first = self
            .next_index
            .replace((self.next_index.get() + 1) % n.max(1));
        let is_up = |balancer: &BalancerConnections| {
            balancer.unavailable_until.get() <= now
                && !balancer.endpoint.closed.load(Ordering::Relaxed)
        };
        let up = (0..n)
            .map(|i| (first + i) % n)
            .find(|i| is_up(&self.balancers[*i]));
        up.or((n > 0).then_some(first % n.max(1)))
    }

    fn free_connection(self: &Rc<Self>, balancer: usize) -> Option<Rc<ClientConnection>> {
        let target = &self.balancers[balancer];
        let mut connections = target.connections.borrow_mut();
        let (n, depth) = (connections.len(), self.plan.behavior.pipelining.max(1));
        let first = if depth > 1 {
            target
                .next_index
                .replace(target.next_index.get().wrapping_add(1))
        } else {
            0
        };
        let free = |connection: &Rc<ClientConnection>| {
            !connection.closing.get() && connection.pending.borrow().len() < depth
        };
        // With one request at a time the first free one serves: few connections are kept busy.
        if depth == 1 || n >= self.max_connections {
            if let Some(connection) = (0..n)
                .map(|i| &connections[(first + i) % n])
                .find(|connection| free(connection))
            {
                return Some(Rc::clone(connection));
            }
        }
        if n >= self.max_connections {
            return None;
        }
        let connection = ClientConnection::new(balancer);
        connections.push(Rc::clone(&connection));
        spawn_local(Rc::clone(self).run_connection(Rc::clone(&connection)));
        Some(connection)
    }

    fn dispatch_waiting(self: &Rc<Self>, now: Micros) {
        loop {
            // Bound first: what is settled below may come back to wait.
            let first = self.waiting.borrow_mut().pop_front();
            let Some((request, reassignments)) = first else {
                return;
            };
            if request.deadline <= now {
                self.finish_attempt(now, &request, End::Unanswered, true);
                continue;
            }
            let connection = (0..self.balancers.len()).find_map(|_| {
                self.next_balancer(now)
                    .and_then(|balancer| self.free_connection(balancer))
            });
            match connection {
                Some(connection) => self.write_request(now, &connection, request, reassignments),
                None => {
                    return self
                        .waiting
                        .borrow_mut()
                        .push_front((request, reassignments))
                }
            }
        }
    }

    fn write_request(
        &self,
        now: Micros,
        connection: &ClientConnection,
        request: Ask,
        reassignments: u8,
    ) {
        let left_ms = ((request.deadline - now) / MS).max(1);
        let Some(class) = self.plan.classes.get(usize::from(request.class)) else {
            return;
        };
        let tenant = self
            .plan
            .traffic
            .tenants
            .get(usize::from(request.tenant))
            .map_or("", |tenant| &tenant.name);
        let id = format!("{:016x}", request.id);
        let mut info = format!("c={},t={tenant},d={left_ms}", class.name);
        if request.retry > 0 && self.plan.retries.marked {
            info.push_str(",r=1");
        }
        if class.repeats == Repeats::Keyed {
            info.push_str(&format!(",k={id}"));
        }
        let mut out = connection.out.borrow_mut();
        put_number(&mut out, b'*', if class.write { 5 } else { 4 });
        put_bulk(&mut out, if class.write { b"C.SET" } else { b"C.GET" });
        put_bulk(&mut out, format!("{:016x}", request.key).as_bytes());
        put_bulk(&mut out, id.as_bytes());
        put_bulk(&mut out, info.as_bytes());
        if class.write {
            put_number(&mut out, b'$', class.value_bytes);
            out.put_bytes(b'v', class.value_bytes);
            out.put_slice(b"\r\n");
        }
        connection.pending.borrow_mut().push_back(PendingRequest {
            request,
            sent: false,
            crossed_close: false,
            timed_out: false,
            reassignments,
        });
        connection.wakeup.notify_one();
    }

    fn record(&self, at: Micros, seen: Seen) {
        self.event_log.borrow_mut().record(at, seen);
    }

    /// The end of a try for its client.
    fn finish_attempt(&self, now: Micros, request: &Ask, end: End, unsent: bool) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        let mut clients = self.clients.borrow_mut();
        let in_time = end == End::Served && now - request.first_due <= clients.aim(request.class);
        clients.settle(now, request, end);
        self.summary
            .borrow_mut()
            .record(now, request, end, unsent, in_time);
        self.plan
            .live_counters
            .record_end(end, (now - request.due).max(0) as u64);
        self.wake.notify_one();
    }

    /// Ends the waits that are over.
    fn expire_requests(self: &Rc<Self>, now: Micros) {
        self.event_log.borrow_mut().flush_if_due();
        let unpipelined = self.plan.behavior.pipelining <= 1;
        let mut over = Vec::new();
        for balancer in &self.balancers {
            for connection in balancer.connections.borrow().iter() {
                for pending in connection
                    .pending
                    .borrow_mut()
                    .iter_mut()
                    .take_while(|pending| pending.request.deadline <= now)
                {
                    if !pending.timed_out {
                        pending.timed_out = true;
                        over.push((pending.request, !pending.sent));
                    }
                }
                let first = connection
                    .pending
                    .borrow()
                    .front()
                    .map(|pending| pending.request.deadline);
                let answer_timeout = if unpipelined {
                    CLOSE_TIMEOUT
                } else {
                    LATE_ANSWER_TIMEOUT
                };
                if first.is_some_and(|deadline| deadline + answer_timeout <= now) {
                    connection.abandoned.set(true);
                    connection.wakeup.notify_one();
                }
            }
        }
        over.iter().for_each(|(request, unsent)| {
            self.finish_attempt(now, request, End::Unanswered, *unsent)
        });
    }

    /// The life of one connection.
    async fn run_connection(self: Rc<Self>, connection: Rc<ClientConnection>) {
        let balancer = &self.balancers[connection.balancer];
        let ended = match timeout(
            CONNECT_TIMEOUT,
            TcpStream::connect(balancer.endpoint.address),
        )
        .await
        {
            Ok(Ok(socket)) => {
                // Without it requests only go out later.
                let _ = socket.set_nodelay(true);
                self.exchange(socket, &connection).await
            }
            _ => {
                balancer
                    .unavailable_until
                    .set(self.clock.now() + UNAVAILABLE_TTL);
                ConnectionEnd::Unread
            }
        };
        connection.closing.set(true);
        balancer
            .connections
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &connection));
        self.finish_connection(&connection, ended);
        self.wake.notify_one();
    }

    /// What becomes of the requests on a connection that has ended.
    fn finish_connection(self: &Rc<Self>, connection: &ClientConnection, ended: ConnectionEnd) {
        let now = self.clock.now();
        for pending in std::mem::take(&mut *connection.pending.borrow_mut()) {
            let PendingRequest {
                request,
                sent,
                crossed_close,
                timed_out,
                reassignments,
            } = pending;
            match ended {
                _ if timed_out => self.record(now, Seen::Left { id: request.id }),
                // Not read by the balancer, so it goes out once more, as clients of this protocol do.
                _ if !sent || crossed_close => self.dispatch(request, reassignments + 1),
                ConnectionEnd::Unread => self.dispatch(request, reassignments + 1),
                ConnectionEnd::ByClient => {
                    self.record(now, Seen::Left { id: request.id });
                    self.finish_attempt(now, &request, End::Unanswered, false);
                }
                ConnectionEnd::Closed => {
                    self.record(now, Seen::Lost { id: request.id });
                    self.finish_attempt(now, &request, End::Lost, false);
                }
            }
        }
    }

    async fn exchange(
        &self,
        mut socket: TcpStream,
        connection: &ClientConnection,
    ) -> ConnectionEnd {
        let mut codec = ReplyReader::new(MAX_VALUE_BYTES, &Budget::new(usize::MAX / 2));
        let mut input = BytesMut::with_capacity(READ_BUFFER_BYTES);
        loop {
            if connection.abandoned.get() {
                return ConnectionEnd::ByClient;
            }
            let out = connection.out.borrow_mut().split();
            if !out.is_empty() {
                let unsent = connection
                    .pending
                    .borrow()
                    .iter()
                    .filter(|pending| !pending.sent)
                    .count();
                let written = tokio::select! {
                    written = socket.write_all(&out) => written,
                    () = abandoned(connection) => return ConnectionEnd::ByClient,
                };
                if written.is_err() {
                    return self.classify_reset(connection);
                }
                // Danger: asked any later, an end that came behind a request that was read would excuse its loss. What came
                // within the write stays in doubt, and is believed.
                self.record_sent(
                    connection,
                    unsent,
                    connection.has_answered.get() && has_ended(&socket),
                );
            }
            input.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                () = connection.wakeup.notified() => continue,
                read = socket.read_buf(&mut input) => match read {
                    Ok(0) if connection.pending.borrow().is_empty() => return ConnectionEnd::ByClient,
                    Ok(0) => return self.classify_end_of_stream(&socket, connection).await,
                    Ok(_) => {}
                    Err(_) => return self.classify_reset(connection),
                },
            }
            loop {
                match codec.decode(&mut input) {
                    Ok(Some(reply)) => self.handle_reply(connection, reply),
                    Ok(None) => break,
                    Err(_) => return ConnectionEnd::Closed,
                }
            }
            if connection.closing.get() && connection.pending.borrow().is_empty() {
                return ConnectionEnd::ByClient;
            }
        }
    }

    /// A request that crossed the close is answered with a reset, which comes behind the end that was read.
    async fn classify_end_of_stream(
        &self,
        socket: &TcpStream,
        connection: &ClientConnection,
    ) -> ConnectionEnd {
        for _ in 0..MAX_RESET_CHECKS {
            if matches!(socket.take_error(), Ok(Some(_))) {
                return self.classify_reset(connection);
            }
            sleep(Duration::from_millis(1)).await;
        }
        ConnectionEnd::Closed
    }

    /// A reset on a connection that was in use before says that what crossed it was not read.
    fn classify_reset(&self, connection: &ClientConnection) -> ConnectionEnd {
        if connection.has_answered.get() {
            ConnectionEnd::Unread
        } else {
            ConnectionEnd::Closed
        }
    }

    fn record_sent(&self, connection: &ClientConnection, unsent: usize, crossed_close: bool) {
        let now = self.clock.now();
        let mut pending = connection.pending.borrow_mut();
        for pending in pending
            .iter_mut()
            .filter(|pending| !pending.sent)
            .take(unsent)
        {
            (pending.sent, pending.crossed_close) = (true, crossed_close);
            let Ask {
                id,
                class,
                deadline,
                ..
            } = pending.request;
            self.record(
                now,
                Seen::Sent {
                    id,
                    class,
                    balancer: connection.balancer as u16,
                    deadline,
                },
            );
        }
    }

    fn handle_reply(&self, connection: &ClientConnection, reply: Value) {
        let now = self.clock.now();
        connection.has_answered.set(true);
        let Some(PendingRequest {
            request, timed_out, ..
        }) = connection.pending.borrow_mut().pop_front()
        else {
            return self.record(
                now,
                Seen::Surplus {
                    balancer: connection.balancer as u16,
                },
            );
        };
        let (answer, end) = read_reply(&reply, request.id);
        self.record(
            now,
            Seen::Answered {
                id: request.id,
                answer,
            },
        );
        // An answer that came late is the checker's; its client has gone on.
        if !timed_out {
            self.finish_attempt(now, &request, end, false);
        }
    }

    /// A connection that says nothing; opened again a while after the balancer has closed it.
    async fn hold_idle_connection(self: Rc<Self>, i: usize) {
        while self.clock.now() < self.plan.end {
            let Some(balancer) = self.balancers.get(i % self.balancers.len().max(1)) else {
                return;
            };
            if let Ok(mut socket) = TcpStream::connect(balancer.endpoint.address).await {
                let _ = socket.read(&mut [0; 64]).await;
            }
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// A connection that asks for values on and on and reads a few bytes at a time.
    async fn read_slowly(self: Rc<Self>, i: usize, source: usize) {
        let (mut number, never) = (0_u64, self.plan.end + 3_600 * SECOND);
        let Some(class) = self.plan.classes.first() else {
            return;
        };
        let balancer = i % self.balancers.len().max(1);
        while self.clock.now() < self.plan.end {
            let Some(target) = self.balancers.get(balancer) else {
                return;
            };
            if let Ok(mut socket) = TcpStream::connect(target.endpoint.address).await {
                let mut buffer = [0; 16];
                let mut ids = Vec::new();
                while self.clock.now() < self.plan.end {
                    number += 1;
                    let id = (0xfe << 56) | ((source as u64) << 48) | ((i as u64) << 32) | number;
                    let mut out = BytesMut::new();
                    put_number(&mut out, b'*', 4);
                    let info = format!("c={},t=,d={}", class.name, class.deadline_ms);
                    let arguments = [
                        Bytes::from_static(b"C.GET"),
                        Bytes::from(format!("{:016x}", number % 64)),
                    ];
                    arguments.iter().for_each(|word| put_bulk(&mut out, word));
                    put_bulk(&mut out, format!("{id:016x}").as_bytes());
                    put_bulk(&mut out, info.as_bytes());
                    if !matches!(
                        timeout(Duration::from_millis(200), socket.write_all(&out)).await,
                        Ok(Ok(()))
                    ) {
                        break;
                    }
                    // Its own slowness is no breach: it waits for ever.
                    self.record(
                        self.clock.now(),
                        Seen::Sent {
                            id,
                            class: 0,
                            balancer: balancer as u16,
                            deadline: never,
                        },
                    );
                    ids.push(id);
                    let read = timeout(SLOW_READ_INTERVAL, socket.read(&mut buffer)).await;
                    if !matches!(read, Ok(Ok(1..)) | Err(_)) {
                        break;
                    }
                    sleep(SLOW_READ_INTERVAL).await;
                }
                let now = self.clock.now();
                ids.into_iter()
                    .for_each(|id| self.record(now, Seen::Left { id }));
            }
            sleep(Duration::from_millis(500)).await;
        }
    }
}

/// Whether the other side has ended by the kernel's own word, also behind bytes that nobody has read.
fn has_ended(socket: &TcpStream) -> bool {
    let mut asked = [PollFd::new(socket, PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut asked, Some(&now)).is_ok() && asked[0].revents().contains(PollFlags::RDHUP)
}

/// How a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// By the client.
    ByClient,
    /// Before the balancer had read what is owed.
    Unread,
    Closed,
}

async fn abandoned(connection: &ClientConnection) {
    while !connection.abandoned.get() {
        connection.wakeup.notified().await;
    }
}

fn read_reply(reply: &Value, id: u64) -> (Answer, End) {
    let value = |value: &Bytes| {
        let own = is_made_for(value, format!("{id:016x}").as_bytes());
        (Answer::Value { own }, End::Served)
    };
    match reply {
        Value::Bulk(bytes) => value(bytes),
        Value::Array(items) => match items.first() {
            Some(Value::Bulk(bytes)) => value(bytes),
            _ => (Answer::Failed, End::Failed),
        },
        Value::Error(connection) if connection.starts_with(b"BUSY") => {
            let after = std::str::from_utf8(&connection[4..])
                .ok()
                .and_then(|text| text.trim().parse::<u64>().ok());
            (Answer::Refused, End::Refused { after_ms: after })
        }
        _ => (Answer::Failed, End::Failed),
    }
}

/// The plan's faults that no type tells: the key, and what is wrong.
pub fn behavior_error(behavior: &ClientBehavior) -> Option<(&'static str, String)> {
    if behavior.connections == 0 || behavior.connections > 100_000 {
        return Some(("connections", "must be between 1 and 100,000".to_string()));
    }
    if behavior.pipelining == 0 || behavior.pipelining > 10_000 {
        return Some(("pipelining", "must be between 1 and 10,000".to_string()));
    }
    (!(0.0..=1.0).contains(&behavior.one_shot))
        .then(|| ("one_shot", "must be between 0 and 1".to_string()))
}
