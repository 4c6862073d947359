//! Endpoint list: removals, and when discovery is polled.

use stairfront_policy::interface::{
    Action, CacheId, DiscoveryMode, EndpointListUpdate, EndpointState, Event, Micros, Outcome,
};
use stairfront_test_support::policy_driver::{
    endpoint, read_through, ready_list, servers_sent_to, TestBalancer,
};

#[test]
fn a_draining_or_removed_cache_gets_nothing_from_the_same_event_on() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=5));
        (1..100).for_each(|key| assert!(balancer.serve(key).0 > 0));
        balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint(
            4, state,
        )])));
        assert!(
            (1..400).all(|key| balancer.serve(key) != CacheId(4)),
            "{state:?}"
        );
    }
}

#[test]
fn a_full_list_removes_the_servers_that_it_lacks() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=5));
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        [1, 2],
    ))));
    assert!((1..200).all(|key| balancer.serve(key).0 <= 2));
}

#[test]
fn a_retry_is_not_sent_to_a_cache_that_was_removed_meanwhile() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=2));
    let id = balancer.request(7);
    let other = 3 - balancer.last_cache(id).unwrap().0;
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint(
        other,
        EndpointState::Draining,
    )])));
    let actions = balancer.finish_attempt(id, Outcome::ConnectFailed);
    assert!(!servers_sent_to(&actions).contains(&CacheId(other)));
}

fn subscriptions(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::WatchList(true)))
        .count()
}

fn list_timer(actions: &[Action]) -> Option<Micros> {
    let list = |a: &Action| {
        if let Action::Timer {
            delay,
            token: u64::MAX,
        } = a
        {
            Some(*delay)
        } else {
            None
        }
    };
    actions.iter().find_map(list)
}

#[test]
fn discovery_is_polled_once_after_a_random_delay_and_again_after_a_failure() {
    let mut settings = read_through();
    settings.discovery = DiscoveryMode::Poll;
    let mut balancer = TestBalancer::new(settings, &ready_list(1..=3));
    let first = list_timer(&balancer.out).expect("it polls after the start");
    balancer.now += first;
    assert_eq!(
        subscriptions(&balancer.event(Event::Timer { token: u64::MAX })),
        1
    );
    let failed = balancer.event(Event::EndpointList(EndpointListUpdate::Failed));
    let again = list_timer(&failed).expect("it polls again");
    assert!(subscriptions(&failed) == 0 && again > 0);
    balancer.now += again;
    assert_eq!(
        subscriptions(&balancer.event(Event::Timer { token: u64::MAX })),
        1
    );
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[])));
    assert_eq!(
        subscriptions(&balancer.event(Event::Timer { token: u64::MAX })),
        0,
        "subscribed: nothing to poll"
    );
}

#[test]
fn balancers_started_together_poll_at_different_times() {
    let delays: Vec<_> = (0..20)
        .map(|seed| {
            let mut settings = read_through();
            settings.discovery = DiscoveryMode::Poll;
            let mut policy = stairfront_policy::Policy::new(settings, seed * 1_000_003);
            let mut out = vec![];
            policy.handle(
                0,
                Event::EndpointList(EndpointListUpdate::Cached(&ready_list(1..=3))),
                &mut out,
            );
            list_timer(&out).unwrap()
        })
        .collect();
    let distinct: std::collections::BTreeSet<_> = delays.iter().collect();
    assert!(distinct.len() > 15, "{delays:?}");
}

#[test]
fn a_pushed_list_is_never_polled() {
    let balancer = TestBalancer::new(read_through(), &ready_list(1..=3));
    assert_eq!(list_timer(&balancer.out), None);
}
