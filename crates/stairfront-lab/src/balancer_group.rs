//! The processes of a group in an experiment: started, stopped, paused, restarted without their disk, doubled; asked for
//! their account of the group and, as operators do, for cordons. What they say goes to the observer
//! (`stairfront_emulator::group`) beside what was really done to them.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use stairfront_emulator::dice::Dice;
use stairfront_emulator::faults::Act as FleetAct;
use stairfront_emulator::group::{Account, GroupLimits, GroupObserver, GroupReport, Sign};
use stairfront_emulator::group_script::{Budget, GroupAct, GroupScript, TimedTrouble};
use stairfront_emulator::links::LinkFault;
use stairfront_emulator::rules::Seen;
use stairfront_emulator::time::{from_ms, to_ms, Micros, MS, SECOND};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use crate::clock::RunClock;
use crate::event_log::EventLog;
use crate::load::BalancerEndpoint;
use crate::maintenance_work::{
    MaintenanceOutcome, MaintenanceSettings, MaintenanceWorkers, PlanWorkers, WorkerAction,
};
use crate::manual_baseline::ManualBaseline;
use crate::process::{BalancerProcess, Build};
use crate::relay::Relay;

/// Between two questions to each process; longer where there are many.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const POLL_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(4);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_ANSWER_BYTES: u64 = 1 << 20;
/// A verdict that took longer is told by itself, and so many of them.
const SLOW_DETECTION_MS: f64 = 5_000.0;
const MAX_SLOW_DETECTIONS: usize = 64;
/// Members that others are given as seeds.
const SEED_MEMBERS: usize = 3;

/// The part of an experiment that makes its balancers a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    /// False: the processes know nothing of each other, and the same befalls them.
    #[serde(rename = "knows")]
    pub membership: bool,
    /// Troubles as they stand here.
    pub troubles: Vec<TimedTrouble>,
    /// Troubles drawn from the run's seed, from `first_s` on.
    #[serde(rename = "drawn")]
    pub random_faults: Option<Budget>,
    pub first_s: f64,
    /// Time between two orders for the group by operators, on average; 0 for none.
    #[serde(rename = "orders_every_s")]
    pub order_interval_s: f64,
    /// How long after the last trouble all have to be whole and agree.
    #[serde(rename = "whole_again_s")]
    pub recovery_timeout_s: f64,
    /// Rubbish datagrams a second at every member's address.
    #[serde(rename = "rubbish_per_s")]
    pub junk_datagrams_per_s: f64,
    /// Other times of `[membership]`, such as `probe_ms`.
    #[serde(rename = "times")]
    pub membership_times: BTreeMap<String, f64>,
    /// Plans of maintenance, which the balancers agree on.
    pub maintenance: Option<MaintenanceSettings>,
    /// False: they know each other, and agree on nothing.
    #[serde(rename = "agrees")]
    pub agreement: bool,
}

impl Default for Group {
    fn default() -> Self {
        Group {
            membership: true,
            troubles: Vec::new(),
            random_faults: None,
            first_s: 6.0,
            order_interval_s: 0.0,
            recovery_timeout_s: 8.0,
            junk_datagrams_per_s: 0.0,
            membership_times: BTreeMap::new(),
            maintenance: None,
            agreement: true,
        }
    }
}

impl Group {
    pub fn script(&self, seed: u64, members: usize) -> GroupScript {
        let random_faults = self
            .random_faults
            .map(|budget| GroupScript::draw(seed, members, budget, from_ms(self.first_s * 1e3)));
        let mut script = random_faults.unwrap_or(GroupScript {
            members,
            troubles: Vec::new(),
        });
        script.troubles.extend(self.troubles.iter().cloned());
        script.troubles.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        script
    }

    /// The keys of a balancer's configuration that make it a member.
    fn configure(
        &self,
        config: &mut Value,
        who: usize,
        folder: &Path,
        host_index: (SocketAddr, SocketAddr),
        all: &[SocketAddr],
    ) {
        if !self.membership {
            return;
        }
        let roster: Vec<String> = (0..all.len()).map(|i| format!("b{i}")).collect();
        let seeds: Vec<&SocketAddr> = all.iter().take(SEED_MEMBERS).collect();
        let (listen, advertise) = host_index;
        config["name"] = json!(format!("b{who}"));
        config["membership"] = json!({"group": "lab", "listen": listen, "advertise": advertise, "seeds": seeds, "roster": roster});
        for (key, value) in &self.membership_times {
            config["membership"][key] = json!(value);
        }
        config["settings"]["caps"]["peer_messages"] = json!(true);
        if let Some(plan) = self.maintenance.as_ref().filter(|_| self.agreement) {
            let voters: Vec<String> = (0..plan.voters).map(|i| format!("b{i}")).collect();
            config["agreement"] = json!({"voters": voters});
            if plan.disks && who < plan.voters {
                config["agreement"]["store"] = json!(folder.join("agreement.redb"));
            }
        }
    }
}

