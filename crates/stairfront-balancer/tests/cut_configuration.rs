//! Files for a running balancer that are short of something, alone and beside changes that are allowed: a key of any depth,
//! a line, or the end. Each is rejected as a whole, since what is left of it would be taken as it stands.
use std::collections::BTreeSet;

use serde_json::{json, Value};
use stairfront_balancer::configuration::config::Config;

/// How a file writes a class, by its name and effect.
type ClassForm = fn(&str, &str) -> Value;

/// A file of the platform with all keys that its pages name.
fn platform_file() -> Value {
    let host = |name: &str, port: u16| {
        json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "a", "type": "m1", "group": 3,
               "status": "SERVING", "weight": 1.0, "since_ms": 0})
    };
    json!({
        "name": "n3", "listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "ops": "127.0.0.1:8600",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 41, "snapshot": true, "endpoints": [host("s-1", 7001), host("s-2", 7002)]},
        "settings": {
            "areas": ["a", "b", "c"],
            "caps": {"cancel": true, "connect_timeout": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 800_000,
                     "keepalive": 60_000.0, "max_retry_after": 1500.0, "max_streams": 100, "may_duplicate": false,
                     "most_tries": 3, "open_cap": 20_000, "peer_messages": false, "probes": true,
                     "retry_after": true},
            "clients": {"marks_retry": false},
            "counted_by": "request",
            "family": "cache",
            "family_info": {"mode": "aside", "notes": "1 hit, 2 miss", "origin_fall": 3000.0,
                            "origin_fall_multiple": 0.0, "origin_kind": 2, "report_x0": "hits",
                            "report_x1": "fetches"},
            "fees": {"connection": 0.0, "cross_zone": 0.03, "late_fail": 0.093},
            "layer": 0, "locality": 2, "me": 0, "models": ["m1", "m2", "origin"], "over_share_worth": 0.2,
            "profiles": [class("read", "free"), class("put", "guarded"), class("pay", "single_shot")],
            "registry_mode": "push", "replicas_of_me": 4,
            "report": {"fields": ["throughput", "utilization", "x1"], "how": "inline"},
            "rules": {"answer_slack": 20.0, "ask_every": 10_000.0, "cold_from": 0.12, "fall": 3000.0,
                      "fall_multiple": 3.0, "stop_sending_within": 250.0, "warm_up": 24_000.0},
            "score_parts": {"whole": 0.6, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.15},
            "tenants": [{"name": "acme", "quota_rps": 73.0, "share": 0.5},
                        {"name": "zeta", "quota_rps": 46.0, "share": 0.5}],
            "tick": 5.0, "tiers": ["cache"], "weights": "rough"
        }
    })
}

/// A class with the keys of all effects, as the platform writes it.
fn class(name: &str, semantics: &str) -> Value {
    json!({"name": name, "semantics": semantics, "group": "all", "key_ttl": 5000.0, "aim": 750.0, "deadline": 1500.0,
           "late_worth": 0.0, "stream": false, "worth": 1.0})
}

/// A class that has these keys only with the effect that needs them.
fn sparse_class(name: &str, semantics: &str) -> Value {
    let mut class = class(name, semantics);
    if semantics != "guarded" {
        let keys = class.as_object_mut().unwrap();
        keys.remove("group");
        keys.remove("key_ttl");
    }
    class
}

fn sparse_file() -> Value {
    let mut file = platform_file();
    file["settings"]["profiles"] = json!([
        sparse_class("read", "free"),
        sparse_class("put", "guarded"),
        sparse_class("book", "guarded"),
        sparse_class("pay", "single_shot")
    ]);
    file
}

/// Changes that a running balancer takes over, each of a file that has these classes.
fn allowed_changes(old: &Value, class: ClassForm) -> Vec<(&'static str, Value)> {
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut file = old.clone();
        change(&mut file);
        file
    };
    let profiles = |file: &mut Value, change: &dyn Fn(&mut Vec<Value>)| {
        change(file["settings"]["profiles"].as_array_mut().unwrap());
    };
    vec![
        ("none", old.clone()),
        (
            "a class is added",
            changed(&|file| profiles(file, &|all| all.insert(1, class("new", "free")))),
        ),
        (
            "a keyed class is added",
            changed(&|file| profiles(file, &|all| all.push(class("new", "guarded")))),
        ),
        (
            "a class is dropped",
            changed(&|file| profiles(file, &|all| drop(all.remove(0)))),
        ),
        (
            "classes change places",
            changed(&|file| profiles(file, &|all| all.reverse())),
        ),
        (
            "a keyed class becomes free",
            changed(&|file| profiles(file, &|all| all[1] = class("put", "free"))),
        ),
        (
            "a free class becomes keyed",
            changed(&|file| profiles(file, &|all| all[0] = class("read", "guarded"))),
        ),
        (
            "a class that must not run twice becomes free",
            changed(&|file| profiles(file, &|all| *all.last_mut().unwrap() = class("pay", "free"))),
        ),
        (
            "attempts",
            changed(&|file| file["settings"]["caps"]["most_tries"] = 5.into()),
        ),
        (
            "discovery moves",
            changed(&|file| file["discovery"] = "127.0.0.1:8501".into()),
        ),
        ("a later seed", changed(&|file| file["seed"] = "77".into())),
        (
            "a later list",
            changed(&|file| {
                let hosts = file["known"]["endpoints"].as_array_mut().unwrap();
                hosts.remove(0);
                hosts[0]["status"] = "DRAINING".into();
            }),
        ),
    ]
}

