//! An experiment as a whole: variants in turn, A B A B, over all seeds; ratios with their spread; the search for the knee.
use std::fmt::Write as _;
use std::io;

use serde::Serialize;

use crate::experiment::{Experiment, Knee};
use crate::pack::GroupOutcome;
use crate::run::{run, Outcome, Progress, Surroundings};
use crate::work::WorkOutcome;

/// The rate found by the search, and what it was found by.
#[derive(Clone, Debug, Serialize)]
pub struct KneeFound {
    pub variant: String,
    pub seed: u64,
    pub rate: f64,
    /// The lowest rate tried that was too much.
    pub too_much: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Results {
    pub name: String,
    pub about: String,
    pub knees: Vec<KneeFound>,
    pub runs: Vec<Outcome>,
    pub ratios: Vec<Ratio>,
}

impl Results {
    pub fn rules_hold(&self) -> bool {
        self.runs.iter().all(Outcome::holds)
    }
}

/// One figure of a variant over the same of the first one, seed by seed.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Ratio {
    pub variant: String,
    pub figure: &'static str,
    pub mean: f64,
    pub least: f64,
    pub most: f64,
}

type Figure = (&'static str, fn(&Outcome) -> f64);

/// What variants are compared by.
const COMPARED: [Figure; 6] = [
    ("served in time", |run| run.on_time),
    ("p99", |run| run.latency.p99_ms),
    ("worst server over the median", |run| run.worst_over_median),
    ("fetches", |run| run.fetches as f64),
    ("attempts", |run| run.attempts as f64),
    ("processor time a request", |run| run.cpu_us_per_request),
];

/// Runs it all; blocks until it is over.
pub fn experiment(experiment: &Experiment, around: &Surroundings) -> io::Result<Results> {
    let mut results = Results {
        name: experiment.name.clone(),
        about: experiment.about.clone(),
        knees: Vec::new(),
        runs: Vec::new(),
        ratios: Vec::new(),
    };
    let own = [experiment.clients.traffic.rate];
    let rates = if experiment.rates.is_empty() {
        &own[..]
    } else {
        &experiment.rates
    };
    for seed in &experiment.seeds {
        for rate in rates.iter().filter(|_| experiment.knee.is_none()) {
            for variant in &experiment.variants {
                results
                    .runs
                    .push(run(experiment, variant, *seed, *rate, around)?);
            }
        }
        for variant in &experiment.variants {
            match &experiment.knee {
                None => {}
                Some(knee) => {
                    let at = |rate| run(experiment, variant, *seed, rate, around);
                    let (found, runs) = search(knee, at)?;
                    results.knees.push(KneeFound {
                        variant: variant.name.clone(),
                        seed: *seed,
                        ..found
                    });
                    results.runs.extend(runs);
                }
            }
        }
    }
    if around.progress == Progress::Line {
        eprintln!();
    }
    results.ratios = ratios(&results.runs);
    Ok(results)
}

/// Doubles the rate until it is too much, then halves what lies between; the runs kept are the last good one and those
/// at multiples of it. A rate is too much if it is so twice: a machine that others share stalls now and then, and one
/// stall of a tenth of a second is the slowest percent of ten seconds.
fn search(
    knee: &Knee,
    at: impl Fn(f64) -> io::Result<Outcome>,
) -> io::Result<(KneeFound, Vec<Outcome>)> {
    let good = |rate: f64| -> io::Result<Option<Outcome>> {
        for _ in 0..2 {
            let run = at(rate)?;
            if run.latency.p99_ms <= knee.p99_ms {
                return Ok(Some(run));
            }
        }
        Ok(None)
    };
    let (mut low, mut high): (Option<Outcome>, f64) = (None, knee.from);
    while let Some(run) = good(high)? {
        low = Some(run);
        high *= 2.0;
    }
    for _ in 0..knee.steps {
        let middle = (low.as_ref().map_or(0.0, |run| run.rate) + high) / 2.0;
        match good(middle)? {
            Some(run) => low = Some(run),
            None => high = middle,
        }
    }
    let Some(best) = low else {
        return Err(io::Error::other(format!(
            "knee: even {high:.0} requests a second were too much"
        )));
    };
    let rate = best.rate;
    let mut runs = vec![best];
    for times in &knee.then {
        runs.push(at(rate * times)?);
    }
    Ok((
        KneeFound {
            variant: String::new(),
            seed: 0,
            rate,
            too_much: high,
        },
        runs,
    ))
}

/// Pairs runs of the same seed and rate with those of the first variant.
fn ratios(runs: &[Outcome]) -> Vec<Ratio> {
    let Some(first) = runs.first().map(|run| run.variant.clone()) else {
        return Vec::new();
    };
    let mut variants: Vec<&String> = runs.iter().map(|run| &run.variant).collect();
    variants.dedup();
    let mut seen = Vec::new();
    let mut found = Vec::new();
    for variant in variants {
        if *variant == first || seen.contains(&variant) {
            continue;
        }
        seen.push(variant);
        for (figure, of) in COMPARED {
            let pairs = runs
                .iter()
                .filter(|run| run.variant == *variant)
                .filter_map(|run| {
                    let same = |base: &&Outcome| {
                        base.variant == first && base.seed == run.seed && base.rate == run.rate
                    };
                    let base = of(runs.iter().find(same)?);
                    (base > 0.0).then(|| of(run) / base)
                });
            let pairs: Vec<f64> = pairs.collect();
            if pairs.is_empty() {
                continue;
            }
            let fold = |f: fn(f64, f64) -> f64| pairs.iter().copied().reduce(f).unwrap_or(1.0);
            let mean = pairs.iter().sum::<f64>() / pairs.len() as f64;
            found.push(Ratio {
                variant: variant.clone(),
                figure,
                mean,
                least: fold(f64::min),
                most: fold(f64::max),
            });
        }
    }
    found
}

/// The results as a table for a person.
pub fn table(results: &Results) -> String {
    let mut text = String::new();
    let mut line = |line: String| {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "{line}");
    };
    line(format!("{}  {}", results.name, results.about));
    line(format!(
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
    ));
    for run in &results.runs {
        let part = |n: u64| n as f64 / run.counts.tries.max(1) as f64;
        let others =
            run.counts.failed + run.counts.lost + run.counts.unanswered + run.counts.unsent;
        line(format!(
            "{:18}{:>5}{:>9.0}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>8.1}{:>9.1}{:>9.0}{:>8}{:>8}{:>8.3}{:>7.2}{:>7.1}{:>6.0}{:>7}",
            run.variant, run.seed, run.rate, run.on_time, part(run.counts.served), part(run.counts.refused),
            part(others), run.latency.p50_ms, run.latency.p99_ms, run.latency.most_ms, run.retries, run.fetches,
            run.hit_ratio, run.worst_over_median, run.cpu_us_per_request, run.memory_mb,
            if run.rules.holds() { "held" } else { "BROKEN" }
        ));
    }
    if results.runs.iter().any(|run| run.tenants.len() > 1) {
        line("\nserved in time, by tenant".to_string());
        for run in &results.runs {
            let tenants = run
                .tenants
                .iter()
                .map(|t| format!("{} {:.3} of {}", t.name, t.on_time, t.counts.asked));
            line(format!(
                "{:18}{:>5}{:>9.0}  {}",
                run.variant,
                run.seed,
                run.rate,
                tenants.collect::<Vec<_>>().join(", ")
            ));
        }
    }
    for knee in &results.knees {
        line(format!(
            "\nknee of {}, seed {}: {:.0} requests a second; {:.0} were too much",
            knee.variant, knee.seed, knee.rate, knee.too_much
        ));
    }
    if !results.ratios.is_empty() {
        line("\nover the first variant, mean (least to most) over the seeds".to_string());
    }
    for Ratio {
        variant,
        figure,
        mean,
        least,
        most,
    } in &results.ratios
    {
        line(format!(
            "{variant:18}{figure:30}{mean:>8.3}  ({least:.3} to {most:.3})"
        ));
    }
    line(String::new());
    rules(results, &mut line);
    group(results, &mut line);
    text
}

