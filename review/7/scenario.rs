//! An upgrade while 84 clients are connected: connections that come from the old process wait for a place in the new one.
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::balancer::{configuration, entry, free_address, Balancer, SIGKILL, SIGTERM};
use crate::client::{get, Answer, Client};
use crate::record::Record;
use crate::servers::{cache, origin, Reaction, Work};
use crate::{Failure, Rig, Verdict};

/// The least limit of descriptors that the pages name. Clients hold a third of it at most: 85.
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":256}"#;
/// Clients that are there before the upgrade, and that come while both processes run.
const BEFORE: usize = 40;
const MEANWHILE: usize = 44;
/// What a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Up to half a second later an answer only earns nothing; 50 ms more on sockets.
const SLACK: Duration = Duration::from_millis(550);
/// A client's pause between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(200);

struct Shared {
    record: Arc<Record>,
    address: SocketAddr,
    stopped: AtomicBool,
    /// The old process has ended, or there is no upgrade.
    is_alone: AtomicBool,
    answered: AtomicUsize,
    refused: AtomicUsize,
    lost: Mutex<Vec<String>>,
}

pub fn run(rig: &Rig) -> Result<Verdict, Failure> {
    let work = Work::default();
    let mut known = Vec::new();
    for n in 1..=12 {
        let name = format!("s-{n}");
        let reactions =
            Arc::new(|_: &_| Reaction::Value(Duration::from_millis(60), b"map".to_vec()));
        let address = cache(&rig.record, &work, &name, reactions)?;
        known.push((name.clone(), entry(&name, address, "std-box", "SERVING")));
    }
    let address = origin(&rig.record, &work, Duration::from_millis(60))?;
    known.push(("db".to_string(), entry("db", address, "origin", "SERVING")));
    let agent = Agent::start(&rig.record, &known)?;
    let (listen, old_ops, new_ops) = (free_address(), free_address(), free_address());
    let lines: Vec<String> = known.iter().map(|(_, line)| line.clone()).collect();
    let config = rig.folder.join("config.json");
    fs::write(
        &config,
        configuration(listen, agent.address, old_ops, LIMITS, &lines),
    )?;
    let state = rig.folder.join("state");
    fs::create_dir(&state)?;

    let old = Balancer::start(rig, "old", &config, old_ops, &state)?;
    old.wait_until_healthy(Duration::from_secs(10))?;
    let shared = Arc::new(Shared {
        record: Arc::clone(&rig.record),
        address: listen,
        stopped: AtomicBool::new(false),
        is_alone: AtomicBool::new(!rig.trouble),
        answered: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        lost: Mutex::default(),
    });
    let mut clients = BTreeMap::new();
    for n in 0..BEFORE {
        let shared = Arc::clone(&shared);
        clients.insert(n, spawn(move || client(n, &shared)));
        sleep(Duration::from_millis(10));
    }
    sleep(Duration::from_secs(3));
    if rig.trouble {
        let new = Balancer::start(rig, "new", &config, new_ops, &state)?;
        new.wait_until_healthy(Duration::from_secs(6))?;
        rig.record.note("new: says yes");
    }
    for n in BEFORE..BEFORE + MEANWHILE {
        let shared = Arc::clone(&shared);
        clients.insert(n, spawn(move || client(n, &shared)));
        sleep(Duration::from_millis(10));
    }
    sleep(Duration::from_secs(2));
    if rig.trouble {
        old.signal(SIGTERM)?;
        rig.record.note("old: told to end");
        let told = Instant::now();
        while !old.has_ended() {
            // The longest deadline and 0.7 s more.
            if told.elapsed() > Duration::from_millis(2200) {
                old.signal(SIGKILL)?;
                rig.record.note("old: killed");
                break;
            }
            sleep(Duration::from_millis(10));
        }
        shared.is_alone.store(true, Ordering::SeqCst);
        rig.record.note(&format!(
            "old: ended {} ms after it was told",
            told.elapsed().as_millis()
        ));
    }
    sleep(Duration::from_secs(6));
    shared.stopped.store(true, Ordering::SeqCst);
    for (_, client) in clients {
        let _ = client.join();
    }
    let lost = shared.lost.lock().unwrap();
    let (answered, refused) = (
        shared.answered.load(Ordering::SeqCst),
        shared.refused.load(Ordering::SeqCst),
    );
    let text = format!("{} requests sent after the upgrade never answered, {answered} answered, {refused} of them refused", lost.len());
    rig.record.note(&text);
    if answered < 1000 {
        return Err(format!("too little was served: {text}").into());
    }
    Ok(if lost.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(format!("{text}: {}", lost.join(" ")))
    })
}

/// A client that keeps its connection and sends one request after another.
fn client(n: usize, shared: &Shared) {
    let mut connection: Option<Client> = None;
    for request in 0.. {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        ask(&format!("r{n}-{request}"), n, shared, &mut connection);
        sleep(PAUSE);
    }
}

/// Sends one request and waits for its answer. One that crosses the end of a connection between two requests is sent once
/// more on a new connection.
fn ask(id: &str, n: usize, shared: &Shared, connection: &mut Option<Client>) {
    let command = get(&format!("k{}", n % 60), id, PATIENCE.as_millis() as u64);
    for again in [false, true] {
        let mut kept = match connection.take() {
            Some(kept) => kept,
            None => match connect(shared) {
                Some(new) => new,
                // It was not let in: nothing of it was taken.
                None => return,
            },
        };
        let sent = Instant::now();
        // What ends at the door while there are two processes is priced, and not lost.
        let counts = shared.is_alone.load(Ordering::SeqCst);
        if again {
            shared
                .record
                .note(&format!("client {n}: sends {id} once more"));
        }
        if kept.send(&command).is_err() {
            continue;
        }
        match kept.answer(PATIENCE + SLACK) {
            Answer::Ended if !again => continue,
            Answer::Nothing | Answer::Ended | Answer::CutValue(_) => {
                let waited = sent.elapsed().as_millis();
                shared.record.note(&format!(
                    "client {n}: {id} not answered after {waited} ms, counts: {counts}"
                ));
                if counts {
                    shared.lost.lock().unwrap().push(id.to_string());
                }
                return;
            }
            Answer::Line(_) => {
                shared.refused.fetch_add(1, Ordering::SeqCst);
            }
            Answer::Value(_) => {}
        }
        shared.answered.fetch_add(1, Ordering::SeqCst);
        *connection = Some(kept);
        return;
    }
}

fn connect(shared: &Shared) -> Option<Client> {
    Client::connect(shared.address).ok()
}
