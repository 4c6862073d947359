//! The processes of a group in an experiment: started, stopped, paused, restarted without their disk, duplicated, polled
//! for their report of the group and, as operators do, ordered to cordon.
//!
//! Their reports go to the observer (`stairfront_emulator::group_observer`) beside the record of what was really done to them.
mod actions;
mod detection;
mod events;
mod member;
mod outcome;
mod schedule;
mod settings;
mod workers;

pub use outcome::GroupOutcome;
pub use settings::GroupSettings;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::ops::Range;
use std::path::Path;
use std::rc::Rc;

use serde_json::{json, Value};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, to_ms, Micros, MS};
use stairfront_emulator::faults::FaultAction;
use stairfront_emulator::group_observer::{GroupEvent, GroupLimits, GroupObserver, GroupReport};
use stairfront_emulator::group_script::GroupScript;
use stairfront_emulator::links::LinkFault;
use stairfront_emulator::rules::Observation;
use tokio::time::sleep_until;

use crate::clock::RunClock;
use crate::error::RunError;
use crate::event_log::EventLog;
use crate::load::BalancerEndpoint;
use crate::maintenance::manual_baseline::ManualBaseline;
use crate::maintenance::plan_workers::PlanWorkers;
use crate::maintenance::MaintenanceWorkers;
use crate::process::{BalancerProcess, Build};
use crate::relay::Relay;

use detection::DetectionTimes;
use events::MemberMessage;
use member::Member;
use schedule::Schedule;
use settings::MemberAddresses;

/// Longest time between two turns of the run's loop.
const MAX_TURN_INTERVAL: Micros = 20 * MS;

/// A cache host by name and position.
struct OrderedHost {
    name: &'static str,
    index: u16,
}

/// The cache host that all cordon orders of a run name.
const ORDERED_HOST: OrderedHost = OrderedHost {
    name: "c0",
    index: 0,
};

/// The parts that a group is made of.
pub struct BalancerGroupSettings<'a> {
    /// The experiment's settings of the group, as the variant has them.
    pub group: &'a GroupSettings,
    /// Maintenance is done by the script, without plans.
    pub manual_baseline: bool,
    /// Number of cache hosts.
    pub caches: usize,
    /// Queue to the run, of changes to the hosts under maintenance.
    pub host_actions: Rc<RefCell<VecDeque<FaultAction>>>,
    /// The program that all members run.
    pub build: Build,
    /// Folder for configurations, logs and stores.
    pub folder: &'a Path,
    /// Seed of the faults and orders.
    pub seed: u64,
    /// Clock of the run.
    pub clock: RunClock,
    /// Relay between the members.
    pub relay: Relay,
    /// Clients' view of the members.
    pub endpoints: Vec<BalancerEndpoint>,
    /// Where events go for the checker.
    pub event_log: EventLog,
}

/// A fault that is active on some links.
struct ActiveFault {
    pairs: Vec<(usize, usize)>,
    fault: LinkFault,
}

/// A member that is started again at a time.
struct PendingRestart {
    at: Micros,
    member: usize,
}

/// Processor time of all members at a time.
struct CpuSample {
    at: Micros,
    cpu_us: u64,
}

/// A group of balancer processes in a run.
pub struct BalancerGroup {
    settings: GroupSettings,
    clock: RunClock,
    relay: Relay,
    members: Vec<Member>,
    endpoints: Vec<BalancerEndpoint>,
    observer: GroupObserver,
    event_log: EventLog,
    script: GroupScript,
    active_faults: BTreeMap<u64, ActiveFault>,
    build: Build,
    /// Answers of members, to be handled in the next turn.
    messages: Rc<RefCell<VecDeque<MemberMessage>>>,
    rng: SeededRng,
    detection: DetectionTimes,
    outcome: GroupOutcome,
    /// An order to cordon the ordered host was accepted.
    cordoned: bool,
    workers: Option<Box<dyn MaintenanceWorkers>>,
    host_actions: Rc<RefCell<VecDeque<FaultAction>>>,
    hosts_under_maintenance: BTreeSet<String>,
    pending_restarts: Vec<PendingRestart>,
    /// Answers to the workers' calls, to be handled in the next turn.
    call_answers: Vec<events::CallAnswer>,
    /// First sample of the counted time.
    first_cpu: Option<CpuSample>,
    /// Members that could reach no majority when they started, and have not been notified of a cordon since.
    uninformed: BTreeSet<usize>,
}

/// Position of a cache host, by its name.
fn host_index(host: &str) -> Option<u16> {
    host.strip_prefix('c')?.parse().ok()
}

fn maintenance_workers(plan: &BalancerGroupSettings<'_>) -> Option<Box<dyn MaintenanceWorkers>> {
    let members = plan.endpoints.len();
    let settings = plan.group.maintenance.clone()?;
    if plan.manual_baseline {
        let manual = settings.manual?;
        let workers = ManualBaseline::new(&settings, manual, members, plan.caches);
        return Some(Box::new(workers));
    }
    let agrees = plan.group.membership && plan.group.agreement;
    agrees.then(|| Box::new(PlanWorkers::new(settings, members)) as Box<dyn MaintenanceWorkers>)
}

fn make_member(
    plan: &BalancerGroupSettings<'_>,
    member: usize,
    config: impl Fn(usize, SocketAddr) -> Value,
    advertised: &[SocketAddr],
) -> Result<Member, RunError> {
    let folder = plan.folder.join(format!("tmp-b{member}"));
    fs::create_dir_all(&folder)?;
    let address = plan.endpoints[member].address;
    let name = format!("b{member}");
    let mut process = BalancerProcess::new(plan.build.clone(), &name, plan.folder, address);
    process.set_data_folder(&folder);
    let admin_address = plan.relay.admin_address(member);
    let mut config = config(member, address);
    config["ops"] = json!(admin_address);
    let addresses = MemberAddresses {
        listen: plan.relay.process_address(member),
        advertise: plan.relay.advertised(member),
    };
    plan.group
        .configure(&mut config, member, &folder, &addresses, advertised);
    process.configure(&config)?;
    Ok(Member::new(process, folder, admin_address))
}

