//! The program as a process, beside cache hosts that answer some requests a second time. An answer names no request, so a
//! second one must neither reach another request's client nor prove anything about the request that is out.
mod repeating_host;
mod soak;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use repeating_host::{value_of, Faults, HostLog, Repeat, Role};
use serde_json::{json, Value};
use stairfront_test_support::loopback::{
    bulk, command, config, line, quiet_agent, run_within, Client, Log,
};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tokio::task::spawn_local;

const HOSTS: u64 = 4;
const LIMIT: Duration = Duration::from_secs(60);

/// Clients of a run and the descriptors that the balancer has.
#[derive(Clone, Copy)]
struct Load {
    clients: usize,
    requests_per_client: usize,
    sockets: usize,
}

const AMPLE: Load = Load {
    clients: 24,
    requests_per_client: 60,
    sockets: 1024,
};
/// Eight connections to servers, all of them in use or idle most of the time.
const SCARCE: Load = Load {
    clients: 7,
    requests_per_client: 200,
    sockets: 50,
};

/// What the clients of a run have seen.
#[derive(Default)]
struct ClientLog {
    served: Cell<u64>,
    unserved: Cell<u64>,
    /// Answers that were made for another request, with the id of the one that got it.
    foreign: RefCell<Vec<String>>,
}

/// One request after the other, every second one not to be repeated.
async fn send_requests(mut client: Client, name: usize, count: usize, log: Rc<ClientLog>) {
    for i in 0..count {
        let class = ["read", "hold"][i % 2];
        let id = format!("{name}-{i}-{class}");
        let words = ["C.GET", &id, &id, &format!("c={class},t=acme,d=1400")];
        client.send(&command(&words)).await;
        let answer = client.answer().await.expect("the connection has ended");
        if answer == bulk(&value_of(&id)) {
            log.served.set(log.served.get() + 1);
        } else if answer.starts_with('-') {
            log.unserved.set(log.unserved.get() + 1);
        } else {
            log.foreign.borrow_mut().push(format!("{id}: {answer:?}"));
        }
    }
}

/// Starts the cache hosts and the origin of a run; their entries in the endpoint list.
async fn start_hosts(faults: &Faults, seed: u64, log: &Rc<HostLog>) -> Vec<Value> {
    let mut lines = Vec::new();
    for i in 0..HOSTS {
        let seed = seed * HOSTS + i;
        let host = repeating_host::start(Role::Cache, faults.clone(), seed, log).await;
        lines.push(line(&format!("c{i}"), host, "box"));
    }
    let origin = repeating_host::start(Role::Origin, faults.clone(), seed, log).await;
    lines.push(line("origin", origin, "origin"));
    lines
}

/// A configuration with a class that may be repeated and one that may not.
fn configuration_with(agent: SocketAddr, lines: &[Value], sockets: usize) -> Value {
    let mut configuration = config(unused_address(), agent, lines, sockets);
    let profiles = configuration["settings"]["profiles"]
        .as_array_mut()
        .unwrap();
    let mut hold = profiles[0].clone();
    hold["name"] = json!("hold");
    hold["semantics"] = json!("single_shot");
    profiles.push(hold);
    configuration
}

/// Requests that may not be repeated and were begun more than once.
fn unrepeatable_begun_twice(log: &HostLog) -> Vec<String> {
    let begun = log.begun.borrow();
    let twice = begun
        .iter()
        .filter(|(id, begun)| id.ends_with("hold") && **begun > 1);
    twice
        .map(|(id, begun)| format!("{id} was begun {begun} times"))
        .collect()
}

/// Plays requests through one balancer and asserts that each answer is that of its request, that nothing which must not be
/// repeated was begun twice, and that service goes on.
fn assert_answers_are_told_apart(test: &str, faults: Faults, load: Load, seed: u64) {
    run_within(LIMIT, async {
        let (agent_log, host_log) = (Log::default(), Rc::new(HostLog::default()));
        let agent = quiet_agent(&agent_log).await;
        let lines = start_hosts(&faults, seed, &host_log).await;
        let configuration = configuration_with(agent, &lines, load.sockets);
        let process = BalancerProcess::start_with(test, configuration, None).await;
        let client_log = Rc::new(ClientLog::default());
        let mut clients = Vec::new();
        for name in 0..load.clients {
            let client = Client::connect(process.address).await.unwrap();
            let sent = send_requests(
                client,
                name,
                load.requests_per_client,
                Rc::clone(&client_log),
            );
            clients.push(spawn_local(sent));
        }
        for client in clients {
            client.await.unwrap();
        }
        let begun_twice = unrepeatable_begun_twice(&host_log);
        let (served, unserved) = (client_log.served.get(), client_log.unserved.get());
        println!(
            "{test}: {served} served, {unserved} unserved, {} repeated, {} connections, {} foreign, {} begun twice",
            host_log.repeated.get(),
            host_log.connections.get(),
            client_log.foreign.borrow().len(),
            begun_twice.len(),
        );
        assert!(host_log.repeated.get() > 20, "the fault was played");
        assert_eq!(*client_log.foreign.borrow(), Vec::<String>::new());
        assert_eq!(begun_twice, Vec::<String>::new());
        assert!(served >= unserved, "{served} served, {unserved} not");
    });
}

fn one_in_twenty(repeat: Repeat, delay_ms: std::ops::RangeInclusive<u64>) -> Faults {
    Faults {
        repeat,
        one_in: 20,
        delay_ms,
        missing: 0.0,
        work_ms: 5..=40,
    }
}

#[test]
fn a_second_answer_some_milliseconds_late_reaches_no_other_request() {
    let faults = one_in_twenty(Repeat::Copy, 1..=15);
    assert_answers_are_told_apart("second_soon", faults, AMPLE, 1);
}

#[test]
fn a_second_answer_later_than_any_rest_reaches_no_other_request() {
    let faults = one_in_twenty(Repeat::Copy, 55..=90);
    assert_answers_are_told_apart("second_late", faults, AMPLE, 2);
    let faults = one_in_twenty(Repeat::Copy, 1..=90);
    assert_answers_are_told_apart("second_scarce", faults, SCARCE, 3);
}

#[test]
fn a_second_answer_that_refuses_has_nothing_run_twice() {
    let faults = one_in_twenty(Repeat::Busy, 1..=90);
    assert_answers_are_told_apart("second_busy", faults, AMPLE, 4);
}

#[test]
fn a_second_response_of_the_origin_reaches_no_other_request_and_has_nothing_run_twice() {
    for (test, repeat, seed) in [
        ("origin_copy", Repeat::Copy, 5),
        ("origin_busy", Repeat::Busy, 6),
    ] {
        let faults = Faults {
            missing: 0.5,
            ..one_in_twenty(repeat, 1..=90)
        };
        assert_answers_are_told_apart(test, faults, AMPLE, seed);
    }
}
