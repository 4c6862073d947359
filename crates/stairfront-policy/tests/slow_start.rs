//! Slow start: how much a cold cache gets from one balancer.

use std::collections::BTreeMap;

use stairfront_policy::interface::{
    CacheId, Endpoint, EndpointListUpdate, EndpointState, Event, Kind, Outcome, MS,
};
use stairfront_test_support::policy_driver::{endpoint, read_through, ready_list, TestBalancer};

/// Attempts sent to the one cold cache in each of `seconds`, with a steady load on all caches, and the rate of a warm one.
fn cold_sends(seconds: i64) -> (Vec<usize>, f64) {
    let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=4));
    let mut per_cache: BTreeMap<u64, usize> = BTreeMap::new();
    let mut key = 0;
    let mut run =
        |balancer: &mut TestBalancer, per: &mut dyn FnMut(CacheId, i64), from: i64, to: i64| {
            for second in from..to {
                for _ in 0..100 {
                    key += 1;
                    per(balancer.serve(key), second);
                    balancer.now += 10 * MS;
                }
            }
        };
    run(
        &mut balancer,
        &mut |c, _| *per_cache.entry(c.0).or_default() += 1,
        0,
        10,
    );
    let warm_rate = 1_000.0 / 4.0 / 10.0;
    let started_at = balancer.now;
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[
        Endpoint {
            incarnation: started_at,
            ..endpoint(2, EndpointState::Ready)
        },
    ])));
    let mut cold = vec![0; seconds as usize];
    run(
        &mut balancer,
        &mut |c, second| cold[second as usize] += usize::from(c == CacheId(2)),
        0,
        seconds,
    );
    (cold, warm_rate)
}

#[test]
fn a_cold_cache_gets_no_more_than_its_fraction_of_a_warm_caches_load() {
    let (cold, warm) = cold_sends(12);
    for second in 0..9 {
        // 0.2 of its capacity at first, rising evenly over 10 s; well within three times that over two seconds.
        let part = 0.2 + 0.8 * (second as f64 + 1.0) / 10.0;
        let two: usize = cold[second..second + 2].iter().sum();
        assert!(
            (two as f64) < 3.0 * 2.0 * part * warm,
            "second {second}: {cold:?}, warm {warm}"
        );
    }
    assert!(cold[0] > 0, "but it gets some, to warm up");
}

/// The mean of all machines is a multiple of the capacity of the weakest kind, and so is what is sent to it where most of that
/// is rejected unseen. By either, all balancers together would overload a weak cold cache.
#[test]
fn the_budget_of_a_weak_cold_cache_follows_what_warm_ones_of_its_kind_complete() {
    let weak = |id: u64| id.is_multiple_of(2);
    let kind_of = |id: u64| Kind([0, 2][usize::from(weak(id))]);
    let list: Vec<Endpoint> = ready_list(1..=6)
        .into_iter()
        .map(|m| Endpoint {
            kind: kind_of(m.id.0),
            ..m
        })
        .collect();
    let mut balancer = TestBalancer::new(read_through(), &list);
    // Attempts sent to the weak caches, and those that they completed.
    let mut key = 0;
    let mut sent = 0;
    let mut completed = 0;
    let mut play =
        |balancer: &mut TestBalancer, seconds: i64, record: &mut dyn FnMut(u64, bool)| {
            for _ in 0..100 * seconds {
                key += 1;
                let id = balancer.request(key);
                while let (Some(cache), 0) = (balancer.last_cache(id), balancer.final_answers(id)) {
                    let accepts = !weak(cache.0) || u64::is_multiple_of(key, 4);
                    record(cache.0, accepts);
                    balancer.finish_attempt(
                        id,
                        if accepts {
                            Outcome::Served
                        } else {
                            Outcome::Full
                        },
                    );
                    if accepts {
                        break;
                    }
                }
                balancer.now += 10 * MS;
            }
        };
    play(&mut balancer, 12, &mut |cache, accepts| {
        sent += u32::from(weak(cache));
        completed += u32::from(weak(cache) && accepts);
    });
    assert!(sent > 2 * completed, "{sent} sent, {completed} completed");
    let started_at = balancer.now;
    let restarted = Endpoint {
        incarnation: started_at,
        kind: Kind(2),
        ..endpoint(4, EndpointState::Ready)
    };
    balancer.event(Event::EndpointList(EndpointListUpdate::Delta(&[restarted])));
    let mut cold = 0;
    play(&mut balancer, 5, &mut |cache, _| {
        cold += u32::from(cache == 4)
    });
    // Over the first five of ten seconds it has 0.4 of its capacity on average.
    let budget = 5.0 * 0.4 * f64::from(completed) / 3.0 / 12.0;
    assert!(
        cold > 0 && f64::from(cold) < 1.6 * budget,
        "{cold} sent while cold, a budget of {budget:.1}"
    );
}

#[test]
fn with_only_cold_caches_each_request_still_gets_one_answer() {
    let mut balancer = TestBalancer::new(read_through(), &[]);
    let started_at = balancer.now;
    let list: Vec<_> = (1..=3)
        .map(|id| Endpoint {
            incarnation: started_at,
            ..endpoint(id, EndpointState::Ready)
        })
        .collect();
    balancer.event(Event::EndpointList(EndpointListUpdate::Full(&list)));
    let ask = |key| {
        balancer.now += 100 * MS;
        balancer.request(key)
    };
    let ids: Vec<_> = (1..50).map(ask).collect();
    assert!(ids.iter().any(|id| balancer.last_cache(*id).is_some()));
    assert!(ids.iter().all(|id| balancer.final_answers(*id)
        + usize::from(balancer.last_cache(*id).is_some())
        == 1));
}
