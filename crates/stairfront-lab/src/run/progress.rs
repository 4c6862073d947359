//! The progress of a run, printed on standard error.
use std::sync::Arc;

use stairfront_common::time::{to_ms, Micros, SECOND};
use stairfront_emulator::faults::FaultInterval;

use super::Run;
use crate::live_counters::{LiveCounters, LiveSnapshot};

/// How much is printed while a run goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing.
    Nothing,
    /// How far the run is, on one line that is written over.
    Line,
    /// The answers of each second, and the attempts at each server.
    Table,
}

/// Prints the progress of a run once a second.
pub(super) struct ProgressReport<'a> {
    run: &'a Run<'a>,
    live_counters: Arc<LiveCounters>,
    reported_second: Micros,
}

impl<'a> ProgressReport<'a> {
    pub(super) fn new(run: &'a Run<'a>, live_counters: Arc<LiveCounters>) -> Self {
        ProgressReport {
            run,
            live_counters,
            reported_second: -1,
        }
    }

    /// Prints if a new second has begun.
    pub(super) fn report(&mut self, now: Micros) {
        let second = now / SECOND;
        if second == self.reported_second {
            return;
        }
        self.reported_second = second;
        match self.run.environment.progress {
            Progress::Nothing => {}
            Progress::Line => self.print_line(now),
            Progress::Table => self.print_row(second),
        }
    }

    fn print_line(&self, now: Micros) {
        let plan = self.run.plan;
        eprint!(
            "\r{:24} {:16} seed {:<4} rate {:<8.0} {:5.1} of {:.0} s  ",
            plan.name,
            self.run.variant.name,
            self.run.seed,
            plan.clients.traffic.rate,
            to_ms(now.max(0)) / 1e3,
            plan.seconds
        );
    }

    /// Prints what was answered since the last row, and which faults began and ended.
    fn print_row(&self, second: Micros) {
        let LiveSnapshot {
            served,
            rejected,
            other,
            slowest_us,
            attempts,
        } = self.live_counters.take();
        if second <= 0 {
            return print_heading(attempts.len().saturating_sub(1));
        }
        let (origin, caches) = attempts.split_last().unwrap_or((&0, &[]));
        let caches: String = caches.iter().map(|count| format!("{count:>6}")).collect();
        let notes = self.fault_notes(second as f64);
        let slowest = slowest_us as f64 / 1e3;
        eprintln!("{second:>4}{served:>8}{rejected:>9}{other:>8}{slowest:>12.1}  {caches}{origin:>8}{notes}");
    }

    fn fault_notes(&self, at_s: f64) -> String {
        let marks = self.run.plan.fault_script(self.run.seed).marks;
        let last_second = at_s - 1.0..at_s;
        let begun = |mark: &&FaultInterval| last_second.contains(&mark.from_s);
        let ended = |mark: &&FaultInterval| last_second.contains(&mark.until_s);
        let begins = marks.iter().filter(begun);
        let begins = begins.map(|mark| format!("  <- {}", mark.text));
        let ends = marks.iter().filter(ended);
        let ends = ends.map(|mark| format!("  <- over: {}", mark.text));
        begins.chain(ends).collect()
    }
}

fn print_heading(caches: usize) {
    let names: String = (0..caches)
        .map(|i| format!("{:>6}", format!("c{i}")))
        .collect();
    eprintln!(
        "{:>4}{:>8}{:>9}{:>8}{:>12}  {names}{:>8}",
        "s", "served", "refused", "other", "slowest ms", "origin"
    );
}
