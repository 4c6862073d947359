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
use stairfront_emulator::arrivals::TenantTraffic;
use stairfront_emulator::dice::Dice;
use stairfront_emulator::faults::{Act, Mark, Step};
use stairfront_emulator::rules::{Limits, Report, Seen};
use stairfront_emulator::time::{from_ms, to_ms, Micros, SECOND};
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until};

use crate::balancer_group::{BalancerGroup, BalancerGroupSettings, Group, GroupOutcome};
use crate::clock::RunClock;
use crate::event_log::{record, EventLog, RecordedRun, INTERVAL};
use crate::experiment::{Experiment, Variant};
use crate::fleet::{Fleet, ServerReport};
use crate::live_counters::{LiveCounters, LiveSnapshot};
use crate::load::{self, BalancerEndpoint, LoadPlan};
use crate::process::{free_address, BalancerProcess, Build};
use crate::relay::Relay;
use crate::summary::{Counts, Summary};

/// Requests a second that one thread of clients carries with room to spare.
const REQUESTS_PER_THREAD: f64 = 40_000.0;
/// How long a balancer that was told to stop still gets new connections.
const ENDPOINT_CLOSE_DELAY: Duration = Duration::from_millis(300);
/// How long the start of the stand-ins and of each balancer may take.
const START_DELAY: Duration = Duration::from_millis(300);
const START_DELAY_PER_BALANCER: Duration = Duration::from_millis(150);
/// Between two looks at the processes.
const INSPECT_INTERVAL: Micros = SECOND / 4;

