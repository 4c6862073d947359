//! A client that sends commands at full speed, sound or not, leaves the processor to others.
#[path = "held_memory/measure.rs"]
mod measure;

use std::time::Duration;

use measure::processor_ms;
use stairfront_test_support::loopback::BalancerProcess;
use stairfront_test_support::loopback::{
    cache, command, hit, ms, quiet_agent, run_within, Client, Log,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const TEST_LIMIT: Duration = Duration::from_secs(60);
const FLOOD: Duration = Duration::from_secs(2);
/// Part of a core that a flood may take.
const MAX_PROCESSOR: f64 = 0.3;

/// Writes commands as fast as the balancer takes them, and reads all answers.
async fn flood(process: &BalancerProcess, commands: impl Fn(usize) -> Vec<u8> + 'static) {
    let (mut answers, mut input) = TcpStream::connect(process.address)
        .await
        .unwrap()
        .into_split();
    spawn_local(async move {
        for round in 0.. {
            if input.write_all(&commands(round)).await.is_err() {
                return;
            }
        }
    });
    spawn_local(async move {
        let mut chunk = vec![0; 64 * 1024];
        while matches!(answers.read(&mut chunk).await, Ok(1..)) {}
    });
}

/// Plays floods of these commands from so many connections, beside a client that asks one request after the other.
async fn play(test: &str, connections: usize, commands: fn(usize) -> Vec<u8>) {
    let log = Log::default();
    let host = cache("cache", &log, |_, _| hit("v")).await;
    let process = BalancerProcess::start(test, quiet_agent(&log).await, host).await;
    for _ in 0..connections {
        flood(&process, commands).await;
    }
    let mut client = Client::connect(process.address).await.unwrap();
    sleep(ms(200)).await;
    let (began, used) = (Instant::now(), processor_ms(&process));
    let mut asked = 0;
    while began.elapsed() < FLOOD {
        client.get("k", &format!("beside-{asked}"), 1400).await;
        asked += 1;
        sleep(ms(20)).await;
    }
    let used = (processor_ms(&process) - used) as f64 / began.elapsed().as_millis() as f64;
    println!("{test}: {used:.2} of a core, {asked} requests beside it");
    assert!(used < MAX_PROCESSOR, "{used:.2} of a core");
}

#[test]
fn pipelined_pings_take_the_processor_from_other_clients() {
    run_within(TEST_LIMIT, async {
        play("pings", 1, |_| command(&["PING"]).repeat(1000)).await;
    });
}

#[test]
fn unsound_commands_under_ever_new_names_take_the_processor_from_other_clients() {
    run_within(TEST_LIMIT, async {
        play("unsound", 1, |round| {
            let names = (0..500).flat_map(|i| {
                let id = format!("{round}-{i}");
                let list = format!("c=class-{id},t=tenant-{id},d=100");
                let mut both = command(&["C.GET", &id, &id, &list]);
                both.extend(command(&[&format!("NAME-{id}")]));
                both
            });
            names.collect()
        })
        .await;
    });
}

#[test]
fn counters_asked_at_full_speed_on_many_connections_take_the_processor_from_other_clients() {
    run_within(TEST_LIMIT, async {
        play("counters", 40, |_| command(&["INFO"]).repeat(200)).await;
    });
}
