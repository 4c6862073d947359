//! A client that leaves and comes again with the ids that no server had begun then: none of them runs twice.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use stairfront_test_support::loopback::peers::{
    read_as, start_cache, PeerClient, ServerBehaviour, Witness,
};
use stairfront_test_support::loopback::{
    config, line, memory_folder, ms, quiet_agent, run_within, Log,
};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tokio::time::sleep;

const TEST_LIMIT: Duration = Duration::from_secs(60);
/// Time for which a host has a request before it begins it.
const QUEUE_MS: u64 = 40;
const WAIT_MS: u64 = 1400;
/// Commands that a client sends before it leaves.
const COMMANDS: usize = 300;

async fn configuration(witness: &Rc<Witness>) -> Value {
    let behaviour = ServerBehaviour {
        queue_ms: QUEUE_MS,
        ..ServerBehaviour::default()
    };
    let mut lines = Vec::new();
    for i in 0..4 {
        let address = start_cache(behaviour, witness).await;
        lines.push(line(&format!("c{i}"), address, "box"));
    }
    let agent = quiet_agent(&Log::default()).await;
    let mut configuration = config(unused_address(), agent, &lines, 256);
    // What is out for a client that has left is given up, and may still be begun.
    configuration["settings"]["caps"]["cancel"] = true.into();
    configuration["settings"]["profiles"] = json!([
        {"name": "once", "aim": 750.0, "deadline": 1500.0, "semantics": "single_shot"},
    ]);
    configuration
}

/// Sends requests that must not run twice.
async fn send(client: &mut PeerClient, ids: &[String]) {
    for id in ids {
        let sent = client.send(&read_as("once", 8, id, WAIT_MS)).await;
        sent.unwrap();
    }
}

/// Comes again with the ids that were not begun as the client left, and waits for all answers. Servers begin meanwhile what
/// they had been sent.
async fn come_again(address: SocketAddr, ids: &[String], witness: &Witness) -> usize {
    let is_new = |id: &&String| witness.times_begun(id) == 0;
    let again: Vec<String> = ids.iter().filter(is_new).cloned().collect();
    sleep(ms(2 * QUEUE_MS)).await;
    let mut client = PeerClient::connect(address).await.unwrap();
    send(&mut client, &again).await;
    for id in &again {
        assert!(client.answer().await.is_some(), "{id} has no answer");
    }
    again.len()
}

async fn assert_none_ran_twice(ids: &[String], witness: &Witness) {
    sleep(ms(2 * QUEUE_MS)).await;
    let twice: Vec<&String> = ids
        .iter()
        .filter(|id| witness.times_begun(id) > 1)
        .collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

fn ids(round: usize) -> Vec<String> {
    (0..COMMANDS).map(|i| format!("r{round}-{i}")).collect()
}

#[test]
fn an_id_that_comes_again_after_its_client_has_left_runs_twice() {
    run_within(TEST_LIMIT, async {
        let witness = Rc::new(Witness::default());
        let text = configuration(&witness).await;
        let process = BalancerProcess::start_with("again", text, None).await;
        for round in 0..4 {
            let ids = ids(round);
            let mut client = PeerClient::connect(process.address).await.unwrap();
            send(&mut client, &ids).await;
            sleep(ms(QUEUE_MS / 2 + 10 * round as u64)).await;
            drop(client);
            let again = come_again(process.address, &ids, &witness).await;
            assert!(again > COMMANDS / 2, "{again} came again");
            assert_none_ran_twice(&ids, &witness).await;
        }
    });
}

#[test]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_twice() {
    run_within(TEST_LIMIT, async {
        let (witness, directory) = (Rc::new(Witness::default()), memory_folder());
        let text = configuration(&witness).await;
        let old =
            BalancerProcess::start_with("again-old", text.clone(), Some(directory.path())).await;
        let mut before = PeerClient::connect(old.address).await.unwrap();
        let (early, late) = (ids(0), ids(1));
        let mut client = PeerClient::connect(old.address).await.unwrap();
        // Some are open as the new process starts, and some come to the old one after that.
        send(&mut before, &early[..16]).await;
        sleep(ms(QUEUE_MS / 4)).await;
        let new = BalancerProcess::start_successor("again-new", &text, directory.path()).await;
        send(&mut client, &late).await;
        old.signal("-TERM");
        sleep(ms(QUEUE_MS / 2)).await;
        drop((before, client));
        let ids = [&early[..16], &late[..]].concat();
        come_again(new.address, &ids, &witness).await;
        assert_none_ran_twice(&ids, &witness).await;
    });
}
