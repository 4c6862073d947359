//! One run of an experiment: stand-ins, balancer processes and clients are started, faults come in their time, and what
//! everybody saw is put together.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde::Serialize;
use serde_json::{json, Value};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, to_ms, Micros, SECOND};
use stairfront_emulator::arrivals::TenantTraffic;
use stairfront_emulator::faults::{FaultAction, FaultInterval, ScheduledAction};
use stairfront_emulator::rules::{Observation, RuleLimits, RuleReport};
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until};

use crate::clock::RunClock;
use crate::experiment::{Experiment, Variant};
use crate::fleet::{Fleet, ServerReport};
use crate::live::{Glance, Live};
use crate::load::{self, Front, LoadPlan};
use crate::pack::{Group, GroupOutcome, Pack, PackPlan};
use crate::process::{free_address, Balancer, Build};
use crate::relay::Relay;
use crate::tally::{Counts, Tally};
use crate::tape::{record, Recorded, Tape, INTERVAL};

/// Requests a second that one thread of clients carries with room to spare.
const PER_THREAD: f64 = 40_000.0;
/// How long a balancer that was told to stop still gets new connections.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// How long the start of the stand-ins and of each balancer may take.
const LEAD: Duration = Duration::from_millis(300);
const LEAD_EACH: Duration = Duration::from_millis(150);
/// Between two looks at the processes.
const LOOK: Micros = SECOND / 4;

/// Where programs are found and files are put.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// This build's balancer, and its baselines.
    pub balancer: Build,
    pub baseline: PathBuf,
    pub folder: PathBuf,
    pub progress: Progress,
}

/// What is told on standard error while a run goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Nothing,
    /// How far it is, on one line that is written over.
    Line,
    /// What was answered in each second, and by whom.
    Table,
}

#[derive(Clone, Debug, Serialize)]
pub struct TenantFigures {
    pub name: String,
    pub on_time: f64,
    #[serde(flatten)]
    pub counts: Counts,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Latency {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
}

/// One interval of a run, for plots.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Moment {
    pub at_s: f64,
    pub served: f64,
    pub refused: f64,
    pub other: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub fetches: f64,
}

/// All figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub variant: String,
    pub seed: u64,
    /// Requests a second with every tenant at its share.
    pub rate: f64,
    pub on_time: f64,
    pub counts: Counts,
    pub tenants: Vec<TenantFigures>,
    /// Of all tries, from when they were due.
    pub latency: Latency,
    pub served_latency: Latency,
    pub attempts: u64,
    /// Attempts beyond the first of their request.
    pub retries: u64,
    pub fetches: u64,
    pub hit_ratio: f64,
    /// Attempts at the busiest cache over those at the median one, of those that were up all the time.
    pub worst_over_median: f64,
    pub cpu_us_per_request: f64,
    /// Part of a core that each balancer used on average.
    pub cpu_cores: f64,
    pub memory_mb: f64,
    pub descriptors: u64,
    pub ready_ms: f64,
    pub rules: RuleReport,
    /// Where the balancers are a group.
    pub group: Option<GroupOutcome>,
    pub servers: Vec<ServerReport>,
    #[serde(skip)]
    pub moments: Vec<Moment>,
    /// Attempts a second at each cache over time.
    #[serde(skip)]
    pub loads: Vec<Vec<f64>>,
    #[serde(skip)]
    pub marks: Vec<FaultInterval>,
}

fn latency(histogram: &hdrhistogram::Histogram<u64>) -> Latency {
    let at = |part: f64| histogram.value_at_quantile(part) as f64 / 1e3;
    Latency {
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        most_ms: histogram.max() as f64 / 1e3,
    }
}

impl Outcome {
    /// No rule was broken, and no member of a group was mistaken for long.
    pub fn holds(&self) -> bool {
        let work = |group: &GroupOutcome| group.work.as_ref().is_none_or(|work| work.broken == 0);
        self.rules.holds()
            && self
                .group
                .as_ref()
                .is_none_or(|group| group.report.violations == 0 && work(group))
    }
}

