//! No effect twice, and exactly one answer: what may be sent again or refused after each kind of outcome.
mod common;
use common::*;
use stairfront_policy::interface::*;

const FAILURES: [(Outcome, bool); 7] = [
    (Outcome::Errored, false),
    (Outcome::TimedOut, false),
    (Outcome::Reset, false),
    (Outcome::Cancelled, false),
    (Outcome::Full, true),
    (Outcome::ConnectFailed, true),
    (Outcome::NeverSent, true),
];

fn guarded(group: DeduplicationScope, key_ttl: Micros) -> Idempotency {
    Idempotency::Keyed {
        scope: group,
        key_ttl,
    }
}

fn rig(semantics: Idempotency, list: &[Endpoint]) -> Rig {
    let mut set = through();
    set.classes = vec![class(semantics)];
    Rig::new(set, list)
}

/// One attempt ends with `outcome` at a cache of zone and cell 1; what is done next?
fn after(semantics: Idempotency, outcome: Outcome, wait: Micros) -> (Vec<Action>, CacheId) {
    let mut rig = rig(semantics, &ready(1..=6));
    let id = rig.ask_as(0, 42, true);
    let first = rig.last_cache(id).unwrap();
    rig.now += wait;
    (rig.settle(id, outcome), first)
}

#[test]
fn free_requests_are_sent_again_after_any_failure() {
    for (outcome, _) in FAILURES {
        let (actions, first) = after(Idempotency::Idempotent, outcome, 0);
        assert_eq!(sends(&actions).len(), 1, "{outcome:?}: {actions:?}");
        // A broken connection says nothing of a cache that has just done well; all else is had elsewhere.
        assert_eq!(
            sends(&actions)[0] == first,
            matches!(outcome, Outcome::Reset | Outcome::Cancelled),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn single_shot_requests_are_sent_again_or_refused_only_when_nothing_ran() {
    for (outcome, never_ran) in FAILURES {
        let (actions, _) = after(Idempotency::NotIdempotent, outcome, 0);
        if never_ran {
            assert_eq!(sends(&actions).len(), 1, "{outcome:?}");
        } else {
            assert!(
                sends(&actions).is_empty() && failed(&actions) && !refused(&actions),
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn guarded_requests_stay_in_their_group_and_window() {
    for (outcome, never_ran) in FAILURES {
        for group in [
            DeduplicationScope::All,
            DeduplicationScope::Zone,
            DeduplicationScope::Cell,
        ] {
            let (actions, first) = after(guarded(group, 300 * MS), outcome, 0);
            for next in sends(&actions) {
                let same = next.0 % 2 == first.0 % 2;
                assert!(
                    never_ran || group == DeduplicationScope::All || same,
                    "{outcome:?} {group:?}"
                );
            }
            assert!(
                never_ran || group == DeduplicationScope::All || !refused(&actions),
                "{outcome:?} {group:?}"
            );
        }
        let (actions, _) = after(
            guarded(DeduplicationScope::All, 300 * MS),
            outcome,
            400 * MS,
        );
        assert_eq!(
            sends(&actions).len(),
            usize::from(never_ran),
            "past the window: {outcome:?}"
        );
        let (actions, _) = after(
            guarded(DeduplicationScope::Zone, 300 * MS),
            outcome,
            400 * MS,
        );
        assert!(
            never_ran || failed(&actions),
            "past the window, no refusal: {outcome:?}"
        );
    }
}

#[test]
fn an_attempt_that_is_out_counts_as_one_that_may_have_run() {
    let mut rig = rig(Idempotency::NotIdempotent, &ready(1..=6));
    let id = rig.ask_as(0, 42, true);
    rig.now += 600 * MS;
    let actions = rig.event(Event::Timer {
        token: u64::from(id.0),
    });
    assert!(
        failed(&actions) && !refused(&actions),
        "past the aim with its attempt out: {actions:?}"
    );
}

#[test]
fn the_window_counts_from_the_earliest_attempt_that_may_have_run() {
    let mut rig = rig(guarded(DeduplicationScope::All, 300 * MS), &ready(1..=6));
    let id = rig.ask_as(0, 42, true);
    rig.now += 200 * MS;
    assert_eq!(sends(&rig.settle(id, Outcome::Reset)).len(), 1);
    rig.now += 200 * MS;
    assert!(
        sends(&rig.settle(id, Outcome::Reset)).is_empty(),
        "400 ms after the first send"
    );
}

#[test]
fn attempts_are_capped_and_then_the_request_ends() {
    let mut rig = rig(Idempotency::Idempotent, &ready(1..=6));
    let id = rig.ask(42);
    while rig.finals(id) == 0 {
        rig.settle(id, Outcome::ConnectFailed);
    }
    assert!(rig.sent[&id.0].len() <= 4);
    assert_eq!(rig.finals(id), 1);
}

#[test]
fn a_request_is_never_answered_after_its_end() {
    let mut rig = rig(Idempotency::Idempotent, &ready(1..=6));
    let id = rig.ask(42);
    rig.settle(id, Outcome::Served);
    rig.now += 2 * SECOND;
    assert!(rig
        .event(Event::Timer {
            token: u64::from(id.0)
        })
        .is_empty());
    assert!(rig.event(Event::ClientDisconnected { id }).is_empty());
}

#[test]
fn a_silent_server_still_leaves_one_answer_before_the_client_goes() {
    let mut rig = rig(Idempotency::Idempotent, &ready(1..=6));
    let id = rig.ask(42);
    let delays: Vec<Micros> = rig
        .out
        .iter()
        .filter_map(|a| {
            if let Action::Timer { delay, .. } = a {
                Some(*delay)
            } else {
                None
            }
        })
        .collect();
    assert!(delays.iter().any(|d| *d <= 990 * MS));
    rig.now += delays[0];
    rig.event(Event::Timer {
        token: u64::from(id.0),
    });
    assert_eq!(rig.finals(id), 1);
}

#[test]
fn a_streamed_answer_belongs_to_the_client() {
    let mut rig = rig(Idempotency::NotIdempotent, &ready(1..=6));
    let id = rig.ask(42);
    rig.event(Event::ResponseStarted { id, attempt: 0 });
    rig.now += 5 * SECOND;
    assert!(rig
        .event(Event::Timer {
            token: u64::from(id.0)
        })
        .is_empty());
}

#[test]
fn repeats_of_failures_have_a_budget() {
    let mut rig = rig(Idempotency::Idempotent, &ready(1..=6));
    let mut again = 0;
    for key in 0..200 {
        rig.now += 20 * MS;
        let id = rig.ask(key);
        if rig.last_cache(id).is_some() {
            again += sends(&rig.settle(id, Outcome::Errored)).len();
            if rig.finals(id) == 0 {
                rig.settle(id, Outcome::Served);
            }
        }
    }
    assert!(
        again <= 10 + 200 / 10 + 1,
        "{again} repeats of 200 requests"
    );
}

#[test]
fn a_clients_late_repeat_is_refused_without_server_work() {
    let mut set = through();
    set.classes[0].latency_objective = 300 * MS;
    let mut rig = Rig::new(set, &ready(1..=6));
    (1..50).for_each(|key| assert!(rig.serve(key).0 > 0));
    // The usual time left is the whole deadline; this try has 400 ms of it: 600 ms are spent, the aim is past.
    let (id, expires) = (RequestId(9_999), rig.now + 400 * MS);
    let (class, tenant, key) = (ClassId(0), TenantId(0), Some(Key(3)));
    let actions = rig.event(Event::Request(Request {
        id,
        class,
        tenant,
        key,
        expires_at: expires,
        write: false,
        retry: false,
    }));
    assert!(refused(&actions) && sends(&actions).is_empty());
    // One with the usual time left is served.
    assert!((1..=6).contains(&rig.serve(4).0));
}
