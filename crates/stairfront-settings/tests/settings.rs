//! The settings: defaults, units and errors that name the key at fault.
use serde_json::{json, Value};
use stairfront_policy::interface::{
    CacheMode, DeduplicationScope, DiscoveryMode, Idempotency, Kind, TailLatency, Zone, MS, SECOND,
};
use stairfront_settings::Start;

fn least() -> Value {
    json!({"profiles": [{"name": "read", "semantics": "free", "aim": 750.0, "deadline": 1500.0}], "rules": {}})
}

#[test]
fn absent_keys_get_their_defaults() {
    let start = Start::from_value(least()).unwrap();
    let settings = &start.settings;
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
        (start.host.open_requests, start.host.idle),
        (20_000, 15 * SECOND)
    );
    assert!(!settings.sized);
}

#[test]
fn what_is_set_is_read_with_its_unit() {
    let mut text = least();
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
    let start = Start::from_text(&text.to_string()).unwrap();
    let settings = &start.settings;
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
    assert_eq!(start.host.idle, 60 * SECOND);
    assert_eq!(
        (start.names.classes, start.names.tenants),
        (vec!["read".into()], vec!["acme".into()])
    );
    assert_eq!(start.names.report, ["utilization", "x1"]);
}

#[test]
fn advice_on_retries_is_given_only_where_it_is_conveyed() {
    let mut text = least();
    text["caps"] = json!({"retry_after": false, "max_retry_after": 1500.0});
    assert_eq!(
        Start::from_value(text)
            .unwrap()
            .settings
            .limits
            .max_retry_after,
        0
    );
}

/// The three deployments that one build serves, each by its settings alone.
fn shape(name: &str) -> Value {
    let mut text = least();
    let (more, models) = match name {
        "aside, pushed, reported" => (
            json!({"registry_mode": "push", "family_info": {"mode": "aside", "origin_kind": 2},
                   "report": {"how": "inline", "fields": ["throughput", "utilization", "x1"]}}),
            json!(["fast-box", "std-box", "origin"]),
        ),
        "through, asked, one place" => (
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

const SHAPES: [&str; 3] = [
    "aside, pushed, reported",
    "through, asked, one place",
    "aside, asked, silent",
];

#[test]
fn one_build_reads_each_shape_from_its_settings() {
    let read = |name| Start::from_value(shape(name)).unwrap().settings;
    let [old, through, silent] = SHAPES.map(read);
    assert_eq!(
        (old.mode, old.discovery),
        (CacheMode::Aside { origin: Kind(2) }, DiscoveryMode::Push)
    );
    assert_eq!(
        old.tail,
        TailLatency::default(),
        "what the settings do not weigh does not count"
    );
    assert_eq!(
        (through.mode, through.discovery),
        (CacheMode::Through, DiscoveryMode::Poll)
    );
    assert_eq!(
        (silent.mode, silent.report.len()),
        (CacheMode::Aside { origin: Kind(1) }, 0)
    );
    assert_eq!(
        silent.tail,
        TailLatency {
            weight: 0.3,
            tolerated_fraction: 0.01
        }
    );
}

/// Danger: a move half done would start, with one shape's fetches and the other's list.
#[test]
fn settings_of_two_shapes_in_one_are_refused_by_key() {
    let [old, through, silent] = SHAPES;
    let cases: [(&str, &str, Value, &str); 10] = [
        (
            old,
            "/family_info/mode",
            "through".into(),
            "family_info.origin_kind: caches fetch by themselves",
        ),
        (
            old,
            "/family_info/mode",
            "beside".into(),
            "family_info.mode: unknown word \"beside\"",
        ),
        (
            old,
            "/registry_mode",
            "pull".into(),
            "registry_mode: unknown word \"pull\"",
        ),
        (
            old,
            "/registry_mode",
            "ask".into(),
            "rules.ask_every: must be above 0",
        ),
        (
            old,
            "/report/how",
            "off".into(),
            "report.fields: report.how says",
        ),
        (
            old,
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
        (
            silent,
            "/family_info",
            json!({"mode": "aside"}),
            "family_info.origin_kind: mode aside needs",
        ),
        (
            silent,
            "/score_parts",
            json!({"slow_end": 0.3}),
            "score_parts.borne_misses: must be above 0",
        ),
    ];
    for (name, path, value, wanted) in cases {
        let mut text = shape(name);
        text["locality"] = 0.into();
        *text.pointer_mut(path).unwrap() = value;
        let problem = Start::from_value(text.clone()).unwrap_err().to_string();
        assert!(
            problem.starts_with(wanted),
            "{name}: {problem:?} should begin with {wanted:?}"
        );
        assert!(
            Start::faults(text)
                .iter()
                .any(|fault| fault.to_string().starts_with(wanted)),
            "{wanted}"
        );
    }
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
    for (path, value, wanted) in cases {
        let mut text = least();
        text["caps"] = json!({});
        text["tenants"] = json!([]);
        text["family_info"] = json!({});
        text["score_parts"] = json!({});
        *text.pointer_mut(path).unwrap() = value;
        let problem = Start::from_value(text).unwrap_err().to_string();
        assert!(
            problem.starts_with(wanted),
            "{problem:?} should begin with {wanted:?}"
        );
    }
    assert!(Start::from_text("{\"profiles\":").is_err());
}

fn with_classes(names: &[&str]) -> Start {
    let class =
        |name: &&str| json!({"name": name, "semantics": "free", "aim": 750.0, "deadline": 1500.0});
    let mut text = least();
    text["profiles"] = names.iter().map(class).collect();
    text["tenants"] = names
        .iter()
        .map(|name| json!({"name": name, "quota_rps": 1.0}))
        .collect();
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