/// Median and 99th percentile in milliseconds, and of how many.
fn spread(mut of: Vec<f64>) -> String {
    of.sort_by(f64::total_cmp);
    let at = |part: f64| of[((of.len() - 1) as f64 * part).round() as usize];
    match of.is_empty() {
        true => "none".to_string(),
        false => format!(
            "{:.0}, {:.0}, {:.0} ms of {}",
            at(0.5),
            at(0.99),
            at(1.0),
            of.len()
        ),
    }
}

/// What the observer of the group saw, over the runs of each variant.
fn group(results: &Results, line: &mut impl FnMut(String)) {
    let mut variants: Vec<&String> = results.runs.iter().map(|run| &run.variant).collect();
    variants.dedup();
    for (i, variant) in variants.iter().enumerate() {
        if variants[..i].contains(variant) {
            continue;
        }
        let runs = results.runs.iter().filter(|run| run.variant == **variant);
        let runs: Vec<(u64, &GroupOutcome)> = runs
            .filter_map(|run| run.group.as_ref().map(|group| (run.seed, group)))
            .collect();
        if runs.is_empty() {
            continue;
        }
        let sum =
            |of: fn(&GroupOutcome) -> u64| runs.iter().map(|(_, group)| of(group)).sum::<u64>();
        let all = |of: fn(&GroupOutcome) -> &Vec<f64>| {
            runs.iter()
                .flat_map(|(_, group)| of(group).iter().copied())
                .collect::<Vec<f64>>()
        };
        let mean = |of: fn(&GroupOutcome) -> f64| {
            runs.iter().map(|(_, group)| of(group)).sum::<f64>() / runs.len() as f64
        };
        let broken = sum(|group| group.report.violations);
        line(format!(
            "\ngroup, {variant}, {} runs: {}; judged {} times alive, {} dead, {} in their standing, of {} accounts",
            runs.len(),
            if broken == 0 { "held".to_string() } else { format!("BROKEN {broken} times") },
            sum(|group| group.report.metrics.judged_alive),
            sum(|group| group.report.metrics.judged_dead),
            sum(|group| group.report.metrics.judged_quorum),
            sum(|group| group.report.metrics.reports),
        ));
        let whole: Vec<f64> = runs
            .iter()
            .filter_map(|(_, group)| group.report.metrics.complete_after_ms)
            .collect();
        line(format!(
            "  whole after the last trouble (median, p99, most): {}",
            spread(whole)
        ));
        line(format!(
            "  a killed one failed at another: {}",
            spread(all(|group| &group.detected_ms))
        ));
        line(format!(
            "  a killed one failed at all: {}",
            spread(all(|group| &group.detected_by_all_ms))
        ));
        line(format!(
            "  a woken one alive at another again: {}",
            spread(all(|group| &group.woken_ms))
        ));
        line(format!(
            "  orders: {} yes, {} no; a member and second: {:.1} datagrams and streams' bytes {:.0}, {:.0} us of processor",
            sum(|group| group.orders_yes),
            sum(|group| group.orders_no),
            mean(|group| group.datagrams_per_s),
            mean(|group| group.bytes_per_s),
            mean(|group| group.cpu_us_per_s),
        ));
        work(&runs, line);
        for (seed, group) in runs.iter().filter(|(_, group)| group.report.violations > 0) {
            line(format!("  seed {seed}:"));
            group
                .script
                .iter()
                .for_each(|words| line(format!("    {words}")));
            group
                .report
                .examples
                .iter()
                .take(2)
                .for_each(|example| line(format!("    {example}")));
        }
    }
}

