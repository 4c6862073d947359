//! Outlier detection: which outcomes eject a server, and which are chance.

use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, Event, Micros, Outcome, RequestId, MS, SECOND,
};
use stairfront_test_support::policy_driver::{
    attempt_result, cache_aside, read_through, ready_list, reporting_utilization, servers_sent_to,
    utilization_report, with_origin, TestBalancer, ORIGIN,
};

#[test]
fn a_cache_that_refuses_connections_is_avoided_and_used_again_later() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=6));
    let dead = balancer.serve(42);
    // Two faults in a row may be the network's.
    for _ in 0..3 {
        let id = balancer.request(42);
        assert_eq!(balancer.last_cache(id), Some(dead));
        balancer.finish_attempt(id, Outcome::ConnectFailed);
        assert_ne!(balancer.last_cache(id), Some(dead), "it is tried elsewhere");
        balancer.finish_attempt(id, Outcome::Served);
    }
    assert_ne!(balancer.serve(42), dead);
    for key in 0..300 {
        balancer.now += 100 * MS;
        balancer.serve(key % 40 + 100);
    }
    assert_eq!(balancer.serve(42), dead, "its keys stayed placed there");
}

#[test]
fn after_all_connections_failed_requests_are_sent_again() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=4));
    for key in 0..60 {
        let id = balancer.request(key);
        while balancer.final_answers(id) == 0 && balancer.last_cache(id).is_some() {
            balancer.finish_attempt(id, Outcome::ConnectFailed);
        }
    }
    balancer.now += 21 * SECOND;
    let ids: Vec<_> = (1_000..1_020).map(|key| balancer.request(key)).collect();
    assert!(
        ids.iter().any(|id| balancer.last_cache(*id).is_some()),
        "no rest is for good"
    );
}

#[test]
fn a_cache_that_answers_with_errors_is_avoided_in_cache_aside_mode() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=6)));
    let bad = balancer.serve(42);
    let mut to_bad = 0;
    for key in 100..400 {
        let id = balancer.request(key);
        while balancer.final_answers(id) == 0 {
            let at_bad = balancer.last_cache(id) == Some(bad);
            to_bad += usize::from(at_bad);
            balancer.finish_attempt(
                id,
                if at_bad {
                    Outcome::Errored
                } else {
                    Outcome::Served
                },
            );
            if !at_bad {
                break;
            }
        }
        balancer.now += 10 * MS;
    }
    assert!(
        to_bad < 15,
        "{to_bad} of 300 requests met a cache that only errs"
    );
}

#[test]
fn a_malformed_answer_ejects_no_server_and_is_retried_there() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=6)));
    let cache = balancer.serve(77);
    // One answer in ten is malformed, for a long time: each is retried at the same cache, which stays in use.
    for round in 0..60 {
        balancer.now += 50 * MS;
        let id = balancer.request(77);
        assert_eq!(balancer.last_cache(id), Some(cache), "round {round}");
        if round % 10 == 5 {
            assert_eq!(
                servers_sent_to(&balancer.finish_attempt(id, Outcome::Malformed)),
                [cache],
                "it need not be fetched again"
            );
        }
        balancer.finish_attempt(id, Outcome::Served);
    }
}

#[test]
fn connections_lost_now_and_then_eject_no_cache_and_no_origin() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=6)));
    let cache = balancer.serve(77);
    for round in 0..150 {
        balancer.now += 50 * MS;
        let id = balancer.request(77);
        assert_eq!(balancer.last_cache(id), Some(cache), "round {round}");
        match round % 30 {
            3 => drop(balancer.finish_attempt(id, Outcome::Reset)),
            6 => drop(balancer.finish_attempt(id, Outcome::ConnectFailed)),
            9 => {
                balancer.finish_attempt(id, Outcome::Miss);
                assert_eq!(balancer.last_cache(id), Some(ORIGIN));
                balancer.finish_attempt(id, Outcome::Reset);
                assert_eq!(
                    balancer.sent[&id.0].len(),
                    3,
                    "its fetch is made again at once"
                );
            }
            _ => {}
        }
        balancer.finish_attempt(id, Outcome::Served);
    }
}

#[test]
fn a_server_whose_every_answer_is_malformed_is_ejected() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=6)));
    let cache = balancer.serve(77);
    let mut sent = 0;
    for _ in 0..30 {
        balancer.now += 50 * MS;
        let id = balancer.request(77);
        while balancer.final_answers(id) == 0
            && balancer
                .sent
                .get(&id.0)
                .is_some_and(|s| s.last() == Some(&cache))
        {
            sent += 1;
            balancer.finish_attempt(id, Outcome::Malformed);
        }
        if balancer.final_answers(id) == 0 {
            balancer.finish_attempt(id, Outcome::Served);
        }
    }
    assert!((3..=10).contains(&sent), "{sent} of 30 went there");
}

