//! The member's one task: datagrams, streams and ticks go in, what the core says goes out.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stairfront_gossip_membership::core::OrderError;
use stairfront_gossip_membership::packet::MAX_DATAGRAM_BYTES;
use stairfront_gossip_membership::report::{Progress, Report};
use stairfront_gossip_membership::{
    Action, DrainAnnouncement, MemberState, Membership, Micros, QuorumStatus, Settings,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};
use tracing::{info, warn};

use crate::config::MembershipSection;
use crate::record::CordonSetFile;
use crate::streams;

/// Descriptors that a member may hold: two sockets, and exchanges each way.
pub const DESCRIPTORS: usize = 2 + 2 * EXCHANGES + STREAMS;
/// Exchanges at once, made and taken each.
const EXCHANGES: usize = 4;
/// Streams with what was carried for others, made at once.
const STREAMS: usize = 4;
/// What was carried here and not taken yet.
const MOST_CARRIED: usize = 512;
const TICK: Duration = Duration::from_millis(50);
/// Datagrams heard between two ticks. Danger: a flood at the peers' address would take the requests' time. In a group
/// of 300 a member hears one or two a tick.
const MOST_HEARD: usize = 100;
/// At a start the others are asked for so long what is held, before the first request.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// Between two tries to listen: the process before this one may have the address yet.
const LISTEN_AGAIN: Duration = Duration::from_millis(20);
const LISTEN_LATER: Duration = Duration::from_millis(500);
/// Tries before the pause grows, and it is logged.
const LISTEN_TRIES: u32 = 50;
/// A call that is read within this time of a sleep may have waited through it.
const JUST_AWAKE: Duration = Duration::from_secs(1);
/// Without a tick for so long the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(800);
/// Between the two tellings of one that leaves.
const LEAVE_AGAIN: Duration = Duration::from_millis(30);

/// What the engine is to do, told by `next_turn`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Hold a cache host out, or not any more; then `applied` is to be called.
    Cordon {
        host: String,
        held: bool,
    },
    /// Stop sending to it on hearsay, or go by its own list again.
    Hearsay {
        host: String,
        stop: bool,
    },
    AskAgent,
}

/// An operator's order for the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonOrder {
    pub host: String,
    pub cordon: bool,
}

/// What waits for the engine: of each host the last word alone, so that it is bounded by the hosts.
#[derive(Default)]
struct Waiting {
    cordons: BTreeMap<String, bool>,
    hearsay: BTreeMap<String, bool>,
    ask_agent: bool,
}

/// By whom, and what.
type Carried = VecDeque<(String, Vec<u8>)>;

pub struct MembershipAgent {
    core: RefCell<Membership>,
    listen: SocketAddr,
    record: CordonSetFile,
    start: Instant,
    last_tick: Cell<Instant>,
    /// When it woke up last, and how long it had slept.
    woke: Cell<Option<(Instant, Duration)>>,
    waiting: RefCell<Waiting>,
    /// The engine is there, and does what waits.
    engine: Cell<bool>,
    turns: Notify,
    changed: Notify,
    /// Something has been heard or done: who waits for it looks again.
    heard: Notify,
    made: Arc<Semaphore>,
    streams: Arc<Semaphore>,
    /// What was carried here; none where nobody takes it.
    carried: RefCell<Option<Carried>>,
    is_carried: Notify,
    taken: Arc<Semaphore>,
    udp: RefCell<Option<Rc<UdpSocket>>>,
}

