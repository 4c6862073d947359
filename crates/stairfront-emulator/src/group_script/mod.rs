//! Scripts of overlapping faults between the processes of a group, drawn from a seed: described in words, resolved to
//! actions, the same for the same seed. A script has a budget, and at its end all processes are started and no link has a
//! fault.
mod draw;
mod schedule;

use serde::{Deserialize, Serialize};
use stairfront_common::time::{from_ms, Micros, SECOND};

pub use self::schedule::{GroupAction, ScheduledGroupAction};

use crate::links::{DirectedLink, LinkFault};

/// Longest time after the last fault until a group is complete again: the time until a restarted process is stable, the
/// return of a failed member, and one full state exchange that was due.
pub const RECOVERY_TIMEOUT: Micros = 8 * SECOND;

/// A fault of a group. Members are positions in the group, from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum GroupFault {
    /// A fault of links.
    Links {
        /// The links.
        pairs: Vec<DirectedLink>,
        /// Their fault.
        fault: LinkFault,
    },
    /// A network partition.
    Split {
        /// The members that are cut off from all others, in both directions.
        side: Vec<usize>,
    },
    /// A network partition whose border moves by one member each time, without a time in which it heals.
    MovingSplit {
        /// The members that are cut off first.
        side: Vec<usize>,
        /// Time between two moves, in milliseconds.
        each_ms: f64,
    },
    /// SIGKILL; the processes are started again at the end.
    Kill {
        /// The members.
        #[serde(rename = "who")]
        members: Vec<usize>,
        /// Whether their disks are lost.
        empty: bool,
    },
    /// SIGTERM; the process is started again at the end.
    Term {
        /// The member.
        #[serde(rename = "who")]
        member: usize,
    },
    /// SIGKILL; the process is started again at the end, at another address.
    Move {
        /// The member.
        #[serde(rename = "who")]
        member: usize,
    },
    /// SIGSTOP; SIGCONT at the end.
    Pause {
        /// The member.
        #[serde(rename = "who")]
        member: usize,
    },
    /// The process has a small part of a core: it is paused for most of each tenth of a second.
    #[serde(rename = "starve")]
    StarveCpu {
        /// The member.
        #[serde(rename = "who")]
        member: usize,
    },
    /// A second process with the name of a member runs at another address.
    #[serde(rename = "namesake")]
    DuplicateName {
        /// The member.
        #[serde(rename = "who")]
        member: usize,
    },
    /// The processes are killed and started again one after the other.
    Rolling {
        /// Time between two of them, in milliseconds.
        each_ms: f64,
        /// The members, in order.
        #[serde(rename = "who")]
        members: Vec<usize>,
    },
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedGroupFault {
    /// When it begins, in milliseconds.
    pub at_ms: f64,
    /// How long it lasts, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: f64,
    /// The fault.
    #[serde(rename = "trouble")]
    pub fault: GroupFault,
}

impl TimedGroupFault {
    fn start(&self) -> Micros {
        from_ms(self.at_ms)
    }

    fn end(&self) -> Micros {
        from_ms(self.at_ms + self.duration_ms)
    }

    fn describe(&self, members: usize) -> String {
        let from = self.at_ms / 1e3;
        let to = (self.at_ms + self.duration_ms) / 1e3;
        let fault = self.fault.describe(members);
        format!("{from:6.2} to {to:6.2} s: {fault}")
    }
}

/// How much a drawn script may hold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultBudget {
    /// Most faults; one that would overlap another fault of the same process is left out.
    #[serde(rename = "troubles")]
    pub max_faults: usize,
    /// Time from the first fault's start to the last one's end, in seconds.
    pub span_s: f64,
    /// Longest time that a fault lasts, in seconds.
    #[serde(rename = "longest_s")]
    pub max_duration_s: f64,
    /// Whether faults of processes are drawn too, and not only faults of links.
    pub processes: bool,
}

impl Default for FaultBudget {
    fn default() -> Self {
        FaultBudget {
            max_faults: 5,
            span_s: 18.0,
            max_duration_s: 11.0,
            processes: true,
        }
    }
}

