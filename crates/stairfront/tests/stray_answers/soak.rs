//! Drawn runs: second answers of all forms and delays by cache hosts and the origin, few or many descriptors, a crowd of idle clients, signals in series, and
//! clients that use their open connections until the kill at its earliest.
//!
//! `STRAY_ANSWER_SEEDS=1..50 cargo test -p stairfront --test stray_answers drawn -- --nocapture` plays more seeds than CI.
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use stairfront_common::random::SeededRng;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use super::repeating_host::{value_of, Faults, HostLog, Repeat};
use super::{configuration_with, start_hosts, unrepeatable_begun_twice, LIMIT};
use stairfront_test_support::loopback::BalancerProcess;
use stairfront_test_support::loopback::{bulk, command, ms, quiet_agent, run_within, Client, Log};

const SEEDS_IN_CI: std::ops::RangeInclusive<u64> = 1..=4;
/// The longest deadline of the settings and 0.7 s: when a planned end may be cut short at the earliest.
const KILL_AFTER_MS: u64 = 1500 + 700;

/// What is drawn for a run.
#[derive(Debug)]
struct Script {
    faults: Faults,
    clients: usize,
    sockets: usize,
    /// Clients that connect and send nothing.
    crowd: usize,
    /// Times of SIGHUP, from the start.
    hangups_ms: Vec<u64>,
    /// Time of SIGTERM.
    end_ms: u64,
}

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    served: Cell<u64>,
    unserved: Cell<u64>,
    broken_rules: RefCell<Vec<String>>,
    /// Requests whose connection ended before an answer.
    unanswered: RefCell<HashSet<String>>,
}

fn draw(seed: u64) -> Script {
    let mut random = SeededRng::for_part(seed, "stray answers");
    let repeat = [Repeat::Copy, Repeat::Busy, Repeat::WithNext][random.below(3_usize)];
    let earliest = random.below(60_u64);
    let scarce = random.happens(0.4);
    let end_ms = 1200 + random.below(800_u64);
    let hangups = random.below(4_u64);
    Script {
        faults: Faults {
            repeat,
            one_in: [5, 20][random.below(2_usize)],
            missing: [0.0, 0.0, 0.2, 0.6][random.below(4_usize)],
            delay_ms: earliest..=earliest + random.below(90_u64),
            work_ms: 1..=10 + random.below(90_u64),
        },
        clients: if scarce {
            7
        } else {
            8 + random.below(24_usize)
        },
        sockets: if scarce { 50 } else { 1024 },
        crowd: if random.happens(0.3) { 40 } else { 0 },
        hangups_ms: (0..hangups).map(|_| random.below(end_ms)).collect(),
        end_ms,
    }
}

/// Sends one request after the other on a connection until it ends, and again on a new one while there is one to be had.
async fn use_connections(address: std::net::SocketAddr, name: usize, seen: Rc<Seen>) {
    let mut i = 0;
    while let Ok(mut client) = Client::connect(address).await {
        loop {
            let class = ["read", "hold"][i % 2];
            let id = format!("{name}-{i}-{class}");
            let words = ["C.GET", &id, &id, &format!("c={class},t=acme,d=1400")];
            i += 1;
            if client.try_send(&command(&words)).await.is_err() {
                break;
            }
            let sent_at = Instant::now();
            let Some(answer) = client.answer().await else {
                seen.unanswered.borrow_mut().insert(id);
                break;
            };
            // Half a second after its time an answer only earns nothing.
            if sent_at.elapsed() > ms(1400 + 500) {
                let late = format!("{id} was answered after {:?}", sent_at.elapsed());
                seen.broken_rules.borrow_mut().push(late);
            }
            if answer == bulk(&value_of(&id)) {
                seen.served.set(seen.served.get() + 1);
            } else if answer.starts_with('-') {
                seen.unserved.set(seen.unserved.get() + 1);
                sleep(ms(20)).await;
            } else {
                let foreign = format!("{id} was answered {answer:?}");
                seen.broken_rules.borrow_mut().push(foreign);
            }
        }
        sleep(ms(5)).await;
    }
}

async fn play(seed: u64) {
    let script = draw(seed);
    let (agent_log, host_log) = (Log::default(), Rc::new(HostLog::default()));
    let agent = quiet_agent(&agent_log).await;
    let lines = start_hosts(&script.faults, seed, &host_log).await;
    let configuration = configuration_with(agent, &lines, script.sockets);
    let mut process =
        BalancerProcess::start_with(&format!("soak{seed}"), configuration, None).await;
    let (seen, start) = (Rc::new(Seen::default()), Instant::now());
    let mut crowd = Vec::new();
    for _ in 0..script.crowd {
        crowd.push(Client::connect(process.address).await);
    }
    let mut clients = Vec::new();
    for name in 0..script.clients {
        let used = use_connections(process.address, name, Rc::clone(&seen));
        clients.push(spawn_local(used));
    }
    let mut hangups = script.hangups_ms.clone();
    hangups.sort_unstable();
    for at in hangups {
        tokio::time::sleep_until(start + ms(at)).await;
        process.signal("-HUP");
    }
    tokio::time::sleep_until(start + ms(script.end_ms)).await;
    process.signal("-TERM");
    let kill_at = Instant::now() + ms(KILL_AFTER_MS);
    while process.child.try_wait().unwrap().is_none() && Instant::now() < kill_at {
        sleep(ms(5)).await;
    }
    process.child.kill().unwrap();
    for client in clients {
        client.await.unwrap();
    }
    let begun = host_log.begun.borrow();
    // One that was begun at a host had been read, so the end of its connection has lost it.
    let unanswered = seen.unanswered.borrow();
    let lost = unanswered.iter().filter(|id| begun.contains_key(*id));
    let lost = lost.map(|id| format!("{id} was begun and never answered"));
    let mut broken_rules = seen.broken_rules.borrow().clone();
    broken_rules.extend(lost);
    broken_rules.extend(unrepeatable_begun_twice(&host_log));
    println!(
        "seed {seed}: {} served, {} unserved, {} not read, {} repeated, {} broken rules",
        seen.served.get(),
        seen.unserved.get(),
        unanswered.len(),
        host_log.repeated.get(),
        broken_rules.len(),
    );
    assert_eq!(
        broken_rules,
        Vec::<String>::new(),
        "seed {seed}: {script:?}"
    );
    assert!(seen.served.get() > 0, "seed {seed}: {script:?}");
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("STRAY_ANSWER_SEEDS") else {
        return SEEDS_IN_CI;
    };
    let (first, last) = text.split_once("..").expect("STRAY_ANSWER_SEEDS=A..B");
    first.parse().unwrap()..=last.parse().unwrap()
}

#[test]
fn drawn_second_answers_signals_and_crowds_lose_no_request_and_run_none_twice() {
    for seed in seeds() {
        run_within(LIMIT, play(seed));
    }
}
