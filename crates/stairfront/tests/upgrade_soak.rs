//! Drawn upgrades in a row, some behind one that has not ended, beside clients up to a third of the descriptors that send
//! commands one by one or many at once, large answers that break, and a client that names the ids of open requests.
//!
//! `UPGRADE_SEEDS=1..50 cargo test -p stairfront --test upgrade_soak -- --nocapture` plays more seeds than CI.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use stairfront_common::random::SeededRng;
use stairfront_test_support::loopback::{
    bulk, cache, command, config, hit, http, line, memory_folder, ms, origin, quiet_agent,
    run_within, Client, Log, Step,
};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

const SEEDS_IN_CI: RangeInclusive<u64> = 1..=8;
const TEST_LIMIT: Duration = Duration::from_secs(60);
const WAIT_MS: u64 = 1500;
/// A request without an answer by then is lost.
const LOST_AFTER: Duration = Duration::from_millis(2 * WAIT_MS + 550);
/// What servers take for a small answer.
const LATENCY: Duration = Duration::from_millis(60);
const LARGE_BYTES: usize = 200_000;
const HOSTS: [&str; 4] = ["c0", "c1", "c2", "c3"];

/// What is drawn for a run.
#[derive(Debug)]
struct Script {
    sockets: usize,
    memory_mb: usize,
    clients: usize,
    /// For each upgrade, how long both processes run, and whether the next one begins before the old process has ended.
    upgrades: Vec<(Duration, bool)>,
}

fn draw(seed: u64) -> Script {
    let mut random = SeededRng::for_part(seed, "upgrade soak");
    let sockets = [256, 512, 1024][random.below(3_usize)];
    let count = 1 + random.below(3_usize);
    let mut upgrade = || (ms(random.below(900_u64)), random.happens(0.5));
    let upgrades = (0..count).map(|_| upgrade()).collect();
    Script {
        sockets,
        memory_mb: [64, 192][random.below(2_usize)],
        clients: (20 + random.below(60_usize)).min(sockets / 3 - 1),
        upgrades,
    }
}

/// What clients and servers have seen.
#[derive(Default)]
struct Witness {
    /// When a request of each id has reached a server.
    begun: RefCell<HashMap<String, Vec<Instant>>>,
    /// The ids that were sent last.
    recent: RefCell<Vec<String>>,
    /// The ids that were named by a client that does not have them.
    named: RefCell<HashSet<String>>,
    broken_rules: RefCell<Vec<String>>,
    served: Cell<usize>,
    is_stopped: Cell<bool>,
}

impl Witness {
    /// Notes that a request has reached a server. At the origin there are only writes, which must not run twice.
    fn note_begun(&self, id: &str, at_origin: bool) {
        let mut begun = self.begun.borrow_mut();
        let times = begun.entry(id.to_string()).or_default();
        let now = Instant::now();
        // An attempt that began so shortly before is still out.
        let is_open = |at: &Instant| now - *at < LATENCY - ms(10);
        let ran_twice = at_origin && !times.is_empty();
        if ran_twice || times.iter().any(is_open) {
            let before: Vec<Duration> = times.iter().map(|at| now - *at).collect();
            self.note_broken(format!("{id} has begun again, {before:?} after it had"));
        }
        times.push(now);
    }

    fn has_begun(&self, id: &str) -> bool {
        self.begun.borrow().contains_key(id)
    }

    /// Whether an answer is one that the request may get. Whoever names an id first has it.
    fn accepts(&self, sent: &Sent, answer: &str) -> bool {
        let is_taken = answer.starts_with("-ERR id") && self.named.borrow().contains(&sent.id);
        is_taken || sent.is_right(answer)
    }

    fn note_broken(&self, text: String) {
        self.broken_rules.borrow_mut().push(text);
    }
}

/// One command of a client and what it may be answered.
struct Sent {
    id: String,
    key: String,
    bytes: Vec<u8>,
}

