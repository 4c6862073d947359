//! How long members take to detect that another one was killed, or runs again.
use std::collections::BTreeMap;

use stairfront_common::time::{to_ms, Micros};
use stairfront_emulator::group_observer::MemberReport;

use super::outcome::GroupOutcome;
use super::Member;

/// A detection that took longer is described by itself.
const SLOW_DETECTION_MS: f64 = 5_000.0;
const MAX_SLOW_DETECTIONS: usize = 64;

/// A kill, and the members that have detected it.
struct Kill {
    member: usize,
    at: Micros,
    /// Time of detection by member, in milliseconds since the kill.
    detected_ms: BTreeMap<usize, f64>,
}

/// A paused member that runs again.
struct Resume {
    member: usize,
    at: Micros,
}

/// Kills and resumes of a run, measured by the reports of the other members.
#[derive(Default)]
pub(super) struct DetectionTimes {
    kills: Vec<Kill>,
    resumes: Vec<Resume>,
}

impl DetectionTimes {
    pub(super) fn add_kill(&mut self, at: Micros, member: usize) {
        self.kills.push(Kill {
            member,
            at,
            detected_ms: BTreeMap::new(),
        });
    }

    pub(super) fn add_resume(&mut self, at: Micros, member: usize) {
        self.resumes.push(Resume { member, at });
    }

    /// Updates the times by one member's report.
    pub(super) fn update(
        &mut self,
        at: Micros,
        observer: usize,
        report: &MemberReport,
        members: &[Member],
        outcome: &mut GroupOutcome,
    ) {
        for kill in &mut self.kills {
            kill.update(at, observer, report, members, outcome);
        }
        let is_alive = |member: usize| state_of(report, member).any(|state| state == "alive");
        let detected: Vec<usize> = (0..self.resumes.len())
            .filter(|i| self.resumes[*i].member != observer && is_alive(self.resumes[*i].member))
            .collect();
        for i in detected.into_iter().rev() {
            let resume = self.resumes.remove(i);
            outcome.resume_detected_ms.push(to_ms(at - resume.at));
        }
    }
}

impl Kill {
    fn update(
        &mut self,
        at: Micros,
        observer: usize,
        report: &MemberReport,
        members: &[Member],
        outcome: &mut GroupOutcome,
    ) {
        let name = format!("b{}", self.member);
        let verdict = report
            .members
            .iter()
            .find(|other| other.name == name && other.state == "failed");
        // A member that was started after the kill can only have been notified of it.
        let counts = members[observer].started_at < self.at
            && !members[self.member].up
            && !self.detected_ms.contains_key(&observer);
        let Some(verdict) = verdict.filter(|_| counts) else {
            return;
        };
        let after_ms = to_ms(at - self.at) - verdict.since_ms as f64;
        if after_ms <= 0.0 {
            // It was held failed before the kill, for another reason.
            return;
        }
        self.detected_ms.insert(observer, after_ms);
        outcome.detected_ms.push(after_ms);
        if after_ms > SLOW_DETECTION_MS && outcome.slow_detections.len() < MAX_SLOW_DETECTIONS {
            outcome
                .slow_detections
                .push(self.describe(at, observer, after_ms));
        }
        let is_observer =
            |member: &&Member| member.up && !member.paused && member.started_at < self.at;
        if self.detected_ms.len() == members.iter().filter(is_observer).count() {
            let last = self.detected_ms.values().copied().fold(0.0, f64::max);
            outcome.detected_by_all_ms.push(last);
        }
    }

    fn describe(&self, at: Micros, observer: usize, after_ms: f64) -> String {
        let killed = to_ms(self.at);
        let said = to_ms(at);
        let member = self.member;
        format!("b{member}, killed at {killed:.0}, failed at b{observer} after {after_ms:.0} ms, as it said at {said:.0}")
    }
}

fn state_of(report: &MemberReport, member: usize) -> impl Iterator<Item = &str> {
    let name = format!("b{member}");
    let states = report
        .members
        .iter()
        .filter(move |other| other.name == name);
    states.map(|other| other.state.as_str())
}
