//! The checker finds each violation: one trace that holds, and the same trace changed in one place for each violation.
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_emulator::client::Idempotency;
use stairfront_emulator::rules::{
    AnnouncedState, ClientAnswer, Observation, RuleChecker, RuleLimits, RuleReport,
};

const ORIGIN: u16 = 9;

type Trace = Vec<(Micros, Observation)>;

fn limits() -> RuleLimits {
    let classes = vec![
        Idempotency::Idempotent,
        Idempotency::Keyed,
        Idempotency::NotIdempotent,
    ];
    RuleLimits {
        classes,
        origin: ORIGIN,
        ..RuleLimits::default()
    }
}

fn judge(trace: &[(Micros, Observation)]) -> RuleReport {
    let mut checker = RuleChecker::new(limits());
    for (at, observation) in trace {
        checker.observe(*at, *observation);
        checker.judge_finished();
    }
    checker.finish()
}

const OWN: ClientAnswer = ClientAnswer::Value { own: true };

fn sent(id: u64, class: u8) -> Observation {
    Observation::RequestSent {
        id,
        class,
        balancer: 0,
        deadline: 500 * MS,
    }
}

fn sent_late(id: u64, class: u8) -> Observation {
    Observation::RequestSent {
        id,
        class,
        balancer: 0,
        deadline: SECOND,
    }
}

fn started(attempt: u64, id: u64, host: u16) -> Observation {
    Observation::AttemptStarted {
        attempt,
        id,
        host,
        balancer: 0,
    }
}

fn ended(attempt: u64, id: u64, ran: bool) -> Observation {
    Observation::AttemptEnded {
        attempt,
        id,
        executed: ran,
    }
}

fn notified(host: u16, told: AnnouncedState) -> Observation {
    Observation::Notified {
        balancer: 0,
        host,
        state: told,
    }
}

/// A miss that is fetched, a keyed write whose first attempt was lost, and a host that drains in time.
fn valid() -> Trace {
    vec![
        (10 * MS, sent(1, 0)),
        (11 * MS, started(1, 1, 3)),
        (20 * MS, ended(1, 1, false)),
        (21 * MS, started(2, 1, ORIGIN)),
        (60 * MS, ended(2, 1, true)),
        (61 * MS, Observation::Answered { id: 1, answer: OWN }),
        (100 * MS, sent(2, 1)),
        (101 * MS, started(3, 2, 4)),
        (110 * MS, Observation::EffectApplied { id: 2 }),
        (200 * MS, ended(3, 2, false)),
        (201 * MS, started(4, 2, 4)),
        (220 * MS, ended(4, 2, true)),
        (221 * MS, Observation::Answered { id: 2, answer: OWN }),
        (300 * MS, notified(3, AnnouncedState::Draining)),
        (310 * MS, sent(3, 2)),
        (500 * MS, started(5, 3, 3)),
        (510 * MS, ended(5, 3, true)),
        (510 * MS, Observation::EffectApplied { id: 3 }),
        (511 * MS, Observation::Answered { id: 3, answer: OWN }),
    ]
}

#[test]
fn a_valid_trace_holds_in_any_order_within_the_horizon() {
    let report = judge(&valid());
    assert!(report.holds(), "{report:?}");
    let metrics = &report.metrics;
    assert_eq!(
        (
            metrics.requests,
            metrics.answered,
            metrics.attempts,
            metrics.late
        ),
        (3, 3, 5, 0)
    );
    assert_eq!(metrics.max_after_drain_ms, 200.0);
    let mut backwards = valid();
    backwards.reverse();
    assert!(judge(&backwards).holds(), "{:?}", judge(&backwards));
}

/// A trace that breaks one rule.
struct Violation {
    name: &'static str,
    /// Position of the rule that it breaks.
    rule: usize,
    trace: Trace,
}

fn with(name: &'static str, rule: usize, more: &[(Micros, Observation)]) -> Violation {
    Violation {
        name,
        rule,
        trace: [valid(), more.to_vec()].concat(),
    }
}

fn without(name: &'static str, rule: usize, missing: Observation) -> Violation {
    let mut trace = valid();
    trace.retain(|(_, observation)| *observation != missing);
    Violation { name, rule, trace }
}

fn answered(id: u64, answer: ClientAnswer) -> Observation {
    Observation::Answered { id, answer }
}

fn answer_violations() -> Vec<Violation> {
    let foreign = ClientAnswer::Value { own: false };
    vec![
        without("no answer", 0, answered(1, OWN)),
        with(
            "two answers",
            0,
            &[(70 * MS, answered(1, ClientAnswer::Failed))],
        ),
        with(
            "late",
            0,
            &[(5 * MS, sent(7, 0)), (560 * MS, answered(7, OWN))],
        ),
        with(
            "a value of another request",
            0,
            &[(5 * MS, sent(7, 0)), (9 * MS, answered(7, foreign))],
        ),
        with(
            "an unsolicited answer",
            0,
            &[(70 * MS, Observation::UnsolicitedAnswer { balancer: 0 })],
        ),
        with(
            "connection lost",
            0,
            &[
                (5 * MS, sent(7, 0)),
                (9 * MS, Observation::ConnectionLost { id: 7 }),
            ],
        ),
        with(
            "closed by the client after its deadline",
            0,
            &[
                (5 * MS, sent(7, 0)),
                (600 * MS, Observation::ClientClosed { id: 7 }),
            ],
        ),
    ]
}

