//! A connection ends only once every command that had come on it has its answer, whatever ends the connection.

use std::time::Duration;

use stairfront_balancer::lifecycle::shutdown::Phase;
use stairfront_test_support::loopback::{
    cache, command, get, hit, line, ms, quiet_agent, run_within, Balancer, Client, Log, Step,
};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long clients wait for one request.
const DEADLINE_MS: u64 = 900;
/// Until when the process must have ended: all requests have their answers by their deadline.
const END_TIMEOUT: Duration = Duration::from_secs(5);
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A balancer with two cache hosts, of which one hangs.
async fn with_a_hung_host(log: &Log, change: impl FnOnce(&mut serde_json::Value)) -> Balancer {
    let sound = cache("sound", log, |_, words| match hit(&words[1]) {
        Step::Say(bytes) => Step::After(ms(30), bytes),
        step => step,
    });
    let hung = cache("hung", log, |_, _| Step::Silence);
    let hosts = [
        line("c1", sound.await, "box"),
        line("c2", hung.await, "box"),
    ];
    Balancer::start_with(quiet_agent(log).await, &hosts, change).await
}

/// So many requests in one write, the keys spread over both hosts.
fn pipeline(requests: usize) -> Vec<u8> {
    (0..requests)
        .flat_map(|i| get(&format!("{i:016x}"), &format!("request-{i}"), DEADLINE_MS))
        .collect()
}

/// Goes through the phases of a shutdown as SIGTERM does, in less time.
fn shut_down(balancer: &Balancer) {
    let phase = balancer.phase.clone();
    spawn_local(async move {
        for next in [Phase::Draining, Phase::Closing, Phase::Last] {
            phase.send_replace(next);
            sleep(ms(60)).await;
        }
    });
}

/// Reads so many answers; how many came before the connection ended.
async fn answers(client: &mut Client, wanted: usize) -> usize {
    for came in 0..wanted {
        if client.answer().await.is_none() {
            return came;
        }
    }
    wanted
}

/// A client that sends more at once than may be open lost what was unread as the process ended.
#[test]
fn commands_behind_open_ones_are_answered_before_their_connection_ends_at_a_shutdown() {
    run_within(TEST_TIMEOUT, async {
        for (requests, before) in [(17, 0), (32, 100), (100, 300), (2_000, 20), (5_000, 200)] {
            let log = Log::default();
            let balancer = with_a_hung_host(&log, |_| {}).await;
            let client = balancer.client().await;
            let (mut read, mut write) = tokio::io::split(client.socket);
            let bytes = pipeline(requests);
            // What the kernels do not hold is written as the balancer reads; none of that counts as having come.
            let writing = spawn_local(async move {
                let _ = write.write_all(&bytes).await;
                write
            });
            sleep(ms(before)).await;
            shut_down(&balancer);
            let mut came = 0;
            let mut chunk = vec![0; 65536];
            while let Ok(n @ 1..) = tokio::io::AsyncReadExt::read(&mut read, &mut chunk).await {
                came += chunk[..n]
                    .iter()
                    .filter(|byte| matches!(**byte, b'$' | b'-'))
                    .count();
                if came >= requests {
                    break;
                }
            }
            assert_eq!(came, requests, "of {requests}, {before} ms before the end");
            drop(writing);
            let ended = timeout(END_TIMEOUT, balancer.done).await;
            ended.expect("it ends").unwrap();
        }
    });
}

/// Commands that are answered at once are paced, and those behind them waited unread as well.
#[test]
fn paced_commands_are_answered_before_their_connection_ends_at_a_shutdown() {
    run_within(TEST_TIMEOUT, async {
        let log = Log::default();
        let balancer = with_a_hung_host(&log, |_| {}).await;
        let mut client = balancer.client().await;
        let pings = 1_000;
        client.send(&command(&["PING"]).repeat(pings)).await;
        client.send(&get("k", "behind", DEADLINE_MS)).await;
        sleep(ms(10)).await;
        for phase in [Phase::Draining, Phase::Closing, Phase::Last] {
            balancer.phase.send_replace(phase);
        }
        assert_eq!(answers(&mut client, pings + 1).await, pings + 1);
        assert_eq!(client.answer().await, None);
    });
}