/// What a group's run has to show, beside the observer's report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupOutcome {
    #[serde(flatten)]
    pub report: GroupReport,
    pub script: Vec<String>,
    /// From a kill to each other member's own verdict, by its own word for how long it holds, in milliseconds.
    pub detected_ms: Vec<f64>,
    /// Verdicts that took over 5 s, in words.
    #[serde(rename = "slow_verdicts")]
    pub slow_detections: Vec<String>,
    /// From a kill until the last of the others had it.
    pub detected_by_all_ms: Vec<f64>,
    /// From a wake until all others have the woken one alive.
    #[serde(rename = "woken_ms")]
    pub wake_detected_ms: Vec<f64>,
    /// Orders by operators: with a yes, and with a no.
    #[serde(rename = "orders_yes")]
    pub orders_accepted: u64,
    #[serde(rename = "orders_no")]
    pub orders_rejected: u64,
    /// Over the relay, a second and a member.
    pub datagrams_per_s: f64,
    pub bytes_per_s: f64,
    /// Processor time of all processes, microseconds a second and a process.
    pub cpu_us_per_s: f64,
    /// What the people who work by plans saw.
    #[serde(rename = "work")]
    pub maintenance: Option<MaintenanceOutcome>,
}

struct Member {
    process: BalancerProcess,
    duplicate: Option<BalancerProcess>,
    folder: PathBuf,
    admin_address: SocketAddr,
    up: bool,
    paused: bool,
    /// It is at its second address.
    moved: bool,
    incarnation: u64,
    /// It was started then.
    started_at: Micros,
}

pub struct BalancerGroupSettings<'a> {
    pub group: &'a Group,
    /// The people work by hand.
    pub manual_baseline: bool,
    pub caches: usize,
    /// Where the run is told what becomes of stand-ins that are worked at.
    pub hosts: Rc<RefCell<VecDeque<FleetAct>>>,
    pub build: Build,
    pub folder: &'a Path,
    pub seed: u64,
    pub clock: RunClock,
    pub relay: Relay,
}

pub struct BalancerGroup {
    group: Group,
    clock: RunClock,
    relay: Relay,
    members: Vec<Member>,
    endpoints: Vec<BalancerEndpoint>,
    observer: GroupObserver,
    event_log: EventLog,
    script: GroupScript,
    active_faults: BTreeMap<u64, (Vec<(usize, usize)>, LinkFault)>,
    build: Build,
    /// Members' last accounts: when, of which life, what.
    events: Rc<RefCell<VecDeque<GroupEvent>>>,
    rng: Dice,
    kills: Vec<(usize, Micros, BTreeMap<usize, f64>)>,
    wakes: Vec<(usize, Micros)>,
    outcome: GroupOutcome,
    /// The host of all orders is held out by a yes.
    cordoned: bool,
    workers: Option<Box<dyn MaintenanceWorkers>>,
    /// Stand-ins that work was done at, to be ended or started.
    hosts: Rc<RefCell<VecDeque<FleetAct>>>,
    /// Hosts that are worked at.
    hosts_under_maintenance: BTreeSet<String>,
    /// Balancers that are started again then, after they were told to stop.
    pending_restarts: Vec<(Micros, usize)>,
    /// Of calls that the people made.
    answers: Vec<(u64, AdminAnswer)>,
    cpu_at: Option<(Micros, u64)>,
    /// Members that started where they could ask nobody what is held, and were told of nothing since.
    uninformed: BTreeSet<usize>,
}

/// Status and body of a door's answer; none where nobody answered.
type AdminAnswer = Option<(u16, Vec<u8>)>;

enum GroupEvent {
    Account {
        who: usize,
        incarnation: u64,
        at: Micros,
        account: Account,
    },
    OrderAnswered {
        yes: bool,
        cordon: bool,
    },
    CallAnswered {
        number: u64,
        answer: AdminAnswer,
    },
}

/// A balancer that is told to stop for work is started again after this.
const RESTART_DELAY: Micros = 1500 * MS;

