//! Plans under drawn commands and a world that changes: what is out never exceeds what the plans allow, by a count made
//! here from the steps that were settled, not by the state's own word.
use std::collections::{BTreeMap, BTreeSet};

use stairfront_common::random::SeededRng;
use stairfront_maintenance::{
    AvailabilityBudget, Balancer, Command, CommandKind, CompletedBy, Fleet, Host,
    LeaderObservation, Machine, MachineKey, Maintenance, NextCommands, Plan, Stage,
};

fn fleet(hosts: usize, zones: usize, balancers: usize) -> Fleet {
    let host = |i: usize| Host {
        name: format!("c{i:02}"),
        zone: format!("z{}", i % zones),
        deduplication_group: (i / 4) as u16,
        is_serving: true,
        started_ms: 0,
    };
    let balancer = |i: usize| Balancer {
        name: format!("b{i}"),
        is_present: true,
        has_left: false,
        is_voter: i < 3,
        is_leader: i == 0,
        process_id: i as u64 + 1,
    };
    Fleet {
        hosts: (0..hosts).map(host).collect(),
        balancers: (0..balancers).map(balancer).collect(),
        fault: None,
    }
}

fn plan(kinds: &[&str], at_once: u32) -> Plan {
    Plan {
        machines: Vec::new(),
        zones: Vec::new(),
        kinds: kinds.iter().map(|kind| kind.to_string()).collect(),
        max_out: at_once,
        availability: AvailabilityBudget {
            zone: 0.5,
            fleet: 0.6,
        },
        completed_by: CompletedBy::Operator,
        confirm_timeout_s: 60,
        drain_timeout_s: 60,
        work_timeout_s: 60,
        warm_up_timeout_s: 60,
        reason: "disks".to_string(),
        author: "ann".to_string(),
    }
}

struct Log {
    index: u64,
    term: u64,
    ids: u64,
    entries: Vec<(u64, u64, Vec<u8>)>,
    state: Maintenance,
}

impl Log {
    fn new() -> Log {
        Log {
            index: 1,
            term: 1,
            ids: 0,
            entries: Vec::new(),
            state: Maintenance::default(),
        }
    }

    /// Settles a command given in this term: the index, or why not.
    fn settle_in(&mut self, given: u64, what: CommandKind) -> Result<u64, String> {
        self.ids += 1;
        self.index += 1;
        let (via, author) = ("b0".to_string(), "ann".to_string());
        let command = Command {
            id: self.ids,
            at_ms: self.index * 100,
            term: given,
            via,
            author,
            kind: what,
        };
        let bytes = command.encode();
        assert_eq!(
            self.state.apply(self.index, self.term, &bytes),
            Some(self.ids)
        );
        self.entries.push((self.index, self.term, bytes));
        let outcome = self.state.outcome(self.ids).unwrap();
        outcome
            .result
            .clone()
            .map_err(|refusal| refusal.to_string())
    }

    fn settle(&mut self, what: CommandKind) -> Result<u64, String> {
        self.settle_in(self.term, what)
    }
}

/// What an observer makes of the steps that were settled.
#[derive(Default)]
struct Observer {
    out: BTreeMap<String, u64>,
}

impl Observer {
    fn hear(&mut self, log: &Log) {
        let view = log.state.view();
        let mut out = BTreeMap::new();
        for plan in &view.plans {
            for row in &plan.machines {
                let away = matches!(
                    row.stage,
                    Stage::Notified | Stage::Draining | Stage::Out | Stage::WarmingUp
                );
                if away {
                    assert!(
                        out.insert(row.machine.clone(), plan.plan).is_none(),
                        "{} is out twice",
                        row.machine
                    );
                }
            }
        }
        self.out = out;
    }

