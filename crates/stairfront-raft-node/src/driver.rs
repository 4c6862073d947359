//! The voter's one task, and the thread of its store.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::future::Future;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc as thread;
use std::time::Duration;

use serde::Serialize;
use stairfront_membership_agent::{MembershipAgent, ReceivedPayload};
use stairfront_raft::cluster_manager::{ClusterManager, Envelope, ProposalError};
use stairfront_raft::{Index, Message, Micros, Payload, Ready, Recovered, Settings, Voter};
use tokio::sync::{mpsc, Notify};
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};
use tracing::{error, info, warn};

use crate::store::{Store, StoreError};

/// Half of a leader's heartbeat.
const TICK: Duration = Duration::from_millis(50);
/// Settled entries behind which the log is cut.
const COMPACT_EVERY: Index = 256;
/// Between two tries to open a store that failed.
const OPEN_AGAIN: Duration = Duration::from_secs(1);

/// What the settled orders are for. The same orders in the same order make the same machine at each member.
pub trait StateMachine {
    /// The number of the order, so that its sender is told.
    fn apply(&mut self, index: Index, term: u64, order: &[u8]) -> Option<u64>;
    /// All that was applied, for those who were away.
    fn snapshot(&self) -> Vec<u8>;
    /// Begins anew from a snapshot; empty for the very beginning.
    fn restore(&mut self, index: Index, data: &[u8]);
}

/// To be seen by operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct Status {
    /// leads, follows, learns, or why it is not there.
    pub role: String,
    pub leader: Option<String>,
    pub term: u64,
    #[serde(rename = "settled")]
    pub committed: u64,
    pub voters: Vec<String>,
    /// Configured voters that are not in.
    pub not_in: Vec<String>,
}

/// What travels over the membership.
#[derive(Serialize, serde::Deserialize)]
enum Parcel {
    Agreement(Envelope),
    /// Of whoever uses the agreement.
    Aside(Vec<u8>),
}

/// Asides not taken yet; the oldest is worth least.
const MOST_ASIDES: usize = 512;

enum Job {
    Save(Ready),
}

enum Stored {
    Opened(Voter, Recovered),
    Saved(u64),
    Failed(StoreError),
}

struct Thread {
    jobs: thread::SyncSender<Job>,
    done: mpsc::Receiver<Stored>,
}

/// A `Ready` on its way to the disk, and what is said once it is there.
struct UnderWay {
    number: u64,
    send: Vec<(Voter, Message)>,
}

pub struct RaftNode<M> {
    members: Rc<MembershipAgent>,
    me: String,
    group: String,
    names: Vec<String>,
    path: Option<PathBuf>,
    seed: u64,
    start: Instant,
    council: RefCell<Option<ClusterManager>>,
    machine: RefCell<M>,
    under_way: RefCell<Option<UnderWay>>,
    /// Up to where the machine is, and the last snapshot.
    applied: Cell<(Index, Index)>,
    fault: RefCell<Option<String>>,
    changed: Notify,
    /// Something was settled, or the leader changed.
    settled: Notify,
    unreadable: Cell<u64>,
    asides: RefCell<VecDeque<(String, Vec<u8>)>>,
    has_aside: Notify,
    ids: Cell<u64>,
    /// What the log last said of who leads and who votes.
    logged: RefCell<Option<Status>>,
}

