//! Arrivals, clients and fault scripts follow their settings, and are the same for the same seed.
use std::sync::Arc;

use stairfront_common::time::{MS, SECOND};
use stairfront_emulator::arrivals::{
    Arrival, Arrivals, Burst, HotKey, Popularity, TenantTraffic, Traffic,
};
use stairfront_emulator::client::{
    ClassSettings, ClientSettings, Clients, Idempotency, Outcome, RetrySettings,
};
use stairfront_emulator::faults::{
    Fault, FaultAction, FaultScript, FaultScriptError, HostTarget, ScheduledAction, ScriptTargets,
    TimedFault,
};

fn tenant(name: &str, share: f64, times: f64, over_at_s: f64) -> TenantTraffic {
    TenantTraffic {
        name: name.to_string(),
        share,
        factor: times,
        overload_at_s: over_at_s,
        overload_duration_s: 1e9,
    }
}

fn traffic() -> Traffic {
    Traffic {
        rate: 2000.0,
        keys: 500,
        zipf: 1.0,
        bursts: vec![Burst {
            at_s: 10.0,
            duration_s: 5.0,
            factor: 3.0,
            ramp: false,
        }],
        hot_keys: vec![HotKey {
            at_s: 0.0,
            duration_s: 5.0,
            fraction: 0.3,
        }],
        tenants: vec![
            tenant("fair", 0.5, 1.0, 0.0),
            tenant("greedy", 0.5, 3.0, 5.0),
        ],
        classes: vec![0.9, 0.1],
        ..Traffic::default()
    }
}

fn arrivals(seed: u64, sources: usize) -> Vec<Arrival> {
    let popularity = Arc::new(Popularity::new(500, 1.0));
    let of = |source| {
        let mut all = Arrivals::new(traffic(), Arc::clone(&popularity), seed, source, sources);
        std::iter::from_fn(move || all.next_before(20 * SECOND))
    };
    (0..sources).flat_map(of).collect()
}

#[test]
fn arrivals_repeat_for_a_seed_and_follow_the_traffic_settings() {
    let all = arrivals(1, 2);
    assert_eq!(all, arrivals(1, 2));
    assert_ne!(all, arrivals(2, 2));
    let count = |wanted: &dyn Fn(&Arrival) -> bool| {
        all.iter().filter(|arrival| wanted(arrival)).count() as f64
    };
    let within = |a: f64, wanted: f64| assert!((a / wanted - 1.0).abs() < 0.06, "{a} for {wanted}");
    let second = |arrival: &Arrival| arrival.at / SECOND;
    within(count(&|a| second(a) < 5), 10_000.0);
    // From 5 s on one of the two tenants sends three times its half.
    within(count(&|a| (5..10).contains(&second(a))), 20_000.0);
    within(
        count(&|a| (5..10).contains(&second(a)) && a.tenant == 1),
        15_000.0,
    );
    within(count(&|a| (10..15).contains(&second(a))), 60_000.0);
    within(count(&|a| second(a) < 5 && a.key == 500), 3_000.0);
    assert_eq!(count(&|a| second(a) >= 5 && a.key == 500), 0.0);
    within(count(&|a| a.class == 1), all.len() as f64 * 0.1);
    // By Zipf's law with exponent 1 over 500 keys the first key has a fraction of 1/6.79.
    within(
        count(&|a| second(a) >= 5 && a.key == 0),
        count(&|a| second(a) >= 5) / 6.79,
    );
}

