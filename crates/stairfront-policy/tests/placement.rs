//! Placement by two-choice consistent hashing: two points, fewer keys, shorter arc; and what makes a single request spill.

use std::collections::{BTreeMap, BTreeSet};

use stairfront_policy::interface::{
    AttemptResult, CacheId, Endpoint, EndpointListUpdate, EndpointState, Event, LoadReport,
    Outcome, ReportField, Settings, SECOND,
};
use stairfront_test_support::policy_driver::{
    attempt_result, endpoint, read_through, ready_list, utilization_report, TestBalancer,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A second, plain implementation of the design: the order of the owners and the arcs that they own.
struct Model {
    ring: Vec<(u64, u64)>,
    keys: BTreeMap<u64, i64>,
}

impl Model {
    fn new(ids: impl IntoIterator<Item = u64>) -> Model {
        let mut ring: Vec<_> = ids.into_iter().map(|id| (hash(id, 0), id)).collect();
        ring.sort_unstable();
        Model {
            keys: ring.iter().map(|(_, id)| (*id, 0)).collect(),
            ring,
        }
    }
    fn owner(&self, at: u64) -> usize {
        (0..self.ring.len())
            .find(|i| self.ring[*i].0 >= at)
            .unwrap_or(0)
    }
    fn arc(&self, i: usize) -> u64 {
        self.ring[i]
            .0
            .wrapping_sub(self.ring[(i + self.ring.len() - 1) % self.ring.len()].0)
    }
    fn candidates(&self, key: u64) -> Vec<usize> {
        let mut found = vec![];
        for seed in 1..=3 {
            let i = self.owner(hash(key, seed));
            if !found.contains(&i) {
                found.push(i);
            }
        }
        found
    }
    fn place(&mut self, key: u64) -> u64 {
        let two = self.candidates(key);
        let keys = |i: usize| self.keys[&self.ring[i].1];
        let (a, b) = (two[0], two[1.min(two.len() - 1)]);
        let differ = (keys(a) - keys(b)).abs() as f64 > 2.0 * ((keys(a) + keys(b)) as f64).sqrt();
        let key = |i: &usize| {
            if differ {
                keys(*i) as u64
            } else {
                self.arc(*i)
            }
        };
        let best = [a, b].into_iter().min_by_key(key).unwrap();
        let id = self.ring[best].1;
        *self.keys.get_mut(&id).unwrap() += 1;
        id
    }
}

fn hash(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

#[test]
fn keys_are_placed_on_the_candidate_with_clearly_fewer_keys_and_ties_on_the_shorter_arc() {
    let (mut balancer, mut model) = (
        TestBalancer::new(read_through(), &ready_list(1..=8)),
        Model::new(1..=8),
    );
    for key in 1..500 {
        assert_eq!(balancer.serve(key).0, model.place(key), "key {key}");
    }
    let (least, most) = (
        model.keys.values().min().unwrap(),
        model.keys.values().max().unwrap(),
    );
    assert!(
        most - least < 60,
        "two choices keep counts together: {:?}",
        model.keys
    );
}

/// The few keys that each of hundreds of balancers has placed differ by chance; taken as load they would send one key to
/// different caches.
#[test]
fn balancers_that_placed_few_and_different_keys_agree_on_a_new_one() {
    let agreed = (1..=100).filter(|key| {
        let served: BTreeSet<_> = (0..20u64)
            .map(|index| {
                let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=50));
                for own in 0..40 {
                    balancer.serve(10_000 + 100 * index + own);
                }
                balancer.now += SECOND;
                balancer.serve(*key)
            })
            .collect();
        served.len() == 1
    });
    let agreed = agreed.count();
    assert!(
        agreed >= 90,
        "{agreed} of 100 keys stand at one cache for all twenty balancers"
    );
}

#[test]
fn a_placed_key_stays() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=6));
    let first: Vec<_> = (1..200).map(|key| balancer.serve(key)).collect();
    balancer.now += 30 * SECOND;
    let again: Vec<_> = (1..200).map(|key| balancer.serve(key)).collect();
    assert_eq!(first, again);
}

