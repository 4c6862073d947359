//! A balancer that is one of hundreds before a hundred caches cannot assume that it sees each cache often, that hits are
//! reported, that idle connections stay up, that there are many tenants, or that every origin has the same capacity.

use stairfront_policy::interface::{
    Action, AttemptResult, CacheMode, CacheStatus, Event, Outcome, RequestId, Settings,
    TailLatency, Tenant, MS, SECOND,
};
use stairfront_test_support::policy_driver::{
    attempt_result, cache_aside, has_rejection, read_through, ready_list, with_origin,
    TestBalancer, ORIGIN,
};

/// Ends the first attempt of a request, long after its latency objective.
fn end_late(balancer: &mut TestBalancer, id: RequestId, outcome: Outcome) -> Vec<Action> {
    let cache = balancer.last_cache(id).expect("sent");
    balancer.event(Event::AttemptFinished(AttemptResult {
        elapsed: 900 * MS,
        cache_status: CacheStatus::None,
        ..attempt_result(id, 0, cache, outcome)
    }))
}

fn one_of_many(settings: Settings, caches: u64) -> TestBalancer {
    let list = if settings.mode == CacheMode::Through {
        ready_list(1..=caches)
    } else {
        with_origin(ready_list(1..=caches))
    };
    TestBalancer::new(
        Settings {
            balancers: 300,
            ..settings
        },
        &list,
    )
}

/// An origin short of capacity occupies the caches' workers, and where hits are not reported only late answers show it.
/// Requests for keys that were seen served go on; of the others fewer are admitted.
#[test]
fn late_answers_for_unseen_keys_admit_fewer_of_them() {
    let mut balancer = one_of_many(read_through(), 50);
    let seen: Vec<u64> = (0..20).collect();
    seen.iter()
        .for_each(|key| assert!(balancer.serve(*key).0 > 0));
    let mut sent = [0, 0];
    for key in 1_000..1_100 {
        balancer.now += 100 * MS;
        let id = balancer.request(key);
        if balancer.last_cache(id).is_some() && balancer.final_answers(id) == 0 {
            sent[usize::from(key >= 1_050)] += 1;
            end_late(&mut balancer, id, Outcome::Served);
        }
    }
    assert!(
        sent[0] > 2 * sent[1] && sent[1] <= 10,
        "{sent:?} of 50 each"
    );
    let held = seen.iter().filter(|key| {
        let id = balancer.request(**key);
        balancer.final_answers(id) == 0
    });
    assert!(
        held.count() >= 15,
        "requests for keys that caches surely have go on"
    );
}

/// A key that is moved to another cache is a miss for each balancer, and hundreds of them keep a short origin short.
#[test]
fn no_key_moves_while_the_origin_is_short() {
    let caches_used = |late: bool| {
        let mut balancer = TestBalancer::new(read_through(), &ready_list(1..=8));
        for key in 1_000..1_030 {
            balancer.now += 100 * MS;
            let id = balancer.request(key);
            if late && balancer.last_cache(id).is_some() && balancer.final_answers(id) == 0 {
                end_late(&mut balancer, id, Outcome::Errored);
            } else if balancer.last_cache(id).is_some() {
                balancer.finish_attempt(id, Outcome::Served);
            }
        }
        let open: Vec<_> = (0..200).map(|_| balancer.request(7)).collect();
        open.iter()
            .filter_map(|id| balancer.last_cache(*id))
            .collect::<std::collections::BTreeSet<_>>()
            .len()
    };
    let (usual, short) = (caches_used(false), caches_used(true));
    assert!(
        usual > 3 && short <= 3,
        "{usual} caches hold a crowded key, {short} while the origin is short"
    );
}

/// Growth by a factor never leaves zero, which another process may have handed over.
#[test]
fn admission_of_likely_misses_recovers_from_zero() {
    let mut known =
        serde_json::to_value(one_of_many(read_through(), 9).policy.snapshot(100 * SECOND)).unwrap();
    known["misses"] = 0.0.into();
    let known = serde_json::from_value(known).unwrap();
    let mut balancer = one_of_many(read_through(), 9);
    balancer.event(Event::Inherited(&known));
    balancer.now += SECOND;
    balancer.request(1);
    balancer.now += 30 * SECOND;
    let id = balancer.request(2);
    assert!(
        balancer.last_cache(id).is_some(),
        "all are admitted half a minute later"
    );
}

/// Growth by one step for each answer would take minutes where a cache gets a request every 15 s.
#[test]
fn a_good_answer_opens_a_window_below_one() {
    let mut balancer = one_of_many(read_through(), 1);
    for _ in 0..4 {
        balancer.now += 40 * SECOND;
        let id = balancer.request(1);
        if balancer.last_cache(id).is_some() {
            balancer.finish_attempt(id, Outcome::Full);
        }
    }
    balancer.now += 100 * SECOND;
    balancer.serve(1);
    balancer.now += 10 * MS;
    let id = balancer.request(1);
    assert!(
        balancer.last_cache(id).is_some(),
        "it is in use again at once"
    );
}