#[test]
fn retries_honor_retry_after_and_attempts_are_timed_from_their_due_time() {
    let class = |aim_ms, deadline_ms| ClassSettings {
        name: "read".into(),
        latency_objective_ms: aim_ms,
        deadline_ms,
        idempotency: Idempotency::Idempotent,
        write: false,
        priority_weight: 1.0,
        value_bytes: 0,
    };
    let popularity = Arc::new(Popularity::new(500, 1.0));
    let arrivals = Arrivals::new(traffic(), popularity, 1, 0, 1);
    let retry = RetrySettings {
        max_retries: 1,
        backoff_ms: 100.0,
        honor_retry_after: true,
        mark_retries: true,
    };
    let mut clients = Clients::new(
        arrivals,
        ClientSettings {
            classes: &[class(50.0, 500.0), class(50.0, 500.0)],
            retry,
            seed: 1,
            source: 0,
            end: 20 * SECOND,
        },
    );
    let due = clients.next_due().unwrap();
    let first = clients.take_due(SECOND).unwrap();
    assert_eq!(
        (first.due, first.deadline, first.retry),
        (due, due + 500 * MS, 0),
        "however late it was taken"
    );
    assert!(clients.record_outcome(
        SECOND,
        &first,
        Outcome::Rejected {
            retry_after_ms: Some(40)
        }
    ));
    let retry = std::iter::from_fn(|| clients.take_due(2 * SECOND))
        .find(|attempt| attempt.retry == 1)
        .unwrap();
    assert_eq!(
        (retry.due, retry.first_due, retry.key),
        (SECOND + 40 * MS, first.due, first.key)
    );
    assert_ne!(retry.id, first.id);
    assert!(
        !clients.record_outcome(2 * SECOND, &retry, Outcome::Failed),
        "it retries once at most"
    );
    assert!(!clients.record_outcome(2 * SECOND, &first, Outcome::Served));
}

fn timed(fault: Fault, targets: &[&str], fraction: f64) -> TimedFault {
    TimedFault {
        at_s: 2.0,
        duration_s: 3.0,
        targets: targets.iter().map(|name| name.to_string()).collect(),
        fraction,
        fault,
    }
}

/// The script of one fault, for eight hosts in two zones and two balancers.
fn script(fault: TimedFault, seed: u64) -> Result<FaultScript, FaultScriptError> {
    let hosts = (0..8)
        .map(|i| HostTarget {
            name: format!("c{i}"),
            zone: ["a", "b"][i % 2].to_string(),
        })
        .collect();
    let targets = ScriptTargets {
        hosts,
        balancers: 2,
    };
    FaultScript::build(&[fault], &targets, seed)
}

fn killed_hosts(script: &FaultScript) -> Vec<usize> {
    let killed = |step: &ScheduledAction| match step.action {
        FaultAction::Kill { host } => Some(host),
        _ => None,
    };
    script.steps.iter().filter_map(killed).collect()
}

#[test]
fn a_script_repeats_for_a_seed_and_rejects_unknown_targets() {
    let slow = timed(Fault::Slow { factor: 4.0 }, &[], 0.25);
    let first = script(slow.clone(), 1).unwrap();
    assert_eq!(first, script(slow.clone(), 1).unwrap());
    assert!(
        (2..20).any(|seed| script(slow.clone(), seed).unwrap() != first),
        "other seeds draw other hosts"
    );
    assert_eq!(
        first.steps.len(),
        4,
        "a quarter of eight hosts, each slow and normal again"
    );
    let zone_lost = script(timed(Fault::ZoneLost, &["b"], 0.0), 1).unwrap();
    assert_eq!(killed_hosts(&zone_lost), [1, 3, 5, 7]);
    let unknown = script(timed(Fault::Killed, &["c9"], 0.0), 1)
        .unwrap_err()
        .to_string();
    assert!(
        unknown.starts_with("faults[0].on: ") && unknown.contains("c9"),
        "{unknown}"
    );
    assert!(script(timed(Fault::BalancerKilled, &["2"], 0.0), 1).is_err());
    assert!(script(timed(Fault::Slow { factor: f64::NAN }, &[], 0.0), 1).is_err());
}

#[test]
fn a_deploy_wave_starts_each_group_again_before_the_next() {
    let wave = Fault::DeployWave {
        at_a_time: 2,
        each_s: 4.0,
    };
    let wave = script(timed(wave, &[], 0.0), 1).unwrap();
    let mut down = 0;
    for step in &wave.steps {
        match step.action {
            FaultAction::Kill { .. } => down += 1,
            FaultAction::Start { .. } => down -= 1,
            _ => {}
        }
        assert!(down <= 2);
    }
    assert_eq!(killed_hosts(&wave).len(), 8);
}
