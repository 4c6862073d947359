//! The limits and the findings of the checker.
use serde::Serialize;
use stairfront_common::time::{Micros, MS, SECOND};

use crate::client::Idempotency;

/// Most violations of a rule that are described.
const MAX_EXAMPLES: usize = 8;

/// The limits of the rules.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// By how much each limit in time may be exceeded.
    pub slack: Micros,
    /// Time from a notification that a host drains until nothing new may be sent to it.
    pub grace: Micros,
    /// Most attempts of a request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight together, as with hedged requests.
    pub allow_overlap: bool,
    /// Whether the requests of each class may be repeated.
    pub classes: Vec<Idempotency>,
    /// Time from the last observation of a request after which it is judged. Observations may come out of order by as
    /// much.
    pub horizon: Micros,
    /// Fraction of cold misses among the origin's requests from which on they count as the cause of its stop.
    pub max_cold_fraction: f64,
    /// Position of the origin among the hosts. It never drains.
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

/// The four rules, in the order of [`RuleReport::rules`].
#[derive(Clone, Copy, Debug)]
pub(super) enum Rule {
    /// Each request gets one final answer within its deadline.
    OneAnswer,
    /// No request takes effect twice, and no two attempts of one are in flight together.
    OneEffect,
    /// Nothing new is sent to a draining or cordoned host.
    NothingToDraining,
    /// No cold host is overloaded, and the origin not by cold misses.
    NoOverload,
}

/// How often a rule was broken, and how.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Verdict {
    /// Number of violations.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

impl Verdict {
    fn add(&mut self, text: impl FnOnce() -> String) {
        self.violations += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(text());
        }
    }
}

/// The measurements of a run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct RuleMetrics {
    /// Requests.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests without an answer whose balancer ended or whose client closed the connection.
    pub excused: u64,
    /// Longest time from a deadline to the answer, in milliseconds; below 0 where all answers were in time.
    #[serde(rename = "latest_ms")]
    pub max_lateness_ms: f64,
    /// Answers after the deadline.
    pub late: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts at a cache host beyond the first of their request, and at the origin beyond the first.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Most attempts of a request.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u64,
    /// Longest time that two attempts of one request were in flight together, in milliseconds.
    #[serde(rename = "longest_overlap_ms")]
    pub max_overlap_ms: f64,
    /// Most effects of a request that may have only one.
    #[serde(rename = "most_effects")]
    pub max_effects: u64,
    /// Notifications that a host drains.
    #[serde(rename = "notices")]
    pub drain_notices: u64,
    /// Longest time from a notification that a host drains to a new attempt there, in milliseconds.
    #[serde(rename = "latest_to_leaving_ms")]
    pub max_after_drain_ms: f64,
    /// Longest time from the confirmation of a host's cordon to a new attempt there, in milliseconds.
    #[serde(rename = "latest_to_barred_ms")]
    pub max_after_cordon_ms: f64,
    /// Hosts that crashed while cold.
    #[serde(rename = "fell_over")]
    pub crashed_hosts: u64,
    /// Stops of the origin.
    pub origin_stops: u64,
    /// Largest fraction of cold misses among the origin's requests before a stop.
    #[serde(rename = "cold_part")]
    pub max_cold_fraction: f64,
}

/// The findings of the checker.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct RuleReport {
    /// The verdicts: one answer within the deadline; no second effect and no attempts together; nothing new to a draining
    /// host; no overload of a cold host, or of the origin by cold misses.
    pub rules: [Verdict; 4],
    /// The measurements.
    #[serde(rename = "figures")]
    pub metrics: RuleMetrics,
}

impl RuleReport {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.rules.iter().all(|rule| rule.violations == 0)
    }

    pub(super) fn add_violation(&mut self, rule: Rule, text: impl FnOnce() -> String) {
        self.rules[rule as usize].add(text);
    }
}
