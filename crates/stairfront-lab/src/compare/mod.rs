//! A complete experiment: variants in turn, A B A B, over all seeds; their ratios; the search for the knee.
mod group_table;
mod ratios;
mod table;

pub use ratios::Ratio;
pub use table::table;

use serde::Serialize;

use crate::error::RunError;
use crate::experiment::{Experiment, KneeSearch, Variant};
use crate::run::{run, Outcome, Progress, RunEnvironment};

/// Runs at a rate until it counts as too high.
const RUNS_PER_RATE: usize = 2;

/// The rate found by the search.
#[derive(Clone, Debug, Serialize)]
pub struct KneeResult {
    /// Name of the variant.
    pub variant: String,
    /// Seed of the runs.
    pub seed: u64,
    /// The highest rate that was served in time, in requests a second.
    pub rate: f64,
    /// The lowest rate tried that was too high.
    #[serde(rename = "too_much")]
    pub overload_rate: f64,
}

/// All figures of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Name of the experiment.
    pub name: String,
    /// Purpose of the experiment.
    pub about: String,
    /// Results of the search for the knee.
    pub knees: Vec<KneeResult>,
    /// All runs.
    pub runs: Vec<Outcome>,
    /// Ratios of the variants' figures to those of the first one.
    pub ratios: Vec<Ratio>,
}

impl Results {
    /// Whether all rules held in all runs.
    pub fn rules_hold(&self) -> bool {
        self.runs.iter().all(Outcome::holds)
    }
}

/// Runs an experiment; blocks until all runs are finished.
///
/// # Errors
///
/// A run failed, or no rate of the search was served in time.
pub fn experiment(
    experiment: &Experiment,
    environment: &RunEnvironment,
) -> Result<Results, RunError> {
    let mut results = Results {
        name: experiment.name.clone(),
        about: experiment.about.clone(),
        knees: Vec::new(),
        runs: Vec::new(),
        ratios: Vec::new(),
    };
    for seed in &experiment.seeds {
        match &experiment.knee {
            None => results
                .runs
                .extend(run_rates(experiment, *seed, environment)?),
            Some(knee) => {
                for variant in &experiment.variants {
                    let at = |rate| run(experiment, variant, *seed, rate, environment);
                    let found = search(knee, at)?;
                    results.knees.push(found.result(variant, *seed));
                    results.runs.extend(found.runs);
                }
            }
        }
    }
    if environment.progress == Progress::Line {
        eprintln!();
    }
    results.ratios = ratios::ratios(&results.runs);
    Ok(results)
}

/// Runs all variants in turn at each rate.
fn run_rates(
    experiment: &Experiment,
    seed: u64,
    environment: &RunEnvironment,
) -> Result<Vec<Outcome>, RunError> {
    let own = [experiment.clients.traffic.rate];
    let rates = if experiment.rates.is_empty() {
        &own[..]
    } else {
        &experiment.rates
    };
    let mut runs = Vec::new();
    for rate in rates {
        for variant in &experiment.variants {
            runs.push(run(experiment, variant, seed, *rate, environment)?);
        }
    }
    Ok(runs)
}

/// The end of a search, and the runs that are kept.
struct FoundKnee {
    rate: f64,
    overload_rate: f64,
    runs: Vec<Outcome>,
}

impl FoundKnee {
    fn result(&self, variant: &Variant, seed: u64) -> KneeResult {
        KneeResult {
            variant: variant.name.clone(),
            seed,
            rate: self.rate,
            overload_rate: self.overload_rate,
        }
    }
}

/// Doubles the rate until it is too high, then halves the range between; the runs kept are the last one in time and those
/// at multiples of its rate.
fn search(
    knee: &KneeSearch,
    run_at: impl Fn(f64) -> Result<Outcome, RunError>,
) -> Result<FoundKnee, RunError> {
    let mut best: Option<Outcome> = None;
    let mut overload_rate = knee.from;
    while let Some(run) = run_in_time(knee, overload_rate, &run_at)? {
        best = Some(run);
        overload_rate *= 2.0;
    }
    for _ in 0..knee.steps {
        let best_rate = best.as_ref().map_or(0.0, |run| run.rate);
        let middle = (best_rate + overload_rate) / 2.0;
        match run_in_time(knee, middle, &run_at)? {
            Some(run) => best = Some(run),
            None => overload_rate = middle,
        }
    }
    let Some(best) = best else {
        return Err(RunError::KneeBelowSearch {
            rate: overload_rate,
        });
    };
    let rate = best.rate;
    let mut runs = vec![best];
    for times in &knee.then {
        runs.push(run_at(rate * times)?);
    }
    Ok(FoundKnee {
        rate,
        overload_rate,
        runs,
    })
}

/// A run at this rate that was served in time; none if the rate is too high. That takes two runs: a machine that others
/// share stalls now and then, and one stall of a tenth of a second is the slowest percent of ten seconds.
fn run_in_time(
    knee: &KneeSearch,
    rate: f64,
    run_at: impl Fn(f64) -> Result<Outcome, RunError>,
) -> Result<Option<Outcome>, RunError> {
    for _ in 0..RUNS_PER_RATE {
        let run = run_at(rate)?;
        if run.latency.p99_ms <= knee.p99_ms {
            return Ok(Some(run));
        }
    }
    Ok(None)
}
