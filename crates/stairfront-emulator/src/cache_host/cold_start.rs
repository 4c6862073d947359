//! The time after a cold start, in which a host has a part of its capacity and can be overloaded.
use stairfront_common::time::{from_ms, Micros, SECOND};

use super::CacheSettings;
use crate::work_window::{WorkWindow, BUCKET_WIDTH};

/// The cold start of a host.
#[derive(Debug, Default)]
pub(super) struct ColdStart {
    /// When the host started, where it started cold.
    started: Option<Micros>,
    received: WorkWindow,
    max_load_ratio: f64,
}

impl ColdStart {
    /// The host starts cold. The highest load of earlier cold starts is kept.
    pub(super) fn restart(&mut self, now: Micros) {
        self.started = Some(now);
        self.received = WorkWindow::default();
    }

    /// When the host started, while it is still cold.
    fn cold_since(&self, settings: &CacheSettings, now: Micros) -> Option<Micros> {
        self.started
            .filter(|started| now - started < from_ms(settings.warm_up_ms))
    }

    pub(super) fn is_cold(&self, settings: &CacheSettings, now: Micros) -> bool {
        self.cold_since(settings, now).is_some()
    }

    /// The fraction of its capacity that the host has: it rises evenly until the host is warm.
    pub(super) fn capacity_fraction(&self, settings: &CacheSettings, now: Micros) -> f64 {
        let Some(started) = self.cold_since(settings, now) else {
            return 1.0;
        };
        let progress = (now - started) as f64 / from_ms(settings.warm_up_ms).max(1) as f64;
        settings.cold_capacity + (1.0 - settings.cold_capacity) * progress.clamp(0.0, 1.0)
    }

    /// The most work that arrived within a window while the host was cold, over what the rule allows.
    pub(super) fn max_load_ratio(&self) -> f64 {
        self.max_load_ratio
    }

    /// Adds up work while the host is cold; true when it is more than the host can bear for the whole window.
    pub(super) fn is_overloaded_by(
        &mut self,
        settings: &CacheSettings,
        now: Micros,
        work: f64,
    ) -> bool {
        let Some(started) = self.cold_since(settings, now) else {
            return false;
        };
        let window = from_ms(settings.overload_window_ms).max(BUCKET_WIDTH);
        let received = self.received.add(now, work, window);
        let capacity =
            self.capacity_fraction(settings, now) * settings.cores as f64 * window as f64;
        let ratio = received / (capacity * settings.overload_multiple).max(1.0);
        self.max_load_ratio = self.max_load_ratio.max(ratio);
        ratio > 1.0 && now - started >= window.min(SECOND)
    }
}
