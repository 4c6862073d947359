//! Agreed maintenance on its way to this balancer's engine and the group, and what this one sees on its way to the plans.
//! What is due is said by `stairfront-maintenance`; nobody who serves waits for any of it.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_maintenance::{
    Balancer, BlockedMachine, Command, CommandKind, Fleet, Host, LeaderObservation, MachineKey,
    Maintenance, NextCommands, Outcome, Plan, Stage, View,
};
use stairfront_membership_agent::{MemberState, MembershipAgent, PlannedCordon, PlannedCordons};
use stairfront_policy::interface::EndpointState;
use stairfront_raft_node::{RaftNode, Status};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, Instant, MissedTickBehavior};
use tracing::{info, warn};

use crate::control::pending_order::PendingOrder;
use crate::counters::{Counters, OriginUsage};
use crate::lifecycle::handover::HandoverChannel;
use crate::messages::EngineEvent;

const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Between two tellings of facts: what flaps is not written down at each turn.
const MIN_FLEET_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A step that was proposed is not proposed again for so long.
const STEP_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// An order of the one who leads that is not settled by then is looked at anew.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// For an operator's command, within the second that is owed.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// Over which the service is judged, and the use of hosts that warm up is counted.
const WINDOW: Duration = Duration::from_secs(2);
const USAGE_COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// A host is in use at its share from this part of the others' mean on; shares by two ring points differ by more than that.
const WARM_USAGE_RATIO: f64 = 0.4;
/// Below this part of requests served, nothing further is taken out; and with fewer requests nothing is said of it.
const MIN_SERVED_RATIO: f64 = 0.97;
const MIN_JUDGED_REQUESTS: u64 = 50;
/// An origin that serves less than this part of the attempts at it is pressed: a further cold host would press it more. With
/// fewer attempts in a window nothing is said: a single one that fails is none.
const MIN_ORIGIN_SERVED_RATIO: f64 = 0.9;
const MIN_ORIGIN_ATTEMPTS: u64 = 20;
/// What the one who leads has said of waiting machines counts for so long.
const BLOCKED_TTL: Duration = Duration::from_secs(3);
/// Answers of members that one who leads keeps, by host and member.
const MAX_QUIET_REPORTS: usize = 4096;

/// The agreed plans, as the voters' driver applies them.
#[derive(Default)]
pub struct Plans(pub Maintenance);

impl stairfront_raft_node::StateMachine for Plans {
    fn apply(&mut self, index: u64, term: u64, order: &[u8]) -> Option<u64> {
        self.0.apply(index, term, order)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }

    fn restore(&mut self, _: u64, data: &[u8]) {
        self.0 = match data {
            [] => Maintenance::default(),
            data => Maintenance::restore(data).unwrap_or_else(|| {
                warn!(
                    "maintenance: a snapshot of the plans cannot be read; they are taken for none"
                );
                Maintenance::default()
            }),
        };
    }
}

/// What members say to each other beside the agreement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SideEvent {
    /// Is anything open at this host, that is held since that entry?
    IsQuiet {
        host: String,
        told: u64,
    },
    Quiet {
        host: String,
        told: u64,
    },
    /// Why machines wait, by the one who leads.
    Waits(Vec<BlockedMachine>),
}

/// What is shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedView {
    pub me: String,
    pub agreement: Status,
    #[serde(flatten)]
    pub view: View,
    /// By the one who leads; empty where it has said nothing lately.
    pub waits: Vec<BlockedMachine>,
}

/// An operator's command, once it is settled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedCommand {
    pub via: String,
    pub leader: Option<String>,
    pub index: u64,
    pub term: u64,
}

/// Uses of one host as last counted.
#[derive(Clone, Copy, Debug, Default)]
struct HostUsage {
    sent: u64,
    /// In the last whole window.
    lately: u64,
}

/// Requests and attempts at the origin, since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceCounts {
    pub served: u64,
    /// Served, refused and failed.
    pub all: u64,
    pub at_origin: u64,
    pub unserved_at_origin: u64,
}

