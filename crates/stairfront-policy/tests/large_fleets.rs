//! What a balancer must not take for granted where it is one of hundreds before a hundred caches: that it sees each cache
//! often, that hits are told, that connections stand, that tenants are many, that any origin is as strong as any other.
mod common;

use common::*;
use stairfront_policy::interface::*;

/// The first attempt of a request ends so, long after its aim.
fn end_late(balancer: &mut TestBalancer, id: RequestId, outcome: Outcome) -> Vec<Action> {
    let cache = balancer.last_cache(id).expect("sent");
    let (request_finished, cache_status, load) = (
        outcome == Outcome::Served,
        CacheStatus::None,
        LoadReport::default(),
    );
    balancer.event(Event::AttemptFinished(AttemptResult {
        id,
        attempt: 0,
        cache,
        outcome,
        request_finished,
        elapsed: 900 * MS,
        cache_status,
        load,
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

/// Danger: a short origin holds up the caches' slots, and where hits are not told only lateness shows it. Keys seen served
/// go on; of the others, fewer.
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
        "what caches surely have is still asked for"
    );
}

/// Danger: each balancer's move is a miss, and hundreds of them keep a short origin short.
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

/// Danger: growth by a factor never leaves nought, which another process may have handed over.
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

/// Danger: growing back by steps, an answer each, takes minutes where a cache is asked every quarter of one.
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
    assert!(balancer.last_cache(id).is_some(), "in use again at once");
}

/// Danger: of two tenants the lower median is the lesser one's use, and the greater is refused inside its share.
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
        let (mut came, mut refusals) = ([0.0; 2], [0.0; 2]);
        for i in 0..2_000_u64 {
            balancer.now += 5 * MS;
            // What comes of a request must not go with its tenant.
            let dice = |salt: u64| xxhash_rust::xxh3::xxh3_64_with_seed(&i.to_le_bytes(), salt);
            let greater = dice(1) % (parts[0] + parts[1]) < parts[0];
            let bad = dice(2) % 4 == 0;
            let id = balancer.request_from(u32::from(!greater), 0, dice(3) % 40, false);
            came[usize::from(greater)] += 1.0;
            refusals[usize::from(greater)] +=
                f64::from(u8::from(balancer.last_cache(id).is_none()));
            if balancer.last_cache(id).is_some() {
                // A quarter ends badly, and cannot be tried again: that is pressure.
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
        // Pressure refuses some of both; the shed ones come on top.
        let [lesser, greater] = [refusals[0] / came[0], refusals[1] / came[1]];
        assert_eq!(
            greater > lesser + 0.1,
            shed,
            "{parts:?}: {lesser:.2} and {greater:.2} refused"
        );
    }
}

/// Danger: what an origin behind sixty caches could fetch, but a window for a dozen holds back, is missed again.
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

/// Danger: with seconds between two requests to a cache, each goes out on a connection that may have been dropped unseen.
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
            "but its connection is not kept"
        );
        balancer.out.clear();
        // On a new connection, whose answer tells nothing of idle ones; and the loss has not made the cache rest.
        balancer.now += 400 * MS;
        balancer.serve(1);
    }
    balancer.now += 1_100 * MS;
    balancer.serve(1);
    assert!(
        closes(&balancer.out),
        "two in a row do, and the limit lies below what was lost"
    );
    balancer.out.clear();
    balancer.now += 100 * MS;
    balancer.serve(1);
    assert!(!closes(&balancer.out), "one in use just now stands");
}

/// Danger: a request that went on past its aim counts as a miss of the slow end; refused at its aim it does not.
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
