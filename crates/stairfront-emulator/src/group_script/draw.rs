//! How a script of group faults is drawn from a seed.
use stairfront_common::random::SeededRng;
use stairfront_common::time::{to_ms, Micros};

use super::{all_links, links_across, FaultBudget, GroupFault, GroupScript, TimedGroupFault};
use crate::links::{DirectedLink, LinkFault};

/// Number of kinds of link faults: those that are drawn by numbers from 0 on.
const LINK_KINDS: u64 = 9;
/// Number of kinds of faults, those of processes included.
const ALL_KINDS: u64 = 16;
/// Shortest time that a fault lasts, in milliseconds.
const MIN_DURATION_MS: f64 = 1_000.0;
/// Shortest time between two faults of one process, in milliseconds, twice.
const PROCESS_MARGIN_MS: f64 = 2_500.0;

/// The time that a fault occupies a process, in milliseconds.
#[derive(Clone, Copy)]
struct Window {
    start_ms: f64,
    end_ms: f64,
}

impl Window {
    fn overlaps(self, other: Window) -> bool {
        self.end_ms >= other.start_ms && other.end_ms >= self.start_ms
    }
}

impl GroupScript {
    /// Draws a script for a group of this size, whose first fault begins at `first` or later.
    pub fn draw(seed: u64, members: usize, budget: FaultBudget, first: Micros) -> Self {
        let mut random = SeededRng::for_part(seed, "group-script");
        let mut faults = Vec::new();
        let mut occupied: Vec<Vec<Window>> = vec![Vec::new(); members];
        for _ in 0..budget.max_faults {
            let timed = draw_timed(&mut random, members, budget, first);
            let window = Window {
                start_ms: timed.at_ms - PROCESS_MARGIN_MS,
                end_ms: timed.at_ms + timed.duration_ms + PROCESS_MARGIN_MS,
            };
            // Two faults of one process at once could not be carried out, such as a start of a paused process.
            let processes = timed.fault.affected_processes();
            let is_free = |member: &usize| !occupied[*member].iter().any(|w| w.overlaps(window));
            if !processes.iter().all(is_free) {
                continue;
            }
            for member in processes {
                occupied[member].push(window);
            }
            faults.push(timed);
        }
        faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        GroupScript { members, faults }
    }
}

fn draw_timed(
    random: &mut SeededRng,
    members: usize,
    budget: FaultBudget,
    first: Micros,
) -> TimedGroupFault {
    let span_ms = budget.span_s * 1e3;
    let longest_ms = budget.max_duration_s * 1e3;
    let duration_ms = MIN_DURATION_MS + random.unit() * (longest_ms - MIN_DURATION_MS).max(0.0);
    let duration_ms = duration_ms.min(span_ms);
    let at_ms = to_ms(first) + random.unit() * (span_ms - duration_ms);
    let kinds = if budget.processes {
        ALL_KINDS
    } else {
        LINK_KINDS
    };
    let kind = random.below(kinds);
    let fault = if kind < LINK_KINDS {
        draw_link_fault(random, kind, members)
    } else {
        draw_process_fault(random, kind, members)
    };
    TimedGroupFault {
        at_ms,
        duration_ms,
        fault,
    }
}

fn draw_member(random: &mut SeededRng, members: usize) -> usize {
    random.below(members as u64) as usize
}

/// Between 1 and `max` members.
fn draw_members(random: &mut SeededRng, members: usize, max: usize) -> Vec<usize> {
    let mut chosen: Vec<usize> = (0..members).collect();
    let wanted = 1 + random.below(max.max(1) as u64) as usize;
    while chosen.len() > wanted {
        chosen.remove(random.below(chosen.len() as u64) as usize);
    }
    chosen
}

fn on_links(pairs: Vec<DirectedLink>, fault: LinkFault) -> GroupFault {
    GroupFault::Links { pairs, fault }
}

fn draw_link_fault(random: &mut SeededRng, kind: u64, members: usize) -> GroupFault {
    match kind {
        0 => GroupFault::Split {
            side: draw_members(random, members, members - 1),
        },
        1 => GroupFault::MovingSplit {
            side: draw_members(random, members, members / 2),
            each_ms: 1_000.0 + random.unit() * 3_000.0,
        },
        2 => {
            // One receives from all and reaches none.
            let from = draw_member(random, members);
            let others = (0..members).filter(|to| *to != from);
            on_links(others.map(|to| (from, to)).collect(), LinkFault::Cut)
        }
        3 => {
            let from = draw_member(random, members);
            let to = draw_member(random, members);
            on_links(vec![(from, to), (to, from)], LinkFault::Cut)
        }
        4 => {
            let member = draw_member(random, members);
            let period_ms = 400.0 + random.unit() * 3_000.0;
            let pairs = links_across(members, &[member]);
            on_links(pairs, LinkFault::Flap { period_ms })
        }
        5 => {
            let chance = 0.05;
            let datagrams = 6.0;
            on_links(all_links(members), LinkFault::Bursts { chance, datagrams })
        }
        6 => on_links(all_links(members), draw_mild_fault(random)),
        7 => on_links(all_links(members), draw_damage(random)),
        _ => {
            let member = draw_member(random, members);
            let bytes_per_s = 20_000.0;
            let pairs = links_across(members, &[member]);
            on_links(pairs, LinkFault::Rate { bytes_per_s })
        }
    }
}

fn draw_mild_fault(random: &mut SeededRng) -> LinkFault {
    match random.below(4_u64) {
        0 => LinkFault::Loss { chance: 0.1 },
        1 => LinkFault::Slow {
            latency_ms: 10.0,
            jitter_ms: 50.0,
        },
        2 => LinkFault::Double { chance: 0.5 },
        _ => LinkFault::Reorder { chance: 0.5 },
    }
}

fn draw_damage(random: &mut SeededRng) -> LinkFault {
    match random.below(3_u64) {
        0 => LinkFault::Spoil { chance: 0.1 },
        1 => LinkFault::Truncate { chance: 0.1 },
        _ => LinkFault::HalfOpen,
    }
}

fn draw_process_fault(random: &mut SeededRng, kind: u64, members: usize) -> GroupFault {
    match kind {
        9 | 10 => GroupFault::Kill {
            members: draw_members(random, members, members / 2),
            empty: random.happens(0.5),
        },
        11 if random.happens(0.5) => GroupFault::Move {
            member: draw_member(random, members),
        },
        11 => GroupFault::Term {
            member: draw_member(random, members),
        },
        12 | 13 => GroupFault::Pause {
            member: draw_member(random, members),
        },
        14 if random.happens(0.5) => GroupFault::StarveCpu {
            member: draw_member(random, members),
        },
        14 => GroupFault::DuplicateName {
            member: draw_member(random, members),
        },
        _ if random.happens(0.3) => GroupFault::Kill {
            members: (0..members).collect(),
            empty: random.happens(0.5),
        },
        _ => GroupFault::Rolling {
            each_ms: 700.0,
            members: draw_members(random, members, members.div_ceil(3)),
        },
    }
}
