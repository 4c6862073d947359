//! An observer of a group of processes. It is told what was really killed, paused and cut, receives each process's own
//! report of the group, and compares the two. It does not rely on what a process reports about itself.
mod judgement;
mod network;
mod report;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stairfront_common::time::{to_ms, Micros, MS, SECOND};

pub use self::report::{GroupMetrics, GroupReport};

use self::network::Network;
use crate::links::DirectedLink;

/// Most violations whose history is kept.
const MAX_EXAMPLES: usize = 8;
/// Most events that are kept for such a history.
const MAX_HISTORY: usize = 4096;
/// How far back the history of a violation goes.
const HISTORY_SPAN: Micros = 20 * SECOND;

/// The state of the group as a process reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Whether it sees all members (`whole`), a majority (`majority`) or fewer.
    #[serde(rename = "standing")]
    pub quorum_status: String,
    /// A digest of its set of cordons.
    pub digest: String,
    /// Members whose configured roster is another one.
    #[serde(default)]
    pub roster_differs: Vec<String>,
    /// Hosts that are cordoned.
    #[serde(default)]
    pub cordons: Vec<String>,
    /// The state of each member.
    pub members: Vec<PeerReport>,
}

/// The state of one member as a process reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The member's name.
    pub name: String,
    /// Its state, such as `alive` or `failed`.
    pub state: String,
    /// Its incarnation (SWIM, section 4.2).
    pub incarnation: u64,
    /// How long the reporting process has seen it in this state, in milliseconds.
    #[serde(default)]
    pub since_ms: u64,
}

/// An event that really happened, or a report. Members are positions in the group, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEvent {
    /// A new process of a member was started.
    Started {
        /// The member.
        member: usize,
    },
    /// The process was killed, or has ended as ordered.
    Stopped {
        /// The member.
        member: usize,
    },
    /// The process was paused.
    Paused {
        /// The member.
        member: usize,
    },
    /// The process goes on after a pause.
    Resumed {
        /// The member.
        member: usize,
    },
    /// Links have a fault.
    LinksFaulted {
        /// The links.
        pairs: Vec<DirectedLink>,
        /// Whether nothing is delivered.
        cut: bool,
        /// Whether a group has to tolerate it (see [`crate::links::LinkFault::is_mild`]).
        mild: bool,
    },
    /// Links do not have this fault any more.
    LinksRestored {
        /// The links.
        pairs: Vec<DirectedLink>,
        /// Whether nothing was delivered.
        cut: bool,
        /// Whether a group had to tolerate it.
        mild: bool,
    },
    /// A second process with the name of a member was started or stopped.
    DuplicateRunning {
        /// The member.
        member: usize,
        /// Whether it runs now.
        running: bool,
    },
    /// The last fault has ended.
    FaultsFinished,
    /// A process has reported.
    Reported {
        /// The member.
        member: usize,
        /// Its report.
        report: MemberReport,
    },
    /// The group has confirmed the cordon of a host.
    Cordoned {
        /// The host.
        host: String,
    },
    /// The removal of a host's cordon has begun.
    Uncordoned {
        /// The host.
        host: String,
    },
    /// An attempt began at a cache host, by the host's own clock.
    AttemptStarted {
        /// The host.
        host: String,
        /// The member that sent it.
        member: usize,
    },
}

/// The times that a group is judged by.
#[derive(Clone, Debug)]
pub struct GroupLimits {
    /// Time for which the network must have been unchanged before a report has to be right.
    pub stability_time: Micros,
    /// Longest time for which a process that has ended may be reported as alive.
    pub detection_time: Micros,
    /// Longest time from the last fault until all processes report a complete group and agree.
    pub recovery_time: Micros,
    /// Time after the confirmation of a cordon in which an attempt that was in flight may still begin.
    pub slack: Micros,
}

impl Default for GroupLimits {
    fn default() -> Self {
        GroupLimits {
            stability_time: 6 * SECOND,
            detection_time: 7 * SECOND,
            recovery_time: 8 * SECOND,
            slack: 50 * MS,
        }
    }
}

/// The observer of a group.
pub struct GroupObserver {
    names: Vec<String>,
    limits: GroupLimits,
    network: Network,
    /// When the last fault ended.
    faults_finished_at: Option<Micros>,
    /// When each cordon was confirmed, by host.
    cordoned_at: BTreeMap<String, Micros>,
    /// Events with their times, oldest first.
    history: Vec<(Micros, String)>,
    report: GroupReport,
}

