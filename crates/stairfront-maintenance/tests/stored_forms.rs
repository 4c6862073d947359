//! Agreed commands, what became of them, the snapshot of plans and what operators post and are shown, as golden files: a
//! change of names must not change a byte.
mod golden;

use std::collections::BTreeMap;

use stairfront_maintenance::{
    AvailabilityBudget, Balancer, BlockedMachine, Command, CommandError, CommandKind, CompletedBy,
    Fleet, Host, Machine, Maintenance, Outcome, Plan, PlanError, Stage,
};

fn texts(some: &[&str]) -> Vec<String> {
    some.iter().map(|text| text.to_string()).collect()
}

fn fleet() -> Fleet {
    let host = |at: u64| Host {
        name: format!("c{at:02}"),
        zone: format!("z{}", at % 2),
        deduplication_group: 21 + at as u16,
        is_serving: at != 15,
        started_ms: 5000 + at,
    };
    let balancer = |at: u64| Balancer {
        name: format!("b{at}"),
        is_present: at != 4,
        has_left: at == 4,
        is_voter: at < 3,
        is_leader: at == 0,
        process_id: 600 + at,
    };
    Fleet {
        hosts: (0..16).map(host).collect(),
        balancers: (0..5).map(balancer).collect(),
        fault: None,
    }
}

fn plan(machines: &[&str], zones: &[&str], kinds: &[&str]) -> Plan {
    Plan {
        machines: texts(machines),
        zones: texts(zones),
        kinds: texts(kinds),
        max_out: 6,
        availability: AvailabilityBudget {
            zone: 0.125,
            fleet: 0.25,
        },
        completed_by: CompletedBy::Operator,
        confirm_timeout_s: 61,
        drain_timeout_s: 62,
        work_timeout_s: 63,
        warm_up_timeout_s: 64,
        reason: "new disks".to_string(),
        author: "ann".to_string(),
    }
}

/// A command of each kind, every field by itself.
fn commands() -> Vec<(&'static str, CommandKind)> {
    let cache = || Machine::Cache("c01".to_string());
    let mut cases = vec![
        (
            "fleet",
            CommandKind::Fleet(Fleet {
                fault: Some("queues grow".to_string()),
                ..fleet()
            }),
        ),
        ("fleet without trouble", CommandKind::Fleet(fleet())),
        (
            "plan",
            CommandKind::Submit(plan(&["c01"], &["z0"], &["caches", "balancers"])),
        ),
        (
            "plan by restarts",
            CommandKind::Submit(Plan {
                completed_by: CompletedBy::Restart,
                ..plan(&["b3"], &[], &[])
            }),
        ),
        (
            "hold",
            CommandKind::Hold {
                plan: 81,
                reason: "lunch".to_string(),
            },
        ),
        ("resume", CommandKind::Resume { plan: 82 }),
        (
            "skip",
            CommandKind::Skip {
                plan: 83,
                machine: "c02".to_string(),
            },
        ),
        ("drop", CommandKind::Drop { plan: 84 }),
        (
            "done",
            CommandKind::Done {
                plan: 85,
                machine: "c03".to_string(),
            },
        ),
        (
            "force",
            CommandKind::Force {
                plan: 86,
                machine: "c04".to_string(),
                member: "b1".to_string(),
            },
        ),
        (
            "step of a balancer",
            CommandKind::Step {
                plan: 87,
                machine: Machine::Balancer("b2".to_string()),
                entered: 88,
                to: Stage::Out,
                confirmed_by: Vec::new(),
            },
        ),
    ];
    let stages = [
        ("step to the first stage", Stage::Waiting),
        ("step to the second stage", Stage::Notified),
        ("step to the third stage", Stage::Draining),
        ("step to the fourth stage", Stage::Out),
        ("step to the fifth stage", Stage::WarmingUp),
        ("step to the sixth stage", Stage::Returned),
        ("step to the seventh stage", Stage::Skipped),
    ];
    cases.extend(stages.map(|(label, to)| {
        (
            label,
            CommandKind::Step {
                plan: 89,
                machine: cache(),
                entered: 90,
                to,
                confirmed_by: texts(&["b0", "b1"]),
            },
        )
    }));
    cases
}

