//! Faults scripted in time: what an experiment names, laid out as single acts in the order in which they are due.
use serde::{Deserialize, Serialize};

use crate::dice::Dice;
use crate::time::{from_ms, Micros, MS};

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
    pub fn is_of_balancers(self) -> bool {
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
    pub lasts_s: f64,
    /// Names of cache hosts, `origin`, a zone, or positions of balancers (`0`); empty for a draw of `part`, and all of
    /// what it applies to without one.
    #[serde(default)]
    pub on: Vec<String>,
    #[serde(default)]
    pub part: f64,
    #[serde(flatten)]
    pub fault: Fault,
}

/// A single act.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Slow {
        host: usize,
        factor: f64,
    },
    SlowOrigin {
        factor: f64,
    },
    Lose {
        host: usize,
        chance: f64,
    },
    Spoil {
        host: usize,
        chance: f64,
    },
    Double {
        host: usize,
        chance: f64,
    },
    Reset {
        host: usize,
        chance: f64,
    },
    Freeze {
        host: usize,
    },
    Thaw {
        host: usize,
    },
    CutOff {
        host: usize,
    },
    Mend {
        host: usize,
    },
    Kill {
        host: usize,
    },
    /// Starts cold at its address.
    Start {
        host: usize,
    },
    Void {
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
    Silence {
        on: bool,
    },
    Stale {
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
    ThawBalancer {
        balancer: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub at: Micros,
    pub act: Act,
}

/// When a fault begins and ends, for the marks in a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Mark {
    pub from_s: f64,
    pub until_s: f64,
    pub text: String,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// In order of time.
    pub steps: Vec<Step>,
    pub marks: Vec<Mark>,
}

/// What a script is laid out for: names and zones of the hosts, in order, and how many balancers there are.
#[derive(Clone, Debug)]
pub struct Stage {
    pub hosts: Vec<(String, String)>,
    pub balancers: usize,
}

/// Time between discovery's word that a host drains and its first refusal.
const DRAIN_NOTICE: Micros = 1_500 * MS;

impl Script {
    /// The same faults, stage and seed give the same script. A fault names its position and what is wrong.
    pub fn lay_out(faults: &[TimedFault], stage: &Stage, seed: u64) -> Result<Self, String> {
        let mut script = Script::default();
        for (i, timed) in faults.iter().enumerate() {
            let mut dice = Dice::new(seed, &format!("fault-{i}"));
            timed
                .check()
                .map_err(|problem| format!("faults[{i}]: {problem}"))?;
            script
                .add(timed, stage, &mut dice)
                .map_err(|problem| format!("faults[{i}].on: {problem}"))?;
        }
        script.steps.sort_by_key(|step| step.at);
        Ok(script)
    }

    fn step(&mut self, at: Micros, act: Act) {
        self.steps.push(Step { at, act });
    }

    fn add(&mut self, timed: &TimedFault, stage: &Stage, dice: &mut Dice) -> Result<(), String> {
        let (from, until) = (
            from_ms(timed.at_s * 1e3),
            from_ms((timed.at_s + timed.lasts_s) * 1e3),
        );
        let mark = format!("{:?} {}", timed.fault, timed.on.join(" "));
        self.marks.push(Mark {
            from_s: timed.at_s,
            until_s: timed.at_s + timed.lasts_s,
            text: mark.trim().to_string(),
        });
        match timed.fault {
            Fault::DiscoverySilent => self.both(from, until, |on| Act::Silence { on }),
            Fault::DiscoveryStale => self.both(from, until, |on| Act::Stale { on }),
            Fault::DiscoveryMoved => self.step(from, Act::MoveDiscovery),
            Fault::BalancerKilled | Fault::BalancerRestarted | Fault::BalancerFrozen => {
                for balancer in timed.balancers(stage, dice)? {
                    self.balancer(timed.fault, balancer, from, until);
                }
            }
            Fault::RollingRestart { each_s } => {
                for (i, balancer) in timed.balancers(stage, dice)?.into_iter().enumerate() {
                    self.step(
                        from + i as Micros * from_ms(each_s * 1e3),
                        Act::TermBalancer { balancer },
                    );
                }
            }
            Fault::DeployWave { at_a_time, each_s } => {
                let hosts = timed.hosts(stage, dice)?;
                for (i, group) in hosts.chunks(at_a_time.max(1)).enumerate() {
                    let each = from_ms(each_s * 1e3);
                    let at = from + i as Micros * each;
                    group.iter().for_each(|host| self.replace(*host, at, each));
                }
            }
            _ if timed.on.iter().any(|name| name == "origin") => match timed.fault {
                Fault::Slow { factor } => {
                    self.step(from, Act::SlowOrigin { factor });
                    self.step(until, Act::SlowOrigin { factor: 1.0 });
                }
                _ => return Err("the origin can only be slow".to_string()),
            },
            _ => {
                for host in timed.hosts(stage, dice)? {
                    self.host(timed.fault, host, from, until);
                }
            }
        }
        Ok(())
    }

    fn both(&mut self, from: Micros, until: Micros, act: impl Fn(bool) -> Act) {
        self.step(from, act(true));
        self.step(until, act(false));
    }

    fn balancer(&mut self, fault: Fault, balancer: usize, from: Micros, until: Micros) {
        match fault {
            Fault::BalancerKilled => {
                self.step(from, Act::KillBalancer { balancer });
                self.step(until, Act::StartBalancer { balancer });
            }
            Fault::BalancerFrozen => {
                self.step(from, Act::FreezeBalancer { balancer });
                self.step(until, Act::ThawBalancer { balancer });
            }
            _ => self.step(from, Act::TermBalancer { balancer }),
        }
    }

    fn replace(&mut self, host: usize, at: Micros, each: Micros) {
        let notice = DRAIN_NOTICE.min(each / 2);
        self.step(at, Act::ListDraining { host });
        self.step(
            at + notice,
            Act::Drain {
                host,
                draining: true,
            },
        );
        self.step(at + each * 9 / 10, Act::Kill { host });
        self.step(at + each, Act::Start { host });
    }

    fn host(&mut self, fault: Fault, host: usize, from: Micros, until: Micros) {
        let (begin, end) = match fault {
            Fault::Slow { factor } => (Act::Slow { host, factor }, Act::Slow { host, factor: 1.0 }),
            Fault::Frozen => (Act::Freeze { host }, Act::Thaw { host }),
            Fault::CutOff => (Act::CutOff { host }, Act::Mend { host }),
            Fault::Killed | Fault::ZoneLost => (Act::Kill { host }, Act::Start { host }),
            Fault::LostAnswers { chance } => {
                (Act::Lose { host, chance }, Act::Lose { host, chance: 0.0 })
            }
            Fault::Spoilt { chance } => (
                Act::Spoil { host, chance },
                Act::Spoil { host, chance: 0.0 },
            ),
            Fault::Doubled { chance } => (
                Act::Double { host, chance },
                Act::Double { host, chance: 0.0 },
            ),
            Fault::Reset { chance } => (
                Act::Reset { host, chance },
                Act::Reset { host, chance: 0.0 },
            ),
            Fault::Voided { copies } => return self.step(from, Act::Void { host, part: copies }),
            Fault::Drained => {
                self.step(
                    from + DRAIN_NOTICE,
                    Act::Drain {
                        host,
                        draining: true,
                    },
                );
                self.step(
                    until,
                    Act::Drain {
                        host,
                        draining: false,
                    },
                );
                (Act::ListDraining { host }, Act::ListServing { host })
            }
            _ => return,
        };
        self.step(from, begin);
        self.step(until, end);
    }
}

impl TimedFault {
    fn check(&self) -> Result<(), String> {
        let chance = match self.fault {
            Fault::Reset { chance } | Fault::LostAnswers { chance } | Fault::Spoilt { chance } => {
                chance
            }
            Fault::Doubled { chance } => chance,
            Fault::Voided { copies } => copies,
            Fault::Slow { factor } if !(0.001..=1e6).contains(&factor) => {
                return Err("factor must be between 0.001 and 1,000,000".to_string())
            }
            Fault::DeployWave { each_s, .. } | Fault::RollingRestart { each_s }
                if !(0.1..=1e6).contains(&each_s) =>
            {
                return Err("each_s must be between 0.1 and 1,000,000".to_string())
            }
            _ => 0.0,
        };
        if !(0.0..=1.0).contains(&chance) || !(0.0..=1.0).contains(&self.part) {
            return Err("chance and part must be between 0 and 1".to_string());
        }
        if !(self.at_s >= 0.0 && self.lasts_s >= 0.0 && self.at_s + self.lasts_s < 1e6) {
            return Err("at_s and lasts_s must be 0 or more".to_string());
        }
        Ok(())
    }

    /// Positions of the hosts that it befalls: named ones, those of named zones, or a draw.
    fn hosts(&self, stage: &Stage, dice: &mut Dice) -> Result<Vec<usize>, String> {
        let mut chosen = Vec::new();
        for name in &self.on {
            let before = chosen.len();
            let named = |(host, zone): &(String, String)| host == name || zone == name;
            chosen.extend(
                stage
                    .hosts
                    .iter()
                    .enumerate()
                    .filter(|(_, host)| named(host))
                    .map(|(i, _)| i),
            );
            if chosen.len() == before {
                return Err(format!("no cache host or zone is called {name:?}"));
            }
        }
        if self.on.is_empty() {
            chosen = draw(stage.hosts.len(), self.part, dice);
        }
        chosen.sort_unstable();
        chosen.dedup();
        Ok(chosen)
    }

    fn balancers(&self, stage: &Stage, dice: &mut Dice) -> Result<Vec<usize>, String> {
        let position = |name: &String| match name.parse::<usize>() {
            Ok(i) if i < stage.balancers => Ok(i),
            _ => Err(format!(
                "{name:?} is no balancer; there are {}, counted from 0",
                stage.balancers
            )),
        };
        match self.on.is_empty() {
            true => Ok(draw(stage.balancers, self.part, dice)),
            false => self.on.iter().map(position).collect(),
        }
    }
}

/// Some of so many, the same for the same dice; all of them without a part.
fn draw(of: usize, part: f64, dice: &mut Dice) -> Vec<usize> {
    let mut left: Vec<usize> = (0..of).collect();
    if part <= 0.0 {
        return left;
    }
    let wanted = ((of as f64 * part).round() as usize).clamp(1, of.max(1));
    while left.len() > wanted {
        left.remove(dice.below(left.len() as u64) as usize);
    }
    left
}
