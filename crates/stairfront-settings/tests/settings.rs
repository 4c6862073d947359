//! The settings: defaults, units and errors that name the key at fault.
use serde_json::{json, Value};
use stairfront_policy::interface::{
    CacheMode, DeduplicationScope, DiscoveryMode, Idempotency, Kind, TailLatency, Zone, MS, SECOND,
};
use stairfront_settings::LoadedSettings;

fn minimal() -> Value {
    json!({"profiles": [{"name": "read", "semantics": "free", "aim": 750.0, "deadline": 1500.0}], "rules": {}})
}

#[test]
fn absent_keys_get_their_defaults() {
    let loaded = LoadedSettings::from_value(minimal()).unwrap();
    let settings = &loaded.settings;
    assert_eq!(
        (settings.mode, settings.discovery),
        (CacheMode::Through, DiscoveryMode::Push)
    );
    assert_eq!(
        (
            settings.balancers,
            settings.limits.max_attempts,
            settings.zone
        ),
        (1, 1, Zone(0))
    );
    assert_eq!(
        (
            settings.classes[0].priority_weight,
            settings.classes[0].late_weight
        ),
        (1.0, 0.0)
    );
    assert_eq!(
        (loaded.host.max_open_requests, loaded.host.idle_timeout),
        (20_000, 15 * SECOND)
    );
    assert!(!settings.sized);
}

#[test]
fn values_are_read_in_their_units() {
    let mut text = minimal();
    text["tick"] = 5.0.into();
    text["locality"] = 2.into();
    text["registry_mode"] = "ask".into();
    text["family_info"] = json!({"mode": "aside", "origin_kind": 2});
    text["caps"] = json!({"most_tries": 3, "retry_after": true, "max_retry_after": 1500.0, "keepalive": 60000.0});
    text["profiles"][0]["semantics"] = "guarded".into();
    text["profiles"][0]["group"] = "zone".into();
    text["profiles"][0]["key_ttl"] = 600.0.into();
    text["tenants"] = json!([{"name": "acme", "quota_rps": 73.0, "share": 0.33}]);
    text["report"] = json!({"fields": ["utilization", "x1"]});
    let loaded = LoadedSettings::from_text(&text.to_string()).unwrap();
    let settings = &loaded.settings;
    assert_eq!(
        (settings.tick, settings.zone, settings.discovery),
        (5 * MS, Zone(2), DiscoveryMode::Poll)
    );
    assert_eq!(settings.mode, CacheMode::Aside { origin: Kind(2) });
    assert_eq!(settings.limits.max_retry_after, 1500 * MS);
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone,
            key_ttl: 600 * MS
        }
    );
    assert_eq!(loaded.host.idle_timeout, 60 * SECOND);
    assert_eq!(
        (loaded.names.classes, loaded.names.tenants),
        (vec!["read".into()], vec!["acme".into()])
    );
    assert_eq!(loaded.names.report, ["utilization", "x1"]);
}

#[test]
fn retry_advice_is_given_only_where_it_is_conveyed() {
    let mut text = minimal();
    text["caps"] = json!({"retry_after": false, "max_retry_after": 1500.0});
    assert_eq!(
        LoadedSettings::from_value(text)
            .unwrap()
            .settings
            .limits
            .max_retry_after,
        0
    );
}

/// The three deployments that one build serves, each by its settings alone.
fn deployment(name: &str) -> Value {
    let mut text = minimal();
    let (more, models) = match name {
        "cache-aside, pushed list, load reports" => (
            json!({"registry_mode": "push", "family_info": {"mode": "aside", "origin_kind": 2},
                   "report": {"how": "inline", "fields": ["throughput", "utilization", "x1"]}}),
            json!(["fast-box", "std-box", "origin"]),
        ),
        "read-through, polled list, one zone" => (
            json!({"registry_mode": "ask", "family_info": {"mode": "through", "origin_kind": -1},
                   "report": {"how": "inline", "fields": ["throughput", "errors_per_s", "outstanding"]},
                   "areas": ["salt-lake-dc"], "rules": {"ask_every": 6000.0}}),
            json!(["fast-2c", "slow-2c"]),
        ),
        _ => (
            json!({"registry_mode": "ask", "family_info": {"mode": "aside", "origin_kind": 1},
                   "report": {"how": "off", "fields": []}, "rules": {"ask_every": 10000.0},
                   "score_parts": {"slow_end": 0.3, "borne_misses": 0.01}}),
            json!(["standard", "origin"]),
        ),
    };
    text["models"] = models;
    more.as_object()
        .unwrap()
        .iter()
        .for_each(|(key, value)| text[key] = value.clone());
    text
}

