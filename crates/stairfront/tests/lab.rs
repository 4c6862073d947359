//! The lab with real balancer processes: what it measures and which broken rules it finds; the stand-ins and `check`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use stairfront_lab::compare;
use stairfront_lab::experiment::Experiment;
use stairfront_lab::process::Build;
use stairfront_lab::run::{Outcome, Progress, RunEnvironment};
use stairfront_test_support::loopback::unused_address;
use stairfront_test_support::loopback::{bulk, ms, run, Client};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stairfront");

/// Runs an experiment; its first run.
fn run_experiment(text: &str) -> Outcome {
    let environment = RunEnvironment {
        balancer: Build {
            program: PathBuf::from(PROGRAM),
            arguments: vec!["serve".to_string()],
        },
        baseline: PathBuf::new(),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        progress: Progress::Nothing,
    };
    let experiment = Experiment::from_text("test.toml", text).unwrap();
    compare::experiment(&experiment, &environment)
        .unwrap()
        .runs
        .remove(0)
}

#[test]
fn a_balancer_stall_is_in_the_latency_of_all_requests_due_meanwhile() {
    // With four connections, a tool that waits for answers would measure four slow requests only.
    let outcome = run_experiment(
        r#"
        name = "freeze"
        seconds = 3
        warm_up_s = 0
        fleet = { caches = 3, cache = { has_all = true, hit = { mean_ms = 1 } } }
        classes = [{ name = "read", aim_ms = 500, deadline_ms = 2000 }]
        faults = [{ kind = "balancer-frozen", at_s = 1, lasts_s = 0.5 }]
        [clients]
        traffic = { rate = 300 }
        habits = { connections = 4 }
    "#,
    );
    let latency = &outcome.latency;
    assert!(
        latency.p50_ms < 200.0 && latency.p99_ms > 400.0,
        "{latency:?}"
    );
    // A sixth of the requests were due during the stall.
    assert!(latency.p90_ms > 100.0, "{latency:?}");
    assert!(outcome.rules.holds(), "{:?}", outcome.rules);
}

#[test]
fn a_restart_and_a_killed_cache_under_load_break_no_rule_and_lose_no_request() {
    let outcome = run_experiment(
        r#"
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
    "#,
    );
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
fn a_balancer_that_breaks_a_rule_is_found() {
    // The balancer is configured for four attempts where the rules allow one, so the fetch after each miss breaks them.
    let outcome = run_experiment(
        r#"
        name = "wrong"
        seconds = 1
        warm_up_s = 0
        fleet = { caches = 2 }
        balancers = { most_tries = 1 }
        variants = [{ name = "wrong", set = { "settings.caps.most_tries" = 4 } }]
        [clients]
        traffic = { rate = 50 }
    "#,
    );
    let broken: Vec<bool> = outcome
        .rules
        .rules
        .iter()
        .map(|rule| rule.violations > 0)
        .collect();
    assert_eq!(broken, [false, true, false, false], "{:?}", outcome.rules);
}

/// A process of the program that ends with the test.
struct Program(Child);

impl Program {
    fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).stderr(Stdio::null());
        Program(command.spawn().unwrap())
    }

    /// A stand-in cache host that answers after 1 ms of work.
    fn start_cache(listen: SocketAddr) -> Self {
        let listen = listen.to_string();
        Self::start(&["stand-in", "cache", "--listen", &listen, "--work-ms", "1"])
    }

    /// A stand-in origin that gives the cache host the values that it missed.
    fn start_origin(listen: SocketAddr, cache: SocketAddr) -> Self {
        let (listen, cache) = (listen.to_string(), cache.to_string());
        let arguments = ["stand-in", "origin", "--listen", &listen, "--fills", &cache];
        Self::start(&[&arguments[..], &["--work-ms", "5"]].concat())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // The process has exited already unless the test has failed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn connect(address: SocketAddr) -> Client {
    loop {
        match Client::connect(address).await {
            Ok(client) => return client,
            Err(_) => sleep(ms(10)).await,
        }
    }
}

/// Writes a file that is this test process's own; returns its path.
fn write_file(name: &str, text: &str) -> String {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{directory}/{name}-{}.toml", std::process::id());
    std::fs::write(&path, text).unwrap();
    path
}

const CLASSES: &str = "[[classes]]\nname = \"read\"\nrepeats = \"safe\"\naim_ms = 750\ndeadline_ms = 1500\n\
    [rules]\ndrain_grace_ms = 250\ncold_from = 0.2\nwarm_up_ms = 10000\nfall_multiple = 3\nfall_ms = 3000\n";

