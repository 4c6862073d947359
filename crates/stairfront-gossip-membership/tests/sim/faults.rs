//! Starts, ends, pauses and link faults of the simulation.
use stairfront_emulator::group_observer::GroupEvent;
use stairfront_emulator::group_script::GroupAction;
use stairfront_emulator::links::LinkFault;
use stairfront_gossip_membership::Membership;

use super::{LaidFault, Node, Process, Sim, HOST};

impl Sim {
    pub fn act(&mut self, act: GroupAction) {
        match act {
            GroupAction::AddLinkFault {
                id: number,
                pairs,
                fault,
            } => self.lay_fault(number, pairs, fault),
            GroupAction::RemoveLinkFault { id: number } => self.lift_fault(number),
            GroupAction::Kill { member: who, empty } => self.kill(who, empty),
            GroupAction::Term { member: who } => self.terminate(who),
            GroupAction::Start { member: who } => self.start(who),
            GroupAction::Pause { member: who } => self.pause(who),
            GroupAction::Resume { member: who } => self.resume(who),
            GroupAction::Move { member: who } => self.nodes[who].moved ^= true,
            GroupAction::StartDuplicate { member: who } => {
                let settings = self.settings(Process {
                    member: who,
                    is_duplicate: true,
                });
                self.nodes[who].duplicate = Some(Membership::new(self.now, settings, &[]));
                self.observer.observe(
                    self.now,
                    GroupEvent::DuplicateRunning {
                        member: who,
                        running: true,
                    },
                );
            }
            GroupAction::StopDuplicate { member: who } => {
                self.nodes[who].duplicate = None;
                self.observer.observe(
                    self.now,
                    GroupEvent::DuplicateRunning {
                        member: who,
                        running: false,
                    },
                );
            }
        }
    }

    fn lay_fault(&mut self, number: u64, pairs: Vec<(usize, usize)>, fault: LinkFault) {
        self.links.add_fault(self.now, number, &pairs, fault);
        let sign = GroupEvent::LinksFaulted {
            pairs: pairs.clone(),
            cut: fault.cuts(),
            mild: fault.is_mild(),
        };
        self.laid.insert(number, LaidFault { pairs, fault });
        self.observer.observe(self.now, sign);
    }

    fn lift_fault(&mut self, number: u64) {
        self.links.remove_fault(number);
        if let Some(LaidFault { pairs, fault }) = self.laid.remove(&number) {
            let sign = GroupEvent::LinksRestored {
                pairs,
                cut: fault.cuts(),
                mild: fault.is_mild(),
            };
            self.observer.observe(self.now, sign);
        }
    }

    fn terminate(&mut self, member: usize) {
        if let Some(core) = &mut self.nodes[member].core {
            core.leave(self.now);
            self.run_actions(Process::primary(member));
        }
        self.kill(member, false);
    }

    fn pause(&mut self, member: usize) {
        if self.nodes[member].core.is_some() && !self.nodes[member].paused {
            self.nodes[member].paused = true;
            self.observer
                .observe(self.now, GroupEvent::Paused { member });
        }
    }

    fn resume(&mut self, member: usize) {
        if !self.nodes[member].paused {
            return;
        }
        self.nodes[member].paused = false;
        self.observer
            .observe(self.now, GroupEvent::Resumed { member });
        for bytes in std::mem::take(&mut self.nodes[member].unread) {
            self.handle_datagram(Process::primary(member), &bytes);
        }
    }

    pub fn start(&mut self, member: usize) {
        if self.nodes[member].core.is_some() {
            return;
        }
        let settings = self.settings(Process::primary(member));
        let node = &mut self.nodes[member];
        let mut core = Membership::new(self.now, settings, &node.disk);
        core.begin_bootstrap(self.now);
        node.cordoned = core
            .cordons()
            .cordoned_hosts()
            .map(str::to_string)
            .collect();
        for host in &node.cordoned {
            core.cordon_applied(self.now, host, true);
        }
        node.is_uninformed = true;
        node.core = Some(core);
        node.starts += 1;
        node.started = self.now;
        self.observer
            .observe(self.now, GroupEvent::Started { member });
        self.run_actions(Process::primary(member));
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|member| self.start(member));
    }

    fn kill(&mut self, member: usize, empty: bool) {
        let node = &mut self.nodes[member];
        if node.core.take().is_none() {
            return;
        }
        node.paused = false;
        node.unread.clear();
        node.cordoned.clear();
        node.pending.clear();
        if empty {
            node.disk.clear();
        }
        self.orders.retain(|order| order.member != member);
        self.observer
            .observe(self.now, GroupEvent::Stopped { member });
        // A cordon that no process and no disk has is lost.
        if empty && !self.nodes.iter().any(knows_cordon) {
            self.observer
                .observe(self.now, GroupEvent::Uncordoned { host: HOST.into() });
        }
    }
}

fn knows_cordon(node: &Node) -> bool {
    let core = node.core.as_ref();
    !node.disk.is_empty() || core.is_some_and(|core| core.cordons().is_cordoned(HOST))
}
