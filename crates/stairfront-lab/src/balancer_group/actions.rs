//! Carries out the faults of a script: on links, and on the members' processes.
use std::fs;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use serde_json::json;
use stairfront_common::time::Micros;
use stairfront_emulator::group_observer::GroupEvent;
use stairfront_emulator::group_script::GroupAction;
use stairfront_emulator::links::LinkFault;
use stairfront_emulator::rules::Observation;

use super::member::set_group_addresses;
use super::{host_index, ActiveFault, BalancerGroup, ORDERED_HOST};
use crate::error::RunError;
use crate::process::BalancerProcess;

impl BalancerGroup {
    pub(super) async fn apply(&mut self, action: GroupAction) -> Result<(), RunError> {
        let now = self.clock.now();
        match action {
            GroupAction::AddLinkFault {
                id: number,
                pairs,
                fault,
            } => self.add_link_fault(now, number, pairs, fault),
            GroupAction::RemoveLinkFault { id: number } => self.remove_link_fault(now, number),
            GroupAction::Kill { member, empty } => self.kill(member, empty).await,
            GroupAction::Term { member } => self.terminate(now, member),
            GroupAction::Start { member } => {
                if !self.members[member].process.should_run && self.members[member].up {
                    // It was told to stop before, so it has ended by now or is killed.
                    self.kill(member, false).await;
                }
                self.start_member(member)?;
            }
            GroupAction::Pause { member } => self.pause(now, member),
            GroupAction::Resume { member } => self.resume(now, member),
            // Without a membership there is no address to move, and no name to share.
            GroupAction::Move { .. } | GroupAction::StartDuplicate { .. }
                if !self.settings.membership => {}
            GroupAction::Move { member } => self.move_member(member)?,
            GroupAction::StartDuplicate { member } => self.start_duplicate(member)?,
            GroupAction::StopDuplicate { member } => self.stop_duplicate(now, member).await,
        }
        Ok(())
    }

    fn add_link_fault(
        &mut self,
        now: Micros,
        number: u64,
        pairs: Vec<(usize, usize)>,
        fault: LinkFault,
    ) {
        self.relay.add_fault(number, pairs.clone(), fault);
        let event = GroupEvent::LinksFaulted {
            pairs: pairs.clone(),
            cut: fault.cuts(),
            mild: fault.is_mild(),
        };
        self.active_faults
            .insert(number, ActiveFault { pairs, fault });
        self.observer.observe(now, event);
    }

    fn remove_link_fault(&mut self, now: Micros, number: u64) {
        self.relay.remove_fault(number);
        if let Some(ActiveFault { pairs, fault }) = self.active_faults.remove(&number) {
            let event = GroupEvent::LinksRestored {
                pairs,
                cut: fault.cuts(),
                mild: fault.is_mild(),
            };
            self.observer.observe(now, event);
        }
    }

    /// Starts a member that is not running, without waiting until it is ready.
    pub(super) fn start_member(&mut self, member: usize) -> Result<(), RunError> {
        let now = self.clock.now();
        if self.members[member].up {
            return Ok(());
        }
        self.members[member].launch(now)?;
        self.endpoints[member]
            .closed
            .store(false, Ordering::Relaxed);
        self.observer.observe(now, GroupEvent::Started { member });
        // A member that starts where it can reach no majority serves by its own list, as its documentation says, so no
        // cordon is held against it until it has been notified.
        self.uninformed.remove(&member);
        if !self.observer.can_reach_majority(now, member) {
            self.uninformed.insert(member);
            let ordered = self.cordoned.then_some(ORDERED_HOST.index);
            let under_maintenance = self.hosts_under_maintenance.iter();
            let under_maintenance = under_maintenance.filter_map(|host| host_index(host));
            let hosts: Vec<u16> = ordered.into_iter().chain(under_maintenance).collect();
            for host in hosts {
                self.record_cordon(now, host, Some(member), false);
            }
        }
        Ok(())
    }

    fn terminate(&mut self, now: Micros, member: usize) {
        self.endpoints[member].closed.store(true, Ordering::Relaxed);
        self.members[member].process.signal(Signal::SIGTERM);
        self.members[member].process.should_run = false;
        // The others are notified of its leave before its end is seen here, so it is not judged from now on.
        self.observer.observe(now, GroupEvent::Paused { member });
    }