/// What comes in the middle of a command as the process ends was never taken.
#[test]
fn half_a_command_behind_others_does_not_keep_the_process_from_ending() {
    run_within(TEST_TIMEOUT, async {
        let log = Log::default();
        let balancer = with_a_hung_host(&log, |_| {}).await;
        let mut client = balancer.client().await;
        client.send(&pipeline(40)).await;
        client.send(&get("half", "half", DEADLINE_MS)[..20]).await;
        sleep(ms(50)).await;
        shut_down(&balancer);
        assert_eq!(answers(&mut client, 40).await, 40);
        assert_eq!(client.answer().await, None);
        timeout(END_TIMEOUT, balancer.done)
            .await
            .expect("it ends")
            .unwrap();
    });
}

/// The answers before it were given, the error line is the last one.
#[test]
fn commands_before_malformed_input_are_answered_although_the_process_ends() {
    run_within(TEST_TIMEOUT, async {
        for ends in [false, true] {
            let log = Log::default();
            let balancer = with_a_hung_host(&log, |_| {}).await;
            let mut client = balancer.client().await;
            client.send(&pipeline(40)).await;
            client.send(b"GET / HTTP/1.1\r\n\r\n").await;
            sleep(ms(50)).await;
            if ends {
                shut_down(&balancer);
            }
            assert_eq!(
                answers(&mut client, 40).await,
                40,
                "the process ends: {ends}"
            );
            let last = client.answer().await;
            assert_eq!(last.as_deref(), Some("-ERR Protocol error\r\n"));
            assert_eq!(client.answer().await, None);
        }
    });
}

fn put(value_bytes: usize, id: &str, class: &str) -> Vec<u8> {
    let list = format!("c={class},t=acme,d={DEADLINE_MS}");
    command(&["C.SET", "k", id, &list, &"v".repeat(value_bytes)])
}

/// Clients that hold all memory for large values: each has announced one and sends no more of it.
async fn hold_memory(balancer: &Balancer) -> Vec<Client> {
    let mut held = Vec::new();
    // Smaller and smaller ones, until there is none left for a value of 100,000 bytes.
    for i in 0..24 {
        let mut client = balancer.client().await;
        let bytes = [4 << 20, 1 << 20, 300_000, 100_000][i / 6];
        let whole = put(bytes, &format!("held-{i}"), "read");
        client.send(&whole[..20_000]).await;
        held.push(client);
    }
    sleep(ms(50)).await;
    held
}

/// A large write that waits for memory has come, and so has what stands behind it.
#[test]
fn commands_that_wait_for_memory_are_refused_before_their_connection_ends_at_a_shutdown() {
    run_within(TEST_TIMEOUT, async {
        let log = Log::default();
        let small = |text: &mut serde_json::Value| text["limits"]["memory_mb"] = 48.into();
        let balancer = with_a_hung_host(&log, small).await;
        let _held = hold_memory(&balancer).await;
        let mut client = balancer.client().await;
        client.send(&get("k", "before", DEADLINE_MS)).await;
        client.send(&put(100_000, "waits", "read")).await;
        client.send(&get("k", "behind", DEADLINE_MS)).await;
        sleep(ms(50)).await;
        for phase in [Phase::Draining, Phase::Closing, Phase::Last] {
            balancer.phase.send_replace(phase);
        }
        assert_eq!(answers(&mut client, 3).await, 3);
        assert_eq!(client.answer().await, None);
    });
}

/// There was no memory for its value, and its connection ended over the commands behind it.
#[test]
fn a_large_command_that_makes_no_request_ends_no_connection_for_want_of_memory() {
    run_within(TEST_TIMEOUT, async {
        let log = Log::default();
        let small = |text: &mut serde_json::Value| text["limits"]["memory_mb"] = 48.into();
        let balancer = with_a_hung_host(&log, small).await;
        let _held = hold_memory(&balancer).await;
        let mut client = balancer.client().await;
        client.send(&put(100_000, "unknown", "no-such-class")).await;
        client.send(&command(&["PING"])).await;
        assert_eq!(client.answer().await.unwrap(), "-ERR unknown class\r\n");
        assert_eq!(client.answer().await.unwrap(), "+PONG\r\n");
    });
}

/// Its account will never be large enough, and its connection ended over the commands behind it.
#[test]
fn a_value_beyond_all_memory_is_refused_and_its_connection_stays_open() {
    run_within(TEST_TIMEOUT, async {
        let log = Log::default();
        let small = |text: &mut serde_json::Value| text["limits"]["memory_mb"] = 16.into();
        let balancer = with_a_hung_host(&log, small).await;
        let mut client = balancer.client().await;
        let whole = put(4 << 20, "large", "read");
        client.send(&whole).await;
        client.send(&command(&["PING"])).await;
        assert_eq!(client.answer().await.unwrap(), "-BUSY\r\n");
        assert_eq!(client.answer().await.unwrap(), "+PONG\r\n");
    });
}
