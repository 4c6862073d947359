//! Cache-aside mode: shared fetches, and the concurrency limit of the origin.
mod common;
use common::*;
use stairfront_policy::interface::*;

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
        let (attempt, cache, outcome, cache_status) =
            (1, ORIGIN, Outcome::Served, CacheStatus::Fetched);
        let (request_finished, elapsed, load) = (true, 30 * MS, LoadReport::default());
        balancer.event(Event::AttemptFinished(AttemptResult {
            id,
            attempt,
            cache,
            outcome,
            request_finished,
            elapsed,
            cache_status,
            load,
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
    // The first readers' aim is as good as past; their fetches come back at last.
    balancer.now += 15 * MS;
    out.iter()
        .for_each(|id| drop(balancer.finish_attempt(*id, Outcome::Served)));
    assert_eq!(
        balancer.last_cache(late),
        Some(ORIGIN),
        "the reader still in time is fetched for"
    );
}

/// Reports of a cache whose cores are a third busy.
fn idle(mut settings: Settings) -> Settings {
    settings.report = vec![ReportField::Utilization];
    settings
}

/// Misses come faster than a small window fetches, and each fetch takes 0.6 of the aim: how many go out?
fn fetched(settings: Settings, busy: f32) -> usize {
    let mut balancer = TestBalancer::new(settings, &with_origin(ready_list(1..=6)));
    let (mut out, mut fetched) = (std::collections::VecDeque::new(), 0);
    for key in 0..1_500 {
        balancer.now += 10 * MS;
        while let Some((_, id)) = out.front().copied().filter(|(due, _)| *due <= balancer.now) {
            out.pop_front();
            let load = LoadReport {
                len: 1,
                values: [busy, 0.0, 0.0, 0.0],
            };
            let (attempt, cache, outcome, request_finished) = (1, ORIGIN, Outcome::Served, true);
            let (elapsed, cache_status) = (300 * MS, CacheStatus::None);
            balancer.event(Event::AttemptFinished(AttemptResult {
                id,
                attempt,
                cache,
                outcome,
                request_finished,
                elapsed,
                cache_status,
                load,
            }));
        }
        let id = balancer.request(key);
        balancer.finish_attempt(id, Outcome::Miss);
        for action in std::mem::take(&mut balancer.out) {
            if let Action::Send {
                id, cache: ORIGIN, ..
            } = action
            {
                out.push_back((balancer.now + 300 * MS, id));
                fetched += 1;
            }
        }
    }
    fetched
}

#[test]
fn a_slow_origin_with_idle_cores_is_not_held_to_the_latency_of_a_cache() {
    let idle_cores = fetched(idle(cache_aside()), 0.2);
    assert!(
        idle_cores > 500,
        "{idle_cores} fetched with idle cores, its window growing all the time"
    );
    let (busy, unknown) = (
        fetched(idle(cache_aside()), 1.0),
        fetched(cache_aside(), 0.2),
    );
    assert!(
        busy < 200 && unknown < 200,
        "{busy} with busy cores, {unknown} without a report"
    );
}
