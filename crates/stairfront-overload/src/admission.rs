//! One question for each request: is it admitted, or rejected at once?
use stairfront_common::time::Micros;

use crate::{FractionController, PriorityThreshold, QueueDelayMonitor};

/// Retry advice where almost everything is rejected, in milliseconds.
const MAX_MEAN_ADVICE_MS: f64 = 1_000.0;
/// Retry advice where almost nothing is rejected, in milliseconds.
const MIN_MEAN_ADVICE_MS: f64 = 100.0;
/// The advice is spread evenly from this multiple of its mean, over a range of once its mean.
const MIN_ADVICE_MULTIPLE: f64 = 0.5;

/// Settings of an [`AdmissionController`].
#[derive(Clone, Debug, Default)]
pub struct AdmissionSettings {
    /// Delay of the event loop that may stand for a whole interval, in microseconds.
    pub target: Micros,
    /// Quota of each tenant, in any unit.
    pub quotas: Vec<f64>,
    /// Priority weight of each class.
    pub class_weights: Vec<f64>,
    /// Longest retry advice that clients honour, in milliseconds; 0 where none is conveyed.
    pub max_advice_ms: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// The properties of a request that are known before any work is done for it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Position of its tenant; `None` for one that is not known.
    pub tenant: Option<usize>,
    /// Position of its class.
    pub class: usize,
    /// Marked by the client as a retry.
    pub retry: bool,
}

/// The answer for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Handle it.
    Admit,
    /// Reject it at once.
    Reject {
        /// Retry advice in milliseconds, where advice is given.
        retry_after_ms: Option<u64>,
    },
}

/// Decides for each request whether a balancer that may itself be overloaded takes it on.
pub struct AdmissionController {
    timer_delays: QueueDelayMonitor,
    message_delays: QueueDelayMonitor,
    fraction: FractionController,
    threshold: PriorityThreshold,
    max_advice_ms: f64,
    random_state: u64,
    max_delay: Micros,
}

impl AdmissionController {
    /// A controller that admits everything, from now on.
    #[must_use]
    pub fn new(now: Micros, settings: AdmissionSettings) -> Self {
        AdmissionController {
            timer_delays: QueueDelayMonitor::new(now),
            message_delays: QueueDelayMonitor::new(now),
            fraction: FractionController::new(settings.target),
            threshold: PriorityThreshold::new(&settings.quotas, &settings.class_weights),
            max_advice_ms: settings.max_advice_ms,
            random_state: settings.seed | 1,
            max_delay: 0,
        }
    }

    /// Applies other settings, apart from the seed; what was measured and counted stays.
    pub fn update_settings(&mut self, settings: &AdmissionSettings) {
        self.fraction.set_target(settings.target);
        self.threshold
            .set_shares(&settings.quotas, &settings.class_weights);
        self.max_advice_ms = settings.max_advice_ms;
    }

    /// Records the time from sending a message to handling it, in microseconds.
    pub fn record_message_delay(&mut self, delay: Micros) {
        self.message_delays.record(delay);
    }

    /// Records how late a timer was handled, in microseconds; to be called several times in each interval, since it also
    /// ends intervals. Timers and messages count apart: messages may be quick while the loop as a whole is slow to come
    /// round, and the other way about.
    pub fn record_timer_delay(&mut self, now: Micros, delay: Micros) {
        self.timer_delays.record(delay);
        let Some(mut sample) = self.timer_delays.take_complete(now) else {
            return;
        };
        let messages = self.message_delays.take(now);
        sample.min = sample.min.max(messages.min);
        sample.max = sample.max.max(messages.max);
        self.max_delay = sample.max;
        self.fraction.update(sample);
        self.threshold.update(now);
    }

    /// Fraction of the requests that is admitted now, at most 1.
    #[must_use]
    pub fn admitted_fraction(&self) -> f64 {
        self.fraction.fraction()
    }

    /// The largest delay in the last complete interval, in microseconds.
    #[must_use]
    pub fn max_delay(&self) -> Micros {
        self.max_delay
    }

    /// Counts a request and decides whether it is admitted.
    pub fn admit(&mut self, arrival: Arrival) -> AdmissionDecision {
        let quota_draw = self.draw();
        let threshold_draw = self.draw();
        let level = self
            .threshold
            .count(arrival.tenant, arrival.class, arrival.retry, quota_draw);
        let fraction = self.fraction.fraction();
        if fraction >= 1.0 || self.threshold.admits(fraction, level, threshold_draw) {
            return AdmissionDecision::Admit;
        }
        AdmissionDecision::Reject {
            retry_after_ms: self.advice(fraction),
        }
    }

    /// Retry advice: the longer the more is rejected, and spread, so that requests rejected together do not come back
    /// together.
    fn advice(&mut self, fraction: f64) -> Option<u64> {
        let mean =
            MIN_MEAN_ADVICE_MS + (MAX_MEAN_ADVICE_MS - MIN_MEAN_ADVICE_MS) * (1.0 - fraction);
        let advice = (mean * (MIN_ADVICE_MULTIPLE + self.draw())).min(self.max_advice_ms);
        (advice >= 1.0).then_some(advice as u64)
    }

    /// A number from 0 to below 1. SplitMix64: two draws are made for each request, at a cost of a few nanoseconds.
    fn draw(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
