//! The true state of a group's processes and links.
use std::collections::{BTreeMap, BTreeSet};

use stairfront_common::time::{to_ms, Micros, SECOND};

use super::MemberReport;
use crate::links::DirectedLink;

/// A time long before the run, far from the limit, so that differences do not overflow.
const LONG_AGO: Micros = Micros::MIN / 2;
/// Time after which a process that was started or resumed can answer others.
const ANSWERS_AFTER: Micros = SECOND;

/// The last report of a process.
#[derive(Clone, Debug)]
pub(super) struct LastReport {
    pub(super) at: Micros,
    pub(super) report: MemberReport,
}

/// The true state of a process.
#[derive(Clone, Debug)]
pub(super) struct Process {
    pub(super) running: bool,
    paused: bool,
    /// Whether a second process with its name runs.
    pub(super) duplicated: bool,
    /// Since when it has been in this state.
    pub(super) since: Micros,
    pub(super) last_report: Option<LastReport>,
    /// The incarnations that it has reported since it started, by member name.
    pub(super) reported_incarnations: BTreeMap<String, u64>,
}

impl Process {
    fn new() -> Self {
        Process {
            running: false,
            paused: false,
            duplicated: false,
            since: LONG_AGO,
            last_report: None,
            reported_incarnations: BTreeMap::new(),
        }
    }

    pub(super) fn start(&mut self, now: Micros) {
        self.running = true;
        self.paused = false;
        self.since = now;
        self.last_report = None;
        self.reported_incarnations.clear();
    }

    pub(super) fn stop(&mut self, now: Micros) {
        self.running = false;
        self.paused = false;
        self.since = now;
        self.last_report = None;
    }

    pub(super) fn pause(&mut self, now: Micros) {
        self.paused = true;
        self.since = now;
        self.last_report = None;
    }

    pub(super) fn resume(&mut self, now: Micros) {
        self.paused = false;
        self.since = now;
    }

    pub(super) fn set_duplicated(&mut self, now: Micros, duplicated: bool) {
        self.duplicated = duplicated;
        self.since = now;
    }

    fn is_awake(&self) -> bool {
        self.running && !self.paused
    }

    pub(super) fn describe_last_report(&self) -> String {
        let Some(LastReport { at, report }) = &self.last_report else {
            return "nothing".to_string();
        };
        let not_alive: Vec<String> = report
            .members
            .iter()
            .filter(|peer| peer.state != "alive")
            .map(|peer| format!("{} {}", peer.name, peer.state))
            .collect();
        format!(
            "{} {} [{}] at {:.0} ms",
            report.quorum_status,
            report.digest,
            not_alive.join(", "),
            to_ms(*at)
        )
    }
}

/// The true state of a link in one direction. Faults that a group has to tolerate do not count.
#[derive(Clone, Copy, Debug)]
struct LinkCondition {
    cuts: u32,
    other_faults: u32,
    /// Since when it has been in this state.
    since: Micros,
}

impl LinkCondition {
    fn has_no_fault(&self) -> bool {
        self.cuts == 0 && self.other_faults == 0
    }
}

/// The true state of a group.
#[derive(Debug)]
pub(super) struct Network {
    processes: Vec<Process>,
    /// By sender and receiver.
    links: Vec<LinkCondition>,
    /// Time for which something must have been in a state before others have to know.
    stability_time: Micros,
}

impl Network {
    pub(super) fn new(count: usize, stability_time: Micros) -> Self {
        let link = LinkCondition {
            cuts: 0,
            other_faults: 0,
            since: LONG_AGO,
        };
        Network {
            processes: vec![Process::new(); count],
            links: vec![link; count * count],
            stability_time,
        }
    }

    pub(super) fn size(&self) -> usize {
        self.processes.len()
    }

    pub(super) fn processes(&self) -> &[Process] {
        &self.processes
    }

    pub(super) fn process(&self, member: usize) -> &Process {
        &self.processes[member]
    }

    pub(super) fn process_mut(&mut self, member: usize) -> &mut Process {
        &mut self.processes[member]
    }