/// The faults of a run of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupScript {
    /// Number of members.
    pub members: usize,
    /// The faults, by when they begin.
    #[serde(rename = "troubles")]
    pub faults: Vec<TimedGroupFault>,
}

impl GroupScript {
    /// When the last fault ends.
    pub fn end(&self) -> Micros {
        self.faults
            .iter()
            .map(TimedGroupFault::end)
            .max()
            .unwrap_or(0)
    }

    /// The faults in words, one per line.
    pub fn describe(&self) -> Vec<String> {
        self.faults
            .iter()
            .map(|timed| timed.describe(self.members))
            .collect()
    }
}

/// All links in both directions between the members of one side and the others.
pub fn links_across(members: usize, side: &[usize]) -> Vec<DirectedLink> {
    let mut pairs = all_pairs(members);
    pairs.retain(|(from, to)| side.contains(from) != side.contains(to));
    pairs
}

/// All links, in both directions.
pub fn all_links(members: usize) -> Vec<DirectedLink> {
    let mut pairs = all_pairs(members);
    pairs.retain(|(from, to)| from != to);
    pairs
}

fn all_pairs(members: usize) -> Vec<DirectedLink> {
    (0..members)
        .flat_map(|from| (0..members).map(move |to| (from, to)))
        .collect()
}

impl GroupFault {
    /// The members whose processes it starts, stops or pauses.
    fn affected_processes(&self) -> Vec<usize> {
        match self {
            GroupFault::Kill { members, .. } | GroupFault::Rolling { members, .. } => {
                members.clone()
            }
            GroupFault::Term { member }
            | GroupFault::Pause { member }
            | GroupFault::Move { member }
            | GroupFault::StarveCpu { member }
            | GroupFault::DuplicateName { member } => vec![*member],
            GroupFault::Links { .. }
            | GroupFault::Split { .. }
            | GroupFault::MovingSplit { .. } => Vec::new(),
        }
    }

    /// All members that it names, some of them more than once.
    pub fn affected_members(&self) -> Vec<usize> {
        match self {
            GroupFault::Links { pairs, .. } => {
                pairs.iter().flat_map(|(from, to)| [*from, *to]).collect()
            }
            GroupFault::Split { side } | GroupFault::MovingSplit { side, .. } => side.clone(),
            _ => self.affected_processes(),
        }
    }

    fn describe(&self, group_size: usize) -> String {
        match self {
            GroupFault::Links { pairs, fault } => describe_links(pairs, *fault, group_size),
            GroupFault::Split { side } => format!("{side:?} cut off from the rest"),
            GroupFault::MovingSplit { side, each_ms } => format!(
                "{side:?} cut off from the rest, the border moving by one each {:.1} s",
                each_ms / 1e3
            ),
            GroupFault::Kill { members, empty } => {
                let disk = if *empty { "without a" } else { "with its" };
                format!("{members:?} killed, started again {disk} disk")
            }
            GroupFault::Term { member } => format!("{member} told to stop, started again"),
            GroupFault::Move { member } => {
                format!("{member} killed, started again at another address")
            }
            GroupFault::Pause { member } => format!("{member} paused"),
            GroupFault::StarveCpu { member } => format!("{member} gets a twentieth of a core"),
            GroupFault::DuplicateName { member } => {
                format!("a second process is called as {member}")
            }
            GroupFault::Rolling { each_ms, members } => format!(
                "{members:?} restarted without a disk, one each {:.1} s",
                each_ms / 1e3
            ),
        }
    }
}

fn describe_links(pairs: &[DirectedLink], fault: LinkFault, group_size: usize) -> String {
    if pairs.len() == group_size * (group_size - 1) {
        return format!("all links: {fault:?}");
    }
    let pairs: Vec<String> = pairs
        .iter()
        .map(|(from, to)| format!("{from}>{to}"))
        .collect();
    format!("links {}: {fault:?}", pairs.join(" "))
}
