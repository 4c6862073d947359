//! A schedule of drawn commands and faults, by its seed: 250 rounds with both, then 150 in which all plans have to finish.
use std::collections::BTreeMap;

use stairfront_common::random::SeededRng;
use stairfront_maintenance::{
    CommandKind, CompletedBy, Fleet, LeaderObservation, Machine, MachineKey, Maintenance, Plan,
    Stage,
};

use crate::observer::Observer;
use crate::support::{fleet, plan, CommandLog};

const ROUNDS: u32 = 400;
/// The first round without faults.
const LAST_FAULT_ROUND: u32 = 250;
/// The first round in which no plan is submitted, held or dropped.
const LAST_PLAN_ROUND: u32 = 200;
const MAX_PLANS: usize = 4;
const HOSTS: u64 = 12;

/// How much was tried.
#[derive(Debug, Default)]
pub struct Counts {
    pub steps: u64,
    pub rejected: u64,
    pub plans: usize,
}

pub struct Schedule {
    seed: u64,
    round: u32,
    rng: SeededRng,
    /// The fleet as it is, which the log learns by the leader.
    fleet: Fleet,
    log: CommandLog,
    observer: Observer,
    plans: BTreeMap<u64, Plan>,
    counts: Counts,
}

impl Schedule {
    pub fn new(seed: u64) -> Self {
        let fleet = fleet(HOSTS as usize, 3, 5);
        Schedule {
            seed,
            round: 0,
            rng: SeededRng::for_part(seed, "plans"),
            fleet: fleet.clone(),
            log: CommandLog::with_fleet(fleet),
            observer: Observer::default(),
            plans: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub fn play(mut self) -> Counts {
        for round in 0..ROUNDS {
            self.round = round;
            self.play_round();
        }
        self.assert_finished();
        assert_same_state_by_replay(&self.log, self.seed);
        self.counts.plans = self.plans.len();
        self.counts
    }

    fn play_round(&mut self) {
        if self.round < LAST_FAULT_ROUND {
            self.change_fleet();
        }
        if self.round == LAST_FAULT_ROUND {
            self.repair_fleet();
        }
        self.submit_plan();
        self.send_operator_command();
        if self.round == LAST_FAULT_ROUND {
            self.resume_plans();
        }
        let observation = self.observe();
        self.work_at_machines();
        let due = self.log.state.next_commands(&observation).due;
        if self.rng.happens(0.05) {
            self.commit_in_next_term(due);
            return;
        }
        self.transfer_leadership(&observation.leader);
        for kind in due {
            self.commit_step(kind);
        }
    }

    fn change_fleet(&mut self) {
        if self.rng.happens(0.05) {
            let host = &mut self.fleet.hosts[self.rng.below(HOSTS) as usize];
            host.is_serving = !host.is_serving;
            host.started_ms += u64::from(host.is_serving);
        }
        if self.rng.happens(0.04) {
            let balancer = &mut self.fleet.balancers[1 + self.rng.below(4_u64) as usize];
            balancer.is_present = !balancer.is_present;
            balancer.process_id += u64::from(balancer.is_present);
        }
        if self.rng.happens(0.03) {
            let was_healthy = self.fleet.fault.is_none();
            self.fleet.fault = was_healthy.then(|| "few are served".to_string());
        }
    }

    fn repair_fleet(&mut self) {
        for host in &mut self.fleet.hosts {
            host.is_serving = true;
        }
        for balancer in &mut self.fleet.balancers {
            balancer.is_present = true;
        }
        self.fleet.fault = None;
    }

    fn submit_plan(&mut self) {
        let may_submit = self.plans.len() < MAX_PLANS && self.round < LAST_PLAN_ROUND;
        if !may_submit || !self.rng.happens(0.05) {
            return;
        }
        let of_caches = self.rng.happens(0.6);
        let kind = if of_caches { "caches" } else { "balancers" };
        let max_out = 1 + self.rng.below(if of_caches { 3_u64 } else { 1 }) as u32;
        let completed_by = if self.rng.happens(0.5) {
            CompletedBy::Operator
        } else {
            CompletedBy::Restart
        };
        let plan = Plan {
            completed_by,
            ..plan(&[kind], max_out)
        };
        if let Ok(number) = self.log.commit(CommandKind::Submit(plan.clone())) {
            self.plans.insert(number, plan);
        }
    }

    /// One command of an operator, which may be a wrong one.
    fn send_operator_command(&mut self) {
        let chosen = self.rng.below(MAX_PLANS as u64) as usize;
        let Some(plan) = self.plans.keys().nth(chosen).copied() else {
            return;
        };
        let machine = format!("c{:02}", self.rng.below(HOSTS));
        let kind = match self.rng.below(30_u64) {
            0 if self.round < LAST_PLAN_ROUND => CommandKind::Hold {
                plan,
                reason: "lunch".to_string(),
            },
            1 | 2 => CommandKind::Resume { plan },
            3 => CommandKind::Skip { plan, machine },
            4 if self.round < LAST_PLAN_ROUND => CommandKind::Drop { plan },
            _ => CommandKind::Done { plan, machine },
        };
        self.counts.rejected += u64::from(self.log.commit(kind).is_err());
    }

    fn resume_plans(&mut self) {
        for plan in self.plans.keys().copied() {
            // A plan that is not held rejects it.
            let _ = self.log.commit(CommandKind::Resume { plan });
        }
    }

    /// The fleet as the leader sees it, with all present members' confirmations.
    fn observe(&mut self) -> LeaderObservation {
        let mut balancers = self.fleet.balancers.iter();
        let leader = balancers.find(|one| one.is_leader).unwrap();
        let mut observation = LeaderObservation {
            fleet: self.fleet.clone(),
            leader: leader.name.clone(),
            ..LeaderObservation::default()
        };
        let present = self.fleet.balancers.iter().filter(|one| one.is_present);
        let members: Vec<String> = present.map(|one| one.name.clone()).collect();
        for stage in [Stage::Notified, Stage::Draining] {
            for cordoned in self.log.state.hosts_at(stage) {
                let key = MachineKey {
                    host: cordoned.host,
                    notified: cordoned.notified,
                };
                observation.confirmed.insert(key.clone(), members.clone());
                observation.drained.insert(key, members.clone());
            }
        }
        let warming_up = self.log.state.machines_at(Stage::WarmingUp);
        observation.warm = warming_up
            .map(|machine| machine.name().to_string())
            .filter(|_| self.rng.happens(0.5))
            .collect();
        observation
    }

    /// The work on some of the machines that are out: their processes restart.
    fn work_at_machines(&mut self) {
        let out: Vec<Machine> = self.log.state.machines_at(Stage::Out).cloned().collect();
        for machine in out {
            if !self.rng.happens(0.3) {
                continue;
            }
            match machine {
                Machine::Balancer(name) => {
                    let mut balancers = self.fleet.balancers.iter_mut();
                    let balancer = balancers.find(|one| one.name == name).unwrap();
                    balancer.process_id += 100;
                }
                Machine::Cache(name) => self.work_at_host(name),
            }
        }
    }

    fn work_at_host(&mut self, name: String) {
        let mut hosts = self.fleet.hosts.iter_mut();
        let host = hosts.find(|host| host.name == name).unwrap();
        host.started_ms += 100;
        if self.round < LAST_FAULT_ROUND {
            return;
        }
        for plan in self.plans.keys().copied() {
            let machine = name.clone();
            // Plans that do not have the machine out reject it.
            let _ = self.log.commit(CommandKind::Done { plan, machine });
        }
    }

    /// Steps that an earlier leader found due are committed in a later term, and change nothing.
    fn commit_in_next_term(&mut self, due: Vec<CommandKind>) {
        let old_term = self.log.term;
        self.log.term += 1;
        for kind in due {
            let error = self.log.commit_of_term(old_term, kind).unwrap_err();
            assert!(error.to_string().contains("given in term"), "{error}");
        }
    }

    /// A leader whose turn it is in a plan hands the leadership over.
    fn transfer_leadership(&mut self, leader: &str) {
        let leader_machine = Machine::Balancer(leader.to_string());
        let mut notified = self.log.state.machines_at(Stage::Notified);
        if !notified.any(|machine| *machine == leader_machine) {
            return;
        }
        let next = if leader == "b0" { "b1" } else { "b0" };
        for balancer in &mut self.fleet.balancers {
            balancer.is_leader = balancer.name == next;
        }
    }

    fn commit_step(&mut self, kind: CommandKind) {
        let taken_out = self.taken_out_of_service(&kind);
        if self.log.commit(kind).is_err() {
            return;
        }
        self.counts.steps += 1;
        self.observer.observe(&self.log.state);
        let fleet = self.log.state.fleet();
        self.observer.check(fleet, &self.plans, taken_out.as_ref());
    }

    /// The machine that a command takes out of service. A host that is down already is none: nothing is lost by it, so it may
    /// be taken where fewer hosts than planned remain.
    fn taken_out_of_service(&self, kind: &CommandKind) -> Option<Machine> {
        let CommandKind::Step {
            to: Stage::Notified,
            machine,
            ..
        } = kind
        else {
            return None;
        };
        let host = self.fleet.host(machine.name());
        let is_serving = host.is_none_or(|host| host.is_serving);
        is_serving.then(|| machine.clone())
    }

    /// No plan waits for ever with a host out.
    fn assert_finished(&self) {
        let view = self.log.state.view();
        let machines = view.plans.iter().flat_map(|plan| plan.machines.iter());
        let unfinished: Vec<String> = machines
            .filter(|machine| !matches!(machine.stage, Stage::Returned | Stage::Skipped))
            .map(|machine| format!("{} {}", machine.machine, machine.stage.as_str()))
            .collect();
        assert!(
            unfinished.is_empty(),
            "seed {}: {unfinished:?}, {:?}",
            self.seed,
            self.log.state.fleet_fault()
        );
        assert!(self.log.state.cordoned_hosts().is_empty());
    }
}

/// A member that was away learns the state by entries, or by a snapshot on the way, and has the same one.
fn assert_same_state_by_replay(log: &CommandLog, seed: u64) {
    let mut replayed = Maintenance::default();
    for (position, entry) in log.entries.iter().enumerate() {
        replayed.apply(entry.index, entry.term, &entry.command);
        if position % 100 == 50 {
            replayed = Maintenance::restore(&replayed.snapshot()).unwrap();
        }
    }
    assert!(replayed == log.state, "seed {seed}");
}
