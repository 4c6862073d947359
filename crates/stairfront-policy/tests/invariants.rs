//! The four rules, as far as one balancer can see them, over random legal days in settings of every mode.
//! The checker below knows only events, actions and the settings; it shares no code with the module.
mod common;
use std::collections::BTreeMap;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stairfront_policy::interface::*;
use stairfront_policy::Policy;

const TICK: Micros = 5 * MS;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Micros,
    cache: CacheId,
    /// None while out.
    ended: Option<Outcome>,
    /// When the world will end it, and how.
    due: Micros,
    fate: Outcome,
}

#[derive(Debug)]
struct Job {
    request: Request,
    attempts: Vec<Attempt>,
    over: bool,
    answered: usize,
}

struct Line {
    member: Endpoint,
    /// When this balancer was told that it drains or is gone.
    left: Option<Micros>,
}

/// A legal world around one balancer, and the judge of what it does.
struct World {
    settings: Settings,
    now: Micros,
    policy: Policy,
    jobs: BTreeMap<u32, Job>,
    timers: Vec<(Micros, u64)>,
    probes: Vec<(Micros, CacheId)>,
    lines: BTreeMap<CacheId, Line>,
    faults: Vec<String>,
    dice: u64,
    slow: bool,
}

impl World {
    fn new(settings: Settings, list: &[Endpoint], seed: u64, slow: bool) -> World {
        let policy = Policy::new(settings.clone(), seed);
        let lines = list
            .iter()
            .map(|m| {
                (
                    m.id,
                    Line {
                        member: *m,
                        left: None,
                    },
                )
            })
            .collect();
        let (jobs, now) = (BTreeMap::new(), 100 * SECOND);
        let (timers, probes, faults) = (vec![], vec![], vec![]);
        let mut world = World {
            settings,
            now,
            policy,
            jobs,
            timers,
            probes,
            lines,
            faults,
            dice: seed,
            slow,
        };
        world.event(Event::EndpointList(EndpointListUpdate::Cached(list)));
        world
    }

