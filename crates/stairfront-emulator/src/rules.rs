//! The checker of the four rules: an observer that hears what clients sent and got and what servers began and ended,
//! from each of them by itself, and decides with figures. It takes nothing a balancer says of itself.
//!
//! What it hears may come out of order by up to `RuleLimits::horizon`: a request is judged so long after its end.
use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::client::Idempotency;
use stairfront_common::time::{to_ms, Micros, MS, SECOND};

/// A process that goes on after it was stopped takes its time to answer what lay there meanwhile.
const AFTER_SLEEP: Micros = 200 * MS;
/// Examples of broken rules that are kept.
const MOST_EXAMPLES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// A value; whether it was made for this request.
    Value {
        own: bool,
    },
    Rejected,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    Serving,
    /// Draining or gone.
    Draining,
}

/// What somebody saw, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A client sent a request to a balancer, which had taken it from then on.
    RequestSent {
        id: u64,
        class: u8,
        balancer: u16,
        deadline: Micros,
    },
    /// Its last byte of an answer came.
    Answered { id: u64, answer: ClientAnswer },
    /// A whole answer came that no request of the connection was owed.
    UnsolicitedAnswer { balancer: u16 },
    /// The connection ended without an answer.
    ConnectionLost { id: u64 },
    /// The client closed the connection.
    ClientClosed { id: u64 },
    /// A server had the last byte of an attempt, from a balancer.
    AttemptStarted {
        attempt: u64,
        id: u64,
        host: u16,
        balancer: u16,
    },
    /// It answered, or the balancer's end of the connection was closed.
    AttemptEnded {
        attempt: u64,
        id: u64,
        executed: bool,
    },
    /// A request took effect, as opposed to a repeat that was dropped.
    EffectApplied { id: u64 },
    /// Discovery's agent wrote to a balancer what a host is.
    Notified {
        balancer: u16,
        host: u16,
        state: AnnouncedState,
    },
    /// A host fell over while cold.
    HostCrashed { host: u16 },
    /// A cold host looked for a key that it lacked.
    ColdMiss { id: u64 },
    /// The origin stopped, pushed over; which part of its fetches of the last seconds came from cold misses is the
    /// checker's to find.
    OriginStopped,
    /// The group has said yes to a cordon of a host: from now on nothing new goes there, from that balancer or from any;
    /// or it may again.
    Cordoned {
        host: u16,
        balancer: Option<u16>,
        cordoned: bool,
    },
    /// A balancer's process is stopped, or goes on: what it held meanwhile is nobody's fault.
    BalancerPaused { balancer: u16, paused: bool },
    /// A balancer was killed: what it held is its clients' to retry. Also said of one that ended as told.
    BalancerStopped { balancer: u16 },
}

/// What the rules allow.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Each time limit is so much longer.
    pub slack: Micros,
    /// Rule 3: from when on nothing new.
    pub grace: Micros,
    pub max_attempts: usize,
    pub allow_overlap: bool,
    /// What repeats of each class do.
    pub classes: Vec<Idempotency>,
    /// How long after its end a request may still be spoken of.
    pub horizon: Micros,
    /// Part of cold misses among fetches from which a stop of the origin is theirs.
    pub max_cold_fraction: f64,
    /// Position of the origin among the hosts: drains do not befall it.
    pub origin: u16,
}

impl Default for RuleLimits {
    fn default() -> Self {
        RuleLimits {
            slack: 50 * MS,
            grace: 250 * MS,
            max_attempts: 3,
            allow_overlap: false,
            classes: vec![Idempotency::Idempotent],
            horizon: 3 * SECOND,
            max_cold_fraction: 0.5,
            origin: u16::MAX,
        }
    }
}

/// One rule: how often it was broken, and how.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Verdict {
    #[serde(rename = "broken")]
    pub violations: u64,
    pub examples: Vec<String>,
}

impl Verdict {
    fn breach(&mut self, text: impl FnOnce() -> String) {
        self.violations += 1;
        if self.examples.len() < MOST_EXAMPLES {
            self.examples.push(text());
        }
    }
}

