//! A process that stands still between a decision and what follows from it. The times of a decision count from the decision.

use std::time::Duration;

use serde_json::json;
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::stages::route::Decide;
use stairfront_policy::interface::{Action, Event, Micros, Settings};
use stairfront_policy::Policy;
use stairfront_test_support::loopback::{
    cache, command, commands, config, hit, line, ms, quiet_agent, run, Balancer, Log, Step,
};
use tokio::net::TcpListener;

const STALL: Duration = Duration::from_millis(300);

/// The decision module, behind whose decisions on some events the process stands still.
struct StallingPolicy {
    policy: Policy,
    stalls_after: fn(&Event<'_>) -> bool,
}

impl Decide for StallingPolicy {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let stalls = (self.stalls_after)(&event);
        self.policy.handle(now, event, actions);
        if stalls {
            std::thread::sleep(STALL);
        }
    }
}

/// A balancer with one cache host that stalls behind some decisions.
async fn stalling_balancer(
    log: &Log,
    script: impl Fn(usize, &[String]) -> Step + 'static,
    stalls_after: fn(&Event<'_>) -> bool,
) -> Balancer {
    let (agent, host) = (quiet_agent(log).await, cache("cache", log, script).await);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let lines = [line("c", host, "box")];
    let mut text = config(listener.local_addr().unwrap(), agent, &lines, 1024);
    let profiles = text["settings"]["profiles"].as_array_mut().unwrap();
    let mut keyed = profiles[0].clone();
    keyed["name"] = json!("keyed");
    keyed["semantics"] = json!("guarded");
    keyed["group"] = json!("all");
    keyed["key_ttl"] = json!(250.0);
    profiles.push(keyed);
    let config = Config::from_text("test", &text.to_string()).unwrap();
    let build = move |settings: Settings, seed| StallingPolicy {
        policy: Policy::new(settings, seed),
        stalls_after,
    };
    Balancer::begin_with(None, listener, config, build).await
}

#[test]
fn a_stall_between_decision_and_send_does_not_lengthen_the_time_that_is_told() {
    run(async {
        let log = Log::default();
        let is_request = |event: &Event<'_>| matches!(event, Event::Request(_));
        let balancer = stalling_balancer(&log, |_, _| hit("v"), is_request).await;
        let mut client = balancer.client().await;
        let words = ["C.GET", "k", "1", "c=read,t=acme,d=1400"];
        assert!(client.ask(&words).await.starts_with('$'));
        let list = &commands(&log, "cache")[0][3];
        let (_, told) = list.split_once("d=").unwrap();
        let told: u64 = told.parse().unwrap();
        assert!(told <= 1400 - 300, "told {told} ms");
    });
}

/// The host has forgotten the key of the first attempt by the time at which a retry goes out.
#[test]
fn a_stall_between_decision_and_send_does_not_lengthen_the_window_of_a_keyed_retry() {
    run(async {
        let log = Log::default();
        let is_end = |event: &Event<'_>| matches!(event, Event::AttemptFinished(_));
        let balancer = stalling_balancer(&log, |_, _| Step::Broken(b"*3".to_vec()), is_end).await;
        let mut client = balancer.client().await;
        client
            .send(&command(&["C.GET", "k", "1", "c=keyed,t=acme,d=1400"]))
            .await;
        client.answer().await.unwrap();
        tokio::time::sleep(ms(400)).await;
        assert_eq!(
            commands(&log, "cache").len(),
            1,
            "sent again after its window"
        );
    });
}