impl ServiceCounts {
    /// What is wrong with the service between two looks, as `me` sees it.
    pub fn trouble_since(self, before: ServiceCounts, me: &str) -> Option<String> {
        let of = |now: u64, then: u64| now.saturating_sub(then);
        let (all, served) = (of(self.all, before.all), of(self.served, before.served));
        if all >= MIN_JUDGED_REQUESTS && (served as f64) < MIN_SERVED_RATIO * all as f64 {
            return Some(format!(
                "under {:.0}% of requests are served at {me}",
                MIN_SERVED_RATIO * 100.0
            ));
        }
        let asked = of(self.at_origin, before.at_origin);
        let unserved = of(self.unserved_at_origin, before.unserved_at_origin);
        let pressed = asked >= MIN_ORIGIN_ATTEMPTS
            && unserved as f64 > (1.0 - MIN_ORIGIN_SERVED_RATIO) * asked as f64;
        let least = MIN_ORIGIN_SERVED_RATIO * 100.0;
        pressed.then(|| {
            format!("the origin is pressed: under {least:.0}% of attempts at it are served at {me}")
        })
    }
}

#[derive(Default)]
struct LeaderState {
    /// Orders to confirm, by host and entry.
    asked: BTreeMap<(String, u64), u64>,
    quiet: BTreeMap<(String, u64), BTreeSet<String>>,
    proposed: BTreeMap<String, Instant>,
    facts: Option<Instant>,
    uses: BTreeMap<String, HostUsage>,
    counted_at: Option<Instant>,
    /// What had been counted when the window began.
    window: Option<(Instant, ServiceCounts)>,
    trouble: Option<String>,
}

pub struct MaintenanceService {
    of: MaintenanceHandles,
    leading: RefCell<LeaderState>,
    waits: RefCell<Option<(Instant, Vec<BlockedMachine>)>>,
    told: RefCell<Option<Stage>>,
}

/// What a keeper is made of.
pub struct MaintenanceHandles {
    pub voters: Rc<RaftNode<Plans>>,
    pub members: Rc<MembershipAgent>,
    pub orders: mpsc::Sender<PendingOrder>,
    pub inbox: mpsc::Sender<EngineEvent>,
    pub links: [Rc<HandoverChannel>; 2],
    pub counters: Rc<Counters>,
    pub origin: Rc<OriginUsage>,
    pub zones: Vec<String>,
    pub names: Vec<String>,
    pub me: String,
}

impl MaintenanceService {
    pub fn new(of: MaintenanceHandles) -> Rc<Self> {
        let (leading, waits, told) = Default::default();
        Rc::new(MaintenanceService {
            of,
            leading,
            waits,
            told,
        })
    }

