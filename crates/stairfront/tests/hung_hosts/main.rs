//! Cache hosts that hang in the middle of commands, beside everything by which a request may lapse meanwhile: its window, its
//! client, its time, the end of its process. Real processes, drawn from a seed; hosts and clients record what they see.
//!
//! `HUNG_HOST_SEEDS=1..200 cargo test -p stairfront --test hung_hosts -- --nocapture` plays more seeds than CI.
mod clients;
mod hosts;
mod script;

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use clients::{run_pipeline, run_writer, ClientSettings};
use hosts::{start_host, Witness};
use script::{Script, DEADLINE_MS, ONCE_CLASS, PUT_CLASS, READ_CLASS};
use serde_json::{json, Value};
use stairfront_test_support::loopback::{
    config, line, memory_folder, ms, quiet_agent, run_within, Log,
};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

const SEEDS_IN_CI: RangeInclusive<u64> = 1..=12;
const SEED_TIMEOUT: Duration = Duration::from_secs(60);
const HOSTS: usize = 4;
/// How long hosts may still hang at the end of a run.
const HOST_HANG_MS: u64 = 2000;
/// The longest deadline of the settings and 0.7 s: when a planned end may be cut short at the earliest.
const KILL_AFTER_MS: u64 = DEADLINE_MS + 700;

fn configuration(script: &Script, hosts: &[Value], agent: std::net::SocketAddr) -> Value {
    let mut text = config(unused_address(), agent, hosts, 512);
    text["settings"]["family_info"] = json!({"mode": "through", "origin_kind": -1});
    text["settings"]["caps"]["most_tries"] = 4.into();
    text["settings"]["caps"]["cancel"] = script.may_cancel.into();
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "group": "all", "key_ttl": script.key_ttl_ms,
               "aim": 500.0, "deadline": DEADLINE_MS, "worth": 1.0, "late_worth": 0.5})
    };
    text["settings"]["profiles"] = json!([
        class(READ_CLASS, "free"),
        class(PUT_CLASS, "guarded"),
        class(ONCE_CLASS, "single_shot")
    ]);
    text
}

/// Files that are short of a key, and would let a class run twice that must not.
fn broken_file(good: &Value, number: usize) -> Value {
    let mut text = good.clone();
    text["settings"]["profiles"][2]["semantics"] = "free".into();
    let paths = [
        ("", "discovery"),
        ("/settings/profiles/1", "key_ttl"),
        ("/settings/profiles/0", "worth"),
        ("/known/endpoints/0", "status"),
        ("", "seed"),
    ];
    let (parent, key) = paths[number % paths.len()];
    let parent = text.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    parent.remove(key).unwrap();
    text
}

/// Signals and files as drawn, until SIGTERM.
async fn disrupt(process: &BalancerProcess, script: &Script, good: &Value, began: Instant) {
    for disruption in &script.disruptions {
        sleep_until(began + ms(disruption.at_ms)).await;
        if disruption.stop_ms > 0 {
            process.signal("-STOP");
            sleep(ms(disruption.stop_ms)).await;
            process.signal("-CONT");
        } else {
            process.write_configuration(broken_file(good, disruption.at_ms as usize));
            process.signal("-HUP");
        }
    }
    sleep_until(began + ms(script.end_ms)).await;
}

fn start_clients(
    script: &Script,
    settings: &ClientSettings,
    witness: &Rc<Witness>,
) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    for number in 0..script.writers {
        let (settings, witness) = (settings.clone(), Rc::clone(witness));
        clients.push(spawn_local(run_writer(number, settings, witness)));
    }
    for (number, pipeline) in script.pipelines.iter().enumerate() {
        let (settings, witness) = (settings.clone(), Rc::clone(witness));
        clients.push(spawn_local(run_pipeline(
            number, *pipeline, settings, witness,
        )));
    }
    clients
}

/// Plays one seed; the breaches of the rules that hosts and clients saw.
async fn play(seed: u64) -> Vec<String> {
    let script = Script::draw(seed);
    println!("seed {seed}: {script:?}");
    let witness = Rc::new(Witness::new(script.key_ttl_ms));
    let mut hosts = Vec::new();
    let began = Instant::now();
    for number in 0..HOSTS {
        let address = start_host(seed, number, script.host, began, &witness).await;
        hosts.push(line(&format!("c{number}"), address, "box"));
    }
    let agent = quiet_agent(&Log::default()).await;
    let text = configuration(&script, &hosts, agent);
    let directory = memory_folder();
    let folder = Some(directory.path());
    let mut process =
        BalancerProcess::start_with(&format!("hung-{seed}"), text.clone(), folder).await;
    let settings = ClientSettings {
        address: process.address,
        seed,
        began,
        end_ms: script.end_ms,
        leaving: script.leaving,
    };
    let clients = start_clients(&script, &settings, &witness);
    disrupt(&process, &script, &text, began).await;
    let successor = if script.upgrade {
        let next = BalancerProcess::spawn(&format!("next-{seed}"), text, folder);
        next.wait_until_healthy().await;
        Some(next)
    } else {
        None
    };
    process.signal("-TERM");
    let kill_at = Instant::now() + ms(KILL_AFTER_MS);
    if timeout_at(kill_at, process.wait_for_exit()).await.is_err() {
        witness.note_breach("the process has not ended by itself".to_string());
    }
    for client in clients {
        client.await.unwrap();
    }
    // A host that hung through all of it reads on after the process has ended.
    sleep(ms(HOST_HANG_MS)).await;
    drop(successor);
    witness.report()
}

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("HUNG_HOST_SEEDS") else {
        return SEEDS_IN_CI;
    };
    let (first, last) = text.split_once("..").expect("HUNG_HOST_SEEDS=A..B");
    first.parse().unwrap()..=last.parse().unwrap()
}

#[test]
fn drawn_runs_over_hosts_that_hang_in_the_middle_of_commands() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let breaches = run_within(SEED_TIMEOUT, play(seed));
        if !breaches.is_empty() {
            println!("seed {seed}: {breaches:#?}");
            failed.push((seed, breaches));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
