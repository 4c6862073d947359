//! A run while it goes on: faults in their time, and a look at the balancers' processes now and then.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::ops::Range;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use stairfront_common::time::{Micros, SECOND};
use stairfront_emulator::faults::{FaultAction, ScheduledAction};
use stairfront_emulator::rules::Observation;
use tokio::time::{sleep, sleep_until};

use super::progress::ProgressReport;
use super::Run;
use crate::clock::RunClock;
use crate::error::RunError;
use crate::event_log::EventLog;
use crate::fleet::Fleet;
use crate::load::BalancerEndpoint;
use crate::process::BalancerProcess;

/// How long a balancer that was told to stop still gets new connections.
const ENDPOINT_CLOSE_DELAY: Duration = Duration::from_millis(300);
/// Time between two looks at the processes.
const INSPECT_INTERVAL: Micros = SECOND / 4;

/// Processor time of all balancers at the begin and the end of the counted time, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CountedCpu {
    begin_us: Option<u64>,
    end_us: Option<u64>,
}

impl CountedCpu {
    fn record(&mut self, now: Micros, counted: &Range<Micros>, cpu_us: u64) {
        if now >= counted.start && self.begin_us.is_none() {
            self.begin_us = Some(cpu_us);
        }
        if now >= counted.end && self.end_us.is_none() {
            self.end_us = Some(cpu_us);
        }
    }

    pub(super) fn used_us(self) -> u64 {
        let end = self.end_us.unwrap_or(0);
        end.saturating_sub(self.begin_us.unwrap_or(0))
    }
}

/// A run under way.
pub(super) struct ActiveRun<'a> {
    pub(super) run: &'a Run<'a>,
    pub(super) clock: RunClock,
    pub(super) fleet: Fleet,
    /// Balancers that are not members of a group.
    pub(super) balancers: Vec<BalancerProcess>,
    pub(super) endpoints: Vec<BalancerEndpoint>,
    pub(super) event_log: EventLog,
    /// Changes to the hosts under maintenance, from the group.
    pub(super) maintenance_actions: Rc<RefCell<VecDeque<FaultAction>>>,
    pub(super) cpu: CountedCpu,
    pub(super) progress: ProgressReport<'a>,
}

impl ActiveRun<'_> {
    /// Applies the faults in their time, until all clients are finished.
    pub(super) async fn run_until(&mut self, finished: impl Fn() -> bool) -> Result<(), RunError> {
        let mut steps: VecDeque<ScheduledAction> =
            self.run.plan.fault_script(self.run.seed).steps.into();
        let counted = self.run.counted();
        while !finished() {
            let now = self.clock.now();
            while steps.front().is_some_and(|step| step.at <= now) {
                if let Some(step) = steps.pop_front() {
                    self.apply(step.action).await?;
                }
            }
            let maintenance_actions = std::mem::take(&mut *self.maintenance_actions.borrow_mut());
            maintenance_actions
                .into_iter()
                .for_each(|action| self.fleet.apply(action));
            self.inspect_processes(now, &counted)?;
            self.progress.report(now);
            self.event_log.flush_if_due();
            let next_step = steps.front().map_or(Micros::MAX, |step| step.at);
            let marks = [counted.start, counted.end].into_iter();
            let next_mark = marks.filter(|at| *at > now).min().unwrap_or(Micros::MAX);
            let next = next_step.min(next_mark).min(now + INSPECT_INTERVAL);
            sleep_until(self.clock.instant(next)).await;
        }
        self.inspect_processes(counted.end, &counted)
    }

    fn inspect_processes(&mut self, now: Micros, counted: &Range<Micros>) -> Result<(), RunError> {
        for balancer in &mut self.balancers {
            balancer.inspect();
            if balancer.should_run && !balancer.is_running() {
                let name = balancer.name().to_string();
                return Err(RunError::BalancerEnded { name });
            }
        }
        let cpu_us = self.balancers.iter().map(BalancerProcess::cpu_us).sum();
        self.cpu.record(now, counted, cpu_us);
        Ok(())
    }

    async fn apply(&mut self, action: FaultAction) -> Result<(), RunError> {
        match action {
            FaultAction::KillBalancer { balancer } => self.kill(balancer).await,
            FaultAction::StartBalancer { balancer } => self.balancers[balancer].start().await?,
            FaultAction::TermBalancer { balancer } => return self.restart(balancer).await,
            FaultAction::FreezeBalancer { balancer } => {
                self.balancers[balancer].signal(Signal::SIGSTOP)
            }
            FaultAction::UnfreezeBalancer { balancer } => {
                self.balancers[balancer].signal(Signal::SIGCONT)
            }
            FaultAction::MoveDiscovery => {
                self.fleet.apply(action);
                self.reload_moved_discovery()?;
            }
            _ => self.fleet.apply(action),
        }
        Ok(())
    }

    /// Has all balancers read the new address of discovery.
    fn reload_moved_discovery(&self) -> Result<(), RunError> {
        for (i, balancer) in self.balancers.iter().enumerate() {
            let config = self.run.config(i, balancer.address, &self.fleet, true);
            balancer.configure(&config)?;
            balancer.signal(Signal::SIGHUP);
        }
        Ok(())
    }

    async fn kill(&mut self, index: usize) {
        self.record_stopped(index);
        let balancer = &mut self.balancers[index];
        balancer.should_run = false;
        balancer.kill().await;
        self.record_stopped(index);
    }

    fn record_stopped(&mut self, balancer: usize) {
        let balancer = balancer as u16;
        self.event_log
            .record(self.clock.now(), Observation::BalancerStopped { balancer });
    }

    /// Tells a balancer to stop, as at a planned restart, and starts it again once it has ended. It has to answer what
    /// it had accepted, so its end excuses nothing.
    async fn restart(&mut self, index: usize) -> Result<(), RunError> {
        let closed = Arc::clone(&self.endpoints[index].closed);
        let balancer = &mut self.balancers[index];
        balancer.should_run = false;
        balancer.inspect();
        balancer.signal(Signal::SIGTERM);
        sleep(ENDPOINT_CLOSE_DELAY).await;
        closed.store(true, Ordering::Relaxed);
        if !balancer.wait_for_end().await {
            let name = balancer.name().to_string();
            return Err(RunError::BalancerNotStopped { name });
        }
        balancer.start().await?;
        closed.store(false, Ordering::Relaxed);
        Ok(())
    }
}
