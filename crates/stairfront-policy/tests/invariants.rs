//! The four rules, as far as one balancer can see them, over random events that are legal in settings of every mode.
//! The checker knows only events, actions and the settings; it shares no code with the policy.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, CacheStatus, ClassId, DeduplicationScope, DiscoveryMode,
    Endpoint, EndpointListUpdate, EndpointState, Event, Idempotency, Key, LoadReport, Micros,
    Outcome, Request, RequestId, Settings, Tenant, TenantId, MS, SECOND,
};
use stairfront_policy::Policy;
use stairfront_test_support::policy_driver::{
    attempt_result, cache_aside, class, read_through, ready_list, with_origin, ORIGIN,
};

const TICK: Micros = 5 * MS;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Micros,
    cache: CacheId,
    /// `None` while in flight.
    ended: Option<Outcome>,
    /// When the environment ends it.
    due: Micros,
    /// How the environment ends it.
    planned_outcome: Outcome,
}

#[derive(Debug)]
struct OpenRequest {
    request: Request,
    attempts: Vec<Attempt>,
    /// It has its final answer.
    finished: bool,
    answered: usize,
}

struct ListedServer {
    endpoint: Endpoint,
    /// When this balancer was notified that it drains or is removed.
    unlisted_at: Option<Micros>,
}

/// A legal environment of one balancer, and the checker of its actions.
struct Environment {
    settings: Settings,
    now: Micros,
    policy: Policy,
    requests: BTreeMap<u32, OpenRequest>,
    timers: Vec<(Micros, u64)>,
    health_checks: Vec<(Micros, CacheId)>,
    listed: BTreeMap<CacheId, ListedServer>,
    violations: Vec<String>,
    rng_state: u64,
    slow: bool,
}

impl Environment {
    fn new(settings: Settings, list: &[Endpoint], seed: u64, slow: bool) -> Environment {
        let policy = Policy::new(settings.clone(), seed);
        let listed = list
            .iter()
            .map(|m| {
                (
                    m.id,
                    ListedServer {
                        endpoint: *m,
                        unlisted_at: None,
                    },
                )
            })
            .collect();
        let (requests, now) = (BTreeMap::new(), 100 * SECOND);
        let (timers, health_checks, violations) = (vec![], vec![], vec![]);
        let mut environment = Environment {
            settings,
            now,
            policy,
            requests,
            timers,
            health_checks,
            listed,
            violations,
            rng_state: seed,
            slow,
        };
        environment.event(Event::EndpointList(EndpointListUpdate::Cached(list)));
        environment
    }