impl Sent {
    fn draw(random: &mut SeededRng, prefix: &str) -> Self {
        let kind = ["small", "small", "small", "large", "broken", "write"][random.below(6_usize)];
        let key = format!("{kind}{}", random.below(40_u64));
        let id = format!("{kind}-{prefix}-{}", random.number());
        let list = |class: &str| format!("c={class},t=acme,d={WAIT_MS}");
        let bytes = match kind {
            "write" => command(&["C.SET", &key, &id, &list("once"), "value"]),
            _ => command(&["C.GET", &key, &id, &list("read")]),
        };
        Sent { id, key, bytes }
    }

    fn is_right(&self, answer: &str) -> bool {
        if answer.starts_with("-BUSY") || answer == "-ERR failed\r\n" {
            return true;
        }
        match &self.key {
            key if key.starts_with("write") => answer == bulk("receipt"),
            key if key.starts_with("large") => answer == bulk(&large_value()),
            key => answer == bulk(key),
        }
    }
}

fn large_value() -> String {
    "v".repeat(LARGE_BYTES)
}

/// The reaction of a cache host: what it does is in the key.
fn react(words: &[String], random: &RefCell<SeededRng>) -> Step {
    let key = words[1].as_str();
    match hit(&large_value()) {
        Step::Say(bytes) if key.starts_with("large") => Step::After(LATENCY, bytes),
        Step::Say(bytes) if key.starts_with("broken") => {
            let begun = 1000 + random.borrow_mut().below(bytes.len() - 1000);
            let after = ms(random.borrow_mut().below(400_u64));
            Step::BrokenAfter(bytes[..begun].to_vec(), after)
        }
        _ => after_latency(hit(key)),
    }
}

fn after_latency(step: Step) -> Step {
    match step {
        Step::Say(bytes) => Step::After(LATENCY, bytes),
        step => step,
    }
}

async fn configuration(script: &Script, witness: &Rc<Witness>, seed: u64) -> Value {
    let log = Log::default();
    let mut lines = Vec::new();
    for name in HOSTS {
        let witness = Rc::clone(witness);
        let random = RefCell::new(SeededRng::for_part(seed, name));
        let host = cache(name, &log, move |_, words| {
            witness.note_begun(&words[2], false);
            react(words, &random)
        })
        .await;
        lines.push(line(name, host, "box"));
    }
    let at_origin = Rc::clone(witness);
    let db = origin("db", &log, move |_, words| {
        let id = words
            .iter()
            .find_map(|word| word.strip_prefix("Request-Id: "));
        at_origin.note_begun(id.unwrap(), true);
        after_latency(http(200, "", "receipt"))
    })
    .await;
    lines.push(line("db", db, "origin"));
    let agent = quiet_agent(&log).await;
    let mut text = config(unused_address(), agent, &lines, script.sockets);
    text["limits"]["memory_mb"] = script.memory_mb.into();
    text["settings"]["tenants"][0]["quota_rps"] = 100_000.0.into();
    text["settings"]["caps"]["most_tries"] = 1.into();
    text["settings"]["profiles"] = json!([
        {"name": "read", "aim": 750.0, "deadline": 1500.0, "semantics": "free"},
        {"name": "once", "aim": 750.0, "deadline": 1500.0, "semantics": "single_shot"},
    ]);
    text
}

/// Sends commands, one or many at once, until the end.
async fn run_client(name: usize, address: SocketAddr, seed: u64, witness: Rc<Witness>) {
    let mut random = SeededRng::for_part(seed, &format!("client {name}"));
    let mut connection = None;
    while !witness.is_stopped.get() {
        let count = [1, 1, 2, 6][random.below(4_usize)];
        let prefix = name.to_string();
        let batch: Vec<Sent> = (0..count)
            .map(|_| Sent::draw(&mut random, &prefix))
            .collect();
        send_batch(batch, address, &mut connection, &witness).await;
        sleep(ms(50 + random.below(200_u64))).await;
    }
}

