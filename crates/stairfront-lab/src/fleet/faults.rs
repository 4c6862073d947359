//! The faults of stand-ins.
use std::rc::Rc;
use std::time::Duration;

use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::ServerFaults;
use stairfront_emulator::faults::FaultAction;
use tokio::task::spawn_local;

use super::server_thread::ServerThread;
use crate::server_host::{ServerHost, ServerOutput};
use crate::services::{AgentService, CacheService};

/// How long connections to discovery's old address stay open after a move.
const MOVE_CLOSE_DELAY: Duration = Duration::from_millis(1500);

impl ServerThread {
    /// Applies a fault to the stand-ins of this thread that it concerns.
    pub(super) fn apply(&mut self, action: FaultAction) {
        match action {
            FaultAction::Slow { host, factor } => {
                self.change_faults(host, |faults| faults.slowdown = factor)
            }
            FaultAction::DropAnswers { host, chance } => {
                self.change_faults(host, |faults| faults.drop_chance = chance)
            }
            FaultAction::CorruptAnswers { host, chance } => {
                self.change_faults(host, |faults| faults.corrupt_chance = chance)
            }
            FaultAction::DuplicateAnswers { host, chance } => {
                self.change_faults(host, |faults| faults.duplicate_chance = chance)
            }
            FaultAction::ResetConnections { host, chance } => {
                self.change_faults(host, |faults| faults.reset_chance = chance)
            }
            FaultAction::SlowOrigin { factor } => self.slow_origin(factor),
            FaultAction::Freeze { host } | FaultAction::CutOff { host } => {
                self.with_host(host, |host| host.pause())
            }
            FaultAction::Unfreeze { host } => self.with_host(host, |host| host.resume()),
            FaultAction::Reconnect { host } => self.with_host(host, |host| {
                // Connections that were open across the cut are reset when the network is back.
                host.reset_all();
                host.resume();
            }),
            FaultAction::Kill { host } => self.with_host(host, |host| {
                host.with(|service, _, _| service.model.stop());
                host.die();
            }),
            FaultAction::Start { host } => self.start_host(host),
            FaultAction::InvalidateCache { host, fraction } => self.with_host(host, |host| {
                host.with(|service, _, _| service.model.invalidate_fraction(fraction));
            }),
            FaultAction::Drain { host, draining } => self.with_host(host, |host| {
                host.with(|service, _, _| service.model.drain(draining));
            }),
            FaultAction::SilenceDiscovery { silent } => {
                self.change_agents(|agent, now, outputs| agent.set_silent(now, silent, outputs));
            }
            FaultAction::FreezeDiscovery { frozen } => {
                self.change_agents(|agent, now, outputs| agent.set_frozen(now, frozen, outputs));
            }
            FaultAction::MoveDiscovery => self.move_discovery(),
            // These are applied by who runs the balancers, or come as a change of the list.
            FaultAction::ListDraining { .. }
            | FaultAction::ListServing { .. }
            | FaultAction::KillBalancer { .. }
            | FaultAction::TermBalancer { .. }
            | FaultAction::StartBalancer { .. }
            | FaultAction::FreezeBalancer { .. }
            | FaultAction::UnfreezeBalancer { .. } => {}
        }
    }

    fn with_host(&self, host: usize, act: impl FnOnce(&Rc<ServerHost<CacheService>>)) {
        if let Some(server) = self.hosts.get(&host) {
            act(server);
        }
    }

    fn change_faults(&self, host: usize, change: impl FnOnce(&mut ServerFaults)) {
        self.with_host(host, |server| {
            server.with(|service, _, _| {
                let mut faults = service.model.faults();
                change(&mut faults);
                service.model.set_faults(faults);
            });
        });
    }

    fn slow_origin(&self, factor: f64) {
        if let Some(origin) = &self.origin {
            origin.with(|service, _, _| service.model.set_slowdown(factor));
        }
    }

    fn start_host(&self, host: usize) {
        self.with_host(host, |server| {
            server.with(|service, now, _| service.start_cold(now));
            if let Err(error) = server.listen() {
                eprintln!("cache host {host} cannot listen again: {error}");
            }
        });
    }

    fn change_agents(&self, change: impl Fn(&mut AgentService, Micros, &mut Vec<ServerOutput>)) {
        for agent in self.agents.iter().flat_map(|agent| agent.both()) {
            agent.with(|service, now, outputs| change(service, now, outputs));
        }
    }

    /// Has the new addresses listen; the old ones accept no new connections, and close the open ones some time later.
    fn move_discovery(&mut self) {
        if std::mem::replace(&mut self.discovery_moved, true) {
            return;
        }
        for agent in &self.agents {
            if let Err(error) = agent.moved.listen() {
                eprintln!("discovery's agent cannot listen at its new address: {error}");
            }
            let old = Rc::clone(&agent.first);
            old.stop_listening();
            spawn_local(async move {
                tokio::time::sleep(MOVE_CLOSE_DELAY).await;
                old.die();
            });
        }
    }
}