impl<M: StateMachine> RaftNode<M> {
    pub fn new(
        members: Rc<MembershipAgent>,
        (me, group): (&str, &str),
        names: &[String],
        path: Option<PathBuf>,
        seed: u64,
        machine: M,
    ) -> Rc<Self> {
        Rc::new(RaftNode {
            members,
            me: me.to_string(),
            group: group.to_string(),
            names: names.to_vec(),
            path: path.filter(|_| names.iter().any(|name| name == me)),
            seed,
            start: Instant::now(),
            council: RefCell::default(),
            machine: RefCell::new(machine),
            under_way: RefCell::default(),
            applied: Cell::default(),
            fault: RefCell::default(),
            changed: Notify::new(),
            settled: Notify::new(),
            unreadable: Cell::default(),
            asides: RefCell::default(),
            has_aside: Notify::new(),
            ids: Cell::default(),
            logged: RefCell::default(),
        })
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Votes and learns for as long as the balancer runs.
    pub async fn run(self: Rc<Self>) {
        self.members.enable_payloads();
        // Danger: during an upgrade the process before this one still votes, and has the store open.
        self.members.wait_until_listening().await;
        loop {
            let life = self.seed ^ self.members.process_id();
            let voter = Voter {
                name: self.me.clone(),
                incarnation: life,
            };
            let mut store = None;
            match &self.path {
                None => self.begin(voter, Recovered::default()),
                Some(path) => {
                    store = self.hearing(self.open(path.clone(), voter)).await;
                    if store.is_none() {
                        self.hearing(sleep(OPEN_AGAIN)).await;
                        continue;
                    }
                }
            }
            let fault = self.serve(store.as_mut()).await;
            error!("agreement: {fault}; not voting until it can be opened again");
            *self.fault.borrow_mut() = Some(fault.to_string());
            // Danger: what this voter was about to promise is not on its disk; it begins anew from what is.
            self.council.borrow_mut().take();
            self.under_way.borrow_mut().take();
            drop(store);
            self.hearing(sleep(OPEN_AGAIN)).await;
        }
    }

    /// Goes on hearing the others while something takes its time. Danger: a voter without its disk is a balancer as before; if
    /// it did not say what is quiet here, no machine would be out anywhere until somebody forced it.
    async fn hearing<T>(&self, work: impl Future<Output = T>) -> T {
        tokio::pin!(work);
        loop {
            tokio::select! {
                done = &mut work => return done,
                ReceivedPayload { from, bytes } = self.members.next_payload() => self.hear(&from, &bytes),
            }
        }
    }

    async fn open(&self, path: PathBuf, voter: Voter) -> Option<Thread> {
        let (jobs, work) = thread::sync_channel(1);
        let (say, mut done) = mpsc::channel(1);
        let group = self.group.clone();
        let work = move || {
            // Danger: on a spoilt file the store may panic, and nobody would be told why this voter does not vote.
            let opened = std::panic::catch_unwind(|| Store::open(&path, &group, voter));
            let opened = opened.unwrap_or_else(|_| {
                let (path, what) = (
                    path.display().to_string(),
                    "it cannot be read at all".to_string(),
                );
                Err(StoreError::Spoilt { path, what })
            });
            let (store, recovered) = match opened {
                Ok(opened) => opened,
                Err(fault) => return drop(say.blocking_send(Stored::Failed(fault))),
            };
            if say
                .blocking_send(Stored::Opened(store.voter().clone(), recovered))
                .is_err()
            {
                return;
            }
            while let Ok(Job::Save(ready)) = work.recv() {
                let number = ready.number;
                let stored = match store.save(&ready) {
                    Ok(()) => Stored::Saved(number),
                    Err(fault) => Stored::Failed(fault),
                };
                let over = matches!(stored, Stored::Failed(_));
                if say.blocking_send(stored).is_err() || over {
                    return;
                }
            }
        };
        if let Err(problem) = std::thread::Builder::new()
            .name("agreement".to_string())
            .spawn(work)
        {
            warn!("agreement: no thread for the store: {problem}");
            return None;
        }
        match done.recv().await {
            Some(Stored::Opened(voter, recovered)) => {
                self.begin(voter, recovered);
                Some(Thread { jobs, done })
            }
            Some(Stored::Failed(fault)) => {
                error!("agreement: {fault}; this balancer serves and does not vote");
                *self.fault.borrow_mut() = Some(fault.to_string());
                None
            }
            _ => None,
        }
    }

    fn begin(&self, me: Voter, recovered: Recovered) {
        info!(
            "agreement: this is life {:x} of {}",
            me.incarnation, me.name
        );
        self.fault.borrow_mut().take();
        self.applied.set((0, 0));
        self.machine.borrow_mut().restore(0, &[]);
        let set = Settings::new(me, self.seed ^ self.members.process_id());
        *self.council.borrow_mut() =
            Some(ClusterManager::new(self.now(), set, &self.names, recovered));
    }

    /// Until the store fails.
    async fn serve(&self, mut store: Option<&mut Thread>) -> StoreError {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let stored = async {
                match store.as_mut() {
                    Some(thread) => thread.done.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = ticks.tick() => {
                    self.with(|council, now| council.tick(now));
                    self.log_changes();
                }
                ReceivedPayload { from, bytes } = self.members.next_payload() => self.hear(&from, &bytes),
                stored = stored => match stored {
                    Some(Stored::Saved(number)) => self.saved(number),
                    Some(Stored::Failed(fault)) => return fault,
                    _ => return StoreError::Disk { path: self.path_text(), problem: "its thread has ended".to_string() },
                },
                () = self.changed.notified() => {}
            }
            self.pump(store.as_deref());
        }
    }

    /// One line for each change of who leads and who votes, and from which term on.
    fn log_changes(&self) {
        let now = Status {
            committed: 0,
            ..self.status()
        };
        let before = self.logged.replace(Some(now.clone()));
        if before.as_ref() == Some(&now) {
            return;
        }
        let Status {
            role,
            leader,
            term,
            voters,
            not_in,
            ..
        } = now;
        let (leader, upto) = (leader.as_deref().unwrap_or("nobody"), self.applied.get().0);
        info!("agreement: {role}; {leader} leads, term {term}; vote: {voters:?}, not in: {not_in:?}; settled to {upto}");
    }

    fn path_text(&self) -> String {
        self.path
            .as_ref()
            .map_or(String::new(), |path| path.display().to_string())
    }

    fn with<T: Default>(&self, work: impl FnOnce(&mut ClusterManager, Micros) -> T) -> T {
        let now = self.now();
        self.council
            .borrow_mut()
            .as_mut()
            .map_or(T::default(), |council| work(council, now))
    }

    fn hear(&self, from: &str, bytes: &[u8]) {
        match postcard::from_bytes::<Parcel>(bytes) {
            // Danger: a member that speaks in another's name would vote twice.
            Ok(Parcel::Agreement(envelope)) if envelope.from.name == from => {
                self.with(|council, now| council.handle_message(now, envelope));
            }
            Ok(Parcel::Aside(bytes)) => self.hear_aside(from, bytes),
            _ => self.unreadable.set(self.unreadable.get() + 1),
        }
    }

    fn saved(&self, number: u64) {
        let Some(UnderWay { send, .. }) = self
            .under_way
            .borrow_mut()
            .take_if(|under_way| under_way.number == number)
        else {
            return;
        };
        self.send(send);
        self.with(|council, now| council.persisted(now, number));
    }

    fn send(&self, send: Vec<(Voter, Message)>) {
        let council = self.council.borrow();
        let Some(council) = council.as_ref() else {
            return;
        };
        for (to, message) in send {
            let (name, envelope) = council.envelope(to, message);
            self.carry(&name, envelope);
        }
    }

    fn carry(&self, to: &str, envelope: Envelope) {
        // Names, numbers and lists of them alone, which cannot fail.
        let bytes = postcard::to_stdvec(&Parcel::Agreement(envelope)).unwrap_or_default();
        self.members.send_payload(to, bytes);
    }

    fn hear_aside(&self, from: &str, bytes: Vec<u8>) {
        let mut asides = self.asides.borrow_mut();
        if asides.len() >= MOST_ASIDES {
            asides.pop_front();
        }
        asides.push_back((from.to_string(), bytes));
        self.has_aside.notify_one();
    }

    /// Says something to a member that is not agreed; to this one itself, too.
    pub fn send_side_message(&self, to: &str, bytes: Vec<u8>) {
        if to == self.me {
            return self.hear_aside(to, bytes);
        }
        // A list of bytes, which cannot fail.
        self.members.send_payload(
            to,
            postcard::to_stdvec(&Parcel::Aside(bytes)).unwrap_or_default(),
        );
    }

    pub async fn next_aside(&self) -> (String, Vec<u8>) {
        loop {
            if let Some(next) = self.asides.borrow_mut().pop_front() {
                return next;
            }
            self.has_aside.notified().await;
        }
    }

    /// A number that no other command has: of this process, and counted.
    pub fn next_id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        xxhash_rust::xxh3::xxh3_64_with_seed(
            &self.ids.get().to_le_bytes(),
            self.members.process_id(),
        )
    }