const DEPLOYMENTS: [&str; 3] = [
    "cache-aside, pushed list, load reports",
    "read-through, polled list, one zone",
    "cache-aside, polled list, no load reports",
];

#[test]
fn one_build_serves_each_deployment_by_its_settings() {
    let read = |name| {
        LoadedSettings::from_value(deployment(name))
            .unwrap()
            .settings
    };
    let [pushed, through, unreported] = DEPLOYMENTS.map(read);
    assert_eq!(
        (pushed.mode, pushed.discovery),
        (CacheMode::Aside { origin: Kind(2) }, DiscoveryMode::Push)
    );
    assert_eq!(
        pushed.tail,
        TailLatency::default(),
        "what has no weight in the settings does not count"
    );
    assert_eq!(
        (through.mode, through.discovery),
        (CacheMode::Through, DiscoveryMode::Poll)
    );
    assert_eq!(
        (unreported.mode, unreported.report.len()),
        (CacheMode::Aside { origin: Kind(1) }, 0)
    );
    assert_eq!(
        unreported.tail,
        TailLatency {
            weight: 0.3,
            tolerated_fraction: 0.01
        }
    );
}

/// Asserts that a deployment whose settings have another value at a path are rejected with an error that begins so.
fn assert_contradiction(name: &str, path: &str, value: Value, expected: &str) {
    let mut text = deployment(name);
    text["locality"] = 0.into();
    *text.pointer_mut(path).unwrap() = value;
    let error = LoadedSettings::from_value(text.clone())
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with(expected),
        "{name}: {error:?} should begin with {expected:?}"
    );
    assert!(
        LoadedSettings::errors(text)
            .iter()
            .any(|error| error.to_string().starts_with(expected)),
        "{expected}"
    );
}

/// After an unfinished migration a balancer would start with the fetches of one deployment and the list of the other.
#[test]
fn settings_that_mix_two_deployments_are_rejected_by_key() {
    let [pushed, through, _] = DEPLOYMENTS;
    let cases: [(&str, &str, Value, &str); 8] = [
        (
            pushed,
            "/family_info/mode",
            "through".into(),
            "family_info.origin_kind: caches fetch by themselves",
        ),
        (
            pushed,
            "/family_info/mode",
            "beside".into(),
            "family_info.mode: unknown word \"beside\"",
        ),
        (
            pushed,
            "/registry_mode",
            "pull".into(),
            "registry_mode: unknown word \"pull\"",
        ),
        (
            pushed,
            "/registry_mode",
            "ask".into(),
            "rules.ask_every: must be above 0",
        ),
        (
            pushed,
            "/report/how",
            "off".into(),
            "report.fields: report.how says",
        ),
        (
            pushed,
            "/models",
            json!(["fast-box", "std-box"]),
            "family_info.origin_kind: 2 is none of the 2 models",
        ),
        (
            through,
            "/report/how",
            "on_probe".into(),
            "report.how: reports come with probes",
        ),
        (
            through,
            "/locality",
            2.into(),
            "locality: 2 is none of the 1 areas",
        ),
    ];
    for (name, path, value, expected) in cases {
        assert_contradiction(name, path, value, expected);
    }
}

#[test]
fn settings_that_lack_a_part_of_their_deployment_are_rejected_by_key() {
    let [_, _, unreported] = DEPLOYMENTS;
    let cases: [(&str, &str, Value, &str); 2] = [
        (
            unreported,
            "/family_info",
            json!({"mode": "aside"}),
            "family_info.origin_kind: mode aside needs",
        ),
        (
            unreported,
            "/score_parts",
            json!({"slow_end": 0.3}),
            "score_parts.borne_misses: must be above 0",
        ),
    ];
    for (name, path, value, expected) in cases {
        assert_contradiction(name, path, value, expected);
    }
}