    fn roll(&mut self, sides: u64) -> u64 {
        self.dice = self
            .dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.dice >> 33) % sides
    }

    fn fault(&mut self, text: String) {
        self.faults.push(format!("{} ms: {text}", self.now / MS));
    }

    fn fault_if(&mut self, wrong: bool, text: String) {
        if wrong {
            self.fault(text);
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
                self.fault_if(
                    !self.may_refuse(id),
                    format!("{id:?} refused though it may have run"),
                );
                self.end(id);
            }
            Action::Fail { id } => self.end(id),
            Action::Cancel { id, attempt } => {
                let made = self.jobs.get(&id.0).map_or(0, |j| j.attempts.len());
                self.fault_if(
                    made <= usize::from(attempt),
                    format!("{id:?} has no attempt {attempt} to cancel"),
                );
            }
            Action::Timer { delay, token } => self.timers.push((self.now + delay.max(TICK), token)),
            Action::HealthCheck { cache } => self.probes.push((self.now + 10 * MS, cache)),
            _ => {}
        }
    }

    fn idempotency(&self, request: &Request) -> Idempotency {
        self.settings.classes[usize::from(request.class.0)].idempotency
    }

    /// Attempts that are out or did not prove that they never ran.
    fn may_have_run(&self, job: &Job) -> Vec<Attempt> {
        let clean = |o| {
            matches!(
                o,
                Outcome::Miss | Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent
            )
        };
        job.attempts
            .iter()
            .filter(|a| !a.ended.is_some_and(clean))
            .copied()
            .collect()
    }

    fn check_send(&mut self, id: RequestId, cache: CacheId, timeout: Micros) {
        let (now, roll, slow) = (self.now, self.roll(100), self.slow);
        let delay = (1 + self.roll(if slow { 300 } else { 60 }) as Micros) * MS;
        let Some(job) = self.jobs.get(&id.0) else {
            return self.fault(format!("{id:?} was never given"));
        };
        let mut wrong = vec![];
        if job.over {
            wrong.push("sent after its end");
        }
        if job.attempts.iter().any(|a| a.ended.is_none()) && !self.settings.limits.may_hedge {
            wrong.push("two attempts out");
        }
        if job.attempts.len() >= usize::from(self.settings.limits.max_attempts) {
            wrong.push("too many attempts");
        }
        let (expires, ran) = (job.request.expires_at, self.may_have_run(job));
        match self.lines.get(&cache) {
            None => wrong.push("to a cache that was never listed"),
            Some(l)
                if l.left
                    .is_some_and(|at| now > at + self.settings.rules.drain_grace) =>
            {
                wrong.push("to a cache that left")
            }
            Some(line) => match self.idempotency(&job.request) {
                Idempotency::NotIdempotent if !ran.is_empty() => {
                    wrong.push("single shot sent twice")
                }
                Idempotency::Keyed { scope, key_ttl } => {
                    for first in &ran {
                        let (a, b) = (&self.lines[&first.cache].member, &line.member);
                        let same = match scope {
                            DeduplicationScope::All => true,
                            DeduplicationScope::Zone => a.zone == b.zone,
                            DeduplicationScope::Cell => a.zone == b.zone && a.cell == b.cell,
                        };
                        if !same || now > first.at + key_ttl {
                            wrong.push("keyed repeat outside its group or window");
                        }
                    }
                }
                _ => {}
            },
        }
        wrong
            .iter()
            .for_each(|text| self.fault(format!("{id:?} {text}")));
        let fate = match roll {
            0..50 => Outcome::Served,
            50..70 => Outcome::Miss,
            70..76 => Outcome::Errored,
            76..82 => Outcome::Full,
            82..88 => Outcome::Reset,
            88..94 => Outcome::ConnectFailed,
            _ => Outcome::TimedOut,
        };
        let limit = (now + timeout).min(expires);
        let (due, fate) = match fate {
            Outcome::TimedOut => (limit, fate),
            _ if now + delay >= limit => (limit, Outcome::TimedOut),
            _ => (now + delay, fate),
        };
        if let Some(job) = self.jobs.get_mut(&id.0) {
            job.attempts.push(Attempt {
                at: now,
                cache,
                ended: None,
                due: due.max(now + TICK),
                fate,
            });
        }
    }

    fn may_refuse(&self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get(&id.0) else {
            return false;
        };
        match self.idempotency(&job.request) {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => self.may_have_run(job).is_empty(),
        }
    }

    /// The balancer's own final answer.
    fn end(&mut self, id: RequestId) {
        let (now, slack) = (self.now, self.settings.rules.answer_slack);
        let Some(job) = self.jobs.get_mut(&id.0) else {
            return self.fault(format!("{id:?} was never given"));
        };
        job.answered += 1;
        let (again, late) = (job.over, now > job.request.expires_at + slack);
        job.over = true;
        if again || late {
            self.fault(format!(
                "{id:?} answered {}",
                if again { "twice" } else { "too late" }
            ));
        }
    }

    fn request(&mut self, id: u32) {
        let class = self.roll(self.settings.classes.len() as u64) as u8;
        let deadline = self.settings.classes[usize::from(class)].deadline;
        let expires = self.now + deadline * (40 + self.roll(61) as Micros) / 100;
        let (key, tenant) = (Some(Key(1 + self.roll(40))), TenantId(self.roll(3) as u32));
        let write = self.roll(8) == 0;
        let id = RequestId(id);
        let request = Request {
            id,
            class: ClassId(class),
            tenant,
            key,
            expires_at: expires,
            write,
            retry: false,
        };
        self.jobs.insert(
            id.0,
            Job {
                request,
                attempts: vec![],
                over: false,
                answered: 0,
            },
        );
        self.event(Event::Request(request));
    }

    fn list_news(&mut self) {
        let ids: Vec<CacheId> = self.lines.keys().copied().collect();
        let id = ids[self.roll(ids.len() as u64) as usize];
        let turn = self.roll(4);
        let Some(line) = self.lines.get_mut(&id).filter(|_| id != ORIGIN) else {
            return;
        };
        let state = [
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ][turn as usize];
        line.member.state = state;
        line.left = if state == EndpointState::Ready {
            None
        } else {
            line.left.or(Some(self.now))
        };
        if turn == 0 {
            line.member.incarnation = self.now - SECOND;
        }
        let update = [line.member];
        self.event(Event::EndpointList(EndpointListUpdate::Delta(&update)));
    }

    /// One tick: what ends or fires now, and clients that leave.
    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let mut due: Vec<(u32, usize)> = vec![];
        for (id, job) in &self.jobs {
            let ends = |a: &Attempt| a.ended.is_none() && a.due <= now;
            due.extend(
                (0..job.attempts.len())
                    .filter(|i| ends(&job.attempts[*i]))
                    .map(|i| (*id, i)),
            );
        }
        due.into_iter().for_each(|(id, i)| self.settle(id, i));
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
        let probed: Vec<CacheId> = self
            .probes
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, c)| *c)
            .collect();
        self.probes.retain(|(at, _)| *at > now);
        for cache in probed {
            let outcome = if self.roll(2) == 0 {
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
        let lost = |j: &Job| !j.over && now > j.request.expires_at + slack;
        let lost: Vec<u32> = self
            .jobs
            .iter()
            .filter(|(_, j)| lost(j))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.fault(format!("request {id} got no answer in time"));
            self.jobs.entry(id).and_modify(|j| j.over = true);
        }
    }

    fn settle(&mut self, id: u32, i: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let attempt = &mut job.attempts[i];
        let outcome = attempt.fate;
        attempt.ended = Some(outcome);
        let (cache, elapsed) = (attempt.cache, self.now - attempt.at);
        if outcome == Outcome::Served && !job.over {
            (job.over, job.answered) = (true, job.answered + 1);
        }
        let (request_finished, cache_status, load) =
            (job.over, CacheStatus::None, LoadReport::default());
        let (id, attempt) = (RequestId(id), i as u8);
        self.event(Event::AttemptFinished(AttemptResult {
            id,
            attempt,
            cache,
            outcome,
            request_finished,
            elapsed,
            cache_status,
            load,
        }));
    }
}

