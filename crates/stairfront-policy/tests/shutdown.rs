//! Shutdown: every request is answered before the process ends.

use stairfront_policy::interface::{
    Action, Class, ClassId, DeduplicationScope, Event, Idempotency, Key, Micros, Outcome, Request,
    RequestId, TenantId, MS, SECOND,
};
use stairfront_test_support::policy_driver::{class, read_through, ready_list, TestBalancer};

/// A request whose client waits beyond the end of the process would end with it, unanswered.
#[test]
fn open_and_later_requests_are_answered_before_the_shutdown() {
    let mut settings = read_through();
    settings.classes = vec![Class {
        latency_objective: 6 * SECOND,
        deadline: 6 * SECOND,
        ..class(Idempotency::Idempotent)
    }];
    let mut balancer = TestBalancer::new(settings, &ready_list(1..=6));
    let request = |balancer: &mut TestBalancer, id: u32| {
        let event = Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: TenantId(0),
            key: Some(Key(u64::from(id))),
            expires_at: balancer.now + 6 * SECOND,
            waited: 0,
            write: false,
            retry: false,
        };
        balancer.event(Event::Request(event))
    };
    request(&mut balancer, 1);
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
    let sent = request(&mut balancer, 2);
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
            "request {id} before the shutdown"
        );
    }
}

/// The first byte of a retry may be sent long after its decision. A keyed retry carries the time left of its key, counted from
/// the attempt that may have run; any other carries none.
#[test]
fn a_keyed_retry_carries_the_time_left_of_its_key() {
    let send_within_of = |idempotency, outcome| {
        let mut settings = read_through();
        settings.classes = vec![class(idempotency)];
        let mut balancer = TestBalancer::new(settings, &ready_list(1..=6));
        let id = balancer.request_of_class(0, 42, true);
        balancer.now += 100 * MS;
        let sent = |action: &Action| match action {
            Action::Send { send_within, .. } => Some(*send_within),
            _ => None,
        };
        balancer
            .finish_attempt(id, outcome)
            .iter()
            .find_map(sent)
            .expect("it is retried")
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        key_ttl: 300 * MS,
    };
    let within = send_within_of(keyed, Outcome::Errored).expect("it may have run");
    assert!(within <= 200 * MS && within > 150 * MS, "{within}");
    assert_eq!(send_within_of(keyed, Outcome::Full), None, "nothing ran");
    assert_eq!(
        send_within_of(Idempotency::Idempotent, Outcome::Errored),
        None
    );
}
