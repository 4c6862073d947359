//! The lab with real balancer processes: what it measures, what it sees, and what a person starts by hand.
#[path = "../../stairfront-balancer/tests/common/mod.rs"]
mod common;
mod processes;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use common::{bulk, ms, run, Client};
use processes::own_address;
use stairfront_lab::compare;
use stairfront_lab::experiment::Experiment;
use stairfront_lab::process::Build;
use stairfront_lab::run::{Outcome, Progress, RunEnvironment};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stairfront");

/// Runs an experiment; its first run.
fn lab(text: &str) -> Outcome {
    let around = RunEnvironment {
        balancer: Build {
            program: PathBuf::from(PROGRAM),
            arguments: vec!["serve".to_string()],
        },
        baseline: PathBuf::new(),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        progress: Progress::Nothing,
    };
    let experiment = Experiment::from_text("test.toml", text).unwrap();
    compare::experiment(&experiment, &around)
        .unwrap()
        .runs
        .remove(0)
}

#[test]
fn a_stall_of_the_balancer_shows_in_all_requests_that_were_due_meanwhile() {
    // Four connections with one request each: a tool that waits for answers would have four slow ones to show.
    let outcome = lab(r#"
        name = "freeze"
        seconds = 3
        warm_up_s = 0
        fleet = { caches = 3, cache = { has_all = true, hit = { mean_ms = 1 } } }
        classes = [{ name = "read", aim_ms = 500, deadline_ms = 2000 }]
        faults = [{ kind = "balancer-frozen", at_s = 1, lasts_s = 0.5 }]
        [clients]
        traffic = { rate = 300 }
        habits = { connections = 4 }
    "#);
    let latency = &outcome.latency;
    assert!(
        latency.p50_ms < 200.0 && latency.p99_ms > 400.0,
        "{latency:?}"
    );
    // A sixth of the three seconds' requests came while it stood still.
    assert!(latency.p90_ms > 100.0, "{latency:?}");
    assert!(outcome.rules.holds(), "{:?}", outcome.rules);
}

#[test]
fn a_restart_and_a_killed_cache_under_load_break_no_rule_and_lose_nothing() {
    let outcome = lab(r#"
        name = "trouble"
        seconds = 5
        warm_up_s = 0
        fleet = { caches = 4, lag_ms = 200, origin = { read = { mean_ms = 10 } } }
        balancers = { count = 2 }
        classes = [
            { name = "read", aim_ms = 250, deadline_ms = 1000 },
            { name = "write", aim_ms = 250, deadline_ms = 1000, repeats = "keyed", write = true },
        ]
        faults = [
            { kind = "killed", at_s = 1, lasts_s = 2, on = ["c1"] },
            { kind = "drained", at_s = 2, lasts_s = 2, on = ["c2"] },
            { kind = "balancer-restarted", at_s = 1.5, on = ["0"] },
            { kind = "discovery-moved", at_s = 3 },
        ]
        [clients]
        traffic = { rate = 200, keys = 300, classes = [0.9, 0.1] }
        habits = { connections = 16, one_shot = 0.1, idle = 4, slow_readers = 1 }
        retries = { most = 1 }
    "#);
    assert!(outcome.rules.holds(), "{:?}", outcome.rules);
    let counts = outcome.counts;
    assert_eq!(
        (counts.lost, counts.unanswered, counts.unsent),
        (0, 0, 0),
        "{counts:?}"
    );
    assert!(
        counts.requests > 800 && outcome.in_time_ratio > 0.8,
        "{counts:?}"
    );
    assert!(
        outcome.rules.metrics.drain_notices > 0 && outcome.hit_ratio > 0.3 && outcome.fetches > 0
    );
    assert_eq!(outcome.servers.len(), 5);
}

#[test]
fn a_balancer_that_breaks_a_rule_is_seen() {
    // Set up to try four times where the rules of the run allow one attempt: each miss that is fetched is one too many.
    let outcome = lab(r#"
        name = "wrong"
        seconds = 1
        warm_up_s = 0
        fleet = { caches = 2 }
        balancers = { most_tries = 1 }
        variants = [{ name = "wrong", set = { "settings.caps.most_tries" = 4 } }]
        [clients]
        traffic = { rate = 50 }
    "#);
    let broken: Vec<bool> = outcome
        .rules
        .rules
        .iter()
        .map(|rule| rule.violations > 0)
        .collect();
    assert_eq!(broken, [false, true, false, false], "{:?}", outcome.rules);
}

/// A process of the program, ended with the test.
struct Program(Child);

impl Program {
    fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(PROGRAM);
        Program(
            command
                .args(arguments)
                .stderr(Stdio::null())
                .spawn()
                .unwrap(),
        )
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Already over unless the test has failed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn connected(address: SocketAddr) -> Client {
    loop {
        match Client::connect(address).await {
            Ok(client) => return client,
            Err(_) => sleep(ms(10)).await,
        }
    }
}

fn file(name: &str, text: &str) -> String {
    let path = format!(
        "{}/{name}-{}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&path, text).unwrap();
    path
}

const CLASSES: &str = "[[classes]]\nname = \"read\"\nrepeats = \"safe\"\naim_ms = 750\ndeadline_ms = 1500\n\
    [rules]\ndrain_grace_ms = 250\ncold_from = 0.2\nwarm_up_ms = 10000\nfall_multiple = 3\nfall_ms = 3000\n";

#[test]
fn stand_ins_started_by_hand_serve_a_balancer_and_a_reload_takes_another_list() {
    run(async {
        // Danger: ports freed on the common address go to the tests beside, whose servers answer in their place.
        let [cache, other, origin, balancer] = [(); 4].map(|()| own_address());
        let [cache_at, other_at, origin_at] = [cache, other, origin].map(|at| at.to_string());
        let _cache =
            Program::start(&["stand-in", "cache", "--listen", &cache_at, "--work-ms", "1"]);
        let _other =
            Program::start(&["stand-in", "cache", "--listen", &other_at, "--work-ms", "1"]);
        let _origin = Program::start(&[
            "stand-in",
            "origin",
            "--listen",
            &origin_at,
            "--fills",
            &cache_at,
            "--work-ms",
            "5",
        ]);
        for address in [cache, other, origin] {
            connected(address).await;
        }
        let text = |cache: &str| {
            let server = |name: &str, address: &str, kind: &str| {
                format!(
                    "[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\nkind = \"{kind}\"\n"
                )
            };
            let servers = server("c", cache, "cache") + &server("o", &origin_at, "origin");
            format!("listen = \"{balancer}\"\n{servers}{CLASSES}")
        };
        let path = file("by-hand", &text(&cache_at));
        let program = Program::start(&["serve", "--config", &path]);
        let mut client = connected(balancer).await;
        let value = |id: &str| bulk(&format!("{id} k {}", ".".repeat(64)));
        assert_eq!(client.get("k", "1", 1400).await, value("1"));
        let counters = |text: &str| {
            text.lines()
                .filter(|l| l.starts_with("attempts_"))
                .map(String::from)
                .collect::<Vec<_>>()
        };
        // The origin's word to the cache crosses the next request: asked for until it is there.
        let mut id = 1;
        let missed = loop {
            id += 1;
            let before = client.ask(&["INFO"]).await;
            assert_eq!(
                client.get("k", &id.to_string(), 1400).await,
                value(&id.to_string())
            );
            let after = client.ask(&["INFO"]).await;
            let misses = |text: &str| {
                counters(text)
                    .iter()
                    .find(|l| l.starts_with("attempts_missed"))
                    .cloned()
            };
            if misses(&before) == misses(&after) {
                break misses(&after);
            }
        };
        assert!(
            missed.is_some(),
            "served from the cache, which the origin has filled"
        );
        std::fs::write(&path, text(&other_at)).unwrap();
        let pid = program.0.id().to_string();
        assert!(Command::new("kill")
            .args(["-HUP", &pid])
            .status()
            .unwrap()
            .success());
        while !client.ask(&["INFO"]).await.contains("reloads:1\r\n") {
            sleep(ms(5)).await;
        }
        let before = client.ask(&["INFO"]).await;
        assert_eq!(client.get("k", "other", 1400).await, value("other"));
        let after = client.ask(&["INFO"]).await;
        assert_ne!(counters(&before), counters(&after));
        assert!(
            after.contains("attempts_missed:"),
            "the other cache is empty: {after}"
        );
        std::fs::remove_file(path).unwrap();
    });
}

fn output(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn check_lists_every_fault_by_file_line_and_key() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/stairfront.toml");
    let (code, text) = output(&["check", example]);
    assert_eq!((code, text.ends_with("good\n")), (Some(0), true), "{text}");
    let good = std::fs::read_to_string(example).unwrap();
    let bad = good
        .replace("aim_ms = 250 ", "aim_ms = -1 ")
        .replace("sockets = 1024", "sockets = 8");
    let bad = bad
        .replace("cold_from = 0.2", "cold_from = 2.0")
        .replace("requests_per_s = 500", "requests_per_s = -5");
    let line = |key: &str| 1 + bad.lines().position(|line| line.starts_with(key)).unwrap();
    let path = file("faulty", &bad);
    let (code, text) = output(&["check", &path]);
    assert_eq!((code, text.lines().count()), (Some(2), 4), "{text}");
    for (key, path_of_key) in [
        ("aim_ms", "classes[0].aim_ms"),
        ("sockets", "limits.sockets"),
        ("cold_from", "rules.cold_from"),
        ("requests_per_s", "tenants[0].requests_per_s"),
    ] {
        let wanted = format!("{path}:{}: {path_of_key}: ", line(key));
        assert!(text.contains(&wanted), "{wanted} in {text}");
    }
    // Unknown keys, wrong types and broken syntax have their lines too.
    let slips = [
        ("listen = ", "lisen = ", "lisen"),
        ("zone = \"a\" ", "zone = 1 ", "zone"),
        ("me = 0", "me = = 0", ""),
    ];
    for (right, wrong, word) in slips {
        std::fs::write(&path, good.replacen(right, wrong, 1)).unwrap();
        let (code, text) = output(&["check", &path]);
        let at = 1 + good
            .lines()
            .position(|line| line.starts_with(right))
            .unwrap();
        assert!(
            code == Some(2) && text.contains(&format!(":{at}: ")) && text.contains(word),
            "{wrong}: {text}"
        );
    }
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_faulty_experiment_is_named_by_key_and_not_run() {
    let path = file("experiment", "name = \"x\"\nseconds = 0\n[[faults]]\nkind = \"slow\"\nat_s = 1\nfactor = 2\nfctor = 3\non = [\"c99\"]\n");
    let (code, text) = output(&["lab", &path]);
    assert_eq!(code, Some(2), "{text}");
    for wanted in [
        "seconds: must",
        "faults[0].fctor: unknown key",
        "faults[0].on: no cache host or zone is called \"c99\"",
    ] {
        assert!(text.contains(wanted), "{wanted} in {text}");
    }
    std::fs::remove_file(path).unwrap();
}
