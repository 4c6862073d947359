//! The checker of the four rules: an observer that is told what clients sent and received and what servers began and
//! ended, by each of them independently, and decides whether the rules held. It uses nothing that a balancer reports of
//! itself.
//!
//! Observations may come out of order by up to [`RuleLimits::horizon`]: a request is judged that long after its end.
mod judgement;
mod observation;
mod record;
mod report;

use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;
use stairfront_common::time::{to_ms, Micros};

pub use self::observation::{AnnouncedState, ClientAnswer, Observation};
pub use self::report::{RuleLimits, RuleMetrics, RuleReport, Verdict};

use self::record::{ReceivedAnswer, RequestRecord, SentRequest};
use self::report::Rule;

/// A time in which a balancer was paused.
#[derive(Clone, Copy, Debug)]
struct Pause {
    from: Micros,
    until: Micros,
}

/// A host's state as it was announced to a balancer.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    at: Micros,
    state: AnnouncedState,
}

/// The confirmation of a cordon, or the begin of its removal.
#[derive(Clone, Copy, Debug)]
struct CordonChange {
    at: Micros,
    host: u16,
    /// None for all balancers.
    balancer: Option<u16>,
    cordoned: bool,
}

/// An attempt that began at a cache host.
#[derive(Clone, Copy, Debug)]
struct AttemptStart {
    at: Micros,
    balancer: u16,
    host: u16,
}

/// A request of the origin.
#[derive(Clone, Copy, Debug)]
struct OriginRequest {
    at: Micros,
    id: u64,
}

/// When a request is judged, if nothing more is observed of it.
#[derive(Clone, Copy, Debug)]
struct PendingJudgement {
    at: Micros,
    id: u64,
}

/// The checker of the four rules.
pub struct RuleChecker {
    limits: RuleLimits,
    requests: FxHashMap<u64, RequestRecord>,
    /// Roughly in order of time.
    pending: VecDeque<PendingJudgement>,
    now: Micros,
    /// Announcements by balancer and host.
    announcements: BTreeMap<(u16, u16), Vec<Announcement>>,
    /// When balancers ended.
    stops: FxHashMap<u16, Vec<Micros>>,
    cordon_changes: Vec<CordonChange>,
    pauses: FxHashMap<u16, Vec<Pause>>,
    /// The origin's requests within the horizon.
    origin_requests: VecDeque<OriginRequest>,
    /// Requests that missed at a cold host, and when.
    cold_misses: FxHashMap<u64, Micros>,
    /// Attempts at cache hosts that are not judged yet.
    attempt_starts: Vec<AttemptStart>,
    report: RuleReport,
}

impl RuleChecker {
    /// A checker that has observed nothing.
    pub fn new(limits: RuleLimits) -> Self {
        let metrics = RuleMetrics {
            max_lateness_ms: f64::NEG_INFINITY,
            ..RuleMetrics::default()
        };
        RuleChecker {
            limits,
            requests: FxHashMap::default(),
            pending: VecDeque::new(),
            now: 0,
            announcements: BTreeMap::new(),
            stops: FxHashMap::default(),
            cordon_changes: Vec::new(),
            pauses: FxHashMap::default(),
            origin_requests: VecDeque::new(),
            cold_misses: FxHashMap::default(),
            attempt_starts: Vec::new(),
            report: RuleReport {
                metrics,
                ..RuleReport::default()
            },
        }
    }

    fn request(&mut self, id: u64, at: Micros) -> &mut RequestRecord {
        let pending = &mut self.pending;
        let request = self.requests.entry(id).or_insert_with(|| {
            pending.push_back(PendingJudgement { at, id });
            RequestRecord::default()
        });
        request.last_observed = request.last_observed.max(at);
        request
    }

    /// Takes an observation.
    pub fn observe(&mut self, at: Micros, observation: Observation) {
        self.now = self.now.max(at);
        match observation {
            Observation::RequestSent { .. }
            | Observation::Answered { .. }
            | Observation::ConnectionLost { .. }
            | Observation::ClientClosed { .. }
            | Observation::UnsolicitedAnswer { .. } => self.observe_client(at, observation),
            Observation::AttemptStarted { .. }
            | Observation::AttemptEnded { .. }
            | Observation::EffectApplied { .. }
            | Observation::HostCrashed { .. }
            | Observation::ColdMiss { .. }
            | Observation::OriginStopped => self.observe_server(at, observation),
            Observation::Notified { .. }
            | Observation::Cordoned { .. }
            | Observation::BalancerPaused { .. }
            | Observation::BalancerStopped { .. } => self.observe_control(at, observation),
        }
    }

