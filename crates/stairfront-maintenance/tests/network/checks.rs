//! What must hold at each time, and at the end.
use stairfront_common::time::Micros;
use stairfront_maintenance::{MachineView, Stage};

use crate::member::Member;
use crate::operators::MAX_HOSTS_OUT;
use crate::world::{member_index, MachineOfPlan, World, MEMBERS};

impl World {
    /// No attempt begins at a host that is worked at.
    pub fn check_attempt(&self, index: usize, host: &str) {
        let is_worked_at = |(machine, ends_at): (&MachineOfPlan, &Micros)| {
            machine.1 == host && *ends_at > self.now
        };
        assert!(
            !self.work.iter().any(is_worked_at)
                || self.members[index].started_isolated
                || self.log_lost,
            "seed {}, {}: b{index} sends to {host}, which is worked at",
            self.seed,
            self.now
        );
    }

    /// No attempt is in flight at a host when work begins there; it would be cut.
    pub fn check_drained(&self, machine: &MachineOfPlan) {
        let open: Vec<usize> = (0..MEMBERS)
            .filter(|member| self.members[*member].has_attempt_at(&machine.1))
            .filter(|member| !self.members[*member].started_isolated)
            .collect();
        assert!(
            open.is_empty() || self.log_lost,
            "seed {}: {machine:?} is out, with attempts in flight at {open:?}",
            self.seed
        );
    }

    /// No more hosts are worked at than the plan allows.
    pub fn check_hosts_at_work(&self) {
        let is_worked_at = |((_, name), ends_at): &(&MachineOfPlan, &Micros)| {
            name.starts_with('c') && **ends_at > self.now
        };
        let at_work = self.work.iter().filter(is_worked_at).count();
        assert!(
            at_work <= MAX_HOSTS_OUT as usize || self.log_lost,
            "seed {}: {at_work} hosts are worked at",
            self.seed
        );
    }

    /// All members that are in a cluster are in the same one.
    pub fn check_single_cluster(&mut self) {
        let managers = self
            .members
            .iter()
            .filter_map(|member| member.manager.as_ref());
        for manager in managers {
            let cluster_id = manager.cluster_id();
            if cluster_id == 0 {
                continue;
            }
            assert!(
                self.cluster_id == 0 || self.cluster_id == cluster_id || self.log_lost,
                "seed {}: two clusters",
                self.seed
            );
            self.cluster_id = cluster_id;
        }
    }

    /// Notes whether a majority of the voters has lost its disks: no log survives more than that.
    pub fn detect_lost_log(&mut self) {
        let nodes = self
            .members
            .iter()
            .filter_map(|member| member.manager.as_ref())
            .map(|manager| manager.node());
        let Some(newest) =
            nodes.max_by_key(|node| (node.log().last_term(), node.log().last_index()))
        else {
            return;
        };
        let voters = newest.voters();
        let remaining = voters
            .iter()
            .filter(|voter| {
                self.members[member_index(&voter.name)].incarnation == voter.incarnation
            })
            .count();
        self.log_lost |= !voters.is_empty() && remaining * 2 <= voters.len();
    }

    /// Both plans are submitted, and finished at every member.
    pub fn is_finished(&self) -> bool {
        let is_finished = |member: &Member| {
            let view = member.maintenance.view();
            let mut machines = view.plans.iter().flat_map(|plan| &plan.machines);
            member.manager.is_some()
                && member.applied == self.members[0].applied
                && machines.all(|machine| matches!(machine.stage, Stage::Returned | Stage::Skipped))
        };
        self.submitted == [true; 2] && self.members.iter().all(is_finished)
    }

    /// The state of each member and of the network, for a run that does not finish.
    pub fn describe(&self) -> Vec<String> {
        let members = self.members.iter().enumerate();
        let mut lines: Vec<String> = members
            .map(|(index, member)| describe_member(index, member))
            .collect();
        lines.push(format!(
            "cut links {:?}, stalled disks {:?}, loss {}",
            self.cut_links, self.stalled_disks, self.loss
        ));
        lines
    }
}

fn describe_member(index: usize, member: &Member) -> String {
    let node = member.manager.as_ref().map(|manager| manager.node());
    let role = node.map(|node| (node.is_leader(), node.term(), node.voters().to_vec()));
    let view = member.maintenance.view();
    let machines = view.plans.into_iter().flat_map(|plan| plan.machines);
    let unfinished: Vec<(String, Stage)> = machines
        .filter(|machine: &MachineView| machine.stage != Stage::Returned)
        .map(|machine| (machine.machine, machine.stage))
        .collect();
    format!(
        "b{index}: {role:?} applied {}, {unfinished:?}, {:?}, cordons {:?}",
        member.applied, view.fault, member.cordons
    )
}
