//! During an upgrade a bad client names the id of another client's open request at the other process.
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::balancer::{configuration, entry, free_address, Balancer, SIGTERM};
use crate::client::{get, Answer, Client};
use crate::servers::{cache, origin, Begun, Reaction, Work};
use crate::{Failure, Rig, Verdict};

const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
const PATIENCE: u64 = 1500;
const ROUNDS: usize = 8;
/// SIGTERM reaches the old process within 6 s of the new one's yes; until then both accept.
const WINDOW: Duration = Duration::from_secs(5);

pub fn run(rig: &Rig) -> Result<Verdict, Failure> {
    let work = Work::default();
    let mut known = Vec::new();
    for n in 1..=4 {
        let name = format!("s-{n}");
        let reactions = Arc::new(|begun: &Begun| {
            Reaction::Value(Duration::from_millis(400), begun.key.clone().into_bytes())
        });
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
    // The usual client's connection belongs to the old process.
    let mut usual = Client::connect(listen)?;
    ask(rig, "usual", &mut usual, "first", "first");
    if rig.trouble {
        let new = Balancer::start(rig, "new", &config, new_ops, &state)?;
        new.wait_until_healthy(Duration::from_secs(6))?;
        rig.record.note("new: says yes");
    }
    let (mut wrong, yes) = (Vec::new(), Instant::now());
    for round in 0..ROUNDS {
        if yes.elapsed() > WINDOW {
            break;
        }
        let id = format!("open{round}");
        let command = get(&format!("k{round}"), &id, PATIENCE);
        rig.record.note(&format!("usual: sends {id}"));
        usual.send(&command)?;
        sleep(Duration::from_millis(100));
        let bad: Vec<_> = (0..3)
            .map(|n| spawn_bad(rig, listen, n, round, &id))
            .collect();
        for bad in bad {
            if let Ok(Some(text)) = bad.join() {
                rig.record.note(&text);
                wrong.push(text);
            }
        }
        let answer = usual.answer(Duration::from_millis(2050));
        rig.record
            .note(&format!("usual: {id} gets {}", show(&answer)));
    }
    old.signal(SIGTERM)?;
    let text = format!(
        "{} requests of a bad client with the id of an open request served with a value",
        wrong.len()
    );
    Ok(if wrong.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

/// A bad client: it names the id of an open request. The text says that it was served.
fn spawn_bad(
    rig: &Rig,
    listen: SocketAddr,
    n: usize,
    round: usize,
    id: &str,
) -> std::thread::JoinHandle<Option<String>> {
    let (record, id) = (Arc::clone(&rig.record), id.to_string());
    spawn(move || {
        let mut bad = Client::connect(listen).ok()?;
        let _ = bad.send(&get(&format!("foreign{round}-{n}"), &id, PATIENCE));
        let answer = bad.answer(Duration::from_millis(2050));
        record.note(&format!("bad {n}: {id} gets {}", show(&answer)));
        matches!(answer, Answer::Value(_))
            .then(|| format!("bad {n}: served with the id {id} of an open request"))
    })
}

fn ask(rig: &Rig, who: &str, client: &mut Client, key: &str, id: &str) {
    let _ = client.send(&get(key, id, PATIENCE));
    let answer = client.answer(Duration::from_millis(2050));
    rig.record
        .note(&format!("{who}: {id} gets {}", show(&answer)));
}

fn show(answer: &Answer) -> String {
    match answer {
        Answer::Value(value) => format!("the value {}", String::from_utf8_lossy(value)),
        other => format!("{other:?}"),
    }
}
