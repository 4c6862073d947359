//! Cordons: an order of the operators holds, whatever discovery reports of the cache meanwhile.

use stairfront_policy::interface::{
    CacheId, Endpoint, EndpointListUpdate, EndpointState, Event, Outcome, RequestId, MS, SECOND,
};
use stairfront_test_support::policy_driver::{
    cache_aside, endpoint, read_through, ready_list, servers_sent_to, with_origin, TestBalancer,
    ORIGIN,
};

const OUT: CacheId = CacheId(1);

fn cordon(balancer: &mut TestBalancer, on: bool) {
    balancer.event(Event::Cordon { cache: OUT, on });
}

/// Number of requests for these new keys that were sent to the cordoned cache.
fn used(balancer: &mut TestBalancer, keys: std::ops::Range<u64>) -> usize {
    let before = balancer
        .sent
        .values()
        .flatten()
        .filter(|cache| **cache == OUT)
        .count();
    for key in keys {
        let id = balancer.request(key);
        balancer.now += 20 * MS;
        if balancer.last_cache(id).is_some() {
            balancer.finish_attempt(id, Outcome::Served);
        }
    }
    balancer
        .sent
        .values()
        .flatten()
        .filter(|cache| **cache == OUT)
        .count()
        - before
}

#[test]
fn no_update_of_the_list_lifts_a_cordon() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(0..4));
    assert!(used(&mut balancer, 0..100) > 0);
    cordon(&mut balancer, true);
    let restarted = Endpoint {
        incarnation: balancer.now,
        ..endpoint(OUT.0, EndpointState::Ready)
    };
    let gone = [endpoint(OUT.0, EndpointState::Removed)];
    let updates = [
        EndpointListUpdate::Delta(&[]),
        EndpointListUpdate::Delta(&[restarted]),
        EndpointListUpdate::Delta(&gone),
        EndpointListUpdate::Delta(&[restarted]),
        EndpointListUpdate::Full(&ready_list([0, 2, 3])),
        EndpointListUpdate::Full(&ready_list(0..4)),
        EndpointListUpdate::Failed,
    ];
    for (i, update) in updates.into_iter().enumerate() {
        balancer.event(Event::EndpointList(update));
        assert_eq!(
            used(&mut balancer, 0..100),
            0,
            "after update {i}: {update:?}"
        );
    }
}

#[test]
fn a_retry_avoids_a_cache_cordoned_while_its_first_attempt_was_in_flight() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(0..2));
    let asked: Vec<RequestId> = (0..20).map(|key| balancer.request(key)).collect();
    let id = asked
        .into_iter()
        .find(|id| balancer.last_cache(*id) == Some(CacheId(0)))
        .unwrap();
    cordon(&mut balancer, true);
    let actions = balancer.finish_attempt(id, Outcome::ConnectFailed);
    assert!(!servers_sent_to(&actions).contains(&OUT), "{actions:?}");
}

#[test]
fn after_its_cordon_is_lifted_a_cache_is_cold_whatever_the_list_says() {
    // It was warm, and is listed as started long ago: discovery does not report the restart.
    let mut balancer = TestBalancer::new(read_through(), &ready_list(0..4));
    used(&mut balancer, 0..400);
    cordon(&mut balancer, true);
    balancer.now += 3 * SECOND;
    cordon(&mut balancer, false);
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        0..4,
    ))));
    let cold = used(&mut balancer, 1_000..1_100);
    // A repeated order to lift the cordon does not make it cold again.
    balancer.now += 10 * SECOND;
    cordon(&mut balancer, false);
    let warm = used(&mut balancer, 2_000..2_100);
    assert!(cold > 0, "unused after the call back");
    assert!(2 * cold < warm, "{cold} while cold, {warm} once warm");
}

#[test]
fn a_draining_cache_goes_on_draining_when_its_cordon_is_lifted() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(0..4));
    cordon(&mut balancer, true);
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint(
        OUT.0,
        EndpointState::Draining,
    )])));
    cordon(&mut balancer, false);
    assert_eq!(used(&mut balancer, 0..100), 0);
}

#[test]
fn a_cordon_set_before_the_list_is_known_holds() {
    let mut balancer = TestBalancer::new(read_through(), &[]);
    cordon(&mut balancer, true);
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        0..4,
    ))));
    assert_eq!(used(&mut balancer, 0..100), 0);
}

#[test]
fn with_most_caches_cordoned_the_rest_and_the_origin_stay_within_their_windows() {
    let mut balancer = TestBalancer::new(cache_aside(), &with_origin(ready_list(0..6)));
    for key in 0..100 {
        balancer.serve(key);
    }
    for cache in 1..6 {
        balancer.event(Event::Cordon {
            cache: CacheId(cache),
            on: true,
        });
    }
    // All at once, and each is a miss at the cache that remains.
    let ids: Vec<RequestId> = (1_000..1_400).map(|key| balancer.request(key)).collect();
    let open: Vec<RequestId> = ids
        .into_iter()
        .filter(|id| balancer.last_cache(*id).is_some())
        .collect();
    assert!(open
        .iter()
        .all(|id| balancer.last_cache(*id) == Some(CacheId(0))));
    let at_once = open.len();
    for id in open {
        balancer.finish_attempt(id, Outcome::Miss);
    }
    let fetches = balancer
        .sent
        .values()
        .flatten()
        .filter(|cache| **cache == ORIGIN)
        .count();
    assert!(
        at_once < 40 && fetches < 40,
        "{at_once} at the one left, {fetches} at the origin, of 400"
    );
}
