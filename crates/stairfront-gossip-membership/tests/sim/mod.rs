//! Many members on a virtual clock and the models' links: the core as it is, one seed for all chance, an observer that
//! knows what really happened.
#![allow(dead_code)]
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use stairfront_emulator::dice::Dice;
use stairfront_emulator::group::{Account, GroupLimits, GroupObserver, GroupReport, Sign};
use stairfront_emulator::group_script::{GroupAct, GroupScript};
use stairfront_emulator::links::{LinkFault, Links, Passage};
use stairfront_gossip_membership::cordons::CordonEntry;
use stairfront_gossip_membership::{
    Action, MemberState, Membership, Micros, Settings, Timing, MS, SECOND,
};

const TICK: Micros = 50 * MS;
const LOOK: Micros = 200 * MS;
/// What a socket holds of a process that does not read.
const SOCKET: usize = 200;
/// The cache host of all cordons here.
pub const HOST: &str = "s-1";

enum Event {
    Tick(usize),
    Datagram {
        to: usize,
        twin: bool,
        bytes: Vec<u8>,
    },
    Asked {
        from: (usize, bool),
        to: usize,
        twin: bool,
        bytes: Vec<u8>,
    },
    Answered {
        to: (usize, bool),
        bytes: Vec<u8>,
    },
    ExchangeFailed {
        who: usize,
    },
    Applied {
        who: usize,
        life: u64,
        host: String,
    },
    Look,
    Act(GroupAct),
}

pub struct Node {
    pub core: Option<Membership>,
    twin: Option<Membership>,
    paused: bool,
    /// It is at its other address.
    moved: bool,
    life: u64,
    unread: VecDeque<Vec<u8>>,
    disk: Vec<CordonEntry>,
    /// What the engine holds out.
    held: BTreeSet<String>,
    /// What it has yet to do: of each host the last word.
    waiting: BTreeMap<String, bool>,
    started: Micros,
    /// Too few have told it yet what is held since its start: serving by its record and its list alone, if it serves.
    ignorant: bool,
    pub datagrams: u64,
    pub bytes: u64,
}

pub struct Sim {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub observer: GroupObserver,
    pub dice: Dice,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    next: usize,
    times: Timing,
    /// Laid faults, for their end.
    laid: BTreeMap<u64, (Vec<(usize, usize)>, LinkFault)>,
    /// Orders under way: who was asked, which, and what it was.
    orders: Vec<(usize, u64, u64, bool)>,
    pub log: Vec<(Micros, usize, String)>,
    pub quiet: Option<Micros>,
    clock_back: Micros,
}

pub fn name(i: usize) -> String {
    format!("b{i}")
}

fn address(i: usize, twin: bool) -> SocketAddr {
    SocketAddr::from((
        [127, 1, (i / 250) as u8, (i % 250 + 1) as u8],
        if twin { 9001 } else { 9000 },
    ))
}

impl Sim {
    pub fn new(members: usize, seed: u64) -> Self {
        let observer = GroupObserver::new((0..members).map(name).collect(), GroupLimits::default());
        let node = |_| Node {
            core: None,
            twin: None,
            paused: false,
            moved: false,
            life: 0,
            unread: VecDeque::new(),
            disk: Vec::new(),
            held: BTreeSet::new(),
            waiting: BTreeMap::new(),
            started: 0,
            ignorant: false,
            datagrams: 0,
            bytes: 0,
        };
        let mut sim = Sim {
            now: 0,
            nodes: (0..members).map(node).collect(),
            links: Links::new(members, seed),
            observer,
            dice: Dice::new(seed, "sim"),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            times: Timing::default(),
            laid: BTreeMap::new(),
            orders: Vec::new(),
            log: Vec::new(),
            quiet: None,
            clock_back: 0,
        };
        for who in 0..members {
            let phase = sim.dice.below(TICK as u64) as Micros;
            sim.at(phase, Event::Tick(who));
        }
        sim.at(LOOK, Event::Look);
        sim
    }

    /// Clocks of processes started from now on stand so far back.
    pub fn step_clocks_back(&mut self, by: Micros) {
        self.clock_back = by;
    }

    fn at(&mut self, when: Micros, event: Event) {
        self.events.insert(self.next, event);
        self.queue
            .push(Reverse((when, self.next as u64, self.next)));
        self.next += 1;
    }

    pub fn play(&mut self, script: &GroupScript) {
        for (at, act) in script.acts() {
            self.at(at, Event::Act(act));
        }
    }

