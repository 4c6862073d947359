//! The task of one member: it runs the consensus and applies what is committed.
mod commit;
mod proposals;

use std::cell::{Cell, Ref, RefCell};
use std::future::Future;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use stairfront_common::time::{from_duration, Micros};
use stairfront_membership_agent::MembershipAgent;
use stairfront_raft::{
    ClusterManager, Envelope, LogIndex, OutgoingMessage, Recovered, Settings, Term, Voter,
};
use tokio::sync::Notify;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};
use tracing::{error, info, warn};

use crate::state_machine::StateMachine;
use crate::status::{info_fields, Status};
use crate::store::StoreError;
use crate::store_thread::{StoreThread, StoreThreadError};
use crate::transport::{SideMessage, Transport};

pub use self::proposals::ProposalOutcome;

/// Half of a leader's heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two attempts to open a store.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftNodeSettings {
    /// Name of this member.
    pub name: String,
    /// Name of the group.
    pub group: String,
    /// Names of the configured voters, the founder first.
    pub voter_names: Vec<String>,
    /// The file of a voter's store; a voter without one keeps its state in memory.
    pub store_path: Option<PathBuf>,
    /// Seed of election timeouts and of the incarnation.
    pub seed: u64,
}

impl RaftNodeSettings {
    /// The file of the store, if this member votes and has one.
    fn voter_store(&self) -> Option<&Path> {
        let is_voter = self.voter_names.contains(&self.name);
        self.store_path.as_deref().filter(|_| is_voter)
    }
}

/// How far a member has applied the log of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The identity of the group; 0 for none.
    pub cluster_id: u64,
    /// Index of the last applied entry.
    pub index: LogIndex,
}

/// How far the state machine is, and the last snapshot of it.
#[derive(Clone, Copy, Default)]
struct AppliedIndex {
    last: LogIndex,
    snapshot: LogIndex,
}

/// The messages of a batch that is on its way to the disk.
struct PendingBatch {
    number: u64,
    messages: Vec<OutgoingMessage>,
}

/// One member of the group's consensus, with its state machine.
pub struct RaftNode<M> {
    settings: RaftNodeSettings,
    transport: Transport,
    start: Instant,
    /// None until the store is open.
    manager: RefCell<Option<ClusterManager>>,
    state_machine: RefCell<M>,
    pending_batch: RefCell<Option<PendingBatch>>,
    applied: Cell<AppliedIndex>,
    store_error: RefCell<Option<StoreError>>,
    /// There is work for the manager that did not come by a message.
    work_added: Notify,
    committed: Notify,
    proposal_count: Cell<u64>,
    /// The status that was logged last.
    logged_status: RefCell<Option<Status>>,
}

impl<M: StateMachine> RaftNode<M> {
    /// A member that sends over this membership and has its state machine in the initial state.
    #[must_use]
    pub fn new(
        membership: Rc<MembershipAgent>,
        settings: RaftNodeSettings,
        state_machine: M,
    ) -> Rc<Self> {
        Rc::new(RaftNode {
            transport: Transport::new(membership, &settings.name),
            settings,
            start: Instant::now(),
            manager: RefCell::default(),
            state_machine: RefCell::new(state_machine),
            pending_batch: RefCell::default(),
            applied: Cell::default(),
            store_error: RefCell::default(),
            work_added: Notify::new(),
            committed: Notify::new(),
            proposal_count: Cell::default(),
            logged_status: RefCell::default(),
        })
    }

    fn now(&self) -> Micros {
        from_duration(self.start.elapsed())
    }

    /// Runs this member for as long as the balancer runs.
    pub async fn run(self: Rc<Self>) {
        self.transport.start().await;
        loop {
            let mut store = None;
            match self.settings.voter_store() {
                None => self.start_member(self.new_voter(), Recovered::default()),
                Some(path) => {
                    store = self.while_receiving(self.open_store(path)).await;
                    if store.is_none() {
                        self.while_receiving(sleep(STORE_RETRY_INTERVAL)).await;
                        continue;
                    }
                }
            }
            let error = self.serve(store.as_mut()).await;
            error!(%error, "raft store failed, not voting until it is opened again");
            self.stop_member(error);
            drop(store);
            self.while_receiving(sleep(STORE_RETRY_INTERVAL)).await;
        }
    }

    /// The identity of this member, if its storage is empty.
    fn new_voter(&self) -> Voter {
        Voter {
            name: self.settings.name.clone(),
            incarnation: self.settings.seed ^ self.transport.process_id(),
        }
    }

    /// Goes on receiving while something takes its time. A balancer whose store is not open still
    /// answers side messages: without its answers no machine could be taken out for maintenance
    /// anywhere.
    async fn while_receiving<T>(&self, work: impl Future<Output = T>) -> T {
        tokio::pin!(work);
        loop {
            tokio::select! {
                done = &mut work => return done,
                received = self.transport.receive() => self.handle_received(received),
            }
        }
    }

