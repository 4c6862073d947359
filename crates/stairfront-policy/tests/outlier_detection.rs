//! Outlier detection: which outcomes eject a server, and which are chance.
mod common;
use common::*;
use stairfront_policy::interface::*;

#[test]
fn a_cache_that_refuses_connections_is_avoided_and_used_again_later() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=6));
    let dead = balancer.serve(42);
    // Two in a row may be the network's.
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
    // One in ten, for a long time: each is had from the same cache again, which stays in use.
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
    let mut refusals = 0;
    for round in 0..500u64 {
        balancer.now += 20 * MS;
        let id = balancer.request(round % 20);
        if round % 5 == 0 && balancer.final_answers(id) == 0 {
            balancer.finish_attempt(id, Outcome::Full);
        }
        match balancer.final_answers(id) {
            0 => drop(balancer.finish_attempt(id, Outcome::Served)),
            n => refusals += n,
        }
    }
    assert!(refusals < 5, "{refusals} of 500 refused");
}

/// Reports of a cache whose cores are a third busy.
fn idle(mut settings: Settings) -> Settings {
    settings.report = vec![ReportField::Utilization];
    settings
}

/// Each cache has been asked often for some seconds; tells where key 77 is.
fn often(balancer: &mut TestBalancer) -> CacheId {
    for key in 0..1_000 {
        balancer.now += 10 * MS;
        balancer.serve(key % 50 + 100);
    }
    balancer.serve(77)
}

fn answer(
    balancer: &mut TestBalancer,
    id: RequestId,
    outcome: Outcome,
    elapsed: Micros,
) -> Vec<Action> {
    let (attempt, cache) = (
        balancer.sent[&id.0].len() as u8 - 1,
        balancer.last_cache(id).unwrap(),
    );
    let load = LoadReport {
        len: 1,
        values: [0.3, 0.0, 0.0, 0.0],
    };
    let (request_finished, cache_status) = (outcome == Outcome::Served, CacheStatus::Hit);
    balancer.event(Event::AttemptFinished(AttemptResult {
        id,
        attempt,
        cache,
        outcome,
        request_finished,
        elapsed,
        cache_status,
        load,
    }))
}

#[test]
fn where_answers_get_lost_an_attempt_is_cancelled_half_way_and_retried() {
    let mut balancer = TestBalancer::new(idle(cache_aside()), &with_origin(ready_list(1..=6)));
    let cache = often(&mut balancer);
    let (mut cut, mut served) = (0, 0);
    for round in 0..200 {
        balancer.now += 20 * MS;
        let id = balancer.request(77);
        assert_eq!(
            balancer.last_cache(id),
            Some(cache),
            "round {round}: it rests, or another was chosen"
        );
        if round % 3 > 0 {
            answer(&mut balancer, id, Outcome::Served, 40 * MS);
            served += 1;
            continue;
        }
        // Nothing comes. The first few times nobody knows that it never will.
        let early = balancer.out.iter().rev().find_map(|action| match action {
            Action::Timer { delay, token } if *token > u64::from(u32::MAX) => {
                Some((*delay, *token))
            }
            _ => None,
        });
        let Some((delay, token)) = early.filter(|(_, token)| *token as u32 == id.0) else {
            answer(&mut balancer, id, Outcome::TimedOut, 990 * MS);
            continue;
        };
        assert_eq!(delay, 250 * MS, "half of the time to its aim");
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
        cut += 1;
    }
    assert!(
        cut > 50 && served > 120,
        "{cut} given up, {served} served at once"
    );
}

#[test]
fn a_busy_cache_is_waited_for_and_one_that_never_answers_is_ejected() {
    let mut balancer = TestBalancer::new(idle(cache_aside()), &with_origin(ready_list(1..=6)));
    let cache = often(&mut balancer);
    let mut silent = 0;
    for _ in 0..40 {
        balancer.now += 20 * MS;
        let id = balancer.request(77);
        while balancer.final_answers(id) == 0 && balancer.last_cache(id) == Some(cache) {
            balancer.finish_attempt(id, Outcome::TimedOut);
            silent += 1;
        }
        if balancer.final_answers(id) == 0 {
            balancer.finish_attempt(id, Outcome::Served);
        }
    }
    assert!((5..20).contains(&silent), "{silent} of 40 were spent on it");
    // No report of idle cores: nothing is cut short, since the work would go on there.
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
