//! The faults that are drawn, and their ends.
use stairfront_common::time::{Micros, MS, SECOND};

use crate::member::Disk;
use crate::world::{World, LAST_FAULT, MEMBERS, USUAL_LOSS};

const INCREASED_LOSS: f64 = 0.3;

#[derive(Clone, Copy)]
pub enum FaultKind {
    Crash,
    /// A crash, after which the member starts with an empty disk.
    LoseDisk,
    Pause,
    Cut,
    StallDisk,
    LoseMessages,
}

#[derive(Clone, Copy)]
pub struct ActiveFault {
    ends_at: Micros,
    member: usize,
    kind: FaultKind,
}

impl World {
    pub fn inject_due_fault(&mut self) {
        if self.now < self.next_fault || self.now >= LAST_FAULT {
            return;
        }
        self.next_fault = self.now + (1 + self.rng.below(7_u64)) as Micros * SECOND;
        let member = self.rng.below(MEMBERS as u64) as usize;
        let kind = match self.rng.below(6_u64) {
            0 => FaultKind::Crash,
            1 => FaultKind::LoseDisk,
            2 => FaultKind::Pause,
            3 => FaultKind::Cut,
            4 => FaultKind::StallDisk,
            _ => FaultKind::LoseMessages,
        };
        let duration = (500 + self.rng.below(6000_u64)) as Micros * MS;
        if !self.members[member].is_running() {
            return;
        }
        self.inject(member, kind);
        self.faults.push(ActiveFault {
            ends_at: self.now + duration,
            member,
            kind,
        });
    }

    fn inject(&mut self, member: usize, kind: FaultKind) {
        match kind {
            FaultKind::Crash => self.crash(member),
            FaultKind::LoseDisk => self.crash_and_lose_disk(member),
            FaultKind::Pause => {
                self.members[member].is_paused = true;
                self.members[member].unreachable_since = self.now;
            }
            FaultKind::Cut => self.cut_off(member),
            FaultKind::StallDisk => {
                self.stalled_disks.insert(member);
            }
            FaultKind::LoseMessages => self.loss = INCREASED_LOSS,
        }
    }

    fn cut_off(&mut self, member: usize) {
        let in_both_directions = self.rng.happens(0.6);
        for other in (0..MEMBERS).filter(|other| *other != member) {
            self.cut_links.insert((member, other));
            if in_both_directions {
                self.cut_links.insert((other, member));
            }
        }
        self.members[member].unreachable_since = self.now;
    }

    pub fn lift_due_faults(&mut self) {
        let now = self.now;
        let due = self.faults.extract_if(.., |fault| fault.ends_at <= now);
        let due: Vec<ActiveFault> = due.collect();
        for fault in due {
            self.last_fault_end = self.last_fault_end.max(now);
            self.lift(fault);
        }
    }

    fn lift(&mut self, fault: ActiveFault) {
        let member = fault.member;
        match fault.kind {
            FaultKind::Crash | FaultKind::LoseDisk => {
                if self.members[member].manager.is_none() {
                    self.start(member);
                }
            }
            FaultKind::Pause => self.members[member].is_paused = false,
            FaultKind::Cut => self
                .cut_links
                .retain(|(from, to)| *from != member && *to != member),
            FaultKind::StallDisk => {
                self.stalled_disks.remove(&member);
            }
            FaultKind::LoseMessages => self.loss = USUAL_LOSS,
        }
    }

    /// Ends the process. A batch that was not yet durable is lost.
    pub fn crash(&mut self, member: usize) {
        let member = &mut self.members[member];
        member.manager = None;
        member.persisting = None;
        member.unreachable_since = self.now;
        member.in_flight.clear();
        member.proposed.clear();
        member.confirmed.clear();
        member.drained.clear();
    }

    fn crash_and_lose_disk(&mut self, member: usize) {
        self.crash(member);
        let member = &mut self.members[member];
        member.disk = Disk::default();
        member.cordons.clear();
        member.incarnation = 0;
    }
}