#[test]
fn the_ring_is_the_same_at_every_balancer_whatever_its_seed_and_list_order() {
    let mut other = read_through();
    other.instance = 2;
    let mut list = ready_list(1..=9);
    let mut a = TestBalancer::new(read_through(), &list);
    list.reverse();
    let mut b = TestBalancer::new(other, &list);
    (1..100).for_each(|key| assert_eq!(a.serve(key), b.serve(key)));
}

#[test]
fn a_key_not_requested_for_a_minute_is_placed_again() {
    let (mut balancer, mut model) = (
        TestBalancer::new(read_through(), &ready_list(1..=5)),
        Model::new(1..=5),
    );
    let mut crowded_out = None;
    for key in 1..300 {
        let placed = model.place(key);
        assert_eq!(balancer.serve(key).0, placed);
        if placed != Model::new(1..=5).place(key) {
            crowded_out = Some((key, placed));
        }
    }
    let (key, placed) = crowded_out.expect("counts sent some key to its longer arc");
    balancer.now += 59 * SECOND;
    assert_eq!(balancer.serve(key).0, placed, "seen within a minute");
    balancer.now += 61 * SECOND;
    assert_eq!(
        balancer.serve(key).0,
        Model::new(1..=5).place(key),
        "all counts have lapsed, the shorter arc decides"
    );
}

#[test]
fn a_new_cache_starts_at_the_mean_key_count_and_gets_only_its_fraction() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=4));
    (1..=400).for_each(|key| assert!(balancer.serve(key).0 > 0));
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&ready_list(
        [77],
    ))));
    let taken = (1_001..=1_300)
        .filter(|key| balancer.serve(*key) == CacheId(77))
        .count();
    assert!(
        (1..150).contains(&taken),
        "from zero it would take nearly all of its candidates' keys: {taken}"
    );
}

#[test]
fn a_removed_cache_loses_its_keys_and_gets_none_of_them_when_listed_again() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=4));
    let before: Vec<_> = (1..=200).map(|key| balancer.serve(key)).collect();
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint(
        2,
        EndpointState::Removed,
    )])));
    for (key, old) in (1..=200).zip(&before) {
        let now = balancer.serve(key);
        assert_ne!(now, CacheId(2));
        assert!(
            *old == CacheId(2) || now == *old,
            "key {key} stays where it was"
        );
    }
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&ready_list(
        [2],
    ))));
    assert!(
        (1..=200).all(|key| balancer.serve(key) != CacheId(2)),
        "placements made meanwhile stand"
    );
}

#[test]
fn a_restarted_process_under_its_old_id_is_a_new_cache() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=4));
    let old: Vec<u64> = (1..=400)
        .filter(|key| balancer.serve(*key) == CacheId(3))
        .collect();
    let started_at = balancer.now;
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[
        Endpoint {
            incarnation: started_at,
            ..endpoint(3, EndpointState::Ready)
        },
    ])));
    let back = old
        .iter()
        .filter(|key| balancer.serve(**key) == CacheId(3))
        .count();
    assert!(
        back < old.len(),
        "its old placements are void: {back} of {}",
        old.len()
    );
}

#[test]
fn a_cache_well_over_the_mean_in_flight_spills_the_one_request() {
    let (mut balancer, model) = (
        TestBalancer::new(read_through(), &ready_list(1..=6)),
        Model::new(1..=6),
    );
    let key = (1..).find(|key| model.candidates(*key).len() > 1).unwrap();
    let placed = balancer.serve(key);
    let open: Vec<_> = (0..4).map(|_| balancer.request(key)).collect();
    let went: Vec<_> = open
        .iter()
        .map(|id| balancer.last_cache(*id).unwrap())
        .collect();
    assert_eq!(
        went[..2],
        [placed, placed],
        "mean 0.2 or 0.3, two out: still under the floor of two above it"
    );
    assert_ne!(went[3], placed, "at least two above the mean and twice it");
    let two: Vec<u64> = model
        .candidates(key)
        .iter()
        .map(|i| model.ring[*i].1)
        .collect();
    assert!(two.contains(&went[3].0));
    open.into_iter()
        .for_each(|id| drop(balancer.finish_attempt(id, Outcome::Served)));
    assert_eq!(
        balancer.serve(key),
        placed,
        "only that request went elsewhere"
    );
}