/// The figures that the rules were decided by.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct RuleMetrics {
    pub requests: u64,
    pub answered: u64,
    /// Requests that ended with their balancer, or whose client left.
    pub excused: u64,
    /// The latest answer past its client's time, in milliseconds (below 0: before).
    #[serde(rename = "latest_ms")]
    pub max_lateness_ms: f64,
    pub late: u64,
    pub attempts: u64,
    /// Attempts beyond the first of their request at a cache, and fetches beyond the first.
    #[serde(rename = "repeats")]
    pub retries: u64,
    #[serde(rename = "most_attempts")]
    pub max_attempts: u64,
    /// The longest that two attempts of one request were out together, in milliseconds.
    #[serde(rename = "longest_overlap_ms")]
    pub max_overlap_ms: f64,
    /// The most effects of a request that may have only one.
    #[serde(rename = "most_effects")]
    pub max_effects: u64,
    #[serde(rename = "notices")]
    pub drain_notices: u64,
    /// The latest new attempt after a balancer was told that its host leaves, in milliseconds.
    #[serde(rename = "latest_to_leaving_ms")]
    pub max_after_drain_ms: f64,
    /// The latest new attempt after a yes of the group to its host's cordon, in milliseconds.
    #[serde(rename = "latest_to_barred_ms")]
    pub max_after_cordon_ms: f64,
    #[serde(rename = "fell_over")]
    pub crashed_hosts: u64,
    pub origin_stops: u64,
    /// The largest part of cold misses among the fetches before a stop.
    #[serde(rename = "cold_part")]
    pub max_cold_fraction: f64,
}

#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct RuleReport {
    /// 1: one final answer in the client's time. 2: no effect twice, no attempts together. 3: nothing new to a leaving
    /// server. 4: no cold server, nor the origin through cold misses, pushed over.
    pub rules: [Verdict; 4],
    #[serde(rename = "figures")]
    pub metrics: RuleMetrics,
}

impl RuleReport {
    pub fn holds(&self) -> bool {
        self.rules.iter().all(|rule| rule.violations == 0)
    }
}

#[derive(Clone, Copy)]
struct Attempt {
    number: u64,
    host: u16,
    began: Micros,
    ended: Option<Micros>,
    ran: bool,
}

#[derive(Default)]
struct Case {
    sent: Option<(Micros, u8, u16, Micros)>,
    answers: Vec<(Micros, ClientAnswer)>,
    /// The client has left, or the connection was lost, then.
    left: Option<Micros>,
    lost: Option<Micros>,
    attempts: Vec<Attempt>,
    effects: u32,
    last: Micros,
}

pub struct RuleChecker {
    limits: RuleLimits,
    cases: FxHashMap<u64, Case>,
    /// Requests by when they are looked at again, oldest first.
    order: VecDeque<(Micros, u64)>,
    now: Micros,
    /// What each balancer was last told of each host, and when; a leaving one from then on.
    leaving: BTreeMap<(u16, u16), Vec<(Micros, AnnouncedState)>>,
    gone: FxHashMap<u16, Vec<Micros>>,
    /// What was said of cordons by the group, in order of time.
    barred: Vec<(Micros, u16, Option<u16>, bool)>,
    /// From when until when balancers stood still.
    still: FxHashMap<u16, Vec<(Micros, Micros)>>,
    /// Lately begun fetches, and ids whose miss was at a cold host.
    fetches: VecDeque<(Micros, u64)>,
    cold: FxHashMap<u64, Micros>,
    began: Vec<(Micros, u16, u16)>,
    report: RuleReport,
}

impl RuleChecker {
    pub fn new(limits: RuleLimits) -> Self {
        let figures = RuleMetrics {
            max_lateness_ms: f64::NEG_INFINITY,
            ..RuleMetrics::default()
        };
        RuleChecker {
            limits,
            cases: FxHashMap::default(),
            order: VecDeque::new(),
            now: 0,
            leaving: BTreeMap::new(),
            gone: FxHashMap::default(),
            barred: Vec::new(),
            still: FxHashMap::default(),
            fetches: VecDeque::new(),
            cold: FxHashMap::default(),
            began: Vec::new(),
            report: RuleReport {
                metrics: figures,
                ..RuleReport::default()
            },
        }
    }

    fn case(&mut self, id: u64, at: Micros) -> &mut Case {
        let order = &mut self.order;
        let case = self.cases.entry(id).or_insert_with(|| {
            order.push_back((at, id));
            Case::default()
        });
        case.last = case.last.max(at);
        case
    }