#[test]
fn agreed_commands() {
    let cases: Vec<(&str, Command)> = (1..)
        .zip(commands())
        .map(|(at, (label, what))| {
            let (via, author) = ("b3".to_string(), "bob".to_string());
            (
                label,
                Command {
                    id: 1000 + at,
                    at_ms: 2000 + at,
                    term: 3000 + at,
                    via,
                    author,
                    kind: what,
                },
            )
        })
        .collect();
    golden::postcard("commands.hex", &cases);
    for (label, command) in &cases {
        assert_eq!(
            command.encode(),
            postcard::to_stdvec(command).unwrap(),
            "{label}"
        );
    }
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    let fault = PlanError {
        key: "at_once".to_string(),
        message: "must be 1 at least".to_string(),
    };
    let results = vec![
        ("carried out", Ok(91)),
        ("fault of a plan", Err(CommandError::Plan(fault))),
        ("no such plan", Err(CommandError::NoPlan(92))),
        (
            "no such machine",
            Err(CommandError::NoMachine {
                plan: 93,
                machine: "c05".to_string(),
            }),
        ),
        (
            "other stage",
            Err(CommandError::Stage {
                machine: "c06".to_string(),
                at: "out".to_string(),
            }),
        ),
        ("too many", Err(CommandError::TooMany(94))),
        (
            "no such member",
            Err(CommandError::NoMember("b9".to_string())),
        ),
        (
            "old term",
            Err(CommandError::OldTerm {
                given: 95,
                committed: 96,
            }),
        ),
        (
            "changed",
            Err(CommandError::Changed("b1 has not said so".to_string())),
        ),
    ];
    let outcomes = (1..).zip(results);
    outcomes
        .map(|(at, (label, result))| {
            (
                label,
                Outcome {
                    index: 400 + at,
                    term: 500 + at,
                    result,
                },
            )
        })
        .collect()
}

#[test]
fn outcomes_of_commands() {
    golden::postcard("outcomes.hex", &outcomes());
}

#[test]
fn outcomes_of_commands_in_json() {
    golden::json(
        "outcomes.json",
        &outcomes()
            .into_iter()
            .map(|(_, one)| one)
            .collect::<Vec<_>>(),
    );
}

struct Script {
    state: Maintenance,
    index: u64,
    /// The entry by which a machine of a plan came to its stage.
    entered: BTreeMap<(u64, String), u64>,
}

impl Script {
    fn say(&mut self, what: CommandKind) -> Result<u64, CommandError> {
        self.index += 1;
        let (id, at_ms, term) = (7000 + self.index, 90_000 + self.index, 17);
        let command = Command {
            id,
            at_ms,
            term,
            via: "b3".to_string(),
            author: "bob".to_string(),
            kind: what,
        };
        assert_eq!(
            self.state.apply(self.index, 17, &command.encode()),
            Some(id)
        );
        self.state.outcome(id).unwrap().result.clone()
    }

    fn step(&mut self, plan: u64, machine: &Machine, to: Stage) -> Result<u64, CommandError> {
        let key = (plan, machine.name().to_string());
        let entered = *self.entered.get(&key).unwrap_or(&plan);
        let by = texts(&["b0", "b1", "b2", "b3"]);
        let index = self.say(CommandKind::Step {
            plan,
            machine: machine.clone(),
            entered,
            to,
            confirmed_by: by,
        })?;
        self.entered.insert(key, index);
        Ok(index)
    }

    /// Takes the next cache host of a plan out, up to a stage.
    fn take(&mut self, plan: u64, machines: &[&str], stages: &[Stage]) -> String {
        let next = machines.iter().find(|name| {
            let machine = Machine::Cache(name.to_string());
            self.step(plan, &machine, Stage::Notified).is_ok()
        });
        let next = next.expect("one of them may be taken").to_string();
        for stage in stages {
            self.step(plan, &Machine::Cache(next.clone()), *stage)
                .unwrap();
        }
        next
    }
}