    /// Links have one fault more, or one less.
    pub(super) fn count_link_fault(
        &mut self,
        now: Micros,
        pairs: &[DirectedLink],
        cut: bool,
        change: i32,
    ) {
        let count = self.size();
        for (from, to) in pairs {
            let Some(link) = self.links.get_mut(from * count + to) else {
                continue;
            };
            let faults = if cut {
                &mut link.cuts
            } else {
                &mut link.other_faults
            };
            *faults = faults.saturating_add_signed(change);
            link.since = now;
        }
    }

    fn both_directions(&self, a: usize, b: usize) -> [&LinkCondition; 2] {
        let count = self.size();
        [&self.links[a * count + b], &self.links[b * count + a]]
    }

    /// Whether a process runs, is awake and the only one of its name, for long enough.
    pub(super) fn is_stable(&self, now: Micros, member: usize) -> bool {
        let process = self.process(member);
        process.is_awake() && !process.duplicated && now - process.since >= self.stability_time
    }

    /// Whether the links between two members have had no fault, in either direction, for long enough.
    pub(super) fn is_open(&self, now: Micros, a: usize, b: usize) -> bool {
        self.both_directions(a, b)
            .into_iter()
            .all(|link| link.has_no_fault() && now - link.since >= self.stability_time)
    }

    /// Whether a link between two members has been cut for so long that nothing of before counts.
    pub(super) fn is_cut(&self, now: Micros, a: usize, b: usize) -> bool {
        self.both_directions(a, b)
            .into_iter()
            .any(|link| link.cuts > 0 && now - link.since >= self.stability_time)
    }

    pub(super) fn can_reach_majority(&self, now: Micros, member: usize) -> bool {
        let reachable = (0..self.size()).filter(|other| {
            let process = self.process(*other);
            let answers = process.is_awake() && now - process.since > ANSWERS_AFTER;
            let no_fault = self
                .both_directions(member, *other)
                .into_iter()
                .all(LinkCondition::has_no_fault);
            *other == member || (answers && no_fault)
        });
        reachable.count() * 2 > self.size()
    }

    /// Number of stable members that can reach both of these, themselves included: through them each can learn of the
    /// other, if not directly.
    pub(super) fn common_neighbours(&self, now: Micros, a: usize, b: usize) -> usize {
        let reaches = |from: usize, to: usize| from == to || self.is_open(now, to, from);
        (0..self.size())
            .filter(|third| self.is_stable(now, *third) && reaches(*third, a) && reaches(*third, b))
            .count()
    }

    /// The members that a member may have heard of lately over any path that is not cut, itself included. No others can
    /// be part of its quorum.
    pub(super) fn reachable_from(&self, now: Micros, member: usize) -> BTreeSet<usize> {
        let mut reachable = BTreeSet::from([member]);
        let mut frontier = vec![member];
        while let Some(at) = frontier.pop() {
            for other in 0..self.size() {
                let process = self.process(other);
                let is_gone = !process.is_awake() && now - process.since >= self.stability_time;
                if !is_gone && !self.is_cut(now, at, other) && reachable.insert(other) {
                    frontier.push(other);
                }
            }
        }
        reachable
    }

    /// Whether these members are all stable and the links between them open.
    pub(super) fn is_connected(&self, now: Micros, members: &BTreeSet<usize>) -> bool {
        members.iter().all(|a| {
            self.is_stable(now, *a) && members.iter().all(|b| a == b || self.is_open(now, *a, *b))
        })
    }

    /// Whether nothing of the other members reaches these: none of the others is awake, or all links are cut.
    pub(super) fn is_isolated(&self, now: Micros, members: &BTreeSet<usize>) -> bool {
        let others: Vec<usize> = (0..self.size())
            .filter(|other| !members.contains(other))
            .collect();
        let none_awake = others.iter().all(|other| !self.process(*other).is_awake());
        none_awake
            || members
                .iter()
                .all(|a| others.iter().all(|b| self.is_cut(now, *a, *b)))
    }
}
