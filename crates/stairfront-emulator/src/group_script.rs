//! Scripts of overlapping faults between the processes of a group, drawn from a seed: printed as words, laid out as
//! acts, the same for the same seed. A script has a budget, and ends with all processes started and all links whole.
use serde::{Deserialize, Serialize};

use crate::dice::Dice;
use crate::links::LinkFault;
use crate::time::{from_ms, to_ms, Micros, MS, SECOND};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Trouble {
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
    Kill { who: Vec<usize>, empty: bool },
    /// SIGTERM; started again at the end.
    Term { who: usize },
    /// SIGKILL; started again at the end at another address.
    Move { who: usize },
    /// SIGSTOP, and SIGCONT at the end.
    Pause { who: usize },
    /// Gets a small part of a core: stopped for most of each tenth of a second.
    Starve { who: usize },
    /// A second process with a name that is in use, at another address.
    Namesake { who: usize },
    /// Restarted one after the other, killed each time.
    Rolling { each_ms: f64, who: Vec<usize> },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedTrouble {
    pub at_ms: f64,
    pub lasts_ms: f64,
    pub trouble: Trouble,
}

/// One act on a group.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupAct {
    Lay {
        number: u64,
        pairs: Vec<(usize, usize)>,
        fault: LinkFault,
    },
    Lift {
        number: u64,
    },
    Kill {
        who: usize,
        empty: bool,
    },
    Start {
        who: usize,
    },
    Term {
        who: usize,
    },
    Pause {
        who: usize,
    },
    Wake {
        who: usize,
    },
    /// Its next start is at its other address.
    Move {
        who: usize,
    },
    StartNamesake {
        who: usize,
    },
    StopNamesake {
        who: usize,
    },
}

/// How much a drawn script may hold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    pub troubles: usize,
    /// From the first to the end of the last.
    pub span_s: f64,
    /// The longest that one lasts.
    pub longest_s: f64,
    /// Whether kinds of trouble that touch processes are drawn, or links alone.
    pub processes: bool,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            troubles: 5,
            span_s: 18.0,
            longest_s: 11.0,
            processes: true,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupScript {
    pub members: usize,
    pub troubles: Vec<TimedTrouble>,
}

impl GroupScript {
    pub fn draw(seed: u64, members: usize, budget: Budget, first: Micros) -> Self {
        let mut dice = Dice::new(seed, "group-script");
        let mut troubles = Vec::new();
        // Danger: two troubles of one process at once have no meaning, such as a start of one that is paused.
        let mut busy: Vec<Vec<(f64, f64)>> = vec![Vec::new(); members];
        let span_ms = budget.span_s * 1e3;
        for _ in 0..budget.troubles {
            let lasts_ms = 1_000.0 + dice.unit() * (budget.longest_s * 1e3 - 1_000.0).max(0.0);
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
            troubles.push(TimedTrouble {
                at_ms,
                lasts_ms,
                trouble,
            });
        }
        troubles.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        GroupScript { members, troubles }
    }

    /// When the last of them is over.
    pub fn ends(&self) -> Micros {
        self.troubles
            .iter()
            .map(|t| from_ms(t.at_ms + t.lasts_ms))
            .max()
            .unwrap_or(0)
    }

    pub fn words(&self) -> Vec<String> {
        let one = |t: &TimedTrouble| {
            let (from, to) = (t.at_ms / 1e3, (t.at_ms + t.lasts_ms) / 1e3);
            format!(
                "{from:6.2} to {to:6.2} s: {}",
                t.trouble.words(self.members)
            )
        };
        self.troubles.iter().map(one).collect()
    }

