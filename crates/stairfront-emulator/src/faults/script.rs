//! The script of an experiment: its faults as single actions in the order in which they are due.
use serde::Serialize;
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros, MS};

use super::{Fault, FaultScriptError, FaultTargetError, TimedFault};

/// Time between discovery's listing of a host as draining and its first rejection.
const DRAIN_NOTICE: Micros = 1_500 * MS;

/// A single action. Hosts and balancers are positions, from 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// Slows a host down.
    Slow {
        /// The host.
        host: usize,
        /// By what the time of its work is multiplied; 1 ends the fault.
        factor: f64,
    },
    /// Slows the origin down.
    SlowOrigin {
        /// By what the time of its work is multiplied; 1 ends the fault.
        factor: f64,
    },
    /// Makes a host drop answers.
    DropAnswers {
        /// The host.
        host: usize,
        /// Probability per answer; 0 ends the fault.
        chance: f64,
    },
    /// Makes a host send malformed answers.
    CorruptAnswers {
        /// The host.
        host: usize,
        /// Probability per answer; 0 ends the fault.
        chance: f64,
    },
    /// Makes a host send answers twice.
    DuplicateAnswers {
        /// The host.
        host: usize,
        /// Probability per answer; 0 ends the fault.
        chance: f64,
    },
    /// Makes a host reset connections instead of answering.
    ResetConnections {
        /// The host.
        host: usize,
        /// Probability per answer; 0 ends the fault.
        chance: f64,
    },
    /// Freezes a host.
    Freeze {
        /// The host.
        host: usize,
    },
    /// Unfreezes a host.
    Unfreeze {
        /// The host.
        host: usize,
    },
    /// Cuts a host off from the network.
    CutOff {
        /// The host.
        host: usize,
    },
    /// Connects a host that was cut off.
    Reconnect {
        /// The host.
        host: usize,
    },
    /// Kills a host.
    Kill {
        /// The host.
        host: usize,
    },
    /// Starts a host cold, at its address.
    Start {
        /// The host.
        host: usize,
    },
    /// Invalidates cached values of a host.
    InvalidateCache {
        /// The host.
        host: usize,
        /// Fraction of the values.
        fraction: f64,
    },
    /// Discovery lists a host as draining.
    ListDraining {
        /// The host.
        host: usize,
    },
    /// Discovery lists a host as serving.
    ListServing {
        /// The host.
        host: usize,
    },
    /// Makes a host reject new work, or accept it again.
    Drain {
        /// The host.
        host: usize,
        /// Whether it rejects new work.
        draining: bool,
    },
    /// Silences discovery's agents, or ends their silence.
    SilenceDiscovery {
        /// Whether they are silent.
        silent: bool,
    },
    /// Freezes discovery's list, or unfreezes it.
    FreezeDiscovery {
        /// Whether it is frozen.
        frozen: bool,
    },
    /// Moves discovery's agents to their other addresses.
    MoveDiscovery,
    /// Sends SIGKILL to a balancer.
    KillBalancer {
        /// The balancer.
        balancer: usize,
    },
    /// Sends SIGTERM to a balancer, which is started again once it has ended.
    TermBalancer {
        /// The balancer.
        balancer: usize,
    },
    /// Starts a balancer that was killed.
    StartBalancer {
        /// The balancer.
        balancer: usize,
    },
    /// Sends SIGSTOP to a balancer.
    FreezeBalancer {
        /// The balancer.
        balancer: usize,
    },
    /// Sends SIGCONT to a balancer.
    UnfreezeBalancer {
        /// The balancer.
        balancer: usize,
    },
}

/// An action with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledAction {
    /// When it is due.
    pub at: Micros,
    /// The action.
    pub action: FaultAction,
}

/// When a fault begins and ends, for the marks in a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultInterval {
    /// Its begin, in seconds.
    pub from_s: f64,
    /// Its end, in seconds.
    pub until_s: f64,
    /// The fault and its targets.
    pub text: String,
}

/// A cache host that a fault may name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostTarget {
    /// Its name.
    pub name: String,
    /// The zone that it is in.
    pub zone: String,
}

/// The possible targets of an experiment's faults.
#[derive(Clone, Debug)]
pub struct ScriptTargets {
    /// The cache hosts, in order.
    pub hosts: Vec<HostTarget>,
    /// Number of balancers.
    pub balancers: usize,
}

/// The script of an experiment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultScript {
    /// The actions in order of time.
    pub steps: Vec<ScheduledAction>,
    /// The faults' times, in the order of the experiment file.
    pub marks: Vec<FaultInterval>,
}

/// The time of a fault.
#[derive(Clone, Copy)]
struct Interval {
    start: Micros,
    end: Micros,
}

