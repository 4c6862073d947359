//! Carries out what maintenance workers want done.
use std::rc::Rc;

use stairfront_common::time::{Micros, MS};
use stairfront_emulator::faults::FaultAction;
use stairfront_emulator::group_script::GroupAction;
use tokio::task::spawn_local;

use super::events::{CallAnswer, MemberMessage};
use super::{host_index, BalancerGroup, PendingRestart};
use crate::admin_client;
use crate::error::RunError;
use crate::maintenance::{AdminCall, WorkerAction};

/// Time after which a balancer that was told to stop for maintenance is started again.
const RESTART_DELAY: Micros = 1500 * MS;

/// A worker's action, and the member that a call to any member goes to.
struct AddressedAction {
    member: usize,
    action: WorkerAction,
}

impl BalancerGroup {
    /// Has the workers do what is due, and starts members whose restart is due.
    pub(super) async fn run_workers(&mut self, now: Micros) -> Result<(), RunError> {
        if self.workers.is_none() {
            return Ok(());
        }
        let running = |member: &usize| self.members[*member].up && !self.members[*member].paused;
        let running: Vec<usize> = (0..self.members.len()).filter(running).collect();
        for AddressedAction { member, action } in self.collect_actions(now, &running) {
            match action {
                WorkerAction::Call(call) => self.send_call(member, call),
                WorkerAction::CallMember { member, call } => self.send_call(member, call),
                WorkerAction::SetUnderMaintenance { host, on } => {
                    self.set_under_maintenance(now, host, on);
                }
                WorkerAction::Restart { plan, balancer } => {
                    self.restart_for_maintenance(now, plan, &balancer, &running)
                        .await?;
                }
            }
        }
        self.start_due_members(now).await
    }

    fn collect_actions(&mut self, now: Micros, running: &[usize]) -> Vec<AddressedAction> {
        let Some(workers) = self.workers.as_mut() else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if !running.is_empty() {
            let member = running[self.rng.below(running.len() as u64) as usize];
            let due = workers.tick(now, member).into_iter();
            actions.extend(due.map(|action| AddressedAction { member, action }));
        }
        for CallAnswer { number, answer } in std::mem::take(&mut self.call_answers) {
            let due = workers.handle_answer(now, number, answer).into_iter();
            actions.extend(due.map(|action| AddressedAction { member: 0, action }));
        }
        actions
    }

    fn send_call(&self, member: usize, call: AdminCall) {
        let messages = Rc::clone(&self.messages);
        let address = self.members[member].admin_address;
        spawn_local(async move {
            let AdminCall {
                number,
                method,
                path,
                body,
            } = call;
            let answer = admin_client::call(address, method, &path, &body).await.ok();
            let message = MemberMessage::CallAnswered(CallAnswer { number, answer });
            messages.borrow_mut().push_back(message);
        });
    }

    fn set_under_maintenance(&mut self, now: Micros, host: String, on: bool) {
        let Some(index) = host_index(&host) else {
            return;
        };
        if on {
            self.hosts_under_maintenance.insert(host);
        } else {
            self.hosts_under_maintenance.remove(&host);
        }
        self.record_cordon(now, index, None, on);
        // A member that came back where it can reach no majority serves by its last list, and nobody can notify it.
        self.uninformed
            .retain(|member| !self.observer.can_reach_majority(now, *member));
        let uninformed: Vec<usize> = self.uninformed.iter().copied().collect();
        for member in uninformed.into_iter().filter(|_| on) {
            self.record_cordon(now, index, Some(member), false);
        }
        let maintenance = self.settings.maintenance.as_ref();
        if maintenance.is_some_and(|plan| plan.restarts) {
            let host = usize::from(index);
            let action = if on {
                FaultAction::Kill { host }
            } else {
                FaultAction::Start { host }
            };
            self.host_actions.borrow_mut().push_back(action);
        }
    }

    async fn restart_for_maintenance(
        &mut self,
        now: Micros,
        plan: u64,
        balancer: &str,
        running: &[usize],
    ) -> Result<(), RunError> {
        let index = balancer
            .strip_prefix('b')
            .and_then(|index| index.parse::<usize>().ok());
        match index.filter(|member| running.contains(member)) {
            Some(member) => {
                self.apply(GroupAction::Term { member }).await?;
                self.pending_restarts.push(PendingRestart {
                    at: now + RESTART_DELAY,
                    member,
                });
            }
            // The workers have to try again: a paused member would not restart, and its plan would never end.
            None => {
                let workers = self.workers.iter_mut();
                workers.for_each(|workers| workers.restart_refused(plan, balancer));
            }
        }
        Ok(())
    }

    async fn start_due_members(&mut self, now: Micros) -> Result<(), RunError> {
        let due = self
            .pending_restarts
            .iter()
            .filter(|restart| restart.at <= now);
        let due: Vec<usize> = due.map(|restart| restart.member).collect();
        self.pending_restarts.retain(|restart| restart.at > now);
        for member in due {
            self.apply(GroupAction::Start { member }).await?;
        }
        Ok(())
    }
}