impl MembershipAgent {
    /// Nothing is opened before `run`.
    pub fn new(raw: &MembershipSection, me: &str, seed: u64, record: CordonSetFile) -> Rc<Self> {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let run = seed ^ (unix.as_nanos() as u64) ^ (u64::from(std::process::id()) << 48);
        let set = Settings {
            run,
            born_ms: unix.as_millis() as u64,
            seed,
            ..raw.settings(me)
        };
        let now = Instant::now();
        Rc::new(MembershipAgent {
            core: RefCell::new(Membership::new(0, set, &record.read())),
            listen: raw.listen,
            record,
            start: now,
            last_tick: Cell::new(now),
            woke: Cell::new(None),
            waiting: RefCell::default(),
            engine: Cell::new(false),
            turns: Notify::new(),
            changed: Notify::new(),
            heard: Notify::new(),
            made: Arc::new(Semaphore::new(EXCHANGES)),
            streams: Arc::new(Semaphore::new(STREAMS)),
            carried: RefCell::new(None),
            is_carried: Notify::new(),
            taken: Arc::new(Semaphore::new(EXCHANGES)),
            udp: RefCell::new(None),
        })
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Hears and tells for as long as the balancer runs.
    pub async fn run(self: Rc<Self>) {
        let (udp, tcp) = self.listen().await;
        self.udp.replace(Some(Rc::clone(&udp)));
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heard = 0;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut exchanges: Vec<JoinHandle<()>> = Vec::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    heard = 0;
                    self.tick();
                    exchanges.retain(|task| !task.is_finished());
                }
                received = udp.recv_from(&mut buffer), if heard < MOST_HEARD => {
                    heard += 1;
                    // An error here is an earlier datagram's, that reached nobody.
                    if let Ok((length, _)) = received {
                        let now = self.now();
                        self.core.borrow_mut().datagram(now, &buffer[..length]);
                    }
                }
                accepted = tcp.accept(), if self.taken.available_permits() > 0 => {
                    if let (Ok((socket, _)), Ok(place)) = (accepted, Arc::clone(&self.taken).try_acquire_owned()) {
                        let members = Rc::clone(&self);
                        exchanges.push(spawn_local(async move {
                            // One that is late or broken is made again in its time.
                            let _ = timeout(streams::LIMIT, members.reply(socket)).await;
                            drop(place);
                        }));
                    }
                }
                () = self.changed.notified() => {}
            }
            self.carry_out(&udp);
        }
    }

    async fn listen(&self) -> (Rc<UdpSocket>, TcpListener) {
        for tries in 0u32.. {
            match self.try_listen().await {
                Ok((udp, tcp)) => return (Rc::new(udp), tcp),
                Err(problem) if tries == LISTEN_TRIES => {
                    warn!(
                        "membership.listen: cannot listen on {}: {problem}; trying on",
                        self.listen
                    );
                }
                Err(_) => {}
            }
            sleep(if tries < LISTEN_TRIES {
                LISTEN_AGAIN
            } else {
                LISTEN_LATER
            })
            .await;
        }
        std::future::pending().await
    }

    async fn try_listen(&self) -> io::Result<(UdpSocket, TcpListener)> {
        let udp = UdpSocket::bind(self.listen).await?;
        let tcp = if self.listen.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        // Connections of the process before this one may wait for their end.
        tcp.set_reuseaddr(true)?;
        tcp.bind(self.listen)?;
        // What was held when this process began may have changed while the one before it ended.
        let entries = self.record.read();
        let tcp = tcp.listen(EXCHANGES as u32 * 4)?;
        self.core.borrow_mut().restore(self.now(), &entries);
        Ok((udp, tcp))
    }

    fn tick(&self) {
        let now = Instant::now();
        let slept = now - self.last_tick.replace(now);
        if slept > STOOD_STILL {
            self.woke.set(Some((now, slept)));
        }
        self.core.borrow_mut().tick(self.now());
    }

    /// How long this process stood still just now, if it did: what it reads now may be as old.
    pub fn stalled_for(&self) -> Option<Duration> {
        let now = Instant::now();
        let unnoticed = now - self.last_tick.get();
        if unnoticed > STOOD_STILL {
            return Some(unnoticed);
        }
        self.woke
            .get()
            .filter(|(at, _)| now - *at < JUST_AWAKE)
            .map(|(_, slept)| slept)
    }

    async fn reply(&self, mut socket: TcpStream) -> io::Result<()> {
        let packet = streams::receive(&mut socket).await?;
        let reply = self.core.borrow_mut().exchanged(self.now(), &packet);
        self.changed.notify_one();
        match reply {
            Some(reply) => streams::send(&mut socket, &reply).await,
            None => Ok(()),
        }
    }

    fn carry_out(self: &Rc<Self>, udp: &UdpSocket) {
        let actions = self.core.borrow_mut().actions();
        for action in actions {
            match action {
                // A full buffer or an unreachable member: as good as a loss on the way.
                Action::Send { to, bytes } => drop(udp.try_send_to(&bytes, to)),
                Action::Exchange { with, bytes } => self.start_exchange(with, bytes),
                Action::Stream { to, bytes } => {
                    // With too many under way it is as good as lost on the way.
                    if let Ok(place) = Arc::clone(&self.streams).try_acquire_owned() {
                        let from = self.listen.ip();
                        spawn_local(async move {
                            let _ = streams::tell(from, to, &bytes).await;
                            drop(place);
                        });
                    }
                }
                Action::Carried { from, bytes } => {
                    if let Some(carried) = self.carried.borrow_mut().as_mut() {
                        // Danger: one that is not taken in time would hold memory without end; the oldest is worth least.
                        if carried.len() >= MOST_CARRIED {
                            carried.pop_front();
                        }
                        carried.push_back((from, bytes));
                        self.is_carried.notify_one();
                    }
                }
                Action::Record => {
                    if let Err(problem) = self.record.write(self.core.borrow().ledger()) {
                        warn!("the group's cordons not recorded; the others hold them: {problem}");
                    }
                }
                Action::Cordon { host, held } => {
                    self.waiting.borrow_mut().cordons.insert(host, held);
                    self.turns.notify_one();
                }
                Action::Hearsay { host, stop } => {
                    self.waiting.borrow_mut().hearsay.insert(host, stop);
                    self.turns.notify_one();
                }
                Action::AskAgent => {
                    self.waiting.borrow_mut().ask_agent = true;
                    self.turns.notify_one();
                }
                Action::Log(text) => info!("group: {text}"),
                Action::Warn(text) => warn!("group: {text}"),
            }
        }
        self.heard.notify_waiters();
    }

    fn start_exchange(self: &Rc<Self>, with: SocketAddr, bytes: Vec<u8>) {
        let Ok(place) = Arc::clone(&self.made).try_acquire_owned() else {
            return self.core.borrow_mut().exchange_failed();
        };
        let (members, from) = (Rc::clone(self), self.listen.ip());
        spawn_local(async move {
            let answer = streams::ask(from, with, &bytes).await;
            drop(place);
            match answer {
                Ok(packet) => drop(members.core.borrow_mut().exchanged(members.now(), &packet)),
                Err(_) => members.core.borrow_mut().exchange_failed(),
            }
            members.changed.notify_one();
        });
    }

    /// From now on what is carried here is kept for `next_carried`.
    pub fn take_carried(&self) {
        self.carried.borrow_mut().get_or_insert_with(VecDeque::new);
    }

    /// The next that was carried here, and by whom.
    pub async fn next_carried(&self) -> (String, Vec<u8>) {
        loop {
            if let Some(next) = self
                .carried
                .borrow_mut()
                .as_mut()
                .and_then(VecDeque::pop_front)
            {
                return next;
            }
            self.is_carried.notified().await;
        }
    }

    /// Brings bytes of another part of the program to a member, at once or never.
    pub fn carry(&self, to: &str, bytes: Vec<u8>) {
        self.core.borrow_mut().carry(to, bytes);
        self.changed.notify_one();
    }

    /// Waits until this member hears the others: the process before it has ended.
    pub async fn listens(&self) {
        while self.udp.borrow().is_none() {
            sleep(LISTEN_AGAIN).await;
        }
    }

    pub fn roster(&self) -> Vec<String> {
        self.core.borrow().settings().roster.clone()
    }

    /// A number of this process.
    pub fn run_number(&self) -> u64 {
        self.core.borrow().settings().run
    }

    /// Asks the others what is held, for a start that must not send to it: the hosts, when a majority has answered or
    /// the time is over. From then on the engine does what changes.
    pub async fn held_at_start(&self, ask: bool) -> Vec<String> {
        if ask {
            self.core.borrow_mut().begin_to_ask(self.now());
            let enough = async {
                while !self.core.borrow().heard_enough() {
                    self.heard.notified().await;
                }
            };
            if timeout(ASK_LIMIT, enough).await.is_err() {
                warn!("group: too few of the others have said what is held; serving by what is on record, asking on");
            }
        }
        let held: Vec<String> = self
            .core
            .borrow()
            .ledger()
            .held()
            .map(str::to_string)
            .collect();
        self.waiting.borrow_mut().cordons.clear();
        let now = self.now();
        held.iter()
            .for_each(|host| self.core.borrow_mut().applied(now, host, true));
        self.engine.set(true);
        held
    }

    /// What the engine is to do next.
    pub async fn next_turn(&self) -> MembershipEvent {
        loop {
            if let Some(turn) = self.take_turn().filter(|_| self.engine.get()) {
                return turn;
            }
            self.turns.notified().await;
        }
    }

    fn take_turn(&self) -> Option<MembershipEvent> {
        let mut waiting = self.waiting.borrow_mut();
        if let Some((host, held)) = waiting.cordons.pop_first() {
            return Some(MembershipEvent::Cordon { host, held });
        }
        if let Some((host, stop)) = waiting.hearsay.pop_first() {
            return Some(MembershipEvent::Hearsay { host, stop });
        }
        std::mem::take(&mut waiting.ask_agent).then_some(MembershipEvent::AskAgent)
    }

    /// The engine has done a cordon or its end.
    pub fn applied(&self, host: &str, held: bool) {
        self.core.borrow_mut().applied(self.now(), host, held);
        self.changed.notify_one();
    }

    /// What discovery has told this balancer.
    pub fn told(&self, told: &DrainAnnouncement) {
        self.core.borrow_mut().told(self.now(), told);
        self.changed.notify_one();
    }

    /// Gives an order to the whole group, and waits until it is done there or the time is over.
    pub async fn order(
        &self,
        order: &CordonOrder,
        limit: Duration,
    ) -> Result<Progress, OrderError> {
        let number = self
            .core
            .borrow_mut()
            .order(self.now(), &order.host, order.cordon)?;
        self.changed.notify_one();
        let progress = || self.core.borrow().progress(number).ok_or(OrderError::Busy);
        let done = async {
            while !progress()?.done {
                self.heard.notified().await;
            }
            Ok::<(), OrderError>(())
        };
        if let Ok(Err(refusal)) = timeout(limit, done).await {
            return Err(refusal);
        }
        progress()
    }

    /// Has this member hold what is agreed of plans, up to an entry of the agreement's log.
    pub fn follow(&self, founding: u64, held: &[(String, u64)], upto: u64) {
        self.core
            .borrow_mut()
            .follow(self.now(), founding, held, upto);
        self.changed.notify_one();
    }

    /// Has all members confirm what a plan holds, without waiting for it: the number for `progress`.
    pub fn ask_planned(&self, host: &str, number: u64) -> Result<u64, OrderError> {
        let order = self.core.borrow_mut().ask_planned(self.now(), host, number);
        self.changed.notify_one();
        order
    }

    pub fn progress(&self, order: u64) -> Option<Progress> {
        self.core.borrow().progress(order)
    }

    pub fn standing(&self) -> QuorumStatus {
        self.core.borrow().standing()
    }

    pub fn holds(&self, host: &str) -> bool {
        self.core.borrow().ledger().is_held(host)
    }

    pub fn report(&self) -> Report {
        self.core.borrow().report(self.now())
    }

    /// Tells the others that this process ends on purpose. To be called once it sends nothing to cache hosts any more.
    pub async fn leave(&self) {
        let udp = self.udp.borrow().clone();
        let Some(udp) = udp else { return };
        for _ in 0..2 {
            self.core.borrow_mut().leave(self.now());
            let actions = self.core.borrow_mut().actions();
            for action in actions {
                if let Action::Send { to, bytes } = action {
                    // As good as a loss on the way; the second telling may reach it.
                    let _ = udp.try_send_to(&bytes, to);
                }
            }
            sleep(LEAVE_AGAIN).await;
        }
    }

    /// One `name:value` a line, for `INFO`.
    pub fn metrics_text(&self) -> String {
        let core = self.core.borrow();
        let f = core.figures;
        let mut text = format!("group_standing:{}\r\n", core.standing().as_str());
        let figures = [
            ("group_alive", core.count(MemberState::Alive) as u64),
            ("group_suspect", core.count(MemberState::Suspect) as u64),
            ("group_failed", core.count(MemberState::Failed) as u64),
            ("group_left", core.count(MemberState::Left) as u64),
            (
                "group_disagree_ms",
                (core.longest_difference(self.now()) / 1000) as u64,
            ),
            ("group_cordons", core.ledger().held().count() as u64),
            ("group_datagrams_in_total", f.datagrams_in),
            ("group_datagrams_out_total", f.datagrams_out),
            ("group_in_bytes_total", f.bytes_in),
            ("group_out_bytes_total", f.bytes_out),
            ("group_exchanges_total", f.exchanges),
            ("group_exchanges_failed_total", f.exchanges_failed),
            ("group_spoilt_total", f.spoilt),
            ("group_other_group_total", f.other_group),
            ("group_other_version_total", f.other_version),
            ("group_unreadable_total", f.unreadable),
            ("group_misdirected_total", f.misdirected),
            ("group_probes_total", f.probes),
            ("group_probes_failed_total", f.probes_failed),
            ("group_suspicions_total", f.suspicions),
            ("group_failures_total", f.failures),
            ("group_refutations_total", f.refutations),
            ("group_sleeps_total", f.sleeps),
            ("group_namesakes_total", f.namesakes),
            ("group_hearsay_held_total", f.hearsay_held),
            ("group_hearsay_over_part_total", f.hearsay_over_part),
        ];
        for (name, value) in figures {
            // Into memory, which cannot fail.
            let _ = write!(text, "{name}:{value}\r\n");
        }
        text
    }
}
