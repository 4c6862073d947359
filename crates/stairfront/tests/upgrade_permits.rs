//! Upgrades under clients that together come close to the limit of the balancer: both processes share its permits.

use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use serde_json::Value;
use stairfront_balancer::lifecycle::handover_socket::{self, HandoverListener};
use stairfront_handover::{split_state, Message};
use stairfront_test_support::loopback::crowd::{Crowd, LOST_AFTER, PATIENCE_MS};
use stairfront_test_support::loopback::{
    bulk, cache, config, get, hit, line, memory_folder, ms, quiet_agent, run_within, Client, Log,
    Step,
};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tokio::time::{sleep, timeout};

const TEST_LIMIT: Duration = Duration::from_secs(60);
/// A key for which cache hosts take half of a client's time.
const SLOW_KEY: &str = "slow";
const SLOW_LATENCY: Duration = Duration::from_millis(700);
const SERVERS: [&str; 4] = ["c0", "c1", "c2", "c3"];

/// A configuration with cache hosts that take so long for an answer.
async fn configuration(log: &Log, latency: Duration, sockets: usize) -> Value {
    let mut lines = Vec::new();
    for name in SERVERS {
        let host = cache(name, log, move |_, words| match hit(&words[1]) {
            Step::Say(bytes) if words[1] == SLOW_KEY => Step::After(SLOW_LATENCY, bytes),
            Step::Say(bytes) => Step::After(latency, bytes),
            step => step,
        })
        .await;
        lines.push(line(name, host, "box"));
    }
    let mut text = config(unused_address(), quiet_agent(log).await, &lines, sockets);
    text["settings"]["tenants"][0]["quota_rps"] = 100_000.0.into();
    text
}

/// Open descriptors of a process; none once it has ended.
fn descriptors(process: &BalancerProcess) -> usize {
    let folder = format!("/proc/{}/fd", process.child.id());
    std::fs::read_dir(folder).map_or(0, Iterator::count)
}

/// Permits for clients by the limit on descriptors, as `docs/limits.md` has it.
fn permits(sockets: usize) -> usize {
    sockets * 5 / 16
}

/// Has all permits but one used at once; how many requests are refused for want of one. A permit that was lost shows so.
async fn refused_with_all_permits_in_use(process: &BalancerProcess, sockets: usize) -> u64 {
    let before = refused_for_want_of_a_permit(process).await;
    let mut clients = Vec::new();
    for index in 0..permits(sockets) - 1 {
        let mut client = Client::connect(process.address).await.unwrap();
        let command = get(SLOW_KEY, &format!("full-{index}"), PATIENCE_MS);
        client.send(&command).await;
        clients.push(client);
    }
    for client in &mut clients {
        client.answer().await.expect("the connection ended");
    }
    drop(clients);
    refused_for_want_of_a_permit(process).await - before
}

/// The counter of requests that were refused for want of memory, of which there is enough here, or of a permit.
async fn refused_for_want_of_a_permit(process: &BalancerProcess) -> u64 {
    // Connections that have just ended leave their permits meanwhile.
    sleep(ms(100)).await;
    let mut client = Client::connect(process.address).await.unwrap();
    let info = client.ask(&["INFO"]).await;
    let line = info.lines().find_map(|line| line.strip_prefix("over_cap:"));
    line.unwrap().parse().unwrap()
}

/// A day with an upgrade: the limit on descriptors, and the clients before it and while both processes run.
struct UpgradeDay {
    sockets: usize,
    before: usize,
    meanwhile: usize,
}

impl UpgradeDay {
    async fn play(&self) {
        let (log, directory) = (Log::default(), memory_folder());
        let text = configuration(&log, ms(60), self.sockets).await;
        let name = format!("permits-{}-{}", self.sockets, self.before);
        let mut old =
            BalancerProcess::start_with(&name, text.clone(), Some(directory.path())).await;
        let mut crowd = Crowd::new(old.address);
        crowd.add(self.before).await;
        sleep(ms(300)).await;
        let new =
            BalancerProcess::start_successor(&format!("{name}-new"), &text, directory.path()).await;
        crowd.add(self.meanwhile).await;
        let mut most = 0;
        for _ in 0..20 {
            most = most.max(descriptors(&old) + descriptors(&new));
            sleep(ms(50)).await;
        }
        old.signal("-TERM");
        old.wait_for_exit().await;
        sleep(LOST_AFTER + ms(500)).await;
        let seen = crowd.stop().await;
        let lost = seen.lost.take();
        assert!(lost.is_empty(), "{name}: never answered: {lost:?}");
        assert!(
            seen.answered.get() > 5 * self.before,
            "{name}: too little was served"
        );
        assert!(most <= self.sockets, "{name}: {most} descriptors in use");
        assert_eq!(
            refused_with_all_permits_in_use(&new, self.sockets).await,
            0,
            "{name}: refused though permits are free"
        );
    }
}

/// Guards against review/7: connections that the old process had accepted beyond those it had reported waited for a permit
/// in the new one, and were not read.
#[test]
fn clients_handed_over_beyond_the_reported_ones_are_never_answered() {
    play_upgrade_days(256, [(40, 44), (84, 0)]);
}

/// The same with twice the descriptors, and other parts of the clients before the upgrade.
#[test]
fn clients_handed_over_beyond_the_reported_ones_of_512_descriptors_are_never_answered() {
    play_upgrade_days(512, [(15, 153), (66, 102), (40, 128)]);
}