    /// Which group it is, 0 for none, and up to where its orders are applied.
    pub fn committed_up_to(&self) -> (u64, u64) {
        let founding = self
            .council
            .borrow()
            .as_ref()
            .map_or(0, ClusterManager::founding);
        (founding, self.applied.get().0)
    }

    /// Does what the core wants, as long as nothing waits for the disk.
    fn pump(&self, store: Option<&Thread>) {
        let words = self.with(|council, _| council.take_messages());
        words
            .into_iter()
            .for_each(|(to, envelope)| self.carry(&to, envelope));
        while self.under_way.borrow().is_none() {
            let Some(mut ready) = self.with(|council, _| council.ready()) else {
                return;
            };
            self.apply(&mut ready);
            let number = ready.number;
            let send = std::mem::take(&mut ready.send);
            let nothing = ready.hard.is_none()
                && ready.snapshot.is_none()
                && ready.truncate.is_none()
                && ready.append.is_empty();
            match store.filter(|_| !nothing) {
                Some(thread) => {
                    *self.under_way.borrow_mut() = Some(UnderWay { number, send });
                    // The thread takes one at a time and has none; one that has ended says so by `done`.
                    let _ = thread.jobs.try_send(Job::Save(ready));
                }
                None => {
                    self.send(send);
                    self.with(|council, now| council.persisted(now, number));
                }
            }
        }
    }

