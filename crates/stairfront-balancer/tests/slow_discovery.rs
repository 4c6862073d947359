//! An agent of discovery that answers late: what it has to tell is learned all the same.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use stairfront_balancer::arrival::PollClock;
use stairfront_balancer::control::discovery::{DiscoverySettings, DiscoveryWatch};
use stairfront_balancer::messages::{EngineEvent, ReceivedList};
use stairfront_balancer::transport::Tcp;
use stairfront_settings::Names;
use stairfront_test_support::loopback::{commands, http, line, ms, origin, run_within, Log, Step};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

const TEST_LIMIT: Duration = Duration::from_secs(60);
/// A change counts as told so long after the agent had it.
const TOLD: Duration = Duration::from_secs(6);
/// Version of the list before the change and from it on.
const BEFORE: u64 = 5;
const AFTER: u64 = 6;

/// How late each call is answered, in milliseconds; the last one counts for all further ones, and none for a call that never
/// is.
type Lateness = &'static [Option<u64>];

/// An agent whose list changes once.
#[derive(Clone, Copy, Debug)]
struct SlowAgent {
    /// Time until the change.
    changes_in: Duration,
    /// Calls that come before this are never answered.
    hangs_for: Duration,
    lateness: Lateness,
}

const fn changing(changes_in_ms: u64, lateness: Lateness) -> SlowAgent {
    SlowAgent {
        changes_in: Duration::from_millis(changes_in_ms),
        hangs_for: Duration::ZERO,
        lateness,
    }
}

async fn start(agent: SlowAgent, log: &Log) -> SocketAddr {
    let started_at = Instant::now();
    let changes_at = started_at + agent.changes_in;
    let host = SocketAddr::from(([127, 0, 0, 1], 1));
    origin("agent", log, move |call, words| {
        let Some(late_ms) = agent.lateness[call.min(agent.lateness.len() - 1)] else {
            return Step::Silence;
        };
        if started_at.elapsed() < agent.hangs_for {
            return Step::Silence;
        }
        let from = |index: u64| words[0].contains(&format!("from={index}&"));
        let held = from(AFTER) || from(BEFORE) && !words[0].contains("hold_ms=0");
        let until_change = changes_at.saturating_duration_since(Instant::now());
        let (index, due_in) = match until_change.is_zero() || held {
            true if from(AFTER) => return Step::Silence,
            true => (AFTER, until_change),
            false => (BEFORE, Duration::ZERO),
        };
        let list = json!({"index": index, "snapshot": true, "endpoints": [line("c", host, "box")]});
        match http(200, "", &list.to_string()) {
            Step::Say(bytes) => Step::After(due_in + ms(late_ms), bytes),
            step => step,
        }
    })
    .await
}

/// When the change is learned, from when the agent has it and answers.
async fn learned_after(agent: SlowAgent) -> Duration {
    let log = Log::default();
    let address = start(agent, &log).await;
    let told_at = Instant::now() + agent.changes_in.max(agent.hangs_for);
    let (_agents, agents) = watch::channel(Some(address));
    let (event_sender, mut events) = mpsc::channel(4);
    let settings = DiscoverySettings {
        agent: agents,
        names: Names::default(),
        known_index: 1,
        seed: 0,
        poll_now: Rc::new(Notify::new()),
        lists: Rc::default(),
        polls: Rc::new(PollClock::start()),
    };
    let watch = DiscoveryWatch::new(Tcp, settings, event_sender, Rc::default());
    let watching = spawn_local(watch.run());
    let learned = async {
        let is_news = |event: &EngineEvent| matches!(event, EngineEvent::EndpointList(ReceivedList { list, .. }) if list.index == AFTER);
        while let Some(event) = events.recv().await {
            if is_news(&event) {
                break;
            }
        }
        told_at.elapsed()
    };
    let learned = timeout(3 * TOLD, learned).await;
    watching.abort();
    learned.unwrap_or_else(|_| panic!("{agent:?}: never, {:?}", commands(&log, "agent")))
}

async fn assert_learned_within(limit: Duration, agents: &[SlowAgent]) {
    let plays = agents
        .iter()
        .map(|agent| spawn_local(learned_after(*agent)));
    let plays: Vec<_> = plays.collect();
    for (agent, play) in agents.iter().zip(plays) {
        let learned = play.await.unwrap();
        assert!(learned < limit, "{agent:?}: learned after {learned:?}");
    }
}

/// Guards against review/9: each call was given up after a second, so that a balancer that starts beside an agent which takes
/// longer never learned of a drain.
#[test]
fn a_change_at_an_agent_that_answers_late_is_never_learned() {
    let agents = [
        changing(3000, &[Some(200)]),
        changing(3000, &[Some(1500)]),
        changing(0, &[Some(1500)]),
        changing(500, &[Some(4000)]),
        changing(4500, &[Some(1500), Some(300), Some(3000)]),
        changing(2500, &[Some(100), Some(4000)]),
        // A call that is lost is made again.
        changing(500, &[None, Some(1200)]),
        SlowAgent {
            hangs_for: ms(1500),
            ..changing(0, &[Some(100)])
        },
    ];
    run_within(TEST_LIMIT, assert_learned_within(TOLD, &agents));
}

/// The same for one that takes longer than a change may take: late is better than never.
#[test]
fn a_change_at_an_agent_that_answers_after_8_seconds_is_never_learned() {
    let agents = [changing(500, &[Some(8000)])];
    run_within(TEST_LIMIT, assert_learned_within(3 * TOLD, &agents));
}
