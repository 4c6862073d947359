//! The processes of a group in an experiment: started, stopped, paused, restarted without their disk, doubled; asked for
//! their account of the group and, as operators do, for cordons. What they say goes to the observer
//! (`stairfront_emulator::group_observer`) beside what was really done to them.
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
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, to_ms, Micros, MS, SECOND};
use stairfront_emulator::faults::FaultAction as FleetAct;
use stairfront_emulator::group_observer::{
    GroupEvent, GroupLimits, GroupObserver, GroupReport, MemberReport,
};
use stairfront_emulator::group_script::{
    FaultBudget, GroupAction, GroupScript, ScheduledGroupAction, TimedGroupFault,
};
use stairfront_emulator::links::LinkFault;
use stairfront_emulator::rules::Observation;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use crate::by_hand::HandCrew;
use crate::clock::RunClock;
use crate::load::Front;
use crate::process::{Balancer, Build};
use crate::relay::Relay;
use crate::tape::Tape;
use crate::work::{Act as WorkAct, Crew, WorkOutcome, WorkPlan, Workers};

/// Between two questions to each process; longer where there are many.
const LOOK: Duration = Duration::from_millis(200);
const LOOK_EACH: Duration = Duration::from_millis(4);
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
const LARGEST_ANSWER: u64 = 1 << 20;
/// A verdict that took longer is told by itself, and so many of them.
const SLOW_VERDICT_MS: f64 = 5_000.0;
const MOST_SLOW: usize = 64;
/// Members that others are given as seeds.
const SEEDS: usize = 3;

/// The part of an experiment that makes its balancers a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    /// False: the processes know nothing of each other, and the same befalls them.
    pub knows: bool,
    /// Troubles as they stand here.
    pub troubles: Vec<TimedGroupFault>,
    /// Troubles drawn from the run's seed, from `first_s` on.
    pub drawn: Option<FaultBudget>,
    pub first_s: f64,
    /// Time between two orders for the group by operators, on average; 0 for none.
    pub orders_every_s: f64,
    /// How long after the last trouble all have to be whole and agree.
    pub whole_again_s: f64,
    /// Rubbish datagrams a second at every member's address.
    pub rubbish_per_s: f64,
    /// Other times of `[membership]`, such as `probe_ms`.
    pub times: BTreeMap<String, f64>,
    /// Plans of maintenance, which the balancers agree on.
    pub maintenance: Option<WorkPlan>,
    /// False: they know each other, and agree on nothing.
    pub agrees: bool,
}

impl Default for Group {
    fn default() -> Self {
        Group {
            knows: true,
            troubles: Vec::new(),
            drawn: None,
            first_s: 6.0,
            orders_every_s: 0.0,
            whole_again_s: 8.0,
            rubbish_per_s: 0.0,
            times: BTreeMap::new(),
            maintenance: None,
            agrees: true,
        }
    }
}

impl Group {
    pub fn script(&self, seed: u64, members: usize) -> GroupScript {
        let drawn = self
            .drawn
            .map(|budget| GroupScript::draw(seed, members, budget, from_ms(self.first_s * 1e3)));
        let mut script = drawn.unwrap_or(GroupScript {
            members,
            faults: Vec::new(),
        });
        script.faults.extend(self.troubles.iter().cloned());
        script.faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        script
    }