    fn judge(&self, fleet: &Fleet, plans: &BTreeMap<u64, Plan>, began: Option<&Machine>) {
        for (number, plan) in plans {
            let out = self.out.values().filter(|of| *of == number).count();
            assert!(out <= plan.max_out as usize, "{out} of plan {number}");
        }
        // What fell out by itself may leave less than a plan wants; then nothing further may have been begun.
        let Some(began) = began else { return };
        if matches!(began, Machine::Balancer(_)) {
            let voters = fleet.balancers.iter().filter(|one| one.is_voter);
            let (all, stay) = voters.fold((0, 0), |(all, stay), one| {
                (
                    all + 1,
                    stay + usize::from(one.is_present && !self.out.contains_key(&one.name)),
                )
            });
            return assert!(stay * 2 > all, "{stay} of {all} voters");
        }
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        let mut groups = BTreeSet::new();
        for host in &fleet.hosts {
            let (stay, all) = zones.entry(&host.zone).or_default();
            let out = self.out.contains_key(&host.name);
            *all += 1;
            *stay += usize::from(host.is_serving && !out);
            if out && host.deduplication_group != 0 {
                assert!(
                    groups.insert(host.deduplication_group),
                    "two of group {} are out",
                    host.deduplication_group
                );
            }
        }
        let whole: usize = zones.values().map(|(stay, _)| stay).sum();
        assert!(
            whole as f64 >= 0.6 * fleet.hosts.len() as f64 - 1e-6,
            "{whole} of {}",
            fleet.hosts.len()
        );
        for (zone, (stay, all)) in zones {
            assert!(stay * 2 >= all && stay > 0, "{stay} of {all} in {zone}");
        }
    }
}

