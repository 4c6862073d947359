//! The program as a process that stands still for a while, as under a stopped or starved machine. What it decides from may
//! have been true before the stall alone: clients have left meanwhile, requests have grown old, lists have come.
mod soak;
mod stand_ins;
mod witness;

use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;

use serde_json::{json, Value};
use stairfront_common::random::SeededRng;
use stairfront_test_support::loopback::{config, line, ms, run_within, until, Client};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use stand_ins::{leave_behind, CacheBehaviour, ListAgent, RequestShape};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};
use witness::{Witness, KEY_TTL};

const LIMIT: Duration = Duration::from_secs(60);
const HOSTS: usize = 4;
/// How long the clients of the report waited.
const PATIENCE_MS: u64 = 113;

/// A balancer with its cache hosts, an origin and an agent.
struct World {
    process: BalancerProcess,
    agent: Rc<ListAgent>,
    witness: Rc<Witness>,
}

/// The library that has single system calls of a balancer stall, built once by the compiler that Rust links with.
fn stall_shim() -> &'static str {
    static BUILT: OnceLock<String> = OnceLock::new();
    BUILT.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/stalls/stall_shim.c");
        let library = format!(
            "{}/stall_shim-{}.so",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
            .args([library.as_str(), source, "-ldl"])
            .status()
            .expect("there is a C compiler");
        assert!(built.success());
        library
    })
}

/// A configuration with a class that may be repeated, one that never may, and one that may while hosts know its key.
fn configuration_with(agent: SocketAddr, lines: &[Value], settings: WorldSettings) -> Value {
    let mut configuration = config(unused_address(), agent, lines, settings.sockets);
    let profiles = configuration["settings"]["profiles"]
        .as_array_mut()
        .unwrap();
    profiles[0]["aim"] = json!(settings.aim_ms);
    let mut hold = profiles[0].clone();
    hold["name"] = json!("hold");
    hold["semantics"] = json!("single_shot");
    let mut keyed = profiles[0].clone();
    keyed["name"] = json!("keyed");
    keyed["semantics"] = json!("guarded");
    keyed["group"] = json!("all");
    keyed["key_ttl"] = json!(KEY_TTL.as_millis() as f64);
    profiles.extend([hold, keyed]);
    configuration
}

/// What a balancer of a run has.
#[derive(Clone, Copy)]
struct WorldSettings {
    /// Time that a cache host or the origin takes for a request.
    work_ms: u64,
    /// Descriptors of the balancer.
    sockets: usize,
    /// Time in which an answer is worth something.
    aim_ms: f64,
    /// Part of the commands that cache hosts refuse, never answer, or end with a reset.
    faulty: f64,
    seed: u64,
}

impl WorldSettings {
    fn working_for(work_ms: u64) -> Self {
        WorldSettings {
            work_ms,
            sockets: 1024,
            aim_ms: 750.0,
            faulty: 0.0,
            seed: 0,
        }
    }
}

impl World {
    async fn start(test: &str, work_ms: u64) -> World {
        World::start_with(test, WorldSettings::working_for(work_ms), &[]).await
    }

    /// Starts a balancer some of whose system calls stall.
    async fn start_with_shim(test: &str, work_ms: u64) -> World {
        let preload = [("LD_PRELOAD", stall_shim().to_string())];
        World::start_with(test, WorldSettings::working_for(work_ms), &preload).await
    }

    /// Starts a balancer with these environment variables.
    async fn start_with(
        test: &str,
        settings: WorldSettings,
        variables: &[(&str, String)],
    ) -> World {
        let witness = Rc::new(Witness::default());
        let mut lines = Vec::new();
        for i in 0..HOSTS {
            let behaviour = CacheBehaviour {
                work_ms: settings.work_ms,
                faulty: settings.faulty,
                seed: settings.seed * HOSTS as u64 + i as u64,
            };
            let address = stand_ins::start_cache(i, behaviour, &witness).await;
            lines.push(line(&format!("c{i}"), address, "box"));
        }
        let origin = stand_ins::start_origin(settings.work_ms, &witness).await;
        lines.push(line("origin", origin, "origin"));
        let (agent, agent_address) = ListAgent::start(&witness).await;
        agent.know(&lines);
        let configuration = configuration_with(agent_address, &lines, settings);
        let process = BalancerProcess::start_with_environment(test, configuration, variables).await;
        World {
            process,
            agent,
            witness,
        }
    }