fn maintenance_workers(
    group: &Group,
    manual_baseline: bool,
    members: usize,
    caches: usize,
) -> Option<Box<dyn MaintenanceWorkers>> {
    let plan = group.maintenance.clone()?;
    if manual_baseline {
        let manual = plan.manual?;
        return Some(Box::new(ManualBaseline::new(plan, manual, members, caches)));
    }
    let agreement = group.membership && group.agreement;
    agreement.then(|| Box::new(PlanWorkers::new(plan, members)) as Box<dyn MaintenanceWorkers>)
}

/// The position of a cache host, by its name.
fn host_index(host: &str) -> Option<u16> {
    host.strip_prefix('c')?.parse().ok()
}

/// The cache host that operators of a run take out, and its position.
const ORDERED_HOST: (&str, u16) = ("c0", 0);

impl BalancerGroup {
    /// Makes all processes ready to be started. `config` gives a balancer's configuration at its client address.
    pub fn new(
        plan: BalancerGroupSettings<'_>,
        endpoints: Vec<BalancerEndpoint>,
        event_log: EventLog,
        config: impl Fn(usize, SocketAddr) -> Value,
    ) -> io::Result<BalancerGroup> {
        let BalancerGroupSettings {
            group,
            manual_baseline,
            caches,
            hosts,
            build,
            folder,
            seed,
            clock,
            relay,
        } = plan;
        let count = endpoints.len();
        let all: Vec<SocketAddr> = (0..count).map(|who| relay.advertised(who)).collect();
        let mut members = Vec::new();
        for (who, endpoint) in endpoints.iter().enumerate() {
            let own = folder.join(format!("tmp-b{who}"));
            fs::create_dir_all(&own)?;
            let mut process =
                BalancerProcess::new(build.clone(), &format!("b{who}"), folder, endpoint.address);
            process.set_data_folder(&own);
            let mut config_json = config(who, endpoint.address);
            let [_, admin_address] = relay.client_and_admin_addresses(who);
            config_json["ops"] = json!(admin_address);
            group.configure(
                &mut config_json,
                who,
                &own,
                (relay.process_address(who), relay.advertised(who)),
                &all,
            );
            process.configure(&config_json)?;
            members.push(Member {
                process,
                duplicate: None,
                folder: own,
                admin_address,
                up: false,
                paused: false,
                moved: false,
                incarnation: 0,
                started_at: Micros::MIN,
            });
        }
        let names = (0..count).map(|who| format!("b{who}")).collect();
        let whole_again = from_ms(group.recovery_timeout_s * 1e3);
        let observer = GroupObserver::new(
            names,
            GroupLimits {
                whole_again,
                ..GroupLimits::default()
            },
        );
        let script = group.script(seed, count);
        Ok(BalancerGroup {
            group: group.clone(),
            clock,
            relay,
            members,
            endpoints,
            observer,
            event_log,
            outcome: GroupOutcome {
                script: script.words(),
                ..GroupOutcome::default()
            },
            script,
            active_faults: BTreeMap::new(),
            build,
            events: Rc::default(),
            rng: Dice::new(seed, "operators"),
            kills: Vec::new(),
            wakes: Vec::new(),
            cordoned: false,
            workers: maintenance_workers(group, manual_baseline, count, caches),
            hosts,
            hosts_under_maintenance: BTreeSet::new(),
            pending_restarts: Vec::new(),
            answers: Vec::new(),
            cpu_at: None,
            uninformed: BTreeSet::new(),
        })
    }

    pub async fn start(&mut self) -> io::Result<()> {
        for who in 0..self.members.len() {
            self.start_one(who)?;
        }
        for member in &mut self.members {
            member.process.wait_until_ready().await?;
        }
        Ok(())
    }

    fn start_one(&mut self, who: usize) -> io::Result<()> {
        let now = self.clock.now();
        let member = &mut self.members[who];
        if member.up {
            return Ok(());
        }
        member.process.launch()?;
        (member.up, member.paused) = (true, false);
        member.incarnation += 1;
        member.started_at = now;
        self.endpoints[who].closed.store(false, Ordering::Relaxed);
        self.observer.hear(now, Sign::Up { who });
        // One that starts where it can ask nobody serves by its own list, as its page says: nothing is held against it
        // before it has been told.
        self.uninformed.remove(&who);
        if !self.observer.can_ask(now, who) {
            self.uninformed.insert(who);
            let hosts = self.cordoned.then_some(ORDERED_HOST.1).into_iter().chain(
                self.hosts_under_maintenance
                    .iter()
                    .filter_map(|host| host_index(host)),
            );
            for host in hosts.collect::<Vec<u16>>() {
                self.event_log.record(
                    now,
                    Seen::Barred {
                        host,
                        balancer: Some(who as u16),
                        on: false,
                    },
                );
            }
        }
        Ok(())
    }

