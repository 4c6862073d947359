//! Agreed maintenance of machines at this balancer: the agreed state goes to the engine and to the group's cordons, and
//! the observations of this balancer go to the plans. The next step is decided by `stairfront-maintenance`; no
//! request waits for any of it.
//!
//! [`MaintenanceService`] is the driver. Its leader's loop is in `leader` and `warm_up`, what the admin API and `INFO`
//! show in [`admin`], and what members send each other beside the Raft messages in [`side_event`].
pub mod admin;
mod leader;
pub mod service_health;
pub mod side_event;
mod warm_up;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_maintenance::{BlockedMachine, MachineKey, Maintenance, Stage};
use stairfront_membership_agent::{MembershipAgent, PlannedCordon, PlannedCordons};
use stairfront_raft_node::RaftNode;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, Instant, MissedTickBehavior};
use tracing::{info, warn};

use crate::control::pending_order::OrderDispatcher;
use crate::counters::{Counters, OriginUsage};
use crate::messages::EngineEvent;
use leader::LeaderState;
use side_event::SideEvent;

/// Between two steps of the leader's loop.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The agreed plans, as the replicated state machine of the Raft node.
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
        if data.is_empty() {
            self.0 = Maintenance::default();
            return;
        }
        self.0 = Maintenance::restore(data).unwrap_or_else(|| {
            warn!("snapshot of the plans is not readable, starting without plans");
            Maintenance::default()
        });
    }
}

/// Handles of the parts that the service works with.
pub struct MaintenanceHandles {
    /// The Raft node that agrees on the plans.
    pub raft: Rc<RaftNode<Plans>>,
    /// The member of the group.
    pub membership: Rc<MembershipAgent>,
    /// Orders to the engine, and to the other process of an upgrade.
    pub orders: OrderDispatcher,
    /// Leads to the engine.
    pub events: mpsc::Sender<EngineEvent>,
    /// Counters by which the leader judges the service.
    pub counters: Rc<Counters>,
    /// The same of the origin.
    pub origin: Rc<OriginUsage>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Names of the balancers that vote.
    pub voters: Vec<String>,
    /// Name of this balancer.
    pub name: String,
}

/// Why machines are blocked, as the leader has last reported it.
struct BlockedReport {
    received_at: Instant,
    machines: Vec<BlockedMachine>,
}

/// How far a host is in use.
#[derive(Clone, Copy)]
struct HostUsage {
    /// Attempts that have not ended.
    open: u64,
    /// All attempts sent.
    sent: u64,
}

/// Drives the agreed maintenance at this balancer.
pub struct MaintenanceService {
    handles: MaintenanceHandles,
    leader: RefCell<LeaderState>,
    blocked: RefCell<Option<BlockedReport>>,
    /// Stage of a plan that this balancer itself is in, as last logged.
    own_stage: RefCell<Option<Stage>>,
}

impl MaintenanceService {
    /// A service that does nothing until it is run.
    pub fn new(handles: MaintenanceHandles) -> Rc<Self> {
        Rc::new(MaintenanceService {
            handles,
            leader: RefCell::default(),
            blocked: RefCell::default(),
            own_stage: RefCell::default(),
        })
    }

    /// Runs the Raft node and the service for as long as the balancer runs.
    pub async fn run(self: Rc<Self>) {
        let raft = &self.handles.raft;
        let _raft_task = AbortOnDrop(spawn_local(Rc::clone(raft).run()));
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.follow_agreed_state();
                    self.lead().await;
                }
                () = raft.next_commit() => self.follow_agreed_state(),
                message = raft.next_side_message() => {
                    self.handle_side_event(&message.from, &message.bytes).await;
                }
            }
        }
    }

    /// Has the group's cordons follow what is agreed.
    fn follow_agreed_state(&self) {
        let applied = self.handles.raft.applied();
        if applied.cluster_id == 0 {
            return;
        }
        let machine = self.handles.raft.state_machine();
        let cordoned = machine.0.cordoned_hosts().into_iter();
        let cordons = cordoned.map(|cordoned| PlannedCordon {
            host: cordoned.host,
            log_index: cordoned.notified,
        });
        self.handles
            .membership
            .apply_planned_cordons(&PlannedCordons {
                cluster_id: applied.cluster_id,
                cordons: cordons.collect(),
                up_to: applied.index,
            });
        self.log_own_stage(machine.0.balancer_stage(&self.handles.name));
    }

    fn log_own_stage(&self, stage: Option<Stage>) {
        if stage == *self.own_stage.borrow() {
            return;
        }
        match stage {
            Some(Stage::Out) => {
                info!("a plan has taken this balancer out, it may be stopped and started");
            }
            Some(stage) => info!(
                stage = stage.as_str(),
                "a plan is about to take this balancer out"
            ),
            None => info!("no plan takes this balancer out any more"),
        }
        *self.own_stage.borrow_mut() = stage;
    }

    async fn handle_side_event(&self, from: &str, bytes: &[u8]) {
        match SideEvent::decode(bytes) {
            Some(SideEvent::QuietQuery { host, entry }) => {
                self.answer_quiet_query(from, host, entry).await;
            }
            Some(SideEvent::QuietReport { host, entry }) => {
                let key = MachineKey {
                    host,
                    notified: entry,
                };
                self.leader.borrow_mut().add_quiet(&key, from);
            }
            Some(SideEvent::BlockedMachines(machines)) => self.set_blocked(machines),
            // A message of another version.
            None => {}
        }
    }

    async fn answer_quiet_query(&self, from: &str, host: String, entry: u64) {
        if self.is_quiet(&host).await {
            self.send_side_event(from, &SideEvent::QuietReport { host, entry });
        }
    }

    fn set_blocked(&self, machines: Vec<BlockedMachine>) {
        *self.blocked.borrow_mut() = Some(BlockedReport {
            received_at: Instant::now(),
            machines,
        });
    }

    fn send_side_event(&self, to: &str, event: &SideEvent) {
        self.handles.raft.send_side_message(to, event.encode());
    }

    /// Whether a host is held out here and no attempt is open there in any process of this balancer.
    async fn is_quiet(&self, host: &str) -> bool {
        if !self.handles.membership.is_cordoned(host) {
            return false;
        }
        self.host_usage(host)
            .await
            .is_some_and(|usage| usage.open == 0)
    }

    /// How far this balancer uses a host; `None` if one of its processes does not answer.
    async fn host_usage(&self, host: &str) -> Option<HostUsage> {
        let order = OperatorOrder::GetUsage(host.to_string());
        let orders = &self.handles.orders;
        let own = orders
            .run_here(order.clone(), OrderSource::Operator)
            .await?;
        let all = orders
            .run_at_peers(own, &order, OrderSource::Operator)
            .await?;
        match all {
            OrderOutcome::Usage { in_flight, sent } => Some(HostUsage {
                open: in_flight,
                sent,
            }),
            _ => None,
        }
    }

    /// Hands the leadership over, since this process ends on purpose: another leads without waiting for an election.
    pub fn leave(&self) {
        if self.handles.raft.leader_term().is_some() {
            self.handles.raft.transfer_leadership();
        }
    }
}

/// Ends a task together with the one that started it.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