    /// Starts a client on a new connection after a while.
    fn start_client_after(
        &self,
        delay: Duration,
        name: String,
        shape: RequestShape,
    ) -> JoinHandle<()> {
        let (address, witness) = (self.process.address, Rc::clone(&self.witness));
        spawn_local(async move {
            sleep(delay).await;
            let client = Client::connect(address).await.unwrap();
            leave_behind(client, name, shape, witness).await;
        })
    }

    /// Stops the process for a while.
    async fn stall(&self, duration: Duration) {
        self.process.signal("-STOP");
        sleep(duration).await;
        self.process.signal("-CONT");
    }
}

async fn wait_for(clients: Vec<JoinHandle<()>>) {
    for client in clients {
        client.await.unwrap();
    }
}

/// Clients that send so many commands at once and leave, while the process is stopped again and again.
async fn leave_behind_under_stalls(world: &World, commands: usize, seed: u64) {
    let mut random = SeededRng::for_part(seed, "stalls");
    let shape = RequestShape {
        commands,
        wait_ms: 1400,
        patience: ms(PATIENCE_MS),
    };
    for round in 0..8_u64 {
        let mut clients = Vec::new();
        for client in 0..6 {
            let delay = ms(random.below(60_u64));
            let name = format!("left-{round}-{client}");
            clients.push(world.start_client_after(delay, name, shape));
        }
        sleep(ms(random.below(50_u64))).await;
        world.stall(ms(250 + random.below(550_u64))).await;
        wait_for(clients).await;
        sleep(ms(150)).await;
    }
}

fn assert_nothing_is_sent_on_after_its_client_left(test: &str, commands: usize, seed: u64) {
    run_within(LIMIT, async {
        let world = World::start(test, 20).await;
        leave_behind_under_stalls(&world, commands, seed).await;
        println!("{test}: {}", world.witness);
        let left_behind = world.witness.requests_left_behind();
        assert!(left_behind > 20 * commands, "the fault was played");
        assert_eq!(
            world.witness.sent_on_after_the_client_left(),
            Vec::<String>::new()
        );
    });
}

#[test]
fn commands_sent_at_once_are_not_sent_on_after_their_client_left_during_a_stall() {
    assert_nothing_is_sent_on_after_its_client_left("left_many", 24, 1);
}

#[test]
fn a_single_command_is_not_sent_on_after_its_client_left_during_a_stall() {
    assert_nothing_is_sent_on_after_its_client_left("left_one", 1, 2);
}

#[test]
fn a_server_is_told_no_more_time_than_a_request_has_left_after_a_stall() {
    run_within(LIMIT, async {
        let world = World::start("told", 20).await;
        let mut random = SeededRng::for_part(3, "stalls");
        for round in 0..8_u64 {
            let mut clients = Vec::new();
            for client in 0..6 {
                let shape = RequestShape {
                    commands: 1 + random.below(24_usize),
                    wait_ms: 1400,
                    patience: ms(1400),
                };
                let delay = ms(random.below(300_u64));
                let name = format!("told-{round}-{client}");
                clients.push(world.start_client_after(delay, name, shape));
            }
            world.stall(ms(250 + random.below(550_u64))).await;
            wait_for(clients).await;
        }
        println!(
            "told: {}, {} waited",
            world.witness,
            world.witness.begun_after_a_wait()
        );
        // Each of these shows the fault if its age counts from its reading. A busy machine has the balancer shed load.
        let waited = world.witness.begun_after_a_wait();
        assert!(waited >= 50, "the fault was played: {waited}");
        assert_eq!(
            world.witness.told_more_than_was_left(),
            Vec::<String>::new()
        );
    });
}

/// The commands wait in front of the list, so that the requests are decided by the list before.
#[test]
fn nothing_new_goes_to_a_host_whose_drain_was_told_during_a_stall() {
    run_within(LIMIT, async {
        for round in 0..4_u64 {
            let world = World::start(&format!("drain{round}"), 20).await;
            // A watch is open, so that the list is pushed into the stall.
            until(|| world.agent.is_held()).await;
            let mut connected = Vec::new();
            for _ in 0..8 {
                let mut client = Client::connect(world.process.address).await.unwrap();
                assert_eq!(client.ask(&["PING"]).await, "+PONG\r\n");
                connected.push(client);
            }
            world.process.signal("-STOP");
            let shape = RequestShape {
                commands: 12,
                wait_ms: 1400,
                patience: ms(1400),
            };
            let mut clients = Vec::new();
            for (i, client) in connected.into_iter().enumerate() {
                let witness = Rc::clone(&world.witness);
                let name = format!("drain-{round}-{i}");
                clients.push(spawn_local(leave_behind(client, name, shape, witness)));
            }
            sleep(ms(30)).await;
            world.agent.drain(0);
            sleep(ms(400 + round * 40)).await;
            world.process.signal("-CONT");
            wait_for(clients).await;
            println!("drain: {}", world.witness);
            assert!(world.witness.begun_count() > 20, "the fault was played");
            assert_eq!(world.witness.begun_at_drained_hosts(), Vec::<String>::new());
        }
    });
}