/// What the people who work by plans saw.
fn work(runs: &[(u64, &GroupOutcome)], line: &mut impl FnMut(String)) {
    let works: Vec<_> = runs
        .iter()
        .filter_map(|(seed, group)| Some((*seed, group.work.as_ref()?, &group.script)))
        .collect();
    if works.is_empty() {
        return;
    }
    let sum = |of: fn(&WorkOutcome) -> u64| works.iter().map(|(_, work, _)| of(work)).sum::<u64>();
    if works.iter().all(|(_, work, _)| work.by_hand) {
        line(format!(
            "  by hand: {} cache hosts and {} balancers worked at, {} at once at most; {} calls with a yes, {} without; over \
             after {}; not over in {} runs",
            sum(|work| work.hosts),
            sum(|work| work.balancers),
            works.iter().map(|(_, work, _)| work.most_out).max().unwrap_or(0),
            sum(|work| work.settled),
            sum(|work| work.unsettled),
            spread(works.iter().filter_map(|(_, work, _)| work.took_ms).collect()),
            sum(|work| u64::from(work.took_ms.is_none())),
        ));
        return;
    }
    let broken = sum(|work| work.broken);
    line(format!(
        "  plans: {}; {} cache hosts and {} balancers worked at, {} at once at most; {} words settled, {} refused or not \
         known to be; a majority of the disks lost in {} runs, whose end is not judged",
        if broken == 0 { "held".to_string() } else { format!("BROKEN {broken} times") },
        sum(|work| work.hosts),
        sum(|work| work.balancers),
        works.iter().map(|(_, work, _)| work.most_out).max().unwrap_or(0),
        sum(|work| work.settled),
        sum(|work| work.unsettled),
        sum(|work| u64::from(work.log_lost)),
    ));
    line(format!(
        "  plans over after the first post: {}; after the last trouble: {}",
        spread(
            works
                .iter()
                .filter_map(|(_, work, _)| work.took_ms)
                .collect()
        ),
        spread(
            works
                .iter()
                .filter_map(|(_, work, _)| work.after_quiet_ms)
                .collect()
        ),
    ));
    for (seed, work, script) in works.iter().filter(|(_, work, _)| work.broken > 0) {
        line(format!("  seed {seed}:"));
        script.iter().for_each(|words| line(format!("    {words}")));
        work.examples
            .iter()
            .take(3)
            .for_each(|example| line(format!("    {example}")));
    }
}