    pub fn observe(&mut self, at: Micros, seen: Observation) {
        self.now = self.now.max(at);
        match seen {
            Observation::RequestSent {
                id,
                class,
                balancer,
                deadline,
            } => {
                self.case(id, at).sent = Some((at, class, balancer, deadline));
            }
            Observation::Answered { id, answer } => self.case(id, at).answers.push((at, answer)),
            Observation::UnsolicitedAnswer { balancer } => self.report.rules[0].breach(|| {
                format!(
                    "{:.1} ms: balancer {balancer} sent an answer that nobody was owed",
                    to_ms(at)
                )
            }),
            Observation::ConnectionLost { id } => self.case(id, at).lost = Some(at),
            Observation::ClientClosed { id } => self.case(id, at).left = Some(at),
            Observation::AttemptStarted {
                attempt,
                id,
                host,
                balancer,
            } => {
                if host == self.limits.origin {
                    self.fetches.push_back((at, id));
                } else {
                    self.began.push((at, balancer, host));
                }
                // An end may have come before its beginning.
                let case = self.case(id, at);
                match case
                    .attempts
                    .iter_mut()
                    .find(|known| known.number == attempt)
                {
                    Some(known) => (known.began, known.host) = (at, host),
                    None => case.attempts.push(Attempt {
                        number: attempt,
                        host,
                        began: at,
                        ended: None,
                        ran: false,
                    }),
                }
            }
            Observation::AttemptEnded {
                attempt,
                id,
                executed: ran,
            } => {
                let case = self.case(id, at);
                match case
                    .attempts
                    .iter_mut()
                    .find(|known| known.number == attempt)
                {
                    Some(known) => (known.ended, known.ran) = (Some(at), ran),
                    None => {
                        let (host, ended) = (u16::MAX, Some(at));
                        case.attempts.push(Attempt {
                            number: attempt,
                            host,
                            began: at,
                            ended,
                            ran,
                        });
                    }
                }
            }
            Observation::EffectApplied { id } => self.case(id, at).effects += 1,
            Observation::Notified {
                balancer,
                host,
                state: told,
            } => {
                self.report.metrics.drain_notices += u64::from(told == AnnouncedState::Draining);
                self.leaving
                    .entry((balancer, host))
                    .or_default()
                    .push((at, told));
            }
            Observation::HostCrashed { host } => {
                self.report.metrics.crashed_hosts += 1;
                self.report.rules[3]
                    .breach(|| format!("{:.1} ms: cold host {host} fell over", to_ms(at)));
            }
            Observation::ColdMiss { id } => {
                self.cold.insert(id, at);
            }
            Observation::OriginStopped => self.origin_stopped(at),
            Observation::Cordoned {
                host,
                balancer,
                cordoned: on,
            } => self.barred.push((at, host, balancer, on)),
            Observation::BalancerPaused {
                balancer,
                paused: true,
            } => {
                self.still
                    .entry(balancer)
                    .or_default()
                    .push((at, Micros::MAX));
            }
            Observation::BalancerPaused {
                balancer,
                paused: false,
            } => {
                if let Some(last) = self
                    .still
                    .get_mut(&balancer)
                    .and_then(|times| times.last_mut())
                {
                    last.1 = at;
                }
            }
            Observation::BalancerStopped { balancer } => {
                self.gone.entry(balancer).or_default().push(at)
            }
        }
    }

    fn origin_stopped(&mut self, at: Micros) {
        let cold = self
            .fetches
            .iter()
            .filter(|(_, id)| self.cold.contains_key(id))
            .count();
        let part = cold as f64 / self.fetches.len().max(1) as f64;
        let figures = &mut self.report.metrics;
        figures.origin_stops += 1;
        figures.max_cold_fraction = figures.max_cold_fraction.max(part);
        if part >= self.limits.max_cold_fraction {
            self.report.rules[3].breach(|| {
                format!(
                    "{:.1} ms: the origin stopped, {part:.2} of its fetches from cold misses",
                    to_ms(at)
                )
            });
        }
    }

    /// Judges all requests that nothing more can be heard of; to be called now and then.
    pub fn judge_finished(&mut self) {
        self.settle_before(self.now - self.limits.horizon);
    }

