//! Many members on a virtual clock and the emulator's links: the state machine as it is, one seed for all random numbers,
//! and an observer that knows what really happens.
#![allow(dead_code)] // Each test crate uses a part of the simulation.
mod faults;
mod network;
mod observation;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_emulator::group_observer::{GroupEvent, GroupLimits, GroupObserver, GroupReport};
use stairfront_emulator::group_script::{GroupAction, GroupScript, ScheduledGroupAction};
use stairfront_emulator::links::{LinkFault, Links};
use stairfront_gossip_membership::{CordonEntry, Event, MemberState, Membership, Settings, Timing};

const TICK_INTERVAL: Micros = 50 * MS;
const OBSERVATION_INTERVAL: Micros = 200 * MS;
/// Datagrams that a socket buffers for a process that does not read.
const SOCKET_BUFFER: usize = 200;
/// The cache host of all cordons here.
pub const HOST: &str = "s-1";

/// One of the two processes that may run under a member's name.
#[derive(Clone, Copy)]
struct Process {
    member: usize,
    /// The second process with the name.
    is_duplicate: bool,
}

impl Process {
    fn primary(member: usize) -> Self {
        Process {
            member,
            is_duplicate: false,
        }
    }
}

enum SimEvent {
    Tick(usize),
    Datagram {
        to: Process,
        bytes: Vec<u8>,
    },
    PushPullRequest {
        from: Process,
        to: Process,
        bytes: Vec<u8>,
    },
    PushPullReply {
        to: Process,
        bytes: Vec<u8>,
    },
    PushPullFailed {
        member: usize,
    },
    CordonApplied {
        member: usize,
        starts: u64,
        host: String,
    },
    Observe,
    Act(GroupAction),
}

#[derive(Default)]
pub struct Node {
    pub core: Option<Membership>,
    duplicate: Option<Membership>,
    paused: bool,
    /// The member is at its other address.
    moved: bool,
    /// Number of starts.
    starts: u64,
    unread: VecDeque<Vec<u8>>,
    disk: Vec<CordonEntry>,
    /// Hosts that the engine has cordoned.
    cordoned: BTreeSet<String>,
    /// Cordons that the engine has yet to apply: the latest of each host.
    pending: BTreeMap<String, bool>,
    started: Micros,
    /// Too few members have answered since the start: it serves, if at all, by its record and its list alone.
    is_uninformed: bool,
    pub datagrams: u64,
    pub bytes: u64,
}

impl Node {
    fn process_mut(&mut self, is_duplicate: bool) -> &mut Option<Membership> {
        if is_duplicate {
            &mut self.duplicate
        } else {
            &mut self.core
        }
    }
}

/// An order in progress.
struct SimOrder {
    member: usize,
    starts: u64,
    number: u64,
    is_cordon: bool,
}

struct LaidFault {
    pairs: Vec<(usize, usize)>,
    fault: LinkFault,
}

#[derive(Clone, Debug, PartialEq)]
pub enum LogContent {
    Event(Event),
    Order { cordon: bool },
}

#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    pub at: Micros,
    pub member: usize,
    pub content: LogContent,
}

pub struct Sim {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub observer: GroupObserver,
    pub rng: SeededRng,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, SimEvent>,
    next_event: usize,
    timing: Timing,
    laid: BTreeMap<u64, LaidFault>,
    orders: Vec<SimOrder>,
    pub log: Vec<LogEntry>,
    pub quiet: Option<Micros>,
    clock_offset: Micros,
}

pub fn name(member: usize) -> String {
    format!("b{member}")
}

fn address(member: usize, second: bool) -> SocketAddr {
    SocketAddr::from((
        [127, 1, (member / 250) as u8, (member % 250 + 1) as u8],
        if second { 9001 } else { 9000 },
    ))
}

impl Sim {
    pub fn new(members: usize, seed: u64) -> Self {
        let observer = GroupObserver::new((0..members).map(name).collect(), GroupLimits::default());
        let mut sim = Sim {
            now: 0,
            nodes: (0..members).map(|_| Node::default()).collect(),
            links: Links::new(members, seed),
            observer,
            rng: SeededRng::for_part(seed, "sim"),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            timing: Timing::default(),
            laid: BTreeMap::new(),
            orders: Vec::new(),
            log: Vec::new(),
            quiet: None,
            clock_offset: 0,
        };
        for member in 0..members {
            let phase = sim.rng.below(TICK_INTERVAL as u64) as Micros;
            sim.schedule(phase, SimEvent::Tick(member));
        }
        sim.schedule(OBSERVATION_INTERVAL, SimEvent::Observe);
        sim
    }

