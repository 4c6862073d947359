//! A list is a claim: where only draining binds, hosts that it drops are judged by their own outcomes.
mod common;
use common::*;
use stairfront_policy::interface::*;

fn rig(dropped_stay_open: bool) -> Rig {
    let mut set = through();
    set.rules.removal_is_advisory = dropped_stay_open;
    Rig::new(set, &ready(1..=10))
}

fn used(rig: &mut Rig, keys: std::ops::Range<u64>) -> std::collections::BTreeSet<CacheId> {
    keys.map(|key| rig.serve(key)).collect()
}

/// Danger: a list calls most of the fleet gone, or all of it, while it serves: all would go to the few that are left, and
/// a cold one among them is pushed over.
#[test]
fn a_list_that_drops_most_of_the_fleet_moves_nothing_where_only_draining_binds() {
    for kept in [0, 1] {
        let mut rig = rig(true);
        let before: Vec<CacheId> = (0..200).map(|key| rig.serve(key)).collect();
        rig.event(Event::EndpointList(EndpointListUpdate::Full(&ready(
            1..=kept,
        ))));
        let meanwhile: Vec<CacheId> = (0..200).map(|key| rig.serve(key)).collect();
        assert_eq!(before, meanwhile, "{kept} kept");
        let gone: Vec<Endpoint> = (1..=10)
            .map(|id| member(id, EndpointState::Removed))
            .collect();
        rig.event(Event::EndpointList(EndpointListUpdate::Delta(&gone)));
        assert_eq!(
            before,
            (0..200).map(|key| rig.serve(key)).collect::<Vec<_>>(),
            "called gone one by one"
        );
        rig.event(Event::EndpointList(EndpointListUpdate::Full(&ready(
            1..=10,
        ))));
        assert_eq!(
            before,
            (0..200).map(|key| rig.serve(key)).collect::<Vec<_>>(),
            "the true list is back"
        );
    }
}

/// Danger: the rule on drains. Who was listed as draining gets nothing new, dropped or not; and where a list binds as a whole
/// nobody does whom it drops.
#[test]
fn drains_bind_however_the_list_goes_on_and_lists_bind_where_the_settings_say_so() {
    let mut rig = rig(true);
    rig.event(Event::EndpointList(EndpointListUpdate::Delta(&[
        member(1, EndpointState::Draining),
        member(2, EndpointState::Draining),
    ])));
    rig.event(Event::EndpointList(EndpointListUpdate::Full(&ready(
        3..=10,
    ))));
    rig.event(Event::EndpointList(EndpointListUpdate::Delta(&[member(
        2,
        EndpointState::Removed,
    )])));
    assert_eq!(used(&mut rig, 0..300), (3..=10).map(CacheId).collect());
    let mut rig = self::rig(false);
    rig.event(Event::EndpointList(EndpointListUpdate::Full(&ready(1..=2))));
    assert_eq!(used(&mut rig, 0..100), (1..=2).map(CacheId).collect());
}

/// Danger: a host that has died comes back cold under its name, long before the list tells its start. A few that a list drops
/// are believed gone.
#[test]
fn a_list_that_drops_a_few_hosts_is_believed() {
    let mut rig = rig(true);
    rig.event(Event::EndpointList(EndpointListUpdate::Full(&ready(
        3..=10,
    ))));
    assert_eq!(used(&mut rig, 0..300), (3..=10).map(CacheId).collect());
    rig.event(Event::EndpointList(EndpointListUpdate::Delta(&[member(
        3,
        EndpointState::Removed,
    )])));
    assert_eq!(used(&mut rig, 300..600), (4..=10).map(CacheId).collect());
}

/// The false alarm: a host that has left for good costs a few attempts, and then nothing more.
#[test]
fn a_dropped_host_whose_attempts_fail_is_given_up() {
    let mut rig = rig(true);
    // With it go two more, which serve on: so many are doubted.
    rig.event(Event::EndpointList(EndpointListUpdate::Full(&ready(
        4..=10,
    ))));
    let mut failed = 0;
    for key in 0..400 {
        rig.now += 50 * MS;
        let id = rig.ask(key);
        while rig.last_cache(id) == Some(CacheId(1)) && failed < 50 {
            failed += 1;
            if sends(&rig.settle(id, Outcome::ConnectFailed)).is_empty() {
                break;
            }
        }
        if rig.last_cache(id) != Some(CacheId(1)) {
            rig.settle(id, Outcome::Served);
        }
    }
    assert!(
        (1..=4).contains(&failed),
        "{failed} attempts were lost to it"
    );
    // Listed anew it is used again.
    rig.event(Event::EndpointList(EndpointListUpdate::Full(&ready(
        1..=10,
    ))));
    let again = (1_000..1_300).any(|key| {
        rig.now += 100 * MS;
        rig.serve(key) == CacheId(1)
    });
    assert!(again);
}