fn any_settings(aside_mode: bool, ask: bool, group: u8, probes: bool, tries: u8) -> Settings {
    let mut settings = if aside_mode {
        cache_aside()
    } else {
        read_through()
    };
    let group = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ][usize::from(group % 3)];
    let keyed = Idempotency::Keyed {
        scope: group,
        key_ttl: 250 * MS,
    };
    settings.classes = vec![
        class(Idempotency::Idempotent),
        class(keyed),
        class(Idempotency::NotIdempotent),
    ];
    settings.classes[1].late_weight = 0.5;
    settings.classes[2].late_weight = if tries > 3 { 0.5 } else { 0.0 };
    settings.discovery = if ask {
        DiscoveryMode::Poll
    } else {
        DiscoveryMode::Push
    };
    settings.limits.may_probe = probes;
    settings.limits.max_attempts = tries;
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
    let mut world = World::new(settings, &list, seed, slow);
    let mut id = 0;
    for _ in 0..300 {
        for _ in 0..world.roll(per_tick + 1) {
            id += 1;
            world.request(id);
        }
        if world.roll(12) == 0 {
            world.list_news();
        }
        world.tick();
    }
    (0..300).for_each(|_| world.tick());
    let open: Vec<u32> = world
        .jobs
        .iter()
        .filter(|(_, j)| j.answered != 1)
        .map(|(id, _)| *id)
        .collect();
    open.into_iter()
        .for_each(|id| world.fault(format!("request {id} did not get exactly one answer")));
    world.faults
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(11), failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_on_random_days(aside_mode: bool, ask: bool, group: u8, probes: bool, slow: bool,
                                     tries in 1u8..6, seed: u64, per_tick in 1u64..5,
                                     tier in 0usize..3, fleet in 0usize..4) {
        let mut settings = any_settings(aside_mode, ask, group, probes, tries);
        settings.balancers = [1, 3, 400][tier];
        let faults = play(settings, [0, 1, 6, 255][fleet], seed, slow, per_tick);
        prop_assert!(faults.is_empty(), "{:#?}", &faults[..faults.len().min(8)]);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut world = World::new(
            any_settings(true, true, 0, true, 4),
            &with_origin(ready_list(1..=6)),
            3,
            true,
        );
        for id in 0..400 {
            world.request(id);
            world.tick();
        }
        let sent = |j: &Job| {
            j.attempts
                .iter()
                .map(|a| (a.at, a.cache))
                .collect::<Vec<_>>()
        };
        world.jobs.values().map(sent).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
