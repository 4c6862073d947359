//! The single actions that a script of group faults consists of.
use stairfront_common::time::{from_ms, Micros, MS};

use super::{links_across, GroupFault, GroupScript, TimedGroupFault};
use crate::links::{DirectedLink, LinkFault};

/// Ids of link faults that are reserved for each fault of a script: one for each move of a moving partition.
const IDS_PER_FAULT: u64 = 1000;
/// Shortest time between two moves of a moving partition.
const MIN_MOVE_INTERVAL: Micros = 100 * MS;
/// Time between two pauses of a starved process.
const STARVE_INTERVAL: Micros = 100 * MS;
/// Length of each pause of a starved process.
const STARVE_PAUSE: Micros = 95 * MS;

/// One action on a group. Members are positions in the group, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupAction {
    /// Adds a fault to links.
    AddLinkFault {
        /// The id by which it is removed.
        id: u64,
        /// The links.
        pairs: Vec<DirectedLink>,
        /// The fault.
        fault: LinkFault,
    },
    /// Removes a fault from its links.
    RemoveLinkFault {
        /// The id that it was added by.
        id: u64,
    },
    /// Kills a process.
    Kill {
        /// The member.
        member: usize,
        /// Whether its disk is lost.
        empty: bool,
    },
    /// Starts a process that was killed or has ended.
    Start {
        /// The member.
        member: usize,
    },
    /// Sends SIGTERM to a process.
    Term {
        /// The member.
        member: usize,
    },
    /// Pauses a process.
    Pause {
        /// The member.
        member: usize,
    },
    /// Resumes a paused process.
    Resume {
        /// The member.
        member: usize,
    },
    /// The next start of a process is at its other address.
    Move {
        /// The member.
        member: usize,
    },
    /// Starts a second process with the name of a member.
    StartDuplicate {
        /// The member.
        member: usize,
    },
    /// Stops that second process.
    StopDuplicate {
        /// The member.
        member: usize,
    },
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledGroupAction {
    /// When it is due.
    pub at: Micros,
    /// The action.
    pub action: GroupAction,
}

impl GroupScript {
    /// The script's actions in order of time.
    pub fn actions(&self) -> Vec<ScheduledGroupAction> {
        let mut schedule = Schedule {
            members: self.members,
            actions: Vec::new(),
        };
        for (position, timed) in self.faults.iter().enumerate() {
            schedule.add(timed, position as u64 * IDS_PER_FAULT);
        }
        schedule.actions.sort_by_key(|action| action.at);
        schedule.actions
    }
}

struct Schedule {
    members: usize,
    actions: Vec<ScheduledGroupAction>,
}

impl Schedule {
    fn push(&mut self, at: Micros, action: GroupAction) {
        self.actions.push(ScheduledGroupAction { at, action });
    }

    /// Adds the actions of a fault; ids of link faults count from `first_id`.
    fn add(&mut self, timed: &TimedGroupFault, first_id: u64) {
        let start = timed.start();
        let end = timed.end();
        match &timed.fault {
            GroupFault::Links { pairs, fault } => {
                self.push(
                    start,
                    GroupAction::AddLinkFault {
                        id: first_id,
                        pairs: pairs.clone(),
                        fault: *fault,
                    },
                );
                self.push(end, GroupAction::RemoveLinkFault { id: first_id });
            }
            GroupFault::Split { side } => self.add_partition(first_id, side, start, end),
            GroupFault::MovingSplit { side, each_ms } => {
                self.add_moving_partition(first_id, side, from_ms(*each_ms), (start, end));
            }
            GroupFault::Kill { members, empty } => {
                for member in members {
                    self.add_restart(*member, *empty, start, end);
                }
            }
            GroupFault::Term { member } => {
                self.push(start, GroupAction::Term { member: *member });
                self.push(end, GroupAction::Start { member: *member });
            }
            GroupFault::Move { member } => self.add_move(*member, start, end),
            GroupFault::Pause { member } => {
                self.push(start, GroupAction::Pause { member: *member });
                self.push(end, GroupAction::Resume { member: *member });
            }
            GroupFault::StarveCpu { member } => self.add_starvation(*member, start, end),
            GroupFault::DuplicateName { member } => {
                self.push(start, GroupAction::StartDuplicate { member: *member });
                self.push(end, GroupAction::StopDuplicate { member: *member });
            }
            GroupFault::Rolling { each_ms, members } => {
                for (position, member) in members.iter().enumerate() {
                    let killed = start + position as Micros * from_ms(*each_ms);
                    let started = killed + from_ms(*each_ms / 2.0);
                    self.add_restart(*member, true, killed, started);
                }
            }
        }
    }

    fn add_partition(&mut self, id: u64, side: &[usize], start: Micros, end: Micros) {
        let pairs = links_across(self.members, side);
        let fault = LinkFault::Cut;
        self.push(start, GroupAction::AddLinkFault { id, pairs, fault });
        self.push(end, GroupAction::RemoveLinkFault { id });
    }

    fn add_moving_partition(
        &mut self,
        first_id: u64,
        side: &[usize],
        interval: Micros,
        (start, end): (Micros, Micros),
    ) {
        let interval = interval.max(MIN_MOVE_INTERVAL);
        for step in 0..((end - start) / interval).max(1) {
            let moved: Vec<usize> = side
                .iter()
                .map(|member| (member + step as usize) % self.members)
                .collect();
            let from = start + step * interval;
            // The last partition lasts until the end.
            let to = if from + 2 * interval > end {
                end
            } else {
                from + interval
            };
            self.add_partition(first_id + step as u64, &moved, from, to);
        }
    }

    fn add_restart(&mut self, member: usize, empty: bool, killed: Micros, started: Micros) {
        self.push(killed, GroupAction::Kill { member, empty });
        self.push(started, GroupAction::Start { member });
    }

    fn add_move(&mut self, member: usize, start: Micros, end: Micros) {
        let empty = true;
        self.push(start, GroupAction::Kill { member, empty });
        self.push(start, GroupAction::Move { member });
        self.push(end, GroupAction::Start { member });
    }

    fn add_starvation(&mut self, member: usize, start: Micros, end: Micros) {
        let mut at = start;
        while at < end {
            self.push(at, GroupAction::Pause { member });
            self.push(at + STARVE_PAUSE, GroupAction::Resume { member });
            at += STARVE_INTERVAL;
        }
    }
}
