//! No effect twice, and exactly one answer: when a request may be retried or rejected, by the outcome of its attempt.

use stairfront_policy::interface::{
    Action, CacheId, ClassId, DeduplicationScope, Endpoint, Event, Idempotency, Key, Micros,
    Outcome, Request, RequestId, TenantId, MS, SECOND,
};
use stairfront_test_support::policy_driver::{
    class, has_failure, has_rejection, read_through, ready_list, servers_sent_to, TestBalancer,
};

const FAILURES: [(Outcome, bool); 7] = [
    (Outcome::Errored, false),
    (Outcome::TimedOut, false),
    (Outcome::Reset, false),
    (Outcome::Cancelled, false),
    (Outcome::Full, true),
    (Outcome::ConnectFailed, true),
    (Outcome::NeverSent, true),
];

fn keyed(group: DeduplicationScope, key_ttl: Micros) -> Idempotency {
    Idempotency::Keyed {
        scope: group,
        key_ttl,
    }
}

fn balancer(idempotency: Idempotency, list: &[Endpoint]) -> TestBalancer {
    let mut settings = read_through();
    settings.classes = vec![class(idempotency)];
    TestBalancer::new(settings, list)
}

/// The actions after an attempt that ended with `outcome`, and the cache that it was sent to.
fn after(idempotency: Idempotency, outcome: Outcome, wait: Micros) -> (Vec<Action>, CacheId) {
    let mut balancer = balancer(idempotency, &ready_list(1..=6));
    let id = balancer.request_of_class(0, 42, true);
    let first = balancer.last_cache(id).unwrap();
    balancer.now += wait;
    (balancer.finish_attempt(id, outcome), first)
}