/// Of two tenants the lower median is the smaller one's use, so the larger one would be rejected inside its quota.
#[test]
fn of_two_tenants_the_larger_is_not_shed_inside_its_quota() {
    for (parts, shed) in [([7, 3], false), ([19, 1], true)] {
        let mut settings = read_through();
        settings.over_share_weight = 0.05;
        settings.tenants = [55.0, 45.0]
            .map(|quota_per_s| Tenant {
                quota_per_s,
                share: quota_per_s / 100.0,
            })
            .to_vec();
        let mut balancer = TestBalancer::new(settings, &ready_list(1..=6));
        let mut received = [0.0; 2];
        let mut rejected = [0.0; 2];
        for i in 0..2_000_u64 {
            balancer.now += 5 * MS;
            // The outcome of a request must not depend on its tenant.
            let draw = |salt: u64| xxhash_rust::xxh3::xxh3_64_with_seed(&i.to_le_bytes(), salt);
            let greater = draw(1) % (parts[0] + parts[1]) < parts[0];
            let bad = draw(2) % 4 == 0;
            let id = balancer.request_from(u32::from(!greater), 0, draw(3) % 40, false);
            received[usize::from(greater)] += 1.0;
            rejected[usize::from(greater)] +=
                f64::from(u8::from(balancer.last_cache(id).is_none()));
            if balancer.last_cache(id).is_some() {
                // A quarter times out on each attempt, which is pressure.
                balancer.finish_attempt(
                    id,
                    if bad {
                        Outcome::TimedOut
                    } else {
                        Outcome::Served
                    },
                );
                while balancer.final_answers(id) == 0 && bad && balancer.sent[&id.0].len() < 4 {
                    balancer.finish_attempt(id, Outcome::TimedOut);
                }
            }
        }
        // Pressure alone rejects some of both; shedding adds to it.
        let [lesser, greater] = [rejected[0] / received[0], rejected[1] / received[1]];
        assert_eq!(
            greater > lesser + 0.1,
            shed,
            "{parts:?}: {lesser:.2} and {greater:.2} rejected"
        );
    }
}

/// A fetch that a window for a dozen caches holds back, though an origin behind sixty has the capacity, is missed again.
#[test]
fn the_first_window_of_an_origin_follows_the_size_of_the_fleet() {
    let fetches = |caches| {
        let mut balancer = TestBalancer::new(
            Settings {
                balancers: 4,
                ..cache_aside()
            },
            &with_origin(ready_list(1..=caches)),
        );
        let ids: Vec<RequestId> = (0..60).map(|key| balancer.request(key)).collect();
        for id in &ids {
            if balancer.last_cache(*id).is_some() {
                balancer.finish_attempt(*id, Outcome::Miss);
            }
        }
        balancer
            .sent
            .values()
            .filter(|to| to.last() == Some(&ORIGIN))
            .count()
    };
    assert_eq!((fetches(11), fetches(59)), (3, 15));
}

/// With seconds between two requests to a cache, each is sent on a connection that may have been dropped unseen.
#[test]
fn connections_idle_for_as_long_as_lost_ones_are_closed_before_use() {
    let closes = |actions: &[Action]| {
        actions
            .iter()
            .any(|a| matches!(a, Action::Disconnect { .. }))
    };
    let mut balancer = one_of_many(read_through(), 1);
    balancer.serve(1);
    for lost in 0..2 {
        balancer.now += 2 * SECOND;
        let id = balancer.request(1);
        assert!(
            !closes(&balancer.out),
            "loss {lost}: a single one shows nothing"
        );
        assert!(
            closes(&end_late(&mut balancer, id, Outcome::TimedOut)),
            "but its connection is closed"
        );
        balancer.out.clear();
        // A new connection, whose answer says nothing of idle ones; and the loss has not cut the cache's window.
        balancer.now += 400 * MS;
        balancer.serve(1);
    }
    balancer.now += 1_100 * MS;
    balancer.serve(1);
    assert!(
        closes(&balancer.out),
        "two in a row do, and the limit lies below the idle time of the lost ones"
    );
    balancer.out.clear();
    balancer.now += 100 * MS;
    balancer.serve(1);
    assert!(!closes(&balancer.out), "one that was just in use is kept");
}

/// A request that goes on past its latency objective counts against tail latency; one rejected at its objective does not.
#[test]
fn where_tail_latency_counts_a_late_request_is_rejected_at_its_objective() {
    for (weight, over) in [(0.0, false), (0.3, true)] {
        let mut settings = read_through();
        settings.classes[0].late_weight = 0.5;
        settings.tail = TailLatency {
            weight,
            tolerated_fraction: 0.01,
        };
        let mut balancer = TestBalancer::new(settings, &ready_list(1..=6));
        let id = balancer.request(1);
        balancer.now += 500 * MS;
        assert_eq!(
            has_rejection(&balancer.event(Event::Timer {
                token: u64::from(id.0)
            })),
            over,
            "weight {weight}"
        );
    }
}