    /// The keys of a balancer's configuration that make it a member.
    fn configure(
        &self,
        config: &mut Value,
        who: usize,
        folder: &Path,
        place: (SocketAddr, SocketAddr),
        all: &[SocketAddr],
    ) {
        if !self.knows {
            return;
        }
        let roster: Vec<String> = (0..all.len()).map(|i| format!("b{i}")).collect();
        let seeds: Vec<&SocketAddr> = all.iter().take(SEEDS).collect();
        let (listen, advertise) = place;
        config["name"] = json!(format!("b{who}"));
        config["membership"] = json!({"group": "lab", "listen": listen, "advertise": advertise, "seeds": seeds, "roster": roster});
        for (key, value) in &self.times {
            config["membership"][key] = json!(value);
        }
        config["settings"]["caps"]["peer_messages"] = json!(true);
        if let Some(plan) = self.maintenance.as_ref().filter(|_| self.agrees) {
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
    pub slow_verdicts: Vec<String>,
    /// From a kill until the last of the others had it.
    pub detected_by_all_ms: Vec<f64>,
    /// From a wake until all others have the woken one alive.
    pub woken_ms: Vec<f64>,
    /// Orders by operators: with a yes, and with a no.
    pub orders_yes: u64,
    pub orders_no: u64,
    /// Over the relay, a second and a member.
    pub datagrams_per_s: f64,
    pub bytes_per_s: f64,
    /// Processor time of all processes, microseconds a second and a process.
    pub cpu_us_per_s: f64,
    /// What the people who work by plans saw.
    pub work: Option<WorkOutcome>,
}

struct Member {
    process: Balancer,
    twin: Option<Balancer>,
    folder: PathBuf,
    operators: SocketAddr,
    up: bool,
    paused: bool,
    /// It is at its second address.
    moved: bool,
    life: u64,
    /// It was started then.
    since: Micros,
}

pub struct PackPlan<'a> {
    pub group: &'a Group,
    /// The people work by hand.
    pub by_hand: bool,
    pub caches: usize,
    /// Where the run is told what becomes of stand-ins that are worked at.
    pub hosts: Rc<RefCell<VecDeque<FleetAct>>>,
    pub build: Build,
    pub folder: &'a Path,
    pub seed: u64,
    pub clock: RunClock,
    pub relay: Relay,
}

pub struct Pack {
    group: Group,
    clock: RunClock,
    relay: Relay,
    members: Vec<Member>,
    fronts: Vec<Front>,
    observer: GroupObserver,
    tape: Tape,
    script: GroupScript,
    laid: BTreeMap<u64, (Vec<(usize, usize)>, LinkFault)>,
    build: Build,
    /// Members' last accounts: when, of which life, what.
    heard: Rc<RefCell<VecDeque<Heard>>>,
    dice: SeededRng,
    killed: Vec<(usize, Micros, BTreeMap<usize, f64>)>,
    woken: Vec<(usize, Micros)>,
    outcome: GroupOutcome,
    /// The host of all orders is held out by a yes.
    barred: bool,
    crew: Option<Box<dyn Workers>>,
    /// Stand-ins that work was done at, to be ended or started.
    hosts: Rc<RefCell<VecDeque<FleetAct>>>,
    /// Hosts that are worked at.
    worked: BTreeSet<String>,
    /// Balancers that are started again then, after they were told to stop.
    again: Vec<(Micros, usize)>,
    /// Of calls that the people made.
    answers: Vec<(u64, Answer)>,
    cpu_at: Option<(Micros, u64)>,
    /// Members that started where they could ask nobody what is held, and were told of nothing since.
    untold: BTreeSet<usize>,
}

/// Status and body of a door's answer; none where nobody answered.
type Answer = Option<(u16, Vec<u8>)>;

enum Heard {
    MemberReport {
        who: usize,
        life: u64,
        at: Micros,
        account: MemberReport,
    },
    Ordered {
        yes: bool,
        cordon: bool,
    },
    Answered {
        number: u64,
        answer: Answer,
    },
}

/// A balancer that is told to stop for work is started again after this.
const RESTART_TAKES: Micros = 1500 * MS;

fn crew(group: &Group, by_hand: bool, members: usize, caches: usize) -> Option<Box<dyn Workers>> {
    let plan = group.maintenance.clone()?;
    if by_hand {
        let hand = plan.hand?;
        return Some(Box::new(HandCrew::new(plan, hand, members, caches)));
    }
    let agrees = group.knows && group.agrees;
    agrees.then(|| Box::new(Crew::new(plan, members)) as Box<dyn Workers>)
}

/// The position of a cache host, by its name.
fn place(host: &str) -> Option<u16> {
    host.strip_prefix('c')?.parse().ok()
}

/// The cache host that operators of a run take out, and its position.
const HOST: (&str, u16) = ("c0", 0);

impl Pack {
    /// Makes all processes ready to be started. `config` gives a balancer's configuration at its client address.
    pub fn new(
        plan: PackPlan<'_>,
        fronts: Vec<Front>,
        tape: Tape,
        config: impl Fn(usize, SocketAddr) -> Value,
    ) -> io::Result<Pack> {
        let PackPlan {
            group,
            by_hand,
            caches,
            hosts,
            build,
            folder,
            seed,
            clock,
            relay,
        } = plan;
        let count = fronts.len();
        let all: Vec<SocketAddr> = (0..count).map(|who| relay.advertised(who)).collect();
        let mut members = Vec::new();
        for (who, front) in fronts.iter().enumerate() {
            let own = folder.join(format!("tmp-b{who}"));
            fs::create_dir_all(&own)?;
            let mut process =
                Balancer::new(build.clone(), &format!("b{who}"), folder, front.address);
            process.set_folder(&own);
            let mut text = config(who, front.address);
            let [_, operators] = relay.doors(who);
            text["ops"] = json!(operators);
            group.configure(
                &mut text,
                who,
                &own,
                (relay.own(who), relay.advertised(who)),
                &all,
            );
            process.configure(&text)?;
            members.push(Member {
                process,
                twin: None,
                folder: own,
                operators,
                up: false,
                paused: false,
                moved: false,
                life: 0,
                since: Micros::MIN,
            });
        }
        let names = (0..count).map(|who| format!("b{who}")).collect();
        let whole_again = from_ms(group.whole_again_s * 1e3);
        let observer = GroupObserver::new(
            names,
            GroupLimits {
                recovery_time: whole_again,
                ..GroupLimits::default()
            },
        );
        let script = group.script(seed, count);
        Ok(Pack {
            group: group.clone(),
            clock,
            relay,
            members,
            fronts,
            observer,
            tape,
            outcome: GroupOutcome {
                script: script.describe(),
                ..GroupOutcome::default()
            },
            script,
            laid: BTreeMap::new(),
            build,
            heard: Rc::default(),
            dice: SeededRng::for_part(seed, "operators"),
            killed: Vec::new(),
            woken: Vec::new(),
            barred: false,
            crew: crew(group, by_hand, count, caches),
            hosts,
            worked: BTreeSet::new(),
            again: Vec::new(),
            answers: Vec::new(),
            cpu_at: None,
            untold: BTreeSet::new(),
        })
    }

