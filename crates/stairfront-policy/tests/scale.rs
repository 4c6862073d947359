//! Limits that many balancers keep together: cold caches, discovery, ejected caches, fairness.

use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, CacheStatus, DiscoveryMode, Endpoint, EndpointListUpdate,
    EndpointState, Event, Micros, Outcome, Settings, Tenant, MS, SECOND,
};
use stairfront_test_support::policy_driver::{
    attempt_result, endpoint, read_through, ready_list, TestBalancer,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const CACHES: u64 = 10;
const COLD: CacheId = CacheId(3);
/// Requests a second at one cache, by all balancers together.
const LOAD: i64 = 20;

fn tier(balancers: u16, mut settings: Settings) -> Vec<TestBalancer> {
    settings.balancers = balancers;
    let test_balancer = |instance| {
        let mut balancer = TestBalancer::seeded(
            Settings {
                instance,
                ..settings.clone()
            },
            &ready_list(1..=CACHES),
            u64::from(instance) * 7_919,
        );
        balancer.now = 100 * SECOND;
        balancer
    };
    (0..balancers).map(test_balancer).collect()
}

/// Attempts sent to the cold cache in each tenth of a second after its start, by all balancers together.
fn cold_sends(balancers: u16, seconds: i64) -> Vec<usize> {
    let mut group = tier(balancers, read_through());
    let step = SECOND / (LOAD * CACHES as i64);
    let warm = 20 * SECOND;
    let mut sent = vec![0; 10 * seconds as usize];
    let started_at = 100 * SECOND + warm;
    for i in 0..(warm + seconds * SECOND) / step {
        let now = 100 * SECOND + i * step;
        if now == started_at {
            let line = [Endpoint {
                incarnation: started_at,
                ..endpoint(COLD.0, EndpointState::Ready)
            }];
            group.iter_mut().for_each(|balancer| {
                balancer.now = now;
                balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&line)));
            });
        }
        let balancer = &mut group[(i * 101 % i64::from(balancers)) as usize];
        balancer.now = now;
        let id = balancer.request((i * 7_907 % 1_009) as u64);
        if balancer.last_cache(id) == Some(COLD) && now >= started_at {
            sent[((now - started_at) / (SECOND / 10)) as usize] += 1;
        }
        if balancer.last_cache(id).is_some() {
            balancer.finish_attempt(id, Outcome::Served);
        }
    }
    sent
}

/// One first request and half a request a second from each of hundreds of balancers would overload a cold cache.
#[test]
fn many_balancers_together_keep_a_cold_cache_within_its_budget() {
    let rules = read_through().rules;
    for balancers in [4, 50, 400] {
        let sent = cold_sends(balancers, 8);
        let span = (rules.overload_window / (SECOND / 10)) as usize;
        for (i, window) in sent.windows(span).enumerate() {
            let age = i as f64 / 10.0 / (rules.slow_start_window as f64 / SECOND as f64);
            let part = rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age;
            let budget =
                rules.overload_multiple * part * (LOAD * rules.overload_window / SECOND) as f64;
            let sum: usize = window.iter().sum();
            assert!(
                (sum as f64) < budget,
                "{balancers} balancers, from {i}: {sum} of {budget:.0}; {sent:?}"
            );
        }
        assert!(
            sent.iter().sum::<usize>() > 0,
            "{balancers} balancers: but it gets some, to warm up"
        );
    }
}

/// Whether one of a key's three points lies on the arc of this cache.
fn may_go_to(key: u64, cache: CacheId) -> bool {
    let hash = |value: u64, seed| xxh3_64_with_seed(&value.to_le_bytes(), seed);
    let mut ring: Vec<_> = (1..=CACHES).map(|id| (hash(id, 0), id)).collect();
    ring.sort_unstable();
    let owner = |at| {
        ring.iter()
            .find(|(point, _)| *point >= at)
            .unwrap_or(&ring[0])
            .1
    };
    (1..=3).any(|seed| owner(hash(key, seed)) == cache.0)
}