    /// Sets the clocks of processes that start from now on back.
    pub fn step_clocks_back(&mut self, by: Micros) {
        self.clock_offset = by;
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((at, self.next_event as u64, self.next_event)));
        self.next_event += 1;
    }

    pub fn play(&mut self, script: &GroupScript) {
        for ScheduledGroupAction { at, action } in script.actions() {
            self.schedule(at, SimEvent::Act(action));
        }
    }

    fn settings(&mut self, process: Process) -> Settings {
        let member = process.member;
        Settings {
            group: "g".into(),
            name: name(member),
            advertise: address(member, process.is_duplicate ^ self.nodes[member].moved),
            seeds: (0..self.nodes.len().min(3))
                .map(|seed| address(seed, false))
                .collect(),
            roster: (0..self.nodes.len()).map(name).collect(),
            timing: self.timing,
            process_id: self.rng.number(),
            started_unix_ms: ((1_700_000_000_000_000 + self.now - self.clock_offset) / MS) as u64,
            seed: self.rng.number(),
        }
    }

    /// Runs until a time.
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
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(member) => self.tick(member),
            SimEvent::Datagram { to, bytes } => self.receive_datagram(to, bytes),
            SimEvent::PushPullRequest { from, to, bytes } => {
                self.receive_push_pull(from, to, &bytes);
            }
            SimEvent::PushPullReply { to, bytes } => self.receive_push_pull_reply(to, &bytes),
            SimEvent::PushPullFailed { member } => {
                if let Some(core) = &mut self.nodes[member].core {
                    core.handle_push_pull_failure();
                }
            }
            SimEvent::CordonApplied {
                member,
                starts,
                host,
            } => self.apply_cordon(member, starts, host),
            SimEvent::Act(act) => self.act(act),
            SimEvent::Observe => {
                self.schedule(self.now + OBSERVATION_INTERVAL, SimEvent::Observe);
                self.observe();
            }
        }
    }

    fn tick(&mut self, member: usize) {
        self.schedule(self.now + TICK_INTERVAL, SimEvent::Tick(member));
        if self.nodes[member].paused {
            return;
        }
        for is_duplicate in [false, true] {
            if let Some(core) = self.nodes[member].process_mut(is_duplicate) {
                core.tick(self.now);
                self.run_actions(Process {
                    member,
                    is_duplicate,
                });
            }
        }
    }

    fn apply_cordon(&mut self, member: usize, starts: u64, host: String) {
        if self.nodes[member].paused {
            let event = SimEvent::CordonApplied {
                member,
                starts,
                host,
            };
            return self.schedule(self.now + 10 * MS, event);
        }
        let node = &mut self.nodes[member];
        if node.starts != starts {
            return;
        }
        let Some(cordoned) = node.pending.remove(&host) else {
            return;
        };
        if cordoned {
            node.cordoned.insert(host.clone());
        } else {
            node.cordoned.remove(&host);
        }
        if let Some(core) = &mut node.core {
            core.cordon_applied(self.now, &host, cordoned);
            self.run_actions(Process::primary(member));
        }
    }

    pub fn begin_quiet(&mut self) {
        self.quiet = Some(self.now);
        self.observer.observe(self.now, GroupEvent::FaultsFinished);
    }

    /// Runs until all members are whole and agree, or the time is over.
    pub fn until_whole(&mut self, max: Micros) {
        let end = self.now + max;
        while self.now < end && !self.observer.is_complete() {
            self.run_until(self.now + OBSERVATION_INTERVAL);
        }
    }

    /// The state machine of a member that runs.
    pub fn core(&self, member: usize) -> &Membership {
        self.nodes[member].core.as_ref().unwrap()
    }

    pub fn state(&self, at: usize, of: usize) -> MemberState {
        let report = self.core(at).report(self.now);
        report
            .members
            .into_iter()
            .find(|member| member.name == name(of))
            .unwrap()
            .state
    }

    pub fn quorum_status(&self, at: usize) -> &'static str {
        self.core(at).quorum_status().as_str()
    }

    pub fn is_cordoned(&self, at: usize) -> bool {
        self.core(at).cordons().is_cordoned(HOST)
    }

    pub fn finish(self) -> GroupReport {
        let now = self.now;
        self.observer.finish(now)
    }
}

/// A group whose members are all whole.
pub fn whole(members: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(members, seed);
    sim.start_all();
    sim.run_until(6 * SECOND);
    for member in 0..members {
        assert_eq!(
            sim.quorum_status(member),
            "whole",
            "b{member} of {members}, seed {seed}"
        );
    }
    sim
}

/// The member at an address, and whether it is the member's second address.
fn member_at(address: SocketAddr) -> Option<(usize, bool)> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let [_, _, high, low] = ip.octets();
    let member = usize::from(high) * 250 + usize::from(low) - 1;
    Some((member, address.port() == 9001))
}