fn attempt_violations() -> Vec<Violation> {
    let four: Vec<_> = (6..9)
        .flat_map(|n| {
            [
                (n as Micros * 50 * MS, started(n, 1, 4)),
                (n as Micros * 50 * MS + 1, ended(n, 1, false)),
            ]
        })
        .collect();
    vec![
        with(
            "two attempts together",
            1,
            &[
                (12 * MS, started(9, 1, 4)),
                (90 * MS, ended(9, 1, false)),
                (SECOND, ended(1, 1, false)),
            ],
        ),
        without("an attempt without an end", 1, ended(1, 1, false)),
        with("four attempts", 1, &four),
        with(
            "an attempt of an unknown request",
            1,
            &[(5 * MS, started(9, 77, 4)), (6 * MS, ended(9, 77, false))],
        ),
    ]
}

fn effect_violations() -> Vec<Violation> {
    let not_idempotent_twice = [
        (520 * MS, started(6, 3, 5)),
        (530 * MS, ended(6, 3, true)),
        (530 * MS, Observation::EffectApplied { id: 3 }),
    ];
    let rejected = [
        (600 * MS, sent_late(4, 2)),
        (601 * MS, started(6, 4, 5)),
        (610 * MS, ended(6, 4, true)),
        (611 * MS, answered(4, ClientAnswer::Rejected)),
    ];
    vec![
        with(
            "two effects under one idempotency key",
            1,
            &[(205 * MS, Observation::EffectApplied { id: 2 })],
        ),
        with(
            "two effects of a request that is not idempotent",
            1,
            &not_idempotent_twice,
        ),
        with("rejected after its execution", 1, &rejected),
    ]
}

fn server_violations() -> Vec<Violation> {
    vec![
        with(
            "an attempt at a draining host",
            2,
            &[
                (610 * MS, sent_late(7, 0)),
                (620 * MS, started(9, 7, 3)),
                (621 * MS, ended(9, 7, true)),
                (622 * MS, answered(7, OWN)),
            ],
        ),
        with(
            "a cold host crashed",
            3,
            &[(400 * MS, Observation::HostCrashed { host: 2 })],
        ),
        with(
            "the origin stopped by cold misses",
            3,
            &[
                (20 * MS, Observation::ColdMiss { id: 1 }),
                (400 * MS, Observation::OriginStopped),
            ],
        ),
    ]
}

#[test]
fn each_violation_is_found_and_breaks_only_its_rule() {
    let violations = [
        answer_violations(),
        attempt_violations(),
        effect_violations(),
        server_violations(),
    ];
    for Violation { name, rule, trace } in violations.into_iter().flatten() {
        let report = judge(&trace);
        let broken: Vec<usize> = (0..4).filter(|i| report.rules[*i].violations > 0).collect();
        assert_eq!(broken, [rule], "{name}: {report:?}");
        assert!(!report.rules[rule].examples.is_empty(), "{name}");
    }
}

#[test]
fn requests_of_a_killed_balancer_and_a_stop_without_cold_misses_break_no_rule() {
    let killed = [
        (5 * MS, sent(7, 0)),
        (9 * MS, Observation::BalancerStopped { balancer: 0 }),
        (10 * MS, Observation::ConnectionLost { id: 7 }),
    ];
    let report = judge(&killed);
    assert!(report.holds() && report.metrics.excused == 1, "{report:?}");
    // The end of another balancer excuses nothing.
    let other = [
        (5 * MS, sent(7, 0)),
        (9 * MS, Observation::BalancerStopped { balancer: 1 }),
        (10 * MS, Observation::ConnectionLost { id: 7 }),
    ];
    assert!(!judge(&other).holds());
    let report = judge(&[valid(), vec![(400 * MS, Observation::OriginStopped)]].concat());
    assert!(
        report.holds() && report.metrics.origin_stops == 1,
        "{report:?}"
    );
    // A host that serves again may be sent to, and a repeated notification that it drains gives no new grace.
    let back = [
        (550 * MS, notified(3, AnnouncedState::Serving)),
        (610 * MS, sent_late(7, 0)),
        (620 * MS, started(9, 7, 3)),
        (621 * MS, ended(9, 7, true)),
        (622 * MS, Observation::Answered { id: 7, answer: OWN }),
    ];
    assert!(judge(&[valid(), back.to_vec()].concat()).holds());
    let mut again = back;
    again[0].1 = notified(3, AnnouncedState::Draining);
    assert_eq!(
        judge(&[valid(), again.to_vec()].concat()).rules[2].violations,
        1
    );
}

/// A request can be judged while its balancer is still paused. Without an excuse from the begin of the pause on, one of some
/// 100,000 requests beside a pause of 8 s broke rule 1.
#[test]
fn a_request_at_a_paused_balancer_is_excused_before_it_resumes() {
    let mut trace = vec![
        (10 * MS, sent(1, 0)),
        (11 * MS, started(1, 1, 3)),
        (
            12 * MS,
            Observation::BalancerPaused {
                balancer: 0,
                paused: true,
            },
        ),
        (20 * MS, ended(1, 1, true)),
    ];
    // Time goes on until the request is judged.
    trace.extend((1..40).map(|second| {
        (
            second * SECOND,
            Observation::BalancerStopped { balancer: 5 },
        )
    }));
    trace.push((
        40 * SECOND,
        Observation::BalancerPaused {
            balancer: 0,
            paused: false,
        },
    ));
    let report = judge(&trace);
    assert_eq!(
        (report.rules[0].violations, report.metrics.excused),
        (0, 1),
        "{report:?}"
    );
}