fn play_upgrade_days(sockets: usize, clients: impl IntoIterator<Item = (usize, usize)>) {
    run_within(TEST_LIMIT, async {
        for (before, meanwhile) in clients {
            let day = UpgradeDay {
                sockets,
                before,
                meanwhile,
            };
            day.play().await;
        }
    });
}

/// An upgrade begins while the process before the running one still answers a slow request: three processes share the
/// permits.
#[test]
fn an_upgrade_behind_one_that_has_not_ended_loses_requests_or_permits() {
    run_within(TEST_LIMIT, async {
        let (sockets, log, directory) = (256, Log::default(), memory_folder());
        let directory = directory.path();
        let text = configuration(&log, ms(60), sockets).await;
        let mut first =
            BalancerProcess::start_with("chain-one", text.clone(), Some(directory)).await;
        let mut busy = Client::connect(first.address).await.unwrap();
        assert_eq!(busy.ask(&["PING"]).await, "+PONG\r\n");
        let mut crowd = Crowd::new(first.address);
        crowd.add(20).await;
        let mut second = BalancerProcess::start_successor("chain-two", &text, directory).await;
        crowd.add(20).await;
        busy.send(&get(SLOW_KEY, "slow", PATIENCE_MS)).await;
        sleep(ms(50)).await;
        first.signal("-TERM");
        let third = BalancerProcess::start_successor("chain-three", &text, directory).await;
        assert!(descriptors(&first) > 0, "the first process has ended");
        second.signal("-TERM");
        crowd.add(44).await;
        assert_eq!(busy.answer().await.unwrap(), bulk(SLOW_KEY));
        first.wait_for_exit().await;
        second.wait_for_exit().await;
        assert_eq!(busy.get("next", "next", PATIENCE_MS).await, bulk("next"));
        drop(busy);
        sleep(ms(600)).await;
        let seen = crowd.stop().await;
        assert!(seen.lost.borrow().is_empty(), "{:?}", seen.lost.borrow());
        let refused = seen.refused.get();
        assert_eq!(
            refused, 0,
            "refused though connections to servers are unused"
        );
        assert_eq!(refused_with_all_permits_in_use(&third, sockets).await, 0);
    });
}

/// The permits that a successor had taken come back as it is killed.
#[test]
fn the_permits_of_a_successor_that_is_killed_are_lost() {
    run_within(TEST_LIMIT, async {
        let (sockets, log, directory) = (256, Log::default(), memory_folder());
        let text = configuration(&log, ms(60), sockets).await;
        let old = BalancerProcess::start_with("killed", text.clone(), Some(directory.path())).await;
        let mut crowd = Crowd::new(old.address);
        crowd.add(30).await;
        let new = BalancerProcess::start_successor("killed-new", &text, directory.path()).await;
        crowd.add(30).await;
        let seen = crowd.stop().await;
        assert!(seen.lost.borrow().is_empty(), "{:?}", seen.lost.borrow());
        drop(new);
        sleep(ms(200)).await;
        assert_eq!(refused_with_all_permits_in_use(&old, sockets).await, 0);
    });
}

/// A running process of a build that gives no permits one by one accepts beyond the number that it has reported.
#[test]
fn connections_of_an_earlier_build_beyond_the_reported_ones_wait_for_a_permit() {
    run_within(TEST_LIMIT, async {
        let (sockets, log, directory) = (256, Log::default(), memory_folder());
        let text = configuration(&log, ms(20), sockets).await;
        let address: SocketAddr = text["listen"].as_str().unwrap().parse().unwrap();
        let path = handover_socket::path(directory.path(), text["name"].as_str().unwrap());
        let old = HandoverListener::open(&path).unwrap();
        let listener = std::net::TcpListener::bind(address).unwrap();
        let mut clients = Vec::new();
        let mut accepted = Vec::new();
        for _ in 0..permits(sockets) + 4 {
            clients.push(Client::connect(address).await.unwrap());
            accepted.push(listener.accept().unwrap().0);
        }
        let new = BalancerProcess::spawn("earlier-build", text, Some(directory.path()));
        let socket = old.accept().await.unwrap();
        socket.receive().await.unwrap();
        let welcome = Message::Welcome {
            revision: 0,
            clients: 10,
            servers: 70,
        };
        socket.send(&welcome, Some(listener.as_fd())).await.unwrap();
        for part in split_state(b"{}") {
            socket.send(&part, None).await.unwrap();
        }
        new.wait_until_healthy().await;
        let connection = Message::Connection {
            used: true,
            unread: Vec::new(),
        };
        for descriptor in &accepted {
            let sent = socket.send(&connection, Some(descriptor.as_fd())).await;
            sent.unwrap();
        }
        drop((accepted, listener));
        for (index, client) in clients.iter_mut().enumerate() {
            let (key, id) = (format!("k{index}"), format!("e{index}"));
            let answer = timeout(LOST_AFTER, client.get(&key, &id, PATIENCE_MS)).await;
            assert!(answer.is_ok(), "client {index} is not answered");
        }
        drop(socket);
        drop(clients);
        sleep(ms(200)).await;
        assert_eq!(refused_with_all_permits_in_use(&new, sockets).await, 0);
    });
}
