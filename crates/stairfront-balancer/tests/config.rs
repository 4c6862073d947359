//! The configuration: the values that a valid one gives, and errors that name the key.

use serde_json::{json, Value};
use stairfront_balancer::configuration::{config::Config, error::ConfigError};
use stairfront_test_support::loopback::{config, line};

fn good() -> Value {
    let address = "127.0.0.1:6379".parse().unwrap();
    config(address, address, &[line("c", address, "box")], 100)
}

fn read(text: &Value) -> Result<Config, ConfigError> {
    Config::from_text("config.json", &text.to_string())
}

#[test]
fn sockets_are_split_between_clients_and_servers_with_a_reserve() {
    let config = read(&good()).unwrap();
    assert_eq!((config.sockets.clients, config.sockets.servers), (31, 35));
    assert_eq!(config.seed, 0x2a);
    assert_eq!(config.known.entries.len(), 1);
    let mut text = good();
    text["limits"]["sockets"] = 100_000.into();
    let config = read(&text).unwrap();
    assert!(config.sockets.clients + config.sockets.servers < 1024);
}

#[test]
fn optional_keys_may_be_missing_and_unknown_keys_are_ignored() {
    let mut text = good();
    for key in ["name", "seed", "limits", "known"] {
        text.as_object_mut().unwrap().remove(key);
    }
    text["more"] = json!({"x": 1});
    let config = read(&text).unwrap();
    assert!(config.known.entries.is_empty());
}

/// Paths of keys, values that are errors there, and the beginning or a part of the message.
fn invalid_keys() -> [(&'static [&'static str], Value, &'static str); 10] {
    [
        (&["listen"], "nowhere".into(), "config.json: listen: "),
        (
            &["limits", "sockets"],
            "many".into(),
            "config.json: limits.sockets: ",
        ),
        (
            &["limits", "memory_mb"],
            "32 MB".into(),
            "config.json: limits.memory_mb: ",
        ),
        (
            &["limits", "memory_mb"],
            4.into(),
            "config.json: limits.memory_mb: 4 is too few",
        ),
        (
            &["limits", "sockets"],
            8.into(),
            "config.json: limits.sockets: 8 is too few",
        ),
        (
            &["known", "endpoints"],
            json!([{"name": "c"}]),
            "config.json: known.endpoints[0]: missing field `address`",
        ),
        (
            &["known", "endpoints"],
            json!([{"name": "c", "address": "x", "status": "SERVING"}]),
            "known.endpoints: server \"c\"",
        ),
        (
            &["settings", "tick"],
            "5".into(),
            "config.json: settings.tick: ",
        ),
        (
            &["settings", "rules", "cold_from"],
            1.5.into(),
            "settings.rules.cold_from: must be between 0 and 1",
        ),
        (
            &["settings", "profiles"],
            json!([]),
            "settings.profiles: at least one class is needed",
        ),
    ]
}

#[test]
fn an_error_names_the_file_and_the_key() {
    for (path, value, wanted) in invalid_keys() {
        let mut text = good();
        let place = path.iter().fold(&mut text, |at, key| &mut at[*key]);
        *place = value;
        let problem = read(&text).unwrap_err().to_string();
        assert!(
            problem.contains(wanted),
            "{problem:?} should hold {wanted:?}"
        );
    }
    let problem = Config::from_text("config.json", "{")
        .unwrap_err()
        .to_string();
    assert!(problem.starts_with("config.json: "), "{problem}");
}

#[test]
fn reserved_memory_follows_the_memory_limit() {
    let memory = |mb: usize| {
        let mut text = good();
        text["limits"]["memory_mb"] = mb.into();
        read(&text).unwrap().memory
    };
    for mb in [16, 32, 48, 192, 2048] {
        let parts = memory(mb);
        let limit = mb * 1024 * 1024;
        assert_eq!(parts.limit, limit);
        // The parts are rounded down.
        let sum = parts.sum();
        assert!(sum <= limit && sum > limit - 64, "{mb} MB: {sum}");
        assert!(parts.headroom >= limit / 50, "{mb} MB: {parts:?}");
        let both = parts.shared();
        let shared = 2 * both.sum() - both.connections;
        assert!(shared <= limit, "{mb} MB in an upgrade: {both:?}");
        assert!(
            mb < 32 || parts.large_commands > 4 << 20,
            "one large write at the least: {mb} MB"
        );
        // Larger values than 64 KiB are forwarded without being held.
        assert!(
            parts.max_value_bytes == 4 << 20 && parts.replies >= 16 * 64 * 1024,
            "{mb} MB"
        );
        // A program that takes more by itself leaves less for others.
        let larger = parts.with_program(8 << 20);
        assert!(larger.sum() <= limit.max(larger.program + larger.connections + (5 << 20)));
        assert!(larger.requests < parts.requests, "{mb} MB");
    }
}