    fn draw(&mut self, sides: u64) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % sides
    }

    fn violation(&mut self, text: String) {
        self.violations
            .push(format!("{} ms: {text}", self.now / MS));
    }

    fn violation_if(&mut self, wrong: bool, text: String) {
        if wrong {
            self.violation(text);
        }
    }

    fn event(&mut self, event: Event<'_>) {
        let mut actions = vec![];
        self.policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send {
                id, cache, timeout, ..
            } => self.check_send(id, cache, timeout),
            Action::Reject { id, .. } => {
                self.violation_if(
                    !self.may_reject(id),
                    format!("{id:?} rejected though it may have run"),
                );
                self.answer(id);
            }
            Action::Fail { id } => self.answer(id),
            Action::Cancel { id, attempt } => {
                let sent = self
                    .requests
                    .get(&id.0)
                    .map_or(0, |open| open.attempts.len());
                self.violation_if(
                    sent <= usize::from(attempt),
                    format!("{id:?} has no attempt {attempt} to cancel"),
                );
            }
            Action::Timer { delay, token } => self.timers.push((self.now + delay.max(TICK), token)),
            Action::HealthCheck { cache } => self.health_checks.push((self.now + 10 * MS, cache)),
            _ => {}
        }
    }

    fn idempotency(&self, request: &Request) -> Idempotency {
        self.settings.classes[usize::from(request.class.0)].idempotency
    }

    /// Attempts that are in flight, or whose outcome does not prove that they had no effect.
    fn may_have_run(&self, open: &OpenRequest) -> Vec<Attempt> {
        let clean = |o| {
            matches!(
                o,
                Outcome::Miss | Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent
            )
        };
        open.attempts
            .iter()
            .filter(|a| !a.ended.is_some_and(clean))
            .copied()
            .collect()
    }

    fn check_send(&mut self, id: RequestId, cache: CacheId, timeout: Micros) {
        let outcome_draw = self.draw(100);
        let max_delay_ms = if self.slow { 300 } else { 60 };
        let delay = (1 + self.draw(max_delay_ms) as Micros) * MS;
        let Some(open) = self.requests.get(&id.0) else {
            return self.violation(format!("{id:?} was never received"));
        };
        let expires_at = open.request.expires_at;
        let mut wrong = self.wrong_attempts(open);
        wrong.extend(self.wrong_target(open, cache));
        for text in wrong {
            self.violation(format!("{id:?} {text}"));
        }
        let limit = (self.now + timeout).min(expires_at);
        let answer_at = self.now + delay;
        let (due, planned_outcome) = match drawn_outcome(outcome_draw) {
            Outcome::TimedOut => (limit, Outcome::TimedOut),
            _ if answer_at >= limit => (limit, Outcome::TimedOut),
            outcome => (answer_at, outcome),
        };
        if let Some(open) = self.requests.get_mut(&id.0) {
            open.attempts.push(Attempt {
                at: self.now,
                cache,
                ended: None,
                due: due.max(self.now + TICK),
                planned_outcome,
            });
        }
    }

    /// Violations by the number and the state of the request's attempts.
    fn wrong_attempts(&self, open: &OpenRequest) -> Vec<&'static str> {
        let mut wrong = vec![];
        if open.finished {
            wrong.push("sent after its end");
        }
        if open.attempts.iter().any(|a| a.ended.is_none()) && !self.settings.limits.may_hedge {
            wrong.push("two attempts in flight");
        }
        if open.attempts.len() >= usize::from(self.settings.limits.max_attempts) {
            wrong.push("too many attempts");
        }
        wrong
    }

    /// Violations by the server that an attempt of the request is sent to.
    fn wrong_target(&self, open: &OpenRequest, cache: CacheId) -> Vec<&'static str> {
        let Some(target) = self.listed.get(&cache) else {
            return vec!["sent to a cache that was never listed"];
        };
        let drain_grace = self.settings.rules.drain_grace;
        if target
            .unlisted_at
            .is_some_and(|at| self.now > at + drain_grace)
        {
            return vec!["sent to a cache that drains or is removed"];
        }
        let may_have_run = self.may_have_run(open);
        match self.idempotency(&open.request) {
            Idempotency::NotIdempotent if !may_have_run.is_empty() => {
                vec!["sent twice though not idempotent"]
            }
            Idempotency::Keyed { scope, key_ttl } => may_have_run
                .iter()
                .filter(|first| {
                    let first_server = &self.listed[&first.cache].endpoint;
                    !is_in_scope(scope, first_server, &target.endpoint)
                        || self.now > first.at + key_ttl
                })
                .map(|_| "sent again outside the scope or time of its key")
                .collect(),
            _ => vec![],
        }
    }

    fn may_reject(&self, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id.0) else {
            return false;
        };
        match self.idempotency(&open.request) {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => self.may_have_run(open).is_empty(),
        }
    }

    /// Counts a final answer of the balancer's own.
    fn answer(&mut self, id: RequestId) {
        let now = self.now;
        let slack = self.settings.rules.answer_slack;
        let Some(open) = self.requests.get_mut(&id.0) else {
            return self.violation(format!("{id:?} was never received"));
        };
        open.answered += 1;
        let repeated = open.finished;
        let late = now > open.request.expires_at + slack;
        open.finished = true;
        if repeated || late {
            self.violation(format!(
                "{id:?} answered {}",
                if repeated { "twice" } else { "too late" }
            ));
        }
    }

    fn request(&mut self, id: u32) {
        let class = self.draw(self.settings.classes.len() as u64) as u8;
        let deadline = self.settings.classes[usize::from(class)].deadline;
        let expires_at = self.now + deadline * (40 + self.draw(61) as Micros) / 100;
        let (key, tenant) = (Some(Key(1 + self.draw(40))), TenantId(self.draw(3) as u32));
        let write = self.draw(8) == 0;
        let id = RequestId(id);
        let request = Request {
            id,
            class: ClassId(class),
            tenant,
            key,
            expires_at,
            waited: 0,
            write,
            retry: false,
        };
        self.requests.insert(
            id.0,
            OpenRequest {
                request,
                attempts: vec![],
                finished: false,
                answered: 0,
            },
        );
        self.event(Event::Request(request));
    }

    fn list_update(&mut self) {
        let ids: Vec<CacheId> = self.listed.keys().copied().collect();
        let id = ids[self.draw(ids.len() as u64) as usize];
        let choice = self.draw(4);
        let Some(listed_server) = self.listed.get_mut(&id).filter(|_| id != ORIGIN) else {
            return;
        };
        let state = [
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ][choice as usize];
        listed_server.endpoint.state = state;
        listed_server.unlisted_at = if state == EndpointState::Ready {
            None
        } else {
            listed_server.unlisted_at.or(Some(self.now))
        };
        if choice == 0 {
            listed_server.endpoint.incarnation = self.now - SECOND;
        }
        let update = [listed_server.endpoint];
        self.event(Event::EndpointList(EndpointListUpdate::Delta(&update)));
    }

    /// One tick: attempts that end, timers that fire, and clients whose deadline has passed.
    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let mut due: Vec<(u32, usize)> = vec![];
        for (id, open) in &self.requests {
            let ends = |a: &Attempt| a.ended.is_none() && a.due <= now;
            due.extend(
                (0..open.attempts.len())
                    .filter(|i| ends(&open.attempts[*i]))
                    .map(|i| (*id, i)),
            );
        }
        due.into_iter()
            .for_each(|(id, i)| self.finish_attempt(id, i));
        let fired: Vec<u64> = self
            .timers
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, token)| *token)
            .collect();
        self.timers.retain(|(at, _)| *at > now);
        fired
            .into_iter()
            .for_each(|token| self.event(Event::Timer { token }));
        let checked: Vec<CacheId> = self
            .health_checks
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, c)| *c)
            .collect();
        self.health_checks.retain(|(at, _)| *at > now);
        for cache in checked {
            let outcome = if self.draw(2) == 0 {
                Outcome::Served
            } else {
                Outcome::ConnectFailed
            };
            self.event(Event::HealthChecked {
                cache,
                outcome,
                elapsed: 10 * MS,
                load: LoadReport::default(),
            });
        }
        let slack = self.settings.rules.answer_slack;
        let unanswered = |j: &OpenRequest| !j.finished && now > j.request.expires_at + slack;
        let unanswered: Vec<u32> = self
            .requests
            .iter()
            .filter(|(_, j)| unanswered(j))
            .map(|(id, _)| *id)
            .collect();
        for id in unanswered {
            self.violation(format!("request {id} got no answer in time"));
            self.requests.entry(id).and_modify(|j| j.finished = true);
        }
    }

    fn finish_attempt(&mut self, id: u32, i: usize) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = &mut open.attempts[i];
        let outcome = attempt.planned_outcome;
        attempt.ended = Some(outcome);
        let cache = attempt.cache;
        let elapsed = self.now - attempt.at;
        if outcome == Outcome::Served && !open.finished {
            open.finished = true;
            open.answered += 1;
        }
        let request_finished = open.finished;
        self.event(Event::AttemptFinished(AttemptResult {
            request_finished,
            elapsed,
            cache_status: CacheStatus::None,
            ..attempt_result(RequestId(id), i as u8, cache, outcome)
        }));
    }
}

