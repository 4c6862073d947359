//! What the decision module of one process leaves to that of the next, as it was pinned. The two may be of different
//! builds: names in the program may change, this text may not.
mod common;
mod golden;

use common::*;
use serde_json::Value;
use stairfront_policy::interface::*;

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

/// Caches 0 to 3; that at 1 has started lately.
fn list() -> Vec<Endpoint> {
    let mut list = ready_list(0..4);
    list[1].incarnation = 97 * SECOND;
    list
}

/// How an attempt ends whose cache tells how busy it is.
fn settle(
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
    let load = LoadReport {
        len: 1,
        values: [0.25 + 0.125 * cache.0 as f32, 0.0, 0.0, 0.0],
    };
    let cache_status = CacheStatus::Hit;
    balancer.event(Event::AttemptFinished(AttemptResult {
        id,
        attempt,
        cache,
        outcome,
        request_finished,
        elapsed,
        cache_status,
        load,
    }));
}

/// A balancer in which each thing that is handed over has happened: caches served, late, silent and lost, one called
/// back from a cordon, and more asked of it than it had room for.
fn busy() -> TestBalancer {
    let mut balancer = TestBalancer::new(settings(), &list());
    for key in 0..60 {
        balancer.now += 7 * MS;
        let id = balancer.request_from(key as u32 % 2, 0, key % 40, false);
        settle(
            &mut balancer,
            id,
            Outcome::Served,
            (20 + key as Micros) * MS,
            true,
        );
    }
    // More at once than there is room for.
    let crowd: Vec<RequestId> = (0..160)
        .map(|key| balancer.request_from(u32::from(key % 4 == 0), 0, 100 + key, false))
        .collect();
    balancer.now += 600 * MS;
    for (i, id) in crowd.iter().enumerate() {
        match i % 5 {
            0 => settle(&mut balancer, *id, Outcome::TimedOut, 600 * MS, true),
            1 => settle(&mut balancer, *id, Outcome::Errored, 550 * MS, true),
            2 => settle(&mut balancer, *id, Outcome::Reset, 580 * MS, true),
            _ => settle(&mut balancer, *id, Outcome::Served, 590 * MS, true),
        }
    }
    for on in [true, false] {
        balancer.now += 11 * MS;
        balancer.event(Event::Cordon {
            cache: CacheId(2),
            on,
        });
    }
    // Placed, and not served yet.
    for key in 300..306 {
        balancer.now += 3 * MS;
        balancer.request_from(0, 0, key, false);
    }
    // Without a word at each, as the last thing.
    for key in 400..424 {
        balancer.now += 40 * MS;
        let id = balancer.request_from(1, 0, key, false);
        settle(&mut balancer, id, Outcome::TimedOut, 500 * MS, true);
    }
    balancer
}

/// The fields of an object that no example of it has filled.
fn unfilled(examples: &[&Value], of: &str) -> Vec<String> {
    let empty = |value: &Value| match value {
        Value::Null => true,
        Value::Bool(is) => !is,
        Value::Number(number) => number.as_f64() == Some(0.0),
        Value::Array(values) => values.is_empty(),
        _ => false,
    };
    let names = examples[0].as_object().unwrap().keys();
    let mut lacking = Vec::new();
    for name in names {
        let values: Vec<&Value> = examples.iter().map(|example| &example[name]).collect();
        if values.iter().all(|value| empty(value)) {
            lacking.push(format!("{of}.{name}"));
        } else if values[0].is_object() {
            lacking.extend(unfilled(&values, &format!("{of}.{name}")));
        }
    }
    lacking
}

fn text(known: &PolicySnapshot) -> Vec<u8> {
    serde_json::to_vec(known).unwrap()
}

/// A new process with the same list, told of this at the same time.
fn heir(known: &PolicySnapshot) -> TestBalancer {
    let mut balancer = TestBalancer::seeded(settings(), &list(), 99);
    balancer.now = known.at;
    balancer.event(Event::Inherited(known));
    balancer
}

/// Every fraction moved to a whole number of 64ths, none of them to 0: such ones are written in few digits and read
/// exactly.
fn evened(value: Value) -> Value {
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
        Value::Array(values) => values.into_iter().map(evened).collect(),
        Value::Object(fields) => Value::Object(
            fields
                .into_iter()
                .map(|(name, value)| (name, evened(value)))
                .collect(),
        ),
        other => other,
    }
}

/// Equal, but for the last digits of fractions.
fn near(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) if a.is_f64() && b.is_f64() => {
            let (a, b) = (a.as_f64().unwrap(), b.as_f64().unwrap());
            (a - b).abs() <= 4.0 * f64::EPSILON * a.abs()
        }
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| near(a, b))
        }
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|((m, a), (n, b))| m == n && near(a, b))
        }
        (a, b) => a == b,
    }
}

/// Fails where the knowledge lacks an example of something.
fn assert_filled(known: &PolicySnapshot) {
    let whole: Value = serde_json::from_slice(&text(known)).unwrap();
    let servers: Vec<&Value> = whole["servers"].as_array().unwrap().iter().collect();
    let mut lacking = unfilled(&[&whole], "knowledge");
    lacking.extend(unfilled(&servers, "server"));
    assert_eq!(lacking, Vec::<String>::new(), "{whole:#}");
    let held = |is: bool| {
        whole["placements"]
            .as_array()
            .unwrap()
            .iter()
            .any(|of| of[3] == is)
    };
    assert!(held(true) && held(false));
}

/// What a driven decision module tells. Servers stand by their numbers, placements by their time and key, and there is no
/// map in it, so that the bytes are compared as they are.
///
/// Read again, fractions of many digits may differ in the last bit, since the JSON reader rounds them so; that alone is
/// allowed here. The next test allows nothing.
#[test]
fn a_snapshot_is_written_and_read_as_pinned() {
    let balancer = busy();
    let known = balancer.policy.snapshot(balancer.now);
    assert_filled(&known);
    let pinned = golden::same("knowledge.json", &text(&known));
    let read: PolicySnapshot = serde_json::from_slice(&pinned).unwrap();
    let value = |text: &[u8]| -> Value { serde_json::from_slice(text).unwrap() };
    assert!(near(&value(&text(&read)), &value(&text(&known))));
    // Told at the same time, so that nothing has aged; the heir has nothing from elsewhere.
    let next = heir(&read).policy.snapshot(read.at);
    assert_eq!(next, read);
    assert_eq!(text(&next), text(&read));
}

/// The same with fractions that are read exactly: what is pinned goes through a process unchanged, byte for byte.
#[test]
fn a_pinned_snapshot_passes_through_a_new_process_unchanged() {
    let balancer = busy();
    let driven = serde_json::to_value(balancer.policy.snapshot(balancer.now)).unwrap();
    let known: PolicySnapshot = serde_json::from_value(evened(driven)).unwrap();
    assert_filled(&known);
    let pinned = golden::same("knowledge_even.json", &text(&known));
    let read: PolicySnapshot = serde_json::from_slice(&pinned).unwrap();
    assert_eq!(read, known);
    let next = heir(&read).policy.snapshot(read.at);
    assert_eq!(next, known);
    assert_eq!(text(&next), pinned);
}