#[test]
fn whatever_is_asked_and_whatever_fails_no_more_is_out_than_the_plans_allow_and_they_end() {
    let (mut steps, mut refused, mut ended) = (0, 0, 0);
    for seed in 0..60 {
        let mut random = SeededRng::for_part(seed, "plans");
        let mut world = fleet(12, 3, 5);
        let (mut log, mut observer) = (Log::new(), Observer::default());
        let mut plans = BTreeMap::new();
        log.settle(CommandKind::Fleet(world.clone())).unwrap();
        for round in 0..400 {
            // The world turns, for a while.
            if round < 250 && random.happens(0.05) {
                let host = &mut world.hosts[random.below(12_u64) as usize];
                host.is_serving = !host.is_serving;
                host.started_ms += u64::from(host.is_serving);
            }
            if round < 250 && random.happens(0.04) {
                let one = &mut world.balancers[1 + random.below(4_u64) as usize];
                one.is_present = !one.is_present;
                one.process_id += u64::from(one.is_present);
            }
            if round < 250 && random.happens(0.03) {
                world.fault = world.fault.is_none().then(|| "few are served".to_string());
            }
            if round == 250 {
                world
                    .hosts
                    .iter_mut()
                    .for_each(|host| host.is_serving = true);
                world
                    .balancers
                    .iter_mut()
                    .for_each(|one| one.is_present = true);
                world.fault = None;
            }
            if plans.len() < 4 && round < 200 && random.happens(0.05) {
                let kinds = if random.happens(0.6) {
                    "caches"
                } else {
                    "balancers"
                };
                let at_once = 1 + random.below(if kinds == "caches" { 3_u64 } else { 1 }) as u32;
                let plan = Plan {
                    completed_by: if random.happens(0.5) {
                        CompletedBy::Operator
                    } else {
                        CompletedBy::Restart
                    },
                    ..plan(&[kinds], at_once)
                };
                if let Ok(number) = log.settle(CommandKind::Submit(plan.clone())) {
                    plans.insert(number, plan);
                }
            }
            // Operators' words, right and wrong ones.
            if let Some(number) = plans.keys().nth(random.below(4_u64) as usize).copied() {
                let machine = format!("c{:02}", random.below(12_u64));
                let what = match random.below(30_u64) {
                    0 if round < 200 => CommandKind::Hold {
                        plan: number,
                        reason: "lunch".to_string(),
                    },
                    1 | 2 => CommandKind::Resume { plan: number },
                    3 => CommandKind::Skip {
                        plan: number,
                        machine,
                    },
                    4 if round < 200 => CommandKind::Drop { plan: number },
                    _ => CommandKind::Done {
                        plan: number,
                        machine,
                    },
                };
                refused += usize::from(log.settle(what).is_err());
            }
            if round == 250 {
                plans
                    .keys()
                    .copied()
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|plan| {
                        drop(log.settle(CommandKind::Resume { plan }));
                    });
            }
            // One who leads, seeing the world as it is, or as it was: a step of an old term does nothing.
            let leader = world
                .balancers
                .iter()
                .find(|one| one.is_leader)
                .map(|one| one.name.clone())
                .unwrap();
            let mut seen = LeaderObservation {
                fleet: world.clone(),
                leader: leader.clone(),
                ..LeaderObservation::default()
            };
            let roster: Vec<String> = world
                .balancers
                .iter()
                .filter(|one| one.is_present)
                .map(|one| one.name.clone())
                .collect();
            for stage in [Stage::Notified, Stage::Draining] {
                for held in log.state.hosts_at(stage) {
                    let key = MachineKey {
                        host: held.host,
                        notified: held.notified,
                    };
                    seen.confirmed.insert(key.clone(), roster.clone());
                    seen.drained.insert(key, roster.clone());
                }
            }
            let warming: Vec<String> = log
                .state
                .machines_at(Stage::WarmingUp)
                .map(|machine| machine.name().to_string())
                .collect();
            seen.warm = warming
                .into_iter()
                .filter(|_| random.happens(0.5))
                .collect();
            // A balancer's or a host's work: it starts anew.
            let away: Vec<Machine> = log.state.machines_at(Stage::Out).cloned().collect();
            for machine in away.iter().filter(|_| random.happens(0.3)) {
                match machine {
                    Machine::Balancer(name) => {
                        world
                            .balancers
                            .iter_mut()
                            .filter(|one| one.name == *name)
                            .for_each(|one| one.process_id += 100);
                    }
                    Machine::Cache(name) => {
                        world
                            .hosts
                            .iter_mut()
                            .filter(|host| host.name == *name)
                            .for_each(|host| host.started_ms += 100);
                        if round >= 250 {
                            let of: Vec<u64> = plans.keys().copied().collect();
                            of.into_iter().for_each(|plan| {
                                drop(log.settle(CommandKind::Done {
                                    plan,
                                    machine: name.clone(),
                                }))
                            });
                        }
                    }
                }
            }
            let due = log.state.next_commands(&seen).due;
            if random.happens(0.05) {
                log.term += 1;
                for what in due {
                    let old = log.term - 1;
                    assert!(log
                        .settle_in(old, what)
                        .unwrap_err()
                        .contains("given in term"));
                }
                continue;
            }
            // The leader's turn moves on in a plan of all balancers.
            let own = Machine::Balancer(leader.clone());
            if log
                .state
                .machines_at(Stage::Notified)
                .any(|machine| *machine == own)
            {
                let next = if leader == "b0" { "b1" } else { "b0" };
                world
                    .balancers
                    .iter_mut()
                    .for_each(|one| one.is_leader = one.name == next);
            }
            for what in due {
                // One that is down already takes nothing away, so it may go below what has to stay.
                let began = match &what {
                    CommandKind::Step {
                        to: Stage::Notified,
                        machine,
                        ..
                    } => Some(machine.clone()),
                    _ => None,
                };
                let began = began.filter(|machine| {
                    world
                        .host(machine.name())
                        .is_none_or(|host| host.is_serving)
                });
                if log.settle(what).is_ok() {
                    steps += 1;
                    observer.hear(&log);
                    observer.judge(log.state.fleet(), &plans, began.as_ref());
                }
            }
        }
        let open: Vec<String> = log
            .state
            .view()
            .plans
            .iter()
            .flat_map(|plan| plan.machines.iter())
            .filter(|row| !matches!(row.stage, Stage::Returned | Stage::Skipped))
            .map(|row| format!("{} {}", row.machine, row.stage.as_str()))
            .collect();
        // Danger: a plan that stands still for ever, with a host out.
        assert!(
            open.is_empty(),
            "seed {seed}: {open:?}, {:?}",
            log.state.fleet_fault()
        );
        assert!(log.state.cordoned_hosts().is_empty());
        ended += plans.len();
        // Who was away and learns it by entries, or by a snapshot on the way, has the same.
        let mut other = Maintenance::default();
        for (at, (index, term, bytes)) in log.entries.iter().enumerate() {
            other.apply(*index, *term, bytes);
            if at % 100 == 50 {
                other = Maintenance::restore(&other.snapshot()).unwrap();
            }
        }
        assert!(other == log.state, "seed {seed}");
    }
    assert!(
        steps > 3000 && refused > 1000 && ended > 100,
        "{steps} {refused} {ended}: hardly tried"
    );
}