/// Runs an experiment once. Blocks until all is over; processes, threads and files are gone then.
pub fn run(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    rate: f64,
    around: &Surroundings,
) -> io::Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Danger: two runs at once in one process would write each other's configurations.
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = around
        .folder
        .join(format!("run-{}-{number}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let mut plan = experiment.clone();
    plan.clients.traffic.rate = rate;
    let run = Run::new(&plan, variant, seed, around, &folder);
    let outcome = runtime.block_on(LocalSet::new().run_until(run.go()));
    // What balancers wrote is wanted only when one did not do as it should.
    if outcome.as_ref().is_ok_and(Outcome::holds) {
        let _ = fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs of the balancers are kept in {}", folder.display());
    }
    outcome
}

struct Run<'a> {
    plan: &'a Experiment,
    variant: &'a Variant,
    seed: u64,
    around: &'a Surroundings,
    folder: &'a Path,
}

impl<'a> Run<'a> {
    fn new(
        plan: &'a Experiment,
        variant: &'a Variant,
        seed: u64,
        around: &'a Surroundings,
        folder: &'a Path,
    ) -> Self {
        Run {
            plan,
            variant,
            seed,
            around,
            folder,
        }
    }

    fn build(&self) -> Build {
        match (&self.variant.baseline, &self.variant.program) {
            (Some(policy), _) => {
                let arguments = vec!["--policy".to_string(), policy.clone()];
                Build {
                    program: self.around.baseline.clone(),
                    arguments,
                }
            }
            (None, Some(program)) => Build {
                program: program.clone(),
                arguments: Vec::new(),
            },
            (None, None) => self.around.balancer.clone(),
        }
    }

    fn config(&self, balancer: usize, listen: SocketAddr, fleet: &Fleet, moved: bool) -> Value {
        let (set, rate) = (&self.plan.balancers, self.plan.clients.traffic.rate);
        let mut config = json!({
            "name": format!("b{balancer}"), "listen": listen.to_string(),
            "discovery": fleet.agent(balancer, moved).to_string(),
            "seed": format!("{:016x}", self.seed.wrapping_mul(31).wrapping_add(balancer as u64)),
            "limits": {"cores": 1.0, "memory_mb": set.memory_mb, "sockets": set.sockets},
            "known": fleet.known(balancer),
            "settings": self.plan.balancer_settings(balancer, rate)
        });
        for (key, value) in &self.variant.set {
            put(&mut config, key, json!(value));
        }
        config
    }

