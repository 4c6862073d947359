//! Drawn troubles between processes of the program, judged by an observer that believes none of them, with clients and
//! the four rules beside it.
use std::path::PathBuf;

use stairfront_lab::compare;
use stairfront_lab::experiment::Experiment;
use stairfront_lab::process::Build;
use stairfront_lab::run::{Outcome, Progress, RunEnvironment};

fn lab(text: &str, seed: u64) -> Outcome {
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

fn script(seed: u64, members: usize) -> Outcome {
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
    let outcome = lab(&text, seed);
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
    let figures = &group.report.metrics;
    assert!(
        figures.judged_alive > 100 && figures.judged_quorum > 20,
        "{figures:?}"
    );
    assert!(figures.complete_after_ms.is_some(), "{figures:?}");
    outcome
}

#[test]
fn five_members_through_drawn_troubles() {
    script(11, 5);
}

#[test]
fn seven_members_through_drawn_troubles() {
    script(12, 7);
}

#[test]
fn nine_members_through_drawn_troubles() {
    script(13, 9);
}

/// A kill, a pause and a split in one run: each is found, and the requests of the others do not notice. The observer's
/// figures show that there was something to find.
#[test]
fn a_kill_a_pause_and_a_split_are_found_and_no_request_is_lost_for_them() {
    let outcome = lab(
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
    let figures = &group.report.metrics;
    assert!(
        group.detected_ms.len() >= 5 && figures.judged_dead > 0,
        "{:?} {figures:?}",
        group.detected_ms
    );
    assert!(figures.judged_quorum > 50, "{figures:?}");
    assert!(
        figures.complete_after_ms.is_some_and(|ms| ms < 4000.0),
        "{figures:?}"
    );
}
