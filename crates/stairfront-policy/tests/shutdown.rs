//! A balancer that has been told to end: everything it has is answered while it lives.
mod common;
use common::*;
use stairfront_policy::interface::*;

/// Danger: a request whose client waits longer than the process lives would end with it, unanswered.
#[test]
fn open_and_later_requests_are_answered_before_the_shutdown() {
    let mut settings = read_through();
    settings.classes = vec![Class {
        latency_objective: 6 * SECOND,
        deadline: 6 * SECOND,
        ..class(Idempotency::Idempotent)
    }];
    let mut balancer = TestBalancer::new(settings, &ready_list(1..=6));
    let asked = |balancer: &mut TestBalancer, id: u32| {
        let (class, tenant, key) = (ClassId(0), TenantId(0), Some(Key(u64::from(id))));
        let expires = balancer.now + 6 * SECOND;
        let request = Request {
            id: RequestId(id),
            class,
            tenant,
            key,
            expires_at: expires,
            write: false,
            retry: false,
        };
        balancer.event(Event::Request(request))
    };
    asked(&mut balancer, 1);
    balancer.now += SECOND;
    let by = balancer.now + 3 * SECOND;
    let mut due: Vec<(Micros, u64)> = Vec::new();
    let now = balancer.now;
    let timers = |actions: Vec<Action>, now: Micros| {
        actions.into_iter().filter_map(move |action| match action {
            Action::Timer { delay, token } => Some((now + delay, token)),
            _ => None,
        })
    };
    due.extend(timers(balancer.event(Event::ShuttingDown { by }), now));
    let sent = asked(&mut balancer, 2);
    let least =
        |action: &Action| matches!(action, Action::Send { timeout, .. } if now + timeout < by);
    assert!(
        sent.iter().any(least),
        "no attempt outlives the process: {sent:?}"
    );
    due.extend(timers(sent, now));
    // Neither is answered by a server.
    while let Some(i) = (0..due.len())
        .filter(|i| due[*i].0 < by)
        .min_by_key(|i| due[*i].0)
    {
        let (at, token) = due.remove(i);
        balancer.now = at;
        let more = balancer.event(Event::Timer { token });
        due.extend(timers(more, at));
    }
    for id in [1, 2] {
        assert_eq!(
            balancer.final_answers(RequestId(id)),
            1,
            "request {id} by the end"
        );
    }
}

/// Danger: the first byte of a repeat may go out long after it was decided. It carries the end of its window, counted from
/// the attempt that may have run; one that is bound to no window carries none.
#[test]
fn a_keyed_retry_carries_the_time_left_of_its_key() {
    let lapses = |idempotency, outcome| {
        let mut settings = read_through();
        settings.classes = vec![class(idempotency)];
        let mut balancer = TestBalancer::new(settings, &ready_list(1..=6));
        let id = balancer.request_of_class(0, 42, true);
        balancer.now += 100 * MS;
        let told = |action: &Action| match action {
            Action::Send { send_within, .. } => Some(*send_within),
            _ => None,
        };
        balancer
            .finish_attempt(id, outcome)
            .iter()
            .find_map(told)
            .expect("it is sent again")
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        key_ttl: 300 * MS,
    };
    let within = lapses(keyed, Outcome::Errored).expect("it may have run");
    assert!(within <= 200 * MS && within > 150 * MS, "{within}");
    assert_eq!(lapses(keyed, Outcome::Full), None, "nothing ran");
    assert_eq!(lapses(Idempotency::Idempotent, Outcome::Errored), None);
}