/// Danger: sent again after a change of the leader, a plan would be posted twice.
#[test]
fn a_command_that_stands_in_the_log_twice_is_done_once() {
    let mut log = Log::new();
    log.settle(CommandKind::Fleet(fleet(6, 2, 3))).unwrap();
    log.settle(CommandKind::Submit(plan(&["caches"], 1)))
        .unwrap();
    let (index, term, bytes) = log.entries.last().unwrap().clone();
    log.state.apply(index + 1, term + 1, &bytes);
    assert_eq!(log.state.view().plans.len(), 1);
    // Danger: by a leader's list that lacks a host nothing would forbid to take it out.
    let mut less = fleet(6, 2, 3);
    less.hosts.remove(0);
    log.settle(CommandKind::Fleet(less.clone())).unwrap();
    let seen = LeaderObservation {
        fleet: less,
        leader: "b0".to_string(),
        ..LeaderObservation::default()
    };
    let due = log.state.next_commands(&seen).due;
    assert!(
        matches!(&due[..], [CommandKind::Step { machine, .. }] if machine.name() != "c00"),
        "{due:?}"
    );
    // A step that was seen from another one leaves nothing out, and nobody's silence is a word.
    let [CommandKind::Step {
        plan,
        machine,
        entered,
        ..
    }] = &due[..]
    else {
        panic!("{due:?}")
    };
    let (plan, machine, entered) = (*plan, machine.clone(), *entered);
    let step = |entered, to, by: &[&str]| {
        let by = by.iter().map(|name| name.to_string()).collect();
        CommandKind::Step {
            plan,
            machine: machine.clone(),
            entered,
            to,
            confirmed_by: by,
        }
    };
    let refused = log
        .settle(step(entered + 7, Stage::Notified, &[]))
        .unwrap_err();
    assert!(refused.contains("since entry"), "{refused}");
    let told = log.settle(step(entered, Stage::Notified, &[])).unwrap();
    let refused = log
        .settle(step(told, Stage::Draining, &["b0", "b2"]))
        .unwrap_err();
    assert!(refused.contains("b1 has not said so"), "{refused}");
    let member = "b1".to_string();
    log.settle(CommandKind::Force {
        plan,
        machine: machine.name().to_string(),
        member,
    })
    .unwrap();
    let held = log
        .settle(step(told, Stage::Draining, &["b0", "b2"]))
        .unwrap();
    let out = log.settle(step(held, Stage::Out, &["b0", "b2"])).unwrap();
    assert!(log.settle(step(out, Stage::WarmingUp, &[])).is_err());
    // Late is said, and nothing follows from it.
    let now_ms = (log.index + 700) * 100;
    let seen = LeaderObservation {
        fleet: log.state.fleet().clone(),
        leader: "b0".to_string(),
        now_ms,
        ..LeaderObservation::default()
    };
    let NextCommands { due, blocked } = log.state.next_commands(&seen);
    assert!(
        due.is_empty()
            && blocked
                .iter()
                .any(|machine| machine.reason.starts_with("late, 70 s of 60: work")),
        "{blocked:?}"
    );
    // Danger: given back by a drop, it would be used while somebody works on it.
    log.settle(CommandKind::Drop { plan }).unwrap();
    assert_eq!(log.state.cordoned_hosts().len(), 1);
    log.settle(CommandKind::Done {
        plan,
        machine: machine.name().to_string(),
    })
    .unwrap();
    assert!(log.state.cordoned_hosts().is_empty());
}

/// Danger: with two of four voters out, nothing could be settled any more, their way back neither.
#[test]
fn half_of_the_voters_are_no_majority() {
    let mut four = fleet(6, 2, 4);
    four.balancers
        .iter_mut()
        .for_each(|one| one.is_voter = true);
    let mut log = Log::new();
    log.settle(CommandKind::Fleet(four.clone())).unwrap();
    assert!(log
        .settle(CommandKind::Submit(plan(&["balancers"], 2)))
        .unwrap_err()
        .contains("leave no majority"));
    log.settle(CommandKind::Submit(plan(&["balancers"], 1)))
        .unwrap();
    // One has left by itself: no other is taken.
    four.balancers[3].is_present = false;
    four.balancers[3].has_left = true;
    log.settle(CommandKind::Fleet(four.clone())).unwrap();
    let seen = LeaderObservation {
        fleet: four,
        leader: "b0".to_string(),
        ..LeaderObservation::default()
    };
    let due = log.state.next_commands(&seen).due;
    assert!(
        due.iter().all(
            |what| !matches!(what, CommandKind::Step { machine, .. } if machine.name() != "b3")
        ),
        "{due:?}"
    );
}