impl GroupObserver {
    /// An observer of the members of these names, none of which runs yet.
    pub fn new(names: Vec<String>, limits: GroupLimits) -> Self {
        let network = Network::new(names.len(), limits.stability_time);
        GroupObserver {
            names,
            limits,
            network,
            faults_finished_at: None,
            cordoned_at: BTreeMap::new(),
            history: Vec::new(),
            report: GroupReport::default(),
        }
    }

    /// Takes an event, and judges it where it is a report or an attempt.
    pub fn observe(&mut self, now: Micros, event: GroupEvent) {
        self.record(now, &event);
        match event {
            GroupEvent::Started { member } => self.network.process_mut(member).start(now),
            GroupEvent::Stopped { member } => self.network.process_mut(member).stop(now),
            GroupEvent::Paused { member } => self.network.process_mut(member).pause(now),
            GroupEvent::Resumed { member } => self.network.process_mut(member).resume(now),
            GroupEvent::DuplicateRunning { member, running } => {
                let process = self.network.process_mut(member);
                process.set_duplicated(now, running);
            }
            GroupEvent::LinksFaulted { pairs, cut, mild } => {
                if !mild {
                    self.network.count_link_fault(now, &pairs, cut, 1);
                }
            }
            GroupEvent::LinksRestored { pairs, cut, mild } => {
                if !mild {
                    self.network.count_link_fault(now, &pairs, cut, -1);
                }
            }
            GroupEvent::FaultsFinished => self.faults_finished_at = Some(now),
            GroupEvent::Reported { member, report } => self.judge_report(now, member, report),
            GroupEvent::Cordoned { host } => {
                self.report.metrics.confirmed_cordons += 1;
                self.cordoned_at.insert(host, now);
            }
            GroupEvent::Uncordoned { host } => {
                self.cordoned_at.remove(&host);
            }
            GroupEvent::AttemptStarted { host, member } => self.judge_attempt(now, &host, member),
        }
    }

    /// Keeps an event for the history of violations. Reports and attempts are too many to be of use there.
    fn record(&mut self, now: Micros, event: &GroupEvent) {
        let is_frequent = matches!(
            event,
            GroupEvent::Reported { .. } | GroupEvent::AttemptStarted { .. }
        );
        if !is_frequent && self.history.len() < MAX_HISTORY {
            self.history.push((now, format!("{event:?}")));
        }
    }

    /// Whether a process that starts now can ask enough of the others which cordons hold: more than half of the group
    /// runs, itself included, and the links between them have no fault.
    pub fn can_reach_majority(&self, now: Micros, member: usize) -> bool {
        self.network.can_reach_majority(now, member)
    }

    /// Whether all processes have reported a complete group and agreed since the last fault.
    pub fn is_complete(&self) -> bool {
        self.report.metrics.complete_after_ms.is_some()
    }

    fn add_violation(&mut self, now: Micros, text: String) {
        self.report.violations += 1;
        if self.report.examples.len() >= MAX_EXAMPLES {
            return;
        }
        let history: Vec<String> = self
            .history
            .iter()
            .filter(|(at, _)| now - at < HISTORY_SPAN)
            .map(|(at, event)| format!("  {:9.0} ms {event}", to_ms(*at)))
            .collect();
        self.report.examples.push(format!(
            "{:.0} ms: {text}; before it:\n{}",
            to_ms(now),
            history.join("\n")
        ));
    }

    /// Judges whether the group recovered in time, and reports.
    pub fn finish(mut self, now: Micros) -> GroupReport {
        if let Some(finished_at) = self.faults_finished_at {
            let limit = self.limits.recovery_time;
            let is_late = match self.report.metrics.complete_after_ms {
                Some(ms) => ms > to_ms(limit),
                None => now - finished_at > limit,
            };
            if is_late {
                let text = self.describe_late_recovery(now - finished_at);
                self.add_violation(now, text);
            }
        }
        self.report
    }

    fn describe_late_recovery(&self, elapsed: Micros) -> String {
        let reports: Vec<String> = self
            .names
            .iter()
            .zip(self.network.processes())
            .map(|(name, process)| format!("{name}: {}", process.describe_last_report()))
            .collect();
        format!(
            "not whole {:.0} ms after the last trouble: {}",
            to_ms(elapsed),
            reports.join("; ")
        )
    }
}