fn is_in_scope(scope: DeduplicationScope, a: &Endpoint, b: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => a.zone == b.zone,
        DeduplicationScope::Cell => a.zone == b.zone && a.cell == b.cell,
    }
}

/// The outcome that a number below 100 stands for.
fn drawn_outcome(draw: u64) -> Outcome {
    match draw {
        0..50 => Outcome::Served,
        50..70 => Outcome::Miss,
        70..76 => Outcome::Errored,
        76..82 => Outcome::Full,
        82..88 => Outcome::Reset,
        88..94 => Outcome::ConnectFailed,
        _ => Outcome::TimedOut,
    }
}

fn any_settings(
    aside_mode: bool,
    poll: bool,
    scope: u8,
    health_checks: bool,
    max_attempts: u8,
) -> Settings {
    let mut settings = if aside_mode {
        cache_aside()
    } else {
        read_through()
    };
    let scope = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ][usize::from(scope % 3)];
    let keyed = Idempotency::Keyed {
        scope,
        key_ttl: 250 * MS,
    };
    settings.classes = vec![
        class(Idempotency::Idempotent),
        class(keyed),
        class(Idempotency::NotIdempotent),
    ];
    settings.classes[1].late_weight = 0.5;
    settings.classes[2].late_weight = if max_attempts > 3 { 0.5 } else { 0.0 };
    settings.discovery = if poll {
        DiscoveryMode::Poll
    } else {
        DiscoveryMode::Push
    };
    settings.limits.may_probe = health_checks;
    settings.limits.max_attempts = max_attempts;
    settings.tenants = (0..3)
        .map(|_| Tenant {
            quota_per_s: 20.0,
            share: 0.3,
        })
        .collect();
    settings.over_share_weight = 0.1;
    settings
}