fn read(text: &str) -> Option<Config> {
    Config::from_text("config.json", text).ok()
}

fn running_with(file: &Value) -> Config {
    read(&file.to_string()).expect("it runs with it")
}

/// Whether a running balancer takes a file.
fn is_accepted(running: &Config, new: &str) -> bool {
    read(new).is_some_and(|new| running.accept_successor(new).is_ok())
}

/// A text without one of its lines, and without the comma that this leaves at the end of an object or a list.
fn without_line(lines: &[&str], gone: usize) -> [String; 2] {
    let mut rest: Vec<&str> = [&lines[..gone], &lines[gone + 1..]].concat();
    let torn = rest.join("\n");
    let next = rest.get(gone).map_or("", |line| line.trim_start());
    if gone > 0 && next.starts_with(['}', ']']) {
        rest[gone - 1] = rest[gone - 1].trim_end_matches(',');
    }
    [torn, rest.join("\n")]
}

/// The pointers of all keys of all objects.
fn pointers(value: &Value) -> BTreeSet<String> {
    let entries: Vec<(String, &Value)> = match value {
        Value::Object(keys) => keys
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        Value::Array(entries) => (0..).map(|i: usize| i.to_string()).zip(entries).collect(),
        _ => Vec::new(),
    };
    let mut found = BTreeSet::new();
    for (name, below) in entries {
        found.extend(
            pointers(below)
                .iter()
                .map(|pointer| format!("/{name}{pointer}")),
        );
        if value.is_object() {
            found.insert(format!("/{name}"));
        }
    }
    found
}

fn without(file: &Value, pointer: &str) -> Value {
    let mut file = file.clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = file.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    parent.remove(key).unwrap();
    file
}

#[test]
fn a_file_short_of_any_one_key_is_rejected_alone_and_beside_other_changes() {
    let files: [(Value, ClassForm); 2] = [(platform_file(), class), (sparse_file(), sparse_class)];
    let mut taken = Vec::new();
    let mut tried = 0;
    for (old, class) in files {
        let running = running_with(&old);
        for (change, new) in allowed_changes(&old, class) {
            assert!(
                is_accepted(&running, &new.to_string()),
                "not accepted: {change}"
            );
            for pointer in pointers(&new) {
                tried += 1;
                if is_accepted(&running, &without(&new, &pointer).to_string()) {
                    taken.push(format!("{change}: without {pointer}"));
                }
                let mut emptied = new.clone();
                *emptied.pointer_mut(&pointer).unwrap() = Value::Null;
                if is_accepted(&running, &emptied.to_string()) {
                    taken.push(format!("{change}: {pointer} without a value"));
                }
            }
        }
    }
    assert!(tried > 2000, "{tried} keys");
    assert_eq!(taken, [""; 0], "{} of {tried}", taken.len());
}

#[test]
fn a_file_short_of_any_one_line_or_of_its_end_is_rejected() {
    let files: [(Value, ClassForm); 2] = [(platform_file(), class), (sparse_file(), sparse_class)];
    let mut taken = Vec::new();
    let mut tried = 0;
    for (old, class) in files {
        let running = running_with(&old);
        for (change, new) in allowed_changes(&old, class) {
            let text = serde_json::to_string_pretty(&new).unwrap();
            let lines: Vec<&str> = text.lines().collect();
            for gone in 0..lines.len() {
                tried += 1;
                for rest in without_line(&lines, gone) {
                    if is_accepted(&running, &rest) {
                        taken.push(format!("{change}: line {gone}, {}", lines[gone]));
                    }
                }
                if is_accepted(&running, &lines[..gone].join("\n")) {
                    taken.push(format!("{change}: all from line {gone} on"));
                }
            }
        }
    }
    assert!(tried > 2000, "{tried} lines");
    assert_eq!(taken, [""; 0], "{} of {tried}", taken.len());
}

/// Both keys go with the effect, or none of them.
#[test]
fn keys_that_go_with_an_effect_are_not_missing_where_it_changes() {
    let old = platform_file();
    let running = running_with(&old);
    let [group, key_ttl] = ["group", "key_ttl"].map(|key| format!("/settings/profiles/1/{key}"));
    let mut new = old.clone();
    new["settings"]["profiles"][1]["semantics"] = "free".into();
    assert!(is_accepted(&running, &new.to_string()), "the keys stay");
    for key in [&group, &key_ttl] {
        let one_gone = without(&new, key).to_string();
        assert!(!is_accepted(&running, &one_gone), "only {key} is gone");
    }
    let both_gone = without(&without(&new, &group), &key_ttl);
    assert!(is_accepted(&running, &both_gone.to_string()));
    // The effect of another class does not excuse it.
    let mut elsewhere = without(&without(&old, &group), &key_ttl);
    elsewhere["settings"]["profiles"][2]["semantics"] = "free".into();
    assert!(!is_accepted(&running, &elsewhere.to_string()));
}

/// What a file brought that was accepted since the start is missed as well.
#[test]
fn a_key_of_the_last_accepted_file_is_missed_although_the_first_file_lacked_it() {
    let first = without(&platform_file(), "/ops");
    let mut running = read(&first.to_string()).unwrap();
    let second = running.accept_successor(read(&platform_file().to_string()).unwrap());
    running.note_accepted(second.unwrap());
    assert!(running
        .accept_successor(read(&first.to_string()).unwrap())
        .is_err());
}