    fn pause(&mut self, now: Micros, index: usize) {
        let member = &mut self.members[index];
        if !member.up || member.paused {
            return;
        }
        member.paused = true;
        self.endpoints[index].closed.store(true, Ordering::Relaxed);
        member.process.signal(Signal::SIGSTOP);
        self.record_paused(now, index, true);
        self.observer
            .observe(now, GroupEvent::Paused { member: index });
    }

    fn resume(&mut self, now: Micros, index: usize) {
        let member = &mut self.members[index];
        if !member.paused {
            return;
        }
        member.paused = false;
        member.process.signal(Signal::SIGCONT);
        self.endpoints[index].closed.store(false, Ordering::Relaxed);
        self.record_paused(now, index, false);
        self.observer
            .observe(now, GroupEvent::Resumed { member: index });
        self.detection.add_resume(now, index);
    }

    fn record_paused(&mut self, now: Micros, member: usize, paused: bool) {
        let balancer = member as u16;
        self.event_log
            .record(now, Observation::BalancerPaused { balancer, paused });
    }

    fn record_stopped(&mut self, now: Micros, member: usize) {
        let balancer = member as u16;
        self.event_log
            .record(now, Observation::BalancerStopped { balancer });
    }

    async fn kill(&mut self, index: usize, empty: bool) {
        let now = self.clock.now();
        if !self.members[index].up {
            return;
        }
        let told_to_stop = !self.members[index].process.should_run;
        self.record_stopped(now, index);
        if self.members[index].paused {
            self.record_paused(now, index, false);
        }
        let member = &mut self.members[index];
        member.process.kill().await;
        member.up = false;
        member.paused = false;
        self.record_stopped(self.clock.now(), index);
        self.observer
            .observe(now, GroupEvent::Stopped { member: index });
        if !told_to_stop {
            self.detection.add_kill(now, index);
        }
        let has_disks = self
            .workers
            .as_ref()
            .is_some_and(|workers| workers.has_disks());
        if let Some(workers) = self.workers.as_mut().filter(|_| empty || !has_disks) {
            workers.disk_lost(now, index);
        }
        if empty {
            self.empty_folder(now, index);
        }
    }

    fn empty_folder(&mut self, now: Micros, member: usize) {
        let folder = &self.members[member].folder;
        // A folder that cannot be emptied shows at the next start of the process.
        let _ = fs::remove_dir_all(folder);
        let _ = fs::create_dir_all(folder);
        // An order is kept by the members that run; with none left it is lost.
        if self.members.iter().all(|member| !member.up) {
            self.uncordon_ordered_host(now);
        }
    }

    fn move_member(&mut self, index: usize) -> Result<(), RunError> {
        let member = &mut self.members[index];
        member.moved ^= true;
        let place = index
            + if member.moved {
                self.endpoints.len()
            } else {
                0
            };
        let mut config = member.read_config()?;
        let listen = self.relay.process_address(place);
        set_group_addresses(&mut config, listen, self.relay.advertised(place));
        member.process.configure(&config)?;
        Ok(())
    }

    /// Starts a second process with a member's name and configuration, at other addresses.
    fn start_duplicate(&mut self, index: usize) -> Result<(), RunError> {
        let second_place = self.members.len() + index;
        let member = &mut self.members[index];
        let mut config = member.read_config()?;
        let address = self.relay.client_address(second_place);
        config["listen"] = json!(address);
        config["ops"] = json!(self.relay.admin_address(second_place));
        let place = if member.moved { index } else { second_place };
        let listen = self.relay.process_address(place);
        set_group_addresses(&mut config, listen, self.relay.advertised(place));
        let folder = member.folder.with_extension("twin");
        fs::create_dir_all(&folder)?;
        let name = format!("b{index}-twin");
        let mut duplicate = BalancerProcess::new(self.build.clone(), &name, &folder, address);
        duplicate.set_data_folder(&folder);
        duplicate.configure(&config)?;
        duplicate.launch()?;
        member.duplicate = Some(duplicate);
        let now = self.clock.now();
        self.observer.observe(
            now,
            GroupEvent::DuplicateRunning {
                member: index,
                running: true,
            },
        );
        Ok(())
    }

    async fn stop_duplicate(&mut self, now: Micros, member: usize) {
        if let Some(mut duplicate) = self.members[member].duplicate.take() {
            duplicate.kill().await;
            self.observer.observe(
                now,
                GroupEvent::DuplicateRunning {
                    member,
                    running: false,
                },
            );
        }
    }
}
