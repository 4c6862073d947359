//! The lines of the table on the group and its maintenance, over the runs of each variant.
use super::ratios::variants;
use super::table::rule_result;
use crate::balancer_group::GroupOutcome;
use crate::maintenance::MaintenanceOutcome;
use crate::run::Outcome;

/// Examples of breaches that are shown for each run.
const MAX_GROUP_EXAMPLES: usize = 2;
const MAX_MAINTENANCE_EXAMPLES: usize = 3;

/// The group's part of one run.
#[derive(Clone, Copy)]
struct GroupRun<'a> {
    seed: u64,
    group: &'a GroupOutcome,
}

/// The maintenance of one run.
#[derive(Clone, Copy)]
struct MaintenanceRun<'a> {
    seed: u64,
    outcome: &'a MaintenanceOutcome,
    script: &'a [String],
}

pub(super) fn group_lines(runs: &[Outcome]) -> Vec<String> {
    let mut lines = Vec::new();
    for variant in variants(runs) {
        let of_variant = runs.iter().filter(|run| run.variant == variant);
        let of_group = of_variant.filter_map(|run| {
            let group = run.group.as_ref()?;
            let seed = run.seed;
            Some(GroupRun { seed, group })
        });
        let of_group: Vec<GroupRun<'_>> = of_group.collect();
        if !of_group.is_empty() {
            lines.push(judged_line(variant, &of_group));
            lines.extend(detection_lines(&of_group));
            lines.push(order_line(&of_group));
            lines.extend(maintenance_lines(&of_group));
            lines.extend(breach_lines(&of_group));
        }
    }
    lines
}

