//! Scripts of overlapping faults between the processes of a group, drawn from a seed: printed as words, laid out as
//! acts, the same for the same seed. A script has a budget, and ends with all processes started and all links whole.
use serde::{Deserialize, Serialize};

use crate::links::LinkFault;
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, to_ms, Micros, MS, SECOND};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum GroupFault {
    /// Links in one direction each.
    Links {
        pairs: Vec<(usize, usize)>,
        fault: LinkFault,
    },
    /// These are cut off from all others, in both directions.
    Split { side: Vec<usize> },
    /// The border moves by one member every so often, without healing in between.
    MovingSplit { side: Vec<usize>, each_ms: f64 },
    /// SIGKILL; started again at the end, with its disk or without.
    Kill {
        #[serde(rename = "who")]
        members: Vec<usize>,
        empty: bool,
    },
    /// SIGTERM; started again at the end.
    Term {
        #[serde(rename = "who")]
        member: usize,
    },
    /// SIGKILL; started again at the end at another address.
    Move {
        #[serde(rename = "who")]
        member: usize,
    },
    /// SIGSTOP, and SIGCONT at the end.
    Pause {
        #[serde(rename = "who")]
        member: usize,
    },
    /// Gets a small part of a core: stopped for most of each tenth of a second.
    #[serde(rename = "starve")]
    StarveCpu {
        #[serde(rename = "who")]
        member: usize,
    },
    /// A second process with a name that is in use, at another address.
    #[serde(rename = "namesake")]
    DuplicateName {
        #[serde(rename = "who")]
        member: usize,
    },
    /// Restarted one after the other, killed each time.
    Rolling {
        each_ms: f64,
        #[serde(rename = "who")]
        members: Vec<usize>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedGroupFault {
    pub at_ms: f64,
    #[serde(rename = "lasts_ms")]
    pub duration_ms: f64,
    #[serde(rename = "trouble")]
    pub fault: GroupFault,
}

/// One act on a group.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupAction {
    AddLinkFault {
        id: u64,
        pairs: Vec<(usize, usize)>,
        fault: LinkFault,
    },
    RemoveLinkFault {
        id: u64,
    },
    Kill {
        member: usize,
        empty: bool,
    },
    Start {
        member: usize,
    },
    Term {
        member: usize,
    },
    Pause {
        member: usize,
    },
    Resume {
        member: usize,
    },
    /// Its next start is at its other address.
    Move {
        member: usize,
    },
    StartDuplicate {
        member: usize,
    },
    StopDuplicate {
        member: usize,
    },
}

/// How much a drawn script may hold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultBudget {
    #[serde(rename = "troubles")]
    pub max_faults: usize,
    /// From the first to the end of the last.
    pub span_s: f64,
    /// The longest that one lasts.
    #[serde(rename = "longest_s")]
    pub max_duration_s: f64,
    /// Whether kinds of trouble that touch processes are drawn, or links alone.
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupScript {
    pub members: usize,
    #[serde(rename = "troubles")]
    pub faults: Vec<TimedGroupFault>,
}

impl GroupScript {
    pub fn draw(seed: u64, members: usize, budget: FaultBudget, first: Micros) -> Self {
        let mut dice = SeededRng::for_part(seed, "group-script");
        let mut troubles = Vec::new();
        // Danger: two troubles of one process at once have no meaning, such as a start of one that is paused.
        let mut busy: Vec<Vec<(f64, f64)>> = vec![Vec::new(); members];
        let span_ms = budget.span_s * 1e3;
        for _ in 0..budget.max_faults {
            let lasts_ms = 1_000.0 + dice.unit() * (budget.max_duration_s * 1e3 - 1_000.0).max(0.0);
            let lasts_ms = lasts_ms.min(span_ms);
            let at_ms = to_ms(first) + dice.unit() * (span_ms - lasts_ms);
            let trouble = draw_one(&mut dice, members, budget.processes);
            let who = trouble.processes();
            let window = (at_ms - 2_500.0, at_ms + lasts_ms + 2_500.0);
            let free = |who: &usize| {
                busy[*who]
                    .iter()
                    .all(|(from, to)| window.1 < *from || *to < window.0)
            };
            if !who.iter().all(free) {
                continue;
            }
            who.iter().for_each(|who| busy[*who].push(window));
            troubles.push(TimedGroupFault {
                at_ms,
                duration_ms: lasts_ms,
                fault: trouble,
            });
        }
        troubles.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        GroupScript {
            members,
            faults: troubles,
        }
    }

    /// When the last of them is over.
    pub fn end(&self) -> Micros {
        self.faults
            .iter()
            .map(|t| from_ms(t.at_ms + t.duration_ms))
            .max()
            .unwrap_or(0)
    }

    pub fn describe(&self) -> Vec<String> {
        let one = |t: &TimedGroupFault| {
            let (from, to) = (t.at_ms / 1e3, (t.at_ms + t.duration_ms) / 1e3);
            format!(
                "{from:6.2} to {to:6.2} s: {}",
                t.fault.describe(self.members)
            )
        };
        self.faults.iter().map(one).collect()
    }

    /// In order of time.
    pub fn actions(&self) -> Vec<(Micros, GroupAction)> {
        let mut acts = Vec::new();
        for (i, timed) in self.faults.iter().enumerate() {
            let (from, to) = (
                from_ms(timed.at_ms),
                from_ms(timed.at_ms + timed.duration_ms),
            );
            // Room for the borders of one that moves.
            lay_out(
                &timed.fault,
                self.members,
                i as u64 * 1000,
                (from, to),
                &mut acts,
            );
        }
        acts.sort_by_key(|(at, _)| *at);
        acts
    }
}

fn lay_out(
    trouble: &GroupFault,
    members: usize,
    number: u64,
    (from, to): (Micros, Micros),
    acts: &mut Vec<(Micros, GroupAction)>,
) {
    let mut links = |number, pairs, fault, from, to| {
        acts.push((
            from,
            GroupAction::AddLinkFault {
                id: number,
                pairs,
                fault,
            },
        ));
        acts.push((to, GroupAction::RemoveLinkFault { id: number }));
    };
    match trouble {
        GroupFault::Links { pairs, fault } => links(number, pairs.clone(), *fault, from, to),
        GroupFault::Split { side } => {
            links(number, border(members, side), LinkFault::Cut, from, to)
        }
        GroupFault::MovingSplit { side, each_ms } => {
            let each = from_ms(*each_ms).max(100 * MS);
            for step in 0..((to - from) / each).max(1) {
                let moved: Vec<usize> = side
                    .iter()
                    .map(|who| (who + step as usize) % members)
                    .collect();
                let begin = from + step * each;
                let end = if begin + 2 * each > to {
                    to
                } else {
                    begin + each
                };
                links(
                    number + step as u64,
                    border(members, &moved),
                    LinkFault::Cut,
                    begin,
                    end,
                );
            }
        }
        GroupFault::Kill {
            members: who,
            empty,
        } => {
            for who in who {
                acts.push((
                    from,
                    GroupAction::Kill {
                        member: *who,
                        empty: *empty,
                    },
                ));
                acts.push((to, GroupAction::Start { member: *who }));
            }
        }
        GroupFault::Term { member: who } => {
            acts.push((from, GroupAction::Term { member: *who }));
            acts.push((to, GroupAction::Start { member: *who }));
        }
        GroupFault::Move { member: who } => {
            acts.push((
                from,
                GroupAction::Kill {
                    member: *who,
                    empty: true,
                },
            ));
            acts.push((from, GroupAction::Move { member: *who }));
            acts.push((to, GroupAction::Start { member: *who }));
        }
        GroupFault::Pause { member: who } => {
            acts.push((from, GroupAction::Pause { member: *who }));
            acts.push((to, GroupAction::Resume { member: *who }));
        }
        GroupFault::StarveCpu { member: who } => {
            let mut at = from;
            while at < to {
                acts.push((at, GroupAction::Pause { member: *who }));
                acts.push((at + 95 * MS, GroupAction::Resume { member: *who }));
                at += 100 * MS;
            }
        }
        GroupFault::DuplicateName { member: who } => {
            acts.push((from, GroupAction::StartDuplicate { member: *who }));
            acts.push((to, GroupAction::StopDuplicate { member: *who }));
        }
        GroupFault::Rolling {
            each_ms,
            members: who,
        } => {
            for (i, who) in who.iter().enumerate() {
                let at = from + i as Micros * from_ms(*each_ms);
                acts.push((
                    at,
                    GroupAction::Kill {
                        member: *who,
                        empty: true,
                    },
                ));
                acts.push((
                    at + from_ms(*each_ms / 2.0),
                    GroupAction::Start { member: *who },
                ));
            }
        }
    }
}

/// Both directions of all links between one side and the other.
pub fn border(members: usize, side: &[usize]) -> Vec<(usize, usize)> {
    let pairs = (0..members).flat_map(|from| (0..members).map(move |to| (from, to)));
    pairs
        .filter(|(from, to)| side.contains(from) != side.contains(to))
        .collect()
}

/// All links, in both directions.
pub fn all_links(members: usize) -> Vec<(usize, usize)> {
    let pairs = (0..members).flat_map(|from| (0..members).map(move |to| (from, to)));
    pairs.filter(|(from, to)| from != to).collect()
}

fn draw_one(dice: &mut SeededRng, members: usize, processes: bool) -> GroupFault {
    let one = |dice: &mut SeededRng| dice.below(members as u64) as usize;
    let some = |dice: &mut SeededRng, most: usize| {
        let mut all: Vec<usize> = (0..members).collect();
        let wanted = 1 + dice.below(most.max(1) as u64) as usize;
        while all.len() > wanted {
            all.remove(dice.below(all.len() as u64) as usize);
        }
        all
    };
    match dice.below(if processes { 16_u64 } else { 9 }) {
        0 => GroupFault::Split {
            side: some(dice, members - 1),
        },
        1 => GroupFault::MovingSplit {
            side: some(dice, members / 2),
            each_ms: 1_000.0 + dice.unit() * 3_000.0,
        },
        2 => {
            // One hears all and is heard by none.
            let who = one(dice);
            let pairs = (0..members)
                .filter(|to| *to != who)
                .map(|to| (who, to))
                .collect();
            GroupFault::Links {
                pairs,
                fault: LinkFault::Cut,
            }
        }
        3 => {
            let (from, to) = (one(dice), one(dice));
            GroupFault::Links {
                pairs: vec![(from, to), (to, from)],
                fault: LinkFault::Cut,
            }
        }
        4 => {
            let who = one(dice);
            let pairs = border(members, &[who]);
            GroupFault::Links {
                pairs,
                fault: LinkFault::Flap {
                    period_ms: 400.0 + dice.unit() * 3_000.0,
                },
            }
        }
        5 => {
            let fault = LinkFault::Bursts {
                chance: 0.05,
                datagrams: 6.0,
            };
            GroupFault::Links {
                pairs: all_links(members),
                fault,
            }
        }
        6 => {
            let fault = match dice.below(4_u64) {
                0 => LinkFault::Loss { chance: 0.1 },
                1 => LinkFault::Slow {
                    latency_ms: 10.0,
                    jitter_ms: 50.0,
                },
                2 => LinkFault::Double { chance: 0.5 },
                _ => LinkFault::Reorder { chance: 0.5 },
            };
            GroupFault::Links {
                pairs: all_links(members),
                fault,
            }
        }
        7 => {
            let fault = match dice.below(3_u64) {
                0 => LinkFault::Spoil { chance: 0.1 },
                1 => LinkFault::Truncate { chance: 0.1 },
                _ => LinkFault::HalfOpen,
            };
            GroupFault::Links {
                pairs: all_links(members),
                fault,
            }
        }
        8 => {
            let who = one(dice);
            GroupFault::Links {
                pairs: border(members, &[who]),
                fault: LinkFault::Rate {
                    bytes_per_s: 20_000.0,
                },
            }
        }
        9 | 10 => GroupFault::Kill {
            members: some(dice, members / 2),
            empty: dice.happens(0.5),
        },
        11 if dice.happens(0.5) => GroupFault::Move { member: one(dice) },
        11 => GroupFault::Term { member: one(dice) },
        12 | 13 => GroupFault::Pause { member: one(dice) },
        14 if dice.happens(0.5) => GroupFault::StarveCpu { member: one(dice) },
        14 => GroupFault::DuplicateName { member: one(dice) },
        _ if dice.happens(0.3) => GroupFault::Kill {
            members: (0..members).collect(),
            empty: dice.happens(0.5),
        },
        _ => GroupFault::Rolling {
            each_ms: 700.0,
            members: some(dice, members.div_ceil(3)),
        },
    }
}

impl GroupFault {
    /// Processes that it starts, stops or ends.
    fn processes(&self) -> Vec<usize> {
        match self {
            GroupFault::Kill { members: who, .. } | GroupFault::Rolling { members: who, .. } => {
                who.clone()
            }
            GroupFault::Term { member: who }
            | GroupFault::Pause { member: who }
            | GroupFault::Move { member: who } => vec![*who],
            GroupFault::StarveCpu { member: who } | GroupFault::DuplicateName { member: who } => {
                vec![*who]
            }
            GroupFault::Links { .. }
            | GroupFault::Split { .. }
            | GroupFault::MovingSplit { .. } => Vec::new(),
        }
    }

    /// All that it names.
    pub fn touched(&self) -> Vec<usize> {
        match self {
            GroupFault::Links { pairs, .. } => {
                pairs.iter().flat_map(|(from, to)| [*from, *to]).collect()
            }
            GroupFault::Split { side } | GroupFault::MovingSplit { side, .. } => side.clone(),
            _ => self.processes(),
        }
    }

    fn describe(&self, members: usize) -> String {
        match self {
            GroupFault::Links { pairs, fault } if pairs.len() == members * (members - 1) => {
                format!("all links: {fault:?}")
            }
            GroupFault::Links { pairs, fault } => {
                let pairs: Vec<String> = pairs
                    .iter()
                    .map(|(from, to)| format!("{from}>{to}"))
                    .collect();
                format!("links {}: {fault:?}", pairs.join(" "))
            }
            GroupFault::Split { side } => format!("{side:?} cut off from the rest"),
            GroupFault::MovingSplit { side, each_ms } => {
                format!(
                    "{side:?} cut off from the rest, the border moving by one each {:.1} s",
                    each_ms / 1e3
                )
            }
            GroupFault::Kill {
                members: who,
                empty,
            } => {
                format!(
                    "{who:?} killed, started again {}",
                    if *empty {
                        "without a disk"
                    } else {
                        "with its disk"
                    }
                )
            }
            GroupFault::Term { member: who } => format!("{who} told to stop, started again"),
            GroupFault::Move { member: who } => {
                format!("{who} killed, started again at another address")
            }
            GroupFault::Pause { member: who } => format!("{who} paused"),
            GroupFault::StarveCpu { member: who } => format!("{who} gets a twentieth of a core"),
            GroupFault::DuplicateName { member: who } => {
                format!("a second process is called as {who}")
            }
            GroupFault::Rolling {
                each_ms,
                members: who,
            } => {
                format!(
                    "{who:?} restarted without a disk, one each {:.1} s",
                    each_ms / 1e3
                )
            }
        }
    }
}

/// How long after the last trouble a group has to be whole again: a restart's settling, a failed one's return, and a
/// full exchange that was due.
pub const WHOLE_AGAIN: Micros = 8 * SECOND;