/// Where programs are found and files are put.
#[derive(Clone, Debug)]
pub struct RunEnvironment {
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
pub struct TenantSummary {
    pub name: String,
    #[serde(rename = "on_time")]
    pub in_time_ratio: f64,
    #[serde(flatten)]
    pub counts: Counts,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Latency {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

/// One interval of a run, for plots.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct IntervalSample {
    pub at_s: f64,
    pub served: f64,
    pub rejected: f64,
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
    #[serde(rename = "on_time")]
    pub in_time_ratio: f64,
    pub counts: Counts,
    pub tenants: Vec<TenantSummary>,
    /// Of all tries, from when they were due.
    pub latency: Latency,
    pub served_latency: Latency,
    pub attempts: u64,
    /// Attempts beyond the first of their request.
    pub retries: u64,
    pub fetches: u64,
    pub hit_ratio: f64,
    /// Attempts at the busiest cache over those at the median one, of those that were up all the time.
    #[serde(rename = "worst_over_median")]
    pub max_over_median_load: f64,
    pub cpu_us_per_request: f64,
    /// Part of a core that each balancer used on average.
    pub cpu_cores: f64,
    pub memory_mb: f64,
    pub descriptors: u64,
    pub ready_ms: f64,
    pub rules: Report,
    /// Where the balancers are a group.
    pub group: Option<GroupOutcome>,
    pub servers: Vec<ServerReport>,
    #[serde(skip)]
    pub samples: Vec<IntervalSample>,
    /// Attempts a second at each cache over time.
    #[serde(skip)]
    pub cache_rates: Vec<Vec<f64>>,
    #[serde(skip)]
    pub marks: Vec<Mark>,
}

fn latency(histogram: &hdrhistogram::Histogram<u64>) -> Latency {
    let at = |part: f64| histogram.value_at_quantile(part) as f64 / 1e3;
    Latency {
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        max_ms: histogram.max() as f64 / 1e3,
    }
}

impl Outcome {
    /// No rule was broken, and no member of a group was mistaken for long.
    pub fn holds(&self) -> bool {
        let maintenance = |group: &GroupOutcome| {
            group
                .maintenance
                .as_ref()
                .is_none_or(|maintenance| maintenance.broken == 0)
        };
        self.rules.holds()
            && self
                .group
                .as_ref()
                .is_none_or(|group| group.report.broken == 0 && maintenance(group))
    }
}

/// Runs an experiment once. Blocks until all is over; processes, threads and files are gone then.
pub fn run(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    rate: f64,
    environment: &RunEnvironment,
) -> io::Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Danger: two runs at once in one process would write each other's configurations.
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = environment
        .folder
        .join(format!("run-{}-{number}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let mut plan = experiment.clone();
    plan.clients.traffic.rate = rate;
    let run = Run::new(&plan, variant, seed, environment, &folder);
    let outcome = runtime.block_on(LocalSet::new().run_until(run.execute()));
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
    environment: &'a RunEnvironment,
    folder: &'a Path,
}

impl<'a> Run<'a> {
    fn new(
        plan: &'a Experiment,
        variant: &'a Variant,
        seed: u64,
        environment: &'a RunEnvironment,
        folder: &'a Path,
    ) -> Self {
        Run {
            plan,
            variant,
            seed,
            environment,
            folder,
        }
    }

    fn build(&self) -> Build {
        match (&self.variant.baseline, &self.variant.program) {
            (Some(policy), _) => {
                let arguments = vec!["--policy".to_string(), policy.clone()];
                Build {
                    program: self.environment.baseline.clone(),
                    arguments,
                }
            }
            (None, Some(program)) => Build {
                program: program.clone(),
                arguments: Vec::new(),
            },
            (None, None) => self.environment.balancer.clone(),
        }
    }

    fn config(&self, balancer: usize, listen: SocketAddr, fleet: &Fleet, moved: bool) -> Value {
        let (set, rate) = (&self.plan.balancers, self.plan.clients.traffic.rate);
        let mut config = json!({
            "name": format!("b{balancer}"), "listen": listen.to_string(),
            "discovery": fleet.agent(balancer, moved).to_string(),
            "seed": format!("{:016x}", self.seed.wrapping_mul(31).wrapping_add(balancer as u64)),
            "limits": {"cores": 1.0, "memory_mb": set.memory_mb, "sockets": set.sockets},
            "known": fleet.initial_list(balancer),
            "settings": self.plan.balancer_settings(balancer, rate)
        });
        for (key, value) in &self.variant.set {
            set_key(&mut config, key, json!(value));
        }
        config
    }

    async fn execute(&self) -> io::Result<Outcome> {
        let (event_sender, heard) = mpsc::channel();
        let limits = self.limits();
        let hosts = usize::from(limits.origin) + 1;
        let live_counters = Arc::new(LiveCounters::new(hosts));
        let to_recorder = Arc::clone(&live_counters);
        let recorder = std::thread::spawn(move || record(heard, limits, hosts, &to_recorder));
        let count = self.plan.balancers.count;
        let clock = RunClock::starting_in(START_DELAY + START_DELAY_PER_BALANCER * count as u32);
        let fleet = Fleet::start(self.plan.fleet_plan(self.seed), clock, &event_sender)?;
        let mut rng = Dice::new(self.seed ^ u64::from(std::process::id()), "ports");
        let mut balancers = Vec::new();
        let group = self.plan.group.as_ref().map(|group| Group {
            membership: group.membership
                && !self.variant.no_membership
                && !self.variant.manual_baseline,
            agreement: group.agreement && !self.variant.no_agreement,
            ..group.clone()
        });
        let maintenance_actions = Rc::new(RefCell::new(VecDeque::new()));
        let processes = if self.variant.direct || group.is_some() {
            0
        } else {
            count
        };
        for i in 0..processes {
            let address = free_address(&mut rng)?;
            let mut balancer =
                BalancerProcess::new(self.build(), &format!("b{i}"), self.folder, address);
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
            (false, Some(relay)) => (0..count)
                .map(|who| relay.client_and_admin_addresses(who)[0])
                .collect(),
        };
        let endpoint = |address| BalancerEndpoint {
            address,
            closed: Arc::default(),
        };
        let endpoints: Vec<BalancerEndpoint> = addresses.into_iter().map(endpoint).collect();
        let mut balancer_group = match (&group, relay) {
            (Some(group), Some(relay)) => {
                let plan = BalancerGroupSettings {
                    group,
                    manual_baseline: self.variant.manual_baseline,
                    caches: self.plan.fleet.caches,
                    hosts: Rc::clone(&maintenance_actions),
                    build: self.build(),
                    folder: self.folder,
                    seed: self.seed,
                    clock,
                    relay,
                };
                let config = |who, listen| self.config(who, listen, &fleet, false);
                let mut balancer_group = BalancerGroup::new(
                    plan,
                    endpoints.clone(),
                    EventLog::new(clock, event_sender.clone()),
                    config,
                )?;
                balancer_group.start().await?;
                Some(balancer_group)
            }
            _ => None,
        };
        if clock.now() >= 0 {
            return Err(io::Error::other(
                "the balancers were not ready when the requests were to begin",
            ));
        }
        let plan = self.load_plan(endpoints.clone(), Arc::clone(&live_counters));
        let (to_load, own_tape) = (event_sender.clone(), EventLog::new(clock, event_sender));
        let load = std::thread::spawn(move || load::run(&plan, clock, &to_load));
        let mut active = ActiveRun {
            run: self,
            clock,
            fleet,
            balancers,
            endpoints,
            event_log: own_tape,
            maintenance_actions,
            moved: false,
            cpu: [None; 2],
            live_counters,
        };
        let counted = [self.plan.count_from(), self.plan.end()];
        match &mut balancer_group {
            Some(balancer_group) => {
                let finished = || load.is_finished();
                tokio::try_join!(
                    active.run_until(finished),
                    balancer_group.run_until(finished, counted)
                )?;
            }
            None => active.run_until(|| load.is_finished()).await?,
        }
        let summary = load
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the clients ended")))?;
        let ActiveRun {
            fleet,
            mut balancers,
            cpu,
            event_log,
            ..
        } = active;
        for balancer in &mut balancers {
            balancer.kill().await;
        }
        let group = match balancer_group {
            Some(balancer_group) => {
                let (outcome, processes) = balancer_group.finish().await;
                balancers = processes;
                Some(outcome)
            }
            None => None,
        };
        let servers = fleet.end();
        drop(event_log);
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
            ..self.outcome(&summary, recorded, servers, &balancers, cpu_us)
        })
    }

