//! Admission: concurrency limits, priorities and likely misses.

use std::collections::BTreeMap;

use stairfront_policy::interface::{Class, Idempotency, Outcome};
use stairfront_test_support::policy_driver::{class, read_through, ready_list, TestBalancer};

#[test]
fn a_key_whose_candidates_are_full_moves_to_an_idle_cache_and_stays() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=8));
    (1..100).for_each(|key| assert!(balancer.serve(key).0 > 0));
    let open: Vec<_> = (0..40).map(|_| balancer.request(7)).collect();
    let mut used: BTreeMap<u64, usize> = BTreeMap::new();
    open.iter()
        .filter_map(|id| balancer.last_cache(*id))
        .for_each(|c| *used.entry(c.0).or_default() += 1);
    assert!(
        used.len() > 3,
        "its owners, three at most, and then the idle caches it moved to: {used:?}"
    );
    assert!(
        used.values().all(|n| *n <= 4),
        "it moves on only when a cache's window is full: {used:?}"
    );
    let placed: Vec<_> = open
        .into_iter()
        .filter(|id| balancer.final_answers(*id) == 0)
        .collect();
    placed
        .into_iter()
        .for_each(|id| drop(balancer.finish_attempt(id, Outcome::Served)));
    let home = balancer.serve(7);
    assert!((0..5).all(|_| balancer.serve(7) == home));
}

/// How many requests for these keys are sent, with none of them answered.
fn count_sent(balancer: &mut TestBalancer, keys: std::ops::Range<u64>) -> usize {
    let sent = |key| {
        let id = balancer.request(key);
        usize::from(balancer.last_cache(id).is_some())
    };
    keys.map(sent).sum()
}

#[test]
fn a_larger_fleet_of_balancers_starts_with_smaller_windows() {
    let out = |balancers| {
        let mut settings = read_through();
        settings.balancers = balancers;
        let mut balancer = TestBalancer::new(settings, &ready_list([1]));
        count_sent(&mut balancer, 0..40)
    };
    assert_eq!((out(3), out(12), out(40)), (4, 1, 1));
}

#[test]
fn while_the_origin_behind_the_caches_fails_most_likely_misses_are_rejected() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=6));
    (1..=20).for_each(|key| assert!(balancer.serve(key).0 > 0));
    for key in 100..104 {
        let id = balancer.request(key);
        while balancer.final_answers(id) == 0 {
            balancer.finish_attempt(id, Outcome::Errored);
        }
    }
    let (held, unknown) = (
        count_sent(&mut balancer, 1..21),
        count_sent(&mut balancer, 500..520),
    );
    assert!(
        held >= 10 && unknown <= 10,
        "held {held}, unknown {unknown} of 20 each"
    );
}

#[test]
fn a_class_of_higher_priority_is_rejected_last() {
    let mut settings = read_through();
    settings.classes.push(Class {
        priority_weight: 3.0,
        ..class(Idempotency::Idempotent)
    });
    let mut balancer = TestBalancer::new(settings, &ready_list([1]));
    let common = count_sent(&mut balancer, 1..40);
    let mut dear = 0;
    for key in 100..140 {
        let id = balancer.request_of_class(1, key, false);
        dear += usize::from(balancer.last_cache(id).is_some());
    }
    assert_eq!(
        (common, dear),
        (4, 4),
        "a full window for all, as much again for what is worth more"
    );
}