fn sum(runs: &[GroupRun<'_>], of: fn(&GroupOutcome) -> u64) -> u64 {
    runs.iter().map(|run| of(run.group)).sum()
}

fn judged_line(variant: &str, runs: &[GroupRun<'_>]) -> String {
    format!(
        "\ngroup, {variant}, {} runs: {}; judged {} times alive, {} dead, {} in their standing, of {} accounts",
        runs.len(),
        rule_result(sum(runs, |group| group.report.violations)),
        sum(runs, |group| group.report.metrics.judged_alive),
        sum(runs, |group| group.report.metrics.judged_dead),
        sum(runs, |group| group.report.metrics.judged_quorum),
        sum(runs, |group| group.report.metrics.reports),
    )
}

fn detection_lines(runs: &[GroupRun<'_>]) -> [String; 4] {
    let all = |of: fn(&GroupOutcome) -> &Vec<f64>| {
        let values = runs.iter().flat_map(|run| of(run.group).iter().copied());
        percentiles(values.collect())
    };
    let recovery = runs
        .iter()
        .filter_map(|run| run.group.report.metrics.complete_after_ms);
    let recovery = percentiles(recovery.collect());
    [
        format!("  whole after the last trouble (median, p99, most): {recovery}"),
        format!(
            "  a killed one failed at another: {}",
            all(|group| &group.detected_ms)
        ),
        format!(
            "  a killed one failed at all: {}",
            all(|group| &group.detected_by_all_ms)
        ),
        format!(
            "  a woken one alive at another again: {}",
            all(|group| &group.resume_detected_ms)
        ),
    ]
}

fn order_line(runs: &[GroupRun<'_>]) -> String {
    let mean = |of: fn(&GroupOutcome) -> f64| {
        runs.iter().map(|run| of(run.group)).sum::<f64>() / runs.len() as f64
    };
    format!(
        "  orders: {} yes, {} no; a member and second: {:.1} datagrams and streams' bytes {:.0}, {:.0} us of processor",
        sum(runs, |group| group.orders_accepted),
        sum(runs, |group| group.orders_rejected),
        mean(|group| group.datagrams_per_s),
        mean(|group| group.bytes_per_s),
        mean(|group| group.cpu_us_per_s),
    )
}

fn breach_lines(runs: &[GroupRun<'_>]) -> Vec<String> {
    let mut lines = Vec::new();
    for run in runs.iter().filter(|run| run.group.report.violations > 0) {
        let examples = &run.group.report.examples;
        lines.extend(script_lines(run.seed, &run.group.script));
        lines.extend(indented(examples).take(MAX_GROUP_EXAMPLES));
    }
    lines
}

fn script_lines(seed: u64, script: &[String]) -> Vec<String> {
    let heading = format!("  seed {seed}:");
    [heading].into_iter().chain(indented(script)).collect()
}

fn indented(lines: &[String]) -> impl Iterator<Item = String> + '_ {
    lines.iter().map(|line| format!("    {line}"))
}

fn maintenance_lines(runs: &[GroupRun<'_>]) -> Vec<String> {
    let runs = runs.iter().filter_map(|run| {
        Some(MaintenanceRun {
            seed: run.seed,
            outcome: run.group.maintenance.as_ref()?,
            script: &run.group.script,
        })
    });
    let runs: Vec<MaintenanceRun<'_>> = runs.collect();
    if runs.is_empty() {
        return Vec::new();
    }
    if runs.iter().all(|run| run.outcome.manual_baseline) {
        return vec![manual_line(&runs)];
    }
    let mut lines = plan_lines(&runs).to_vec();
    for run in runs.iter().filter(|run| run.outcome.broken > 0) {
        lines.extend(script_lines(run.seed, run.script));
        lines.extend(indented(&run.outcome.examples).take(MAX_MAINTENANCE_EXAMPLES));
    }
    lines
}

fn total(runs: &[MaintenanceRun<'_>], of: fn(&MaintenanceOutcome) -> u64) -> u64 {
    runs.iter().map(|run| of(run.outcome)).sum()
}

fn max_out(runs: &[MaintenanceRun<'_>]) -> u64 {
    let max_out = runs.iter().map(|run| run.outcome.max_out);
    max_out.max().unwrap_or(0)
}

fn durations(runs: &[MaintenanceRun<'_>], of: fn(&MaintenanceOutcome) -> Option<f64>) -> String {
    percentiles(runs.iter().filter_map(|run| of(run.outcome)).collect())
}

fn manual_line(runs: &[MaintenanceRun<'_>]) -> String {
    format!(
        "  by hand: {} cache hosts and {} balancers worked at, {} at once at most; {} calls with a yes, {} without; over \
         after {}; not over in {} runs",
        total(runs, |outcome| outcome.hosts),
        total(runs, |outcome| outcome.balancers),
        max_out(runs),
        total(runs, |outcome| outcome.accepted),
        total(runs, |outcome| outcome.rejected),
        durations(runs, |outcome| outcome.duration_ms),
        total(runs, |outcome| u64::from(outcome.duration_ms.is_none())),
    )
}

fn plan_lines(runs: &[MaintenanceRun<'_>]) -> [String; 2] {
    let counts = format!(
        "  plans: {}; {} cache hosts and {} balancers worked at, {} at once at most; {} words settled, {} refused or not \
         known to be; a majority of the disks lost in {} runs, whose end is not judged",
        rule_result(total(runs, |outcome| outcome.broken)),
        total(runs, |outcome| outcome.hosts),
        total(runs, |outcome| outcome.balancers),
        max_out(runs),
        total(runs, |outcome| outcome.accepted),
        total(runs, |outcome| outcome.rejected),
        total(runs, |outcome| u64::from(outcome.log_lost)),
    );
    let times = format!(
        "  plans over after the first post: {}; after the last trouble: {}",
        durations(runs, |outcome| outcome.duration_ms),
        durations(runs, |outcome| outcome.duration_after_faults_ms),
    );
    [counts, times]
}

/// Median, 99th percentile and maximum in milliseconds, and of how many values.
fn percentiles(mut values: Vec<f64>) -> String {
    if values.is_empty() {
        return "none".to_string();
    }
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    let at = |part: f64| values[(last as f64 * part).round() as usize];
    let (median, p99, max) = (at(0.5), at(0.99), at(1.0));
    format!("{median:.0}, {p99:.0}, {max:.0} ms of {}", values.len())
}
