//! The simulated members, the network between them and the course of a run.
use std::collections::{BTreeMap, BTreeSet};

use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_maintenance::{
    Balancer, Command, CommandKind, Fleet, Host, MachineKey, Maintenance,
};
use stairfront_raft::{ClusterManager, Envelope, Settings, Voter};

use crate::faults::ActiveFault;
use crate::member::Member;

const STEP: Micros = 10 * MS;
const TICK_INTERVAL: Micros = 50 * MS;
const OPERATOR_INTERVAL: Micros = 100 * MS;
const LEADER_INTERVAL: Micros = 200 * MS;
const CORDON_EXCHANGE_INTERVAL: Micros = 500 * MS;
pub const VOTERS: usize = 3;
pub const MEMBERS: usize = 5;
pub const HOSTS: usize = 12;
pub const FIRST_FAULT: Micros = 8 * SECOND;
pub const LAST_FAULT: Micros = 40 * SECOND;
/// From the last fault to the end of the plans. It covers two restarts of voters without their disks, each with 5 s of silence
/// and a change of voters, and then the rest of both plans.
const COMPLETION_TIMEOUT: Micros = 150 * SECOND;
pub const USUAL_LOSS: f64 = 0.01;
/// After this time a member that cannot be reached is reported as failed.
const FAILURE_TIMEOUT: Micros = 2 * SECOND;
const PROPOSAL_TIMEOUT: Micros = 2 * SECOND;

pub enum Message {
    Raft(Box<Envelope>),
    /// The host shall be cordoned.
    Cordon(MachineKey),
    CordonConfirmed(MachineKey),
    /// Asks whether no attempt is in flight at the host.
    QueryDrained(MachineKey),
    Drained(MachineKey),
}