#[test]
fn a_fifth_of_attempts_rejected_at_random_costs_retries_and_no_request() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=6)));
    for key in 0..200 {
        balancer.now += 20 * MS;
        balancer.serve(key % 20);
    }
    let mut rejected = 0;
    for round in 0..500u64 {
        balancer.now += 20 * MS;
        let id = balancer.request(round % 20);
        if round % 5 == 0 && balancer.final_answers(id) == 0 {
            balancer.finish_attempt(id, Outcome::Full);
        }
        match balancer.final_answers(id) {
            0 => drop(balancer.finish_attempt(id, Outcome::Served)),
            n => rejected += n,
        }
    }
    assert!(rejected < 5, "{rejected} of 500 rejected");
}

/// Sends many requests to each cache for some seconds; returns the cache of key 77.
fn warm_up(balancer: &mut TestBalancer) -> CacheId {
    for key in 0..1_000 {
        balancer.now += 10 * MS;
        balancer.serve(key % 50 + 100);
    }
    balancer.serve(77)
}

/// Ends the last attempt of a request at a server that reports idle cores.
fn answer(
    balancer: &mut TestBalancer,
    id: RequestId,
    outcome: Outcome,
    elapsed: Micros,
) -> Vec<Action> {
    let attempt = balancer.sent[&id.0].len() as u8 - 1;
    let cache = balancer.last_cache(id).unwrap();
    balancer.event(Event::AttemptFinished(AttemptResult {
        elapsed,
        load: utilization_report(0.3),
        ..attempt_result(id, attempt, cache, outcome)
    }))
}

#[test]
fn where_answers_get_lost_an_attempt_is_cancelled_half_way_and_retried() {
    let mut balancer = TestBalancer::new(
        reporting_utilization(cache_aside()),
        &with_origin(ready_list(1..=6)),
    );
    let cache = warm_up(&mut balancer);
    let mut cancelled = 0;
    let mut served = 0;
    for round in 0..200 {
        balancer.now += 20 * MS;
        let id = balancer.request(77);
        assert_eq!(
            balancer.last_cache(id),
            Some(cache),
            "round {round}: it was ejected, or another was chosen"
        );
        if round % 3 > 0 {
            answer(&mut balancer, id, Outcome::Served, 40 * MS);
            served += 1;
            continue;
        }
        // No answer comes. The first few times the balancer cannot know that none will.
        let cancel_timer = balancer.out.iter().rev().find_map(|action| match action {
            Action::Timer { delay, token } if *token > u64::from(u32::MAX) => {
                Some((*delay, *token))
            }
            _ => None,
        });
        let Some((delay, token)) = cancel_timer.filter(|(_, token)| *token as u32 == id.0) else {
            answer(&mut balancer, id, Outcome::TimedOut, 990 * MS);
            continue;
        };
        assert_eq!(delay, 250 * MS, "half of the time to its objective");
        balancer.now += delay;
        assert_eq!(
            balancer.event(Event::Timer { token }),
            [Action::Cancel { id, attempt: 0 }]
        );
        answer(&mut balancer, id, Outcome::Cancelled, delay);
        assert_eq!(balancer.last_cache(id), Some(cache), "which has the value");
        assert_eq!(balancer.sent[&id.0].len(), 2);
        answer(&mut balancer, id, Outcome::Served, 40 * MS);
        // An attempt that has ended is not cancelled.
        assert_eq!(balancer.event(Event::Timer { token }), []);
        cancelled += 1;
    }
    assert!(
        cancelled > 50 && served > 120,
        "{cancelled} cancelled, {served} served at once"
    );
}

#[test]
fn a_busy_cache_is_waited_for_and_one_that_never_answers_is_ejected() {
    let mut balancer = TestBalancer::new(
        reporting_utilization(cache_aside()),
        &with_origin(ready_list(1..=6)),
    );
    let cache = warm_up(&mut balancer);
    let mut unanswered = 0;
    for _ in 0..40 {
        balancer.now += 20 * MS;
        let id = balancer.request(77);
        while balancer.final_answers(id) == 0 && balancer.last_cache(id) == Some(cache) {
            balancer.finish_attempt(id, Outcome::TimedOut);
            unanswered += 1;
        }
        if balancer.final_answers(id) == 0 {
            balancer.finish_attempt(id, Outcome::Served);
        }
    }
    assert!(
        (5..20).contains(&unanswered),
        "{unanswered} of 40 were spent on it"
    );
    // Without a report of idle cores nothing is cancelled, since the work would go on at the server.
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=6)));
    for key in 0..30 {
        balancer.now += 20 * MS;
        let id = balancer.request(key % 3);
        balancer.finish_attempt(
            id,
            if key % 2 == 0 {
                Outcome::TimedOut
            } else {
                Outcome::Served
            },
        );
    }
    assert!(!balancer
        .out
        .iter()
        .any(|a| matches!(a, Action::Timer { token, .. } if *token > u64::from(u32::MAX))));
}