    fn observe_client(&mut self, at: Micros, observation: Observation) {
        match observation {
            Observation::RequestSent {
                id,
                class,
                balancer,
                deadline,
            } => {
                self.request(id, at).sent = Some(SentRequest {
                    at,
                    class,
                    balancer,
                    deadline,
                });
            }
            Observation::Answered { id, answer } => {
                let answers = &mut self.request(id, at).answers;
                answers.push(ReceivedAnswer { at, answer });
            }
            Observation::ConnectionLost { id } => self.request(id, at).lost = Some(at),
            Observation::ClientClosed { id } => self.request(id, at).closed = Some(at),
            Observation::UnsolicitedAnswer { balancer } => {
                self.report.add_violation(Rule::OneAnswer, || {
                    format!(
                        "{:.1} ms: balancer {balancer} sent an answer that nobody was owed",
                        to_ms(at)
                    )
                });
            }
            _ => {}
        }
    }

    fn observe_server(&mut self, at: Micros, observation: Observation) {
        match observation {
            Observation::AttemptStarted {
                attempt,
                id,
                host,
                balancer,
            } => {
                if host == self.limits.origin {
                    self.origin_requests.push_back(OriginRequest { at, id });
                } else {
                    self.attempt_starts
                        .push(AttemptStart { at, balancer, host });
                }
                self.request(id, at).start_attempt(attempt, host, at);
            }
            Observation::AttemptEnded {
                attempt,
                id,
                executed,
            } => self.request(id, at).end_attempt(attempt, executed, at),
            Observation::EffectApplied { id } => self.request(id, at).effects += 1,
            Observation::HostCrashed { host } => {
                self.report.metrics.crashed_hosts += 1;
                self.report.add_violation(Rule::NoOverload, || {
                    format!("{:.1} ms: cold host {host} fell over", to_ms(at))
                });
            }
            Observation::ColdMiss { id } => {
                self.cold_misses.insert(id, at);
            }
            Observation::OriginStopped => self.judge_origin_stop(at),
            _ => {}
        }
    }

    fn observe_control(&mut self, at: Micros, observation: Observation) {
        match observation {
            Observation::Notified {
                balancer,
                host,
                state,
            } => {
                let drains = state == AnnouncedState::Draining;
                self.report.metrics.drain_notices += u64::from(drains);
                self.announcements
                    .entry((balancer, host))
                    .or_default()
                    .push(Announcement { at, state });
            }
            Observation::Cordoned {
                host,
                balancer,
                cordoned,
            } => self.cordon_changes.push(CordonChange {
                at,
                host,
                balancer,
                cordoned,
            }),
            Observation::BalancerPaused { balancer, paused } => {
                self.observe_pause(at, balancer, paused);
            }
            Observation::BalancerStopped { balancer } => {
                self.stops.entry(balancer).or_default().push(at);
            }
            _ => {}
        }
    }

    fn observe_pause(&mut self, at: Micros, balancer: u16, paused: bool) {
        if paused {
            let until = Micros::MAX;
            let pauses = self.pauses.entry(balancer).or_default();
            pauses.push(Pause { from: at, until });
        } else if let Some(pauses) = self.pauses.get_mut(&balancer) {
            if let Some(last) = pauses.last_mut() {
                last.until = at;
            }
        }
    }

    /// Judges all requests of which nothing more can be observed; to be called from time to time.
    pub fn judge_finished(&mut self) {
        self.judge_before(self.now - self.limits.horizon);
    }

    /// Judges everything and reports.
    pub fn finish(mut self) -> RuleReport {
        self.judge_before(Micros::MAX);
        if self.report.metrics.requests == 0 {
            self.report.metrics.max_lateness_ms = 0.0;
        }
        self.report
    }

    /// Judges what nothing more can be observed of after `limit`.
    fn judge_before(&mut self, limit: Micros) {
        for start in std::mem::take(&mut self.attempt_starts) {
            if start.at < limit {
                self.judge_drain(start);
                self.judge_cordon(start);
            } else {
                self.attempt_starts.push(start);
            }
        }
        while let Some(request) = self.origin_requests.pop_front() {
            if request.at >= limit {
                self.origin_requests.push_front(request);
                break;
            }
        }
        self.cold_misses.retain(|_, at| *at >= limit);
        self.judge_requests_before(limit);
    }

    fn judge_requests_before(&mut self, limit: Micros) {
        let mut later = VecDeque::new();
        while let Some(pending) = self.pending.pop_front() {
            if pending.at >= limit {
                self.pending.push_front(pending);
                break;
            }
            let id = pending.id;
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let until = request.open_until(self.limits.horizon);
            if until >= limit {
                let at = until.min(Micros::MAX - 1);
                later.push_back(PendingJudgement { at, id });
            } else if let Some(request) = self.requests.remove(&id) {
                self.judge_request(id, &request);
            }
        }
        self.pending.extend(later);
    }
}