    async fn go(&self) -> io::Result<Outcome> {
        let (tapes, heard) = mpsc::channel();
        let limits = self.limits();
        let hosts = usize::from(limits.origin) + 1;
        let live = Arc::new(Live::new(hosts));
        let to_recorder = Arc::clone(&live);
        let recorder = std::thread::spawn(move || record(heard, limits, hosts, &to_recorder));
        let count = self.plan.balancers.count;
        let clock = RunClock::starting_in(LEAD + LEAD_EACH * count as u32);
        let fleet = Fleet::start(self.plan.fleet_plan(self.seed), clock, &tapes)?;
        let mut dice = SeededRng::for_part(self.seed ^ u64::from(std::process::id()), "ports");
        let mut balancers = Vec::new();
        let group = self.plan.group.as_ref().map(|group| Group {
            knows: group.knows && !self.variant.apart && !self.variant.by_hand,
            agrees: group.agrees && !self.variant.disagrees,
            ..group.clone()
        });
        let worked_at = Rc::new(RefCell::new(VecDeque::new()));
        let processes = if self.variant.direct || group.is_some() {
            0
        } else {
            count
        };
        for i in 0..processes {
            let address = free_address(&mut dice)?;
            let mut balancer = Balancer::new(self.build(), &format!("b{i}"), self.folder, address);
            balancer.configure(&self.config(i, address, &fleet, false))?;
            balancer.start().await?;
            balancers.push(balancer);
        }
        if clock.now() >= 0 {
            return Err(io::Error::other(
                "the balancers were not ready when the requests were to begin",
            ));
        }
        let relay = match &group {
            Some(_) if !self.variant.direct => Some(Relay::start(count, self.seed, clock)?),
            _ => None,
        };
        let addresses = match (self.variant.direct, &relay) {
            (true, _) => fleet.hosts().to_vec(),
            (false, None) => balancers.iter().map(|balancer| balancer.address).collect(),
            (false, Some(relay)) => (0..count).map(|who| relay.doors(who)[0]).collect(),
        };
        let front = |address| Front {
            address,
            closed: Arc::default(),
        };
        let fronts: Vec<Front> = addresses.into_iter().map(front).collect();
        let mut pack = match (&group, relay) {
            (Some(group), Some(relay)) => {
                let plan = PackPlan {
                    group,
                    by_hand: self.variant.by_hand,
                    caches: self.plan.fleet.caches,
                    hosts: Rc::clone(&worked_at),
                    build: self.build(),
                    folder: self.folder,
                    seed: self.seed,
                    clock,
                    relay,
                };
                let config = |who, listen| self.config(who, listen, &fleet, false);
                let mut pack = Pack::new(
                    plan,
                    fronts.clone(),
                    Tape::new(clock, tapes.clone()),
                    config,
                )?;
                pack.start().await?;
                Some(pack)
            }
            _ => None,
        };
        if clock.now() >= 0 {
            return Err(io::Error::other(
                "the balancers were not ready when the requests were to begin",
            ));
        }
        let plan = self.load_plan(fronts.clone(), Arc::clone(&live));
        let (to_load, own_tape) = (tapes.clone(), Tape::new(clock, tapes));
        let load = std::thread::spawn(move || load::run(&plan, clock, &to_load));
        let mut show = Show {
            run: self,
            clock,
            fleet,
            balancers,
            fronts,
            tape: own_tape,
            worked_at,
            moved: false,
            cpu: [None; 2],
            live,
        };
        let counted = [self.plan.count_from(), self.plan.end()];
        match &mut pack {
            Some(pack) => {
                let over = || load.is_finished();
                tokio::try_join!(show.conduct(over), pack.conduct(over, counted))?;
            }
            None => show.conduct(|| load.is_finished()).await?,
        }
        let tally = load
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the clients ended")))?;
        let Show {
            fleet,
            mut balancers,
            cpu,
            tape,
            ..
        } = show;
        for balancer in &mut balancers {
            balancer.kill().await;
        }
        let group = match pack {
            Some(pack) => {
                let (outcome, processes) = pack.end().await;
                balancers = processes;
                Some(outcome)
            }
            None => None,
        };
        let servers = fleet.end();
        drop(tape);
        let recorded = recorder
            .join()
            .map_err(|_| io::Error::other("the checker ended"))?;
        let cpu_us = match &group {
            Some(group) => {
                let seconds = to_ms(self.plan.end() - self.plan.count_from()) / 1e3;
                (group.cpu_us_per_s * seconds * balancers.len() as f64) as u64
            }
            None => cpu[1].unwrap_or(0).saturating_sub(cpu[0].unwrap_or(0)),
        };
        Ok(Outcome {
            group,
            ..self.outcome(&tally, recorded, servers, &balancers, cpu_us)
        })
    }

    fn limits(&self) -> RuleLimits {
        RuleLimits {
            grace: from_ms(self.plan.balancers.grace_ms),
            max_attempts: usize::from(self.plan.balancers.most_tries),
            classes: self
                .plan
                .classes
                .iter()
                .map(|class| class.idempotency)
                .collect(),
            origin: self.plan.fleet.caches as u16,
            ..RuleLimits::default()
        }
    }

