//! Faults scripted in time: what an experiment names, laid out as single acts in the order in which they are due.
use serde::{Deserialize, Serialize};

use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros, MS};
use thiserror::Error;

/// What befalls a target. Parts and chances are between 0 and 1, times in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Work takes so many times as long.
    Slow {
        factor: f64,
    },
    /// Nothing is read or written; connections stay.
    Frozen,
    /// The process dies; its connections are reset and new ones refused. Discovery hears of it after its lag, and it
    /// comes back cold at the end.
    Killed,
    /// The network to it is gone: silence on all connections, none comes up; back with its store at the end.
    CutOff,
    /// Connections are reset in place of an answer, with this chance.
    Reset {
        chance: f64,
    },
    LostAnswers {
        chance: f64,
    },
    Spoilt {
        chance: f64,
    },
    /// Answers come twice.
    Doubled {
        chance: f64,
    },
    /// All of a zone's hosts die at once and come back cold at the end.
    ZoneLost,
    /// This part of the kept copies is void at once.
    Voided {
        copies: f64,
    },
    /// Discovery says that it drains; it turns new work away a while later. Back at the end.
    Drained,
    /// Hosts are replaced by cold ones, so many at a time: each is drained, dies and comes back, and then the next.
    DeployWave {
        at_a_time: usize,
        each_s: f64,
    },
    /// Discovery's agents answer nothing, or with a list that stands still.
    DiscoverySilent,
    DiscoveryStale,
    /// The agents move to new addresses, and balancers are told by SIGHUP.
    DiscoveryMoved,
    /// Balancers get SIGKILL or SIGTERM and start again at the end; or stand still until then.
    BalancerKilled,
    BalancerRestarted,
    BalancerFrozen,
    /// All balancers are restarted by SIGTERM, one after the other.
    RollingRestart {
        each_s: f64,
    },
}

impl Fault {
    /// Whether it befalls balancers' processes.
    pub fn affects_balancers(self) -> bool {
        matches!(
            self,
            Fault::BalancerKilled
                | Fault::BalancerRestarted
                | Fault::BalancerFrozen
                | Fault::RollingRestart { .. }
        )
    }
}

/// One entry of an experiment's script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedFault {
    pub at_s: f64,
    #[serde(default)]
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    /// Names of cache hosts, `origin`, a zone, or positions of balancers (`0`); empty for a draw of `part`, and all of
    /// what it applies to without one.
    #[serde(default)]
    #[serde(rename = "on")]
    pub targets: Vec<String>,
    #[serde(default)]
    #[serde(rename = "part")]
    pub fraction: f64,
    #[serde(flatten)]
    pub fault: Fault,
}

/// A single act.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    Slow {
        host: usize,
        factor: f64,
    },
    SlowOrigin {
        factor: f64,
    },
    DropAnswers {
        host: usize,
        chance: f64,
    },
    CorruptAnswers {
        host: usize,
        chance: f64,
    },
    DuplicateAnswers {
        host: usize,
        chance: f64,
    },
    ResetConnections {
        host: usize,
        chance: f64,
    },
    Freeze {
        host: usize,
    },
    Unfreeze {
        host: usize,
    },
    CutOff {
        host: usize,
    },
    Reconnect {
        host: usize,
    },
    Kill {
        host: usize,
    },
    /// Starts cold at its address.
    Start {
        host: usize,
    },
    InvalidateCache {
        host: usize,
        part: f64,
    },
    /// Discovery tells of it.
    ListDraining {
        host: usize,
    },
    ListServing {
        host: usize,
    },
    /// It turns new work away, or takes it again.
    Drain {
        host: usize,
        draining: bool,
    },
    SilenceDiscovery {
        on: bool,
    },
    FreezeDiscovery {
        on: bool,
    },
    MoveDiscovery,
    KillBalancer {
        balancer: usize,
    },
    /// SIGTERM; it starts again once it has ended.
    TermBalancer {
        balancer: usize,
    },
    StartBalancer {
        balancer: usize,
    },
    FreezeBalancer {
        balancer: usize,
    },
    UnfreezeBalancer {
        balancer: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledAction {
    pub at: Micros,
    pub action: FaultAction,
}

/// When a fault begins and ends, for the marks in a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultInterval {
    pub from_s: f64,
    pub until_s: f64,
    pub text: String,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultScript {
    /// In order of time.
    pub steps: Vec<ScheduledAction>,
    pub marks: Vec<FaultInterval>,
}

/// A cache host that a fault may name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostTarget {
    /// Its name.
    pub name: String,
    /// The zone that it is in.
    pub zone: String,
}

/// What the faults of an experiment may be aimed at.
#[derive(Clone, Debug)]
pub struct ScriptTargets {
    pub hosts: Vec<HostTarget>,
    pub balancers: usize,
}

