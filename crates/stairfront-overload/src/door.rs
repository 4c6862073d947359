//! One question for each request: is it taken, or refused at once?
use crate::{Controller, DelaySample, Micros, PriorityThreshold, QueueDelayMonitor};

/// Longest advice where much is refused, and its shortest: the return is spread between half and one and a half of it.
const ADVICE_MS: f64 = 1_000.0;
const LEAST_ADVICE_MS: f64 = 100.0;

#[derive(Clone, Debug, Default)]
pub struct AdmissionSettings {
    /// How far behind the loop may stand.
    pub target: Micros,
    /// What each tenant is entitled to, in any unit.
    pub quotas: Vec<f64>,
    /// What a request of each class is worth.
    pub worths: Vec<f64>,
    /// Longest advice that clients honour, in milliseconds; 0 for none.
    pub most_advice_ms: f64,
    pub seed: u64,
}

/// What can be told of a request before anything is done for it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Position of its tenant; none for one that is not known.
    pub tenant: Option<usize>,
    pub class: usize,
    /// Marked by the client as a repetition.
    pub retry: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    Take,
    /// With advice in milliseconds, where advice is given.
    Refuse {
        after_ms: Option<u64>,
    },
}

pub struct AdmissionController {
    /// How late due timers are handled, and messages.
    timers: QueueDelayMonitor,
    messages: QueueDelayMonitor,
    controller: Controller,
    worth: PriorityThreshold,
    most_advice_ms: f64,
    draws: u64,
    worst: Micros,
}

impl AdmissionController {
    pub fn new(now: Micros, set: AdmissionSettings) -> Self {
        AdmissionController {
            timers: QueueDelayMonitor::new(now),
            messages: QueueDelayMonitor::new(now),
            controller: Controller::new(set.target),
            worth: PriorityThreshold::new(&set.quotas, &set.worths),
            most_advice_ms: set.most_advice_ms,
            draws: set.seed | 1,
            worst: 0,
        }
    }

    /// Other settings from now on; what was measured and counted stays.
    pub fn retune(&mut self, set: &AdmissionSettings) {
        self.controller.set_target(set.target);
        self.worth.retune(&set.quotas, &set.worths);
        self.most_advice_ms = set.most_advice_ms;
    }

    /// A message was handled so long after it was sent.
    pub fn message(&mut self, late: Micros) {
        self.messages.handled(late);
    }

    /// A timer was handled so long after it was due; to be called some times in each interval. Each source counts by
    /// itself: messages may be quick while the loop as a whole is slow to come round, and the other way about.
    pub fn timer(&mut self, now: Micros, late: Micros) {
        self.timers.handled(late);
        let Some(timers) = self.timers.reading(now) else {
            return;
        };
        let messages = self.messages.take(now);
        let standing = timers.standing.max(messages.standing);
        self.worst = timers.worst.max(messages.worst);
        self.controller.hear(DelaySample {
            standing,
            worst: self.worst,
            ..timers
        });
        self.worth.look(now);
    }

    /// Part of the requests that is taken now.
    pub fn part(&self) -> f64 {
        self.controller.part()
    }

    /// The furthest that the loop was behind in the last interval.
    pub fn worst(&self) -> Micros {
        self.worst
    }

    pub fn ask(&mut self, arrival: Arrival) -> AdmissionDecision {
        let Arrival {
            tenant,
            class,
            retry,
        } = arrival;
        let (excess_draw, line_draw) = (self.draw(), self.draw());
        let level = self.worth.level(tenant, class, retry, excess_draw);
        let part = self.controller.part();
        if part >= 1.0 || self.worth.is_within(part, level, line_draw) {
            return AdmissionDecision::Take;
        }
        AdmissionDecision::Refuse {
            after_ms: self.advice(part),
        }
    }

    /// The more is refused the later, and spread, so that those refused together do not come back together.
    fn advice(&mut self, part: f64) -> Option<u64> {
        let usual = LEAST_ADVICE_MS + (ADVICE_MS - LEAST_ADVICE_MS) * (1.0 - part);
        let after = (usual * (0.5 + self.draw())).min(self.most_advice_ms);
        (after >= 1.0).then_some(after as u64)
    }

    /// Between 0 and 1; splitmix64.
    fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.draws;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
