//! The faults that are drawn.
use stairfront_emulator::group_script::links_across;
use stairfront_emulator::links::LinkFault;
use stairfront_raft::{Micros, Voter, MS};

use crate::support::MemoryStore;
use crate::world::{Event, World};

impl World {
    pub fn inject_fault(&mut self) {
        if self.calm {
            return;
        }
        let after = 100 * MS + self.rng.below(1500_u64) as Micros * MS;
        self.schedule(self.now + after, Event::Fault);
        self.last_fault += 1;
        let count = self.servers.len();
        let target = self.rng.below(count as u64) as usize;
        let side: Vec<usize> = (0..count).filter(|_| self.rng.happens(0.4)).collect();
        match self.rng.below(10_u64) {
            0..=2 => self.crash(target),
            3 | 4 => (0..count).for_each(|server| self.boot(server)),
            5 => self.lay(&links_across(count, &side), LinkFault::Cut),
            6 => {
                let outward: Vec<(usize, usize)> = (0..count)
                    .filter(|to| *to != target)
                    .map(|to| (target, to))
                    .collect();
                self.lay(&outward, LinkFault::Cut);
            }
            7 => {
                let faults = [
                    LinkFault::Loss { chance: 0.3 },
                    LinkFault::Slow {
                        latency_ms: 5.0,
                        jitter_ms: 400.0,
                    },
                    LinkFault::Double { chance: 0.5 },
                ];
                let fault = faults[self.rng.below(3_u64) as usize];
                self.lay(&links_across(count, &[target]), fault);
            }
            8 => self.lose_disk(target),
            _ => self.lift_link_faults(),
        }
    }

    fn lay(&mut self, links: &[(usize, usize)], fault: LinkFault) {
        self.links
            .add_fault(self.now, self.last_fault, links, fault);
    }

    pub fn lift_link_faults(&mut self) {
        (0..=self.last_fault).for_each(|number| self.links.remove_fault(number));
    }

    fn crash(&mut self, target: usize) {
        let server = &mut self.servers[target];
        self.crashes += u64::from(server.node.is_some());
        server.node = None;
        // What was not persisted is lost, and so are the messages that depend on it.
        server.persisting.clear();
        server.disk_busy = false;
    }

    /// One disk at a time, and only while the others can go on: no protocol survives the loss of a
    /// majority.
    fn lose_disk(&mut self, target: usize) {
        let all_vote = self
            .servers
            .iter()
            .all(|server| self.is_voter(&server.local));
        if !all_vote {
            return;
        }
        self.crash(target);
        self.lost_disks += 1;
        let server = &mut self.servers[target];
        server.incarnation += 1;
        server.local = Voter {
            name: server.local.name.clone(),
            incarnation: server.incarnation,
        };
        server.disk = MemoryStore::default();
    }
}