/// A burst for the keys of a cold cache would find a whole token saved up at each of hundreds of balancers, and all would be
/// spent at once.
#[test]
fn a_burst_from_all_balancers_at_once_does_not_overload_a_cold_cache() {
    let balancers = 400;
    let mut settings = read_through();
    settings.rules.slow_start_window = 60 * SECOND;
    let rules = settings.rules.clone();
    let mut group = tier(balancers, settings);
    let home = group[0].serve(5);
    let started_at = 120 * SECOND;
    let age = rules.slow_start_window / 2;
    let line = [Endpoint {
        incarnation: started_at,
        ..endpoint(home.0, EndpointState::Ready)
    }];
    for balancer in &mut group {
        // A request every two seconds, which saves up tokens for the cold cache.
        for i in 0..25 {
            balancer.now = started_at - 20 * SECOND + i * 2 * SECOND;
            if balancer.now == started_at {
                balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&line)));
            }
            let key = (1_000 * (1 + i as u64)..).find(|key| !may_go_to(*key, home));
            balancer.serve(key.expect("keys do not end"));
        }
        balancer.now = started_at + age;
    }
    let send_burst = |balancer: &mut TestBalancer| {
        let ids: Vec<_> = (0..10).map(|_| balancer.request(5)).collect();
        ids.iter()
            .filter(|id| balancer.last_cache(**id) == Some(home))
            .count()
    };
    let sent: usize = group.iter_mut().map(send_burst).sum();
    // Each balancer sends half a request a second to ten caches; a warm cache gets this from all of them together.
    let warm = f64::from(balancers) * 0.5 / CACHES as f64;
    let part = rules.slow_start_floor + (1.0 - rules.slow_start_floor) / 2.0;
    let budget = rules.overload_multiple * part * warm * (rules.overload_window / SECOND) as f64;
    assert!(
        (sent as f64) < budget,
        "{sent} at once, {budget:.0} allowed"
    );
    assert!(sent > 0, "but it gets some");
}

/// Past the stated time without a call a balancer counts as notified of what its old list lacks; and calls that are all
/// made at once fail.
#[test]
fn first_polls_of_discovery_are_spread_within_the_time_allowed() {
    let mut settings = read_through();
    settings.discovery = DiscoveryMode::Poll;
    let delays = |balancers| -> Vec<Micros> {
        let delay = |balancer: &TestBalancer| {
            let timer = |a: &Action| match a {
                Action::Timer {
                    delay,
                    token: u64::MAX,
                } => Some(*delay),
                _ => None,
            };
            balancer
                .out
                .iter()
                .find_map(timer)
                .expect("it polls after the start")
        };
        tier(balancers, settings.clone())
            .iter()
            .map(delay)
            .collect()
    };
    for balancers in [3, 50, 400] {
        let delays = delays(balancers);
        let last = delays.iter().max().copied().unwrap_or(0);
        assert!(
            last < settings.rules.poll_interval * 3 / 4,
            "{balancers} balancers: the last after {last}"
        );
        let first = delays.iter().filter(|d| **d < SECOND).count();
        assert!(
            balancers == 3 || first < delays.len() / 4,
            "{balancers} balancers: {first} in the first second"
        );
    }
    assert!(
        delays(3).iter().all(|d| *d < 2 * SECOND),
        "few balancers need not wait"
    );
}

/// Where a balancer sends a request to a cache every few seconds, a pause counted in answer times ends before the next
/// request, so hundreds of balancers would go on loading a cache that answers too late.
#[test]
fn a_late_answer_makes_a_balancer_with_rare_requests_avoid_the_cache() {
    let mut settings = read_through();
    settings.balancers = 400;
    let mut balancer = TestBalancer::new(settings, &ready_list(1..=CACHES));
    for key in 0..40 {
        balancer.now += SECOND;
        balancer.serve(100 + key);
    }
    let home = balancer.serve(5);
    let id = balancer.request(5);
    assert_eq!(balancer.last_cache(id), Some(home));
    balancer.now += 900 * MS;
    balancer.event(Event::AttemptFinished(AttemptResult {
        request_finished: true,
        elapsed: 900 * MS,
        cache_status: CacheStatus::None,
        ..attempt_result(id, 0, home, Outcome::TimedOut)
    }));
    balancer.now += 3 * SECOND;
    assert_ne!(
        balancer.serve(5),
        home,
        "three answer times later it is still avoided"
    );
}

/// A balancer with few requests has seen none of most tenants lately. Taken as a use of zero, the median put every tenant
/// beyond its share, so all were shed alike.
#[test]
fn with_few_requests_only_the_tenant_beyond_its_share_is_shed() {
    let mut settings = read_through();
    settings.balancers = 400;
    settings.over_share_weight = 0.05;
    settings.tenants = (0..4)
        .map(|_| Tenant {
            quota_per_s: 50.0,
            share: 0.25,
        })
        .collect();
    let mut balancer = TestBalancer::new(settings, &ready_list(1..=CACHES));
    let mut shed = [0; 4];
    // Every answer comes too late, which raises the shed level to its maximum, at one request in two seconds.
    for i in 0..400u64 {
        balancer.now += 2 * SECOND;
        let tenant = if i % 8 < 5 { 0 } else { i as usize % 8 - 4 };
        let id = balancer.request_from(tenant as u32, 0, i, false);
        if balancer.last_cache(id).is_none() {
            shed[tenant] += 1;
            continue;
        }
        balancer.now += 600 * MS;
        balancer.finish_attempt(id, Outcome::Served);
    }
    let [heavy, light @ ..] = shed;
    assert!(
        heavy > 100,
        "the tenant with five eighths of the traffic is shed: {heavy}"
    );
    assert!(
        light.iter().all(|n| *n <= 3),
        "the others are not: {light:?}"
    );
}