    /// Judges everything and reports.
    pub fn finish(mut self) -> RuleReport {
        self.settle_before(Micros::MAX);
        if self.report.metrics.requests == 0 {
            self.report.metrics.max_lateness_ms = 0.0;
        }
        self.report
    }

    fn settle_before(&mut self, then: Micros) {
        let began = std::mem::take(&mut self.began);
        for (at, balancer, host) in began {
            if at < then {
                self.judge_drain(at, balancer, host);
                self.judge_cordon(at, balancer, host);
            } else {
                self.began.push((at, balancer, host));
            }
        }
        while self.fetches.front().is_some_and(|(at, _)| *at < then) {
            self.fetches.pop_front();
        }
        self.cold.retain(|_, at| *at >= then);
        let mut later = VecDeque::new();
        while self.order.front().is_some_and(|(at, _)| *at < then) {
            let Some((_, id)) = self.order.pop_front() else {
                break;
            };
            let Some(case) = self.cases.get(&id) else {
                continue;
            };
            let deadline = case.sent.map_or(0, |(.., deadline)| deadline);
            let open = case.answers.is_empty() && case.lost.is_none() && case.left.is_none();
            let busy = case.attempts.iter().any(|attempt| attempt.ended.is_none());
            // Danger: judged early, an answer or an attempt that comes late would be a case of its own.
            let until = case.last.max(if open || busy {
                deadline + self.limits.horizon
            } else {
                0
            });
            if until < then {
                if let Some(case) = self.cases.remove(&id) {
                    self.judge(id, case);
                }
            } else {
                later.push_back((until.min(Micros::MAX - 1), id));
            }
        }
        self.order.extend(later);
    }

    fn judge(&mut self, id: u64, case: Case) {
        let Some((sent, class, balancer, deadline)) = case.sent else {
            if !case.attempts.is_empty() {
                self.report.rules[1]
                    .breach(|| format!("{id:016x}: came to a server, and no client sent it"));
            }
            return;
        };
        self.report.metrics.requests += 1;
        self.judge_answers(id, &case, (sent, balancer, deadline));
        self.judge_effects(id, class, &case);
    }

    fn judge_answers(
        &mut self,
        id: u64,
        case: &Case,
        (sent, balancer, deadline): (Micros, u16, Micros),
    ) {
        // Killed or ended while it held the request; a connection that crosses the end of a stop counts too.
        let open_until = case.lost.or(case.left).unwrap_or(deadline) + self.limits.slack;
        let gone = self.gone.get(&balancer).into_iter().flatten();
        let ended = gone
            .into_iter()
            .any(|at| (sent - self.limits.slack..=open_until).contains(at));
        let still = self.still.get(&balancer).into_iter().flatten();
        let stood = still
            .into_iter()
            .any(|(from, until)| *from <= open_until && sent <= until.saturating_add(AFTER_SLEEP));
        let ended = ended || stood;
        let RuleReport { rules, metrics } = &mut self.report;
        metrics.answered += u64::from(!case.answers.is_empty());
        match &case.answers[..] {
            [] if ended || case.left.is_some_and(|left| left <= deadline) => metrics.excused += 1,
            [] => rules[0].breach(|| match case.lost {
                Some(at) => format!("{id:016x}: lost with its connection after {:.1} ms", to_ms(at - sent)),
                None => format!(
                    "{id:016x}: no answer in its {:.1} ms, sent to b{balancer} at {:.1}; its attempts: {:?}",
                    to_ms(deadline - sent),
                    to_ms(sent),
                    case.attempts.iter().map(|a| (a.host, a.began, a.ended)).collect::<Vec<_>>()
                ),
            }),
            [(at, answer), more @ ..] => {
                let past = to_ms(at - deadline);
                metrics.max_lateness_ms = metrics.max_lateness_ms.max(past);
                if !more.is_empty() {
                    rules[0].breach(|| format!("{id:016x}: {} answers", more.len() + 1));
                }
                if *answer == (ClientAnswer::Value { own: false }) {
                    rules[0].breach(|| format!("{id:016x}: served with what was made for another request"));
                }
                if *at > deadline + self.limits.slack && !stood {
                    metrics.late += 1;
                    rules[0].breach(|| format!("{id:016x}: answered {past:.1} ms past its time"));
                }
            }
        }
    }

