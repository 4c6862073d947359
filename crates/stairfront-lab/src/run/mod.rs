//! One run of an experiment: stand-ins, balancer processes and clients are started, faults are applied in their time, and
//! what all of them saw is put together.
mod active;
mod outcome;
mod progress;

pub use outcome::{IntervalSample, Latency, Outcome, TenantSummary};
pub use progress::Progress;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{json, Value};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, to_ms, Micros};
use stairfront_emulator::rules::RuleLimits;

use crate::balancer_group::{BalancerGroup, BalancerGroupSettings, GroupSettings};
use crate::clock::RunClock;
use crate::error::RunError;
use crate::event_log::{record, EventLog, EventSender, RecordedRun};
use crate::experiment::{Experiment, Variant};
use crate::fleet::Fleet;
use crate::live_counters::LiveCounters;
use crate::load::{self, BalancerEndpoint, LoadPlan};
use crate::local_runtime::run_local;
use crate::process::{free_address, BalancerProcess, Build};
use crate::relay::Relay;
use crate::summary::Summary;

use active::{ActiveRun, CountedCpu};
use outcome::RunRecords;
use progress::ProgressReport;

/// Requests a second that one thread of clients carries with capacity to spare.
const REQUESTS_PER_THREAD: f64 = 40_000.0;
const MAX_CLIENT_THREADS: f64 = 4.0;
/// Time for the start of the stand-ins.
const START_DELAY: Duration = Duration::from_millis(300);
/// Time for the start of each balancer.
const START_DELAY_PER_BALANCER: Duration = Duration::from_millis(150);

/// Where programs are found and files are put.
#[derive(Clone, Debug)]
pub struct RunEnvironment {
    /// This build's balancer.
    pub balancer: Build,
    /// Program of the baselines.
    pub baseline: PathBuf,
    /// Folder in which each run makes one of its own.
    pub folder: PathBuf,
    /// How much is printed while a run goes on.
    pub progress: Progress,
}

