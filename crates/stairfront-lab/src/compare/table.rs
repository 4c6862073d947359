//! The results as a table for a person.
use super::group_table::group_lines;
use super::{Ratio, Results};
use crate::run::Outcome;

const RULES: [&str; 4] = [
    "1 one final answer in the client's time",
    "2 no effect twice, no attempts together",
    "3 nothing new to a leaving server",
    "4 no cold server nor the origin pushed over",
];
/// Examples of breaches that are shown for each rule.
const MAX_EXAMPLES: usize = 8;

/// The results as text.
pub fn table(results: &Results) -> String {
    let mut lines = vec![format!("{}  {}", results.name, results.about)];
    lines.extend(run_lines(&results.runs));
    lines.extend(tenant_lines(&results.runs));
    lines.extend(knee_lines(results));
    lines.extend(ratio_lines(&results.ratios));
    lines.push(String::new());
    lines.extend(rule_lines(&results.runs));
    lines.extend(group_lines(&results.runs));
    lines.iter().map(|line| format!("{line}\n")).collect()
}

/// Whether something held, or how often it was broken.
pub(super) fn rule_result(broken: u64) -> String {
    if broken == 0 {
        "held".to_string()
    } else {
        format!("BROKEN {broken} times")
    }
}

fn run_lines(runs: &[Outcome]) -> Vec<String> {
    let heading = format!(
        "{:18}{:>5}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>8}{:>8}{:>8}{:>7}{:>7}{:>6}{:>7}",
        "variant",
        "seed",
        "rate/s",
        "in time",
        "served",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "most ms",
        "retries",
        "fetches",
        "hits",
        "worst",
        "us/req",
        "MB",
        "rules"
    );
    let rows = runs.iter().map(run_row);
    [heading].into_iter().chain(rows).collect()
}

fn run_row(run: &Outcome) -> String {
    let counts = &run.counts;
    let part = |count: u64| count as f64 / counts.attempts.max(1) as f64;
    let others = counts.failed + counts.lost + counts.unanswered + counts.unsent;
    let rules = if run.rules.holds() { "held" } else { "BROKEN" };
    format!(
        "{:18}{:>5}{:>9.0}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>8.1}{:>9.1}{:>9.0}{:>8}{:>8}{:>8.3}{:>7.2}{:>7.1}{:>6.0}{:>7}",
        run.variant,
        run.seed,
        run.rate,
        run.in_time_ratio,
        part(counts.served),
        part(counts.rejected),
        part(others),
        run.latency.p50_ms,
        run.latency.p99_ms,
        run.latency.max_ms,
        run.retries,
        run.fetches,
        run.hit_ratio,
        run.max_over_median_load,
        run.cpu_us_per_request,
        run.memory_mb,
        rules
    )
}

fn tenant_lines(runs: &[Outcome]) -> Vec<String> {
    if runs.iter().all(|run| run.tenants.len() <= 1) {
        return Vec::new();
    }
    let mut lines = vec!["\nserved in time, by tenant".to_string()];
    for run in runs {
        let tenants = run.tenants.iter().map(|tenant| {
            let requests = tenant.counts.requests;
            format!("{} {:.3} of {requests}", tenant.name, tenant.in_time_ratio)
        });
        let tenants = tenants.collect::<Vec<_>>().join(", ");
        let (variant, seed, rate) = (&run.variant, run.seed, run.rate);
        lines.push(format!("{variant:18}{seed:>5}{rate:>9.0}  {tenants}"));
    }
    lines
}

fn knee_lines(results: &Results) -> Vec<String> {
    let line = |knee: &super::KneeResult| {
        format!(
            "\nknee of {}, seed {}: {:.0} requests a second; {:.0} were too much",
            knee.variant, knee.seed, knee.rate, knee.overload_rate
        )
    };
    results.knees.iter().map(line).collect()
}

fn ratio_lines(ratios: &[Ratio]) -> Vec<String> {
    if ratios.is_empty() {
        return Vec::new();
    }
    let heading = "\nover the first variant, mean (least to most) over the seeds".to_string();
    let row = |ratio: &Ratio| {
        format!(
            "{:18}{:30}{:>8.3}  ({:.3} to {:.3})",
            ratio.variant, ratio.figure, ratio.mean, ratio.min, ratio.max
        )
    };
    [heading]
        .into_iter()
        .chain(ratios.iter().map(row))
        .collect()
}

fn rule_lines(runs: &[Outcome]) -> Vec<String> {
    let mut lines = Vec::new();
    for (i, name) in RULES.iter().enumerate() {
        let broken: u64 = runs.iter().map(|run| run.rules.rules[i].violations).sum();
        lines.push(format!("rule {name}: {}", rule_result(broken)));
        let examples = runs.iter().flat_map(|run| {
            let line =
                move |text: &String| format!("    {} seed {}: {text}", run.variant, run.seed);
            run.rules.rules[i].examples.iter().map(line)
        });
        lines.extend(examples.take(MAX_EXAMPLES));
    }
    lines.push(extremes_line(runs));
    lines
}

/// The largest figures of the rules' checker over all runs.
fn extremes_line(runs: &[Outcome]) -> String {
    let max = |of: fn(&Outcome) -> f64| runs.iter().map(of).fold(f64::NEG_INFINITY, f64::max);
    let max_cold = |run: &Outcome| {
        let servers = run.servers.iter();
        servers
            .map(|server| server.counts.worst_cold)
            .fold(0.0, f64::max)
    };
    format!(
        "latest answer {:+.1} ms from its deadline; {:.0} attempts at most, {:.1} ms together at most; \
         latest to a leaving server {:.1} ms; most into a cold one {:.2} of what it bears; origin stopped {:.0} times",
        max(|run| run.rules.metrics.max_lateness_ms),
        max(|run| run.rules.metrics.max_attempts as f64),
        max(|run| run.rules.metrics.max_overlap_ms),
        max(|run| run.rules.metrics.max_after_drain_ms),
        max(max_cold),
        max(|run| run.rules.metrics.origin_stops as f64),
    )
}