/// Time between discovery's word that a host drains and its first refusal.
const DRAIN_NOTICE: Micros = 1_500 * MS;

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

    fn step(&mut self, at: Micros, act: FaultAction) {
        self.steps.push(ScheduledAction { at, action: act });
    }

    fn add(
        &mut self,
        timed: &TimedFault,
        stage: &ScriptTargets,
        random: &mut SeededRng,
    ) -> Result<(), FaultTargetError> {
        let (from, until) = (
            from_ms(timed.at_s * 1e3),
            from_ms((timed.at_s + timed.duration_s) * 1e3),
        );
        let mark = format!("{:?} {}", timed.fault, timed.targets.join(" "));
        self.marks.push(FaultInterval {
            from_s: timed.at_s,
            until_s: timed.at_s + timed.duration_s,
            text: mark.trim().to_string(),
        });
        match timed.fault {
            Fault::DiscoverySilent => {
                self.both(from, until, |on| FaultAction::SilenceDiscovery { on })
            }
            Fault::DiscoveryStale => {
                self.both(from, until, |on| FaultAction::FreezeDiscovery { on })
            }
            Fault::DiscoveryMoved => self.step(from, FaultAction::MoveDiscovery),
            Fault::BalancerKilled | Fault::BalancerRestarted | Fault::BalancerFrozen => {
                for balancer in timed.balancers(stage, random)? {
                    self.balancer(timed.fault, balancer, from, until);
                }
            }
            Fault::RollingRestart { each_s } => {
                for (i, balancer) in timed.balancers(stage, random)?.into_iter().enumerate() {
                    self.step(
                        from + i as Micros * from_ms(each_s * 1e3),
                        FaultAction::TermBalancer { balancer },
                    );
                }
            }
            Fault::DeployWave { at_a_time, each_s } => {
                let hosts = timed.hosts(stage, random)?;
                for (i, group) in hosts.chunks(at_a_time.max(1)).enumerate() {
                    let each = from_ms(each_s * 1e3);
                    let at = from + i as Micros * each;
                    group.iter().for_each(|host| self.replace(*host, at, each));
                }
            }
            _ if timed.targets.iter().any(|name| name == "origin") => match timed.fault {
                Fault::Slow { factor } => {
                    self.step(from, FaultAction::SlowOrigin { factor });
                    self.step(until, FaultAction::SlowOrigin { factor: 1.0 });
                }
                _ => return Err(FaultTargetError::OriginOnlySlow),
            },
            _ => {
                for host in timed.hosts(stage, random)? {
                    self.host(timed.fault, host, from, until);
                }
            }
        }
        Ok(())
    }

    fn both(&mut self, from: Micros, until: Micros, act: impl Fn(bool) -> FaultAction) {
        self.step(from, act(true));
        self.step(until, act(false));
    }

    fn balancer(&mut self, fault: Fault, balancer: usize, from: Micros, until: Micros) {
        match fault {
            Fault::BalancerKilled => {
                self.step(from, FaultAction::KillBalancer { balancer });
                self.step(until, FaultAction::StartBalancer { balancer });
            }
            Fault::BalancerFrozen => {
                self.step(from, FaultAction::FreezeBalancer { balancer });
                self.step(until, FaultAction::UnfreezeBalancer { balancer });
            }
            _ => self.step(from, FaultAction::TermBalancer { balancer }),
        }
    }

    fn replace(&mut self, host: usize, at: Micros, each: Micros) {
        let notice = DRAIN_NOTICE.min(each / 2);
        self.step(at, FaultAction::ListDraining { host });
        self.step(
            at + notice,
            FaultAction::Drain {
                host,
                draining: true,
            },
        );
        self.step(at + each * 9 / 10, FaultAction::Kill { host });
        self.step(at + each, FaultAction::Start { host });
    }

    fn host(&mut self, fault: Fault, host: usize, from: Micros, until: Micros) {
        let (begin, end) = match fault {
            Fault::Slow { factor } => (
                FaultAction::Slow { host, factor },
                FaultAction::Slow { host, factor: 1.0 },
            ),
            Fault::Frozen => (FaultAction::Freeze { host }, FaultAction::Unfreeze { host }),
            Fault::CutOff => (
                FaultAction::CutOff { host },
                FaultAction::Reconnect { host },
            ),
            Fault::Killed | Fault::ZoneLost => {
                (FaultAction::Kill { host }, FaultAction::Start { host })
            }
            Fault::LostAnswers { chance } => (
                FaultAction::DropAnswers { host, chance },
                FaultAction::DropAnswers { host, chance: 0.0 },
            ),
            Fault::Spoilt { chance } => (
                FaultAction::CorruptAnswers { host, chance },
                FaultAction::CorruptAnswers { host, chance: 0.0 },
            ),
            Fault::Doubled { chance } => (
                FaultAction::DuplicateAnswers { host, chance },
                FaultAction::DuplicateAnswers { host, chance: 0.0 },
            ),
            Fault::Reset { chance } => (
                FaultAction::ResetConnections { host, chance },
                FaultAction::ResetConnections { host, chance: 0.0 },
            ),
            Fault::Voided { copies } => {
                return self.step(from, FaultAction::InvalidateCache { host, part: copies })
            }
            Fault::Drained => {
                self.step(
                    from + DRAIN_NOTICE,
                    FaultAction::Drain {
                        host,
                        draining: true,
                    },
                );
                self.step(
                    until,
                    FaultAction::Drain {
                        host,
                        draining: false,
                    },
                );
                (
                    FaultAction::ListDraining { host },
                    FaultAction::ListServing { host },
                )
            }
            _ => return,
        };
        self.step(from, begin);
        self.step(until, end);
    }
}

