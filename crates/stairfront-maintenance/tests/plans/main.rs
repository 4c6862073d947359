//! Plans under drawn commands and a fleet that changes, and the rules of single commands.
//!
//! What is out never exceeds what the plans allow, counted by an observer from the steps that were committed.
mod observer;
mod schedule;
mod support;

use stairfront_maintenance::{CommandKind, LeaderObservation, Machine, NextCommands, Plan, Stage};

use crate::schedule::{Counts, Schedule};
use crate::support::{fleet, plan, CommandLog};

#[test]
fn plans_keep_their_limits_and_finish_whatever_is_commanded_and_fails() {
    let mut total = Counts::default();
    for seed in 0..60 {
        let counts = Schedule::new(seed).play();
        total.steps += counts.steps;
        total.rejected += counts.rejected;
        total.plans += counts.plans;
    }
    assert!(
        total.steps > 3000 && total.rejected > 1000 && total.plans > 100,
        "{total:?}: hardly anything was tried"
    );
}

/// A command that is proposed again after a change of the leader can be in the log twice. A plan would be submitted twice.
#[test]
fn a_command_that_is_in_the_log_twice_is_applied_once() {
    let log = log_with_a_plan_submitted_twice();
    assert_eq!(log.state.view().plans.len(), 1);
}

/// A log with a fleet and one plan, whose command is in the log a second time.
fn log_with_a_plan_submitted_twice() -> CommandLog {
    let mut log = CommandLog::with_fleet(fleet(6, 2, 3));
    log.commit(CommandKind::Submit(plan(&["caches"], 1)))
        .unwrap();
    let entry = log.entries.last().unwrap().clone();
    log.state
        .apply(entry.index + 1, entry.term + 1, &entry.command);
    log
}

/// A step that is due: its plan, its machine, and the entry by which the machine's stage began.
struct DueStep {
    plan: u64,
    machine: Machine,
    entered: u64,
}

impl DueStep {
    fn command(&self, entered: u64, to: Stage, confirmed_by: &[&str]) -> CommandKind {
        CommandKind::Step {
            plan: self.plan,
            machine: self.machine.clone(),
            entered,
            to,
            confirmed_by: confirmed_by.iter().map(|name| name.to_string()).collect(),
        }
    }
}

/// One host passes through all stages, with a wrong command at each.
#[test]
fn a_step_needs_the_stage_before_it_and_every_confirmation() {
    let mut log = log_with_a_plan_submitted_twice();
    let step = first_step_without_the_first_host(&mut log);
    // A step that the leader found due from another stage would leave a stage out.
    let error = log.commit(step.command(step.entered + 7, Stage::Notified, &[]));
    let error = error.unwrap_err().to_string();
    assert!(error.contains("since entry"), "{error}");
    let notified = log
        .commit(step.command(step.entered, Stage::Notified, &[]))
        .unwrap();
    // A member that has not answered has not confirmed.
    let error = log.commit(step.command(notified, Stage::Draining, &["b0", "b2"]));
    let error = error.unwrap_err().to_string();
    assert!(error.contains("b1 has not said so"), "{error}");
    log.commit(CommandKind::Force {
        plan: step.plan,
        machine: step.machine.name().to_string(),
        member: "b1".to_string(),
    })
    .unwrap();
    let draining = log
        .commit(step.command(notified, Stage::Draining, &["b0", "b2"]))
        .unwrap();
    let out = log
        .commit(step.command(draining, Stage::Out, &["b0", "b2"]))
        .unwrap();
    assert!(log
        .commit(step.command(out, Stage::WarmingUp, &[]))
        .is_err());
    assert_late_and_not_due(&log);
    // A host that a dropped plan put back in service would be used while somebody works on it.
    log.commit(CommandKind::Drop { plan: step.plan }).unwrap();
    assert_eq!(log.state.cordoned_hosts().len(), 1);
    log.commit(CommandKind::Done {
        plan: step.plan,
        machine: step.machine.name().to_string(),
    })
    .unwrap();
    assert!(log.state.cordoned_hosts().is_empty());
}

/// The first step that is due once the leader's list lacks a host. It is not that host's: no limit would protect it.
fn first_step_without_the_first_host(log: &mut CommandLog) -> DueStep {
    let mut fleet = fleet(6, 2, 3);
    fleet.hosts.remove(0);
    log.commit(CommandKind::Fleet(fleet.clone())).unwrap();
    let observation = LeaderObservation {
        fleet,
        leader: "b0".to_string(),
        ..LeaderObservation::default()
    };
    let due = log.state.next_commands(&observation).due;
    let [CommandKind::Step {
        plan,
        machine,
        entered,
        ..
    }] = &due[..]
    else {
        panic!("{due:?}")
    };
    assert!(machine.name() != "c00", "{due:?}");
    DueStep {
        plan: *plan,
        machine: machine.clone(),
        entered: *entered,
    }
}

/// A stage that takes longer than planned is reported as late, and no step follows from it.
fn assert_late_and_not_due(log: &CommandLog) {
    let observation = LeaderObservation {
        fleet: log.state.fleet().clone(),
        leader: "b0".to_string(),
        now_ms: (log.index + 700) * 100,
        ..LeaderObservation::default()
    };
    let NextCommands { due, blocked } = log.state.next_commands(&observation);
    assert!(due.is_empty(), "{due:?}");
    assert!(
        blocked
            .iter()
            .any(|machine| machine.reason.starts_with("late, 70 s of 60: work")),
        "{blocked:?}"
    );
}

/// With two of four voters out nothing could be committed any more, and neither could their return.
#[test]
fn half_of_the_voters_are_no_majority() {
    let mut four = fleet(6, 2, 4);
    for balancer in &mut four.balancers {
        balancer.is_voter = true;
    }
    let mut log = CommandLog::with_fleet(four.clone());
    let two_at_once: Plan = plan(&["balancers"], 2);
    let error = log.commit(CommandKind::Submit(two_at_once)).unwrap_err();
    assert!(error.to_string().contains("leave no majority"), "{error}");
    log.commit(CommandKind::Submit(plan(&["balancers"], 1)))
        .unwrap();
    // One has left by itself, so no other is taken out.
    four.balancers[3].is_present = false;
    four.balancers[3].has_left = true;
    log.commit(CommandKind::Fleet(four.clone())).unwrap();
    let observation = LeaderObservation {
        fleet: four,
        leader: "b0".to_string(),
        ..LeaderObservation::default()
    };
    let due = log.state.next_commands(&observation).due;
    assert!(
        due.iter().all(|kind| !is_step_of_another_than(kind, "b3")),
        "{due:?}"
    );
}

fn is_step_of_another_than(kind: &CommandKind, name: &str) -> bool {
    matches!(kind, CommandKind::Step { machine, .. } if machine.name() != name)
}