/// A balancer's configuration with one cache host and an origin.
fn configuration(listen: SocketAddr, cache: SocketAddr, origin: SocketAddr) -> String {
    let server = |name: &str, address: SocketAddr, kind: &str| {
        format!("[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\nkind = \"{kind}\"\n")
    };
    let servers = server("c", cache, "cache") + &server("o", origin, "origin");
    format!("listen = \"{listen}\"\n{servers}{CLASSES}")
}

/// The value that the stand-ins have for key `k` in the answer to this request.
fn stand_in_value(id: &str) -> String {
    bulk(&format!("{id} k {}", ".".repeat(64)))
}

/// The counters of attempts in `INFO`.
async fn attempt_counters(client: &mut Client) -> Vec<String> {
    let info = client.ask(&["INFO"]).await;
    let counters = info.lines().filter(|line| line.starts_with("attempts_"));
    counters.map(String::from).collect()
}

/// The counter of attempts that missed, if there is one.
async fn missed_attempts(client: &mut Client) -> Option<String> {
    let mut counters = attempt_counters(client).await.into_iter();
    counters.find(|line| line.starts_with("attempts_missed"))
}

/// Repeats a request until it is no miss, since the origin's fill of the cache is concurrent with the next request.
/// Returns the counter of misses.
async fn wait_for_cache_fill(client: &mut Client) -> Option<String> {
    for id in 2.. {
        let before = missed_attempts(client).await;
        let id = id.to_string();
        assert_eq!(client.get("k", &id, 1400).await, stand_in_value(&id));
        let after = missed_attempts(client).await;
        if before == after {
            return after;
        }
    }
    None
}

#[test]
fn stand_ins_serve_a_balancer_and_a_reload_replaces_its_servers() {
    run(async {
        // Ports freed on the common loopback address would be given to servers of the tests that run at the same time.
        let [cache, other, origin, balancer] = [(); 4].map(|()| unused_address());
        let _cache = Program::start_cache(cache);
        let _other = Program::start_cache(other);
        let _origin = Program::start_origin(origin, cache);
        for address in [cache, other, origin] {
            connect(address).await;
        }
        let path = write_file("by-hand", &configuration(balancer, cache, origin));
        let program = Program::start(&["serve", "--config", &path]);
        let mut client = connect(balancer).await;
        assert_eq!(client.get("k", "1", 1400).await, stand_in_value("1"));
        let missed = wait_for_cache_fill(&mut client).await;
        assert!(missed.is_some(), "the first request was a miss");
        std::fs::write(&path, configuration(balancer, other, origin)).unwrap();
        let pid = program.0.id().to_string();
        let status = Command::new("kill").args(["-HUP", &pid]).status();
        assert!(status.unwrap().success());
        while !client.ask(&["INFO"]).await.contains("reloads:1\r\n") {
            sleep(ms(5)).await;
        }
        let before = attempt_counters(&mut client).await;
        assert_eq!(
            client.get("k", "other", 1400).await,
            stand_in_value("other")
        );
        let after = attempt_counters(&mut client).await;
        assert_ne!(before, after);
        assert!(
            after
                .iter()
                .any(|line| line.starts_with("attempts_missed:")),
            "the other cache is empty: {after:?}"
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
fn check_lists_every_error_by_file_line_and_key() {
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
    let path = write_file("faulty", &bad);
    let (code, text) = output(&["check", &path]);
    assert_eq!((code, text.lines().count()), (Some(2), 4), "{text}");
    for (key, key_path) in [
        ("aim_ms", "classes[0].aim_ms"),
        ("sockets", "limits.sockets"),
        ("cold_from", "rules.cold_from"),
        ("requests_per_s", "tenants[0].requests_per_s"),
    ] {
        let wanted = format!("{path}:{}: {key_path}: ", line(key));
        assert!(text.contains(&wanted), "{wanted} in {text}");
    }
    // Unknown keys, wrong types and syntax errors are reported with their lines too.
    let errors = [
        ("listen = ", "lisen = ", "lisen"),
        ("zone = \"a\" ", "zone = 1 ", "zone"),
        ("me = 0", "me = = 0", ""),
    ];
    for (right, wrong, key) in errors {
        std::fs::write(&path, good.replacen(right, wrong, 1)).unwrap();
        let (code, text) = output(&["check", &path]);
        let at = 1 + good
            .lines()
            .position(|line| line.starts_with(right))
            .unwrap();
        assert!(
            code == Some(2) && text.contains(&format!(":{at}: ")) && text.contains(key),
            "{wrong}: {text}"
        );
    }
    std::fs::remove_file(path).unwrap();
}

#[test]
fn an_invalid_experiment_is_reported_by_key_and_not_run() {
    let path = write_file("experiment", "name = \"x\"\nseconds = 0\n[[faults]]\nkind = \"slow\"\nat_s = 1\nfactor = 2\nfctor = 3\non = [\"c99\"]\n");
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
