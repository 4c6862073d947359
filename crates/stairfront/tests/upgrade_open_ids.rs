//! Upgrades beside a client that names the id of another client's open request: it is open at one process and named at the
//! other, and is neither sent on nor served.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::{json, Value};
use stairfront_test_support::loopback::{
    bulk, cache, command, commands, config, hit, http, line, memory_folder, miss, ms, origin,
    quiet_agent, run_within, until, Client, Log, Step,
};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tempfile::TempDir;
use tokio::time::sleep;

const TEST_LIMIT: Duration = Duration::from_secs(60);
const WAIT_MS: u64 = 1400;
/// What cache hosts take for an answer, and the origin for a write.
const LATENCY: Duration = Duration::from_millis(300);
const OPEN_ID: &str = "-ERR id is open already\r\n";
const USED_ID: &str = "-ERR id was used already\r\n";

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A read, which may be repeated.
    Read,
    /// A write that must not run twice.
    Write,
}

impl Kind {
    fn command(self, key: &str, id: &str) -> Vec<u8> {
        match self {
            Kind::Read => command(&["C.GET", key, id, &format!("c=read,t=acme,d={WAIT_MS}")]),
            Kind::Write => command(&[
                "C.SET",
                key,
                id,
                &format!("c=once,t=acme,d={WAIT_MS}"),
                "value",
            ]),
        }
    }

    fn answer(self, key: &str) -> String {
        match self {
            Kind::Read => bulk(key),
            Kind::Write => bulk("receipt"),
        }
    }
}

/// A balancer in an upgrade, with a connection to each process.
struct Upgrade {
    log: Log,
    _directory: TempDir,
    old: BalancerProcess,
    new: BalancerProcess,
    at_old: Client,
    at_new: Client,
}

impl Upgrade {
    async fn start(test: &str) -> Self {
        let (log, directory) = (Log::default(), memory_folder());
        let text = configuration(&log).await;
        let old = BalancerProcess::start_with(test, text.clone(), Some(directory.path())).await;
        let mut at_old = Client::connect(old.address).await.unwrap();
        assert_eq!(at_old.ask(&["PING"]).await, "+PONG\r\n");
        let new = BalancerProcess::spawn(&format!("{test}-new"), text, Some(directory.path()));
        new.wait_until_healthy().await;
        // The old process may still accept until it learns that the new one can serve.
        sleep(ms(100)).await;
        let mut at_new = Client::connect(new.address).await.unwrap();
        let info = at_new.ask(&["INFO"]).await;
        assert!(info.contains("client_connections_accepted:1\r\n"), "{info}");
        Upgrade {
            log,
            _directory: directory,
            old,
            new,
            at_old,
            at_new,
        }
    }

    /// How often each id has reached a server.
    fn times_sent(&self) -> HashMap<String, usize> {
        let mut times = HashMap::new();
        for words in [commands(&self.log, "cache"), commands(&self.log, "db")].concat() {
            *times.entry(id_of(&words)).or_default() += 1;
        }
        times
    }

    async fn until_sent(&self, id: &str) {
        until(|| self.times_sent().contains_key(id)).await;
    }

    fn assert_sent_once(&self) {
        let times = self.times_sent();
        let more: Vec<_> = times.iter().filter(|(_, count)| **count > 1).collect();
        assert!(more.is_empty(), "sent more than once: {more:?}");
    }
}

/// The id in a command to a cache host, or in a call to the origin.
fn id_of(words: &[String]) -> String {
    let header = words.iter().flat_map(|word| word.lines()).find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("Request-Id")
            .then(|| value.trim())
    });
    header.unwrap_or(&words[2]).to_string()
}

fn after_latency(step: Step) -> Step {
    match step {
        Step::Say(bytes) => Step::After(LATENCY, bytes),
        step => step,
    }
}

/// A configuration with a cache host and an origin.
async fn configuration(log: &Log) -> Value {
    let host = cache("cache", log, |_, words| match words[1].as_str() {
        "missed" => miss(),
        key => after_latency(hit(key)),
    })
    .await;
    let db = origin("db", log, |_, _| after_latency(http(200, "", "receipt"))).await;
    let lines = [line("c", host, "box"), line("db", db, "origin")];
    let agent = quiet_agent(log).await;
    let mut text = config(unused_address(), agent, &lines, 256);
    text["settings"]["profiles"] = json!([
        {"name": "read", "aim": 750.0, "deadline": 1500.0, "semantics": "free"},
        {"name": "once", "aim": 750.0, "deadline": 1500.0, "semantics": "single_shot"},
    ]);
    // No hedged request: each id reaches a server once.
    text["settings"]["caps"]["most_tries"] = 1.into();
    text
}