/// Runs an experiment once, at `rate` requests a second. Blocks until the run is finished; processes, threads and files
/// are removed then, but for the balancers' logs where a rule broke.
///
/// # Errors
///
/// Something could not be started, or a balancer ended by itself.
pub fn run(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    rate: f64,
    environment: &RunEnvironment,
) -> Result<Outcome, RunError> {
    // Two runs at once in one process would write each other's configurations, so each has a number.
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("run-{}-{number}", std::process::id());
    let folder = environment.folder.join(name);
    fs::create_dir_all(&folder)?;
    let mut plan = experiment.clone();
    plan.clients.traffic.rate = rate;
    let run = Run {
        plan: &plan,
        variant,
        seed,
        environment,
        folder: &folder,
    };
    let outcome = run_local(run.execute())?;
    if outcome.as_ref().is_ok_and(Outcome::holds) {
        // A folder that stays costs only space.
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

impl Run<'_> {
    async fn execute(&self) -> Result<Outcome, RunError> {
        let (event_sender, events) = mpsc::channel();
        let limits = self.limits();
        let hosts = usize::from(limits.origin) + 1;
        let live_counters = Arc::new(LiveCounters::new(hosts));
        let counters = Arc::clone(&live_counters);
        let recorder = std::thread::spawn(move || record(events, limits, hosts, &counters));
        let count = self.plan.balancers.count;
        let clock = RunClock::starting_in(START_DELAY + START_DELAY_PER_BALANCER * count as u32);
        let fleet = Fleet::start(self.plan.fleet_plan(self.seed), clock, &event_sender)?;
        let balancers = self.start_balancers(&fleet).await?;
        check_ready(clock)?;
        let group = self.group_settings();
        let relay = self.start_relay(group.as_ref(), clock)?;
        let endpoints = self.endpoints(&fleet, &balancers, relay.as_ref());
        let maintenance_actions = Rc::new(RefCell::new(VecDeque::new()));
        let mut balancer_group = None;
        if let (Some(group), Some(relay)) = (&group, relay) {
            let settings = BalancerGroupSettings {
                group,
                manual_baseline: self.variant.manual_baseline,
                caches: self.plan.fleet.caches,
                host_actions: Rc::clone(&maintenance_actions),
                build: self.build(),
                folder: self.folder,
                seed: self.seed,
                clock,
                relay,
                endpoints: endpoints.clone(),
                event_log: EventLog::new(clock, event_sender.clone()),
            };
            balancer_group = Some(self.start_group(settings, &fleet).await?);
        }
        check_ready(clock)?;
        let load_plan = self.load_plan(endpoints.clone(), Arc::clone(&live_counters));
        let load = start_load(load_plan, clock, event_sender.clone());
        let mut active = ActiveRun {
            run: self,
            clock,
            fleet,
            balancers,
            endpoints,
            event_log: EventLog::new(clock, event_sender),
            maintenance_actions,
            cpu: CountedCpu::default(),
            progress: ProgressReport::new(self, live_counters),
        };
        self.run_until_finished(&mut active, balancer_group.as_mut(), &load)
            .await?;
        let summary = load.join().map_err(|_| RunError::ClientsEnded)??;
        self.finish(active, balancer_group, recorder, summary).await
    }

    async fn run_until_finished(
        &self,
        active: &mut ActiveRun<'_>,
        group: Option<&mut BalancerGroup>,
        load: &JoinHandle<io::Result<Summary>>,
    ) -> Result<(), RunError> {
        let finished = || load.is_finished();
        match group {
            Some(group) => {
                let group = group.run_until(finished, self.counted());
                tokio::try_join!(active.run_until(finished), group)?;
                Ok(())
            }
            None => active.run_until(finished).await,
        }
    }

    /// Ends all processes and threads and puts the figures together.
    async fn finish(
        &self,
        active: ActiveRun<'_>,
        group: Option<BalancerGroup>,
        recorder: JoinHandle<RecordedRun>,
        summary: Summary,
    ) -> Result<Outcome, RunError> {
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
        let mut cpu_us = cpu.used_us();
        let mut group_outcome = None;
        if let Some(group) = group {
            let (outcome, processes) = group.finish().await;
            let seconds = to_ms(self.plan.end() - self.plan.count_from()) / 1e3;
            cpu_us = (outcome.cpu_us_per_s * seconds * processes.len() as f64) as u64;
            balancers = processes;
            group_outcome = Some(outcome);
        }
        let servers = fleet.end();
        // The recorder ends when the last event log has.
        drop(event_log);
        let recorded = recorder.join().map_err(|_| RunError::CheckerEnded)?;
        Ok(Outcome::new(RunRecords {
            plan: self.plan,
            variant: &self.variant.name,
            seed: self.seed,
            summary,
            recorded,
            servers,
            balancers,
            cpu_us,
            group: group_outcome,
        }))
    }

    /// The time in which figures are counted.
    fn counted(&self) -> Range<Micros> {
        self.plan.count_from()..self.plan.end()
    }

    fn build(&self) -> Build {
        match (&self.variant.baseline, &self.variant.program) {
            (Some(policy), _) => Build {
                program: self.environment.baseline.clone(),
                arguments: vec!["--policy".to_string(), policy.clone()],
            },
            (None, Some(program)) => Build {
                program: program.clone(),
                arguments: Vec::new(),
            },
            (None, None) => self.environment.balancer.clone(),
        }
    }

    /// A balancer's configuration in the platform's form; `moved` once discovery is at its second address.
    fn config(&self, balancer: usize, listen: SocketAddr, fleet: &Fleet, moved: bool) -> Value {
        let settings = &self.plan.balancers;
        let rate = self.plan.clients.traffic.rate;
        let seed = self.seed.wrapping_mul(31).wrapping_add(balancer as u64);
        let mut config = json!({
            "name": format!("b{balancer}"),
            "listen": listen.to_string(),
            "discovery": fleet.agent(balancer, moved).to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": settings.memory_mb, "sockets": settings.sockets},
            "known": fleet.initial_list(balancer),
            "settings": self.plan.balancer_settings(balancer, rate)
        });
        for (key, value) in &self.variant.set {
            set_key(&mut config, key, json!(value));
        }
        config
    }

    /// Starts the balancers that are not members of a group.
    async fn start_balancers(&self, fleet: &Fleet) -> Result<Vec<BalancerProcess>, RunError> {
        let mut rng = SeededRng::for_part(self.seed ^ u64::from(std::process::id()), "ports");
        let mut balancers = Vec::new();
        if self.variant.direct || self.plan.group.is_some() {
            return Ok(balancers);
        }
        for i in 0..self.plan.balancers.count {
            let address = free_address(&mut rng)?;
            let name = format!("b{i}");
            let mut balancer = BalancerProcess::new(self.build(), &name, self.folder, address);
            balancer.configure(&self.config(i, address, fleet, false))?;
            balancer.start().await?;
            balancers.push(balancer);
        }
        Ok(balancers)
    }

    /// The group's settings as the variant has them.
    fn group_settings(&self) -> Option<GroupSettings> {
        let variant = self.variant;
        self.plan.group.as_ref().map(|group| GroupSettings {
            membership: group.membership && !variant.no_membership && !variant.manual_baseline,
            agreement: group.agreement && !variant.no_agreement,
            ..group.clone()
        })
    }

    fn start_relay(
        &self,
        group: Option<&GroupSettings>,
        clock: RunClock,
    ) -> io::Result<Option<Relay>> {
        let needed = group.is_some() && !self.variant.direct;
        let start = || Relay::start(self.plan.balancers.count, self.seed, clock);
        needed.then(start).transpose()
    }

    async fn start_group(
        &self,
        settings: BalancerGroupSettings<'_>,
        fleet: &Fleet,
    ) -> Result<BalancerGroup, RunError> {
        let config = |member, listen| self.config(member, listen, fleet, false);
        let mut group = BalancerGroup::new(settings, config)?;
        group.start().await?;
        Ok(group)
    }

    /// Addresses that clients connect to.
    fn endpoints(
        &self,
        fleet: &Fleet,
        balancers: &[BalancerProcess],
        relay: Option<&Relay>,
    ) -> Vec<BalancerEndpoint> {
        let members = 0..self.plan.balancers.count;
        let addresses: Vec<SocketAddr> = match relay {
            _ if self.variant.direct => fleet.hosts().to_vec(),
            Some(relay) => members.map(|member| relay.client_address(member)).collect(),
            None => balancers.iter().map(|balancer| balancer.address).collect(),
        };
        let endpoint = |address| BalancerEndpoint {
            address,
            closed: Arc::default(),
        };
        addresses.into_iter().map(endpoint).collect()
    }

    fn limits(&self) -> RuleLimits {
        let classes = self.plan.classes.iter();
        RuleLimits {
            grace: from_ms(self.plan.balancers.grace_ms),
            max_attempts: usize::from(self.plan.balancers.max_attempts),
            classes: classes.map(|class| class.idempotency).collect(),
            origin: self.plan.fleet.caches as u16,
            ..RuleLimits::default()
        }
    }

    fn load_plan(
        &self,
        balancers: Vec<BalancerEndpoint>,
        live_counters: Arc<LiveCounters>,
    ) -> LoadPlan {
        let clients = &self.plan.clients;
        let traffic = clients.traffic.clone();
        let needed_threads = (traffic.rate / REQUESTS_PER_THREAD).ceil();
        let threads = match clients.threads {
            0 => needed_threads.clamp(1.0, MAX_CLIENT_THREADS) as usize,
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
}

fn start_load(
    plan: LoadPlan,
    clock: RunClock,
    events: EventSender,
) -> JoinHandle<io::Result<Summary>> {
    std::thread::spawn(move || load::run(&plan, clock, &events))
}

fn check_ready(clock: RunClock) -> Result<(), RunError> {
    match clock.now() {
        ..0 => Ok(()),
        _ => Err(RunError::NotReady),
    }
}

/// Sets a key by its path, such as `limits.sockets`; what is missing on the way is made.
fn set_key(config: &mut Value, path: &str, value: Value) {
    let place = path.split('.').fold(config, child);
    *place = value;
}

/// A child by its key, or by its index in a list that is long enough.
fn child<'a>(parent: &'a mut Value, key: &str) -> &'a mut Value {
    match key.parse::<usize>() {
        Ok(i) if parent.get(i).is_some() => &mut parent[i],
        _ => &mut parent[key],
    }
}
