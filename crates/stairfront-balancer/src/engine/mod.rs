//! The engine: the one task that owns the decision module, the open requests, the pool of connections to servers and the
//! timers. It hands events to the decision module and carries its actions out, each through its stage.
//!
//! Events are handled here; `effects` carries actions out, `endpoint_list` applies endpoint lists, and `cordons` the
//! orders of operators and of the group.
mod cordons;
mod effects;
mod endpoint_list;
mod list_in_use;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;

use rustc_hash::{FxHashMap, FxHashSet};
use stairfront_admin_api::HostRegistry;
use stairfront_common::time::Micros;
use stairfront_membership_agent::MembershipAgent;
use stairfront_overload::AdmissionController;
use stairfront_policy::interface::{
    Action, CacheId, CacheMode, DiscoveryMode, Endpoint, Event, RequestId, Settings,
};
use stairfront_settings::{LoadedSettings, SettingsUpdate};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::time::DelayQueue;
use tracing::{debug, info};

use crate::clock::{timer_duration, Clock};
use crate::configuration::limits::stall_timeout;
use crate::configuration::request_catalog::RequestCatalog;
use crate::control::cordon_record::CordonRecord;
use crate::control::pending_order::PendingOrder;
use crate::control::server_list::{cache_id, ServerList};
use crate::counters::{Counters, OriginUsage};
use crate::engine::list_in_use::ListInUse;
use crate::lifecycle::handover::OtherProcess;
use crate::lifecycle::handover_state::{HandoverState, Snapshot};
use crate::lifecycle::id_log::{IdLogFiles, UpgradeSide};
use crate::lifecycle::loop_monitor::{admission_settings, RuntimeHandles};
use crate::lifecycle::shutdown::min_remaining_lifetime;
use crate::memory::ledger::MemoryLedger;
use crate::messages::{Arrival, AttemptEnd, AttemptId, EngineEvent, ListedHost, ReceivedList};
use crate::stages::admit::{AdmissionError, OpenRequest, RequestTable};
use crate::stages::route::Decide;
use crate::stages::used_ids::IdHash;
use crate::transport::Network;
use crate::upstream::upstream_pool::UpstreamPool;

/// The purpose of a timer of the engine.
enum TimerKind {
    /// A timer of the decision module, by its token.
    Policy(u64),
    /// An attempt that has waited for a socket for as long as a connection may take.
    SocketWait(AttemptId),
}

/// The group that this balancer is a member of.
pub struct GroupMembership {
    /// This balancer's member.
    pub agent: Rc<MembershipAgent>,
    /// Names of the cache hosts that the group holds out at the start.
    pub held_hosts: Vec<String>,
}

/// Shared by the engine with other tasks, or with the process after this one.
pub struct EngineHandles {
    /// Clock, admission controller and counters.
    pub runtime: RuntimeHandles,
    /// Set once there is a list to serve from.
    pub ready: watch::Sender<bool>,
    /// The file that keeps cordons.
    pub record: CordonRecord,
    /// The files that share the ids of requests with another process of this balancer.
    pub id_log: IdLogFiles,
    /// Whether this process takes over from another one.
    pub has_predecessor: bool,
    /// Names that commands may use, shared with the clients' tasks.
    pub catalog: Rc<RefCell<RequestCatalog>>,
    /// The group, where there is one.
    pub group: Option<GroupMembership>,
    /// Attempts at the origin, which are counted where there is a group.
    pub origin: Rc<OriginUsage>,
}

