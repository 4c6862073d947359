//! New settings while requests are open: an open request keeps those that it was admitted with.

use stairfront_policy::interface::{
    Action, CacheId, Class, DeduplicationScope, Event, Idempotency, Outcome, Settings, MS, SECOND,
};
use stairfront_test_support::policy_driver::{
    class, has_failure, has_rejection, read_through, ready_list, servers_sent_to, TestBalancer,
};

fn with(idempotency: Idempotency, attempts: u8) -> Settings {
    let mut settings = read_through();
    settings.classes = vec![class(idempotency)];
    settings.limits.max_attempts = attempts;
    settings
}

fn retune(balancer: &mut TestBalancer, settings: &Settings) {
    balancer.event(Event::SettingsChanged {
        settings,
        tenants: &[],
    });
}

#[test]
fn a_request_that_becomes_idempotent_is_not_retried_while_it_may_have_run() {
    let mut balancer = TestBalancer::new(with(Idempotency::NotIdempotent, 4), &ready_list(0..4));
    let open = balancer.request(1);
    retune(&mut balancer, &with(Idempotency::Idempotent, 4));
    let actions = balancer.finish_attempt(open, Outcome::Reset);
    assert!(
        has_failure(&actions) && servers_sent_to(&actions).is_empty(),
        "{actions:?}"
    );
    // A later request follows the new settings, also when they change back while it is open.
    let later = balancer.request(1);
    retune(&mut balancer, &with(Idempotency::NotIdempotent, 4));
    assert_eq!(
        servers_sent_to(&balancer.finish_attempt(later, Outcome::Reset)).len(),
        1
    );
}

#[test]
fn a_keyed_request_stays_bound_to_its_scope() {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        key_ttl: 5 * SECOND,
    };
    let mut balancer = TestBalancer::new(with(keyed, 4), &ready_list(0..4));
    let open = balancer.request(1);
    let first = balancer.last_cache(open).unwrap();
    retune(&mut balancer, &with(Idempotency::Idempotent, 4));
    for _ in 0..3 {
        let actions = balancer.finish_attempt(open, Outcome::Reset);
        let again = servers_sent_to(&actions);
        assert!(
            again.iter().all(|cache| cache.0 % 2 == first.0 % 2),
            "zones are ids modulo 2: {actions:?}"
        );
        if again.is_empty() {
            return;
        }
    }
}

#[test]
fn a_lower_limit_of_attempts_ends_no_open_request() {
    let mut balancer = TestBalancer::new(with(Idempotency::Idempotent, 3), &ready_list(0..6));
    let open = balancer.request(1);
    assert_eq!(
        servers_sent_to(&balancer.finish_attempt(open, Outcome::Full)).len(),
        1
    );
    retune(&mut balancer, &with(Idempotency::Idempotent, 1));
    assert_eq!(
        servers_sent_to(&balancer.finish_attempt(open, Outcome::Full)).len(),
        1,
        "the third"
    );
    assert!(has_rejection(&balancer.finish_attempt(open, Outcome::Full)));
    let later = balancer.request(2);
    assert!(
        has_rejection(&balancer.finish_attempt(later, Outcome::Full)),
        "one attempt is all a new one has"
    );
}

#[test]
fn a_new_class_is_served_and_placements_stay() {
    let mut balancer = TestBalancer::new(with(Idempotency::Idempotent, 4), &ready_list(0..6));
    let before: Vec<CacheId> = (0..100).map(|key| balancer.serve(key)).collect();
    let mut more = with(Idempotency::Idempotent, 4);
    more.classes.push(Class {
        latency_objective: 100 * MS,
        deadline: 200 * MS,
        ..class(Idempotency::NotIdempotent)
    });
    assert!(has_failure(&{
        let id = balancer.request_of_class(1, 7, false);
        balancer
            .out
            .iter()
            .filter(|a| matches!(a, Action::Fail { id: i } if *i == id))
            .cloned()
            .collect::<Vec<_>>()
    }));
    retune(&mut balancer, &more);
    let id = balancer.request_of_class(1, 7, false);
    assert!(balancer.last_cache(id).is_some());
    balancer.finish_attempt(id, Outcome::Served);
    let after: Vec<CacheId> = (0..100).map(|key| balancer.serve(key)).collect();
    assert_eq!(after, before);
}
