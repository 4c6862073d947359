//! Hand-off: what a process adopts from the one before it, and what it must not.

use std::collections::BTreeMap;

use stairfront_policy::interface::{
    CacheId, Endpoint, EndpointState, Event, Micros, Outcome, RequestId, MS, SECOND,
};
use stairfront_test_support::policy_driver::{read_through, ready_list, TestBalancer};

/// Where each key is served, in a balancer that has run for a while.
fn long_running() -> (TestBalancer, BTreeMap<u64, CacheId>) {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(0..6));
    for round in 0..3 {
        for key in 0..200 {
            balancer.now += 5 * MS;
            balancer.serve(key + round);
        }
    }
    let served = (0..200).map(|key| (key, balancer.serve(key))).collect();
    (balancer, served)
}

/// A process that has just started with this list and was given the snapshot of `before`.
fn successor(before: &TestBalancer, list: &[Endpoint], after: Micros) -> TestBalancer {
    let known = before.policy.snapshot(before.now);
    let mut balancer = TestBalancer::seeded(read_through(), list, 99);
    balancer.now = before.now + after;
    balancer.event(Event::Inherited(&known));
    balancer
}

#[test]
fn keys_stay_where_they_were_placed() {
    let (before, served) = long_running();
    let mut next = successor(&before, &ready_list(0..6), 2 * SECOND);
    let kept = served
        .iter()
        .filter(|(key, cache)| next.serve(**key) == **cache)
        .count();
    // Without the snapshot it would place keys with nearly even counts elsewhere.
    assert_eq!(kept, served.len());
    assert_eq!(next.policy.snapshot(next.now).at, next.now);
}

#[test]
fn a_list_that_reports_draining_or_restarted_takes_precedence_over_a_snapshot() {
    let (before, served) = long_running();
    let mut list = ready_list(0..6);
    list[1].state = EndpointState::Draining;
    list[2].incarnation = before.now - SECOND;
    let mut next = successor(&before, &list, SECOND);
    let (mut drained, mut restarted) = (0, 0);
    for key in served.keys() {
        let id = next.request(*key);
        next.now += 5 * MS;
        if let Some(cache) = next.last_cache(id) {
            next.finish_attempt(id, Outcome::Served);
            drained += usize::from(cache == CacheId(1));
            restarted += usize::from(cache == CacheId(2));
        }
    }
    let before_restart = served
        .values()
        .filter(|cache| **cache == CacheId(2))
        .count();
    assert_eq!(drained, 0);
    assert!(
        restarted < before_restart / 2,
        "{restarted} of {before_restart}: it came back empty and cold"
    );
}

#[test]
fn windows_of_an_old_snapshot_are_not_adopted() {
    let (mut before, _) = long_running();
    for key in 1_000..1_060 {
        let id = before.request(key);
        if before.last_cache(id) == Some(CacheId(3)) {
            before.finish_attempt(id, Outcome::ConnectFailed);
        }
    }
    // All at once, so that the window limits them.
    let uses = |balancer: &mut TestBalancer| {
        let ids: Vec<RequestId> = (2_000..2_100).map(|key| balancer.request(key)).collect();
        ids.iter()
            .filter(|id| balancer.last_cache(**id) == Some(CacheId(3)))
            .count()
    };
    let soon = uses(&mut successor(&before, &ready_list(0..6), SECOND));
    let late = uses(&mut successor(&before, &ready_list(0..6), 30 * SECOND));
    assert!(soon < late, "{soon} soon after, {late} long after");
}

#[test]
fn a_cache_whose_cordon_was_lifted_is_still_cold_in_the_next_process() {
    // The same state, but for the time since the cordon was lifted.
    let sent = |wait: Micros| {
        let (mut before, _) = long_running();
        for on in [true, false] {
            before.event(Event::Cordon {
                cache: CacheId(4),
                on,
            });
        }
        before.now += wait;
        let mut next = successor(&before, &ready_list(0..6), SECOND);
        let ids: Vec<RequestId> = (5_000..5_200).map(|key| next.request(key)).collect();
        ids.iter()
            .filter(|id| next.last_cache(**id) == Some(CacheId(4)))
            .count()
    };
    let (cold, warm) = (sent(0), sent(11 * SECOND));
    assert!(cold < warm, "{cold} cold, {warm} warm");
}