/// Sends commands at once and waits for their answers. What crosses the end of a connection is sent once more on a new one.
async fn send_batch(
    mut batch: Vec<Sent>,
    address: SocketAddr,
    connection: &mut Option<Client>,
    witness: &Witness,
) {
    for is_again in [false, true] {
        let mut client = match connection.take() {
            Some(client) => client,
            None => match Client::connect(address).await {
                Ok(client) => client,
                Err(_) => return,
            },
        };
        let bytes: Vec<u8> = batch.iter().flat_map(|sent| sent.bytes.clone()).collect();
        // The end of the connection is seen by the answers.
        let _ = client.try_send(&bytes).await;
        let ids = batch.iter().map(|sent| sent.id.clone());
        witness.recent.replace(ids.collect());
        let ended = loop {
            let Some(sent) = batch.first() else {
                break false;
            };
            match timeout(LOST_AFTER, client.answer()).await {
                Ok(Some(answer)) if witness.accepts(sent, &answer) => {
                    witness.served.set(witness.served.get() + 1)
                }
                Ok(Some(answer)) => witness.note_broken(format!("{}: {answer:.60}", sent.id)),
                Ok(None) => break true,
                Err(_) => return witness.note_broken(format!("{} is not answered", sent.id)),
            }
            batch.remove(0);
        };
        if !ended {
            *connection = Some(client);
            return;
        }
        // The last of a batch has nothing behind it, and breaks with its connection.
        if batch.len() == 1 && batch[0].key.starts_with("broken") {
            return;
        }
        let lost: Vec<&str> = batch
            .iter()
            .map(|sent| sent.id.as_str())
            .filter(|id| is_again || witness.has_begun(id))
            .collect();
        if !lost.is_empty() {
            return witness.note_broken(format!("the connection ended over {lost:?}"));
        }
    }
}

/// A client that names ids which others have just sent. Servers notice what is sent on of it.
async fn name_open_ids(address: SocketAddr, witness: Rc<Witness>) {
    while !witness.is_stopped.get() {
        sleep(ms(15)).await;
        let ids = witness.recent.take();
        let Ok(mut client) = Client::connect(address).await else {
            continue;
        };
        for id in ids.iter().filter(|id| !id.starts_with("broken")) {
            witness.named.borrow_mut().insert(id.clone());
            let list = format!("c=read,t=acme,d={WAIT_MS}");
            let sent = client
                .try_send(&command(&["C.GET", "foreign", id, &list]))
                .await;
            if sent.is_err() || client.answer().await.is_none() {
                break;
            }
        }
    }
}

async fn play(seed: u64) {
    let script = draw(seed);
    let (witness, directory) = (Rc::new(Witness::default()), memory_folder());
    let text = configuration(&script, &witness, seed).await;
    let name = format!("upgrade-soak-{seed}");
    let first = BalancerProcess::start_with(&name, text.clone(), Some(directory.path())).await;
    let address = first.address;
    let mut tasks: Vec<JoinHandle<()>> = Vec::new();
    for client in 0..script.clients {
        let task = run_client(client, address, seed, Rc::clone(&witness));
        tasks.push(spawn_local(task));
    }
    tasks.push(spawn_local(name_open_ids(address, Rc::clone(&witness))));
    let mut running = first;
    let mut ending = Vec::new();
    for (index, (both, is_behind)) in script.upgrades.iter().enumerate() {
        let test = format!("{name}-{index}");
        let next = BalancerProcess::spawn(&test, text.clone(), Some(directory.path()));
        next.wait_until_healthy().await;
        sleep(*both).await;
        running.signal("-TERM");
        ending.push(std::mem::replace(&mut running, next));
        if !is_behind {
            ending.last_mut().unwrap().wait_for_exit().await;
        }
    }
    for mut process in ending {
        process.wait_for_exit().await;
    }
    sleep(ms(500)).await;
    witness.is_stopped.set(true);
    for task in tasks {
        task.await.unwrap();
    }
    println!("seed {seed}: {} answered", witness.served.get());
    let broken = witness.broken_rules.take();
    assert_eq!(broken, Vec::<String>::new(), "seed {seed}: {script:?}");
    assert!(
        witness.served.get() > script.clients,
        "seed {seed}: {script:?}"
    );
}

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("UPGRADE_SEEDS") else {
        return SEEDS_IN_CI;
    };
    let (first, last) = text.split_once("..").expect("UPGRADE_SEEDS=A..B");
    first.parse().unwrap()..=last.parse().unwrap()
}

#[test]
fn drawn_upgrades_beside_batches_breaks_and_open_ids_break_no_rule() {
    for seed in seeds() {
        run_within(TEST_LIMIT, play(seed));
    }
}
