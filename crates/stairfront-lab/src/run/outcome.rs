//! The figures of one run.
use hdrhistogram::Histogram;
use serde::Serialize;
use stairfront_common::time::{Micros, SECOND};
use stairfront_emulator::faults::FaultInterval;
use stairfront_emulator::rules::RuleReport;

use crate::balancer_group::GroupOutcome;
use crate::event_log::{RecordedRun, INTERVAL};
use crate::experiment::Experiment;
use crate::fleet::ServerReport;
use crate::process::BalancerProcess;
use crate::summary::{Counts, Interval, Summary};

/// The results of one tenant.
#[derive(Clone, Debug, Serialize)]
pub struct TenantSummary {
    /// Name of the tenant.
    pub name: String,
    /// Part of its requests that was served within the objective.
    #[serde(rename = "on_time")]
    pub in_time_ratio: f64,
    /// Its counts.
    #[serde(flatten)]
    pub counts: Counts,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Latency {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }
}

/// One interval of a run, for plots. Counts are a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalSample {
    /// Begin of the interval, in seconds.
    pub at_s: f64,
    /// Attempts that were served.
    pub served: f64,
    /// Attempts that were rejected.
    pub rejected: f64,
    /// Attempts with any other end.
    pub other: f64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Attempts at the origin.
    pub fetches: f64,
}

/// All figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the variant.
    pub variant: String,
    /// Seed of the run.
    pub seed: u64,
    /// Requests a second with every tenant at its quota.
    pub rate: f64,
    /// Part of the requests that was served within the objective.
    #[serde(rename = "on_time")]
    pub in_time_ratio: f64,
    /// Counts of all tenants.
    pub counts: Counts,
    /// The results by tenant.
    pub tenants: Vec<TenantSummary>,
    /// Latency of all attempts, from when they were due.
    pub latency: Latency,
    /// Latency of the served attempts.
    pub served_latency: Latency,
    /// Attempts at servers.
    pub attempts: u64,
    /// Attempts at servers beyond the first of their request.
    pub retries: u64,
    /// Attempts at the origin.
    pub fetches: u64,
    /// Part of the caches' answers that were hits.
    pub hit_ratio: f64,
    /// Attempts at the busiest cache over those at the median one.
    #[serde(rename = "worst_over_median")]
    pub max_over_median_load: f64,
    /// Processor time of the balancers for an attempt of a client, in microseconds.
    pub cpu_us_per_request: f64,
    /// Part of a core that each balancer used on average.
    pub cpu_cores: f64,
    /// Largest memory of a balancer, in MiB.
    pub memory_mb: f64,
    /// Largest number of descriptors of a balancer.
    pub descriptors: u64,
    /// Longest time until a balancer was ready, in milliseconds.
    pub ready_ms: f64,
    /// The report of the rules' checker.
    pub rules: RuleReport,
    /// The outcome of the group, where the balancers are one.
    pub group: Option<GroupOutcome>,
    /// The counts by server, the origin last.
    pub servers: Vec<ServerReport>,
    /// The results over time.
    #[serde(skip)]
    pub samples: Vec<IntervalSample>,
    /// Attempts a second at each cache over time.
    #[serde(skip)]
    pub cache_rates: Vec<Vec<f64>>,
    /// Times and texts of the faults.
    #[serde(skip)]
    pub marks: Vec<FaultInterval>,
}

/// The records that an outcome is made of.
pub(super) struct RunRecords<'a> {
    pub(super) plan: &'a Experiment,
    pub(super) variant: &'a str,
    pub(super) seed: u64,
    pub(super) summary: Summary,
    pub(super) recorded: RecordedRun,
    pub(super) servers: Vec<ServerReport>,
    pub(super) balancers: Vec<BalancerProcess>,
    /// Processor time of all balancers within the counted time, in microseconds.
    pub(super) cpu_us: u64,
    pub(super) group: Option<GroupOutcome>,
}

impl Outcome {
    /// Whether no rule was broken, the group's observer found nothing, and no worker did.
    pub fn holds(&self) -> bool {
        self.rules.holds() && self.group.as_ref().is_none_or(group_holds)
    }

