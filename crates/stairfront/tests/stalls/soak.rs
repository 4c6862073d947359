//! Drawn runs: stalls by signals and in single system calls, clients that stay and clients that leave, drains and restarts of
//! hosts, SIGHUPs, a SIGTERM (also into a stall), a crowd of idle clients, few or many descriptors. Clients use their open
//! connections until the kill, at its earliest.
//!
//! `STALL_SEEDS=1..50 cargo test -p stairfront --test stalls drawn -- --nocapture` plays more seeds than CI.
use std::ops::RangeInclusive;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use stairfront_common::random::SeededRng;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

use super::stand_ins::{leave_behind, stay, RequestShape};
use super::{stall_shim, World, WorldSettings, HOSTS, PATIENCE_MS};
use stairfront_test_support::loopback::{ms, run_within, Client};

const SEEDS_IN_CI: RangeInclusive<u64> = 1..=6;
const LIMIT: Duration = Duration::from_secs(60);
/// The longest deadline of the settings and 0.7 s: when a planned end may be cut short at the earliest.
pub const KILL_AFTER_MS: u64 = 1500 + 700;
/// A process that is stopped when it is killed can answer nothing: the last stall ends so long after SIGTERM.
const LAST_STALL_AFTER_MS: u64 = 700;
const MIN_STALL_MS: u64 = 250;
const MAX_STALL_MS: u64 = 1200;

/// One stall by signals.
#[derive(Clone, Copy, Debug)]
struct Stop {
    at_ms: u64,
    for_ms: u64,
}

/// What is drawn for a run.
#[derive(Debug)]
struct Script {
    work_ms: u64,
    faulty: f64,
    sockets: usize,
    /// Clients that send one request after the other until the end.
    staying: usize,
    /// Clients that connect and send nothing.
    crowd: usize,
    stops: Vec<Stop>,
    /// One in so many of these system calls stalls; none where it is 0.
    calls: &'static str,
    one_in: u64,
    /// Times at which a host drains, and at which one starts anew.
    drain_ms: u64,
    restart_ms: u64,
    hangups_ms: Vec<u64>,
    /// Time of SIGTERM.
    end_ms: u64,
}

fn draw(seed: u64) -> Script {
    let mut random = SeededRng::for_part(seed, "stall soak");
    let end_ms = 2500 + random.below(1500_u64);
    let by_calls = random.happens(0.5);
    let stop_count = if by_calls { 0 } else { 1 + random.below(3_u64) };
    let mut stops: Vec<Stop> = Vec::new();
    for _ in 0..stop_count {
        let earliest = stops
            .last()
            .map_or(100, |stop| stop.at_ms + stop.for_ms + 50);
        stops.push(Stop {
            at_ms: earliest + random.below(800_u64),
            for_ms: MIN_STALL_MS + random.below(MAX_STALL_MS - MIN_STALL_MS),
        });
    }
    if !by_calls && random.happens(0.4) {
        // SIGTERM comes while the process stands still.
        let for_ms = MIN_STALL_MS + random.below(400_u64);
        stops.retain(|stop| stop.at_ms + stop.for_ms + 200 < end_ms);
        stops.push(Stop {
            at_ms: end_ms - 100,
            for_ms,
        });
    }
    stops.retain(|stop| stop.at_ms + stop.for_ms < end_ms + LAST_STALL_AFTER_MS);
    // Most drains are told while the process stands still.
    let drain_ms = match stops.first() {
        Some(stop) if random.happens(0.7) => stop.at_ms + random.below(stop.for_ms),
        _ => 300 + random.below(2000_u64),
    };
    let scarce = random.happens(0.3);
    let hangups = random.below(4_u64);
    Script {
        work_ms: 1 + random.below(60_u64),
        faulty: [0.0, 0.02, 0.05][random.below(3_usize)],
        sockets: if scarce { 60 } else { 1024 },
        staying: 4 + random.below(8_usize),
        crowd: if random.happens(0.3) { 30 } else { 0 },
        stops,
        calls: ["recv", "epoll_wait", "connect", "recv,epoll_wait,connect"][random.below(4_usize)],
        one_in: if by_calls {
            150 + random.below(500_u64)
        } else {
            0
        },
        drain_ms,
        restart_ms: 300 + random.below(2000_u64),
        hangups_ms: (0..hangups).map(|_| random.below(end_ms)).collect(),
        end_ms,
    }
}

/// The environment of a process whose system calls stall as drawn, until the file is there.
fn stall_variables(script: &Script, seed: u64, off: &Path) -> Vec<(&'static str, String)> {
    if script.one_in == 0 {
        return Vec::new();
    }
    vec![
        ("LD_PRELOAD", stall_shim().to_string()),
        ("STALL_CALLS", script.calls.to_string()),
        ("STALL_ONE_IN", script.one_in.to_string()),
        ("STALL_MS_MIN", MIN_STALL_MS.to_string()),
        ("STALL_MS_MAX", (MAX_STALL_MS - 400).to_string()),
        ("STALL_SEED", seed.to_string()),
        ("STALL_OFF", off.display().to_string()),
    ]
}

