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
use stairfront_codec::resp::{put_bulk, put_number, ReplyDecoder, Value};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_emulator::arrivals::{Arrivals, Popularity, Traffic};
use stairfront_emulator::cache_host::is_value_for;
use stairfront_emulator::client::{
    Attempt, ClassSettings, ClientSettings, Clients, Idempotency, Outcome, RetrySettings,
};
use stairfront_emulator::rules::{ClientAnswer, Observation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Decoder;

use crate::clock::RunClock;
use crate::live::Live;
use crate::tally::Tally;
use crate::tape::Tape;

/// How often waits are looked through.
const SWEEP: Micros = 10 * MS;
/// A connection that does not come up in this time is given up.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// A balancer that refused a connection is left alone for so long while there are others.
const DOWN_FOR: Micros = 200 * MS;
/// Beyond its time a client with one request on a connection closes it after this.
const CLOSE_AFTER: Micros = 60 * MS;
/// Others on a connection that carries several wait so long for answers that are late.
const PATIENCE: Micros = 30 * SECOND;
/// Times that a request which nobody has read goes to another connection.
const MOST_MOVES: u8 = 4;
/// Between two commands, and two reads, of a client that reads slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(20);
/// Looks, a millisecond apart, for the reset behind an end: on loopback it is there at once, or when a kernel thread
/// has got round to it.
const RESET_LOOKS: u32 = 20;
const LARGEST_VALUE: usize = 16 * 1024 * 1024;
const READ_BUFFER: usize = 16 * 1024;

/// How clients use connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Habits {
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

impl Default for Habits {
    fn default() -> Self {
        Habits {
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
pub struct Front {
    pub address: SocketAddr,
    /// Gets no new connections.
    pub closed: Arc<AtomicBool>,
}

#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub traffic: Traffic,
    pub classes: Vec<ClassSettings>,
    pub retries: RetrySettings,
    pub habits: Habits,
    pub balancers: Vec<Front>,
    pub threads: usize,
    pub seed: u64,
    /// Arrivals end then; what is due from `count_from` on is counted.
    pub end: Micros,
    pub count_from: Micros,
    pub live: Arc<Live>,
}

/// Runs all clients until the last answer is in or nobody waits any more.
pub fn run(
    plan: &LoadPlan,
    clock: RunClock,
    tapes: &Sender<Vec<(Micros, Observation)>>,
) -> io::Result<Tally> {
    let popularity = Arc::new(Popularity::new(plan.traffic.keys, plan.traffic.zipf));
    let (classes, tenants) = (plan.classes.len(), plan.traffic.tenants.len());
    let mut threads = Vec::new();
    for source in 0..plan.threads.max(1) {
        let (plan, popularity) = (plan.clone(), Arc::clone(&popularity));
        let tape = Tape::new(clock, tapes.clone());
        threads.push(
            std::thread::Builder::new()
                .name("clients".to_string())
                .spawn(move || {
                    let runtime = tokio::runtime::Builder::new_current_thread()
                        .enable_all()
                        .build()?;
                    Ok(runtime.block_on(
                        LocalSet::new()
                            .run_until(Source::run(plan, popularity, clock, tape, source)),
                    ))
                })?,
        );
    }
    let mut tally = Tally::new(classes, tenants, plan.count_from, plan.end);
    for thread in threads {
        let part: io::Result<Tally> = thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("a thread of clients ended")));
        tally.add(&part?);
    }
    Ok(tally)
}

/// A request that has no answer yet.
struct Owed {
    ask: Attempt,
    /// Its last byte has been written.
    sent: bool,
    /// The balancer had ended its side by the time that was written: it cannot be read as a command any more.
    crossed: bool,
    /// Its client waits no longer.
    given_up: bool,
    moves: u8,
}

/// One connection.
struct Line {
    balancer: usize,
    out: RefCell<BytesMut>,
    owed: RefCell<VecDeque<Owed>>,
    bell: Notify,
    /// Takes no further request.
    last: Cell<bool>,
    /// Closes at once, whatever it is owed.
    left: Cell<bool>,
    /// Has carried an answer before.
    used: Cell<bool>,
}

impl Line {
    fn new(balancer: usize) -> Rc<Self> {
        Rc::new(Line {
            balancer,
            out: RefCell::default(),
            owed: RefCell::default(),
            bell: Notify::new(),
            last: Cell::new(false),
            left: Cell::new(false),
            used: Cell::new(false),
        })
    }
}

/// What one balancer is to a source.
struct Road {
    front: Front,
    lines: RefCell<Vec<Rc<Line>>>,
    /// Where to look first for a free one.
    turn: Cell<usize>,
    down_until: Cell<Micros>,
}

/// The clients of one thread.
struct Source {
    plan: LoadPlan,
    clock: RunClock,
    clients: RefCell<Clients>,
    tape: RefCell<Tape>,
    tally: RefCell<Tally>,
    roads: Vec<Road>,
    turn: Cell<usize>,
    /// Due, and without a connection yet.
    waiting: RefCell<VecDeque<(Attempt, u8)>>,
    open: Cell<usize>,
    dice: RefCell<SeededRng>,
    wake: Notify,
    /// Most kept connections to each balancer from this thread.
    most: usize,
}

impl Source {
    async fn run(
        plan: LoadPlan,
        popularity: Arc<Popularity>,
        clock: RunClock,
        tape: Tape,
        source: usize,
    ) -> Tally {
        let threads = plan.threads.max(1);
        let arrivals = Arrivals::new(plan.traffic.clone(), popularity, plan.seed, source, threads);
        let clients = Clients::new(
            arrivals,
            ClientSettings {
                classes: &plan.classes,
                retry: plan.retries.clone(),
                seed: plan.seed,
                source,
                end: plan.end,
            },
        );
        let tally = Tally::new(
            plan.classes.len(),
            plan.traffic.tenants.len(),
            plan.count_from,
            plan.end,
        );
        let road = |front: &Front| Road {
            front: front.clone(),
            lines: RefCell::default(),
            turn: Cell::new(0),
            down_until: Cell::new(0),
        };
        let this = Rc::new(Source {
            clock,
            clients: RefCell::new(clients),
            tape: RefCell::new(tape),
            tally: RefCell::new(tally),
            roads: plan.balancers.iter().map(road).collect(),
            turn: Cell::new(source),
            waiting: RefCell::default(),
            open: Cell::new(0),
            dice: RefCell::new(SeededRng::for_part(plan.seed, &format!("habits-{source}"))),
            wake: Notify::new(),
            most: plan.habits.connections.div_ceil(threads).max(1),
            plan,
        });
        let share = |all: usize| all / threads + usize::from(source < all % threads);
        for i in 0..share(this.plan.habits.idle) {
            spawn_local(Rc::clone(&this).stand_idle(i));
        }
        let slow = 0..share(this.plan.habits.slow_readers);
        let slow: Vec<_> = slow
            .map(|i| spawn_local(Rc::clone(&this).read_slowly(i, source)))
            .collect();
        Rc::clone(&this).drive().await;
        // Danger: what they still wait for would count as never answered if they had no time to say that they leave.
        for reader in slow {
            // It ends with the plan, and fails only by a panic, which has been shown.
            let _ = reader.await;
        }
        this.tally.replace(Tally::new(0, 1, 0, 0))
    }

    async fn drive(self: Rc<Self>) {
        let mut sweep_at = 0;
        loop {
            let now = self.clock.now();
            // Bound first: settling within the loop would borrow the clients again.
            loop {
                let ask = self.clients.borrow_mut().take_due(now);
                let Some(ask) = ask else { break };
                self.place(ask, 0);
            }
            self.place_waiting(now);
            if now >= sweep_at {
                self.sweep(now);
                sweep_at = now + SWEEP;
            }
            let next = self.clients.borrow().next_due();
            let idle = self.open.get() == 0 && self.waiting.borrow().is_empty();
            if next.is_none() && idle {
                return;
            }
            let due = next.map_or(sweep_at, |next| next.min(sweep_at));
            tokio::select! {
                () = sleep_until(self.clock.instant(due)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Gives a request to a connection, or has it wait for one.
    fn place(self: &Rc<Self>, ask: Attempt, moves: u8) {
        let now = self.clock.now();
        if moves == 0 {
            self.open.set(self.open.get() + 1);
        }
        if moves > MOST_MOVES {
            return self.settle(now, &ask, Outcome::ConnectionLost, true);
        }
        let one_shot = self.dice.borrow_mut().happens(self.plan.habits.one_shot);
        let Some(road) = self.road(now) else {
            return self.settle(now, &ask, Outcome::ConnectionLost, true);
        };
        let line = if one_shot {
            let line = Line::new(road);
            line.last.set(true);
            spawn_local(Rc::clone(self).talk(Rc::clone(&line)));
            Some(line)
        } else {
            self.free_line(road)
        };
        match line {
            Some(line) => self.write(now, &line, ask, moves),
            None => self.waiting.borrow_mut().push_back((ask, moves)),
        }
    }

    /// The next balancer in turn that is not known to be down; any if all are.
    fn road(&self, now: Micros) -> Option<usize> {
        let n = self.roads.len();
        let first = self.turn.replace((self.turn.get() + 1) % n.max(1));
        let is_up = |road: &Road| {
            road.down_until.get() <= now && !road.front.closed.load(Ordering::Relaxed)
        };
        let up = (0..n)
            .map(|i| (first + i) % n)
            .find(|i| is_up(&self.roads[*i]));
        up.or((n > 0).then_some(first % n.max(1)))
    }

    fn free_line(self: &Rc<Self>, balancer: usize) -> Option<Rc<Line>> {
        let road = &self.roads[balancer];
        let mut lines = road.lines.borrow_mut();
        let (n, depth) = (lines.len(), self.plan.habits.pipelining.max(1));
        let first = if depth > 1 {
            road.turn.replace(road.turn.get().wrapping_add(1))
        } else {
            0
        };
        let free = |line: &Rc<Line>| !line.last.get() && line.owed.borrow().len() < depth;
        // With one request at a time the first free one serves: few connections are kept busy.
        if depth == 1 || n >= self.most {
            if let Some(line) = (0..n)
                .map(|i| &lines[(first + i) % n])
                .find(|line| free(line))
            {
                return Some(Rc::clone(line));
            }
        }
        if n >= self.most {
            return None;
        }
        let line = Line::new(balancer);
        lines.push(Rc::clone(&line));
        spawn_local(Rc::clone(self).talk(Rc::clone(&line)));
        Some(line)
    }

    fn place_waiting(self: &Rc<Self>, now: Micros) {
        loop {
            // Bound first: what is settled below may come back to wait.
            let first = self.waiting.borrow_mut().pop_front();
            let Some((ask, moves)) = first else { return };
            if ask.deadline <= now {
                self.settle(now, &ask, Outcome::TimedOut, true);
                continue;
            }
            let line = (0..self.roads.len())
                .find_map(|_| self.road(now).and_then(|road| self.free_line(road)));
            match line {
                Some(line) => self.write(now, &line, ask, moves),
                None => return self.waiting.borrow_mut().push_front((ask, moves)),
            }
        }
    }

    fn write(&self, now: Micros, line: &Line, ask: Attempt, moves: u8) {
        let left_ms = ((ask.deadline - now) / MS).max(1);
        let Some(class) = self.plan.classes.get(usize::from(ask.class)) else {
            return;
        };
        let tenant = self
            .plan
            .traffic
            .tenants
            .get(usize::from(ask.tenant))
            .map_or("", |tenant| &tenant.name);
        let id = format!("{:016x}", ask.id);
        let mut info = format!("c={},t={tenant},d={left_ms}", class.name);
        if ask.retry > 0 && self.plan.retries.mark_retries {
            info.push_str(",r=1");
        }
        if class.idempotency == Idempotency::Keyed {
            info.push_str(&format!(",k={id}"));
        }
        let mut out = line.out.borrow_mut();
        put_number(&mut out, b'*', if class.write { 5 } else { 4 });
        put_bulk(&mut out, if class.write { b"C.SET" } else { b"C.GET" });
        put_bulk(&mut out, format!("{:016x}", ask.key).as_bytes());
        put_bulk(&mut out, id.as_bytes());
        put_bulk(&mut out, info.as_bytes());
        if class.write {
            put_number(&mut out, b'$', class.value_bytes);
            out.put_bytes(b'v', class.value_bytes);
            out.put_slice(b"\r\n");
        }
        line.owed.borrow_mut().push_back(Owed {
            ask,
            sent: false,
            crossed: false,
            given_up: false,
            moves,
        });
        line.bell.notify_one();
    }

    fn note(&self, at: Micros, seen: Observation) {
        self.tape.borrow_mut().note(at, seen);
    }

    /// The end of a try for its client.
    fn settle(&self, now: Micros, ask: &Attempt, end: Outcome, unsent: bool) {
        self.open.set(self.open.get().saturating_sub(1));
        let mut clients = self.clients.borrow_mut();
        let in_time =
            end == Outcome::Served && now - ask.first_due <= clients.latency_objective(ask.class);
        clients.record_outcome(now, ask, end);
        self.tally.borrow_mut().book(now, ask, end, unsent, in_time);
        self.plan.live.ended(end, (now - ask.due).max(0) as u64);
        self.wake.notify_one();
    }

    /// Ends the waits that are over.
    fn sweep(self: &Rc<Self>, now: Micros) {
        self.tape.borrow_mut().tick();
        let alone = self.plan.habits.pipelining <= 1;
        let mut over = Vec::new();
        for road in &self.roads {
            for line in road.lines.borrow().iter() {
                for owed in line
                    .owed
                    .borrow_mut()
                    .iter_mut()
                    .take_while(|owed| owed.ask.deadline <= now)
                {
                    if !owed.given_up {
                        owed.given_up = true;
                        over.push((owed.ask, !owed.sent));
                    }
                }
                let first = line.owed.borrow().front().map(|owed| owed.ask.deadline);
                let patience = if alone { CLOSE_AFTER } else { PATIENCE };
                if first.is_some_and(|deadline| deadline + patience <= now) {
                    line.left.set(true);
                    line.bell.notify_one();
                }
            }
        }
        over.iter()
            .for_each(|(ask, unsent)| self.settle(now, ask, Outcome::TimedOut, *unsent));
    }

    /// The life of one connection.
    async fn talk(self: Rc<Self>, line: Rc<Line>) {
        let road = &self.roads[line.balancer];
        let ended = match timeout(CONNECT_LIMIT, TcpStream::connect(road.front.address)).await {
            Ok(Ok(socket)) => {
                // Without it requests only go out later.
                let _ = socket.set_nodelay(true);
                self.exchange(socket, &line).await
            }
            _ => {
                road.down_until.set(self.clock.now() + DOWN_FOR);
                Ended::Unread
            }
        };
        line.last.set(true);
        road.lines
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &line));
        self.wind_up(&line, ended);
        self.wake.notify_one();
    }

    /// What becomes of the requests on a connection that has ended.
    fn wind_up(self: &Rc<Self>, line: &Line, ended: Ended) {
        let now = self.clock.now();
        for owed in std::mem::take(&mut *line.owed.borrow_mut()) {
            let Owed {
                ask,
                sent,
                crossed,
                given_up,
                moves,
            } = owed;
            match ended {
                _ if given_up => self.note(now, Observation::ClientClosed { id: ask.id }),
                // Not read by the balancer, so it goes out once more, as clients of this protocol do.
                _ if !sent || crossed => self.place(ask, moves + 1),
                Ended::Unread => self.place(ask, moves + 1),
                Ended::Left => {
                    self.note(now, Observation::ClientClosed { id: ask.id });
                    self.settle(now, &ask, Outcome::TimedOut, false);
                }
                Ended::Closed => {
                    self.note(now, Observation::ConnectionLost { id: ask.id });
                    self.settle(now, &ask, Outcome::ConnectionLost, false);
                }
            }
        }
    }

    async fn exchange(&self, mut socket: TcpStream, line: &Line) -> Ended {
        let mut codec = ReplyDecoder::new(LARGEST_VALUE, &Budget::new(usize::MAX / 2));
        let mut input = BytesMut::with_capacity(READ_BUFFER);
        loop {
            if line.left.get() {
                return Ended::Left;
            }
            let out = line.out.borrow_mut().split();
            if !out.is_empty() {
                let unsent = line.owed.borrow().iter().filter(|owed| !owed.sent).count();
                let written = tokio::select! {
                    written = socket.write_all(&out) => written,
                    () = left(line) => return Ended::Left,
                };
                if written.is_err() {
                    return self.broken(line);
                }
                // Danger: asked any later, an end that came behind a request that was read would excuse its loss. What came
                // within the write stays in doubt, and is believed.
                self.note_sent(line, unsent, line.used.get() && has_ended(&socket));
            }
            input.reserve(READ_BUFFER);
            tokio::select! {
                biased;
                () = line.bell.notified() => continue,
                read = socket.read_buf(&mut input) => match read {
                    Ok(0) if line.owed.borrow().is_empty() => return Ended::Left,
                    Ok(0) => return self.end_read(&socket, line).await,
                    Ok(_) => {}
                    Err(_) => return self.broken(line),
                },
            }
            loop {
                match codec.decode(&mut input) {
                    Ok(Some(reply)) => self.take(line, reply),
                    Ok(None) => break,
                    Err(_) => return Ended::Closed,
                }
            }
            if line.last.get() && line.owed.borrow().is_empty() {
                return Ended::Left;
            }
        }
    }

    /// A request that crossed the close is answered with a reset, which comes behind the end that was read.
    async fn end_read(&self, socket: &TcpStream, line: &Line) -> Ended {
        for _ in 0..RESET_LOOKS {
            if matches!(socket.take_error(), Ok(Some(_))) {
                return self.broken(line);
            }
            sleep(Duration::from_millis(1)).await;
        }
        Ended::Closed
    }

    /// A reset on a connection that was in use before says that what crossed it was not read.
    fn broken(&self, line: &Line) -> Ended {
        if line.used.get() {
            Ended::Unread
        } else {
            Ended::Closed
        }
    }

    fn note_sent(&self, line: &Line, unsent: usize, crossed: bool) {
        let now = self.clock.now();
        let mut owed = line.owed.borrow_mut();
        for owed in owed.iter_mut().filter(|owed| !owed.sent).take(unsent) {
            (owed.sent, owed.crossed) = (true, crossed);
            let Attempt {
                id,
                class,
                deadline,
                ..
            } = owed.ask;
            self.note(
                now,
                Observation::RequestSent {
                    id,
                    class,
                    balancer: line.balancer as u16,
                    deadline,
                },
            );
        }
    }

    fn take(&self, line: &Line, reply: Value) {
        let now = self.clock.now();
        line.used.set(true);
        let Some(Owed { ask, given_up, .. }) = line.owed.borrow_mut().pop_front() else {
            return self.note(
                now,
                Observation::UnsolicitedAnswer {
                    balancer: line.balancer as u16,
                },
            );
        };
        let (answer, end) = read_reply(&reply, ask.id);
        self.note(now, Observation::Answered { id: ask.id, answer });
        // An answer that came late is the checker's; its client has gone on.
        if !given_up {
            self.settle(now, &ask, end, false);
        }
    }

    /// A connection that says nothing; opened again a while after the balancer has closed it.
    async fn stand_idle(self: Rc<Self>, i: usize) {
        while self.clock.now() < self.plan.end {
            let Some(road) = self.roads.get(i % self.roads.len().max(1)) else {
                return;
            };
            if let Ok(mut socket) = TcpStream::connect(road.front.address).await {
                let _ = socket.read(&mut [0; 64]).await;
            }
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// A connection that asks for values on and on and reads a few bytes at a time.
    async fn read_slowly(self: Rc<Self>, i: usize, source: usize) {
        let (mut number, far) = (0_u64, self.plan.end + 3_600 * SECOND);
        let Some(class) = self.plan.classes.first() else {
            return;
        };
        let balancer = i % self.roads.len().max(1);
        while self.clock.now() < self.plan.end {
            let Some(road) = self.roads.get(balancer) else {
                return;
            };
            if let Ok(mut socket) = TcpStream::connect(road.front.address).await {
                let mut piece = [0; 16];
                let mut ids = Vec::new();
                while self.clock.now() < self.plan.end {
                    number += 1;
                    let id = (0xfe << 56) | ((source as u64) << 48) | ((i as u64) << 32) | number;
                    let mut out = BytesMut::new();
                    put_number(&mut out, b'*', 4);
                    let info = format!("c={},t=,d={}", class.name, class.deadline_ms);
                    let words = [
                        Bytes::from_static(b"C.GET"),
                        Bytes::from(format!("{:016x}", number % 64)),
                    ];
                    words.iter().for_each(|word| put_bulk(&mut out, word));
                    put_bulk(&mut out, format!("{id:016x}").as_bytes());
                    put_bulk(&mut out, info.as_bytes());
                    if !matches!(
                        timeout(Duration::from_millis(200), socket.write_all(&out)).await,
                        Ok(Ok(()))
                    ) {
                        break;
                    }
                    // Its own slowness is no breach: it waits for ever.
                    self.note(
                        self.clock.now(),
                        Observation::RequestSent {
                            id,
                            class: 0,
                            balancer: balancer as u16,
                            deadline: far,
                        },
                    );
                    ids.push(id);
                    let read = timeout(SLOW_PAUSE, socket.read(&mut piece)).await;
                    if !matches!(read, Ok(Ok(1..)) | Err(_)) {
                        break;
                    }
                    sleep(SLOW_PAUSE).await;
                }
                let now = self.clock.now();
                ids.into_iter()
                    .for_each(|id| self.note(now, Observation::ClientClosed { id }));
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
enum Ended {
    /// By the client.
    Left,
    /// Before the balancer had read what is owed.
    Unread,
    Closed,
}

async fn left(line: &Line) {
    while !line.left.get() {
        line.bell.notified().await;
    }
}

fn read_reply(reply: &Value, id: u64) -> (ClientAnswer, Outcome) {
    let value = |value: &Bytes| {
        let own = is_value_for(value, format!("{id:016x}").as_bytes());
        (ClientAnswer::Value { own }, Outcome::Served)
    };
    match reply {
        Value::Bulk(bytes) => value(bytes),
        Value::Array(items) => match items.first() {
            Some(Value::Bulk(bytes)) => value(bytes),
            _ => (ClientAnswer::Failed, Outcome::Failed),
        },
        Value::Error(line) if line.starts_with(b"BUSY") => {
            let after = std::str::from_utf8(&line[4..])
                .ok()
                .and_then(|text| text.trim().parse::<u64>().ok());
            (
                ClientAnswer::Rejected,
                Outcome::Rejected {
                    retry_after_ms: after,
                },
            )
        }
        _ => (ClientAnswer::Failed, Outcome::Failed),
    }
}

/// The plan's faults that no type tells: the key, and what is wrong.
pub fn fault(habits: &Habits) -> Option<(&'static str, String)> {
    if habits.connections == 0 || habits.connections > 100_000 {
        return Some(("connections", "must be between 1 and 100,000".to_string()));
    }
    if habits.pipelining == 0 || habits.pipelining > 10_000 {
        return Some(("pipelining", "must be between 1 and 10,000".to_string()));
    }
    (!(0.0..=1.0).contains(&habits.one_shot))
        .then(|| ("one_shot", "must be between 0 and 1".to_string()))
}