    fn judge_effects(&mut self, id: u64, class: u8, case: &Case) {
        let mut attempts = case.attempts.clone();
        attempts.sort_by_key(|attempt| attempt.began);
        let RuleReport { rules, metrics } = &mut self.report;
        metrics.attempts += attempts.len() as u64;
        let origin = attempts
            .iter()
            .filter(|attempt| attempt.host == self.limits.origin)
            .count();
        let caches = attempts.len() - origin;
        metrics.retries += (origin.saturating_sub(1) + caches.saturating_sub(1)) as u64;
        metrics.max_attempts = metrics.max_attempts.max(attempts.len() as u64);
        if attempts.len() > self.limits.max_attempts {
            rules[1].breach(|| format!("{id:016x}: {} attempts", attempts.len()));
        }
        for pair in attempts.windows(2) {
            // However short the second was: the first was to be over before it.
            let together = pair[0]
                .ended
                .map_or(f64::INFINITY, |ended| to_ms(ended - pair[1].began));
            metrics.max_overlap_ms = metrics.max_overlap_ms.max(together.min(1e9));
            if !self.limits.allow_overlap && together > to_ms(self.limits.slack) {
                rules[1].breach(|| {
                    format!(
                        "{id:016x}: at hosts {} and {} for {together:.1} ms together",
                        pair[0].host, pair[1].host
                    )
                });
            }
        }
        let repeats = self
            .limits
            .classes
            .get(usize::from(class))
            .copied()
            .unwrap_or_default();
        if repeats == Idempotency::Idempotent {
            return;
        }
        let ran = attempts.iter().filter(|attempt| attempt.ran).count() as u64;
        let effects = match repeats {
            Idempotency::NotIdempotent => ran.max(u64::from(case.effects)),
            _ => u64::from(case.effects),
        };
        metrics.max_effects = metrics.max_effects.max(effects);
        if effects > 1 {
            rules[1].breach(|| format!("{id:016x}: took effect {effects} times"));
        }
        // A refusal tells the client that a retry is harmless.
        let refused = case
            .answers
            .iter()
            .any(|(_, answer)| *answer == ClientAnswer::Rejected);
        if repeats == Idempotency::NotIdempotent && refused && ran > 0 {
            rules[1].breach(|| format!("{id:016x}: refused after it had run"));
        }
    }

    /// After a yes of the group nothing begins there: it was said once every balancer held it.
    fn judge_cordon(&mut self, at: Micros, balancer: u16, host: u16) {
        let said = |(_, of, whom, _): &&(Micros, u16, Option<u16>, bool)| {
            *of == host && whom.is_none_or(|whom| whom == balancer)
        };
        let before = self
            .barred
            .iter()
            .filter(said)
            .rfind(|(said, ..)| *said <= at);
        let Some((since, .., true)) = before.copied() else {
            return;
        };
        let after = to_ms(at - since);
        self.report.metrics.max_after_cordon_ms =
            self.report.metrics.max_after_cordon_ms.max(after);
        if at - since > self.limits.slack {
            self.report.rules[2].breach(|| {
                format!("{:.1} ms: host {host} got something new from balancer {balancer} {after:.1} ms after the \
                         group's yes", to_ms(at))
            });
        }
    }

    fn judge_drain(&mut self, at: Micros, balancer: u16, host: u16) {
        let Some(words) = self.leaving.get(&(balancer, host)) else {
            return;
        };
        let before = words.iter().filter(|(said, _)| *said <= at);
        // The first of the words in a row that say it leaves: repeating them gives no new grace.
        let mut since = None;
        for (said, told) in before {
            since = match told {
                AnnouncedState::Draining => since.or(Some(*said)),
                AnnouncedState::Serving => None,
            };
        }
        let Some(since) = since else { return };
        let after = to_ms(at - since);
        let figures = &mut self.report.metrics;
        figures.max_after_drain_ms = figures.max_after_drain_ms.max(after);
        if at - since > self.limits.grace + self.limits.slack {
            self.report.rules[2].breach(|| {
                format!("host {host} got something new {after:.1} ms after balancer {balancer} was told")
            });
        }
    }
}