    pub async fn run(self: Rc<Self>) {
        let voting: JoinHandle<()> = spawn_local(Rc::clone(&self.of.voters).run());
        let _ends_with_this = AbortOnDrop(voting);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.follow();
                    self.look().await;
                }
                () = self.of.voters.next_commit() => self.follow(),
                aside = self.of.voters.next_side_message() => self.hear(&aside.from, &aside.bytes).await,
            }
        }
    }

    /// Has the group's ledger follow what is agreed.
    fn follow(&self) {
        let applied = self.of.voters.applied();
        if applied.cluster_id == 0 {
            return;
        }
        let machine = self.of.voters.state_machine();
        let cordons = machine
            .0
            .cordoned_hosts()
            .into_iter()
            .map(|held| PlannedCordon {
                host: held.host,
                log_index: held.notified,
            })
            .collect();
        self.of.members.apply_planned_cordons(&PlannedCordons {
            cluster_id: applied.cluster_id,
            cordons,
            up_to: applied.index,
        });
        let turn = machine.0.balancer_stage(&self.of.me);
        if turn != *self.told.borrow() {
            match turn {
                Some(Stage::Out) => {
                    info!("maintenance: this balancer may be stopped and started: a plan has its turn")
                }
                Some(stage) => info!(
                    "maintenance: a plan has this balancer's turn: {}",
                    stage.as_str()
                ),
                None => info!("maintenance: this balancer's turn is over"),
            }
            *self.told.borrow_mut() = turn;
        }
    }

    async fn hear(&self, from: &str, bytes: &[u8]) {
        match postcard::from_bytes::<SideEvent>(bytes) {
            Ok(SideEvent::IsQuiet { host, told }) => {
                if self.is_quiet(&host).await {
                    self.say(from, &SideEvent::Quiet { host, told });
                }
            }
            Ok(SideEvent::Quiet { host, told }) => {
                let mut leading = self.leading.borrow_mut();
                // Only what was asked is kept.
                if let Some(quiet) = leading.quiet.get_mut(&(host, told)) {
                    if quiet.len() < MAX_QUIET_REPORTS {
                        quiet.insert(from.to_string());
                    }
                }
            }
            Ok(SideEvent::Waits(waits)) => *self.waits.borrow_mut() = Some((Instant::now(), waits)),
            Err(_) => {}
        }
    }

    fn say(&self, to: &str, aside: &SideEvent) {
        // Texts, numbers and lists of them alone, which cannot fail.
        self.of
            .voters
            .send_side_message(to, postcard::to_stdvec(aside).unwrap_or_default());
    }

    /// It is held here, and no attempt is open there in any process of this balancer.
    async fn is_quiet(&self, host: &str) -> bool {
        self.of.members.is_cordoned(host) && matches!(self.used(host).await, Some((0, _)))
    }

    /// Attempts that are open at a host, and all sent there.
    async fn used(&self, host: &str) -> Option<(u64, u64)> {
        let order = OperatorOrder::GetUsage(host.to_string());
        let (done, is_done) = oneshot::channel();
        self.of
            .orders
            .send(PendingOrder {
                order: order.clone(),
                word: OrderSource::Operator,
                done,
            })
            .await
            .ok()?;
        let mut all = is_done.await.ok()?;
        for link in &self.of.links {
            if let Some(answer) = link.relay(&order, OrderSource::Operator).await {
                all = all.combine(answer.ok()?);
            }
        }
        match all {
            OrderOutcome::Usage { in_flight, sent } => Some((in_flight, sent)),
            _ => None,
        }
    }

    // --- leading ---

    async fn look(&self) {
        let turn = self.of.voters.state_machine().0.balancer_stage(&self.of.me);
        let Some(term) = self.of.voters.leader_term() else {
            *self.leading.borrow_mut() = LeaderState::default();
            return;
        };
        if turn == Some(Stage::Notified) {
            self.of.voters.transfer_leadership();
        }
        let Some(mut seen) = self.see().await else {
            return;
        };
        self.ask(&mut seen);
        let NextCommands { due, blocked } = self.of.voters.state_machine().0.next_commands(&seen);
        if self.of.voters.leader_term() != Some(term) {
            return;
        }
        for what in due {
            self.propose(term, what);
        }
        let waiting = !blocked.is_empty();
        *self.waits.borrow_mut() = Some((Instant::now(), blocked.clone()));
        if waiting {
            let others: Vec<String> = self.roster().filter(|name| *name != self.of.me).collect();
            others
                .iter()
                .for_each(|name| self.say(name, &SideEvent::Waits(blocked.clone())));
        }
    }

    fn roster(&self) -> impl Iterator<Item = String> {
        self.of.members.roster().into_iter()
    }

    fn propose(&self, term: u64, what: CommandKind) {
        let now = Instant::now();
        let mut leading = self.leading.borrow_mut();
        match &what {
            CommandKind::Fleet(_) => {
                if leading
                    .facts
                    .is_some_and(|at| now - at < MIN_FLEET_REPORT_INTERVAL)
                {
                    return;
                }
                leading.facts = Some(now);
            }
            other => {
                let key = format!("{other:?}");
                leading
                    .proposed
                    .retain(|_, at| now - *at < STEP_RETRY_INTERVAL);
                if leading.proposed.contains_key(&key) {
                    return;
                }
                leading.proposed.insert(key, now);
            }
        }
        let command = Command {
            term,
            ..self.command(&self.of.me, what)
        };
        self.of
            .voters
            .propose(command.id, command.encode(), STEP_TIMEOUT);
    }

    fn command(&self, author: &str, what: CommandKind) -> Command {
        let at_ms = unix_ms();
        let (via, author) = (self.of.me.clone(), author.to_string());
        Command {
            id: self.of.voters.next_proposal_id(),
            at_ms,
            term: 0,
            via,
            author,
            kind: what,
        }
    }

    /// The fleet as this balancer sees it, and what has come back into use.
    async fn see(&self) -> Option<LeaderObservation> {
        let (to, hosts) = oneshot::channel();
        self.of.inbox.send(EngineEvent::Hosts(to)).await.ok()?;
        let listed = hosts.await.ok()?;
        let zone = |zone: usize| {
            self.of
                .zones
                .get(zone)
                .cloned()
                .unwrap_or_else(|| format!("zone {zone}"))
        };
        let hosts = listed.iter().map(|(name, member)| Host {
            name: name.clone(),
            zone: zone(usize::from(member.zone.0)),
            deduplication_group: member.cell.0,
            is_serving: member.state == EndpointState::Ready,
            started_ms: u64::try_from(member.incarnation).unwrap_or(0) / 1000,
        });
        let mut hosts: Vec<Host> = hosts.collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        // Its list has not come yet: nothing can be said of the fleet.
        if hosts.is_empty() {
            return None;
        }
        let report = self.of.members.report();
        let roster: BTreeSet<String> = self.roster().collect();
        let balancers = report
            .members
            .iter()
            .filter(|member| roster.contains(&member.name));
        let balancers: Vec<Balancer> = balancers
            .map(|member| Balancer {
                name: member.name.clone(),
                is_present: matches!(member.state, MemberState::Alive | MemberState::Suspect),
                has_left: member.state == MemberState::Left,
                is_voter: self.of.names.contains(&member.name),
                is_leader: member.name == self.of.me,
                process_id: member.process_id,
            })
            .collect();
        let warm = self.warm(&hosts, &balancers).await;
        let trouble = self.judge_service();
        let fleet = Fleet {
            hosts,
            balancers,
            fault: trouble,
        };
        Some(LeaderObservation {
            fleet,
            leader: self.of.me.clone(),
            now_ms: unix_ms(),
            warm,
            ..LeaderObservation::default()
        })
    }

    /// Below a mark over a window; well again only over a whole one.
    fn judge_service(&self) -> Option<String> {
        let (now, counters) = (Instant::now(), &self.of.counters);
        let served = counters.served.get();
        let counted = ServiceCounts {
            served,
            all: served + counters.refused.get() + counters.failed.get() + counters.shed.get(),
            at_origin: self.of.origin.ended.get(),
            unserved_at_origin: self.of.origin.unserved.get(),
        };
        let mut leading = self.leading.borrow_mut();
        let (began, before) = *leading.window.get_or_insert((now, counted));
        if now - began >= WINDOW {
            leading.trouble = counted.trouble_since(before, &self.of.me);
            leading.window = Some((now, counted));
        }
        leading.trouble.clone()
    }

    async fn warm(&self, hosts: &[Host], balancers: &[Balancer]) -> Vec<String> {
        let warming: Vec<String> = {
            let machine = self.of.voters.state_machine();
            machine
                .0
                .machines_at(Stage::WarmingUp)
                .map(|machine| machine.name().to_string())
                .collect()
        };
        if warming.is_empty() {
            let mut leading = self.leading.borrow_mut();
            leading.uses.clear();
            leading.counted_at = None;
            return Vec::new();
        }
        let counted_at = self.leading.borrow().counted_at;
        if counted_at.is_none_or(|at| at.elapsed() >= USAGE_COUNT_INTERVAL) {
            self.leading.borrow_mut().counted_at = Some(Instant::now());
            for host in hosts.iter().filter(|host| host.is_serving) {
                let Some((_, sent)) = self.used(&host.name).await else {
                    continue;
                };
                let mut leading = self.leading.borrow_mut();
                let known = leading.uses.get(&host.name).copied();
                let lately = known.map_or(0, |known| sent.saturating_sub(known.sent));
                leading.uses.insert(
                    host.name.clone(),
                    HostUsage {
                        sent,
                        lately: if known.is_some() { lately } else { u64::MAX },
                    },
                );
            }
        }
        let leading = self.leading.borrow();
        let counted = |name: &str| {
            leading
                .uses
                .get(name)
                .map(|of| of.lately)
                .filter(|of| *of < u64::MAX)
        };
        let others: Vec<u64> = hosts
            .iter()
            .filter(|host| host.is_serving && !warming.contains(&host.name))
            .filter_map(|host| counted(&host.name))
            .collect();
        let mean = others.iter().sum::<u64>() as f64 / others.len().max(1) as f64;
        let is_warm = |name: &String| match hosts.iter().find(|host| host.name == *name) {
            Some(host) => {
                host.is_serving
                    && counted(name).is_some_and(|of| of as f64 >= WARM_USAGE_RATIO * mean)
            }
            None => balancers
                .iter()
                .any(|one| one.name == *name && one.is_present),
        };
        warming.into_iter().filter(is_warm).collect()
    }

    /// Has members confirm what is held, and say when nothing is open there any more.
    fn ask(&self, seen: &mut LeaderObservation) {
        let (told, held) = {
            let machine = self.of.voters.state_machine();
            let caches = |stage| machine.0.hosts_at(stage).collect::<Vec<_>>();
            (caches(Stage::Notified), caches(Stage::Draining))
        };
        let mut leading = self.leading.borrow_mut();
        let wanted: BTreeSet<(String, u64)> = told
            .iter()
            .chain(&held)
            .map(|held| (held.host.clone(), held.notified))
            .collect();
        leading.asked.retain(|key, _| wanted.contains(key));
        leading.quiet.retain(|key, _| wanted.contains(key));
        for held in told {
            let key = (held.host.clone(), held.notified);
            let progress = leading
                .asked
                .get(&key)
                .and_then(|order| self.of.members.progress(*order));
            match progress {
                Some(progress) => drop(seen.confirmed.insert(observed(key), progress.confirmed)),
                // Too many at once: asked later.
                None => {
                    if let Ok(order) = self
                        .of
                        .members
                        .confirm_planned_cordon(&held.host, held.notified)
                    {
                        leading.asked.insert(key, order);
                    }
                }
            }
        }
        for held in held {
            let key = (held.host.clone(), held.notified);
            let quiet = leading.quiet.entry(key.clone()).or_default();
            seen.drained
                .insert(observed(key), quiet.iter().cloned().collect());
            for name in self
                .of
                .members
                .roster()
                .into_iter()
                .filter(|name| !quiet.contains(name))
            {
                let aside = SideEvent::IsQuiet {
                    host: held.host.clone(),
                    told: held.notified,
                };
                self.say(&name, &aside);
            }
        }
    }

    /// This process ends on purpose: another leads, without an election's wait.
    pub fn leave(&self) {
        if self.of.voters.leader_term().is_some() {
            self.of.voters.transfer_leadership();
        }
    }

    // --- for operators ---

    pub fn shown(&self) -> PublishedView {
        let waits = self.waits.borrow();
        let waits = waits.as_ref().filter(|(at, _)| at.elapsed() < BLOCKED_TTL);
        PublishedView {
            me: self.of.me.clone(),
            agreement: self.of.voters.status(),
            view: self.of.voters.state_machine().0.view(),
            waits: waits.map_or(Vec::new(), |(_, waits)| waits.clone()),
        }
    }

    pub fn figures(&self) -> String {
        let mut text = self.of.voters.metrics_text();
        for (stage, count) in self.of.voters.state_machine().0.count_by_stage() {
            text += &format!("maintenance_{stage}:{count}\r\n");
        }
        text
    }

    /// What a plan would take out, in order, by what is agreed now.
    pub fn dry_run(&self, plan: &Plan) -> Result<DryRun, CommandError> {
        let machine = self.of.voters.state_machine();
        // Danger: just founded, or just started, each name would be refused as one that nobody knows.
        if machine.0.fleet().hosts.is_empty() {
            return Err(CommandError::Unsettled(
                "nothing is agreed of the fleet yet; ask again".to_string(),
            ));
        }
        let order = machine
            .0
            .dry_run(plan)
            .map_err(|fault| CommandError::Refused(fault.to_string()))?;
        let rounds = order.len().div_ceil(plan.max_out.max(1) as usize) as u64;
        // What the steps may take before they are called late: known no better before.
        let longest = u64::from(plan.confirm_timeout_s)
            + u64::from(plan.drain_timeout_s)
            + u64::from(plan.warm_up_timeout_s);
        let machines = order
            .iter()
            .map(|machine| machine.name().to_string())
            .collect();
        Ok(DryRun {
            order: machines,
            rounds,
            at_most_s: rounds * (longest + u64::from(plan.work_timeout_s)),
        })
    }

    /// Brings an operator's command to the one who leads, and waits until it is settled.
    pub async fn command_of(
        &self,
        author: &str,
        what: CommandKind,
    ) -> Result<CommittedCommand, CommandError> {
        let command = self.command(author, what);
        let id = command.id;
        let settled = self
            .of
            .voters
            .propose_and_wait(id, command.encode(), COMMAND_TIMEOUT)
            .await;
        let status = self.of.voters.status();
        let outcome: Option<Outcome> = self.of.voters.state_machine().0.outcome(id).cloned();
        match (settled, outcome) {
            (Err(refusal), _) => Err(CommandError::Refused(refusal.to_string())),
            (Ok(_), Some(Outcome { index, term, result: Ok(_) })) => {
                Ok(CommittedCommand { via: self.of.me.clone(), leader: status.leader, index, term })
            }
            (Ok(_), Some(Outcome { result: Err(refusal), .. })) => Err(CommandError::Refused(refusal.to_string())),
            (Ok(_), None) => Err(CommandError::Unsettled(match status.leader {
                Some(leader) => format!(
                    "not settled in time, {leader} leads; it may be yet: look before you say it again"
                ),
                None => format!(
                    "nobody leads ({}); nothing can be agreed without a majority of the voters",
                    status.role
                ),
            })),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DryRun {
    pub order: Vec<String>,
    pub rounds: u64,
    pub at_most_s: u64,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

pub enum CommandError {
    Refused(String),
    Unsettled(String),
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The key of a host in the leader's observations.
fn observed((host, notified): (String, u64)) -> MachineKey {
    MachineKey { host, notified }
}
