//! Other settings while requests are open: what is open keeps what it was taken with.
mod common;

use common::*;
use stairfront_policy::interface::*;

fn with(semantics: Idempotency, attempts: u8) -> Settings {
    let mut set = through();
    set.classes = vec![class(semantics)];
    set.limits.max_attempts = attempts;
    set
}

fn retune(rig: &mut Rig, settings: &Settings) {
    rig.event(Event::SettingsChanged {
        settings,
        tenants: &[],
    });
}

#[test]
fn unsafe_that_becomes_safe_is_not_sent_again_while_it_may_have_run() {
    let mut rig = Rig::new(with(Idempotency::NotIdempotent, 4), &ready(0..4));
    let open = rig.ask(1);
    retune(&mut rig, &with(Idempotency::Idempotent, 4));
    let actions = rig.settle(open, Outcome::Reset);
    assert!(
        failed(&actions) && sends(&actions).is_empty(),
        "{actions:?}"
    );
    // One that comes after it goes by the new rules, also when they change back under it.
    let later = rig.ask(1);
    retune(&mut rig, &with(Idempotency::NotIdempotent, 4));
    assert_eq!(sends(&rig.settle(later, Outcome::Reset)).len(), 1);
}

#[test]
fn a_keyed_request_stays_bound_to_its_group() {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        key_ttl: 5 * SECOND,
    };
    let mut rig = Rig::new(with(keyed, 4), &ready(0..4));
    let open = rig.ask(1);
    let first = rig.last_cache(open).unwrap();
    retune(&mut rig, &with(Idempotency::Idempotent, 4));
    for _ in 0..3 {
        let actions = rig.settle(open, Outcome::Reset);
        let again = sends(&actions);
        assert!(
            again.iter().all(|cache| cache.0 % 2 == first.0 % 2),
            "zones are ids modulo 2: {actions:?}"
        );
        if again.is_empty() {
            return;
        }
    }
}

#[test]
fn fewer_attempts_than_an_open_request_has_used_end_no_open_request() {
    let mut rig = Rig::new(with(Idempotency::Idempotent, 3), &ready(0..6));
    let open = rig.ask(1);
    assert_eq!(sends(&rig.settle(open, Outcome::Full)).len(), 1);
    retune(&mut rig, &with(Idempotency::Idempotent, 1));
    assert_eq!(
        sends(&rig.settle(open, Outcome::Full)).len(),
        1,
        "the third"
    );
    assert!(refused(&rig.settle(open, Outcome::Full)));
    let later = rig.ask(2);
    assert!(
        refused(&rig.settle(later, Outcome::Full)),
        "one attempt is all a new one has"
    );
}

#[test]
fn a_new_class_is_served_and_placements_stay() {
    let mut rig = Rig::new(with(Idempotency::Idempotent, 4), &ready(0..6));
    let before: Vec<CacheId> = (0..100).map(|key| rig.serve(key)).collect();
    let mut more = with(Idempotency::Idempotent, 4);
    more.classes.push(Class {
        latency_objective: 100 * MS,
        deadline: 200 * MS,
        ..class(Idempotency::NotIdempotent)
    });
    assert!(failed(&{
        let id = rig.ask_as(1, 7, false);
        rig.out
            .iter()
            .filter(|a| matches!(a, Action::Fail { id: i } if *i == id))
            .cloned()
            .collect::<Vec<_>>()
    }));
    retune(&mut rig, &more);
    let id = rig.ask_as(1, 7, false);
    assert!(rig.last_cache(id).is_some());
    rig.settle(id, Outcome::Served);
    let after: Vec<CacheId> = (0..100).map(|key| rig.serve(key)).collect();
    assert_eq!(after, before);
}
