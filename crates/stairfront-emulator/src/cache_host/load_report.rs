//! The load report that a host adds to its replies.
use std::fmt::Write as _;

use stairfront_common::time::{from_ms, Micros, SECOND};

use super::CacheSettings;
use crate::worker_pool::WorkerPool;

/// The last load report and when it was made.
#[derive(Debug)]
pub(super) struct LoadReporter {
    report: Option<String>,
    reported_at: Micros,
    answered_at_report: u64,
}

impl Default for LoadReporter {
    fn default() -> Self {
        LoadReporter {
            report: None,
            // Long ago, so that the first report is due, and far from the limit, so that differences do not overflow.
            reported_at: Micros::MIN / 2,
            answered_at_report: 0,
        }
    }
}

impl LoadReporter {
    /// The load report, made anew when its interval has passed; none where the host sends none.
    pub(super) fn report<T>(
        &mut self,
        now: Micros,
        settings: &CacheSettings,
        answered: u64,
        workers: &mut WorkerPool<T>,
    ) -> Option<String> {
        if settings.report_fields.is_empty() {
            return None;
        }
        let is_due = now - self.reported_at >= from_ms(settings.report_interval_ms);
        if is_due || self.report.is_none() {
            self.report = Some(self.make(now, settings, answered, workers));
        }
        self.report.clone()
    }

    fn make<T>(
        &mut self,
        now: Micros,
        settings: &CacheSettings,
        answered: u64,
        workers: &mut WorkerPool<T>,
    ) -> String {
        let elapsed = (now - self.reported_at).clamp(1, 10 * SECOND);
        let throughput =
            (answered - self.answered_at_report) as f64 / (elapsed as f64 / SECOND as f64);
        let utilization = workers.utilization_since_last_call(now);
        self.reported_at = now;
        self.answered_at_report = answered;
        let mut text = String::new();
        for field in &settings.report_fields {
            let value = match field.as_str() {
                "outstanding" => workers.outstanding() as f64,
                "backlog" => workers.waiting() as f64,
                "utilization" => utilization,
                _ => throughput,
            };
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a String cannot fail.
            let _ = write!(text, "{comma}{field}={value:.3}");
        }
        text
    }
}
