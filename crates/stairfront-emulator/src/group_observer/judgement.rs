//! How reports and attempts are judged against the true state of the group.
use std::collections::BTreeSet;

use stairfront_common::time::{to_ms, Micros, SECOND};

use super::network::LastReport;
use super::{GroupObserver, MemberReport, PeerReport};

/// Longest age of a report that counts for the group's completeness.
const MAX_REPORT_AGE: Micros = SECOND;

impl GroupObserver {
    pub(super) fn judge_report(&mut self, now: Micros, member: usize, report: MemberReport) {
        if !self.network.process(member).running {
            return;
        }
        self.report.metrics.reports += 1;
        for peer in &report.members {
            self.judge_incarnation(now, member, peer);
        }
        if self.network.is_stable(now, member) {
            for peer in &report.members {
                self.judge_state(now, member, peer);
            }
            self.judge_quorum(now, member, &report.quorum_status);
        }
        self.network.process_mut(member).last_report = Some(LastReport { at: now, report });
        self.judge_completeness(now);
    }

    /// An incarnation never goes back in the reports of one process.
    fn judge_incarnation(&mut self, now: Micros, member: usize, peer: &PeerReport) {
        let process = self.network.process_mut(member);
        let before = process
            .reported_incarnations
            .insert(peer.name.clone(), peer.incarnation)
            .unwrap_or(0);
        if peer.incarnation < before {
            let text = format!(
                "{} takes {} back from incarnation {before} to {}",
                self.names[member], peer.name, peer.incarnation
            );
            self.add_violation(now, text);
        }
    }

    fn judge_state(&mut self, now: Micros, member: usize, peer: &PeerReport) {
        let position = self.names.iter().position(|name| *name == peer.name);
        let Some(other) = position.filter(|other| *other != member) else {
            return;
        };
        self.judge_live_peer(now, member, other, peer);
        self.judge_ended_peer(now, member, other, peer);
    }

    /// A live member that more than half of the group can reach is not reported as failed.
    fn judge_live_peer(&mut self, now: Micros, member: usize, other: usize, peer: &PeerReport) {
        let through = self.network.common_neighbours(now, member, other);
        if !self.network.is_stable(now, other) || through * 2 <= self.network.size() {
            return;
        }
        self.report.metrics.judged_alive += 1;
        if peer.state == "failed" || peer.state == "left" {
            let text = format!(
                "{} says that {} has {}, though it lives and {through} reach both",
                self.names[member], peer.name, peer.state
            );
            self.add_violation(now, text);
        }
    }

    /// A process that ended some time ago is not reported as alive.
    fn judge_ended_peer(&mut self, now: Micros, member: usize, other: usize, peer: &PeerReport) {
        let process = self.network.process(other);
        let elapsed = now - process.since;
        if process.running || process.duplicated || elapsed < self.limits.detection_time {
            return;
        }
        self.report.metrics.judged_dead += 1;
        if peer.state == "alive" {
            let text = format!(
                "{} says that {} is alive, which has been dead for {:.0} ms",
                self.names[member],
                peer.name,
                to_ms(elapsed)
            );
            self.add_violation(now, text);
        }
    }

    /// A process reports a quorum only where it can have one, and where it certainly has one.
    fn judge_quorum(&mut self, now: Micros, member: usize, status: &str) {
        let size = self.network.size();
        let reachable = self.network.reachable_from(now, member);
        let count = reachable.len();
        let name = self.names[member].clone();
        if count * 2 <= size {
            self.report.metrics.judged_quorum += 1;
            if matches!(status, "whole" | "majority") {
                let text = format!(
                    "{name} calls itself {status}, and {count} of {size} can be there for it"
                );
                self.add_violation(now, text);
            }
            return;
        }
        let network = &self.network;
        if !network.is_connected(now, &reachable) || !network.is_isolated(now, &reachable) {
            return;
        }
        self.report.metrics.judged_quorum += 1;
        let expected = if count == size { "whole" } else { "majority" };
        if status != expected {
            let text =
                format!("{name} calls itself {status}, and {count} of {size} are there and well");
            self.add_violation(now, text);
        }
    }

    /// Notes when all processes report a complete group and the same cordons for the first time after the last fault.
    fn judge_completeness(&mut self, now: Micros) {
        let Some(finished_at) = self.faults_finished_at else {
            return;
        };
        if self.is_complete() {
            return;
        }
        let mut digests = BTreeSet::new();
        for process in self.network.processes() {
            let Some(LastReport { at, report }) = &process.last_report else {
                return;
            };
            let is_recent = *at >= finished_at && now - at < MAX_REPORT_AGE;
            let sees_all = report.quorum_status == "whole"
                && report.members.iter().all(|peer| peer.state == "alive");
            if !is_recent || !sees_all {
                return;
            }
            digests.insert(&report.digest);
        }
        if digests.len() == 1 {
            self.report.metrics.complete_after_ms = Some(to_ms(now - finished_at));
        }
    }

    /// Nothing is sent to a host once the group has confirmed its cordon.
    pub(super) fn judge_attempt(&mut self, now: Micros, host: &str, member: usize) {
        let Some(cordoned_at) = self.cordoned_at.get(host).copied() else {
            return;
        };
        self.report.metrics.judged_attempts += 1;
        if now > cordoned_at + self.limits.slack {
            let text = format!(
                "{} began an attempt at {host} {:.0} ms after the yes",
                self.names[member],
                to_ms(now - cordoned_at)
            );
            self.add_violation(now, text);
        }
    }
}