pub struct Delivery {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A balancer that is started again at a time.
pub struct PlannedRestart {
    pub at: Micros,
    pub member: usize,
}

/// A machine of a plan, by the plan's number and its name.
pub type MachineOfPlan = (u64, String);

pub struct World {
    pub seed: u64,
    pub now: Micros,
    pub rng: SeededRng,
    pub members: Vec<Member>,
    /// Messages under way, by the time of their arrival and their number.
    deliveries: BTreeMap<(Micros, u64), Delivery>,
    sent: u64,
    /// Links that lose every message, from one member to the other.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub stalled_disks: BTreeSet<usize>,
    pub faults: Vec<ActiveFault>,
    pub next_fault: Micros,
    /// When the last fault ended, or will end at the earliest.
    pub last_fault_end: Micros,
    last_command: u64,
    /// Which of the two plans is known to have been submitted.
    pub submitted: [bool; 2],
    /// When the work on a machine ends, or has ended.
    pub work: BTreeMap<MachineOfPlan, Micros>,
    pub restarts: Vec<PlannedRestart>,
    /// The commands that were applied at each index.
    pub committed: BTreeMap<u64, Vec<u8>>,
    pub cluster_id: u64,
    /// A majority of the voters has lost its disks.
    pub log_lost: bool,
}

pub fn member_name(member: usize) -> String {
    format!("b{member}")
}

pub fn member_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            seed,
            now: 0,
            rng: SeededRng::for_part(seed, "plans on a network"),
            members: (0..MEMBERS).map(|_| Member::default()).collect(),
            deliveries: BTreeMap::new(),
            sent: 0,
            cut_links: BTreeSet::new(),
            loss: USUAL_LOSS,
            stalled_disks: BTreeSet::new(),
            faults: Vec::new(),
            next_fault: FIRST_FAULT,
            last_fault_end: LAST_FAULT,
            last_command: 0,
            submitted: [false; 2],
            work: BTreeMap::new(),
            restarts: Vec::new(),
            committed: BTreeMap::new(),
            cluster_id: 0,
            log_lost: false,
        };
        (0..MEMBERS).for_each(|member| world.start(member));
        world
    }

    /// Plays the run to its end. Returns the time from the last fault to the end of the plans, and `None` if the log was lost.
    pub fn play(mut self) -> Option<Micros> {
        loop {
            self.step();
            if self.log_lost {
                return None;
            }
            let is_calm = self.now > self.last_fault_end && self.faults.is_empty();
            if is_calm && self.is_finished() {
                return Some(self.now - self.last_fault_end);
            }
            assert!(
                self.now < self.last_fault_end + COMPLETION_TIMEOUT,
                "seed {}: not finished: {:#?}",
                self.seed,
                self.describe()
            );
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_due_fault();
        self.lift_due_faults();
        self.restart_due_members();
        self.deliver_due_messages();
        for member in 0..MEMBERS {
            self.run_member(member);
        }
        if self.is_due(CORDON_EXCHANGE_INTERVAL) {
            self.exchange_cordons();
        }
        self.send_attempts();
        if self.is_due(OPERATOR_INTERVAL) {
            self.act_as_operators();
            self.check_single_cluster();
        }
        self.detect_lost_log();
    }

    fn is_due(&self, interval: Micros) -> bool {
        self.now % interval == 0
    }

    fn run_member(&mut self, member: usize) {
        let now = self.now;
        if self.is_due(TICK_INTERVAL) && !self.members[member].is_paused {
            if let Some(manager) = &mut self.members[member].manager {
                manager.tick(now);
            }
        }
        self.process_ready(member);
        if self.is_due(LEADER_INTERVAL) {
            self.act_as_leader(member);
        }
    }

    fn deliver_due_messages(&mut self) {
        while let Some(next) = self.deliveries.first_entry() {
            if next.key().0 > self.now {
                break;
            }
            let delivery = next.remove();
            self.handle_message(delivery);
        }
    }

    fn restart_due_members(&mut self) {
        let now = self.now;
        let due = self.restarts.extract_if(.., |restart| restart.at <= now);
        let due: Vec<usize> = due.map(|restart| restart.member).collect();
        let down: Vec<usize> = due
            .into_iter()
            .filter(|member| self.members[*member].manager.is_none())
            .collect();
        for member in down {
            self.start(member);
        }
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.rng.below(1_u64 << 40);
        // A member that starts with no cordons would send to the hosts that the others keep out, so it asks before it serves.
        let reachable: Vec<usize> = self.reachable_from(index);
        let cordons = self.cordons_of(&reachable);
        let member = &mut self.members[index];
        member.process_id += 1;
        if member.incarnation == 0 || index >= VOTERS {
            member.incarnation = member.process_id * 100 + index as u64;
            member.disk = Default::default();
        }
        // Where no majority answers it serves by the cordons that it has rather than not at all.
        member.started_isolated = reachable.len() < MEMBERS / 2;
        member.cordons.extend(cordons);
        member.maintenance = Maintenance::default();
        member.applied = 0;
        member.is_paused = false;
        let voter = Voter {
            name: member_name(index),
            incarnation: member.incarnation,
        };
        let settings = Settings::new(voter, seed);
        let voters: Vec<String> = (0..VOTERS).map(member_name).collect();
        let recovered = member.disk.recovered();
        member.manager = Some(ClusterManager::new(self.now, settings, &voters, recovered));
    }

    /// Members send each other the cordons that the others lack.
    fn exchange_cordons(&mut self) {
        for index in 0..MEMBERS {
            let reachable = self.reachable_from(index);
            let cordons = self.cordons_of(&reachable);
            let member = &mut self.members[index];
            if !member.is_running() {
                continue;
            }
            member.started_isolated &= reachable.len() < MEMBERS / 2;
            let new: Vec<MachineKey> = cordons
                .into_iter()
                .filter(|cordon| !member.has_lifted(cordon))
                .collect();
            member.cordons.extend(new);
        }
    }

    fn reachable_from(&self, index: usize) -> Vec<usize> {
        (0..MEMBERS)
            .filter(|other| *other != index && self.reaches(index, *other))
            .collect()
    }

    fn cordons_of(&self, members: &[usize]) -> BTreeSet<MachineKey> {
        members
            .iter()
            .flat_map(|member| self.members[*member].cordons.clone())
            .collect()
    }

    /// The other member runs, and messages pass in both directions.
    pub fn reaches(&self, one: usize, other: usize) -> bool {
        self.members[other].is_running()
            && !self.cut_links.contains(&(one, other))
            && !self.cut_links.contains(&(other, one))
    }

    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.cut_links.contains(&(from, to)) || self.rng.happens(self.loss) {
            return;
        }
        let max_delay_ms = if self.rng.happens(0.05) { 200_u64 } else { 8 };
        let delay = MS + self.rng.below(max_delay_ms) as Micros * MS;
        self.sent += 1;
        let delivery = Delivery { from, to, message };
        self.deliveries
            .insert((self.now + delay, self.sent), delivery);
    }

    /// Has a member propose a command; `term` is 0 for an operator's.
    pub fn propose(&mut self, member: usize, term: u64, kind: CommandKind) {
        self.last_command += 1;
        let command = Command {
            id: self.last_command,
            // Nothing may be decided by the clocks of members, which may step to any time.
            at_ms: self.rng.below(1_u64 << 41),
            term,
            via: member_name(member),
            author: member_name(member),
            kind,
        };
        if let Some(manager) = &mut self.members[member].manager {
            // A rejected proposal is made again by who wants it.
            let _ = manager.propose(self.now, command.id, command.encode(), PROPOSAL_TIMEOUT);
        }
    }

    /// The fleet as a leader observes it.
    pub fn fleet(&self, leader: usize) -> Fleet {
        let host = |i: usize| Host {
            name: format!("c{i}"),
            zone: format!("z{}", i % 3),
            deduplication_group: 0,
            is_serving: true,
            started_ms: 0,
        };
        let balancer = |member: usize| Balancer {
            name: member_name(member),
            is_present: member == leader
                || self.reaches(leader, member)
                || self.now - self.members[member].unreachable_since < FAILURE_TIMEOUT,
            has_left: false,
            is_voter: member < VOTERS,
            is_leader: member == leader,
            process_id: self.members[member].process_id,
        };
        Fleet {
            hosts: (0..HOSTS).map(host).collect(),
            balancers: (0..MEMBERS).map(balancer).collect(),
            fault: None,
        }
    }
}
