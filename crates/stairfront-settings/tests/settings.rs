//! The settings: defaults, units and errors that name the key at fault.
use serde_json::{json, Value};
use stairfront_policy::interface::{CacheMode, Discovery, Group, Kind, Semantics, Zone, MS, SECOND};
use stairfront_settings::Start;

fn least() -> Value {
    json!({"profiles": [{"name": "read", "semantics": "free", "aim": 750.0, "deadline": 1500.0}], "rules": {}})
}

#[test]
fn absent_keys_get_their_defaults() {
    let start = Start::from_value(least()).unwrap();
    let settings = &start.settings;
    assert_eq!((settings.mode, settings.discovery), (CacheMode::Through, Discovery::Push));
    assert_eq!((settings.balancers, settings.limits.most_attempts, settings.zone), (1, 1, Zone(0)));
    assert_eq!((settings.classes[0].worth, settings.classes[0].late_worth), (1.0, 0.0));
    assert_eq!((start.host.open_requests, start.host.idle), (20_000, 15 * SECOND));
    assert!(!settings.sized);
}

#[test]
fn what_is_set_is_read_with_its_unit() {
    let mut text = least();
    text["tick"] = 5.0.into();
    text["locality"] = 2.into();
    text["registry_mode"] = "ask".into();
    text["family_info"] = json!({"mode": "aside", "origin_kind": 2});
    text["caps"] =
        json!({"most_tries": 3, "retry_after": true, "max_retry_after": 1500.0, "keepalive": 60000.0});
    text["profiles"][0]["semantics"] = "guarded".into();
    text["profiles"][0]["group"] = "zone".into();
    text["profiles"][0]["key_ttl"] = 600.0.into();
    text["tenants"] = json!([{"name": "acme", "quota_rps": 73.0, "share": 0.33}]);
    text["report"] = json!({"fields": ["utilization", "x1"]});
    let start = Start::from_text(&text.to_string()).unwrap();
    let settings = &start.settings;
    assert_eq!((settings.tick, settings.zone, settings.discovery), (5 * MS, Zone(2), Discovery::Ask));
    assert_eq!(settings.mode, CacheMode::Aside { origin: Kind(2) });
    assert_eq!(settings.limits.max_retry_after, 1500 * MS);
    assert_eq!(settings.classes[0].semantics, Semantics::Guarded { group: Group::Zone, key_ttl: 600 * MS });
    assert_eq!(start.host.idle, 60 * SECOND);
    assert_eq!((start.names.classes, start.names.tenants), (vec!["read".into()], vec!["acme".into()]));
    assert_eq!(start.names.report, ["utilization", "x1"]);
}

#[test]
fn advice_on_retries_is_given_only_where_it_is_conveyed() {
    let mut text = least();
    text["caps"] = json!({"retry_after": false, "max_retry_after": 1500.0});
    assert_eq!(Start::from_value(text).unwrap().settings.limits.max_retry_after, 0);
}

#[test]
fn an_error_names_the_key() {
    let cases: [(&str, Value, &str); 10] = [
        ("/profiles/0/aim", "soon".into(), "profiles[0].aim: "),
        ("/profiles/0/aim", 0.into(), "profiles[0].aim: must be a time in milliseconds above 0"),
        ("/profiles/0/deadline", 1e12.into(), "profiles[0].deadline: "),
        ("/profiles/0/semantics", "odd".into(), "profiles[0].semantics: unknown word \"odd\""),
        ("/caps", json!({"keepalive": 0}), "caps.keepalive: "),
        ("/caps", json!({"open_cap": 0}), "caps.open_cap: must be above 0"),
        ("/caps", json!({"most_tries": 0}), "caps.most_tries: must be above 0"),
        ("/rules", json!({"fall": -1}), "rules.fall: "),
        ("/tenants", json!([{"quota_rps": -1.0}]), "tenants[0].quota_rps: "),
        ("/family_info", json!({"mode": "aside"}), "family_info.origin_kind: "),
    ];
    for (path, value, wanted) in cases {
        let mut text = least();
        text["caps"] = json!({});
        text["tenants"] = json!([]);
        text["family_info"] = json!({});
        *text.pointer_mut(path).unwrap() = value;
        let problem = Start::from_value(text).unwrap_err().to_string();
        assert!(problem.starts_with(wanted), "{problem:?} should begin with {wanted:?}");
    }
    assert!(Start::from_text("{\"profiles\":").is_err());
}

fn with_classes(names: &[&str]) -> Start {
    let class = |name: &&str| json!({"name": name, "semantics": "free", "aim": 750.0, "deadline": 1500.0});
    let mut text = least();
    text["profiles"] = names.iter().map(class).collect();
    text["tenants"] = names.iter().map(|name| json!({"name": name, "quota_rps": 1.0})).collect();
    Start::from_value(text).unwrap()
}

#[test]
fn classes_keep_their_positions_from_one_retune_to_the_next() {
    let mut retired = Vec::new();
    let mut in_use = with_classes(&["a", "b"]);
    let steps: [(&[&str], &[&str], &[usize]); 5] = [
        // Order in the file does not matter.
        (&["c", "b", "a"], &["a", "b", "c"], &[]),
        (&["a", "c"], &["a", "b", "c"], &[1]),
        // The place of one just dropped may still be named; that of one dropped before is free.
        (&["a", "d"], &["a", "d", "c"], &[2]),
        (&["a", "c"], &["a", "d", "c"], &[1]),
        (&["a", "e", "f"], &["a", "e", "c", "f"], &[2]),
    ];
    for (file, wanted, dropped) in steps {
        let retuned = with_classes(file).following(&in_use, &retired);
        assert_eq!(retuned.start.names.classes, wanted, "{file:?}");
        assert_eq!(retuned.retired, dropped, "{file:?}");
        assert_eq!(retuned.start.settings.classes.len(), wanted.len());
        let was = |name: &&str| in_use.names.tenants.iter().position(|known| known == name);
        assert_eq!(retuned.tenants, file.iter().map(was).collect::<Vec<_>>());
        (in_use, retired) = (retuned.start, retuned.retired);
    }
}