    pub async fn start(&mut self) -> io::Result<()> {
        for who in 0..self.members.len() {
            self.start_one(who)?;
        }
        for member in &mut self.members {
            member.process.until_ready().await?;
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
        member.life += 1;
        member.since = now;
        self.fronts[who].closed.store(false, Ordering::Relaxed);
        self.observer
            .observe(now, GroupEvent::Started { member: who });
        // One that starts where it can ask nobody serves by its own list, as its page says: nothing is held against it
        // before it has been told.
        self.untold.remove(&who);
        if !self.observer.can_reach_majority(now, who) {
            self.untold.insert(who);
            let hosts = self
                .barred
                .then_some(HOST.1)
                .into_iter()
                .chain(self.worked.iter().filter_map(|host| place(host)));
            for host in hosts.collect::<Vec<u16>>() {
                self.tape.note(
                    now,
                    Observation::Cordoned {
                        host,
                        balancer: Some(who as u16),
                        cordoned: false,
                    },
                );
            }
        }
        Ok(())
    }

    /// Has the script's acts come in their time, asks and orders, until all clients are through.
    pub async fn conduct(
        &mut self,
        over: impl Fn() -> bool,
        counted: [Micros; 2],
    ) -> io::Result<()> {
        let mut acts: VecDeque<ScheduledGroupAction> = self.script.actions().into();
        let ends = self.script.end();
        let look = (LOOK.max(LOOK_EACH * self.members.len() as u32)).as_micros() as Micros;
        let mut next_look = self.clock.now();
        let mut next_order = self.next_order(from_ms(self.group.first_s * 1e3));
        let mut next_rubbish = 0;
        let mut quiet = false;
        let rubbish = std::net::UdpSocket::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        while !over() {
            let now = self.clock.now();
            while acts.front().is_some_and(|next| next.at <= now) {
                if let Some(next) = acts.pop_front() {
                    self.act(next.action).await?;
                }
            }
            if !quiet && now >= ends && acts.is_empty() && now >= 0 {
                quiet = true;
                self.observer.observe(now, GroupEvent::FaultsFinished);
                self.crew.iter_mut().for_each(|crew| crew.quiet(now));
            }
            self.work(now).await?;
            if now >= next_look {
                next_look = now + look;
                self.look(now, counted)?;
            }
            if next_order.is_some_and(|at| at <= now) && !quiet {
                next_order = self.next_order(now);
                self.order();
            }
            if self.group.rubbish_per_s > 0.0 && now >= next_rubbish {
                next_rubbish = now + 10 * MS;
                self.throw_rubbish(&rubbish);
            }
            self.hear();
            self.tape.tick();
            let next = acts
                .front()
                .map_or(Micros::MAX, |next| next.at)
                .min(next_look);
            let next = next
                .min(next_order.unwrap_or(Micros::MAX))
                .min(now + 20 * MS);
            sleep_until(self.clock.instant(next)).await;
        }
        Ok(())
    }

    /// Has the people who work by plans do what is due.
    async fn work(&mut self, now: Micros) -> io::Result<()> {
        let Some(mut crew) = self.crew.take() else {
            return Ok(());
        };
        let up: Vec<usize> = (0..self.members.len())
            .filter(|who| self.members[*who].up && !self.members[*who].paused)
            .collect();
        let mut acts = Vec::new();
        if !up.is_empty() {
            let of = up[self.dice.below(up.len() as u64) as usize];
            acts.extend(crew.tick(now, of).into_iter().map(|act| (of, act)));
        }
        for (number, answer) in std::mem::take(&mut self.answers) {
            acts.extend(
                crew.answered(now, number, answer)
                    .into_iter()
                    .map(|act| (0, act)),
            );
        }
        self.crew = Some(crew);
        for (of, act) in acts {
            match act {
                WorkAct::Call {
                    number,
                    method,
                    path,
                    body,
                } => self.say(of, number, method, path, body),
                WorkAct::CallAt {
                    door,
                    number,
                    method,
                    path,
                } => {
                    self.say(door, number, method, path, String::new());
                }
                WorkAct::Works { host, on } => {
                    let Some(place) = place(&host) else { continue };
                    if on {
                        self.worked.insert(host);
                    } else {
                        self.worked.remove(&host);
                    }
                    self.tape.note(
                        now,
                        Observation::Cordoned {
                            host: place,
                            balancer: None,
                            cordoned: on,
                        },
                    );
                    // One that has left on purpose is not waited for. Back where it can still ask nobody, it serves by what
                    // it has, and nobody can tell it.
                    self.untold
                        .retain(|who| !self.observer.can_reach_majority(now, *who));
                    for who in self.untold.iter().filter(|_| on) {
                        let balancer = Some(*who as u16);
                        self.tape.note(
                            now,
                            Observation::Cordoned {
                                host: place,
                                balancer,
                                cordoned: false,
                            },
                        );
                    }
                    if self
                        .group
                        .maintenance
                        .as_ref()
                        .is_some_and(|plan| plan.restarts)
                    {
                        let host = usize::from(place);
                        let act = if on {
                            FleetAct::Kill { host }
                        } else {
                            FleetAct::Start { host }
                        };
                        self.hosts.borrow_mut().push_back(act);
                    }
                }
                WorkAct::Restart { plan, balancer } => {
                    let who = balancer
                        .strip_prefix('b')
                        .and_then(|who| who.parse::<usize>().ok());
                    // Danger: one that is held still just now would never be restarted, and its plan never end.
                    match who.filter(|who| up.contains(who)) {
                        Some(who) => {
                            self.act(GroupAction::Term { member: who }).await?;
                            self.again.push((now + RESTART_TAKES, who));
                        }
                        None => self
                            .crew
                            .iter_mut()
                            .for_each(|crew| crew.not_there(plan, &balancer)),
                    }
                }
            }
        }
        let due: Vec<usize> = self
            .again
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, who)| *who)
            .collect();
        self.again.retain(|(at, _)| *at > now);
        for who in due {
            self.act(GroupAction::Start { member: who }).await?;
        }
        Ok(())
    }

