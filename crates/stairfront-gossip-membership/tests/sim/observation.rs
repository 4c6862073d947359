//! Reports to the observer: what members say of the group, what they serve, and which orders are done.
use stairfront_common::time::MS;
use stairfront_emulator::group_observer::{GroupEvent, MemberReport};

use super::{LogContent, LogEntry, Process, Sim, SimOrder, HOST};

impl Sim {
    pub(super) fn observe(&mut self) {
        for member in 0..self.nodes.len() {
            if !self.nodes[member].paused {
                self.observe_member(member);
            }
        }
        for order in std::mem::take(&mut self.orders) {
            self.observe_order(order);
        }
    }

    fn observe_member(&mut self, member: usize) {
        let now = self.now;
        let Some(core) = &self.nodes[member].core else {
            return;
        };
        let text = serde_json::to_string(&core.report(now)).unwrap();
        let account: MemberReport = serde_json::from_str(&text).unwrap();
        let is_bootstrapped = core.is_bootstrapped();
        let said = GroupEvent::Reported {
            member,
            report: account,
        };
        self.observer.observe(now, said);
        let node = &mut self.nodes[member];
        node.is_uninformed &= !is_bootstrapped;
        // It serves once it has applied what the others told it, or the time for that is over.
        let is_starting = now - node.started < 310 * MS;
        let is_asking = is_starting && (!is_bootstrapped || !node.pending.is_empty());
        // A member that serves sends requests to a host that it has not cordoned.
        if !is_asking && !node.is_uninformed && !node.cordoned.contains(HOST) {
            let began = GroupEvent::AttemptStarted {
                host: HOST.into(),
                member,
            };
            self.observer.observe(now, began);
        }
    }

    fn observe_order(&mut self, order: SimOrder) {
        let node = &self.nodes[order.member];
        let core = node
            .core
            .as_ref()
            .filter(|_| !node.paused && node.starts == order.starts);
        let is_done = core
            .and_then(|core| core.progress(order.number))
            .is_some_and(|progress| progress.done);
        if is_done && order.is_cordon {
            self.observer
                .observe(self.now, GroupEvent::Cordoned { host: HOST.into() });
        } else if !is_done {
            self.orders.push(order);
        }
    }

    /// An operator's order at one member; false if it was refused.
    pub fn order(&mut self, member: usize, cordon: bool) -> bool {
        let node = &mut self.nodes[member];
        let Some(core) = node.core.as_mut().filter(|_| !node.paused) else {
            return false;
        };
        if !cordon {
            if !core.quorum_status().has_quorum() {
                return false;
            }
            // From now on the host may be used, whatever becomes of the order; earlier cordons are not waited for.
            self.observer
                .observe(self.now, GroupEvent::Uncordoned { host: HOST.into() });
            self.orders.retain(|order| !order.is_cordon);
        }
        let starts = node.starts;
        let Ok(number) = core.order(self.now, HOST, cordon) else {
            return false;
        };
        self.log.push(LogEntry {
            at: self.now,
            member,
            content: LogContent::Order { cordon },
        });
        self.orders.push(SimOrder {
            member,
            starts,
            number,
            is_cordon: cordon,
        });
        self.run_actions(Process::primary(member));
        true
    }
}