impl BalancerGroup {
    /// Makes all processes ready to be started. `config` gives a balancer's configuration at its client address.
    ///
    /// # Errors
    ///
    /// A folder or configuration cannot be written.
    pub fn new(
        plan: BalancerGroupSettings<'_>,
        config: impl Fn(usize, SocketAddr) -> Value,
    ) -> Result<BalancerGroup, RunError> {
        let count = plan.endpoints.len();
        let advertised: Vec<SocketAddr> = (0..count).map(|i| plan.relay.advertised(i)).collect();
        let members = (0..count)
            .map(|member| make_member(&plan, member, &config, &advertised))
            .collect::<Result<Vec<Member>, RunError>>()?;
        let names = (0..count).map(|member| format!("b{member}")).collect();
        let limits = GroupLimits {
            recovery_time: from_ms(plan.group.recovery_timeout_s * 1e3),
            ..GroupLimits::default()
        };
        let script = plan.group.script(plan.seed, count);
        let outcome = GroupOutcome {
            script: script.describe(),
            ..GroupOutcome::default()
        };
        Ok(BalancerGroup {
            workers: maintenance_workers(&plan),
            settings: plan.group.clone(),
            clock: plan.clock,
            relay: plan.relay,
            members,
            endpoints: plan.endpoints,
            observer: GroupObserver::new(names, limits),
            event_log: plan.event_log,
            script,
            active_faults: BTreeMap::new(),
            build: plan.build,
            messages: Rc::default(),
            rng: SeededRng::for_part(plan.seed, "operators"),
            detection: DetectionTimes::default(),
            outcome,
            cordoned: false,
            host_actions: plan.host_actions,
            hosts_under_maintenance: BTreeSet::new(),
            pending_restarts: Vec::new(),
            call_answers: Vec::new(),
            first_cpu: None,
            uninformed: BTreeSet::new(),
        })
    }

    /// Starts all members and waits until they are ready.
    ///
    /// # Errors
    ///
    /// A process cannot be started, or is not ready in time.
    pub async fn start(&mut self) -> Result<(), RunError> {
        for member in 0..self.members.len() {
            self.start_member(member)?;
        }
        for member in &mut self.members {
            member.process.wait_until_ready().await?;
        }
        Ok(())
    }

    /// Applies the script's faults in their time, polls members and sends orders, until all clients are finished.
    /// Processor time is counted within `counted`.
    ///
    /// # Errors
    ///
    /// A process ended by itself, or cannot be started again.
    pub async fn run_until(
        &mut self,
        finished: impl Fn() -> bool,
        counted: Range<Micros>,
    ) -> Result<(), RunError> {
        let mut schedule = Schedule::new(&self.script, self.members.len(), self.clock.now());
        schedule.next_order = self.next_order(from_ms(self.settings.first_s * 1e3));
        let junk_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        while !finished() {
            let now = self.clock.now();
            while let Some(action) = schedule.next_action(now) {
                self.apply(action).await?;
            }
            if schedule.faults_have_ended(now) {
                self.observer.observe(now, GroupEvent::FaultsFinished);
                self.workers
                    .iter_mut()
                    .for_each(|workers| workers.faults_ended(now));
            }
            self.run_workers(now).await?;
            if schedule.poll_is_due(now) {
                self.poll_members(now, &counted)?;
            }
            if schedule.order_is_due(now) {
                schedule.next_order = self.next_order(now);
                self.send_order();
            }
            if self.settings.junk_datagrams_per_s > 0.0 && schedule.junk_is_due(now) {
                self.send_junk(&junk_socket);
            }
            self.handle_messages();
            self.event_log.flush_if_due();
            let next = schedule.next_due().min(now + MAX_TURN_INTERVAL);
            sleep_until(self.clock.instant(next)).await;
        }
        Ok(())
    }

    /// Ends all processes; gives the figures and the processes, for their own figures.
    pub async fn finish(mut self) -> (GroupOutcome, Vec<BalancerProcess>) {
        let now = self.clock.now();
        self.handle_messages();
        for member in &mut self.members {
            if let Some(mut duplicate) = member.duplicate.take() {
                duplicate.kill().await;
            }
            member.process.kill().await;
        }
        let members = self.members.into_iter();
        let processes: Vec<BalancerProcess> = members.map(|member| member.process).collect();
        let traffic = self.relay.finish();
        let member_seconds = (to_ms(now) / 1e3).max(1.0) * processes.len().max(1) as f64;
        self.outcome.datagrams_per_s = traffic.datagrams as f64 / member_seconds;
        self.outcome.bytes_per_s = traffic.bytes as f64 / member_seconds;
        self.outcome.maintenance = self.workers.take().map(|workers| workers.finish(now));
        self.outcome.report = match self.settings.membership {
            true => self.observer.finish(now),
            false => GroupReport::default(),
        };
        (self.outcome, processes)
    }

    /// Records that a host was cordoned or uncordoned, for one member or, with none, for all.
    fn record_cordon(&mut self, at: Micros, host: u16, member: Option<usize>, cordoned: bool) {
        let balancer = member.map(|member| member as u16);
        self.event_log.record(
            at,
            Observation::Cordoned {
                host,
                balancer,
                cordoned,
            },
        );
    }
}