    /// Has the script's acts come in their time, asks and orders, until all clients are through.
    pub async fn run_until(
        &mut self,
        finished: impl Fn() -> bool,
        counted: [Micros; 2],
    ) -> io::Result<()> {
        let mut acts: VecDeque<(Micros, GroupAct)> = self.script.acts().into();
        let ends = self.script.ends();
        let poll_interval = (POLL_INTERVAL
            .max(POLL_INTERVAL_PER_MEMBER * self.members.len() as u32))
        .as_micros() as Micros;
        let mut next_poll = self.clock.now();
        let mut next_order = self.next_order(from_ms(self.group.first_s * 1e3));
        let mut next_junk = 0;
        let mut quiet = false;
        let junk_socket = std::net::UdpSocket::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        while !finished() {
            let now = self.clock.now();
            while acts.front().is_some_and(|(at, _)| *at <= now) {
                if let Some((_, act)) = acts.pop_front() {
                    self.apply(act).await?;
                }
            }
            if !quiet && now >= ends && acts.is_empty() && now >= 0 {
                quiet = true;
                self.observer.hear(now, Sign::Quiet);
                self.workers
                    .iter_mut()
                    .for_each(|workers| workers.faults_ended(now));
            }
            self.run_workers(now).await?;
            if now >= next_poll {
                next_poll = now + poll_interval;
                self.poll_members(now, counted)?;
            }
            if next_order.is_some_and(|at| at <= now) && !quiet {
                next_order = self.next_order(now);
                self.send_order();
            }
            if self.group.junk_datagrams_per_s > 0.0 && now >= next_junk {
                next_junk = now + 10 * MS;
                self.send_junk(&junk_socket);
            }
            self.handle_events();
            self.event_log.flush_if_due();
            let next = acts
                .front()
                .map_or(Micros::MAX, |(at, _)| *at)
                .min(next_poll);
            let next = next
                .min(next_order.unwrap_or(Micros::MAX))
                .min(now + 20 * MS);
            sleep_until(self.clock.instant(next)).await;
        }
        Ok(())
    }

