//! Upgrades while discovery is down: what the process before was told of cache hosts holds in the new one.

use std::time::Duration;

use serde_json::{json, Value};
use stairfront_test_support::loopback::{
    bulk, cache, commands, config, hit, http, line, memory_folder, origin, run_within, Log, Step,
};
use stairfront_test_support::loopback::{until, unused_address, BalancerProcess, Client};

const TEST_LIMIT: Duration = Duration::from_secs(60);
const HOSTS: [&str; 3] = ["c0", "c1", "c2"];
/// Enough that each host that is in use gets some.
const KEYS: usize = 40;

/// What discovery tells before it is down, and what must come of it.
struct Story {
    name: &'static str,
    /// Lists, one for each call; further calls are not answered.
    lists: fn(&[Value]) -> Vec<Value>,
    /// Version of the list in the new process's file.
    version_of_file: u64,
    /// Whether `c0` gets requests after the upgrades.
    uses_first: bool,
}

fn changes(index: u64, servers: &[Value]) -> Value {
    json!({"index": index, "snapshot": false, "endpoints": servers})
}

fn complete(index: u64, servers: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": servers})
}

fn with_status(server: &Value, status: &str) -> Value {
    let mut server = server.clone();
    server["status"] = status.into();
    server
}

const STORIES: [Story; 6] = [
    Story {
        name: "drain",
        lists: |servers| vec![changes(5, &[with_status(&servers[0], "DRAINING")])],
        version_of_file: 1,
        uses_first: false,
    },
    Story {
        name: "removal",
        lists: |servers| vec![changes(5, &[with_status(&servers[0], "DELETED")])],
        version_of_file: 1,
        uses_first: false,
    },
    Story {
        name: "complete-list",
        lists: |servers| vec![complete(5, &servers[1..])],
        version_of_file: 1,
        uses_first: false,
    },
    Story {
        name: "two-changes",
        lists: |servers| {
            vec![
                complete(5, servers),
                changes(6, &[with_status(&servers[0], "DRAINING")]),
                changes(7, &[servers[1].clone()]),
            ]
        },
        version_of_file: 1,
        uses_first: false,
    },
    Story {
        name: "return",
        lists: |servers| {
            vec![
                changes(5, &[with_status(&servers[0], "DRAINING")]),
                changes(6, &[servers[0].clone()]),
            ]
        },
        version_of_file: 1,
        uses_first: true,
    },
    Story {
        name: "newer-file",
        lists: |servers| vec![changes(5, &[with_status(&servers[0], "DRAINING")])],
        version_of_file: 9,
        uses_first: true,
    },
];

async fn start_hosts(log: &Log) -> Vec<Value> {
    let mut servers = Vec::new();
    for name in HOSTS {
        let host = cache(name, log, |_, words| hit(&words[1])).await;
        servers.push(line(name, host, "box"));
    }
    servers
}

/// Requests for many keys; how many of them the first host has got.
async fn requests_at_first(process: &BalancerProcess, log: &Log, round: usize) -> usize {
    let before = commands(log, HOSTS[0]).len();
    let mut client = Client::connect(process.address).await.unwrap();
    for index in 0..KEYS {
        let key = format!("k{round}-{index}");
        assert_eq!(client.get(&key, &key, 1400).await, bulk(&key));
    }
    commands(log, HOSTS[0]).len() - before
}

impl Story {
    async fn play(&self) {
        let (log, directory) = (Log::default(), memory_folder());
        let servers = start_hosts(&log).await;
        let lists = (self.lists)(&servers);
        let told = lists.len();
        let agent = origin("agent", &log, move |call, _| match lists.get(call) {
            Some(list) => http(200, "", &list.to_string()),
            None => Step::Silence,
        });
        let mut text = config(unused_address(), agent.await, &servers, 256);
        let name = format!("lists-{}", self.name);
        let start = BalancerProcess::start_with(&name, text.clone(), Some(directory.path()));
        let mut old = start.await;
        // The call after the last list comes once that is applied.
        until(|| commands(&log, "agent").len() > told).await;
        text["known"]["index"] = self.version_of_file.into();
        // Two upgrades: what was taken over is handed on.
        for round in 0..2 {
            let name = format!("{name}-{round}");
            let new = BalancerProcess::start_successor(&name, &text, directory.path()).await;
            old.signal("-TERM");
            old.wait_for_exit().await;
            let count = requests_at_first(&new, &log, round).await;
            assert_eq!(count > 0, self.uses_first, "{name}: {count} at c0");
            old = new;
        }
    }
}

/// Guards against review/3: the new process began with the list of its file, and sent to a host of which the process before
/// had been told that it drains.
#[test]
fn an_upgrade_while_discovery_is_down_forgets_drains() {
    run_within(TEST_LIMIT, async {
        for story in STORIES {
            story.play().await;
        }
    });
}
