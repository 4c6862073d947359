//! Large values in a real process, together far over the memory limit: the memory of the process stays far below it.

use std::net::SocketAddr;

use stairfront_test_support::loopback::{
    bulk, cache, command, config, get, hit, http, line, miss, ms, origin, quiet_agent, run, Client,
    Log,
};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tokio::task::spawn_local;
use tokio::time::sleep;

const VALUE_BYTES: usize = 4 << 20;
const MEMORY_LIMIT_MB: usize = 48;
/// Number of clients that read, and of clients that write.
const CLIENTS: usize = 12;

/// Peak resident memory of a process, in kilobytes.
fn peak_memory_kb(process: &BalancerProcess) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id())).unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// A balancer over a cache host that has every key with this value, and an origin that accepts writes.
async fn start_balancer(log: &Log, value: &str) -> BalancerProcess {
    let reply = value.to_string();
    let host = cache("cache", log, move |_, words| match &words[0][..] {
        "C.GET" => hit(&reply),
        _ => miss(),
    })
    .await;
    let origin = origin("db", log, |_, _| http(200, "", "receipt")).await;
    let lines = [line("c", host, "box"), line("db", origin, "origin")];
    let agent = quiet_agent(log).await;
    let mut configuration = config(unused_address(), agent, &lines, 256);
    configuration["limits"]["memory_mb"] = MEMORY_LIMIT_MB.into();
    BalancerProcess::start_with("large", configuration, None).await
}

async fn write(address: SocketAddr, id: String, value: String) -> String {
    let mut client = Client::connect(address).await.unwrap();
    let words = ["C.SET", "k", &id, "c=read,t=acme,d=1400", &value];
    client.send(&command(&words)).await;
    client.answer().await.unwrap()
}

#[test]
fn many_large_reads_and_writes_stay_far_below_the_memory_limit() {
    run(async {
        let (log, value) = (Log::default(), "v".repeat(VALUE_BYTES));
        let process = start_balancer(&log, &value).await;
        let address = process.address;
        // The clients send requests for more than the limit, and read nothing for a while.
        let mut readers = Vec::new();
        for i in 0..CLIENTS {
            let mut client = Client::connect(address).await.unwrap();
            let request = get(&format!("k{i}"), &format!("r{i}"), 1400);
            client.send(&request).await;
            readers.push(client);
        }
        sleep(ms(500)).await;
        let writers: Vec<_> = (0..CLIENTS)
            .map(|i| spawn_local(write(address, format!("w{i}"), value.clone())))
            .collect();
        let mut served = 0;
        for writer in writers {
            let answer = writer.await.unwrap();
            assert!(
                answer == bulk("receipt") || answer.starts_with("-BUSY"),
                "{answer}"
            );
            served += usize::from(answer == bulk("receipt"));
        }
        assert!(served >= 8, "{served} of {CLIENTS} writes served");
        let mut answered = 0;
        for mut client in readers {
            let answer = client.answer().await;
            assert!(
                answer.as_deref() == Some(&bulk(&value))
                    || answer.is_some_and(|answer| answer.starts_with("-BUSY"))
            );
            answered += 1;
        }
        assert_eq!(answered, CLIENTS);
        let peak = peak_memory_kb(&process);
        assert!(peak < MEMORY_LIMIT_MB * 1024 * 2 / 3, "{peak} KB");
    });
}