    fn load_plan(&self, balancers: Vec<Front>, live: Arc<Live>) -> LoadPlan {
        let clients = &self.plan.clients;
        let traffic = clients.traffic.clone();
        let threads = match clients.threads {
            0 => (traffic.rate / PER_THREAD).ceil().clamp(1.0, 4.0) as usize,
            threads => threads,
        };
        LoadPlan {
            traffic,
            classes: self.plan.classes.clone(),
            retries: clients.retries.clone(),
            habits: clients.habits.clone(),
            balancers,
            threads,
            seed: self.seed,
            end: self.plan.end(),
            count_from: self.plan.count_from(),
            live,
        }
    }

    fn outcome(
        &self,
        tally: &Tally,
        recorded: Recorded,
        servers: Vec<ServerReport>,
        balancers: &[Balancer],
        cpu_us: u64,
    ) -> Outcome {
        let (counts, caches) = (tally.all(), servers.len().saturating_sub(1));
        let tenant = |(i, tenant): (usize, &TenantTraffic)| {
            let counts = tally.tenant(i);
            TenantFigures {
                name: tenant.name.clone(),
                on_time: counts.on_time(),
                counts,
            }
        };
        let sum = |of: fn(&ServerReport) -> u64| servers[..caches].iter().map(of).sum::<u64>();
        let (hits, misses) = (sum(|s| s.counts.hits), sum(|s| s.counts.misses));
        let attempts = recorded.rules.metrics.attempts;
        let ready: Vec<f64> = balancers
            .iter()
            .flat_map(|b| b.ready_ms.iter().copied())
            .collect();
        let span_us = (self.plan.end() - self.plan.count_from()).max(1) as f64;
        let memory_kb = balancers
            .iter()
            .map(|b| b.most_memory_kb)
            .max()
            .unwrap_or(0);
        Outcome {
            variant: self.variant.name.clone(),
            seed: self.seed,
            rate: self.plan.clients.traffic.rate,
            on_time: counts.on_time(),
            counts,
            tenants: self
                .plan
                .clients
                .traffic
                .tenants
                .iter()
                .enumerate()
                .map(tenant)
                .collect(),
            latency: latency(&tally.latency),
            served_latency: latency(&tally.served),
            attempts,
            retries: recorded.rules.metrics.retries,
            fetches: servers.last().map_or(0, |origin| origin.counts.commands),
            hit_ratio: hits as f64 / (hits + misses).max(1) as f64,
            worst_over_median: worst_over_median(&recorded.begun[..caches], self.plan),
            cpu_us_per_request: cpu_us as f64 / counts.tries.max(1) as f64,
            cpu_cores: cpu_us as f64 / span_us / balancers.len().max(1) as f64,
            memory_mb: memory_kb as f64 / 1024.0,
            descriptors: balancers
                .iter()
                .map(|b| b.most_descriptors)
                .max()
                .unwrap_or(0),
            ready_ms: ready.iter().copied().fold(0.0, f64::max),
            moments: moments(tally, recorded.begun.last()),
            loads: recorded.begun[..caches]
                .iter()
                .map(|series| per_second(series))
                .collect(),
            marks: self.plan.steps(self.seed).1,
            rules: recorded.rules,
            group: None,
            servers,
        }
    }
}

fn per_second(series: &[u32]) -> Vec<f64> {
    let each = INTERVAL as f64 / SECOND as f64;
    series.iter().map(|n| f64::from(*n) / each).collect()
}

fn moments(tally: &Tally, fetches: Option<&Vec<u32>>) -> Vec<Moment> {
    let each = INTERVAL as f64 / SECOND as f64;
    let moment = |(i, interval): (usize, &crate::tally::Interval)| Moment {
        at_s: i as f64 * each,
        served: interval.served as f64 / each,
        refused: interval.refused as f64 / each,
        other: interval.other as f64 / each,
        p50_ms: interval.latency.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: interval.latency.value_at_quantile(0.99) as f64 / 1e3,
        fetches: fetches
            .and_then(|series| series.get(i))
            .map_or(0.0, |n| f64::from(*n) / each),
    };
    tally.over_time.iter().enumerate().map(moment).collect()
}

