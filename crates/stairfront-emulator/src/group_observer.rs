//! An observer of a group of processes. It knows what was really killed, paused and cut, hears each process's own
//! account of the group, and holds the two against each other. No process is believed about itself.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use stairfront_common::time::{to_ms, Micros, MS, SECOND};

/// Breaches whose history is kept.
const MOST_EXAMPLES: usize = 8;
/// Things that befell the group, kept for such a history.
const MOST_HISTORY: usize = 4096;

/// What a process says of itself and the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    #[serde(rename = "standing")]
    pub quorum_status: String,
    pub digest: String,
    #[serde(default)]
    pub roster_differs: Vec<String>,
    #[serde(default)]
    pub cordons: Vec<String>,
    pub members: Vec<PeerReport>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    pub name: String,
    pub state: String,
    pub incarnation: u64,
    /// How long it has been so, by the one who says it.
    #[serde(default)]
    pub since_ms: u64,
}

/// What really happened, or was said.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEvent {
    /// A process was started, and is a new one.
    Started {
        member: usize,
    },
    /// Killed, or ended as told.
    Stopped {
        member: usize,
    },
    Paused {
        member: usize,
    },
    Resumed {
        member: usize,
    },
    /// A link does something to what goes over it, or not any more.
    LinksFaulted {
        pairs: Vec<(usize, usize)>,
        cut: bool,
        mild: bool,
    },
    LinksRestored {
        pairs: Vec<(usize, usize)>,
        cut: bool,
        mild: bool,
    },
    /// A second process of its name was started, or is over.
    DuplicateRunning {
        member: usize,
        running: bool,
    },
    /// The last trouble is over.
    FaultsFinished,
    Reported {
        member: usize,
        report: MemberReport,
    },
    /// An operator's order for the group was answered with a yes; the other way, it was begun to be taken back.
    Cordoned {
        host: String,
    },
    Uncordoned {
        host: String,
    },
    /// An attempt began at a cache host, by its own clock.
    AttemptStarted {
        host: String,
        member: usize,
    },
}

#[derive(Clone, Debug)]
pub struct GroupLimits {
    /// How long things must have been as they are before a view of them must be right.
    pub settle: Micros,
    /// How long a dead one may be taken for alive.
    pub detection_time: Micros,
    /// How long after the last trouble all must be whole and agree.
    pub recovery_time: Micros,
    /// An attempt that began so soon after a yes may have been under way.
    pub slack: Micros,
}

