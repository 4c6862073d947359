//! Fairness by tenant quota: which tenants use more of their quota than the others.
use crate::interface::{Tenant, TenantId};
use crate::statistics::{lower_median, shift_fractions};

/// A tenant is beyond its share above this multiple of the median use of quotas here.
const FAIR_MULTIPLE: f64 = 1.2;
/// Nothing is shed of a use below this multiple of the median: that is chance and the variation of
/// a day.
const MIN_SHED_MULTIPLE: f64 = 1.5;
/// Number of requests that the fractions of traffic are averaged over.
const MAX_SAMPLES: f64 = 400.0;
/// Number of requests that the quotas stand for at the start.
const PRIOR_SAMPLES: f64 = 20.0;
/// Least quota that is divided by.
const MIN_QUOTA: f64 = 1e-9;

/// Each tenant's fraction of recent requests.
///
/// Fractions are kept and not rates, since a balancer with little traffic sees most tenants only
/// every few seconds.
#[derive(Clone)]
pub(super) struct TenantUsage {
    /// By position in the settings.
    pub(super) fractions: Vec<f64>,
    /// Number of requests that the fractions were learned from, up to a bound.
    pub(super) samples: f64,
}

impl Default for TenantUsage {
    fn default() -> Self {
        TenantUsage::new(&[])
    }
}

impl TenantUsage {
    /// Usage in the proportion of the quotas.
    pub(super) fn new(tenants: &[Tenant]) -> Self {
        let quotas = total_quota(tenants);
        TenantUsage {
            fractions: tenants
                .iter()
                .map(|tenant| quota_fraction(tenant, quotas))
                .collect(),
            samples: PRIOR_SAMPLES,
        }
    }

    /// Adopts another list of tenants, which names each tenant's position in the former one; a new
    /// tenant begins with its fraction of the quotas.
    pub(super) fn reassign(&mut self, tenants: &[Tenant], former_positions: &[Option<usize>]) {
        let quotas = total_quota(tenants);
        let reassigned = tenants
            .iter()
            .zip(former_positions)
            .map(|(tenant, former)| {
                let learned = former.and_then(|former| self.fractions.get(former).copied());
                learned.unwrap_or(quota_fraction(tenant, quotas))
            });
        self.fractions = reassigned.collect();
    }

    /// Counts a request.
    pub(super) fn record(&mut self, tenant: TenantId) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        shift_fractions(&mut self.fractions, tenant.0 as usize, self.samples);
    }

    /// Fraction of a tenant's requests that are beyond its share, by the median use of quotas; 0 or
    /// less if none is.
    pub(super) fn excess_fraction(&self, tenant: TenantId, tenants: &[Tenant]) -> f64 {
        let quotas = total_quota(tenants);
        let uses: Vec<f64> = self
            .fractions
            .iter()
            .zip(tenants)
            .map(|(fraction, tenant)| fraction * quotas / tenant.quota_per_s.max(MIN_QUOTA))
            .collect();
        let own = uses.get(tenant.0 as usize).copied();
        let Some(own) = own.filter(|own| *own > 0.0) else {
            return 0.0;
        };
        let median = lower_median(uses);
        // Of two tenants the lower median is the smaller use, so the greater one would be rejected
        // inside its share.
        let beyond = own >= MIN_SHED_MULTIPLE * median.max(1.0);
        f64::from(u8::from(beyond)) * (1.0 - FAIR_MULTIPLE * median / own)
    }
}

fn total_quota(tenants: &[Tenant]) -> f64 {
    tenants.iter().map(|tenant| tenant.quota_per_s).sum()
}

fn quota_fraction(tenant: &Tenant, quotas: f64) -> f64 {
    tenant.quota_per_s / quotas.max(MIN_QUOTA)
}