    fn apply(&self, ready: &mut Ready) {
        let (mut applied, mut cut) = self.applied.get();
        if let Some(snapshot) = ready.restored.take() {
            self.machine
                .borrow_mut()
                .restore(snapshot.index, &snapshot.data);
            (applied, cut) = (snapshot.index, snapshot.index);
        }
        let mut any = false;
        for (index, entry) in std::mem::take(&mut ready.committed) {
            applied = index;
            if let Payload::Order(order) = &entry.payload {
                let id = self.machine.borrow_mut().apply(index, entry.term, order);
                if let Some(id) = id {
                    self.with(|council, _| council.committed(id));
                }
            }
            any = true;
        }
        if applied - cut >= COMPACT_EVERY {
            let data = self.machine.borrow().snapshot();
            self.with(|council, _| council.compact(applied, data));
            cut = applied;
        }
        self.applied.set((applied, cut));
        if any {
            self.settled.notify_waiters();
        }
    }

    // --- for others ---

    /// Brings an order to the leader and waits until it is settled and applied here; false if it is not known to be within
    /// the time. It may be settled later all the same.
    pub async fn order(
        &self,
        id: u64,
        bytes: Vec<u8>,
        limit: Duration,
    ) -> Result<bool, ProposalError> {
        let micros = limit.as_micros() as Micros;
        let there = self.council.borrow().is_some();
        if !there {
            return Ok(false);
        }
        let now = self.now();
        if let Some(council) = self.council.borrow_mut().as_mut() {
            council.propose(now, id, bytes, micros)?;
        }
        self.changed.notify_one();
        let settled = async {
            loop {
                let settled = self.settled.notified();
                if !self.with(|council, _| council.is_pending(id)) {
                    return;
                }
                settled.await;
            }
        };
        let in_time = timeout(limit, settled).await.is_ok();
        Ok(in_time)
    }

    /// Says an order without waiting for it; the one who leads does so, and looks again.
    pub fn propose(&self, id: u64, bytes: Vec<u8>, limit: Duration) {
        let micros = limit.as_micros() as Micros;
        if let Some(council) = self.council.borrow_mut().as_mut() {
            // Too many at once: looked at again.
            let _ = council.propose(self.now(), id, bytes, micros);
        }
        self.changed.notify_one();
    }

    pub fn machine(&self) -> std::cell::Ref<'_, M> {
        self.machine.borrow()
    }

    /// The term in which this one leads and may settle, if it does.
    pub fn leader_term(&self) -> Option<u64> {
        let council = self.council.borrow();
        let council = council.as_ref()?;
        (council.node().is_leader() && council.may_commit()).then(|| council.node().term())
    }

    pub fn transfer_leadership(&self) {
        self.with(|council, now| {
            if let Err(refusal) = council.transfer_leadership(now) {
                info!("agreement: the leadership stays here: {refusal}");
            }
        });
        self.changed.notify_one();
    }

    /// Whenever something was settled.
    pub async fn next_settled(&self) {
        self.settled.notified().await;
    }

    pub fn status(&self) -> Status {
        let council = self.council.borrow();
        let Some(council) = council.as_ref() else {
            let why = self.fault.borrow().clone();
            return Status {
                role: why.unwrap_or_else(|| "begins".to_string()),
                ..Status::default()
            };
        };
        let node = council.node();
        let votes = node.voters().contains(council.me());
        let role = match (node.is_leader(), votes) {
            (true, _) => "leads",
            (_, true) => "follows",
            _ => "learns",
        };
        let is_in = |name: &&String| node.voters().iter().any(|voter| voter.name == **name);
        Status {
            role: role.to_string(),
            leader: node.leader().map(|leader| leader.name.clone()),
            term: node.term(),
            committed: self.applied.get().0,
            voters: node
                .voters()
                .iter()
                .map(|voter| voter.name.clone())
                .collect(),
            not_in: self
                .names
                .iter()
                .filter(|name| !is_in(name))
                .cloned()
                .collect(),
        }
    }

    /// One `name:value` a line, for `INFO`.
    pub fn metrics_text(&self) -> String {
        let council = self.council.borrow();
        let mut text = String::new();
        let Some(council) = council.as_ref() else {
            return "agreement_role:out\r\n".to_string();
        };
        let (node, f) = (council.node(), council.figures);
        let figures = [
            ("agreement_leads", u64::from(node.is_leader())),
            ("agreement_term", node.term()),
            ("agreement_settled", self.applied.get().0),
            ("agreement_voters", node.voters().len() as u64),
            ("agreement_foreign_total", f.foreign),
            ("agreement_older_life_total", f.older_life),
            ("agreement_taken_in_total", f.taken_in),
            ("agreement_taken_out_total", f.taken_out),
            ("agreement_given_up_total", f.given_up),
            ("agreement_unreadable_total", self.unreadable.get()),
        ];
        for (name, value) in figures {
            // Into memory, which cannot fail.
            let _ = write!(text, "{name}:{value}\r\n");
        }
        text
    }
}