impl Default for GroupLimits {
    fn default() -> Self {
        GroupLimits {
            settle: 6 * SECOND,
            detection_time: 7 * SECOND,
            recovery_time: 8 * SECOND,
            slack: 50 * MS,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupMetrics {
    #[serde(rename = "accounts")]
    pub reports: u64,
    /// Judgements that could be made: a check that never can be fails nobody.
    pub judged_alive: u64,
    pub judged_dead: u64,
    #[serde(rename = "judged_standing")]
    pub judged_quorum: u64,
    pub judged_attempts: u64,
    pub yes: u64,
    /// From the last trouble's end until all were whole and agreed, in milliseconds.
    #[serde(rename = "whole_after_ms")]
    pub complete_after_ms: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupReport {
    #[serde(rename = "broken")]
    pub violations: u64,
    pub examples: Vec<String>,
    #[serde(rename = "figures")]
    pub metrics: GroupMetrics,
}

#[derive(Clone, Debug)]
struct Process {
    up: bool,
    paused: bool,
    doubled: bool,
    /// Since when it has been as it is.
    since: Micros,
    life: u64,
    said: Option<(Micros, u64, MemberReport)>,
}

#[derive(Clone, Debug, Default)]
struct Road {
    cuts: u32,
    hurts: u32,
    /// Since when it is cut, or bears no more than what a group has to bear.
    since: Micros,
}

pub struct GroupObserver {
    names: Vec<String>,
    limits: GroupLimits,
    processes: Vec<Process>,
    roads: Vec<Road>,
    quiet: Option<Micros>,
    /// Incarnations that each process's account has told, in this life of it.
    incarnations: BTreeMap<(usize, u64, String), u64>,
    barred: BTreeMap<String, Micros>,
    history: Vec<(Micros, String)>,
    report: GroupReport,
}

impl GroupObserver {
    pub fn new(names: Vec<String>, limits: GroupLimits) -> Self {
        let count = names.len();
        let process = Process {
            up: false,
            paused: false,
            doubled: false,
            since: Micros::MIN / 2,
            life: 0,
            said: None,
        };
        GroupObserver {
            names,
            limits,
            processes: vec![process; count],
            roads: vec![
                Road {
                    since: Micros::MIN / 2,
                    ..Road::default()
                };
                count * count
            ],
            quiet: None,
            incarnations: BTreeMap::new(),
            barred: BTreeMap::new(),
            history: Vec::new(),
            report: GroupReport::default(),
        }
    }

    pub fn observe(&mut self, now: Micros, sign: GroupEvent) {
        if !matches!(
            sign,
            GroupEvent::Reported { .. } | GroupEvent::AttemptStarted { .. }
        ) && self.history.len() < MOST_HISTORY
        {
            self.history.push((now, format!("{sign:?}")));
        }
        match sign {
            GroupEvent::Started { member: who } => {
                let life = self.processes[who].life + 1;
                self.processes[who] = Process {
                    up: true,
                    paused: false,
                    since: now,
                    life,
                    said: None,
                    ..self.processes[who].clone()
                };
            }
            GroupEvent::Stopped { member: who } => {
                let process = &mut self.processes[who];
                (process.up, process.paused, process.since, process.said) =
                    (false, false, now, None);
            }
            GroupEvent::Paused { member: who } => {
                let process = &mut self.processes[who];
                (process.paused, process.since, process.said) = (true, now, None);
            }
            GroupEvent::Resumed { member: who } => {
                let process = &mut self.processes[who];
                (process.paused, process.since) = (false, now);
            }
            GroupEvent::DuplicateRunning {
                member: who,
                running: on,
            } => {
                let process = &mut self.processes[who];
                (process.doubled, process.since) = (on, now);
            }
            GroupEvent::LinksFaulted { pairs, cut, mild } => self.change(now, &pairs, cut, mild, 1),
            GroupEvent::LinksRestored { pairs, cut, mild } => {
                self.change(now, &pairs, cut, mild, -1)
            }
            GroupEvent::FaultsFinished => self.quiet = Some(now),
            GroupEvent::Reported {
                member: who,
                report: account,
            } => self.said(now, who, account),
            GroupEvent::Cordoned { host } => {
                self.report.metrics.yes += 1;
                self.barred.insert(host, now);
            }
            GroupEvent::Uncordoned { host } => drop(self.barred.remove(&host)),
            GroupEvent::AttemptStarted { host, member: who } => {
                let Some(at) = self.barred.get(&host).copied() else {
                    return;
                };
                self.report.metrics.judged_attempts += 1;
                if now > at + self.limits.slack {
                    let after = to_ms(now - at);
                    let who = self.names[who].clone();
                    self.breach(
                        now,
                        format!("{who} began an attempt at {host} {after:.0} ms after the yes"),
                    );
                }
            }
        }
    }

    fn change(&mut self, now: Micros, pairs: &[(usize, usize)], cut: bool, mild: bool, by: i32) {
        if mild {
            return;
        }
        let count = self.names.len();
        for (from, to) in pairs {
            let Some(road) = self.roads.get_mut(from * count + to) else {
                continue;
            };
            let kind = if cut { &mut road.cuts } else { &mut road.hurts };
            *kind = kind.saturating_add_signed(by);
            road.since = now;
        }
    }

    /// Whether a process that starts now can ask enough of the others what is held: more than half are up and awake,
    /// itself among them, and nothing is done to the links between.
    pub fn can_reach_majority(&self, now: Micros, who: usize) -> bool {
        let count = self.names.len();
        let there = (0..count).filter(|other| {
            let process = &self.processes[*other];
            let ways = [who * count + other, other * count + who];
            let open = ways
                .into_iter()
                .all(|road| self.roads[road].cuts == 0 && self.roads[road].hurts == 0);
            *other == who || (process.up && !process.paused && now - process.since > SECOND && open)
        });
        there.count() * 2 > count
    }

    fn breach(&mut self, now: Micros, what: String) {
        self.report.violations += 1;
        if self.report.examples.len() < MOST_EXAMPLES {
            let lately = self.history.iter().filter(|(at, _)| now - at < 20 * SECOND);
            let lately: Vec<String> = lately
                .map(|(at, sign)| format!("  {:9.0} ms {sign}", to_ms(*at)))
                .collect();
            let lately = lately.join("\n");
            self.report.examples.push(format!(
                "{:.0} ms: {what}; before it:\n{lately}",
                to_ms(now)
            ));
        }
    }

    /// Up, awake and alone of its name, for long enough.
    fn is_well(&self, now: Micros, who: usize) -> bool {
        let process = &self.processes[who];
        process.up
            && !process.paused
            && !process.doubled
            && now - process.since >= self.limits.settle
    }

    /// Both ways between two bear no more than what a group has to bear, for long enough.
    fn is_open(&self, now: Micros, a: usize, b: usize) -> bool {
        let count = self.names.len();
        [a * count + b, b * count + a].into_iter().all(|road| {
            let road = &self.roads[road];
            road.cuts == 0 && road.hurts == 0 && now - road.since >= self.limits.settle
        })
    }

    /// One way at least between two has been cut for long enough that nothing of before counts.
    fn is_cut(&self, now: Micros, a: usize, b: usize) -> bool {
        let count = self.names.len();
        [a * count + b, b * count + a].into_iter().any(|road| {
            let road = &self.roads[road];
            road.cuts > 0 && now - road.since >= self.limits.settle
        })
    }

    fn said(&mut self, now: Micros, who: usize, account: MemberReport) {
        if !self.processes[who].up {
            return;
        }
        self.report.metrics.reports += 1;
        let life = self.processes[who].life;
        for of in &account.members {
            let key = (who, life, of.name.clone());
            let before = self.incarnations.insert(key, of.incarnation).unwrap_or(0);
            if of.incarnation < before {
                let (me, name) = (&self.names[who], &of.name);
                let what = format!(
                    "{me} takes {name} back from incarnation {before} to {}",
                    of.incarnation
                );
                self.breach(now, what);
            }
        }
        self.judge_states(now, who, &account);
        self.judge_standing(now, who, &account);
        self.processes[who].said = Some((now, life, account));
        self.judge_whole(now);
    }

    fn judge_states(&mut self, now: Micros, who: usize, account: &MemberReport) {
        if !self.is_well(now, who) {
            return;
        }
        let count = self.names.len();
        for of in &account.members {
            let Some(other) = self
                .names
                .iter()
                .position(|name| *name == of.name)
                .filter(|i| *i != who)
            else {
                continue;
            };
            // Those through whom the two can hear of each other, if not directly.
            let between = (0..count).filter(|third| {
                self.is_well(now, *third)
                    && (*third == who || self.is_open(now, who, *third))
                    && (*third == other || self.is_open(now, other, *third))
            });
            let between: BTreeSet<usize> = between.collect();
            if self.is_well(now, other) && between.len() * 2 > count {
                self.report.metrics.judged_alive += 1;
                if of.state == "failed" || of.state == "left" {
                    let (me, name, state) = (&self.names[who], &of.name, &of.state);
                    let through = between.len();
                    let what = format!(
                        "{me} says that {name} has {state}, though it lives and {through} reach both"
                    );
                    self.breach(now, what);
                }
            }
            let dead = &self.processes[other];
            if !dead.up && !dead.doubled && now - dead.since >= self.limits.detection_time {
                self.report.metrics.judged_dead += 1;
                if of.state == "alive" {
                    let (me, name) = (&self.names[who], &of.name);
                    let since = to_ms(now - dead.since);
                    let what = format!(
                        "{me} says that {name} is alive, which has been dead for {since:.0} ms"
                    );
                    self.breach(now, what);
                }
            }
        }
    }

    fn judge_standing(&mut self, now: Micros, who: usize, account: &MemberReport) {
        if !self.is_well(now, who) {
            return;
        }
        let count = self.names.len();
        // Whoever can be heard of over any way round that is not cut: more cannot be there for it.
        let mut reach = BTreeSet::from([who]);
        let mut edge = vec![who];
        while let Some(at) = edge.pop() {
            for other in 0..count {
                let gone = !self.processes[other].up || self.processes[other].paused;
                let gone = gone && now - self.processes[other].since >= self.limits.settle;
                if !gone && !self.is_cut(now, at, other) && reach.insert(other) {
                    edge.push(other);
                }
            }
        }
        let standing = account.quorum_status.as_str();
        let binds = matches!(standing, "whole" | "majority");
        if reach.len() * 2 <= count {
            self.report.metrics.judged_quorum += 1;
            if binds {
                let (me, can) = (&self.names[who], reach.len());
                self.breach(
                    now,
                    format!(
                        "{me} calls itself {standing}, and {can} of {count} can be there for it"
                    ),
                );
            }
            return;
        }
        // All of those well, and nothing between them but what a group has to bear.
        let calm = reach.iter().all(|a| {
            self.is_well(now, *a) && reach.iter().all(|b| a == b || self.is_open(now, *a, *b))
        });
        // And from the others, nothing comes through.
        let others: Vec<usize> = (0..count).filter(|other| !reach.contains(other)).collect();
        let apart = others
            .iter()
            .all(|other| !self.processes[*other].up || self.processes[*other].paused)
            || reach
                .iter()
                .all(|a| others.iter().all(|b| self.is_cut(now, *a, *b)));
        if calm && apart {
            self.report.metrics.judged_quorum += 1;
            let right = match reach.len() == count {
                true => standing == "whole",
                false => standing == "majority",
            };
            if !right {
                let (me, can) = (&self.names[who], reach.len());
                self.breach(
                    now,
                    format!(
                        "{me} calls itself {standing}, and {can} of {count} are there and well"
                    ),
                );
            }
        }
    }

    fn judge_whole(&mut self, now: Micros) {
        let Some(quiet) = self
            .quiet
            .filter(|_| self.report.metrics.complete_after_ms.is_none())
        else {
            return;
        };
        let mut digests = BTreeSet::new();
        let whole = self.processes.iter().all(|process| {
            let said = process
                .said
                .as_ref()
                .filter(|(at, ..)| *at >= quiet && now - at < SECOND);
            said.is_some_and(|(.., account)| {
                digests.insert(account.digest.clone());
                account.quorum_status == "whole"
                    && account.members.iter().all(|of| of.state == "alive")
            })
        });
        if whole && digests.len() == 1 {
            self.report.metrics.complete_after_ms = Some(to_ms(now - quiet));
        }
    }

    pub fn is_complete(&self) -> bool {
        self.report.metrics.complete_after_ms.is_some()
    }

    /// Judges what had to have come by the end.
    pub fn finish(mut self, now: Micros) -> GroupReport {
        if let Some(quiet) = self.quiet {
            let limit = self.limits.recovery_time;
            let late = match self.report.metrics.complete_after_ms {
                Some(ms) => ms > to_ms(limit),
                None => now - quiet > limit,
            };
            if late {
                let say = |process: &Process| match &process.said {
                    Some((at, _, account)) => {
                        let odd = account.members.iter().filter(|of| of.state != "alive");
                        let odd: Vec<String> =
                            odd.map(|of| format!("{} {}", of.name, of.state)).collect();
                        format!(
                            "{} {} [{}] at {:.0} ms",
                            account.quorum_status,
                            account.digest,
                            odd.join(", "),
                            to_ms(*at)
                        )
                    }
                    None => "nothing".to_string(),
                };
                let said: Vec<String> = self
                    .names
                    .iter()
                    .zip(&self.processes)
                    .map(|(n, p)| format!("{n}: {}", say(p)))
                    .collect();
                let what = format!(
                    "not whole {:.0} ms after the last trouble: {}",
                    to_ms(now - quiet),
                    said.join("; ")
                );
                self.breach(now, what);
            }
        }
        self.report
    }
}