impl FaultScript {
    /// Resolves the faults of an experiment to single actions. The same faults, targets and seed give the same script.
    ///
    /// # Errors
    ///
    /// Names the position of the first fault whose values or targets are not valid.
    pub fn build(
        faults: &[TimedFault],
        targets: &ScriptTargets,
        seed: u64,
    ) -> Result<Self, FaultScriptError> {
        let mut script = FaultScript::default();
        for (position, timed) in faults.iter().enumerate() {
            let mut random = SeededRng::for_part(seed, &format!("fault-{position}"));
            timed
                .validate()
                .map_err(|source| FaultScriptError::Values { position, source })?;
            script
                .add(timed, targets, &mut random)
                .map_err(|source| FaultScriptError::Targets { position, source })?;
        }
        script.steps.sort_by_key(|step| step.at);
        Ok(script)
    }

    fn push(&mut self, at: Micros, action: FaultAction) {
        self.steps.push(ScheduledAction { at, action });
    }

    /// Adds an action at the start of a fault and another at its end.
    fn push_both(&mut self, interval: Interval, start: FaultAction, end: FaultAction) {
        self.push(interval.start, start);
        self.push(interval.end, end);
    }

    fn add(
        &mut self,
        timed: &TimedFault,
        targets: &ScriptTargets,
        random: &mut SeededRng,
    ) -> Result<(), FaultTargetError> {
        let text = format!("{:?} {}", timed.fault, timed.targets.join(" "));
        self.marks.push(FaultInterval {
            from_s: timed.at_s,
            until_s: timed.at_s + timed.duration_s,
            text: text.trim().to_string(),
        });
        let interval = Interval {
            start: from_ms(timed.at_s * 1e3),
            end: from_ms((timed.at_s + timed.duration_s) * 1e3),
        };
        match timed.fault {
            Fault::DiscoverySilent | Fault::DiscoveryStale | Fault::DiscoveryMoved => {
                self.add_discovery_fault(timed.fault, interval);
            }
            fault if fault.affects_balancers() => {
                let balancers = timed.chosen_balancers(targets, random)?;
                for (position, balancer) in balancers.into_iter().enumerate() {
                    self.add_balancer_fault(fault, position, balancer, interval);
                }
            }
            Fault::DeployWave { at_a_time, each_s } => {
                let hosts = timed.chosen_hosts(targets, random)?;
                self.add_deploy_wave(&hosts, at_a_time, from_ms(each_s * 1e3), interval.start);
            }
            fault if timed.targets.iter().any(|name| name == "origin") => {
                self.add_origin_fault(fault, interval)?;
            }
            fault => {
                for host in timed.chosen_hosts(targets, random)? {
                    self.add_host_fault(fault, host, interval);
                }
            }
        }
        Ok(())
    }

    fn add_discovery_fault(&mut self, fault: Fault, interval: Interval) {
        match fault {
            Fault::DiscoverySilent => self.push_both(
                interval,
                FaultAction::SilenceDiscovery { silent: true },
                FaultAction::SilenceDiscovery { silent: false },
            ),
            Fault::DiscoveryStale => self.push_both(
                interval,
                FaultAction::FreezeDiscovery { frozen: true },
                FaultAction::FreezeDiscovery { frozen: false },
            ),
            _ => self.push(interval.start, FaultAction::MoveDiscovery),
        }
    }

    /// Adds a fault of a balancer; `position` is its place among the fault's targets.
    fn add_balancer_fault(
        &mut self,
        fault: Fault,
        position: usize,
        balancer: usize,
        interval: Interval,
    ) {
        match fault {
            Fault::BalancerKilled => self.push_both(
                interval,
                FaultAction::KillBalancer { balancer },
                FaultAction::StartBalancer { balancer },
            ),
            Fault::BalancerFrozen => self.push_both(
                interval,
                FaultAction::FreezeBalancer { balancer },
                FaultAction::UnfreezeBalancer { balancer },
            ),
            Fault::RollingRestart { each_s } => {
                let at = interval.start + position as Micros * from_ms(each_s * 1e3);
                self.push(at, FaultAction::TermBalancer { balancer });
            }
            _ => self.push(interval.start, FaultAction::TermBalancer { balancer }),
        }
    }

    fn add_deploy_wave(
        &mut self,
        hosts: &[usize],
        group_size: usize,
        time_per_group: Micros,
        start: Micros,
    ) {
        for (position, group) in hosts.chunks(group_size.max(1)).enumerate() {
            let at = start + position as Micros * time_per_group;
            for host in group {
                self.add_replacement(*host, at, time_per_group);
            }
        }
    }

    /// A host is drained, ends and starts cold within `duration`.
    fn add_replacement(&mut self, host: usize, at: Micros, duration: Micros) {
        let notice = DRAIN_NOTICE.min(duration / 2);
        let draining = true;
        self.push(at, FaultAction::ListDraining { host });
        self.push(at + notice, FaultAction::Drain { host, draining });
        self.push(at + duration * 9 / 10, FaultAction::Kill { host });
        self.push(at + duration, FaultAction::Start { host });
    }

