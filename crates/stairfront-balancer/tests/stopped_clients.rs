//! Clients that stop within a command and stay: each ends in its time, and others are answered or shut out meanwhile.
use std::time::{Duration, Instant};

use stairfront_test_support::loopback::{
    bulk, cache, get, hit, line, ms, quiet_agent, run_within, Balancer, Client, Log, Step,
};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const TEST_LIMIT: Duration = Duration::from_secs(60);
/// Within this a bad client is owed an error or a close.
const OWED: Duration = Duration::from_secs(3);
/// What a usual client waits for an answer.
const PATIENCE_MS: u64 = 1500;
/// Descriptors that leave eight permits for clients, and eight spare places.
const FEW_SOCKETS: usize = 50;

async fn balancer_with(sockets: usize) -> Balancer {
    let log = Log::default();
    let host = cache("cache", &log, |_, words| match hit(&words[1]) {
        Step::Say(bytes) => Step::After(ms(20), bytes),
        step => step,
    });
    let (agent, host) = (quiet_agent(&log).await, host.await);
    let limit = |text: &mut serde_json::Value| text["limits"]["sockets"] = sockets.into();
    Balancer::start_with(agent, &[line("c", host, "box")], limit).await
}

/// What clients have sent before they stop.
#[derive(Clone, Copy, Debug)]
enum Stop {
    /// A whole command, which is answered, and half of another.
    Second,
    /// Half of a command.
    First,
    /// A whole command and half of another at once.
    BehindOpen,
}

/// Has a client come that stops so. Its connection may be ended before.
async fn come_and_stop(balancer: &Balancer, index: usize, stop: Stop) -> Client {
    let mut client = Client::connect(balancer.address).await.unwrap();
    let whole = get("k", &format!("whole{index}"), PATIENCE_MS);
    let half = get("k", &format!("half{index}"), PATIENCE_MS);
    let half = &half[..half.len() / 2];
    match stop {
        Stop::Second => {
            let _ = client.try_send(&whole).await;
            let _ = timeout(ms(100), client.answer()).await;
            let _ = client.try_send(half).await;
        }
        Stop::First => {
            let _ = client.try_send(half).await;
        }
        Stop::BehindOpen => {
            let _ = client.try_send(&[&whole, half].concat()).await;
        }
    }
    client
}

/// Whether the other side has ended the connection.
async fn has_ended(client: &mut Client) -> bool {
    let left = async { while client.answer().await.is_some() {} };
    timeout(ms(5), left).await.is_ok()
}

/// A usual client's request is answered, or its connection ends, in its time.
async fn assert_answered_or_shut_out(balancer: &Balancer, id: &str) {
    let Ok(socket) = TcpStream::connect(balancer.address).await else {
        return;
    };
    let mut client = Client::from(socket);
    let asking = async {
        if client.try_send(&get("k", id, PATIENCE_MS)).await.is_ok() {
            client.answer().await;
        }
    };
    let asked = timeout(ms(PATIENCE_MS), asking).await;
    assert!(asked.is_ok(), "{id} is neither answered nor shut out");
}

/// Guards against review/6: a connection that was asked to make room while half a command had come was not timed any more,
/// and with enough of them no client was accepted.
#[test]
fn clients_that_stop_within_a_command_keep_others_out_for_ever() {
    use Stop::{BehindOpen, First, Second};
    let days = [
        (Second, 9),
        (Second, 17),
        (Second, 60),
        (First, 40),
        (BehindOpen, 40),
    ];
    run_within(TEST_LIMIT, async {
        let days = days.map(|(stop, count)| spawn_local(play(stop, count)));
        for day in days {
            day.await.unwrap();
        }
    });
}

async fn play(stop: Stop, count: usize) {
    let balancer = balancer_with(FEW_SOCKETS).await;
    let mut stopped = Vec::new();
    for index in 0..count {
        stopped.push(come_and_stop(&balancer, index, stop).await);
    }
    let since = Instant::now();
    while since.elapsed() <= OWED {
        let id = format!("{stop:?}-{count}-{}", since.elapsed().as_millis());
        assert_answered_or_shut_out(&balancer, &id).await;
        sleep(ms(150)).await;
    }
    for (index, client) in stopped.iter_mut().enumerate() {
        assert!(has_ended(client).await, "{index} of {count}, {stop:?}");
    }
    let mut usual = balancer.client().await;
    assert_eq!(usual.get("k", "after", PATIENCE_MS).await, bulk("k"));
}

/// Guards against connections that have carried a command and stop within the next one for over 3 s: their time began after
/// the ten seconds in which a connection may be unused.
#[test]
fn a_used_connection_with_half_a_command_is_open_for_longer_than_3_seconds() {
    run_within(TEST_LIMIT, async {
        let balancer = balancer_with(1024).await;
        let mut stopped = Vec::new();
        for (index, stop) in [Stop::Second, Stop::BehindOpen].into_iter().enumerate() {
            stopped.push(come_and_stop(&balancer, index, stop).await);
        }
        let mut slow = come_and_stop(&balancer, 9, Stop::Second).await;
        let mut unused = balancer.client().await;
        assert_eq!(unused.get("k", "1", PATIENCE_MS).await, bulk("k"));
        // A head may take two seconds.
        sleep(ms(2000)).await;
        let half = get("k", "half9", PATIENCE_MS);
        slow.send(&half[half.len() / 2..]).await;
        assert_eq!(slow.answer().await.unwrap(), bulk("k"));
        sleep(ms(1000)).await;
        for (index, client) in stopped.iter_mut().enumerate() {
            assert!(has_ended(client).await, "{index}");
        }
        assert_eq!(slow.get("k", "2", PATIENCE_MS).await, bulk("k"));
        assert_eq!(unused.get("k", "3", PATIENCE_MS).await, bulk("k"));
    });
}
