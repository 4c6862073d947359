//! Cache-aside mode: shared fetches, and the concurrency limit of the origin.

use stairfront_policy::interface::{
    Action, AttemptResult, CacheStatus, Event, Outcome, RequestId, Settings, MS,
};
use stairfront_test_support::policy_driver::{
    attempt_result, cache_aside, read_through, ready_list, reporting_utilization, servers_sent_to,
    utilization_report, with_origin, TestBalancer, ORIGIN,
};

#[test]
fn readers_of_one_key_share_a_fetch_and_read_what_it_stored() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=5)));
    let first = balancer.request(11);
    let cache = balancer.last_cache(first).unwrap();
    assert_eq!(
        servers_sent_to(&balancer.finish_attempt(first, Outcome::Miss)),
        [ORIGIN]
    );
    let later: Vec<_> = (0..3).map(|_| balancer.request(11)).collect();
    assert!(
        later.iter().all(|id| balancer.last_cache(*id).is_none()),
        "they wait for the fetch"
    );
    let actions = balancer.finish_attempt(first, Outcome::Served);
    assert_eq!(servers_sent_to(&actions).first(), Some(&cache));
    assert!(later.iter().all(|id| balancer.last_cache(*id).is_some()));
}

#[test]
fn when_the_fetching_client_disconnects_the_next_reader_fetches() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=5)));
    let first = balancer.request(11);
    balancer.finish_attempt(first, Outcome::Miss);
    let second = balancer.request(11);
    balancer.event(Event::ClientDisconnected { id: first });
    assert_eq!(balancer.last_cache(second), Some(ORIGIN));
}

#[test]
fn writes_go_to_the_origin_in_aside_mode_and_to_the_cache_in_through_mode() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=5)));
    let id = balancer.request_of_class(0, 11, true);
    assert_eq!(balancer.last_cache(id), Some(ORIGIN));
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=5));
    let (read, write) = (balancer.serve(11), balancer.request_of_class(0, 11, true));
    assert_eq!(
        balancer.last_cache(write),
        Some(read),
        "an invalidation goes where the key is placed"
    );
}

#[test]
fn fetches_in_flight_stay_within_the_window_of_the_origin() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=9)));
    let ids: Vec<_> = (1..=30).map(|key| balancer.request(key)).collect();
    let asked: Vec<_> = ids
        .into_iter()
        .filter(|id| balancer.last_cache(*id).is_some())
        .collect();
    asked
        .iter()
        .for_each(|id| drop(balancer.finish_attempt(*id, Outcome::Miss)));
    let fetching = asked
        .iter()
        .filter(|id| balancer.last_cache(**id) == Some(ORIGIN))
        .count();
    assert!(
        fetching > 0 && fetching < asked.len() / 2,
        "{fetching} of {}",
        asked.len()
    );
}

#[test]
fn answers_of_the_origin_open_its_window_though_reported_as_fetched() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=9)));
    let ids: Vec<_> = (1..=60).map(|key| balancer.request(key)).collect();
    let asked: Vec<_> = ids
        .into_iter()
        .filter(|id| balancer.last_cache(*id).is_some())
        .collect();
    asked
        .iter()
        .for_each(|id| drop(balancer.finish_attempt(*id, Outcome::Miss)));
    let mut done = std::collections::BTreeSet::new();
    let out =
        |balancer: &TestBalancer, done: &std::collections::BTreeSet<RequestId>| -> Vec<RequestId> {
            let fetching = asked
                .iter()
                .filter(|id| balancer.last_cache(**id) == Some(ORIGIN) && !done.contains(id));
            fetching.copied().collect()
        };
    let before = out(&balancer, &done).len();
    for _ in 0..20 {
        let id = out(&balancer, &done)[0];
        done.insert(id);
        balancer.event(Event::AttemptFinished(AttemptResult {
            elapsed: 30 * MS,
            cache_status: CacheStatus::Fetched,
            ..attempt_result(id, 1, ORIGIN, Outcome::Served)
        }));
    }
    let after = out(&balancer, &done).len();
    assert!(
        after > before,
        "quick fetches open the window: {before} out, then {after}"
    );
}

#[test]
fn a_queued_fetch_that_is_too_late_makes_room_for_one_in_time() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(1..=9)));
    let early: Vec<_> = (1..=20).map(|key| balancer.request(key)).collect();
    early
        .iter()
        .filter(|id| balancer.final_answers(**id) == 0)
        .copied()
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|id| {
            balancer.finish_attempt(id, Outcome::Miss);
        });
    let out: Vec<_> = early
        .iter()
        .copied()
        .filter(|id| balancer.last_cache(*id) == Some(ORIGIN))
        .collect();
    balancer.now += 490 * MS;
    let late = balancer.request(500);
    balancer.finish_attempt(late, Outcome::Miss);
    // The first readers' objective is nearly over when their fetches come back.
    balancer.now += 15 * MS;
    out.iter()
        .for_each(|id| drop(balancer.finish_attempt(*id, Outcome::Served)));
    assert_eq!(
        balancer.last_cache(late),
        Some(ORIGIN),
        "the reader still in time is fetched for"
    );
}

/// Number of fetches sent while misses arrive faster than a small window admits them, and each takes 0.6 of the objective.
fn fetched(settings: Settings, utilization: f32) -> usize {
    let mut balancer = TestBalancer::new(settings, &with_origin(ready_list(1..=6)));
    let mut in_flight = std::collections::VecDeque::new();
    let mut fetched = 0;
    for key in 0..1_500 {
        balancer.now += 10 * MS;
        while let Some((_, id)) = in_flight
            .front()
            .copied()
            .filter(|(due, _)| *due <= balancer.now)
        {
            in_flight.pop_front();
            balancer.event(Event::AttemptFinished(AttemptResult {
                elapsed: 300 * MS,
                cache_status: CacheStatus::None,
                load: utilization_report(utilization),
                ..attempt_result(id, 1, ORIGIN, Outcome::Served)
            }));
        }
        let id = balancer.request(key);
        balancer.finish_attempt(id, Outcome::Miss);
        for action in std::mem::take(&mut balancer.out) {
            if let Action::Send {
                id, cache: ORIGIN, ..
            } = action
            {
                in_flight.push_back((balancer.now + 300 * MS, id));
                fetched += 1;
            }
        }
    }
    fetched
}

#[test]
fn a_slow_origin_with_idle_cores_is_not_held_to_the_latency_of_a_cache() {
    let idle_cores = fetched(reporting_utilization(cache_aside()), 0.2);
    assert!(
        idle_cores > 500,
        "{idle_cores} fetched with idle cores, its window growing all the time"
    );
    let (busy, unknown) = (
        fetched(reporting_utilization(cache_aside()), 1.0),
        fetched(cache_aside(), 0.2),
    );
    assert!(
        busy < 200 && unknown < 200,
        "{busy} with busy cores, {unknown} without a report"
    );
}