    /// Opens the store and starts the consensus with its content; none if it cannot be opened.
    async fn open_store(&self, path: &Path) -> Option<StoreThread> {
        match StoreThread::start(path, &self.settings.group, self.new_voter()).await {
            Ok(opened) => {
                self.start_member(opened.voter, opened.recovered);
                Some(opened.thread)
            }
            Err(StoreThreadError::Spawn(error)) => {
                warn!(%error, "cannot start the thread of the raft store");
                None
            }
            Err(StoreThreadError::Store(error)) => {
                error!(%error, "cannot open the raft store, serving without a vote");
                self.store_error.replace(Some(error));
                None
            }
        }
    }

    fn start_member(&self, local: Voter, recovered: Recovered) {
        info!(
            member = %local.name,
            incarnation = %format_args!("{:x}", local.incarnation),
            "raft member started"
        );
        self.store_error.take();
        self.applied.set(AppliedIndex::default());
        self.state_machine.borrow_mut().restore(0, &[]);
        let seed = self.settings.seed ^ self.transport.process_id();
        let settings = Settings::new(local, seed);
        let voter_names = &self.settings.voter_names;
        let manager = ClusterManager::new(self.now(), settings, voter_names, recovered);
        self.manager.replace(Some(manager));
    }

    /// Discards the state in memory: the member starts again from its store, which lacks what it
    /// was about to promise.
    fn stop_member(&self, error: StoreError) {
        self.store_error.replace(Some(error));
        self.manager.take();
        self.pending_batch.take();
    }

    /// Runs the consensus until the store fails.
    async fn serve(&self, mut store: Option<&mut StoreThread>) -> StoreError {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let saved = async {
                match store.as_mut() {
                    Some(thread) => thread.next_saved().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = ticks.tick() => {
                    self.with_manager(|manager, now| manager.tick(now));
                    self.log_status_change();
                }
                received = self.transport.receive() => self.handle_received(received),
                saved = saved => match saved {
                    Ok(number) => self.finish_batch(number),
                    Err(error) => return error,
                },
                () = self.work_added.notified() => {}
            }
            self.process_ready(store.as_deref());
        }
    }

    fn handle_received(&self, received: Option<Envelope>) {
        if let Some(envelope) = received {
            self.with_manager(|manager, now| manager.handle_message(now, envelope));
        }
    }

    /// Calls the manager, if it runs; the default value if not.
    fn with_manager<T: Default>(&self, work: impl FnOnce(&mut ClusterManager, Micros) -> T) -> T {
        let now = self.now();
        let mut manager = self.manager.borrow_mut();
        manager
            .as_mut()
            .map_or(T::default(), |manager| work(manager, now))
    }

    /// Logs each change of the role, the leader, the term or the voters.
    fn log_status_change(&self) {
        let status = Status {
            committed: 0,
            ..self.status()
        };
        let before = self.logged_status.replace(Some(status.clone()));
        if before.as_ref() == Some(&status) {
            return;
        }
        info!(
            role = status.role,
            leader = status.leader.as_deref().unwrap_or("nobody"),
            term = status.term,
            voters = ?status.voters,
            missing_voters = ?status.missing_voters,
            applied = self.applied.get().last,
            "raft status changed"
        );
    }

    /// Sends a side message to a member, which may be this one. It is not part of the log, and may
    /// be lost.
    pub fn send_side_message(&self, to: &str, bytes: Vec<u8>) {
        self.transport.send_side_message(to, bytes);
    }

    /// Returns the next side message, once there is one.
    pub async fn next_side_message(&self) -> SideMessage {
        self.transport.next_side_message().await
    }

    /// How far the state machine has applied the log, and of which group.
    #[must_use]
    pub fn applied(&self) -> Applied {
        let manager = self.manager.borrow();
        Applied {
            cluster_id: manager.as_ref().map_or(0, ClusterManager::cluster_id),
            index: self.applied.get().last,
        }
    }

    /// The state machine. It must not be borrowed across an `await`.
    pub fn state_machine(&self) -> Ref<'_, M> {
        self.state_machine.borrow()
    }

    /// The term in which this member leads and may commit, if it does.
    #[must_use]
    pub fn leader_term(&self) -> Option<Term> {
        let manager = self.manager.borrow();
        let manager = manager.as_ref()?;
        (manager.node().is_leader() && manager.may_commit()).then(|| manager.node().term())
    }

    /// Transfers the leadership to another voter, if this member leads and another is in contact.
    pub fn transfer_leadership(&self) {
        self.with_manager(|manager, now| {
            if let Err(error) = manager.transfer_leadership(now) {
                info!(%error, "leadership not transferred");
            }
        });
        self.work_added.notify_one();
    }

    /// The state of this member.
    #[must_use]
    pub fn status(&self) -> Status {
        let manager = self.manager.borrow();
        match manager.as_ref() {
            Some(manager) => {
                Status::of_member(manager, &self.settings.voter_names, self.applied.get().last)
            }
            None => {
                let error = self.store_error.borrow();
                Status::unavailable(error.as_ref().map(ToString::to_string))
            }
        }
    }

    /// The fields of `INFO`: a line `name:value` each.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let manager = self.manager.borrow();
        info_fields(
            manager.as_ref(),
            self.applied.get().last,
            self.transport.unreadable_frames(),
        )
    }
}