fn play(settings: Settings, caches: u64, seed: u64, slow: bool, per_tick: u64) -> Vec<String> {
    let list = with_origin(ready_list(1..=caches));
    let mut environment = Environment::new(settings, &list, seed, slow);
    let mut id = 0;
    for _ in 0..300 {
        for _ in 0..environment.draw(per_tick + 1) {
            id += 1;
            environment.request(id);
        }
        if environment.draw(12) == 0 {
            environment.list_update();
        }
        environment.tick();
    }
    (0..300).for_each(|_| environment.tick());
    let open: Vec<u32> = environment
        .requests
        .iter()
        .filter(|(_, j)| j.answered != 1)
        .map(|(id, _)| *id)
        .collect();
    open.into_iter().for_each(|id| {
        environment.violation(format!("request {id} did not get exactly one answer"))
    });
    environment.violations
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(11), failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_on_random_days(aside_mode: bool, poll: bool, scope: u8, health_checks: bool, slow: bool,
                                     max_attempts in 1u8..6, seed: u64, per_tick in 1u64..5,
                                     tier in 0usize..3, fleet in 0usize..4) {
        let mut settings = any_settings(aside_mode, poll, scope, health_checks, max_attempts);
        settings.balancers = [1, 3, 400][tier];
        let violations = play(settings, [0, 1, 6, 255][fleet], seed, slow, per_tick);
        prop_assert!(violations.is_empty(), "{:#?}", &violations[..violations.len().min(8)]);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut environment = Environment::new(
            any_settings(true, true, 0, true, 4),
            &with_origin(ready_list(1..=6)),
            3,
            true,
        );
        for id in 0..400 {
            environment.request(id);
            environment.tick();
        }
        let sent = |j: &OpenRequest| {
            j.attempts
                .iter()
                .map(|a| (a.at, a.cache))
                .collect::<Vec<_>>()
        };
        environment.requests.values().map(sent).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
