//! The faults of servers, discovery and balancers that an experiment names, and the script of single actions that they are
//! resolved to.
//!
//! The variants of [`Fault`] have the names of the experiment files; the marks of a report print them.
mod script;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use self::script::{
    FaultAction, FaultInterval, FaultScript, HostTarget, ScheduledAction, ScriptTargets,
};

/// A fault. Fractions and probabilities are between 0 and 1, times in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// A server's work takes longer.
    Slow {
        /// By what its time is multiplied.
        factor: f64,
    },
    /// A server reads and writes nothing; its connections stay open.
    Frozen,
    /// A server's process ends: its connections are reset and new ones rejected. Discovery learns of it after its lag.
    /// At the end of the fault it starts cold.
    Killed,
    /// A server is cut off from the network: nothing passes on its connections and none can be opened. At the end of the
    /// fault it returns with its store.
    CutOff,
    /// A server resets connections instead of answering.
    Reset {
        /// Probability per answer.
        chance: f64,
    },
    /// Answers are not sent.
    LostAnswers {
        /// Probability per answer.
        chance: f64,
    },
    /// Answers are malformed.
    Spoilt {
        /// Probability per answer.
        chance: f64,
    },
    /// Answers are sent twice.
    Doubled {
        /// Probability per answer.
        chance: f64,
    },
    /// All hosts of a zone end at once, and start cold at the end of the fault.
    ZoneLost,
    /// Cached values are invalidated at once.
    Voided {
        /// Fraction of the values.
        copies: f64,
    },
    /// Discovery lists a host as draining, and the host rejects new work a while later. At the end of the fault it serves
    /// again.
    Drained,
    /// Hosts are replaced by cold ones, group by group: each is drained, ends and starts again before the next group.
    DeployWave {
        /// Hosts per group.
        at_a_time: usize,
        /// Time per group.
        each_s: f64,
    },
    /// Discovery's agents do not answer.
    DiscoverySilent,
    /// Discovery's agents answer with a list that does not change any more.
    DiscoveryStale,
    /// Discovery's agents move to new addresses, and the balancers are notified by SIGHUP.
    DiscoveryMoved,
    /// Balancers get SIGKILL, and start again at the end of the fault.
    BalancerKilled,
    /// Balancers get SIGTERM, and start again once they have ended.
    BalancerRestarted,
    /// Balancers get SIGSTOP, and SIGCONT at the end of the fault.
    BalancerFrozen,
    /// All balancers are restarted by SIGTERM, one after the other.
    RollingRestart {
        /// Time per balancer.
        each_s: f64,
    },
}

impl Fault {
    /// Whether it is a fault of balancers' processes.
    pub fn affects_balancers(self) -> bool {
        matches!(
            self,
            Fault::BalancerKilled
                | Fault::BalancerRestarted
                | Fault::BalancerFrozen
                | Fault::RollingRestart { .. }
        )
    }

    /// The probability or fraction that it has, if it has one.
    fn fraction(self) -> Option<f64> {
        match self {
            Fault::Reset { chance }
            | Fault::LostAnswers { chance }
            | Fault::Spoilt { chance }
            | Fault::Doubled { chance } => Some(chance),
            Fault::Voided { copies } => Some(copies),
            _ => None,
        }
    }
}

/// A fault of an experiment, with its time and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedFault {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(default, rename = "lasts_s")]
    pub duration_s: f64,
    /// Names of cache hosts, `origin`, a zone, or positions of balancers (`0`). Where empty, `fraction` of what the fault
    /// applies to is drawn.
    #[serde(default, rename = "on")]
    pub targets: Vec<String>,
    /// Fraction of the targets that is drawn; 0 for all.
    #[serde(default, rename = "part")]
    pub fraction: f64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

impl TimedFault {
    fn validate(&self) -> Result<(), FaultValueError> {
        match self.fault {
            Fault::Slow { factor } if !(0.001..=1e6).contains(&factor) => {
                return Err(FaultValueError::Factor);
            }
            Fault::DeployWave { each_s, .. } | Fault::RollingRestart { each_s }
                if !(0.1..=1e6).contains(&each_s) =>
            {
                return Err(FaultValueError::Interval);
            }
            _ => {}
        }
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        if !is_fraction(self.fault.fraction().unwrap_or(0.0)) || !is_fraction(self.fraction) {
            return Err(FaultValueError::Fraction);
        }
        let end_s = self.at_s + self.duration_s;
        if !(self.at_s >= 0.0 && self.duration_s >= 0.0 && end_s < 1e6) {
            return Err(FaultValueError::Time);
        }
        Ok(())
    }
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
