//! Random faults between balancer processes. An observer that trusts no process judges their reports, and the four rules
//! are checked on the requests of clients.
use std::path::PathBuf;

use stairfront_lab::compare;
use stairfront_lab::experiment::Experiment;
use stairfront_lab::process::Build;
use stairfront_lab::run::{Outcome, Progress, RunEnvironment};

fn run_experiment(text: &str, seed: u64) -> Outcome {
    let around = RunEnvironment {
        balancer: Build {
            program: PathBuf::from(env!("CARGO_BIN_EXE_stairfront")),
            arguments: vec!["serve".to_string()],
        },
        baseline: PathBuf::new(),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        progress: Progress::Nothing,
    };
    let mut experiment = Experiment::from_text("test.toml", text).unwrap();
    experiment.seeds = vec![seed];
    compare::experiment(&experiment, &around)
        .unwrap()
        .runs
        .remove(0)
}

fn run_random_faults(seed: u64, members: usize) -> Outcome {
    let text = format!(
        r#"
        name = "drawn"
        seconds = 30
        warm_up_s = 1
        fleet = {{ caches = 3, cache = {{ has_all = true, hit = {{ mean_ms = 1 }} }} }}
        balancers = {{ count = {members} }}
        classes = [{{ name = "read", aim_ms = 500, deadline_ms = 1000 }}]
        clients = {{ traffic = {{ rate = 100 }}, habits = {{ connections = 2 }} }}
        [group]
        drawn = {{ troubles = 5, span_s = 15, longest_s = 9, processes = true }}
        first_s = 5
        orders_every_s = 2.5
        "#
    );
    let outcome = run_experiment(&text, seed);
    let group = outcome.group.as_ref().unwrap();
    assert!(
        outcome.rules.holds(),
        "seed {seed}: {:?}\n{:?}",
        group.script,
        outcome.rules
    );
    assert_eq!(
        group.report.violations,
        0,
        "seed {seed}: {}\n{}",
        group.script.join("\n"),
        group.report.examples.join("\n")
    );
    let metrics = &group.report.metrics;
    assert!(
        metrics.judged_alive > 100 && metrics.judged_quorum > 20,
        "{metrics:?}"
    );
    assert!(metrics.complete_after_ms.is_some(), "{metrics:?}");
    outcome
}

#[test]
fn random_faults_among_five_members_break_no_rule() {
    run_random_faults(11, 5);
}

#[test]
fn random_faults_among_seven_members_break_no_rule() {
    run_random_faults(12, 7);
}

#[test]
fn random_faults_among_nine_members_break_no_rule() {
    run_random_faults(13, 9);
}

/// The observer's counts show that there were faults to detect.
#[test]
fn a_kill_a_pause_and_a_split_are_detected_and_break_no_rule() {
    let outcome = run_experiment(
        r#"
        name = "known"
        seconds = 34
        warm_up_s = 1
        fleet = { caches = 3, cache = { has_all = true, hit = { mean_ms = 1 } } }
        balancers = { count = 7 }
        classes = [{ name = "read", aim_ms = 500, deadline_ms = 1000 }]
        clients = { traffic = { rate = 100 }, habits = { connections = 2 } }
        [group]
        rubbish_per_s = 500
        troubles = [
          { at_ms = 4000, lasts_ms = 8000, trouble = { kind = "kill", who = [6], empty = true } },
          { at_ms = 5000, lasts_ms = 7000, trouble = { kind = "pause", who = 1 } },
          { at_ms = 15000, lasts_ms = 9000, trouble = { kind = "split", side = [0, 2, 4] } },
        ]
        "#,
        1,
    );
    let group = outcome.group.as_ref().unwrap();
    assert!(outcome.rules.holds(), "{:?}", outcome.rules);
    assert_eq!(
        group.report.violations,
        0,
        "{}",
        group.report.examples.join("\n")
    );
    let metrics = &group.report.metrics;
    assert!(
        group.detected_ms.len() >= 5 && metrics.judged_dead > 0,
        "{:?} {metrics:?}",
        group.detected_ms
    );
    assert!(metrics.judged_quorum > 50, "{metrics:?}");
    assert!(
        metrics.complete_after_ms.is_some_and(|ms| ms < 4000.0),
        "{metrics:?}"
    );
}