    pub fn act(&mut self, act: GroupAct) {
        match act {
            GroupAct::Lay {
                number,
                pairs,
                fault,
            } => {
                self.links.lay(self.now, number, &pairs, fault);
                let sign = Sign::Hurt {
                    pairs: pairs.clone(),
                    cut: fault.cuts(),
                    mild: fault.is_mild(),
                };
                self.laid.insert(number, (pairs, fault));
                self.observer.hear(self.now, sign);
            }
            GroupAct::Lift { number } => {
                self.links.lift(number);
                if let Some((pairs, fault)) = self.laid.remove(&number) {
                    let sign = Sign::Healed {
                        pairs,
                        cut: fault.cuts(),
                        mild: fault.is_mild(),
                    };
                    self.observer.hear(self.now, sign);
                }
            }
            GroupAct::Kill { who, empty } => self.kill(who, empty),
            GroupAct::Term { who } => {
                if let Some(core) = &mut self.nodes[who].core {
                    core.leave(self.now);
                    self.carry_out(who, false);
                }
                self.kill(who, false);
            }
            GroupAct::Start { who } => self.start(who),
            GroupAct::Pause { who } => {
                if self.nodes[who].core.is_some() && !self.nodes[who].paused {
                    self.nodes[who].paused = true;
                    self.observer.hear(self.now, Sign::Paused { who });
                }
            }
            GroupAct::Wake { who } => {
                if !self.nodes[who].paused {
                    return;
                }
                self.nodes[who].paused = false;
                self.observer.hear(self.now, Sign::Woke { who });
                for bytes in std::mem::take(&mut self.nodes[who].unread) {
                    self.hear(who, false, &bytes);
                }
            }
            GroupAct::Move { who } => self.nodes[who].moved ^= true,
            GroupAct::StartNamesake { who } => {
                let set = self.settings(who, true);
                self.nodes[who].twin = Some(Membership::new(self.now, set, &[]));
                self.observer
                    .hear(self.now, Sign::Doubled { who, on: true });
            }
            GroupAct::StopNamesake { who } => {
                self.nodes[who].twin = None;
                self.observer
                    .hear(self.now, Sign::Doubled { who, on: false });
            }
        }
    }

    fn settings(&mut self, who: usize, twin: bool) -> Settings {
        Settings {
            group: "g".into(),
            me: name(who),
            advertise: address(who, twin ^ self.nodes[who].moved),
            seeds: (0..self.nodes.len().min(3))
                .map(|i| address(i, false))
                .collect(),
            roster: (0..self.nodes.len()).map(name).collect(),
            times: self.times,
            run: self.dice.number(),
            born_ms: ((1_700_000_000_000_000 + self.now - self.clock_back) / MS) as u64,
            seed: self.dice.number(),
        }
    }