/// The task that owns the decision module and the open requests.
pub struct Engine<D, N: Network> {
    policy: D,
    clock: Clock,
    table: RequestTable,
    pool: UpstreamPool<N>,
    timers: DelayQueue<TimerKind>,
    counters: Rc<Counters>,
    memory: Rc<MemoryLedger>,
    /// Gets the time that requests have waited for the engine.
    admission: Rc<RefCell<AdmissionController>>,
    ready: watch::Sender<bool>,
    mode: CacheMode,
    max_attempts: u8,
    /// Whether a list without a host, or one that calls it removed, does not by itself stop requests to the host.
    removal_is_advisory: bool,
    /// Hosts that no list names any more and that may still get requests, the oldest first.
    removed_hosts: VecDeque<CacheId>,
    /// How long this process may live once its shutdown has begun.
    min_remaining_lifetime: Micros,
    /// The servers of the list in use, as last listed.
    servers: FxHashMap<CacheId, Endpoint>,
    list_in_use: ListInUse,
    /// Names of the cache hosts in the list, where there is a group to notify.
    names: FxHashMap<CacheId, String>,
    /// Every cache host ever listed, and which of them are cordoned.
    registry: HostRegistry,
    /// Cache hosts that drain by another member's list, and not yet by this balancer's.
    drain_hints: FxHashSet<CacheId>,
    membership: Option<Rc<MembershipAgent>>,
    /// Attempts by cache host, counted where there is a group.
    attempts_sent: FxHashMap<CacheId, u64>,
    origin: Rc<OriginUsage>,
    record: CordonRecord,
    id_log: IdLogFiles,
    /// Whether the process from which this one takes over is there.
    has_predecessor: bool,
    /// Whether a process that takes over from this one is there.
    has_successor: bool,
    catalog: Rc<RefCell<RequestCatalog>>,
    /// Ends of attempts that the decision module has not been notified of.
    ended_attempts: VecDeque<AttemptEnd>,
    /// Empty between two events; kept for its memory.
    actions: Vec<Action>,
}

impl<D: Decide, N: Network> Engine<D, N> {
    /// An engine with the decision module that `build_policy` makes from its settings.
    pub fn new(
        start: LoadedSettings,
        build_policy: impl FnOnce(Settings) -> D,
        pool: UpstreamPool<N>,
        handles: EngineHandles,
    ) -> Self {
        let (membership, held_hosts) = match handles.group {
            Some(group) => (Some(group.agent), group.held_hosts),
            None => (None, Vec::new()),
        };
        let mut registry = HostRegistry::default();
        for name in &held_hosts {
            registry.cordon_for_group(cache_id(name), name);
        }
        let settings = for_push_discovery(&start.settings);
        let mut table = RequestTable::new(start.host.max_open_requests);
        table
            .used_ids
            .set_capacity(handles.runtime.memory.max_used_ids());
        Engine {
            clock: handles.runtime.clock,
            table,
            has_predecessor: handles.has_predecessor,
            has_successor: false,
            pool,
            timers: DelayQueue::new(),
            counters: handles.runtime.counters,
            memory: handles.runtime.memory,
            admission: handles.runtime.admission,
            ready: handles.ready,
            mode: settings.mode,
            max_attempts: settings.limits.max_attempts,
            removal_is_advisory: settings.rules.removal_is_advisory,
            removed_hosts: VecDeque::new(),
            min_remaining_lifetime: min_remaining_lifetime(&settings),
            servers: FxHashMap::default(),
            list_in_use: ListInUse::default(),
            names: FxHashMap::default(),
            registry,
            drain_hints: FxHashSet::default(),
            membership,
            attempts_sent: FxHashMap::default(),
            origin: handles.origin,
            record: handles.record,
            id_log: handles.id_log,
            catalog: handles.catalog,
            ended_attempts: VecDeque::new(),
            actions: Vec::new(),
            policy: build_policy(settings),
        }
    }