    pub(super) fn new(records: RunRecords<'_>) -> Self {
        let counts = records.summary.all();
        let attempts = counts.attempts.max(1) as f64;
        let cpu_us = records.cpu_us as f64;
        let processes = records.balancers.len().max(1) as f64;
        let begun = &records.recorded.attempts;
        let caches = records.servers.len().saturating_sub(1);
        let cache_attempts = &begun[..caches];
        let max_of = |figure: fn(&BalancerProcess) -> u64| {
            records.balancers.iter().map(figure).max().unwrap_or(0)
        };
        let rules = &records.recorded.rules;
        Outcome {
            variant: records.variant.to_string(),
            seed: records.seed,
            rate: records.plan.clients.traffic.rate,
            in_time_ratio: counts.in_time_ratio(),
            counts,
            tenants: tenants(records.plan, &records.summary),
            latency: Latency::of(&records.summary.latency),
            served_latency: Latency::of(&records.summary.served),
            attempts: rules.metrics.attempts,
            retries: rules.metrics.retries,
            fetches: records
                .servers
                .last()
                .map_or(0, |origin| origin.counts.commands),
            hit_ratio: hit_ratio(&records.servers[..caches]),
            max_over_median_load: max_over_median_load(cache_attempts, records.plan),
            cpu_us_per_request: cpu_us / attempts,
            cpu_cores: cpu_us / counted_us(records.plan) / processes,
            memory_mb: max_of(|balancer| balancer.max_memory_kb) as f64 / 1024.0,
            descriptors: max_of(|balancer| balancer.max_descriptors),
            ready_ms: max_ready_ms(&records.balancers),
            samples: samples(&records.summary, begun.last()),
            cache_rates: cache_attempts
                .iter()
                .map(|series| per_second(series))
                .collect(),
            marks: records.plan.fault_script(records.seed).marks,
            rules: records.recorded.rules,
            group: records.group,
            servers: records.servers,
        }
    }
}

fn group_holds(group: &GroupOutcome) -> bool {
    let maintenance = group.maintenance.as_ref();
    group.report.violations == 0 && maintenance.is_none_or(|outcome| outcome.broken == 0)
}

fn tenants(plan: &Experiment, summary: &Summary) -> Vec<TenantSummary> {
    let tenants = plan.clients.traffic.tenants.iter().enumerate();
    let summary_of = |(index, name): (usize, &String)| {
        let counts = summary.tenant(index);
        TenantSummary {
            name: name.clone(),
            in_time_ratio: counts.in_time_ratio(),
            counts,
        }
    };
    tenants
        .map(|(index, tenant)| summary_of((index, &tenant.name)))
        .collect()
}

fn hit_ratio(caches: &[ServerReport]) -> f64 {
    let hits: u64 = caches.iter().map(|cache| cache.counts.hits).sum();
    let misses: u64 = caches.iter().map(|cache| cache.counts.misses).sum();
    hits as f64 / (hits + misses).max(1) as f64
}

fn max_ready_ms(balancers: &[BalancerProcess]) -> f64 {
    let ready = balancers
        .iter()
        .flat_map(|balancer| balancer.ready_ms.iter());
    ready.copied().fold(0.0, f64::max)
}

/// Length of the counted time, in microseconds.
fn counted_us(plan: &Experiment) -> f64 {
    (plan.end() - plan.count_from()).max(1) as f64
}

/// Length of an interval, in seconds.
fn interval_s() -> f64 {
    INTERVAL as f64 / SECOND as f64
}

fn per_second(series: &[u32]) -> Vec<f64> {
    let rates = series.iter().map(|count| f64::from(*count) / interval_s());
    rates.collect()
}

fn samples(summary: &Summary, fetches: Option<&Vec<u32>>) -> Vec<IntervalSample> {
    let sample = |(i, interval): (usize, &Interval)| IntervalSample {
        at_s: i as f64 * interval_s(),
        served: interval.served as f64 / interval_s(),
        rejected: interval.rejected as f64 / interval_s(),
        other: interval.other as f64 / interval_s(),
        p50_ms: interval.latency.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: interval.latency.value_at_quantile(0.99) as f64 / 1e3,
        fetches: fetches
            .and_then(|series| series.get(i))
            .map_or(0.0, |count| f64::from(*count) / interval_s()),
    };
    summary.over_time.iter().enumerate().map(sample).collect()
}

/// Attempts at the busiest cache over those at the median one, in the counted time.
fn max_over_median_load(attempts: &[Vec<u32>], plan: &Experiment) -> f64 {
    let index = |at: Micros| (at / INTERVAL) as usize;
    let counted = index(plan.count_from())..index(plan.end());
    let sum = |series: &Vec<u32>| -> u64 {
        let in_range = series
            .iter()
            .enumerate()
            .filter(|(i, _)| counted.contains(i));
        in_range.map(|(_, count)| u64::from(*count)).sum()
    };
    let mut sums: Vec<u64> = attempts.iter().map(sum).collect();
    sums.sort_unstable();
    let (Some(max), Some(median)) = (sums.last(), sums.get(sums.len() / 2)) else {
        return 1.0;
    };
    *max as f64 / (*median).max(1) as f64
}