impl TimedFault {
    fn validate(&self) -> Result<(), FaultValueError> {
        let chance = match self.fault {
            Fault::Reset { chance } | Fault::LostAnswers { chance } | Fault::Spoilt { chance } => {
                chance
            }
            Fault::Doubled { chance } => chance,
            Fault::Voided { copies } => copies,
            Fault::Slow { factor } if !(0.001..=1e6).contains(&factor) => {
                return Err(FaultValueError::Factor);
            }
            Fault::DeployWave { each_s, .. } | Fault::RollingRestart { each_s }
                if !(0.1..=1e6).contains(&each_s) =>
            {
                return Err(FaultValueError::Interval);
            }
            _ => 0.0,
        };
        if !(0.0..=1.0).contains(&chance) || !(0.0..=1.0).contains(&self.fraction) {
            return Err(FaultValueError::Fraction);
        }
        if !(self.at_s >= 0.0 && self.duration_s >= 0.0 && self.at_s + self.duration_s < 1e6) {
            return Err(FaultValueError::Time);
        }
        Ok(())
    }

    /// Positions of the hosts that it befalls: named ones, those of named zones, or a draw.
    fn hosts(
        &self,
        stage: &ScriptTargets,
        random: &mut SeededRng,
    ) -> Result<Vec<usize>, FaultTargetError> {
        let mut chosen = Vec::new();
        for name in &self.targets {
            let before = chosen.len();
            let named = |host: &HostTarget| host.name == *name || host.zone == *name;
            chosen.extend(
                stage
                    .hosts
                    .iter()
                    .enumerate()
                    .filter(|(_, host)| named(host))
                    .map(|(i, _)| i),
            );
            if chosen.len() == before {
                return Err(FaultTargetError::UnknownHost { name: name.clone() });
            }
        }
        if self.targets.is_empty() {
            chosen = draw(stage.hosts.len(), self.fraction, random);
        }
        chosen.sort_unstable();
        chosen.dedup();
        Ok(chosen)
    }

    fn balancers(
        &self,
        stage: &ScriptTargets,
        random: &mut SeededRng,
    ) -> Result<Vec<usize>, FaultTargetError> {
        let position = |name: &String| match name.parse::<usize>() {
            Ok(i) if i < stage.balancers => Ok(i),
            _ => Err(FaultTargetError::UnknownBalancer {
                name: name.clone(),
                count: stage.balancers,
            }),
        };
        match self.targets.is_empty() {
            true => Ok(draw(stage.balancers, self.fraction, random)),
            false => self.targets.iter().map(position).collect(),
        }
    }
}

/// Some of so many, the same for the same random; all of them without a part.
fn draw(of: usize, part: f64, random: &mut SeededRng) -> Vec<usize> {
    let mut left: Vec<usize> = (0..of).collect();
    if part <= 0.0 {
        return left;
    }
    let wanted = ((of as f64 * part).round() as usize).clamp(1, of.max(1));
    while left.len() > wanted {
        left.remove(random.below(left.len() as u64) as usize);
    }
    left
}

/// A fault of an experiment that cannot be scheduled.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultScriptError {
    /// A value of the fault is out of its range.
    #[error("faults[{position}]: {source}")]
    Values {
        /// Position in the experiment's list of faults, from 0.
        position: usize,
        /// Which value.
        source: FaultValueError,
    },
    /// The fault names a target that does not exist or that it does not apply to.
    #[error("faults[{position}].on: {source}")]
    Targets {
        /// Position in the experiment's list of faults, from 0.
        position: usize,
        /// Which target.
        source: FaultTargetError,
    },
}

/// A value of a fault that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FaultValueError {
    /// The factor by which work is slowed down.
    #[error("factor must be between 0.001 and 1,000,000")]
    Factor,
    /// The interval of a rolling fault.
    #[error("each_s must be between 0.1 and 1,000,000")]
    Interval,
    /// A probability, or the fraction of the targets.
    #[error("chance and part must be between 0 and 1")]
    Fraction,
    /// The start or the duration.
    #[error("at_s and lasts_s must be 0 or more")]
    Time,
}

/// A target of a fault that does not exist, or that the fault does not apply to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultTargetError {
    /// The origin has no other fault than being slow.
    #[error("the origin can only be slow")]
    OriginOnlySlow,
    /// Neither a cache host nor a zone.
    #[error("no cache host or zone is called {name:?}")]
    UnknownHost {
        /// The name in the experiment file.
        name: String,
    },
    /// Not the position of a balancer.
    #[error("{name:?} is no balancer; there are {count}, counted from 0")]
    UnknownBalancer {
        /// The name in the experiment file.
        name: String,
        /// Number of balancers.
        count: usize,
    },
}
