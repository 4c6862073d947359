//! The commands that members agree on, their outcomes, the snapshot, and the JSON that operators submit and read, as golden
//! files: a change of names must not change a byte.
mod script;

use stairfront_maintenance::{
    AvailabilityBudget, Balancer, BlockedMachine, Command, CommandError, CommandKind, CompletedBy,
    Fleet, Host, Machine, Maintenance, Outcome, Plan, PlanError, Stage,
};
use stairfront_test_support::golden::GoldenFiles;

use crate::script::plans_in_all_stages;

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

pub(crate) fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| text.to_string()).collect()
}

pub(crate) fn fleet() -> Fleet {
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

pub(crate) fn plan(machines: &[&str], zones: &[&str], kinds: &[&str]) -> Plan {
    Plan {
        machines: strings(machines),
        zones: strings(zones),
        kinds: strings(kinds),
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
    let mut cases = commands_with_facts_and_plans();
    cases.extend(commands_of_operators());
    cases.push((
        "step of a balancer",
        CommandKind::Step {
            plan: 87,
            machine: Machine::Balancer("b2".to_string()),
            entered: 88,
            to: Stage::Out,
            confirmed_by: Vec::new(),
        },
    ));
    cases.extend(steps_to_each_stage());
    cases
}

fn commands_with_facts_and_plans() -> Vec<(&'static str, CommandKind)> {
    let faulty_fleet = Fleet {
        fault: Some("queues grow".to_string()),
        ..fleet()
    };
    let plan_by_restarts = Plan {
        completed_by: CompletedBy::Restart,
        ..plan(&["b3"], &[], &[])
    };
    vec![
        ("fleet", CommandKind::Fleet(faulty_fleet)),
        ("fleet without trouble", CommandKind::Fleet(fleet())),
        (
            "plan",
            CommandKind::Submit(plan(&["c01"], &["z0"], &["caches", "balancers"])),
        ),
        ("plan by restarts", CommandKind::Submit(plan_by_restarts)),
    ]
}

fn commands_of_operators() -> Vec<(&'static str, CommandKind)> {
    let hold = CommandKind::Hold {
        plan: 81,
        reason: "lunch".to_string(),
    };
    let skip = CommandKind::Skip {
        plan: 83,
        machine: "c02".to_string(),
    };
    let done = CommandKind::Done {
        plan: 85,
        machine: "c03".to_string(),
    };
    let force = CommandKind::Force {
        plan: 86,
        machine: "c04".to_string(),
        member: "b1".to_string(),
    };
    vec![
        ("hold", hold),
        ("resume", CommandKind::Resume { plan: 82 }),
        ("skip", skip),
        ("drop", CommandKind::Drop { plan: 84 }),
        ("done", done),
        ("force", force),
    ]
}

fn steps_to_each_stage() -> Vec<(&'static str, CommandKind)> {
    let stages = [
        ("step to the first stage", Stage::Waiting),
        ("step to the second stage", Stage::Notified),
        ("step to the third stage", Stage::Draining),
        ("step to the fourth stage", Stage::Out),
        ("step to the fifth stage", Stage::WarmingUp),
        ("step to the sixth stage", Stage::Returned),
        ("step to the seventh stage", Stage::Skipped),
    ];
    let step = |to| CommandKind::Step {
        plan: 89,
        machine: Machine::Cache("c01".to_string()),
        entered: 90,
        to,
        confirmed_by: strings(&["b0", "b1"]),
    };
    stages
        .into_iter()
        .map(|(label, to)| (label, step(to)))
        .collect()
}

/// The commands with their origin, each with a number, a time and a term of its own.
fn commands_with_origin() -> Vec<(&'static str, Command)> {
    let command = |number: u64, kind: CommandKind| Command {
        id: 1000 + number,
        at_ms: 2000 + number,
        term: 3000 + number,
        via: "b3".to_string(),
        author: "bob".to_string(),
        kind,
    };
    (1..)
        .zip(commands())
        .map(|(number, (label, kind))| (label, command(number, kind)))
        .collect()
}

#[test]
fn agreed_commands() {
    let cases = commands_with_origin();
    golden().assert_postcard("commands.hex", &cases);
    for (label, command) in &cases {
        let postcard = postcard::to_stdvec(command).unwrap();
        assert_eq!(command.encode(), postcard, "{label}");
    }
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    let error = PlanError {
        key: "at_once".to_string(),
        message: "must be 1 at least".to_string(),
    };
    let results = vec![
        ("carried out", Ok(91)),
        ("fault of a plan", Err(CommandError::Plan(error))),
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
    let outcome = |number: u64, result| Outcome {
        index: 400 + number,
        term: 500 + number,
        result,
    };
    (1..)
        .zip(results)
        .map(|(number, (label, result))| (label, outcome(number, result)))
        .collect()
}

#[test]
fn outcomes_of_commands() {
    golden().assert_postcard("outcomes.hex", &outcomes());
}

#[test]
fn outcomes_of_commands_in_json() {
    let outcomes: Vec<Outcome> = outcomes().into_iter().map(|(_, outcome)| outcome).collect();
    golden().assert_json("outcomes.json", &outcomes);
}

#[test]
fn snapshot_of_plans() {
    const LABEL: &str = "plans in all stages";
    let state = plans_in_all_stages();
    golden().assert_postcard("snapshot.hex", &[(LABEL, state.clone())]);
    let snapshot = (LABEL.to_string(), state.snapshot());
    let pinned = golden().assert_hex("snapshot.hex", &[snapshot]);
    assert_eq!(Maintenance::restore(&pinned[0].1).as_ref(), Some(&state));
}

#[test]
fn view_for_operators() {
    golden().assert_json("view.json", &plans_in_all_stages().view());
}

#[test]
fn plans_as_posted() {
    let restart = Plan {
        completed_by: CompletedBy::Restart,
        ..plan(&["b3"], &[], &[])
    };
    golden().assert_json(
        "plans.json",
        &vec![plan(&["c01"], &["z0"], &["caches"]), restart],
    );
}

#[test]
fn a_plan_with_the_fewest_keys_has_the_defaults() {
    let given: Plan =
        serde_json::from_str(r#"{"reason":"new disks","author":"ann","stay":{}}"#).unwrap();
    let complete = Plan {
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
    assert_eq!(given, complete);
}

#[test]
fn machines_and_blocked_machines_in_json() {
    let machines = [
        Machine::Cache("c01".to_string()),
        Machine::Balancer("b1".to_string()),
    ];
    let blocked = BlockedMachine {
        plan: 97,
        machine: "c07".to_string(),
        reason: "not its turn".to_string(),
    };
    golden().assert_json("machines_and_waits.json", &(machines, blocked));
}
