//! Which requests are admitted first, and where the threshold lies when only a fraction is.
use stairfront_common::time::{Micros, MS};

/// Number of levels, the highest priority first.
pub const LEVELS: usize = 32;
/// Levels of one category. The categories, the highest priority first: first attempts of tenants within their quota,
/// retries of these, what tenants beyond their quota send within it, and what they send beyond it.
const LEVELS_PER_CATEGORY: usize = 8;
/// Time constant with which the counts of earlier requests decay.
const DECAY_TIME: Micros = 500 * MS;
/// Multiple of the median use of quotas up to which a tenant's use is chance and the variation of a day.
const QUOTA_SLACK: f64 = 1.2;
/// Number of recent requests from which the tenants' fractions of them are meaningful.
const MIN_REQUESTS: f64 = 50.0;
/// Guards divisions by sums that may be zero.
const EPSILON: f64 = 1e-9;

/// The priority of a request; 0 is the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionLevel(pub u8);

/// Counts recent requests by tenant and by level, and finds the level up to which a given fraction of them is admitted.
#[derive(Clone, Debug)]
pub struct PriorityThreshold {
    /// Fraction of all quotas that each tenant has.
    quotas: Vec<f64>,
    /// Rank of each class by priority weight, 0 for the one with the largest.
    class_ranks: Vec<usize>,
    requests_by_tenant: Vec<f64>,
    requests: f64,
    requests_by_level: [f64; LEVELS],
    /// Multiple of its quota that each tenant used at the last update, 1 for one within its quota.
    quota_multiples: Vec<f64>,
    updated_at: Micros,
}

impl PriorityThreshold {
    /// A threshold without recent requests. `quotas` holds what each tenant is entitled to, in any unit; `class_weights`
    /// the priority weight of each class.
    #[must_use]
    pub fn new(quotas: &[f64], class_weights: &[f64]) -> Self {
        let mut threshold = PriorityThreshold {
            quotas: Vec::new(),
            class_ranks: Vec::new(),
            requests_by_tenant: Vec::new(),
            requests: 0.0,
            requests_by_level: [0.0; LEVELS],
            quota_multiples: Vec::new(),
            updated_at: 0,
        };
        threshold.set_shares(quotas, class_weights);
        threshold
    }

    /// Sets other quotas and weights. A tenant at another position is counted anew within half a second.
    pub fn set_shares(&mut self, quotas: &[f64], class_weights: &[f64]) {
        let sum: f64 = quotas.iter().sum::<f64>().max(EPSILON);
        self.quotas = quotas.iter().map(|quota| quota / sum).collect();
        self.class_ranks = class_weights
            .iter()
            .map(|weight| rank(*weight, class_weights))
            .collect();
        self.requests_by_tenant.resize(quotas.len(), 0.0);
        self.quota_multiples.resize(quotas.len(), 1.0);
    }

    /// Counts a request and returns its level. `draw`, between 0 and 1, picks which of a tenant's requests are those
    /// beyond its quota. A tenant that is not known has no quota.
    pub fn count(
        &mut self,
        tenant: Option<usize>,
        class: usize,
        retry: bool,
        draw: f64,
    ) -> AdmissionLevel {
        self.requests += 1.0;
        let multiple = self.count_tenant(tenant);
        let rank = self
            .class_ranks
            .get(class)
            .copied()
            .unwrap_or(LEVELS_PER_CATEGORY - 1);
        let level = if draw >= 1.0 / multiple {
            3 * LEVELS_PER_CATEGORY
                + (multiple.log2().max(0.0) as usize).min(LEVELS_PER_CATEGORY - 1)
        } else if multiple > 1.0 {
            2 * LEVELS_PER_CATEGORY + rank
        } else if retry {
            LEVELS_PER_CATEGORY + rank
        } else {
            rank
        };
        self.requests_by_level[level] += 1.0;
        AdmissionLevel(level as u8)
    }

    /// Counts a request of this tenant and returns the multiple of its quota that it uses.
    fn count_tenant(&mut self, tenant: Option<usize>) -> f64 {
        match tenant.filter(|tenant| *tenant < self.requests_by_tenant.len()) {
            Some(tenant) => {
                self.requests_by_tenant[tenant] += 1.0;
                self.quota_multiples[tenant]
            }
            // Without tenants there are no quotas to be beyond.
            None if self.quotas.is_empty() => 1.0,
            None => f64::MAX,
        }
    }

    /// Whether a request of this level is among the `fraction` of the recent requests with the highest priority. `draw`,
    /// between 0 and 1, decides within the level that the threshold runs through.
    #[must_use]
    pub fn admits(&self, fraction: f64, level: AdmissionLevel, draw: f64) -> bool {
        let level = usize::from(level.0);
        let sum: f64 = self.requests_by_level.iter().sum();
        let higher: f64 = self.requests_by_level[..level].iter().sum();
        let own = self.requests_by_level[level];
        draw * own.max(EPSILON) < fraction * sum - higher
    }

    /// Finds the tenants beyond their quota and lets earlier counts decay; to be called several times a second.
    pub fn update(&mut self, now: Micros) {
        if self.requests >= MIN_REQUESTS {
            self.update_quota_multiples();
        }
        let age = (now - self.updated_at).max(0) as f64;
        self.updated_at = now;
        let remaining = (-age / DECAY_TIME as f64).exp();
        self.requests *= remaining;
        self.requests_by_tenant
            .iter_mut()
            .for_each(|requests| *requests *= remaining);
        self.requests_by_level
            .iter_mut()
            .for_each(|requests| *requests *= remaining);
    }

    fn update_quota_multiples(&mut self) {
        let by_tenant = self.requests_by_tenant.iter().zip(&self.quotas);
        let uses: Vec<f64> = by_tenant
            .map(|(requests, quota)| requests / self.requests / quota.max(EPSILON))
            .collect();
        // Where one tenant alone sends more than its quota, it makes the others' fractions small: each is measured by
        // the median, as in the decision module.
        let median = lower_median(&uses).unwrap_or(1.0).max(EPSILON);
        for (multiple, used) in self.quota_multiples.iter_mut().zip(uses) {
            let times = used / median;
            *multiple = if times > QUOTA_SLACK { times } else { 1.0 };
        }
    }
}

/// Position of a class by its weight, within one category of levels.
fn rank(weight: f64, class_weights: &[f64]) -> usize {
    let larger = class_weights
        .iter()
        .filter(|other| **other > weight)
        .count();
    larger.min(LEVELS_PER_CATEGORY - 1)
}

fn lower_median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get((sorted.len().max(1) - 1) / 2).copied()
}