    /// In order of time.
    pub fn acts(&self) -> Vec<(Micros, GroupAct)> {
        let mut acts = Vec::new();
        for (i, timed) in self.troubles.iter().enumerate() {
            let (from, to) = (from_ms(timed.at_ms), from_ms(timed.at_ms + timed.lasts_ms));
            // Room for the borders of one that moves.
            lay_out(
                &timed.trouble,
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
    trouble: &Trouble,
    members: usize,
    number: u64,
    (from, to): (Micros, Micros),
    acts: &mut Vec<(Micros, GroupAct)>,
) {
    let mut links = |number, pairs, fault, from, to| {
        acts.push((
            from,
            GroupAct::Lay {
                number,
                pairs,
                fault,
            },
        ));
        acts.push((to, GroupAct::Lift { number }));
    };
    match trouble {
        Trouble::Links { pairs, fault } => links(number, pairs.clone(), *fault, from, to),
        Trouble::Split { side } => links(number, border(members, side), LinkFault::Cut, from, to),
        Trouble::MovingSplit { side, each_ms } => {
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
        Trouble::Kill { who, empty } => {
            for who in who {
                acts.push((
                    from,
                    GroupAct::Kill {
                        who: *who,
                        empty: *empty,
                    },
                ));
                acts.push((to, GroupAct::Start { who: *who }));
            }
        }
        Trouble::Term { who } => {
            acts.push((from, GroupAct::Term { who: *who }));
            acts.push((to, GroupAct::Start { who: *who }));
        }
        Trouble::Move { who } => {
            acts.push((
                from,
                GroupAct::Kill {
                    who: *who,
                    empty: true,
                },
            ));
            acts.push((from, GroupAct::Move { who: *who }));
            acts.push((to, GroupAct::Start { who: *who }));
        }
        Trouble::Pause { who } => {
            acts.push((from, GroupAct::Pause { who: *who }));
            acts.push((to, GroupAct::Wake { who: *who }));
        }
        Trouble::Starve { who } => {
            let mut at = from;
            while at < to {
                acts.push((at, GroupAct::Pause { who: *who }));
                acts.push((at + 95 * MS, GroupAct::Wake { who: *who }));
                at += 100 * MS;
            }
        }
        Trouble::Namesake { who } => {
            acts.push((from, GroupAct::StartNamesake { who: *who }));
            acts.push((to, GroupAct::StopNamesake { who: *who }));
        }
        Trouble::Rolling { each_ms, who } => {
            for (i, who) in who.iter().enumerate() {
                let at = from + i as Micros * from_ms(*each_ms);
                acts.push((
                    at,
                    GroupAct::Kill {
                        who: *who,
                        empty: true,
                    },
                ));
                acts.push((at + from_ms(*each_ms / 2.0), GroupAct::Start { who: *who }));
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

fn draw_one(dice: &mut Dice, members: usize, processes: bool) -> Trouble {
    let one = |dice: &mut Dice| dice.below(members as u64) as usize;
    let some = |dice: &mut Dice, most: usize| {
        let mut all: Vec<usize> = (0..members).collect();
        let wanted = 1 + dice.below(most.max(1) as u64) as usize;
        while all.len() > wanted {
            all.remove(dice.below(all.len() as u64) as usize);
        }
        all
    };
    match dice.below(if processes { 16 } else { 9 }) {
        0 => Trouble::Split {
            side: some(dice, members - 1),
        },
        1 => Trouble::MovingSplit {
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
            Trouble::Links {
                pairs,
                fault: LinkFault::Cut,
            }
        }
        3 => {
            let (from, to) = (one(dice), one(dice));
            Trouble::Links {
                pairs: vec![(from, to), (to, from)],
                fault: LinkFault::Cut,
            }
        }
        4 => {
            let who = one(dice);
            let pairs = border(members, &[who]);
            Trouble::Links {
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
            Trouble::Links {
                pairs: all_links(members),
                fault,
            }
        }
        6 => {
            let fault = match dice.below(4) {
                0 => LinkFault::Loss { chance: 0.1 },
                1 => LinkFault::Slow {
                    latency_ms: 10.0,
                    jitter_ms: 50.0,
                },
                2 => LinkFault::Double { chance: 0.5 },
                _ => LinkFault::Reorder { chance: 0.5 },
            };
            Trouble::Links {
                pairs: all_links(members),
                fault,
            }
        }
        7 => {
            let fault = match dice.below(3) {
                0 => LinkFault::Spoil { chance: 0.1 },
                1 => LinkFault::Truncate { chance: 0.1 },
                _ => LinkFault::HalfOpen,
            };
            Trouble::Links {
                pairs: all_links(members),
                fault,
            }
        }
        8 => {
            let who = one(dice);
            Trouble::Links {
                pairs: border(members, &[who]),
                fault: LinkFault::Rate {
                    bytes_per_s: 20_000.0,
                },
            }
        }
        9 | 10 => Trouble::Kill {
            who: some(dice, members / 2),
            empty: dice.happens(0.5),
        },
        11 if dice.happens(0.5) => Trouble::Move { who: one(dice) },
        11 => Trouble::Term { who: one(dice) },
        12 | 13 => Trouble::Pause { who: one(dice) },
        14 if dice.happens(0.5) => Trouble::Starve { who: one(dice) },
        14 => Trouble::Namesake { who: one(dice) },
        _ if dice.happens(0.3) => Trouble::Kill {
            who: (0..members).collect(),
            empty: dice.happens(0.5),
        },
        _ => Trouble::Rolling {
            each_ms: 700.0,
            who: some(dice, members.div_ceil(3)),
        },
    }
}

impl Trouble {
    /// Processes that it starts, stops or ends.
    fn processes(&self) -> Vec<usize> {
        match self {
            Trouble::Kill { who, .. } | Trouble::Rolling { who, .. } => who.clone(),
            Trouble::Term { who } | Trouble::Pause { who } | Trouble::Move { who } => vec![*who],
            Trouble::Starve { who } | Trouble::Namesake { who } => vec![*who],
            Trouble::Links { .. } | Trouble::Split { .. } | Trouble::MovingSplit { .. } => {
                Vec::new()
            }
        }
    }

    /// All that it names.
    pub fn touched(&self) -> Vec<usize> {
        match self {
            Trouble::Links { pairs, .. } => {
                pairs.iter().flat_map(|(from, to)| [*from, *to]).collect()
            }
            Trouble::Split { side } | Trouble::MovingSplit { side, .. } => side.clone(),
            _ => self.processes(),
        }
    }

    fn words(&self, members: usize) -> String {
        match self {
            Trouble::Links { pairs, fault } if pairs.len() == members * (members - 1) => {
                format!("all links: {fault:?}")
            }
            Trouble::Links { pairs, fault } => {
                let pairs: Vec<String> = pairs
                    .iter()
                    .map(|(from, to)| format!("{from}>{to}"))
                    .collect();
                format!("links {}: {fault:?}", pairs.join(" "))
            }
            Trouble::Split { side } => format!("{side:?} cut off from the rest"),
            Trouble::MovingSplit { side, each_ms } => {
                format!(
                    "{side:?} cut off from the rest, the border moving by one each {:.1} s",
                    each_ms / 1e3
                )
            }
            Trouble::Kill { who, empty } => {
                format!(
                    "{who:?} killed, started again {}",
                    if *empty {
                        "without a disk"
                    } else {
                        "with its disk"
                    }
                )
            }
            Trouble::Term { who } => format!("{who} told to stop, started again"),
            Trouble::Move { who } => format!("{who} killed, started again at another address"),
            Trouble::Pause { who } => format!("{who} paused"),
            Trouble::Starve { who } => format!("{who} gets a twentieth of a core"),
            Trouble::Namesake { who } => format!("a second process is called as {who}"),
            Trouble::Rolling { each_ms, who } => {
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
