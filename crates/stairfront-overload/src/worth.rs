//! Whose requests are taken first, and where the line runs when only a part is.
use crate::Micros;

/// How many levels of worth there are, the most worthy first.
pub const LEVELS: usize = 32;
/// Levels of one kind. The kinds: first tries of tenants in their share, retries of these, what tenants beyond their
/// share ask for within it, and what they ask for beyond it.
const OF_A_KIND: usize = 8;
/// After this the counts of earlier requests hardly matter.
const MEMORY: Micros = 500_000;
/// Use of a quota up to this multiple of the median is chance and the spread of a day.
const SLACK: f64 = 1.2;
/// Requests from which on a tenant's part says anything.
const ENOUGH: f64 = 50.0;

/// 0 is the most worthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionLevel(pub u8);

/// What came lately, by tenant and by level; it fades.
#[derive(Clone, Debug)]
pub struct PriorityThreshold {
    /// Part of all quotas that each tenant has.
    quotas: Vec<f64>,
    /// Rank of each class by worth, 0 for the one worth most.
    ranks: Vec<usize>,
    came: Vec<f64>,
    all: f64,
    levels: [f64; LEVELS],
    /// Times its share that each tenant used at the last look, 1 for in share.
    excess: Vec<f64>,
    looked_at: Micros,
}

impl PriorityThreshold {
    /// `quotas`: what each tenant is entitled to, in any unit; `worths`: what a request of each class is worth.
    pub fn new(quotas: &[f64], worths: &[f64]) -> Self {
        let mut worth = PriorityThreshold {
            quotas: Vec::new(),
            ranks: Vec::new(),
            came: Vec::new(),
            all: 0.0,
            levels: [0.0; LEVELS],
            excess: Vec::new(),
            looked_at: 0,
        };
        worth.retune(quotas, worths);
        worth
    }

    /// Other quotas and worths from now on. A tenant at another position is counted anew within half a second.
    pub fn retune(&mut self, quotas: &[f64], worths: &[f64]) {
        let sum: f64 = quotas.iter().sum::<f64>().max(1e-9);
        let rank = |worth: &f64| {
            worths
                .iter()
                .filter(|other| *other > worth)
                .count()
                .min(OF_A_KIND - 1)
        };
        self.quotas = quotas.iter().map(|quota| quota / sum).collect();
        self.ranks = worths.iter().map(rank).collect();
        self.came.resize(quotas.len(), 0.0);
        self.excess.resize(quotas.len(), 1.0);
    }

    /// Counts a request and says how worthy it is. `draw`, between 0 and 1, tells which of a tenant's requests are those
    /// beyond its share. A tenant that is not known has no share.
    pub fn level(
        &mut self,
        tenant: Option<usize>,
        class: usize,
        retry: bool,
        draw: f64,
    ) -> AdmissionLevel {
        self.all += 1.0;
        let excess = match tenant.filter(|tenant| *tenant < self.came.len()) {
            Some(tenant) => {
                self.came[tenant] += 1.0;
                self.excess[tenant]
            }
            // Without tenants there are no shares to be beyond.
            None if self.quotas.is_empty() => 1.0,
            None => f64::MAX,
        };
        let rank = self.ranks.get(class).copied().unwrap_or(OF_A_KIND - 1);
        let level = if draw >= 1.0 / excess {
            3 * OF_A_KIND + (excess.log2().max(0.0) as usize).min(OF_A_KIND - 1)
        } else if excess > 1.0 {
            2 * OF_A_KIND + rank
        } else if retry {
            OF_A_KIND + rank
        } else {
            rank
        };
        self.levels[level] += 1.0;
        AdmissionLevel(level as u8)
    }

    /// Whether a request of this level is among the most worthy `part` of what came lately.
    pub fn is_within(&self, part: f64, level: AdmissionLevel, draw: f64) -> bool {
        let level = usize::from(level.0);
        let sum: f64 = self.levels.iter().sum();
        let (before, own) = (self.levels[..level].iter().sum::<f64>(), self.levels[level]);
        // The line runs through one level; of that a part is taken.
        draw * own.max(1e-9) < part * sum - before
    }

    /// Looks who is beyond its share, and has earlier counts fade; to be called some times a second.
    pub fn look(&mut self, now: Micros) {
        let fade = (-((now - self.looked_at).max(0) as f64) / MEMORY as f64).exp();
        self.looked_at = now;
        if self.all >= ENOUGH {
            let uses = self.came.iter().zip(&self.quotas);
            let uses: Vec<f64> = uses
                .map(|(came, quota)| came / self.all / quota.max(1e-9))
                .collect();
            // Where one tenant alone asks for more than its share, the others' parts are small through it: each is
            // measured by the one in the middle, as the decision module does.
            let mut sorted = uses.clone();
            sorted.sort_by(f64::total_cmp);
            let fair = sorted
                .get((sorted.len().max(1) - 1) / 2)
                .copied()
                .unwrap_or(1.0)
                .max(1e-9);
            for (excess, used) in self.excess.iter_mut().zip(uses) {
                let times = used / fair;
                *excess = if times > SLACK { times } else { 1.0 };
            }
        }
        self.all *= fade;
        self.came.iter_mut().for_each(|came| *came *= fade);
        self.levels.iter_mut().for_each(|level| *level *= fade);
    }
}