    /// Has the people who work by plans do what is due.
    async fn run_workers(&mut self, now: Micros) -> io::Result<()> {
        let Some(mut workers) = self.workers.take() else {
            return Ok(());
        };
        let up: Vec<usize> = (0..self.members.len())
            .filter(|who| self.members[*who].up && !self.members[*who].paused)
            .collect();
        let mut acts = Vec::new();
        if !up.is_empty() {
            let of = up[self.rng.below(up.len() as u64) as usize];
            acts.extend(workers.tick(now, of).into_iter().map(|act| (of, act)));
        }
        for (number, answer) in std::mem::take(&mut self.answers) {
            acts.extend(
                workers
                    .handle_answer(now, number, answer)
                    .into_iter()
                    .map(|act| (0, act)),
            );
        }
        self.workers = Some(workers);
        for (of, act) in acts {
            match act {
                WorkerAction::Call {
                    number,
                    method,
                    path,
                    body,
                } => self.send_call(of, number, method, path, body),
                WorkerAction::CallMember {
                    member,
                    number,
                    method,
                    path,
                } => {
                    self.send_call(member, number, method, path, String::new());
                }
                WorkerAction::SetUnderMaintenance { host, on } => {
                    let Some(host_index) = host_index(&host) else {
                        continue;
                    };
                    if on {
                        self.hosts_under_maintenance.insert(host);
                    } else {
                        self.hosts_under_maintenance.remove(&host);
                    }
                    self.event_log.record(
                        now,
                        Seen::Barred {
                            host: host_index,
                            balancer: None,
                            on,
                        },
                    );
                    // One that has left on purpose is not waited for. Back where it can still ask nobody, it serves by what
                    // it has, and nobody can tell it.
                    self.uninformed
                        .retain(|who| !self.observer.can_ask(now, *who));
                    for who in self.uninformed.iter().filter(|_| on) {
                        let balancer = Some(*who as u16);
                        self.event_log.record(
                            now,
                            Seen::Barred {
                                host: host_index,
                                balancer,
                                on: false,
                            },
                        );
                    }
                    if self
                        .group
                        .maintenance
                        .as_ref()
                        .is_some_and(|plan| plan.restarts)
                    {
                        let host = usize::from(host_index);
                        let act = if on {
                            FleetAct::Kill { host }
                        } else {
                            FleetAct::Start { host }
                        };
                        self.hosts.borrow_mut().push_back(act);
                    }
                }
                WorkerAction::Restart { plan, balancer } => {
                    let who = balancer
                        .strip_prefix('b')
                        .and_then(|who| who.parse::<usize>().ok());
                    // Danger: one that is held still just now would never be restarted, and its plan never end.
                    match who.filter(|who| up.contains(who)) {
                        Some(who) => {
                            self.apply(GroupAct::Term { who }).await?;
                            self.pending_restarts.push((now + RESTART_DELAY, who));
                        }
                        None => self
                            .workers
                            .iter_mut()
                            .for_each(|workers| workers.restart_refused(plan, &balancer)),
                    }
                }
            }
        }
        let due: Vec<usize> = self
            .pending_restarts
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, who)| *who)
            .collect();
        self.pending_restarts.retain(|(at, _)| *at > now);
        for who in due {
            self.apply(GroupAct::Start { who }).await?;
        }
        Ok(())
    }

    fn send_call(
        &self,
        member: usize,
        number: u64,
        method: &'static str,
        path: String,
        body: String,
    ) {
        let (events, admin_address) = (Rc::clone(&self.events), self.members[member].admin_address);
        spawn_local(async move {
            let answer = call_with(admin_address, method, &path, &body).await.ok();
            events
                .borrow_mut()
                .push_back(GroupEvent::CallAnswered { number, answer });
        });
    }

    fn next_order(&mut self, now: Micros) -> Option<Micros> {
        let every = self.group.order_interval_s;
        (every > 0.0 && self.group.membership)
            .then(|| now + from_ms(every * 1e3 * (0.5 + self.rng.unit())))
    }

    async fn apply(&mut self, act: GroupAct) -> io::Result<()> {
        let now = self.clock.now();
        match act {
            GroupAct::Lay {
                number,
                pairs,
                fault,
            } => {
                self.relay.add_fault(number, pairs.clone(), fault);
                let sign = Sign::Hurt {
                    pairs: pairs.clone(),
                    cut: fault.cuts(),
                    mild: fault.is_mild(),
                };
                self.active_faults.insert(number, (pairs, fault));
                self.observer.hear(now, sign);
            }
            GroupAct::Lift { number } => {
                self.relay.remove_fault(number);
                if let Some((pairs, fault)) = self.active_faults.remove(&number) {
                    let sign = Sign::Healed {
                        pairs,
                        cut: fault.cuts(),
                        mild: fault.is_mild(),
                    };
                    self.observer.hear(now, sign);
                }
            }
            GroupAct::Kill { who, empty } => self.kill(who, empty).await,
            GroupAct::Term { who } => {
                self.endpoints[who].closed.store(true, Ordering::Relaxed);
                self.members[who].process.signal(Signal::SIGTERM);
                self.members[who].process.should_run = false;
                // Danger: its end is seen a look later than the others hear that it has left.
                self.observer.hear(now, Sign::Paused { who });
            }
            GroupAct::Start { who } => {
                if !self.members[who].process.should_run && self.members[who].up {
                    // Told to stop before: by now it has ended, or is ended.
                    self.kill(who, false).await;
                }
                self.start_one(who)?;
            }
            GroupAct::Pause { who } => {
                if self.members[who].up && !self.members[who].paused {
                    self.members[who].paused = true;
                    self.endpoints[who].closed.store(true, Ordering::Relaxed);
                    self.members[who].process.signal(Signal::SIGSTOP);
                    self.event_log.record(
                        now,
                        Seen::BalancerStill {
                            balancer: who as u16,
                            still: true,
                        },
                    );
                    self.observer.hear(now, Sign::Paused { who });
                }
            }
            GroupAct::Wake { who } => {
                if self.members[who].paused {
                    self.members[who].paused = false;
                    self.members[who].process.signal(Signal::SIGCONT);
                    self.endpoints[who].closed.store(false, Ordering::Relaxed);
                    self.event_log.record(
                        now,
                        Seen::BalancerStill {
                            balancer: who as u16,
                            still: false,
                        },
                    );
                    self.observer.hear(now, Sign::Woke { who });
                    self.wakes.push((who, now));
                }
            }
            // Without a membership there is no address to move, and no name to share.
            GroupAct::Move { .. } | GroupAct::StartNamesake { .. } if !self.group.membership => {}
            GroupAct::Move { who } => {
                let member = &mut self.members[who];
                member.moved ^= true;
                let host_index = who
                    + if member.moved {
                        self.endpoints.len()
                    } else {
                        0
                    };
                let mut config_json: Value =
                    serde_json::from_str(&fs::read_to_string(member.process.config())?)?;
                config_json["membership"]["listen"] = json!(self.relay.process_address(host_index));
                config_json["membership"]["advertise"] = json!(self.relay.advertised(host_index));
                member.process.configure(&config_json)?;
            }
            GroupAct::StartNamesake { who } => self.start_duplicate(who)?,
            GroupAct::StopNamesake { who } => {
                if let Some(mut duplicate) = self.members[who].duplicate.take() {
                    duplicate.kill().await;
                    self.observer.hear(now, Sign::Doubled { who, on: false });
                }
            }
        }
        Ok(())
    }

    async fn kill(&mut self, who: usize, empty: bool) {
        let now = self.clock.now();
        let member = &mut self.members[who];
        if !member.up {
            return;
        }
        let told = !member.process.should_run;
        self.event_log.record(
            now,
            Seen::BalancerGone {
                balancer: who as u16,
            },
        );
        if member.paused {
            self.event_log.record(
                now,
                Seen::BalancerStill {
                    balancer: who as u16,
                    still: false,
                },
            );
        }
        member.process.kill().await;
        (member.up, member.paused) = (false, false);
        self.event_log.record(
            self.clock.now(),
            Seen::BalancerGone {
                balancer: who as u16,
            },
        );
        self.observer.hear(now, Sign::Down { who });
        if !told {
            self.kills.push((who, now, BTreeMap::new()));
        }
        let has_disk = self
            .workers
            .as_ref()
            .is_some_and(|workers| workers.has_disks());
        if let Some(workers) = self.workers.as_mut().filter(|_| empty || !has_disk) {
            workers.disk_lost(now, who);
        }
        if empty {
            let folder = self.members[who].folder.clone();
            let _ = fs::remove_dir_all(&folder);
            let _ = fs::create_dir_all(&folder);
            // What no process and no disk has is lost: an order is kept by those that live.
            if self.members.iter().all(|member| !member.up) {
                self.release_host(now);
            }
        }
    }

    /// A second process with a name that is in use, with its configuration at other addresses.
    fn start_duplicate(&mut self, who: usize) -> io::Result<()> {
        let count = self.members.len();
        let member = &mut self.members[who];
        let mut config_json: Value =
            serde_json::from_str(&fs::read_to_string(member.process.config())?)?;
        let [address, admin_address] = self.relay.client_and_admin_addresses(count + who);
        config_json["listen"] = json!(address);
        config_json["ops"] = json!(admin_address);
        let host_index = if member.moved { who } else { count + who };
        config_json["membership"]["listen"] = json!(self.relay.process_address(host_index));
        config_json["membership"]["advertise"] = json!(self.relay.advertised(host_index));
        let folder = member.folder.with_extension("twin");
        fs::create_dir_all(&folder)?;
        let mut duplicate = BalancerProcess::new(
            self.build.clone(),
            &format!("b{who}-twin"),
            &folder,
            address,
        );
        duplicate.set_data_folder(&folder);
        duplicate.configure(&config_json)?;
        duplicate.launch()?;
        member.duplicate = Some(duplicate);
        self.observer
            .hear(self.clock.now(), Sign::Doubled { who, on: true });
        Ok(())
    }

    fn poll_members(&mut self, now: Micros, counted: [Micros; 2]) -> io::Result<()> {
        let mut cpu = 0;
        for (who, member) in self.members.iter_mut().enumerate() {
            member.process.inspect();
            cpu += member.process.cpu_us();
            if !member.up {
                continue;
            }
            if !member.process.is_running() {
                if member.process.should_run {
                    return Err(io::Error::other(format!(
                        "balancer b{who} has ended by itself"
                    )));
                }
                (member.up, member.paused) = (false, false);
                self.event_log.record(
                    now,
                    Seen::BalancerGone {
                        balancer: who as u16,
                    },
                );
                self.observer.hear(now, Sign::Down { who });
                continue;
            }
            if member.paused || !self.group.membership {
                continue;
            }
            let (events, clock) = (Rc::clone(&self.events), self.clock);
            let (incarnation, admin_address) = (member.incarnation, member.admin_address);
            spawn_local(async move {
                let Ok((200, body)) = call(admin_address, "GET", "/admin/members").await else {
                    return;
                };
                if let Ok(account) = serde_json::from_slice(&body) {
                    events.borrow_mut().push_back(GroupEvent::Account {
                        who,
                        incarnation,
                        at: clock.now(),
                        account,
                    });
                }
            });
        }
        match self.cpu_at {
            None if now >= counted[0] => self.cpu_at = Some((now, cpu)),
            Some((at, before)) if now <= counted[1] && now > at => {
                let seconds = to_ms(now - at) / 1e3;
                self.outcome.cpu_us_per_s = (cpu.saturating_sub(before)) as f64
                    / seconds.max(0.1)
                    / self.members.len() as f64;
            }
            _ => {}
        }
        Ok(())
    }

    fn handle_events(&mut self) {
        loop {
            let Some(events) = self.events.borrow_mut().pop_front() else {
                return;
            };
            match events {
                GroupEvent::Account {
                    who,
                    incarnation,
                    at,
                    account,
                } => {
                    let member = &self.members[who];
                    // One that was asked before it was paused or killed speaks of another time.
                    if !member.up || member.paused || member.incarnation != incarnation {
                        continue;
                    }
                    self.measure_detection(at, who, &account);
                    if self.cordoned && account.cordons.iter().any(|host| host == ORDERED_HOST.0) {
                        self.event_log.record(
                            at,
                            Seen::Barred {
                                host: ORDERED_HOST.1,
                                balancer: Some(who as u16),
                                on: true,
                            },
                        );
                    }
                    for host in self
                        .hosts_under_maintenance
                        .iter()
                        .filter(|host| account.cordons.contains(host))
                    {
                        if let Some(host) = host_index(host) {
                            self.event_log.record(
                                at,
                                Seen::Barred {
                                    host,
                                    balancer: Some(who as u16),
                                    on: true,
                                },
                            );
                        }
                    }
                    self.observer.hear(at, Sign::Said { who, account });
                }
                GroupEvent::CallAnswered { number, answer } => self.answers.push((number, answer)),
                GroupEvent::OrderAnswered { yes, cordon } => {
                    self.outcome.orders_accepted += u64::from(yes);
                    self.outcome.orders_rejected += u64::from(!yes);
                    if yes && cordon {
                        let now = self.clock.now();
                        self.cordoned = true;
                        self.observer.hear(
                            now,
                            Sign::Barred {
                                host: ORDERED_HOST.0.to_string(),
                            },
                        );
                        self.event_log.record(
                            now,
                            Seen::Barred {
                                host: ORDERED_HOST.1,
                                balancer: None,
                                on: true,
                            },
                        );
                    }
                }
            }
        }
    }

    fn measure_detection(&mut self, at: Micros, who: usize, account: &Account) {
        let started_at = self.members[who].started_at;
        let others = |killed_at: Micros| {
            self.members
                .iter()
                .filter(|member| member.up && !member.paused && member.started_at < killed_at)
                .count()
        };
        let mut by_all = Vec::new();
        for (dead, killed_at, seen) in &mut self.kills {
            let name = format!("b{dead}");
            let verdict = account
                .members
                .iter()
                .find(|of| of.name == name && of.state == "failed");
            // One that was not there at the kill has only heard of it.
            let counts =
                started_at < *killed_at && !self.members[*dead].up && !seen.contains_key(&who);
            if let Some(of) = verdict.filter(|_| counts) {
                let after = to_ms(at - *killed_at) - of.since_ms as f64;
                // Held failed since before it was killed: for another reason.
                if after > 0.0 {
                    seen.insert(who, after);
                    self.outcome.detected_ms.push(after);
                    if after > SLOW_DETECTION_MS
                        && self.outcome.slow_detections.len() < MAX_SLOW_DETECTIONS
                    {
                        let kills = to_ms(*killed_at);
                        let said = to_ms(at);
                        let words = format!("b{dead}, killed at {kills:.0}, failed at b{who} after {after:.0} ms, as it said at {said:.0}");
                        self.outcome.slow_detections.push(words);
                    }
                    if seen.len() == others(*killed_at) {
                        by_all.push(seen.values().copied().fold(0.0, f64::max));
                    }
                }
            }
        }
        self.outcome.detected_by_all_ms.extend(by_all);
        let alive = |who: &usize| {
            account
                .members
                .iter()
                .any(|of| of.name == format!("b{who}") && of.state == "alive")
        };
        let back: Vec<usize> = self
            .wakes
            .iter()
            .enumerate()
            .filter(|(_, (wakes, _))| *wakes != who && alive(wakes))
            .map(|(i, _)| i)
            .collect();
        for i in back.into_iter().rev() {
            let (_, woke) = self.wakes.remove(i);
            self.outcome.wake_detected_ms.push(to_ms(at - woke));
        }
    }

    /// An operator's order at some member's door, one at a time in this run: cordons mostly, and their end.
    fn send_order(&mut self) {
        let up: Vec<usize> = (0..self.members.len())
            .filter(|who| self.members[*who].up)
            .collect();
        if up.is_empty() {
            return;
        }
        let who = up[self.rng.below(up.len() as u64) as usize];
        let cordon = self.rng.happens(0.6);
        let path = format!(
            "/admin/{}/{}?scope=group",
            if cordon { "cordon" } else { "uncordon" },
            ORDERED_HOST.0
        );
        if !cordon {
            self.release_host(self.clock.now());
        }
        let (events, admin_address) = (Rc::clone(&self.events), self.members[who].admin_address);
        spawn_local(async move {
            let answer = call(admin_address, "POST", &path).await;
            events.borrow_mut().push_back(GroupEvent::OrderAnswered {
                yes: matches!(answer, Ok((200, _))),
                cordon,
            });
        });
    }

    /// From now on the host may be used again, whatever becomes of the order.
    fn release_host(&mut self, now: Micros) {
        self.cordoned = false;
        self.observer.hear(
            now,
            Sign::Freed {
                host: ORDERED_HOST.0.to_string(),
            },
        );
        self.event_log.record(
            now,
            Seen::Barred {
                host: ORDERED_HOST.1,
                balancer: None,
                on: false,
            },
        );
    }

    fn send_junk(&mut self, socket: &std::net::UdpSocket) {
        let each = (self.group.junk_datagrams_per_s / 100.0).ceil() as usize;
        for who in 0..self.members.len() {
            for _ in 0..each {
                let length = self.rng.below(1400) as usize;
                let bytes: Vec<u8> = (0..length).map(|_| self.rng.below(256) as u8).collect();
                // Straight at its own address: it need not come over the relay.
                let _ = socket.send_to(&bytes, self.relay.process_address(who));
            }
        }
    }

    /// Ends all processes and says what was seen.
    pub async fn finish(mut self) -> (GroupOutcome, Vec<BalancerProcess>) {
        let now = self.clock.now();
        self.handle_events();
        let mut processes = Vec::new();
        for member in &mut self.members {
            if let Some(mut duplicate) = member.duplicate.take() {
                duplicate.kill().await;
            }
            member.process.kill().await;
        }
        for member in self.members {
            processes.push(member.process);
        }
        let traffic = self.relay.finish();
        let seconds = (to_ms(now) / 1e3).max(1.0) * processes.len().max(1) as f64;
        self.outcome.datagrams_per_s = traffic.datagrams as f64 / seconds;
        self.outcome.bytes_per_s = traffic.bytes as f64 / seconds;
        self.outcome.maintenance = self.workers.take().map(|workers| workers.finish(now));
        self.outcome.report = match self.group.membership {
            true => self.observer.finish(now),
            false => GroupReport::default(),
        };
        (self.outcome, processes)
    }
}

/// One call at an operators' door: status and body.
async fn call(to: SocketAddr, method: &str, path: &str) -> io::Result<(u16, Vec<u8>)> {
    call_with(to, method, path, "").await
}

async fn call_with(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, Vec<u8>)> {
    let whole = async {
        let mut socket = TcpStream::connect(to).await?;
        let length = body.len();
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {length}\r\n\r\n");
        socket.write_all(format!("{head}{body}").as_bytes()).await?;
        let mut answer = Vec::new();
        socket
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut answer)
            .await?;
        let odd = || io::Error::from(io::ErrorKind::InvalidData);
        let end = answer
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .ok_or_else(odd)?;
        let head = std::str::from_utf8(&answer[..end]).map_err(|_| odd())?;
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .ok_or_else(odd)?;
        Ok((status, answer[end + 4..].to_vec()))
    };
    timeout(ANSWER_TIMEOUT, whole)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// How long a run goes on after its last trouble: until all must be whole, and a while.
pub fn quiet_period_after(group: &Group) -> Micros {
    from_ms(group.recovery_timeout_s * 1e3) + SECOND
}