/// Plans in all stages, one of them held and one dropped.
fn state() -> Maintenance {
    let mut script = Script {
        state: Maintenance::default(),
        index: 100,
        entered: BTreeMap::new(),
    };
    let s = &mut script;
    s.say(CommandKind::Fleet(fleet())).unwrap();
    let first = ["c00", "c01", "c02", "c03", "c04", "c05", "c06", "c07"];
    let one = s.say(CommandKind::Submit(plan(&first, &[], &[]))).unwrap();
    let done = |machine: &str| CommandKind::Done {
        plan: one,
        machine: machine.to_string(),
    };
    let force = |machine: &str, member: &str| CommandKind::Force {
        plan: one,
        machine: machine.to_string(),
        member: member.to_string(),
    };
    // The first ends in use, the second on its way to it.
    let name = s.take(one, &first, &[Stage::Draining, Stage::Out]);
    let index = s.say(done(&name)).unwrap();
    s.entered.insert((one, name.clone()), index);
    s.step(one, &Machine::Cache(name), Stage::Returned).unwrap();
    let name = s.take(one, &first, &[Stage::Draining, Stage::Out]);
    s.say(done(&name)).unwrap();
    s.take(one, &first, &[Stage::Draining, Stage::Out]);
    let name = s.take(one, &first, &[Stage::Draining]);
    s.say(force(&name, "b2")).unwrap();
    let name = s.take(one, &first, &[]);
    s.say(force(&name, "b1")).unwrap();
    s.say(force(&name, "b2")).unwrap();
    let waiting = s.state.view().plans[0]
        .machines
        .iter()
        .rev()
        .find(|row| row.stage == Stage::Waiting)
        .cloned();
    s.say(CommandKind::Skip {
        plan: one,
        machine: waiting.unwrap().machine,
    })
    .unwrap();

    let second = Plan {
        max_out: 1,
        completed_by: CompletedBy::Restart,
        ..plan(&["b3"], &["z1"], &[])
    };
    let two = s.say(CommandKind::Submit(second)).unwrap();
    s.say(CommandKind::Hold {
        plan: two,
        reason: "lunch".to_string(),
    })
    .unwrap();
    let third = ["c08", "c10", "c12"];
    let three = s
        .say(CommandKind::Submit(Plan {
            max_out: 2,
            ..plan(&third, &[], &[])
        }))
        .unwrap();
    s.take(three, &third, &[Stage::Draining]);
    s.say(CommandKind::Drop { plan: three }).unwrap();
    let four = s.say(CommandKind::Submit(plan(&["b3"], &[], &[]))).unwrap();
    for stage in [Stage::Notified, Stage::Draining, Stage::Out] {
        s.step(four, &Machine::Balancer("b3".to_string()), stage)
            .unwrap();
    }
    s.say(CommandKind::Resume { plan: 9999 }).unwrap_err();
    assert_eq!(s.state.apply(s.index + 1, 17, &[255]), None);
    s.index += 1;
    s.say(CommandKind::Fleet(Fleet {
        fault: Some("queues grow".to_string()),
        ..fleet()
    }))
    .unwrap();

    let state = script.state;
    let stages = [
        "waiting", "told", "held", "out", "warming", "back", "skipped",
    ];
    assert!(
        stages
            .iter()
            .all(|stage| state.count_by_stage().contains_key(stage)),
        "{:?}",
        state.count_by_stage()
    );
    state
}

#[test]
fn snapshot_of_plans() {
    let state = state();
    golden::postcard("snapshot.hex", &[("plans in all stages", state.clone())]);
    let text = String::from_utf8(golden::read("snapshot.hex", &[])).unwrap();
    let (_, old) = &golden::from_hex(&text)[0];
    assert_eq!(Maintenance::restore(old).as_ref(), Some(&state));
    assert_eq!(&state.snapshot(), old);
}

#[test]
fn view_for_operators() {
    golden::json("view.json", &state().view());
}

#[test]
fn plans_as_posted() {
    let restart = Plan {
        completed_by: CompletedBy::Restart,
        ..plan(&["b3"], &[], &[])
    };
    golden::json(
        "plans.json",
        &vec![plan(&["c01"], &["z0"], &["caches"]), restart],
    );
}

#[test]
fn a_plan_of_the_fewest_words() {
    let few: Plan =
        serde_json::from_str(r#"{"reason":"new disks","author":"ann","stay":{}}"#).unwrap();
    let whole = Plan {
        max_out: 1,
        availability: AvailabilityBudget {
            zone: 0.5,
            fleet: 0.66,
        },
        confirm_timeout_s: 60,
        drain_timeout_s: 60,
        work_timeout_s: 3600,
        warm_up_timeout_s: 60,
        ..plan(&[], &[], &[])
    };
    assert_eq!(few, whole);
}

#[test]
fn machines_and_waits_in_json() {
    let machines = [
        Machine::Cache("c01".to_string()),
        Machine::Balancer("b1".to_string()),
    ];
    let waits = BlockedMachine {
        plan: 97,
        machine: "c07".to_string(),
        reason: "not its turn".to_string(),
    };
    golden::json("machines_and_waits.json", &(machines, waits));
}