    pub fn start(&mut self, who: usize) {
        if self.nodes[who].core.is_some() {
            return;
        }
        let set = self.settings(who, false);
        let node = &mut self.nodes[who];
        let mut core = Membership::new(self.now, set, &node.disk);
        core.begin_to_ask(self.now);
        node.held = core.ledger().held().map(str::to_string).collect();
        let held: Vec<String> = node.held.iter().cloned().collect();
        held.iter()
            .for_each(|host| core.applied(self.now, host, true));
        node.ignorant = true;
        node.core = Some(core);
        node.life += 1;
        node.started = self.now;
        self.observer.hear(self.now, Sign::Up { who });
        self.carry_out(who, false);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|who| self.start(who));
    }

    fn kill(&mut self, who: usize, empty: bool) {
        let node = &mut self.nodes[who];
        if node.core.take().is_none() {
            return;
        }
        node.paused = false;
        node.unread.clear();
        node.held.clear();
        node.waiting.clear();
        if empty {
            node.disk.clear();
        }
        self.orders.retain(|(asked, ..)| *asked != who);
        self.observer.hear(self.now, Sign::Down { who });
        // What no process and no disk has is lost: an order is kept by those that live.
        let knows = |node: &Node| {
            let on_disk = !node.disk.is_empty();
            on_disk
                || node
                    .core
                    .as_ref()
                    .is_some_and(|core| core.ledger().is_held(HOST))
        };
        if empty && !self.nodes.iter().any(knows) {
            self.observer
                .hear(self.now, Sign::Freed { host: HOST.into() });
        }
    }

    fn hear(&mut self, to: usize, twin: bool, bytes: &[u8]) {
        let node = &mut self.nodes[to];
        let core = if twin { &mut node.twin } else { &mut node.core };
        if let Some(core) = core {
            core.datagram(self.now, bytes);
            self.carry_out(to, twin);
        }
    }

    fn target(&self, at: SocketAddr) -> Option<(usize, bool)> {
        let IpAddr::V4(ip) = at.ip() else { return None };
        let [_, _, high, low] = ip.octets();
        let who = usize::from(high) * 250 + usize::from(low) - 1;
        let node = self.nodes.get(who)?;
        Some((who, (at.port() == 9001) ^ node.moved))
    }

    fn carry_out(&mut self, who: usize, twin: bool) {
        let core = if twin {
            &mut self.nodes[who].twin
        } else {
            &mut self.nodes[who].core
        };
        let Some(core) = core else { return };
        for action in core.actions() {
            match action {
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= 1200, "{}", bytes.len());
                    let node = &mut self.nodes[who];
                    node.datagrams += 1;
                    node.bytes += bytes.len() as u64;
                    let Some((to, to_twin)) = self.target(to) else {
                        continue;
                    };
                    for (after, bytes) in self.links.datagram(self.now, who, to, &bytes) {
                        self.at(
                            self.now + after,
                            Event::Datagram {
                                to,
                                twin: to_twin,
                                bytes,
                            },
                        );
                    }
                }
                Action::Exchange { with, bytes } => {
                    let Some((to, to_twin)) = self.target(with) else {
                        continue;
                    };
                    match self.links.stream(self.now, who, to, bytes.len()) {
                        Passage::After(after) => {
                            let asked = Event::Asked {
                                from: (who, twin),
                                to,
                                twin: to_twin,
                                bytes,
                            };
                            self.at(self.now + after * 2, asked);
                        }
                        _ => self.at(self.now + 1500 * MS, Event::ExchangeFailed { who }),
                    }
                }
                Action::Record => {
                    if let (false, Some(core)) = (twin, &self.nodes[who].core) {
                        self.nodes[who].disk = core.ledger().entries().collect();
                    }
                }
                Action::Cordon { host, held } if !twin => {
                    let life = self.nodes[who].life;
                    self.nodes[who].waiting.insert(host.clone(), held);
                    self.at(self.now + MS, Event::Applied { who, life, host });
                }
                Action::Log(text) | Action::Warn(text) => self.log.push((self.now, who, text)),
                _ => {}
            }
        }
    }

    /// Plays until then.
    pub fn run_until(&mut self, until: Micros) {
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= until)
        {
            let Some(Reverse((at, _, key))) = self.queue.pop() else {
                return;
            };
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.happen(event);
            }
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(who) => {
                self.at(self.now + TICK, Event::Tick(who));
                if self.nodes[who].paused {
                    return;
                }
                for twin in [false, true] {
                    let node = &mut self.nodes[who];
                    if let Some(core) = if twin { &mut node.twin } else { &mut node.core } {
                        core.tick(self.now);
                        self.carry_out(who, twin);
                    }
                }
            }
            Event::Datagram { to, twin, bytes } => match self.nodes[to].paused && !twin {
                true if self.nodes[to].unread.len() < SOCKET => {
                    self.nodes[to].unread.push_back(bytes)
                }
                true => {}
                false => self.hear(to, twin, &bytes),
            },
            Event::Asked {
                from: (from, from_twin),
                to,
                twin,
                bytes,
            } => {
                let now = self.now;
                let node = &mut self.nodes[to];
                let awake = twin || !node.paused;
                let core = if twin {
                    node.twin.as_mut()
                } else {
                    node.core.as_mut()
                };
                let reply = core
                    .filter(|_| awake)
                    .and_then(|core| core.exchanged(now, &bytes));
                self.carry_out(to, twin);
                match reply.map(|reply| (self.links.stream(now, to, from, reply.len()), reply)) {
                    Some((Passage::After(after), reply)) => {
                        self.at(
                            now + after,
                            Event::Answered {
                                to: (from, from_twin),
                                bytes: reply,
                            },
                        );
                    }
                    _ => self.at(now + 1500 * MS, Event::ExchangeFailed { who: from }),
                }
            }
            Event::Answered {
                to: (to, twin),
                bytes,
            } => {
                let node = &mut self.nodes[to];
                let (paused, core) = (
                    node.paused,
                    if twin { &mut node.twin } else { &mut node.core },
                );
                if let Some(core) = core.as_mut().filter(|_| twin || !paused) {
                    core.exchanged(self.now, &bytes);
                    self.carry_out(to, twin);
                }
            }
            Event::ExchangeFailed { who } => {
                if let Some(core) = &mut self.nodes[who].core {
                    core.exchange_failed();
                }
            }
            Event::Applied { who, life, host } => {
                if self.nodes[who].paused {
                    return self.at(self.now + 10 * MS, Event::Applied { who, life, host });
                }
                let node = &mut self.nodes[who];
                if node.life != life {
                    return;
                }
                let Some(held) = node.waiting.remove(&host) else {
                    return;
                };
                match held {
                    true => drop(node.held.insert(host.clone())),
                    false => drop(node.held.remove(&host)),
                }
                if let Some(core) = &mut node.core {
                    core.applied(self.now, &host, held);
                    self.carry_out(who, false);
                }
            }
            Event::Act(act) => self.act(act),
            Event::Look => {
                self.at(self.now + LOOK, Event::Look);
                self.look();
            }
        }
    }

    fn look(&mut self) {
        let now = self.now;
        for who in 0..self.nodes.len() {
            if self.nodes[who].paused {
                continue;
            }
            let Some(core) = &self.nodes[who].core else {
                continue;
            };
            let report = core.report(now);
            let text = serde_json::to_string(&report).unwrap();
            let account: Account = serde_json::from_str(&text).unwrap();
            let told = core.heard_enough();
            self.observer.hear(now, Sign::Said { who, account });
            let node = &mut self.nodes[who];
            node.ignorant &= !told;
            // It serves: nothing goes to what it holds out.
            // It serves once it has taken over what it was told.
            let young = now - node.started < 310 * MS;
            let asking = young && (!told || !node.waiting.is_empty());
            if !asking && !node.ignorant && !node.held.contains(HOST) {
                self.observer.hear(
                    now,
                    Sign::Began {
                        host: HOST.into(),
                        who,
                    },
                );
            }
        }
        let orders = std::mem::take(&mut self.orders);
        for (who, life, number, cordon) in orders {
            let node = &self.nodes[who];
            let core = node
                .core
                .as_ref()
                .filter(|_| !node.paused && node.life == life);
            let done = core
                .and_then(|core| core.progress(number))
                .is_some_and(|progress| progress.done);
            if done && cordon {
                self.observer.hear(now, Sign::Barred { host: HOST.into() });
            } else if !done {
                self.orders.push((who, life, number, cordon));
            }
        }
    }

    /// An operator's order at one door; false if it was refused.
    pub fn order(&mut self, who: usize, cordon: bool) -> bool {
        let node = &mut self.nodes[who];
        let Some(core) = node.core.as_mut().filter(|_| !node.paused) else {
            return false;
        };
        if !cordon {
            // Whatever becomes of it, from now on the host may be used; and an earlier yes is not waited for.
            if !core.standing().has_quorum() {
                return false;
            }
            self.observer
                .hear(self.now, Sign::Freed { host: HOST.into() });
            self.orders.retain(|(.., cordon)| !cordon);
        }
        let life = node.life;
        let Ok(number) = core.order(self.now, HOST, cordon) else {
            return false;
        };
        self.log.push((
            self.now,
            who,
            format!("asked to {} it", if cordon { "cordon" } else { "uncordon" }),
        ));
        self.orders.push((who, life, number, cordon));
        self.carry_out(who, false);
        true
    }

    pub fn say_quiet(&mut self) {
        self.quiet = Some(self.now);
        self.observer.hear(self.now, Sign::Quiet);
    }

    /// Plays on until all are whole and agree, or the time is over.
    pub fn until_whole(&mut self, most: Micros) {
        let end = self.now + most;
        while self.now < end && !self.observer.is_whole() {
            self.run_until(self.now + LOOK);
        }
    }

    pub fn state(&self, at: usize, of: usize) -> MemberState {
        let report = self.nodes[at].core.as_ref().unwrap().report(self.now);
        report
            .members
            .into_iter()
            .find(|member| member.name == name(of))
            .unwrap()
            .state
    }

    pub fn standing(&self, at: usize) -> &'static str {
        self.nodes[at].core.as_ref().unwrap().standing().as_str()
    }

    pub fn finish(self) -> GroupReport {
        let now = self.now;
        self.observer.finish(now)
    }
}

/// A group that is whole, and how long it took.
pub fn whole(members: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(members, seed);
    sim.start_all();
    sim.run_until(6 * SECOND);
    for i in 0..members {
        assert_eq!(sim.standing(i), "whole", "b{i} of {members}, seed {seed}");
    }
    sim
}