/// Asserts that settings with this value at a path are rejected with an error that begins so.
fn assert_error(path: &str, value: Value, expected: &str) {
    let mut text = minimal();
    text["caps"] = json!({});
    text["tenants"] = json!([]);
    text["family_info"] = json!({});
    text["score_parts"] = json!({});
    *text.pointer_mut(path).unwrap() = value;
    let error = LoadedSettings::from_value(text).unwrap_err().to_string();
    assert!(
        error.starts_with(expected),
        "{error:?} should begin with {expected:?}"
    );
}

#[test]
fn an_error_names_the_key() {
    let cases: [(&str, Value, &str); 12] = [
        (
            "/score_parts",
            json!({"slow_end": -1}),
            "score_parts.slow_end: ",
        ),
        (
            "/score_parts",
            json!({"borne_misses": 2}),
            "score_parts.borne_misses: ",
        ),
        ("/profiles/0/aim", "soon".into(), "profiles[0].aim: "),
        (
            "/profiles/0/aim",
            0.into(),
            "profiles[0].aim: must be a time in milliseconds above 0",
        ),
        (
            "/profiles/0/deadline",
            1e12.into(),
            "profiles[0].deadline: ",
        ),
        (
            "/profiles/0/semantics",
            "odd".into(),
            "profiles[0].semantics: unknown word \"odd\"",
        ),
        ("/caps", json!({"keepalive": 0}), "caps.keepalive: "),
        (
            "/caps",
            json!({"open_cap": 0}),
            "caps.open_cap: must be above 0",
        ),
        (
            "/caps",
            json!({"most_tries": 0}),
            "caps.most_tries: must be above 0",
        ),
        ("/rules", json!({"fall": -1}), "rules.fall: "),
        (
            "/tenants",
            json!([{"quota_rps": -1.0}]),
            "tenants[0].quota_rps: ",
        ),
        (
            "/family_info",
            json!({"mode": "aside"}),
            "family_info.origin_kind: ",
        ),
    ];
    for (path, value, expected) in cases {
        assert_error(path, value, expected);
    }
    assert!(LoadedSettings::from_text("{\"profiles\":").is_err());
}

fn with_classes(names: &[&str]) -> LoadedSettings {
    let class =
        |name: &&str| json!({"name": name, "semantics": "free", "aim": 750.0, "deadline": 1500.0});
    let mut text = minimal();
    text["profiles"] = names.iter().map(class).collect();
    text["tenants"] = names
        .iter()
        .map(|name| json!({"name": name, "quota_rps": 1.0}))
        .collect();
    LoadedSettings::from_value(text).unwrap()
}

#[test]
fn classes_keep_their_positions_from_one_update_to_the_next() {
    let mut retired = Vec::new();
    let mut in_use = with_classes(&["a", "b"]);
    let steps: [(&[&str], &[&str], &[usize]); 5] = [
        // The order in the file does not matter.
        (&["c", "b", "a"], &["a", "b", "c"], &[]),
        (&["a", "c"], &["a", "b", "c"], &[1]),
        // The position of a class dropped just now may still be named; that of one dropped earlier is free.
        (&["a", "d"], &["a", "d", "c"], &[2]),
        (&["a", "c"], &["a", "d", "c"], &[1]),
        (&["a", "e", "f"], &["a", "e", "c", "f"], &[2]),
    ];
    for (file, expected, dropped) in steps {
        let update = with_classes(file).replacing(&in_use, &retired);
        assert_eq!(update.loaded.names.classes, expected, "{file:?}");
        assert_eq!(update.retired_classes, dropped, "{file:?}");
        assert_eq!(update.loaded.settings.classes.len(), expected.len());
        let former = |name: &&str| in_use.names.tenants.iter().position(|known| known == name);
        assert_eq!(
            update.former_tenants,
            file.iter().map(former).collect::<Vec<_>>()
        );
        in_use = update.loaded;
        retired = update.retired_classes;
    }
}
