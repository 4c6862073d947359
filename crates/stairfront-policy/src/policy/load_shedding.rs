//! Load shedding: under pressure, requests of tenants beyond their share are rejected first, with a
//! probability that rises while requests find no capacity.
use stairfront_common::time::Micros;

use super::Policy;
use crate::interface::{Action, LogRecord, Request};

/// Fraction of requests that may find their candidates full, or end late, before the level rises.
const TOLERATED_PRESSURE: f64 = 0.08;
/// Change of the level by one request.
const LEVEL_STEP: f64 = 0.06;
/// Level from which shedding is reported as active.
const REPORTED_LEVEL: f64 = 0.5;

/// How much of the traffic beyond tenants' shares is rejected.
#[derive(Default)]
pub(super) struct LoadShedding {
    /// From 0, nothing, to 1.
    pub(super) level: f64,
    /// The last report.
    active: bool,
}

impl LoadShedding {
    /// Counts a request or attempt, and whether it was under pressure: all candidates full, or the
    /// answer late.
    pub(super) fn record(&mut self, under_pressure: bool) {
        let step = f64::from(u8::from(under_pressure)) - TOLERATED_PRESSURE;
        self.level = (self.level + LEVEL_STEP * step).clamp(0.0, 1.0);
    }

    /// Whether shedding has begun or ended since the last call, and which.
    fn take_change(&mut self) -> Option<bool> {
        let active = self.level > REPORTED_LEVEL;
        if self.active == active {
            return None;
        }
        self.active = active;
        Some(active)
    }
}

impl Policy {
    /// Whether the request is to be rejected since its tenant is beyond its share and capacity is
    /// short.
    pub(super) fn sheds(
        &mut self,
        now: Micros,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> bool {
        let level = self.load_shedding.level;
        if let Some(active) = self.load_shedding.take_change() {
            self.log(now, LogRecord::OverShareShedding { active }, actions);
        }
        let excess = self
            .tenant_usage
            .excess_fraction(request.tenant, &self.settings.tenants);
        excess > 0.0 && self.settings.over_share_weight < 1.0 && self.rng.unit() < excess * level
    }
}