fn rules(results: &Results, line: &mut impl FnMut(String)) {
    const NAMES: [&str; 4] = [
        "1 one final answer in the client's time",
        "2 no effect twice, no attempts together",
        "3 nothing new to a leaving server",
        "4 no cold server nor the origin pushed over",
    ];
    for (i, name) in NAMES.iter().enumerate() {
        let broken: u64 = results
            .runs
            .iter()
            .map(|run| run.rules.rules[i].violations)
            .sum();
        line(format!(
            "rule {name}: {}",
            if broken == 0 {
                "held".to_string()
            } else {
                format!("BROKEN {broken} times")
            }
        ));
        let examples = results.runs.iter().flat_map(|run| {
            let of = move |text: &String| format!("    {} seed {}: {text}", run.variant, run.seed);
            run.rules.rules[i].examples.iter().map(of)
        });
        examples.take(8).for_each(&mut *line);
    }
    let most = |of: fn(&Outcome) -> f64| {
        results
            .runs
            .iter()
            .map(of)
            .fold(f64::NEG_INFINITY, f64::max)
    };
    line(format!(
        "latest answer {:+.1} ms from its deadline; {:.0} attempts at most, {:.1} ms together at most; \
         latest to a leaving server {:.1} ms; most into a cold one {:.2} of what it bears; origin stopped {:.0} times",
        most(|run| run.rules.metrics.max_lateness_ms),
        most(|run| run.rules.metrics.max_attempts as f64),
        most(|run| run.rules.metrics.max_overlap_ms),
        most(|run| run.rules.metrics.max_after_drain_ms),
        most(|run| run.servers.iter().map(|server| server.counts.worst_cold).fold(0.0, f64::max)),
        most(|run| run.rules.metrics.origin_stops as f64),
    ));
}
