//! Ratios of the variants' figures to those of the first one.
use serde::Serialize;

use crate::run::Outcome;

/// One figure of a variant over the same of the first one, seed by seed.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Ratio {
    /// Name of the variant.
    pub variant: String,
    /// Name of the figure.
    pub figure: &'static str,
    /// Mean over the seeds.
    pub mean: f64,
    /// Smallest ratio.
    #[serde(rename = "least")]
    pub min: f64,
    /// Largest ratio.
    #[serde(rename = "most")]
    pub max: f64,
}

/// A figure by which variants are compared.
struct Figure {
    name: &'static str,
    of: fn(&Outcome) -> f64,
}

const FIGURES: [Figure; 6] = [
    Figure {
        name: "served in time",
        of: |run| run.in_time_ratio,
    },
    Figure {
        name: "p99",
        of: |run| run.latency.p99_ms,
    },
    Figure {
        name: "worst server over the median",
        of: |run| run.max_over_median_load,
    },
    Figure {
        name: "fetches",
        of: |run| run.fetches as f64,
    },
    Figure {
        name: "attempts",
        of: |run| run.attempts as f64,
    },
    Figure {
        name: "processor time a request",
        of: |run| run.cpu_us_per_request,
    },
];

/// The names of the variants, in the order of their first runs.
pub(super) fn variants(runs: &[Outcome]) -> Vec<&str> {
    let mut variants = Vec::new();
    for run in runs {
        let name = run.variant.as_str();
        if !variants.contains(&name) {
            variants.push(name);
        }
    }
    variants
}

/// Compares runs with those of the first variant that have the same seed and rate.
pub(super) fn ratios(runs: &[Outcome]) -> Vec<Ratio> {
    let variants = variants(runs);
    let Some((first, others)) = variants.split_first() else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for variant in others {
        let ratios = FIGURES
            .iter()
            .filter_map(|figure| ratio(runs, first, variant, figure));
        found.extend(ratios);
    }
    found
}

fn ratio(runs: &[Outcome], first: &str, variant: &str, figure: &Figure) -> Option<Ratio> {
    let of_variant = runs.iter().filter(|run| run.variant == variant);
    let ratios: Vec<f64> = of_variant
        .filter_map(|run| {
            let base = runs.iter().find(|base| {
                base.variant == first && base.seed == run.seed && base.rate == run.rate
            });
            let base = (figure.of)(base?);
            (base > 0.0).then(|| (figure.of)(run) / base)
        })
        .collect();
    if ratios.is_empty() {
        return None;
    }
    let fold = |f: fn(f64, f64) -> f64| ratios.iter().copied().reduce(f).unwrap_or(1.0);
    Some(Ratio {
        variant: variant.to_string(),
        figure: figure.name,
        mean: ratios.iter().sum::<f64>() / ratios.len() as f64,
        min: fold(f64::min),
        max: fold(f64::max),
    })
}