#[test]
fn two_points_with_one_owner_leave_one_candidate_of_the_first_two_and_the_third_point() {
    let model = Model::new(1..=2);
    let key = (1..).find(|key| model.candidates(*key).len() == 1).unwrap();
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=2));
    let only = model.ring[model.candidates(key)[0]].1;
    assert!((0..3).all(|_| balancer.serve(key).0 == only));
}

#[test]
fn the_table_is_bounded() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=3));
    let first = balancer.serve(1);
    (2..=70_000).for_each(|key| assert!(balancer.serve(key).0 > 0));
    // Still deterministic and serving; the oldest entries were forgotten.
    assert!([1, 2, 3].contains(&first.0) && balancer.serve(70_000).0 <= 3);
}

#[test]
fn an_empty_list_rejects_at_once() {
    let mut balancer = TestBalancer::new(read_through(), &[]);
    let id = balancer.request(5);
    assert_eq!((balancer.final_answers(id), balancer.sent.len()), (1, 0));
}

#[test]
fn every_cache_of_the_list_is_used() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=10));
    let used: BTreeSet<_> = (1..2_000).map(|key| balancer.serve(key)).collect();
    assert_eq!(used.len(), 10);
}

#[test]
fn a_process_that_was_removed_and_restarted_is_a_new_cache_too() {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=4));
    let old: Vec<u64> = (1..=400)
        .filter(|key| balancer.serve(*key) == CacheId(3))
        .collect();
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[endpoint(
        3,
        EndpointState::Removed,
    )])));
    let started_at = balancer.now;
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[
        Endpoint {
            incarnation: started_at,
            ..endpoint(3, EndpointState::Ready)
        },
    ])));
    let back = old
        .iter()
        .filter(|key| balancer.serve(**key) == CacheId(3))
        .count();
    assert!(
        back < old.len(),
        "its old placements are void: {back} of {}",
        old.len()
    );
}

/// Each of hundreds of balancers has one request in flight to a cache with many hot keys, and all of them wait past their
/// objective. The utilization that the cache reports counts for a while; a missing or an old report changes nothing.
#[test]
fn a_cache_that_reports_busy_cores_is_passed_over_for_the_other_owner_for_a_while() {
    let busy = utilization_report(0.95);
    for (report, load, moves) in [
        (vec![ReportField::Utilization], busy, true),
        (
            vec![ReportField::Utilization],
            utilization_report(0.6),
            false,
        ),
        (vec![ReportField::Utilization], LoadReport::default(), false),
        (vec![], busy, false),
    ] {
        let mut moved = 0;
        for key in 1..=40 {
            let mut balancer = TestBalancer::new(
                Settings {
                    report: report.clone(),
                    ..read_through()
                },
                &ready_list(1..=6),
            );
            let placed = balancer.serve(key);
            let id = balancer.request(key);
            balancer.event(Event::AttemptFinished(AttemptResult {
                load,
                ..attempt_result(id, 0, placed, Outcome::Served)
            }));
            let next = balancer.request(key);
            moved += usize::from(balancer.last_cache(next) != Some(placed));
            balancer.finish_attempt(next, Outcome::Served);
            balancer.now += 21 * SECOND;
            assert_eq!(balancer.serve(key), placed, "its place stays: {load:?}");
        }
        // Some keys have only one owner.
        assert_eq!(moved > 30, moves, "{moved} moved, {load:?}");
        assert!(moves || moved == 0, "{moved} moved, {load:?}");
    }
}