/// Attempts at the busiest cache over those at the median one, in the counted time.
fn worst_over_median(begun: &[Vec<u32>], plan: &Experiment) -> f64 {
    let range = (plan.count_from() / INTERVAL) as usize..(plan.end() / INTERVAL) as usize;
    let of = |series: &Vec<u32>| -> u64 {
        series
            .iter()
            .enumerate()
            .filter(|(i, _)| range.contains(i))
            .map(|(_, n)| u64::from(*n))
            .sum()
    };
    let mut sums: Vec<u64> = begun.iter().map(of).collect();
    sums.sort_unstable();
    let (Some(worst), Some(median)) = (sums.last(), sums.get(sums.len() / 2)) else {
        return 1.0;
    };
    *worst as f64 / (*median).max(1) as f64
}

/// A run under way.
struct Show<'a> {
    run: &'a Run<'a>,
    clock: RunClock,
    fleet: Fleet,
    balancers: Vec<Balancer>,
    fronts: Vec<Front>,
    tape: Tape,
    /// What becomes of stand-ins that people work at.
    worked_at: Rc<RefCell<VecDeque<FaultAction>>>,
    /// Discovery's agents have moved.
    moved: bool,
    /// Processor time of all balancers when counting begins and ends.
    cpu: [Option<u64>; 2],
    live: Arc<Live>,
}