/// Sends many commands at once and leaves, again and again.
async fn leave_again_and_again(world: Rc<World>, seed: u64, until: Instant) {
    let mut random = SeededRng::for_part(seed, "leavers");
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    let mut round = 0;
    while Instant::now() < until {
        let shape = RequestShape {
            commands: [1, 1, 3, 24][random.below(4_usize)],
            wait_ms: [PATIENCE_MS, 400, 1400][random.below(3_usize)],
            patience: ms(PATIENCE_MS),
        };
        if let Ok(client) = Client::connect(world.process.address).await {
            let witness = Rc::clone(&world.witness);
            let name = format!("left-{round}");
            clients.push(spawn_local(leave_behind(client, name, shape, witness)));
        }
        round += 1;
        sleep(ms(10 + random.below(60_u64))).await;
    }
    for client in clients {
        client.await.unwrap();
    }
}

/// Events of a run in the order of their times.
enum Step {
    Stop,
    Continue,
    Drain,
    Restart,
    Hangup,
    Terminate,
}

fn steps(script: &Script) -> Vec<(u64, Step)> {
    let mut steps = vec![
        (script.drain_ms, Step::Drain),
        (script.restart_ms, Step::Restart),
        (script.end_ms, Step::Terminate),
    ];
    for stop in &script.stops {
        steps.push((stop.at_ms, Step::Stop));
        steps.push((stop.at_ms + stop.for_ms, Step::Continue));
    }
    steps.extend(script.hangups_ms.iter().map(|at| (*at, Step::Hangup)));
    steps.sort_by_key(|(at, _)| *at);
    steps
}

async fn carry_out(world: &World, script: &Script, start: Instant) {
    for (at, step) in steps(script) {
        sleep_until(start + ms(at)).await;
        match step {
            Step::Stop => world.process.signal("-STOP"),
            Step::Continue => world.process.signal("-CONT"),
            Step::Drain => world.agent.drain(0),
            Step::Restart => world.agent.restart(HOSTS - 1),
            Step::Hangup => world.process.signal("-HUP"),
            Step::Terminate => world.process.signal("-TERM"),
        }
    }
}

async fn play(seed: u64) {
    let script = draw(seed);
    let off = std::env::temp_dir().join(format!("stall-off-{seed}-{}", std::process::id()));
    let settings = WorldSettings {
        sockets: script.sockets,
        faulty: script.faulty,
        seed,
        ..WorldSettings::working_for(script.work_ms)
    };
    let variables = stall_variables(&script, seed, &off);
    let world = World::start_with(&format!("soak{seed}"), settings, &variables).await;
    let world = Rc::new(world);
    let start = Instant::now();
    let kill = start + ms(script.end_ms + KILL_AFTER_MS);
    let mut crowd = Vec::new();
    for _ in 0..script.crowd {
        crowd.push(Client::connect(world.process.address).await);
    }
    let mut clients = vec![spawn_local(leave_again_and_again(
        Rc::clone(&world),
        seed,
        kill,
    ))];
    for name in 0..script.staying {
        let witness = Rc::clone(&world.witness);
        clients.push(spawn_local(stay(world.process.address, name, witness)));
    }
    carry_out(&world, &script, start).await;
    sleep_until(start + ms(script.end_ms + LAST_STALL_AFTER_MS)).await;
    std::fs::write(&off, "").unwrap();
    sleep_until(kill).await;
    world.witness.killed_at.set(Some(Instant::now()));
    world.process.signal("-KILL");
    for client in clients {
        client.await.unwrap();
    }
    let _ = std::fs::remove_file(&off);
    println!("seed {seed}: {}", world.witness);
    // How long single calls have stalled is not known here.
    let stalled = match script.one_in {
        0 => script.stops.iter().map(|stop| ms(stop.for_ms)).sum(),
        _ => Duration::MAX,
    };
    let broken = world.witness.broken_rules(stalled);
    assert_eq!(broken, Vec::<String>::new(), "seed {seed}: {script:?}");
    assert!(world.witness.served.get() > 0, "seed {seed}: {script:?}");
}

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("STALL_SEEDS") else {
        return SEEDS_IN_CI;
    };
    let (first, last) = text.split_once("..").expect("STALL_SEEDS=A..B");
    first.parse().unwrap()..=last.parse().unwrap()
}

#[test]
fn drawn_stalls_signals_lists_and_crowds_break_no_rule() {
    for seed in seeds() {
        run_within(LIMIT, play(seed));
    }
}