#[test]
fn idempotent_requests_are_retried_after_any_failure() {
    for (outcome, _) in FAILURES {
        let (actions, first) = after(Idempotency::Idempotent, outcome, 0);
        assert_eq!(
            servers_sent_to(&actions).len(),
            1,
            "{outcome:?}: {actions:?}"
        );
        // A lost connection says nothing of a cache that has just answered; after any other failure another is chosen.
        assert_eq!(
            servers_sent_to(&actions)[0] == first,
            matches!(outcome, Outcome::Reset | Outcome::Cancelled),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn requests_that_are_not_idempotent_are_retried_or_rejected_only_if_nothing_ran() {
    for (outcome, never_ran) in FAILURES {
        let (actions, _) = after(Idempotency::NotIdempotent, outcome, 0);
        if never_ran {
            assert_eq!(servers_sent_to(&actions).len(), 1, "{outcome:?}");
        } else {
            assert!(
                servers_sent_to(&actions).is_empty()
                    && has_failure(&actions)
                    && !has_rejection(&actions),
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn keyed_requests_stay_in_the_scope_and_time_of_their_key() {
    for (outcome, never_ran) in FAILURES {
        for group in [
            DeduplicationScope::All,
            DeduplicationScope::Zone,
            DeduplicationScope::Cell,
        ] {
            let (actions, first) = after(keyed(group, 300 * MS), outcome, 0);
            for next in servers_sent_to(&actions) {
                let same = next.0 % 2 == first.0 % 2;
                assert!(
                    never_ran || group == DeduplicationScope::All || same,
                    "{outcome:?} {group:?}"
                );
            }
            assert!(
                never_ran || group == DeduplicationScope::All || !has_rejection(&actions),
                "{outcome:?} {group:?}"
            );
        }
        let (actions, _) = after(keyed(DeduplicationScope::All, 300 * MS), outcome, 400 * MS);
        assert_eq!(
            servers_sent_to(&actions).len(),
            usize::from(never_ran),
            "past the time of the key: {outcome:?}"
        );
        let (actions, _) = after(keyed(DeduplicationScope::Zone, 300 * MS), outcome, 400 * MS);
        assert!(
            never_ran || has_failure(&actions),
            "past the time of the key, no rejection: {outcome:?}"
        );
    }
}

#[test]
fn an_attempt_in_flight_counts_as_one_that_may_have_run() {
    let mut balancer = balancer(Idempotency::NotIdempotent, &ready_list(1..=6));
    let id = balancer.request_of_class(0, 42, true);
    balancer.now += 600 * MS;
    let actions = balancer.event(Event::Timer {
        token: u64::from(id.0),
    });
    assert!(
        has_failure(&actions) && !has_rejection(&actions),
        "past the objective with its attempt in flight: {actions:?}"
    );
}

#[test]
fn the_time_of_a_key_counts_from_the_earliest_attempt_that_may_have_run() {
    let mut balancer = balancer(keyed(DeduplicationScope::All, 300 * MS), &ready_list(1..=6));
    let id = balancer.request_of_class(0, 42, true);
    balancer.now += 200 * MS;
    assert_eq!(
        servers_sent_to(&balancer.finish_attempt(id, Outcome::Reset)).len(),
        1
    );
    balancer.now += 200 * MS;
    assert!(
        servers_sent_to(&balancer.finish_attempt(id, Outcome::Reset)).is_empty(),
        "400 ms after the first send"
    );
}

#[test]
fn attempts_are_capped_and_then_the_request_ends() {
    let mut balancer = balancer(Idempotency::Idempotent, &ready_list(1..=6));
    let id = balancer.request(42);
    while balancer.final_answers(id) == 0 {
        balancer.finish_attempt(id, Outcome::ConnectFailed);
    }
    assert!(balancer.sent[&id.0].len() <= 4);
    assert_eq!(balancer.final_answers(id), 1);
}

#[test]
fn a_request_is_never_answered_after_its_end() {
    let mut balancer = balancer(Idempotency::Idempotent, &ready_list(1..=6));
    let id = balancer.request(42);
    balancer.finish_attempt(id, Outcome::Served);
    balancer.now += 2 * SECOND;
    assert!(balancer
        .event(Event::Timer {
            token: u64::from(id.0)
        })
        .is_empty());
    assert!(balancer.event(Event::ClientDisconnected { id }).is_empty());
}

#[test]
fn a_server_that_never_answers_still_leaves_one_answer_before_the_deadline() {
    let mut balancer = balancer(Idempotency::Idempotent, &ready_list(1..=6));
    let id = balancer.request(42);
    let delays: Vec<Micros> = balancer
        .out
        .iter()
        .filter_map(|a| {
            if let Action::Timer { delay, .. } = a {
                Some(*delay)
            } else {
                None
            }
        })
        .collect();
    assert!(delays.iter().any(|d| *d <= 990 * MS));
    balancer.now += delays[0];
    balancer.event(Event::Timer {
        token: u64::from(id.0),
    });
    assert_eq!(balancer.final_answers(id), 1);
}

#[test]
fn a_streamed_answer_belongs_to_the_client() {
    let mut balancer = balancer(Idempotency::NotIdempotent, &ready_list(1..=6));
    let id = balancer.request(42);
    balancer.event(Event::ResponseStarted { id, attempt: 0 });
    balancer.now += 5 * SECOND;
    assert!(balancer
        .event(Event::Timer {
            token: u64::from(id.0)
        })
        .is_empty());
}

#[test]
fn retries_of_failures_have_a_budget() {
    let mut balancer = balancer(Idempotency::Idempotent, &ready_list(1..=6));
    let mut again = 0;
    for key in 0..200 {
        balancer.now += 20 * MS;
        let id = balancer.request(key);
        if balancer.last_cache(id).is_some() {
            again += servers_sent_to(&balancer.finish_attempt(id, Outcome::Errored)).len();
            if balancer.final_answers(id) == 0 {
                balancer.finish_attempt(id, Outcome::Served);
            }
        }
    }
    assert!(
        again <= 10 + 200 / 10 + 1,
        "{again} retries of 200 requests"
    );
}

#[test]
fn a_late_retry_of_a_client_is_rejected_without_server_work() {
    let mut settings = read_through();
    settings.classes[0].latency_objective = 300 * MS;
    let mut balancer = TestBalancer::new(settings, &ready_list(1..=6));
    (1..50).for_each(|key| assert!(balancer.serve(key).0 > 0));
    // The usual time left is the whole deadline. This request has 400 ms of it, so 600 ms are spent and its objective is past.
    let id = RequestId(9_999);
    let actions = balancer.event(Event::Request(Request {
        id,
        class: ClassId(0),
        tenant: TenantId(0),
        key: Some(Key(3)),
        expires_at: balancer.now + 400 * MS,
        waited: 0,
        write: false,
        retry: false,
    }));
    assert!(has_rejection(&actions) && servers_sent_to(&actions).is_empty());
    // One with the usual time left is served.
    assert!((1..=6).contains(&balancer.serve(4).0));
}