    /// Runs until all senders of events are dropped. `inherited` is what the process before this one knew.
    pub async fn run(
        mut self,
        known: ServerList,
        inherited: Option<HandoverState>,
        mut events: mpsc::Receiver<EngineEvent>,
        mut orders: mpsc::Receiver<PendingOrder>,
    ) {
        self.start(known, inherited);
        if !self.has_predecessor {
            // Those of processes that were killed.
            self.id_log.remove();
        } else {
            let side = UpgradeSide::Successor;
            self.table
                .used_ids
                .share(OtherProcess::Predecessor, self.id_log.open(side));
            self.table.open_ids.share(self.id_log.open_locks(side));
        }
        loop {
            tokio::select! {
                biased;
                // Before all requests that wait: operators get an answer within a second under any load.
                Some(pending) = orders.recv() => {
                    let outcome = self.run_order(&pending.order, pending.source);
                    // A caller that has left finds the order carried out when it repeats the call.
                    let _ = pending.done.send(outcome);
                    self.process_ended_attempts();
                }
                due = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    if let Some(due) = due {
                        self.fire(due.into_inner());
                    }
                }
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            }
        }
    }

    fn start(&mut self, known: ServerList, inherited: Option<HandoverState>) {
        // Cordons come before the list, so that nothing is ever sent to a cache host that is cordoned.
        self.restore_cordons();
        let index = known.index;
        self.apply_list(known, true);
        self.announce_list(index, Vec::new());
        if let Some(HandoverState {
            knowledge, listed, ..
        }) = inherited
        {
            info!("state of the predecessor taken over");
            self.notify_policy(Event::Inherited(&knowledge));
            let servers = &self.servers;
            for id in listed {
                self.registry
                    .inherit(CacheId(id), |other| servers.contains_key(&other));
            }
        }
    }

    fn handle(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Arrived(arrival) => self.handle_arrival(arrival),
            EngineEvent::ClientDisconnected(id) => self.disconnect_client(id),
            EngineEvent::Retune(retuned) => self.retune(&retuned),
            EngineEvent::Snapshot(reply) => self.snapshot(reply),
            EngineEvent::ListCacheHosts(reply) => self.list_cache_hosts(reply),
            EngineEvent::DrainHint { host, draining } => {
                self.apply_drain_hint(cache_id(&host), draining);
            }
            EngineEvent::ShuttingDown { requested_at } => {
                let by = self.clock.at(requested_at) + self.min_remaining_lifetime;
                self.notify_policy(Event::ShuttingDown { by });
            }
            EngineEvent::PeerEnded(other) => self.end_sharing(other),
            EngineEvent::ReleaseConnections(reply) => {
                let released = self.pool.release_connections(self.table.open.len());
                // If the successor has ended meanwhile, all of them come back with the report of that.
                let _ = reply.send(released);
            }
            EngineEvent::ConnectionsReleased(count) => {
                self.pool.take_released(count, &mut self.ended_attempts);
                self.time_socket_waits();
            }
            EngineEvent::Pool(event) => {
                self.pool.handle(event, &mut self.ended_attempts);
                self.time_socket_waits();
            }
            EngineEvent::EndpointList(ReceivedList { list, in_transit }) => {
                self.counters.lists_heard.add();
                let index = list.index;
                let leaving = self.leaving_hosts(&list);
                self.apply_list(list, false);
                self.announce_list(index, leaving);
                drop(in_transit);
            }
        }
        self.process_ended_attempts();
    }

    /// Takes what was shared with another process of this balancer, which has ended.
    fn end_sharing(&mut self, other: OtherProcess) {
        match other {
            OtherProcess::Predecessor => self.has_predecessor = false,
            OtherProcess::Successor => self.has_successor = false,
        }
        self.pool
            .take_connections_of(other, &mut self.ended_attempts);
        self.time_socket_waits();
        self.table.used_ids.share(other, None);
        if !self.has_predecessor && !self.has_successor {
            self.memory.set_shared(false);
            self.table.open_ids.share(None);
            self.id_log.remove();
        }
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        let waited = self.clock.now() - arrival.arrived_at;
        self.admission.borrow_mut().record_message_delay(waited);
        let admitted = if self.timers.len() < self.memory.max_timers() {
            self.table.admit(arrival, self.max_attempts)
        } else {
            Err(AdmissionError::NoCapacity.refuse(arrival))
        };
        match admitted {
            Ok(request) => {
                self.counters.taken_in.add();
                self.notify_policy(Event::Request(request));
            }
            Err(AdmissionError::DuplicateId | AdmissionError::UsedId) => {
                self.counters.rejected.add();
            }
            Err(AdmissionError::NoCapacity) => self.counters.over_cap.add(),
        }
    }

    /// Takes new settings over in one step, between two requests: those of the decision module and all that follow from
    /// them.
    fn retune(&mut self, retuned: &SettingsUpdate) {
        let host = &retuned.loaded.host;
        let settings = for_push_discovery(&retuned.loaded.settings);
        self.max_attempts = settings.limits.max_attempts;
        self.min_remaining_lifetime = min_remaining_lifetime(&settings);
        self.removal_is_advisory = settings.rules.removal_is_advisory;
        self.table.set_max_open(host.max_open_requests);
        self.pool.retune(
            timer_duration(settings.limits.connect_timeout),
            timer_duration(host.idle_timeout),
            stall_timeout(&settings),
        );
        self.admission
            .borrow_mut()
            .update_settings(&admission_settings(&settings, 0));
        self.notify_policy(Event::SettingsChanged {
            settings: &settings,
            tenants: &retuned.former_tenants,
        });
        *self.catalog.borrow_mut() = RequestCatalog::retuned(self.clock.now(), retuned);
    }

    fn snapshot(&mut self, reply: oneshot::Sender<Snapshot>) {
        self.has_successor = true;
        self.memory.set_shared(true);
        self.share_ids();
        let state = HandoverState {
            knowledge: self.policy.snapshot(self.clock.now()),
            listed: self.registry.known().map(|id| id.0).collect(),
            list: Some(self.list_in_use.to_raw()),
        };
        // Serializing fails only for maps with keys that are no strings. A successor without the state learns by itself.
        let state = serde_json::to_vec(&state).unwrap_or_default();
        // If the successor has ended meanwhile, its handler notices that and reports it.
        let _ = reply.send(Snapshot {
            state,
            server_connections: self.pool.share_connections(),
        });
    }

    /// Shares the ids of requests with a successor, before that is welcomed: those that are remembered, and those that are
    /// open now.
    fn share_ids(&mut self) {
        let side = UpgradeSide::Predecessor;
        self.table
            .used_ids
            .share(OtherProcess::Successor, self.id_log.open(side));
        // One file serves all processes of upgrades behind each other.
        if !self.table.open_ids.is_shared() {
            self.table.open_ids.share(self.id_log.open_locks(side));
        }
        let used: Vec<IdHash> = self.table.used_ids.iter().collect();
        let open = self.table.open.values();
        let open = open.filter(|open| !open.command.idempotent && open.attempts_sent > 0);
        let open: Vec<IdHash> = open.map(|open| IdHash::of(&open.command.id)).collect();
        for id in used.into_iter().chain(open) {
            self.table.used_ids.announce(id);
        }
    }

    fn list_cache_hosts(&self, reply: oneshot::Sender<Vec<ListedHost>>) {
        let hosts = self.names.iter().filter_map(|(id, name)| {
            let endpoint = *self.servers.get(id)?;
            let name = name.clone();
            Some(ListedHost { name, endpoint })
        });
        // The caller may have left.
        let _ = reply.send(hosts.collect());
    }

    /// Ends a request whose client has left before the report of that has come: reports wait behind all earlier events,
    /// and the flag that the client's connection sets does not.
    fn check_abandoned(&mut self, id: RequestId) {
        if self
            .table
            .open
            .get(&id)
            .is_some_and(OpenRequest::is_abandoned)
        {
            self.disconnect_client(id);
        }
    }

    fn disconnect_client(&mut self, id: RequestId) {
        let answer = self.table.open.get_mut(&id).and_then(OpenRequest::finish);
        if answer.is_some() {
            debug!(
                request = self.client_request_id(id),
                "client left before the answer"
            );
            self.counters.client_gone.add();
            self.notify_policy(Event::ClientDisconnected { id });
            self.table.complete(id);
        }
    }
}

/// The settings with discovery by push: here the agent is watched at no cost, whichever mode the settings name for the
/// simulator's discovery.
fn for_push_discovery(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    settings.discovery = DiscoveryMode::Push;
    settings
}