    fn add_origin_fault(
        &mut self,
        fault: Fault,
        interval: Interval,
    ) -> Result<(), FaultTargetError> {
        let Fault::Slow { factor } = fault else {
            return Err(FaultTargetError::OriginOnlySlow);
        };
        self.push_both(
            interval,
            FaultAction::SlowOrigin { factor },
            FaultAction::SlowOrigin { factor: 1.0 },
        );
        Ok(())
    }

    fn add_host_fault(&mut self, fault: Fault, host: usize, interval: Interval) {
        if let Fault::Voided { copies } = fault {
            let fraction = copies;
            self.push(
                interval.start,
                FaultAction::InvalidateCache { host, fraction },
            );
            return;
        }
        if fault == Fault::Drained {
            let reject_at = interval.start + DRAIN_NOTICE;
            let draining = true;
            self.push(reject_at, FaultAction::Drain { host, draining });
            let draining = false;
            self.push(interval.end, FaultAction::Drain { host, draining });
        }
        if let Some((start, end)) = host_actions(fault, host) {
            self.push_both(interval, start, end);
        }
    }
}

/// The actions at the start and at the end of a host's fault.
fn host_actions(fault: Fault, host: usize) -> Option<(FaultAction, FaultAction)> {
    let chances = |action: fn(usize, f64) -> FaultAction, chance| {
        Some((action(host, chance), action(host, 0.0)))
    };
    match fault {
        Fault::Slow { factor } => Some((
            FaultAction::Slow { host, factor },
            FaultAction::Slow { host, factor: 1.0 },
        )),
        Fault::Frozen => Some((FaultAction::Freeze { host }, FaultAction::Unfreeze { host })),
        Fault::CutOff => Some((
            FaultAction::CutOff { host },
            FaultAction::Reconnect { host },
        )),
        Fault::Killed | Fault::ZoneLost => {
            Some((FaultAction::Kill { host }, FaultAction::Start { host }))
        }
        Fault::Drained => Some((
            FaultAction::ListDraining { host },
            FaultAction::ListServing { host },
        )),
        Fault::LostAnswers { chance } => chances(
            |host, chance| FaultAction::DropAnswers { host, chance },
            chance,
        ),
        Fault::Spoilt { chance } => chances(
            |host, chance| FaultAction::CorruptAnswers { host, chance },
            chance,
        ),
        Fault::Doubled { chance } => chances(
            |host, chance| FaultAction::DuplicateAnswers { host, chance },
            chance,
        ),
        Fault::Reset { chance } => chances(
            |host, chance| FaultAction::ResetConnections { host, chance },
            chance,
        ),
        _ => None,
    }
}

impl TimedFault {
    /// Positions of its hosts: the named ones and those of named zones, or a draw.
    fn chosen_hosts(
        &self,
        targets: &ScriptTargets,
        random: &mut SeededRng,
    ) -> Result<Vec<usize>, FaultTargetError> {
        if self.targets.is_empty() {
            return Ok(draw_some(targets.hosts.len(), self.fraction, random));
        }
        let mut chosen = Vec::new();
        for name in &self.targets {
            let before = chosen.len();
            for (position, host) in targets.hosts.iter().enumerate() {
                if host.name == *name || host.zone == *name {
                    chosen.push(position);
                }
            }
            if chosen.len() == before {
                return Err(FaultTargetError::UnknownHost { name: name.clone() });
            }
        }
        chosen.sort_unstable();
        chosen.dedup();
        Ok(chosen)
    }

    /// Positions of its balancers: the named ones, or a draw.
    fn chosen_balancers(
        &self,
        targets: &ScriptTargets,
        random: &mut SeededRng,
    ) -> Result<Vec<usize>, FaultTargetError> {
        if self.targets.is_empty() {
            return Ok(draw_some(targets.balancers, self.fraction, random));
        }
        let count = targets.balancers;
        let position = |name: &String| match name.parse::<usize>() {
            Ok(position) if position < count => Ok(position),
            _ => Err(FaultTargetError::UnknownBalancer {
                name: name.clone(),
                count,
            }),
        };
        self.targets.iter().map(position).collect()
    }
}

/// Draws a fraction of the positions below `count`, at least one; all of them where the fraction is 0.
fn draw_some(count: usize, fraction: f64, random: &mut SeededRng) -> Vec<usize> {
    let mut chosen: Vec<usize> = (0..count).collect();
    if fraction <= 0.0 {
        return chosen;
    }
    let wanted = ((count as f64 * fraction).round() as usize).clamp(1, count.max(1));
    while chosen.len() > wanted {
        chosen.remove(random.below(chosen.len() as u64) as usize);
    }
    chosen
}