    fn say(&self, door: usize, number: u64, method: &'static str, path: String, body: String) {
        let (heard, operators) = (Rc::clone(&self.heard), self.members[door].operators);
        spawn_local(async move {
            let answer = call_with(operators, method, &path, &body).await.ok();
            heard
                .borrow_mut()
                .push_back(Heard::Answered { number, answer });
        });
    }

    fn next_order(&mut self, now: Micros) -> Option<Micros> {
        let every = self.group.orders_every_s;
        (every > 0.0 && self.group.knows)
            .then(|| now + from_ms(every * 1e3 * (0.5 + self.dice.unit())))
    }

    async fn act(&mut self, act: GroupAction) -> io::Result<()> {
        let now = self.clock.now();
        match act {
            GroupAction::AddLinkFault {
                id: number,
                pairs,
                fault,
            } => {
                self.relay.lay(number, pairs.clone(), fault);
                let sign = GroupEvent::LinksFaulted {
                    pairs: pairs.clone(),
                    cut: fault.cuts(),
                    mild: fault.is_mild(),
                };
                self.laid.insert(number, (pairs, fault));
                self.observer.observe(now, sign);
            }
            GroupAction::RemoveLinkFault { id: number } => {
                self.relay.lift(number);
                if let Some((pairs, fault)) = self.laid.remove(&number) {
                    let sign = GroupEvent::LinksRestored {
                        pairs,
                        cut: fault.cuts(),
                        mild: fault.is_mild(),
                    };
                    self.observer.observe(now, sign);
                }
            }
            GroupAction::Kill { member: who, empty } => self.kill(who, empty).await,
            GroupAction::Term { member: who } => {
                self.fronts[who].closed.store(true, Ordering::Relaxed);
                self.members[who].process.signal(Signal::SIGTERM);
                self.members[who].process.wanted = false;
                // Danger: its end is seen a look later than the others hear that it has left.
                self.observer
                    .observe(now, GroupEvent::Paused { member: who });
            }
            GroupAction::Start { member: who } => {
                if !self.members[who].process.wanted && self.members[who].up {
                    // Told to stop before: by now it has ended, or is ended.
                    self.kill(who, false).await;
                }
                self.start_one(who)?;
            }
            GroupAction::Pause { member: who } => {
                if self.members[who].up && !self.members[who].paused {
                    self.members[who].paused = true;
                    self.fronts[who].closed.store(true, Ordering::Relaxed);
                    self.members[who].process.signal(Signal::SIGSTOP);
                    self.tape.note(
                        now,
                        Observation::BalancerPaused {
                            balancer: who as u16,
                            paused: true,
                        },
                    );
                    self.observer
                        .observe(now, GroupEvent::Paused { member: who });
                }
            }
            GroupAction::Resume { member: who } => {
                if self.members[who].paused {
                    self.members[who].paused = false;
                    self.members[who].process.signal(Signal::SIGCONT);
                    self.fronts[who].closed.store(false, Ordering::Relaxed);
                    self.tape.note(
                        now,
                        Observation::BalancerPaused {
                            balancer: who as u16,
                            paused: false,
                        },
                    );
                    self.observer
                        .observe(now, GroupEvent::Resumed { member: who });
                    self.woken.push((who, now));
                }
            }
            // Without a membership there is no address to move, and no name to share.
            GroupAction::Move { .. } | GroupAction::StartDuplicate { .. } if !self.group.knows => {}
            GroupAction::Move { member: who } => {
                let member = &mut self.members[who];
                member.moved ^= true;
                let place = who + if member.moved { self.fronts.len() } else { 0 };
                let mut text: Value =
                    serde_json::from_str(&fs::read_to_string(member.process.config())?)?;
                text["membership"]["listen"] = json!(self.relay.own(place));
                text["membership"]["advertise"] = json!(self.relay.advertised(place));
                member.process.configure(&text)?;
            }
            GroupAction::StartDuplicate { member: who } => self.start_twin(who)?,
            GroupAction::StopDuplicate { member: who } => {
                if let Some(mut twin) = self.members[who].twin.take() {
                    twin.kill().await;
                    self.observer.observe(
                        now,
                        GroupEvent::DuplicateRunning {
                            member: who,
                            running: false,
                        },
                    );
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
        let told = !member.process.wanted;
        self.tape.note(
            now,
            Observation::BalancerStopped {
                balancer: who as u16,
            },
        );
        if member.paused {
            self.tape.note(
                now,
                Observation::BalancerPaused {
                    balancer: who as u16,
                    paused: false,
                },
            );
        }
        member.process.kill().await;
        (member.up, member.paused) = (false, false);
        self.tape.note(
            self.clock.now(),
            Observation::BalancerStopped {
                balancer: who as u16,
            },
        );
        self.observer
            .observe(now, GroupEvent::Stopped { member: who });
        if !told {
            self.killed.push((who, now, BTreeMap::new()));
        }
        let has_disk = self.crew.as_ref().is_some_and(|crew| crew.has_disks());
        if let Some(crew) = self.crew.as_mut().filter(|_| empty || !has_disk) {
            crew.wiped(now, who);
        }
        if empty {
            let folder = self.members[who].folder.clone();
            let _ = fs::remove_dir_all(&folder);
            let _ = fs::create_dir_all(&folder);
            // What no process and no disk has is lost: an order is kept by those that live.
            if self.members.iter().all(|member| !member.up) {
                self.free(now);
            }
        }
    }

    /// A second process with a name that is in use, with its configuration at other addresses.
    fn start_twin(&mut self, who: usize) -> io::Result<()> {
        let count = self.members.len();
        let member = &mut self.members[who];
        let mut text: Value = serde_json::from_str(&fs::read_to_string(member.process.config())?)?;
        let [address, operators] = self.relay.doors(count + who);
        text["listen"] = json!(address);
        text["ops"] = json!(operators);
        let place = if member.moved { who } else { count + who };
        text["membership"]["listen"] = json!(self.relay.own(place));
        text["membership"]["advertise"] = json!(self.relay.advertised(place));
        let folder = member.folder.with_extension("twin");
        fs::create_dir_all(&folder)?;
        let mut twin = Balancer::new(
            self.build.clone(),
            &format!("b{who}-twin"),
            &folder,
            address,
        );
        twin.set_folder(&folder);
        twin.configure(&text)?;
        twin.launch()?;
        member.twin = Some(twin);
        self.observer.observe(
            self.clock.now(),
            GroupEvent::DuplicateRunning {
                member: who,
                running: true,
            },
        );
        Ok(())
    }

    fn look(&mut self, now: Micros, counted: [Micros; 2]) -> io::Result<()> {
        let mut cpu = 0;
        for (who, member) in self.members.iter_mut().enumerate() {
            member.process.look();
            cpu += member.process.cpu_us();
            if !member.up {
                continue;
            }
            if !member.process.is_running() {
                if member.process.wanted {
                    return Err(io::Error::other(format!(
                        "balancer b{who} has ended by itself"
                    )));
                }
                (member.up, member.paused) = (false, false);
                self.tape.note(
                    now,
                    Observation::BalancerStopped {
                        balancer: who as u16,
                    },
                );
                self.observer
                    .observe(now, GroupEvent::Stopped { member: who });
                continue;
            }
            if member.paused || !self.group.knows {
                continue;
            }
            let (heard, clock) = (Rc::clone(&self.heard), self.clock);
            let (life, operators) = (member.life, member.operators);
            spawn_local(async move {
                let Ok((200, body)) = call(operators, "GET", "/admin/members").await else {
                    return;
                };
                if let Ok(account) = serde_json::from_slice(&body) {
                    heard.borrow_mut().push_back(Heard::MemberReport {
                        who,
                        life,
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

    fn hear(&mut self) {
        loop {
            let Some(heard) = self.heard.borrow_mut().pop_front() else {
                return;
            };
            match heard {
                Heard::MemberReport {
                    who,
                    life,
                    at,
                    account,
                } => {
                    let member = &self.members[who];
                    // One that was asked before it was paused or killed speaks of another time.
                    if !member.up || member.paused || member.life != life {
                        continue;
                    }
                    self.measure(at, who, &account);
                    if self.barred && account.cordons.iter().any(|host| host == HOST.0) {
                        self.tape.note(
                            at,
                            Observation::Cordoned {
                                host: HOST.1,
                                balancer: Some(who as u16),
                                cordoned: true,
                            },
                        );
                    }
                    for host in self
                        .worked
                        .iter()
                        .filter(|host| account.cordons.contains(host))
                    {
                        if let Some(host) = place(host) {
                            self.tape.note(
                                at,
                                Observation::Cordoned {
                                    host,
                                    balancer: Some(who as u16),
                                    cordoned: true,
                                },
                            );
                        }
                    }
                    self.observer.observe(
                        at,
                        GroupEvent::Reported {
                            member: who,
                            report: account,
                        },
                    );
                }
                Heard::Answered { number, answer } => self.answers.push((number, answer)),
                Heard::Ordered { yes, cordon } => {
                    self.outcome.orders_yes += u64::from(yes);
                    self.outcome.orders_no += u64::from(!yes);
                    if yes && cordon {
                        let now = self.clock.now();
                        self.barred = true;
                        self.observer.observe(
                            now,
                            GroupEvent::Cordoned {
                                host: HOST.0.to_string(),
                            },
                        );
                        self.tape.note(
                            now,
                            Observation::Cordoned {
                                host: HOST.1,
                                balancer: None,
                                cordoned: true,
                            },
                        );
                    }
                }
            }
        }
    }

    fn measure(&mut self, at: Micros, who: usize, account: &MemberReport) {
        let since = self.members[who].since;
        let others = |killed_at: Micros| {
            self.members
                .iter()
                .filter(|member| member.up && !member.paused && member.since < killed_at)
                .count()
        };
        let mut by_all = Vec::new();
        for (dead, killed_at, seen) in &mut self.killed {
            let name = format!("b{dead}");
            let verdict = account
                .members
                .iter()
                .find(|of| of.name == name && of.state == "failed");
            // One that was not there at the kill has only heard of it.
            let counts = since < *killed_at && !self.members[*dead].up && !seen.contains_key(&who);
            if let Some(of) = verdict.filter(|_| counts) {
                let after = to_ms(at - *killed_at) - of.since_ms as f64;
                // Held failed since before it was killed: for another reason.
                if after > 0.0 {
                    seen.insert(who, after);
                    self.outcome.detected_ms.push(after);
                    if after > SLOW_VERDICT_MS && self.outcome.slow_verdicts.len() < MOST_SLOW {
                        let killed = to_ms(*killed_at);
                        let said = to_ms(at);
                        let words = format!("b{dead}, killed at {killed:.0}, failed at b{who} after {after:.0} ms, as it said at {said:.0}");
                        self.outcome.slow_verdicts.push(words);
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
            .woken
            .iter()
            .enumerate()
            .filter(|(_, (woken, _))| *woken != who && alive(woken))
            .map(|(i, _)| i)
            .collect();
        for i in back.into_iter().rev() {
            let (_, woke) = self.woken.remove(i);
            self.outcome.woken_ms.push(to_ms(at - woke));
        }
    }

    /// An operator's order at some member's door, one at a time in this run: cordons mostly, and their end.
    fn order(&mut self) {
        let up: Vec<usize> = (0..self.members.len())
            .filter(|who| self.members[*who].up)
            .collect();
        if up.is_empty() {
            return;
        }
        let who = up[self.dice.below(up.len() as u64) as usize];
        let cordon = self.dice.happens(0.6);
        let path = format!(
            "/admin/{}/{}?scope=group",
            if cordon { "cordon" } else { "uncordon" },
            HOST.0
        );
        if !cordon {
            self.free(self.clock.now());
        }
        let (heard, operators) = (Rc::clone(&self.heard), self.members[who].operators);
        spawn_local(async move {
            let answer = call(operators, "POST", &path).await;
            heard.borrow_mut().push_back(Heard::Ordered {
                yes: matches!(answer, Ok((200, _))),
                cordon,
            });
        });
    }

    /// From now on the host may be used again, whatever becomes of the order.
    fn free(&mut self, now: Micros) {
        self.barred = false;
        self.observer.observe(
            now,
            GroupEvent::Uncordoned {
                host: HOST.0.to_string(),
            },
        );
        self.tape.note(
            now,
            Observation::Cordoned {
                host: HOST.1,
                balancer: None,
                cordoned: false,
            },
        );
    }

    fn throw_rubbish(&mut self, socket: &std::net::UdpSocket) {
        let each = (self.group.rubbish_per_s / 100.0).ceil() as usize;
        for who in 0..self.members.len() {
            for _ in 0..each {
                let length = self.dice.below(1400_u64) as usize;
                let bytes: Vec<u8> = (0..length)
                    .map(|_| self.dice.below(256_u64) as u8)
                    .collect();
                // Straight at its own address: it need not come over the relay.
                let _ = socket.send_to(&bytes, self.relay.own(who));
            }
        }
    }

    /// Ends all processes and says what was seen.
    pub async fn end(mut self) -> (GroupOutcome, Vec<Balancer>) {
        let now = self.clock.now();
        self.hear();
        let mut processes = Vec::new();
        for member in &mut self.members {
            if let Some(mut twin) = member.twin.take() {
                twin.kill().await;
            }
            member.process.kill().await;
        }
        for member in self.members {
            processes.push(member.process);
        }
        let carried = self.relay.end();
        let seconds = (to_ms(now) / 1e3).max(1.0) * processes.len().max(1) as f64;
        self.outcome.datagrams_per_s = carried.datagrams as f64 / seconds;
        self.outcome.bytes_per_s = carried.bytes as f64 / seconds;
        self.outcome.work = self.crew.take().map(|crew| crew.finish(now));
        self.outcome.report = match self.group.knows {
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
        socket.take(LARGEST_ANSWER).read_to_end(&mut answer).await?;
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
    timeout(ANSWER_LIMIT, whole)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// How long a run goes on after its last trouble: until all must be whole, and a while.
pub fn rest_after(group: &Group) -> Micros {
    from_ms(group.whole_again_s * 1e3) + SECOND
}