/// Commands that are read and then wait for 0.45 s in a stall, 0.05 s into which a list comes. They would be decided and
/// written by the list before, on idle connections, in the same turn of the loop.
async fn list_comes_while_a_read_stalls(world: &World, host: usize, change: impl Fn(&ListAgent)) {
    until(|| world.agent.is_held()).await;
    let mut client = Client::connect(world.process.address).await.unwrap();
    for key in 0..24 {
        let (key, id) = (format!("key{key}"), format!("warm-{host}-{key}"));
        client.get(&key, &id, 1400).await;
    }
    let shape = RequestShape {
        commands: 12,
        wait_ms: 1400,
        patience: ms(1400),
    };
    let name = format!("~stall450~{host}");
    let witness = Rc::clone(&world.witness);
    let sending = spawn_local(leave_behind(client, name, shape, witness));
    sleep(ms(50)).await;
    change(&world.agent);
    sending.await.unwrap();
}

#[test]
fn nothing_new_goes_to_a_host_whose_drain_was_told_while_a_read_stalled() {
    run_within(LIMIT, async {
        let world = World::start_with_shim("drain_read", 5).await;
        for host in 0..HOSTS - 1 {
            list_comes_while_a_read_stalls(&world, host, |agent| agent.drain(host)).await;
        }
        println!("drain while a read stalled: {}", world.witness);
        assert_eq!(world.witness.begun_at_drained_hosts(), Vec::<String>::new());
    });
}

#[test]
fn a_burst_decided_for_a_warm_host_does_not_go_to_one_whose_restart_was_told_in_a_stall() {
    run_within(LIMIT, async {
        let world = World::start_with_shim("cold_read", 5).await;
        for host in 0..HOSTS - 1 {
            list_comes_while_a_read_stalls(&world, host, |agent| agent.restart(host)).await;
        }
        let attempts = world.witness.attempts.borrow();
        let at_cold = |host: usize| {
            let (batch, server) = (format!("~stall450~{host}"), format!("c{host}"));
            let begun = attempts.iter().filter(|a| a.id.starts_with(&batch));
            begun.filter(|a| a.server == server).count()
        };
        let at_cold: Vec<usize> = (0..HOSTS - 1).map(at_cold).collect();
        println!("cold while a read stalled: {} {at_cold:?}", world.witness);
        // What a cold host is sent is drawn for; a warm one would have got up to six.
        assert!(at_cold.iter().all(|begun| *begun <= 1), "{at_cold:?}");
    });
}

/// The kill comes at its earliest, counted from the signal; the caches answer nobody any more.
#[test]
fn a_request_is_answered_before_the_kill_when_sigterm_came_during_a_stall() {
    run_within(LIMIT, async {
        let settings = WorldSettings {
            aim_ms: 1500.0,
            ..WorldSettings::working_for(10_000)
        };
        let world = World::start_with("term_stall", settings, &[]).await;
        let client = Client::connect(world.process.address).await.unwrap();
        world.process.signal("-STOP");
        world.process.signal("-TERM");
        let told_at = Instant::now();
        sleep(ms(1200)).await;
        world.process.signal("-CONT");
        sleep(ms(30)).await;
        let shape = RequestShape {
            commands: 4,
            wait_ms: 1400,
            patience: ms(3000),
        };
        let witness = Rc::clone(&world.witness);
        let sending = spawn_local(leave_behind(client, "term".to_string(), shape, witness));
        sleep_until(told_at + ms(soak::KILL_AFTER_MS)).await;
        world.witness.killed_at.set(Some(Instant::now()));
        world.process.signal("-KILL");
        sending.await.unwrap();
        println!("SIGTERM in a stall: {}", world.witness);
        assert_eq!(world.witness.lost(ms(0)), Vec::<String>::new());
        assert_eq!(world.witness.requests.borrow().len(), 4);
    });
}