/// Guards against review/10: an id was looked for among the open ones of its own process alone.
#[test]
fn the_id_of_an_open_request_is_served_at_the_other_process() {
    run_within(TEST_LIMIT, async {
        let mut upgrade = Upgrade::start("open-ids").await;
        for (index, kind) in [Kind::Read, Kind::Write, Kind::Read]
            .into_iter()
            .enumerate()
        {
            for is_open_at_old in [true, false] {
                let id = format!("{index}-{is_open_at_old}");
                let (usual, other) = if is_open_at_old {
                    (&mut upgrade.at_old, &mut upgrade.at_new)
                } else {
                    (&mut upgrade.at_new, &mut upgrade.at_old)
                };
                usual.send(&kind.command("k", &id)).await;
                sleep(ms(100)).await;
                for bad in [Kind::Read, Kind::Write] {
                    other.send(&bad.command("foreign", &id)).await;
                    let answer = other.answer().await.unwrap();
                    assert!([OPEN_ID, USED_ID].contains(&&*answer), "{kind:?}: {answer}");
                }
                assert_eq!(usual.answer().await.unwrap(), kind.answer("k"));
            }
        }
        upgrade.assert_sent_once();
    });
}

/// The same with a new client each time, and after the old process is told to end.
#[test]
fn the_id_of_an_open_request_is_served_at_the_new_process_after_the_end_has_begun() {
    run_within(TEST_LIMIT, async {
        let mut upgrade = Upgrade::start("ending-ids").await;
        let ids = ["e1", "e2", "e3"];
        for id in ids {
            upgrade.at_old.send(&Kind::Read.command("k", id)).await;
        }
        upgrade.until_sent("e3").await;
        upgrade.old.signal("-TERM");
        sleep(ms(50)).await;
        for id in ids {
            let mut bad = Client::connect(upgrade.new.address).await.unwrap();
            bad.send(&Kind::Read.command("foreign", id)).await;
            assert_eq!(bad.answer().await.unwrap(), OPEN_ID);
        }
        for _ in ids {
            assert_eq!(upgrade.at_old.answer().await.unwrap(), bulk("k"));
        }
        upgrade.old.wait_for_exit().await;
        upgrade.assert_sent_once();
        // An id whose answer is out is free again, here as without an upgrade.
        upgrade.at_old.send(&Kind::Read.command("k", "e1")).await;
        assert_eq!(upgrade.at_old.answer().await.unwrap(), bulk("k"));
    });
}

/// Both processes get the same ids at the same moment: one request of each pair is admitted.
#[test]
fn the_same_id_at_both_processes_at_once_is_sent_twice() {
    run_within(TEST_LIMIT, async {
        const PAIRS: usize = 16;
        let mut upgrade = Upgrade::start("same-ids").await;
        for kind in [Kind::Read, Kind::Write] {
            let batch: Vec<u8> = (0..PAIRS)
                .flat_map(|n| kind.command("k", &format!("{kind:?}{n}")))
                .collect();
            tokio::join!(upgrade.at_old.send(&batch), upgrade.at_new.send(&batch));
            let mut duplicates = 0;
            for _ in 0..PAIRS {
                let answers = [
                    upgrade.at_old.answer().await.unwrap(),
                    upgrade.at_new.answer().await.unwrap(),
                ];
                let served = answers.iter().filter(|answer| answer.starts_with('$'));
                assert!(served.count() <= 1, "{answers:?}");
                // One that a process refuses as it cannot take more is free for the other.
                duplicates += answers
                    .iter()
                    .filter(|answer| answer.starts_with("-ERR id"))
                    .count();
            }
            assert!(duplicates > PAIRS / 2, "{duplicates} of {PAIRS}");
        }
        upgrade.assert_sent_once();
    });
}

/// At the same process and at the other one, an id is free again as soon as its answer is out, if it may be repeated.
#[test]
fn an_id_whose_answer_is_out_stays_claimed_at_the_other_process() {
    run_within(TEST_LIMIT, async {
        let mut upgrade = Upgrade::start("free-ids").await;
        for round in 0..3 {
            let id = format!("free{round}");
            for client in [&mut upgrade.at_old, &mut upgrade.at_new] {
                client.send(&Kind::Read.command("k", &id)).await;
                assert_eq!(client.answer().await.unwrap(), bulk("k"));
            }
        }
        // A write that has run is not run again.
        upgrade.at_old.send(&Kind::Write.command("k", "w")).await;
        assert_eq!(upgrade.at_old.answer().await.unwrap(), bulk("receipt"));
        upgrade.at_new.send(&Kind::Write.command("k", "w")).await;
        assert_eq!(upgrade.at_new.answer().await.unwrap(), USED_ID);
    });
}

/// A process that is killed leaves its ids: a read may come again, and a write that may have run may not.
#[test]
fn the_ids_of_a_process_that_is_killed_stay_claimed() {
    run_within(TEST_LIMIT, async {
        for kill_old in [true, false] {
            let mut upgrade = Upgrade::start(&format!("killed-ids-{kill_old}")).await;
            let (killed, process, left) = if kill_old {
                (&mut upgrade.at_old, &upgrade.old, &mut upgrade.at_new)
            } else {
                (&mut upgrade.at_new, &upgrade.new, &mut upgrade.at_old)
            };
            killed.send(&Kind::Read.command("k", "read")).await;
            killed.send(&Kind::Write.command("k", "write")).await;
            sleep(ms(100)).await;
            process.signal("-KILL");
            assert_eq!(killed.answer().await, None);
            left.send(&Kind::Read.command("k", "read")).await;
            assert_eq!(left.answer().await.unwrap(), bulk("k"));
            left.send(&Kind::Write.command("k", "write")).await;
            assert_eq!(left.answer().await.unwrap(), USED_ID);
        }
    });
}
