//! Advisory removals: where only draining is binding, a list that removes much of the fleet is doubted, and the outcomes of
//! attempts decide.

use stairfront_policy::interface::{
    CacheId, Endpoint, EndpointListUpdate, EndpointState, Event, Outcome, MS,
};
use stairfront_test_support::policy_driver::{
    endpoint, read_through, ready_list, servers_sent_to, TestBalancer,
};

fn balancer(removal_is_advisory: bool) -> TestBalancer {
    let mut settings = read_through();
    settings.rules.removal_is_advisory = removal_is_advisory;
    TestBalancer::new(settings, &ready_list(1..=10))
}

fn used(
    balancer: &mut TestBalancer,
    keys: std::ops::Range<u64>,
) -> std::collections::BTreeSet<CacheId> {
    keys.map(|key| balancer.serve(key)).collect()
}

/// A list removes most of the fleet, or all of it, while it serves. All requests would go to the few servers that remain, and
/// overload a cold one among them.
#[test]
fn a_list_that_removes_most_of_the_fleet_moves_nothing_where_removal_is_advisory() {
    for kept in [0, 1] {
        let mut balancer = balancer(true);
        let before: Vec<CacheId> = (0..200).map(|key| balancer.serve(key)).collect();
        balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
            1..=kept,
        ))));
        let meanwhile: Vec<CacheId> = (0..200).map(|key| balancer.serve(key)).collect();
        assert_eq!(before, meanwhile, "{kept} kept");
        let gone: Vec<Endpoint> = (1..=10)
            .map(|id| endpoint(id, EndpointState::Removed))
            .collect();
        balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&gone)));
        assert_eq!(
            before,
            (0..200).map(|key| balancer.serve(key)).collect::<Vec<_>>(),
            "called gone one by one"
        );
        balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
            1..=10,
        ))));
        assert_eq!(
            before,
            (0..200).map(|key| balancer.serve(key)).collect::<Vec<_>>(),
            "the true list is back"
        );
    }
}

/// A server that was listed as draining gets nothing new, removed afterwards or not; and where removals are binding a
/// removed server gets nothing new either.
#[test]
fn drains_are_binding_always_and_removals_where_the_settings_say_so() {
    let mut balancer = balancer(true);
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[
        endpoint(1, EndpointState::Draining),
        endpoint(2, EndpointState::Draining),
    ])));
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        3..=10,
    ))));
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint(
        2,
        EndpointState::Removed,
    )])));
    assert_eq!(used(&mut balancer, 0..300), (3..=10).map(CacheId).collect());
    let mut balancer = self::balancer(false);
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        1..=2,
    ))));
    assert_eq!(used(&mut balancer, 0..100), (1..=2).map(CacheId).collect());
}

/// A host that has failed comes back cold under its name, long before the list reports its new start. So the removal of a
/// few hosts is not doubted.
#[test]
fn a_list_that_removes_a_few_hosts_is_binding() {
    let mut balancer = balancer(true);
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        3..=10,
    ))));
    assert_eq!(used(&mut balancer, 0..300), (3..=10).map(CacheId).collect());
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint(
        3,
        EndpointState::Removed,
    )])));
    assert_eq!(
        used(&mut balancer, 300..600),
        (4..=10).map(CacheId).collect()
    );
}

/// A doubted removal that is true costs a few failed attempts, and then nothing more.
#[test]
fn a_host_with_a_doubted_removal_is_removed_once_its_attempts_fail() {
    let mut balancer = balancer(true);
    // Three of ten are removed, which is doubted; the other two go on serving.
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        4..=10,
    ))));
    let mut failed = 0;
    for key in 0..400 {
        balancer.now += 50 * MS;
        let id = balancer.request(key);
        while balancer.last_cache(id) == Some(CacheId(1)) && failed < 50 {
            failed += 1;
            if servers_sent_to(&balancer.finish_attempt(id, Outcome::ConnectFailed)).is_empty() {
                break;
            }
        }
        if balancer.last_cache(id) != Some(CacheId(1)) {
            balancer.finish_attempt(id, Outcome::Served);
        }
    }
    assert!(
        (1..=4).contains(&failed),
        "{failed} attempts were lost to it"
    );
    // Listed again, it is used again.
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&ready_list(
        1..=10,
    ))));
    let again = (1_000..1_300).any(|key| {
        balancer.now += 100 * MS;
        balancer.serve(key) == CacheId(1)
    });
    assert!(again);
}
