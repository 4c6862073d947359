//! The stored form of a snapshot. The process that writes it and the one that reads it may be of different versions: names
//! in the program may change, this text may not.

use serde_json::Value;
use stairfront_policy::interface::{
    AttemptResult, CacheId, Endpoint, Event, Micros, Outcome, PolicySnapshot, ReportField,
    RequestId, Settings, Tenant, MS, SECOND,
};
use stairfront_test_support::golden::GoldenFiles;
use stairfront_test_support::policy_driver::{
    attempt_result, read_through, ready_list, utilization_report, TestBalancer,
};

fn golden_files() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

const TENANTS: [(f64, f64); 2] = [(400.0, 1.0), (100.0, 2.0)];

fn settings() -> Settings {
    let tenant = |(quota_per_s, share): (f64, f64)| Tenant { quota_per_s, share };
    Settings {
        tenants: TENANTS.map(tenant).to_vec(),
        over_share_weight: 0.2,
        report: vec![ReportField::Utilization],
        ..read_through()
    }
}

/// Caches 0 to 3; cache 1 has started lately.
fn list() -> Vec<Endpoint> {
    let mut list = ready_list(0..4);
    list[1].incarnation = 97 * SECOND;
    list
}

/// Ends the last attempt of a request at a cache that reports its utilization.
fn finish_attempt(
    balancer: &mut TestBalancer,
    id: RequestId,
    outcome: Outcome,
    elapsed: Micros,
    request_finished: bool,
) {
    let Some(cache) = balancer.last_cache(id) else {
        return;
    };
    let attempt = balancer.sent[&id.0].len() as u8 - 1;
    balancer.event(Event::AttemptFinished(AttemptResult {
        request_finished,
        elapsed,
        load: utilization_report(0.25 + 0.125 * cache.0 as f32),
        ..attempt_result(id, attempt, cache, outcome)
    }));
}

/// A balancer in which everything that is handed over has occurred: answers in time and late ones, unanswered and lost
/// attempts, a lifted cordon, and more requests than it had capacity for.
fn busy_balancer() -> TestBalancer {
    let mut balancer = TestBalancer::new(settings(), &list());
    for key in 0..60 {
        balancer.now += 7 * MS;
        let id = balancer.request_from(key as u32 % 2, 0, key % 40, false);
        finish_attempt(
            &mut balancer,
            id,
            Outcome::Served,
            (20 + key as Micros) * MS,
            true,
        );
    }
    // More at once than there is capacity for.
    let burst: Vec<RequestId> = (0..160)
        .map(|key| balancer.request_from(u32::from(key % 4 == 0), 0, 100 + key, false))
        .collect();
    balancer.now += 600 * MS;
    for (i, id) in burst.iter().enumerate() {
        match i % 5 {
            0 => finish_attempt(&mut balancer, *id, Outcome::TimedOut, 600 * MS, true),
            1 => finish_attempt(&mut balancer, *id, Outcome::Errored, 550 * MS, true),
            2 => finish_attempt(&mut balancer, *id, Outcome::Reset, 580 * MS, true),
            _ => finish_attempt(&mut balancer, *id, Outcome::Served, 590 * MS, true),
        }
    }
    for on in [true, false] {
        balancer.now += 11 * MS;
        balancer.event(Event::Cordon {
            cache: CacheId(2),
            on,
        });
    }
    // Placed, but not served yet.
    for key in 300..306 {
        balancer.now += 3 * MS;
        balancer.request_from(0, 0, key, false);
    }
    // Unanswered attempts at each cache, as the last ones.
    for key in 400..424 {
        balancer.now += 40 * MS;
        let id = balancer.request_from(1, 0, key, false);
        finish_attempt(&mut balancer, id, Outcome::TimedOut, 500 * MS, true);
    }
    balancer
}

/// The fields of an object that are empty in every example of it.
fn empty_fields(examples: &[&Value], of: &str) -> Vec<String> {
    let is_empty = |value: &Value| match value {
        Value::Null => true,
        Value::Bool(is) => !is,
        Value::Number(number) => number.as_f64() == Some(0.0),
        Value::Array(values) => values.is_empty(),
        _ => false,
    };
    let names = examples[0].as_object().unwrap().keys();
    let mut empty = Vec::new();
    for name in names {
        let values: Vec<&Value> = examples.iter().map(|example| &example[name]).collect();
        if values.iter().all(|value| is_empty(value)) {
            empty.push(format!("{of}.{name}"));
        } else if values[0].is_object() {
            empty.extend(empty_fields(&values, &format!("{of}.{name}")));
        }
    }
    empty
}