impl Show<'_> {
    /// Has the faults come in their time, until all clients are through.
    async fn conduct(&mut self, over: impl Fn() -> bool) -> io::Result<()> {
        let (steps, _) = self.run.plan.steps(self.run.seed);
        let mut steps: VecDeque<ScheduledAction> = steps.into();
        let marks = [self.run.plan.count_from(), self.run.plan.end()];
        let mut told = -1;
        while !over() {
            let now = self.clock.now();
            while steps.front().is_some_and(|step| step.at <= now) {
                if let Some(step) = steps.pop_front() {
                    self.act(step.action).await?;
                }
            }
            let worked_at = std::mem::take(&mut *self.worked_at.borrow_mut());
            worked_at.into_iter().for_each(|act| self.fleet.act(act));
            self.look(now, marks)?;
            if now / SECOND != told {
                told = now / SECOND;
                self.tell(now);
            }
            self.tape.tick();
            let next = steps
                .front()
                .map(|step| step.at)
                .into_iter()
                .chain(marks.into_iter().filter(|at| *at > now));
            let next = next.min().unwrap_or(Micros::MAX).min(now + LOOK);
            sleep_until(self.clock.instant(next)).await;
        }
        self.look(marks[1], marks)
    }

    fn look(&mut self, now: Micros, marks: [Micros; 2]) -> io::Result<()> {
        for balancer in &mut self.balancers {
            balancer.look();
            if balancer.wanted && !balancer.is_running() {
                return Err(io::Error::other(format!(
                    "balancer {} has ended by itself",
                    balancer.name()
                )));
            }
        }
        let cpu: u64 = self.balancers.iter().map(Balancer::cpu_us).sum();
        for (mark, at) in self.cpu.iter_mut().zip(marks) {
            if now >= at && mark.is_none() {
                *mark = Some(cpu);
            }
        }
        Ok(())
    }

    fn tell(&self, now: Micros) {
        let plan = self.run.plan;
        match self.run.around.progress {
            Progress::Nothing => {}
            Progress::Line => eprint!(
                "\r{:24} {:16} seed {:<4} rate {:<8.0} {:5.1} of {:.0} s  ",
                plan.name,
                self.run.variant.name,
                self.run.seed,
                plan.clients.traffic.rate,
                to_ms(now.max(0)) / 1e3,
                plan.seconds
            ),
            Progress::Table => self.tell_second(now / SECOND),
        }
    }

    /// A line of what was answered since the last one, and of what befell whom.
    fn tell_second(&self, second: Micros) {
        let Glance {
            served,
            refused,
            other,
            slowest_us,
            begun,
        } = self.live.take();
        if second <= 0 {
            let names: String = (0..begun.len().saturating_sub(1))
                .map(|i| format!("{:>6}", format!("c{i}")))
                .collect();
            return eprintln!(
                "{:>4}{:>8}{:>9}{:>8}{:>12}  {names}{:>8}",
                "s", "served", "refused", "other", "slowest ms", "origin"
            );
        }
        let at = second as f64;
        let (_, marks) = self.run.plan.steps(self.run.seed);
        let begins = marks
            .iter()
            .filter(|mark| (at - 1.0..at).contains(&mark.from_s))
            .map(|m| format!("  <- {}", m.text));
        let ends = marks
            .iter()
            .filter(|mark| (at - 1.0..at).contains(&mark.until_s))
            .map(|m| format!("  <- over: {}", m.text));
        let (origin, caches) = begun
            .split_last()
            .map_or((0, &[][..]), |(origin, caches)| (*origin, caches));
        let caches: String = caches.iter().map(|n| format!("{n:>6}")).collect();
        let notes: String = begins.chain(ends).collect();
        let slowest = slowest_us as f64 / 1e3;
        eprintln!("{second:>4}{served:>8}{refused:>9}{other:>8}{slowest:>12.1}  {caches}{origin:>8}{notes}");
    }

    async fn act(&mut self, act: FaultAction) -> io::Result<()> {
        match act {
            FaultAction::KillBalancer { balancer } => {
                self.gone(balancer);
                let one = &mut self.balancers[balancer];
                one.wanted = false;
                one.kill().await;
                self.gone(balancer);
            }
            FaultAction::StartBalancer { balancer } => self.balancers[balancer].start().await?,
            FaultAction::TermBalancer { balancer } => return self.restart(balancer).await,
            FaultAction::FreezeBalancer { balancer } => {
                self.balancers[balancer].signal(Signal::SIGSTOP)
            }
            FaultAction::UnfreezeBalancer { balancer } => {
                self.balancers[balancer].signal(Signal::SIGCONT)
            }
            FaultAction::MoveDiscovery => {
                self.moved = true;
                self.fleet.act(act);
                for (i, balancer) in self.balancers.iter().enumerate() {
                    balancer.configure(&self.run.config(i, balancer.address, &self.fleet, true))?;
                    balancer.signal(Signal::SIGHUP);
                }
            }
            _ => self.fleet.act(act),
        }
        Ok(())
    }

    fn gone(&mut self, balancer: usize) {
        let now = self.clock.now();
        self.tape.note(
            now,
            Observation::BalancerStopped {
                balancer: balancer as u16,
            },
        );
    }

    /// Tells one to stop, as at a planned restart, and starts it again once it has ended. What it had taken it has to
    /// answer, so its end excuses nothing.
    async fn restart(&mut self, balancer: usize) -> io::Result<()> {
        let closed = Arc::clone(&self.fronts[balancer].closed);
        let one = &mut self.balancers[balancer];
        one.wanted = false;
        one.look();
        one.signal(Signal::SIGTERM);
        sleep(FRONT_NOTICES).await;
        closed.store(true, Ordering::Relaxed);
        if !one.wait_for_end().await {
            return Err(io::Error::other(format!(
                "balancer {} did not end well when told to",
                one.name()
            )));
        }
        one.start().await?;
        closed.store(false, Ordering::Relaxed);
        Ok(())
    }
}

/// Sets a key by its path, such as `limits.sockets`; what is missing on the way is made.
fn put(whole: &mut Value, path: &str, value: Value) {
    let place = path
        .split('.')
        .fold(whole, |at, key| match key.parse::<usize>() {
            Ok(i) if at.get(i).is_some() => &mut at[i],
            _ => &mut at[key],
        });
    *place = value;
}