    fn limits(&self) -> Limits {
        Limits {
            grace: from_ms(self.plan.balancers.grace_ms),
            most_attempts: usize::from(self.plan.balancers.max_attempts),
            classes: self
                .plan
                .classes
                .iter()
                .map(|class| class.repeats)
                .collect(),
            origin: self.plan.fleet.caches as u16,
            ..Limits::default()
        }
    }

    fn load_plan(
        &self,
        balancers: Vec<BalancerEndpoint>,
        live_counters: Arc<LiveCounters>,
    ) -> LoadPlan {
        let clients = &self.plan.clients;
        let traffic = clients.traffic.clone();
        let threads = match clients.threads {
            0 => (traffic.rate / REQUESTS_PER_THREAD).ceil().clamp(1.0, 4.0) as usize,
            threads => threads,
        };
        LoadPlan {
            traffic,
            classes: self.plan.classes.clone(),
            retries: clients.retries.clone(),
            behavior: clients.behavior.clone(),
            balancers,
            threads,
            seed: self.seed,
            end: self.plan.end(),
            count_from: self.plan.count_from(),
            live_counters,
        }
    }

    fn outcome(
        &self,
        summary: &Summary,
        recorded: RecordedRun,
        servers: Vec<ServerReport>,
        balancers: &[BalancerProcess],
        cpu_us: u64,
    ) -> Outcome {
        let (counts, caches) = (summary.all(), servers.len().saturating_sub(1));
        let tenant = |(i, tenant): (usize, &TenantTraffic)| {
            let counts = summary.tenant(i);
            TenantSummary {
                name: tenant.name.clone(),
                in_time_ratio: counts.in_time_ratio(),
                counts,
            }
        };
        let sum = |of: fn(&ServerReport) -> u64| servers[..caches].iter().map(of).sum::<u64>();
        let (hits, misses) = (sum(|s| s.counts.hits), sum(|s| s.counts.misses));
        let attempts = recorded.rules.figures.attempts;
        let ready: Vec<f64> = balancers
            .iter()
            .flat_map(|b| b.ready_ms.iter().copied())
            .collect();
        let span_us = (self.plan.end() - self.plan.count_from()).max(1) as f64;
        let memory_kb = balancers.iter().map(|b| b.max_memory_kb).max().unwrap_or(0);
        Outcome {
            variant: self.variant.name.clone(),
            seed: self.seed,
            rate: self.plan.clients.traffic.rate,
            in_time_ratio: counts.in_time_ratio(),
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
            latency: latency(&summary.latency),
            served_latency: latency(&summary.served),
            attempts,
            retries: recorded.rules.figures.repeats,
            fetches: servers.last().map_or(0, |origin| origin.counts.commands),
            hit_ratio: hits as f64 / (hits + misses).max(1) as f64,
            max_over_median_load: max_over_median_load(&recorded.attempts[..caches], self.plan),
            cpu_us_per_request: cpu_us as f64 / counts.attempts.max(1) as f64,
            cpu_cores: cpu_us as f64 / span_us / balancers.len().max(1) as f64,
            memory_mb: memory_kb as f64 / 1024.0,
            descriptors: balancers
                .iter()
                .map(|b| b.max_descriptors)
                .max()
                .unwrap_or(0),
            ready_ms: ready.iter().copied().fold(0.0, f64::max),
            samples: samples(summary, recorded.attempts.last()),
            cache_rates: recorded.attempts[..caches]
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

fn samples(summary: &Summary, fetches: Option<&Vec<u32>>) -> Vec<IntervalSample> {
    let each = INTERVAL as f64 / SECOND as f64;
    let sample = |(i, interval): (usize, &crate::summary::Interval)| IntervalSample {
        at_s: i as f64 * each,
        served: interval.served as f64 / each,
        rejected: interval.rejected as f64 / each,
        other: interval.other as f64 / each,
        p50_ms: interval.latency.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: interval.latency.value_at_quantile(0.99) as f64 / 1e3,
        fetches: fetches
            .and_then(|series| series.get(i))
            .map_or(0.0, |n| f64::from(*n) / each),
    };
    summary.over_time.iter().enumerate().map(sample).collect()
}

/// Attempts at the busiest cache over those at the median one, in the counted time.
fn max_over_median_load(attempts: &[Vec<u32>], plan: &Experiment) -> f64 {
    let range = (plan.count_from() / INTERVAL) as usize..(plan.end() / INTERVAL) as usize;
    let of = |series: &Vec<u32>| -> u64 {
        series
            .iter()
            .enumerate()
            .filter(|(i, _)| range.contains(i))
            .map(|(_, n)| u64::from(*n))
            .sum()
    };
    let mut sums: Vec<u64> = attempts.iter().map(of).collect();
    sums.sort_unstable();
    let (Some(worst), Some(median)) = (sums.last(), sums.get(sums.len() / 2)) else {
        return 1.0;
    };
    *worst as f64 / (*median).max(1) as f64
}

/// A run under way.
struct ActiveRun<'a> {
    run: &'a Run<'a>,
    clock: RunClock,
    fleet: Fleet,
    balancers: Vec<BalancerProcess>,
    endpoints: Vec<BalancerEndpoint>,
    event_log: EventLog,
    /// What becomes of stand-ins that people work at.
    maintenance_actions: Rc<RefCell<VecDeque<Act>>>,
    /// Discovery's agents have moved.
    moved: bool,
    /// Processor time of all balancers when counting begins and ends.
    cpu: [Option<u64>; 2],
    live_counters: Arc<LiveCounters>,
}

impl ActiveRun<'_> {
    /// Has the faults come in their time, until all clients are through.
    async fn run_until(&mut self, finished: impl Fn() -> bool) -> io::Result<()> {
        let (steps, _) = self.run.plan.steps(self.run.seed);
        let mut steps: VecDeque<Step> = steps.into();
        let marks = [self.run.plan.count_from(), self.run.plan.end()];
        let mut reported_second = -1;
        while !finished() {
            let now = self.clock.now();
            while steps.front().is_some_and(|step| step.at <= now) {
                if let Some(step) = steps.pop_front() {
                    self.apply(step.act).await?;
                }
            }
            let maintenance_actions = std::mem::take(&mut *self.maintenance_actions.borrow_mut());
            maintenance_actions
                .into_iter()
                .for_each(|act| self.fleet.apply(act));
            self.inspect_processes(now, marks)?;
            if now / SECOND != reported_second {
                reported_second = now / SECOND;
                self.report_progress(now);
            }
            self.event_log.flush_if_due();
            let next = steps
                .front()
                .map(|step| step.at)
                .into_iter()
                .chain(marks.into_iter().filter(|at| *at > now));
            let next = next
                .min()
                .unwrap_or(Micros::MAX)
                .min(now + INSPECT_INTERVAL);
            sleep_until(self.clock.instant(next)).await;
        }
        self.inspect_processes(marks[1], marks)
    }

    fn inspect_processes(&mut self, now: Micros, marks: [Micros; 2]) -> io::Result<()> {
        for balancer in &mut self.balancers {
            balancer.inspect();
            if balancer.should_run && !balancer.is_running() {
                return Err(io::Error::other(format!(
                    "balancer {} has ended by itself",
                    balancer.name()
                )));
            }
        }
        let cpu: u64 = self.balancers.iter().map(BalancerProcess::cpu_us).sum();
        for (mark, at) in self.cpu.iter_mut().zip(marks) {
            if now >= at && mark.is_none() {
                *mark = Some(cpu);
            }
        }
        Ok(())
    }

    fn report_progress(&self, now: Micros) {
        let plan = self.run.plan;
        match self.run.environment.progress {
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
            Progress::Table => self.report_second(now / SECOND),
        }
    }

    /// A line of what was answered since the last one, and of what befell whom.
    fn report_second(&self, second: Micros) {
        let LiveSnapshot {
            served,
            rejected,
            other,
            slowest_us,
            attempts,
        } = self.live_counters.take();
        if second <= 0 {
            let names: String = (0..attempts.len().saturating_sub(1))
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
        let (origin, caches) = attempts
            .split_last()
            .map_or((0, &[][..]), |(origin, caches)| (*origin, caches));
        let caches: String = caches.iter().map(|n| format!("{n:>6}")).collect();
        let notes: String = begins.chain(ends).collect();
        let slowest = slowest_us as f64 / 1e3;
        eprintln!("{second:>4}{served:>8}{rejected:>9}{other:>8}{slowest:>12.1}  {caches}{origin:>8}{notes}");
    }

    async fn apply(&mut self, act: Act) -> io::Result<()> {
        match act {
            Act::KillBalancer { balancer } => {
                self.record_balancer_end(balancer);
                let one = &mut self.balancers[balancer];
                one.should_run = false;
                one.kill().await;
                self.record_balancer_end(balancer);
            }
            Act::StartBalancer { balancer } => self.balancers[balancer].start().await?,
            Act::TermBalancer { balancer } => return self.restart(balancer).await,
            Act::FreezeBalancer { balancer } => self.balancers[balancer].signal(Signal::SIGSTOP),
            Act::ThawBalancer { balancer } => self.balancers[balancer].signal(Signal::SIGCONT),
            Act::MoveDiscovery => {
                self.moved = true;
                self.fleet.apply(act);
                for (i, balancer) in self.balancers.iter().enumerate() {
                    balancer.configure(&self.run.config(i, balancer.address, &self.fleet, true))?;
                    balancer.signal(Signal::SIGHUP);
                }
            }
            _ => self.fleet.apply(act),
        }
        Ok(())
    }

    fn record_balancer_end(&mut self, balancer: usize) {
        let now = self.clock.now();
        self.event_log.record(
            now,
            Seen::BalancerGone {
                balancer: balancer as u16,
            },
        );
    }

    /// Tells one to stop, as at a planned restart, and starts it again once it has ended. What it had taken it has to
    /// answer, so its end excuses nothing.
    async fn restart(&mut self, balancer: usize) -> io::Result<()> {
        let closed = Arc::clone(&self.endpoints[balancer].closed);
        let one = &mut self.balancers[balancer];
        one.should_run = false;
        one.inspect();
        one.signal(Signal::SIGTERM);
        sleep(ENDPOINT_CLOSE_DELAY).await;
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
fn set_key(whole: &mut Value, path: &str, value: Value) {
    let place = path
        .split('.')
        .fold(whole, |at, key| match key.parse::<usize>() {
            Ok(i) if at.get(i).is_some() => &mut at[i],
            _ => &mut at[key],
        });
    *place = value;
}