fn text(snapshot: &PolicySnapshot) -> Vec<u8> {
    serde_json::to_vec(snapshot).unwrap()
}

/// A new process with the same list that is given the snapshot at the time of its export.
fn successor(snapshot: &PolicySnapshot) -> TestBalancer {
    let mut balancer = TestBalancer::seeded(settings(), &list(), 99);
    balancer.now = snapshot.at;
    balancer.event(Event::Inherited(snapshot));
    balancer
}

/// Rounds every fraction to a whole number of 64ths, none of them to 0: those are written in few digits and read exactly.
fn rounded(value: Value) -> Value {
    match value {
        Value::Number(number) if number.is_f64() => {
            let number = number.as_f64().unwrap();
            let even = (number * 64.0).round() / 64.0;
            Value::from(if even == 0.0 && number != 0.0 {
                1.0 / 64.0
            } else {
                even
            })
        }
        Value::Array(values) => values.into_iter().map(rounded).collect(),
        Value::Object(fields) => Value::Object(
            fields
                .into_iter()
                .map(|(name, value)| (name, rounded(value)))
                .collect(),
        ),
        other => other,
    }
}

/// Whether two values are equal, but for the last digits of fractions.
fn nearly_equal(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) if a.is_f64() && b.is_f64() => {
            let (a, b) = (a.as_f64().unwrap(), b.as_f64().unwrap());
            (a - b).abs() <= 4.0 * f64::EPSILON * a.abs()
        }
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| nearly_equal(a, b))
        }
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len()
                && a.iter()
                    .zip(b)
                    .all(|((m, a), (n, b))| m == n && nearly_equal(a, b))
        }
        (a, b) => a == b,
    }
}

/// Asserts that no field of the snapshot is empty throughout.
fn assert_filled(snapshot: &PolicySnapshot) {
    let whole: Value = serde_json::from_slice(&text(snapshot)).unwrap();
    let servers: Vec<&Value> = whole["servers"].as_array().unwrap().iter().collect();
    let mut empty = empty_fields(&[&whole], "snapshot");
    empty.extend(empty_fields(&servers, "server"));
    assert_eq!(empty, Vec::<String>::new(), "{whole:#}");
    let held = |is: bool| {
        whole["placements"]
            .as_array()
            .unwrap()
            .iter()
            .any(|of| of[3] == is)
    };
    assert!(held(true) && held(false));
}

/// Servers are ordered by their numbers, placements by time and key, and there is no map in a snapshot, so the bytes are
/// compared as they are.
///
/// Fractions of many digits may differ in the last bit after reading, since the JSON reader rounds them so. Only that is
/// allowed here, and nothing in the next test.
#[test]
fn a_snapshot_is_written_and_read_as_pinned() {
    let balancer = busy_balancer();
    let snapshot = balancer.policy.snapshot(balancer.now);
    assert_filled(&snapshot);
    let pinned = golden_files().assert_bytes("knowledge.json", &text(&snapshot));
    let read: PolicySnapshot = serde_json::from_slice(&pinned).unwrap();
    let value = |text: &[u8]| -> Value { serde_json::from_slice(text).unwrap() };
    assert!(nearly_equal(&value(&text(&read)), &value(&text(&snapshot))));
    // At the time of the export nothing has aged, and the successor knows nothing else.
    let next = successor(&read).policy.snapshot(read.at);
    assert_eq!(next, read);
    assert_eq!(text(&next), text(&read));
}

/// The same with fractions that are read exactly: a pinned snapshot passes through a process unchanged, byte for byte.
#[test]
fn a_pinned_snapshot_passes_through_a_new_process_unchanged() {
    let balancer = busy_balancer();
    let driven = serde_json::to_value(balancer.policy.snapshot(balancer.now)).unwrap();
    let snapshot: PolicySnapshot = serde_json::from_value(rounded(driven)).unwrap();
    assert_filled(&snapshot);
    let pinned = golden_files().assert_bytes("knowledge_even.json", &text(&snapshot));
    let read: PolicySnapshot = serde_json::from_slice(&pinned).unwrap();
    assert_eq!(read, snapshot);
    let next = successor(&read).policy.snapshot(read.at);
    assert_eq!(next, snapshot);
    assert_eq!(text(&next), pinned);
}
