//! The one task that owns the decision module, the open requests, the pool and the timers. It hands events to the
//! module and carries its actions out, each through its stage.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;

use rustc_hash::{FxHashMap, FxHashSet};
use stairfront_admin_api::{HostRegistry, OperatorOrder, OrderOutcome, OrderSource};
use stairfront_membership_agent::{DrainAnnouncement, MembershipAgent};
use stairfront_overload::AdmissionController;
use stairfront_policy::interface::{
    Action, CacheId, CacheMode, Endpoint, EndpointListUpdate, EndpointState, Event, LoadReport,
    Micros, Outcome, RequestId, Settings, MS,
};
use stairfront_settings::{Retuned, Start};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::time::DelayQueue;
use tracing::{debug, info, warn};

use crate::clock::{duration, Clock};
use crate::configuration::limits::{stall_limit, Memory};
use crate::configuration::request_catalog::RequestCatalog;
use crate::control::cordon_record::CordonRecord;
use crate::control::pending_order::PendingOrder;
use crate::control::server_list::{cache_id, ServerEntry, ServerList};
use crate::counters::{Counters, OriginUsage};
use crate::lifecycle::handover_state::{HandoverState, Snapshot};
use crate::lifecycle::loop_monitor::{door_settings, RuntimeHandles};
use crate::lifecycle::shutdown::life_left;
use crate::messages::{Answer, Arrival, AttemptEnd, AttemptId, EngineEvent, Job};
use crate::stages::admit::{AdmissionError, OpenRequest, RequestTable};
use crate::stages::route::{self, Decide};
use crate::stages::send::SendDecision;
use crate::transport::Network;
use crate::upstream::upstream_pool::{Protocol, UpstreamPool, UpstreamTarget};

/// Hosts kept that no list names any more: more than a list may call gone by mistake, and bounded.
const MAX_REMOVED_HOSTS: usize = 4096;

enum TimerKind {
    /// A timer of the decision module.
    Token(u64),
    /// An attempt that has waited for a socket for as long as a connection may take.
    Socket(AttemptId),
}

/// What the engine has in common with other tasks, or with the process after this one.
pub struct EngineHandles {
    pub vitals: RuntimeHandles,
    /// Told once there is a list to serve from.
    pub ready: watch::Sender<bool>,
    pub record: CordonRecord,
    /// What the clients' tasks read commands against.
    pub terms: Rc<RefCell<RequestCatalog>>,
    /// The others of this balancer's group, and the cache hosts that they hold out; none where there is no group.
    pub members: Option<(Rc<MembershipAgent>, Vec<String>)>,
    /// ServiceCounts where there is a group that asks for it.
    pub origin: Rc<OriginUsage>,
}

pub struct Engine<D, N: Network> {
    policy: D,
    clock: Clock,
    table: RequestTable,
    pool: UpstreamPool<N>,
    timers: DelayQueue<TimerKind>,
    counters: Rc<Counters>,
    /// Hears how long requests waited for the engine.
    door: Rc<RefCell<AdmissionController>>,
    ready: watch::Sender<bool>,
    mode: CacheMode,
    most_attempts: u8,
    dropped_stay_open: bool,
    /// Hosts that no list names any more and that may still be sent to, the one dropped first at the front.
    dropped: VecDeque<CacheId>,
    /// How long this process may live once it has been told to end.
    life_left: Micros,
    /// What each server of the list was last said to be.
    servers: FxHashMap<CacheId, Endpoint>,
    /// Names of the cache hosts in the list, where there is a group to tell.
    names: FxHashMap<CacheId, String>,
    /// Every cache host ever listed, and who is taken out.
    registry: HostRegistry,
    /// Cache hosts that somebody else's discovery says leave, and this one's does not say so yet.
    hearsay: FxHashSet<CacheId>,
    members: Option<Rc<MembershipAgent>>,
    /// Attempts by cache host, where there is a group that asks for them.
    sent: FxHashMap<CacheId, u64>,
    origin: Rc<OriginUsage>,
    record: CordonRecord,
    terms: Rc<RefCell<RequestCatalog>>,
    /// AbortOnDrop of attempts that the module has not heard yet.
    ends: VecDeque<AttemptEnd>,
    actions: Vec<Action>,
}

impl<D: Decide, N: Network> Engine<D, N> {
    /// `decider` makes the decision module from its settings.
    pub fn new(
        start: Start,
        decider: impl FnOnce(Settings) -> D,
        memory: Memory,
        pool: UpstreamPool<N>,
        shared: EngineHandles,
    ) -> Self {
        let EngineHandles {
            vitals:
                RuntimeHandles {
                    clock,
                    door,
                    counters,
                },
            ready,
            record,
            terms,
            members,
            origin,
        } = shared;
        let (members, held) = members.unzip();
        let mut registry = HostRegistry::default();
        held.into_iter()
            .flatten()
            .for_each(|name| registry.cordon_for_group(cache_id(&name), &name));
        let Start {
            mut settings, host, ..
        } = start;
        // The agent is watched at no cost from the start, whatever the simulator's discovery would ask for.
        settings.discovery = stairfront_policy::interface::DiscoveryMode::Push;
        Engine {
            clock,
            table: RequestTable::new(host.open_requests, memory),
            pool,
            timers: DelayQueue::new(),
            counters,
            door,
            ready,
            mode: settings.mode,
            most_attempts: settings.limits.max_attempts,
            dropped_stay_open: settings.rules.removal_is_advisory,
            dropped: VecDeque::new(),
            life_left: life_left(&settings),
            servers: FxHashMap::default(),
            names: FxHashMap::default(),
            registry,
            hearsay: FxHashSet::default(),
            members,
            sent: FxHashMap::default(),
            origin,
            record,
            terms,
            ends: VecDeque::new(),
            actions: Vec::new(),
            policy: decider(settings),
        }
    }

    pub async fn run(
        mut self,
        known: ServerList,
        inherited: Option<HandoverState>,
        mut inputs: mpsc::Receiver<EngineEvent>,
        mut orders: mpsc::Receiver<PendingOrder>,
    ) {
        // Before the list is known, so that nothing ever goes to a cache host that was taken out.
        self.restore_cordons();
        let index = known.index;
        self.learn(known, true);
        if let Some(members) = &self.members {
            // What others tell of older lists than this one is nothing new.
            members.handle_announcement(&DrainAnnouncement {
                index,
                hosts: self.caches(),
                leaving: Vec::new(),
            });
        }
        if let Some(HandoverState { knowledge, listed }) = inherited {
            info!("took over what the running process knew");
            self.tell(Event::Inherited(&knowledge));
            let servers = &self.servers;
            listed.into_iter().for_each(|id| {
                self.registry
                    .inherit(CacheId(id), |other| servers.contains_key(&other))
            });
        }
        loop {
            tokio::select! {
                biased;
                // Ahead of all requests that wait: an answer is owed to operators in a second under any load.
                Some(PendingOrder { order, word, done }) = orders.recv() => {
                    // A caller that has left finds it done when it asks again.
                    let _ = done.send(self.carry_out_order(&order, word));
                    self.settle();
                }
                due = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    if let Some(due) = due {
                        self.fire(due.into_inner());
                    }
                }
                input = inputs.recv() => match input {
                    Some(input) => self.hear(input),
                    None => return,
                },
            }
        }
    }

    fn hear(&mut self, input: EngineEvent) {
        match input {
            EngineEvent::Arrived(arrival) => {
                self.door
                    .borrow_mut()
                    .record_message_delay(self.clock.now() - arrival.came);
                self.arrived(arrival);
            }
            EngineEvent::ClientGone(id) => self.client_gone(id),
            EngineEvent::Retune(retuned) => self.retune(&retuned),
            EngineEvent::Snapshot(to) => self.snapshot(to),
            EngineEvent::Hosts(to) => {
                let listed = self
                    .names
                    .iter()
                    .filter_map(|(id, name)| Some((name.clone(), *self.servers.get(id)?)));
                // Who has left does not need it.
                let _ = to.send(listed.collect());
            }
            EngineEvent::Hearsay { host, stop } => self.hear_say(cache_id(&host), stop),
            EngineEvent::Ending => {
                let by = self.clock.now() + self.life_left;
                self.tell(Event::ShuttingDown { by });
            }
            EngineEvent::TakeAll => {
                self.pool.take_all(&mut self.ends);
                self.time_waits();
            }
            EngineEvent::UpstreamPool(news) => {
                self.pool.hear(news, &mut self.ends);
                self.time_waits();
            }
            EngineEvent::List(list) => {
                self.counters.lists_heard.add();
                let told = self.members.is_some().then(|| self.leaving_in(&list));
                self.learn(list, false);
                if let (Some(members), Some(told)) = (&self.members, told) {
                    members.handle_announcement(&DrainAnnouncement {
                        hosts: self.caches(),
                        ..told
                    });
                }
            }
        }
        self.settle();
    }

    /// Takes other settings over in one step, between two requests: the module's and all that follow from them.
    fn retune(&mut self, retuned: &Retuned) {
        let Retuned {
            start: Start { settings, host, .. },
            tenants,
            ..
        } = retuned;
        let mut settings = settings.clone();
        // The agent is watched at no cost, as at the start.
        settings.discovery = stairfront_policy::interface::DiscoveryMode::Push;
        self.most_attempts = settings.limits.max_attempts;
        self.life_left = life_left(&settings);
        self.dropped_stay_open = settings.rules.removal_is_advisory;
        self.table.set_most(host.open_requests);
        let stall = stall_limit(&settings);
        self.pool.retune(
            duration(settings.limits.connect_timeout),
            duration(host.idle),
            stall,
        );
        self.door
            .borrow_mut()
            .update_settings(&door_settings(&settings, 0));
        self.tell(Event::SettingsChanged {
            settings: &settings,
            tenants,
        });
        *self.terms.borrow_mut() = RequestCatalog::retuned(self.clock.now(), retuned);
    }

    fn snapshot(&mut self, to: oneshot::Sender<Snapshot>) {
        let knowledge = self.policy.snapshot(self.clock.now());
        let state = HandoverState {
            knowledge,
            listed: self.registry.known().map(|id| id.0).collect(),
        };
        // Numbers and lists of them alone, which cannot fail; without it the successor learns by itself.
        let state = serde_json::to_vec(&state).unwrap_or_default();
        // A successor that has left meanwhile is told of by its post.
        let _ = to.send(Snapshot {
            state,
            servers: self.pool.share(),
        });
    }

    fn restore_cordons(&mut self) {
        for name in self.record.read() {
            let cache = cache_id(&name);
            info!("{name} (server {:012x}) is cordoned, as on record", cache.0);
            self.registry.restore(cache, &name);
        }
        self.counters
            .cordoned
            .set(self.registry.cordoned_count() as u64);
        let out: Vec<CacheId> = self.registry.all_cordoned().collect();
        out.into_iter()
            .for_each(|cache| self.tell(Event::Cordon { cache, on: true }));
    }

    fn carry_out_order(&mut self, order: &OperatorOrder, word: OrderSource) -> OrderOutcome {
        let (OperatorOrder::Cordon(name)
        | OperatorOrder::Uncordon(name)
        | OperatorOrder::GroupCordon(name)
        | OperatorOrder::GroupUncordon(name)
        | OperatorOrder::IsKnown(name)
        | OperatorOrder::GetUsage(name)) = order;
        let cache = cache_id(name);
        if word == OrderSource::Peer {
            self.registry.note_listed(cache);
        }
        let before = self.registry.is_cordoned(cache);
        let known = match order {
            OperatorOrder::Cordon(_) => self.registry.cordon(cache, name).is_ok(),
            OperatorOrder::Uncordon(_) => self.registry.uncordon(cache).is_ok(),
            OperatorOrder::IsKnown(_) => {
                return if self.registry.is_known(cache) {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::UnknownHost
                }
            }
            OperatorOrder::GetUsage(_) => {
                let sent = self.sent.get(&cache).copied().unwrap_or(0);
                return OrderOutcome::Usage {
                    in_flight: self.pool.in_use(cache),
                    sent,
                };
            }
            OperatorOrder::GroupCordon(_) => {
                self.registry.cordon_for_group(cache, name);
                true
            }
            OperatorOrder::GroupUncordon(_) => {
                self.registry.uncordon_for_group(cache);
                true
            }
        };
        if !known {
            return OrderOutcome::UnknownHost;
        }
        let on = self.registry.is_cordoned(cache);
        if on != before {
            self.counters
                .cordoned
                .set(self.registry.cordoned_count() as u64);
            self.tell(Event::Cordon { cache, on });
            self.bar(cache);
        }
        match order {
            // The member has them on record.
            OperatorOrder::GroupCordon(_) | OperatorOrder::GroupUncordon(_) => {
                return OrderOutcome::Done
            }
            OperatorOrder::Uncordon(_) if self.registry.is_cordoned_by_group(cache) => {
                return OrderOutcome::HeldByGroup
            }
            _ => {}
        }
        // Written again at a repeated call too: the first may have failed.
        match self
            .record
            .write(self.registry.cordoned_by_operators().map(|(_, name)| name))
        {
            Ok(()) => OrderOutcome::Done,
            Err(problem) => {
                warn!("cordons not recorded, and would be lost with this process: {problem}");
                OrderOutcome::NotRecorded
            }
        }
    }

    /// Has the pool hold back from a server that may get nothing new: what waits for a socket or a connection ends,
    /// and idle connections close. What is under way goes on.
    fn bar(&mut self, cache: CacheId) {
        let listed = self
            .servers
            .get(&cache)
            .is_some_and(|member| member.state == EndpointState::Ready);
        let barred = !listed || self.registry.is_cordoned(cache) || self.hearsay.contains(&cache);
        self.pool.bar(cache, barred);
        if barred {
            self.pool.end_waiting(cache, &mut self.ends);
        }
    }

    /// Goes by what another member's discovery says of a host, or by its own list again. The list in hand is not
    /// touched: the module hears that the host drains, or what the list says.
    fn hear_say(&mut self, cache: CacheId, stop: bool) {
        let Some(own) = self.servers.get(&cache).copied() else {
            self.hearsay.remove(&cache);
            return;
        };
        let changed = if stop {
            self.hearsay.insert(cache)
        } else {
            self.hearsay.remove(&cache)
        };
        if changed && own.state == EndpointState::Ready {
            let state = if stop {
                EndpointState::Draining
            } else {
                own.state
            };
            self.tell(Event::EndpointList(EndpointListUpdate::Delta(&[
                Endpoint { state, ..own },
            ])));
            self.bar(cache);
        }
    }

    /// Which cache hosts leave by a list, among those that were in use.
    fn leaving_in(&self, list: &ServerList) -> DrainAnnouncement {
        let said = |line: &&ServerEntry| line.member.state != EndpointState::Ready;
        let mut leaving: Vec<String> = list
            .lines
            .iter()
            .filter(said)
            .map(|line| line.name.clone())
            .collect();
        if list.full {
            let listed = |name: &str| list.lines.iter().any(|line| line.name == name);
            leaving.extend(self.names.values().filter(|name| !listed(name)).cloned());
        }
        // Those that leave now, not those that have been leaving.
        let in_use = |name: &String| {
            self.servers
                .get(&cache_id(name))
                .is_some_and(|member| member.state == EndpointState::Ready)
        };
        leaving.retain(in_use);
        DrainAnnouncement {
            index: list.index,
            hosts: 0,
            leaving,
        }
    }

    fn caches(&self) -> usize {
        self.servers
            .values()
            .filter(|member| !self.is_origin(member))
            .count()
    }

    fn is_origin(&self, member: &Endpoint) -> bool {
        matches!(self.mode, CacheMode::Aside { origin } if origin == member.kind)
    }

    fn arrived(&mut self, arrival: Arrival) {
        match self.table.admit(arrival, self.most_attempts) {
            Ok(request) => {
                self.counters.taken_in.add();
                self.tell(Event::Request(request));
            }
            Err(AdmissionError::IdOpen) => self.counters.rejected.add(),
            Err(AdmissionError::NoRoom) => self.counters.over_cap.add(),
        }
    }

    fn fire(&mut self, due: TimerKind) {
        match due {
            TimerKind::Token(token) => self.tell(Event::Timer { token }),
            TimerKind::Socket(attempt) => self.ends.extend(self.pool.give_up_waiting(attempt)),
        }
        self.settle();
    }

    /// Danger: word of a client that left waits behind all that came before it; what is about to happen for its request
    /// goes by the flag that its connection has raised.
    fn notice_departure(&mut self, id: RequestId) {
        if self
            .table
            .open
            .get(&id)
            .is_some_and(OpenRequest::is_deserted)
        {
            self.client_gone(id);
        }
    }

    fn client_gone(&mut self, id: RequestId) {
        let answer = self.table.open.get_mut(&id).and_then(OpenRequest::end);
        if answer.is_some() {
            self.counters.client_gone.add();
            self.tell(Event::ClientDisconnected { id });
            self.table.complete(id);
        }
    }

    /// Tells the module of every attempt that has ended, also of those that its own actions end at once.
    fn settle(&mut self) {
        while let Some(mut end) = self.ends.pop_front() {
            let id = end.attempt.request;
            self.notice_departure(id);
            self.counters.ended(end.verdict.outcome);
            if self.members.is_some()
                && self
                    .servers
                    .get(&end.cache)
                    .is_some_and(|of| self.is_origin(of))
            {
                self.origin.ended(end.verdict.outcome);
            }
            self.log_attempt(&end);
            let open = self.is_open(id);
            let settled = self.table.relay(&mut end);
            if open && settled.request_finished {
                self.counters.served.add();
            }
            if let Some(sending) = self.table.send_deferred(id) {
                self.carry(sending);
            }
            self.tell(Event::AttemptFinished(settled));
            self.table.complete(id);
        }
    }

    fn log_attempt(&self, end: &AttemptEnd) {
        if tracing::enabled!(tracing::Level::DEBUG) {
            let open = self.table.open.get(&end.attempt.request);
            let request = open.map_or(String::new(), |open| {
                String::from_utf8_lossy(&open.command.id).into_owned()
            });
            let (server, outcome) = (format!("{:012x}", end.cache.0), end.verdict.outcome);
            let ms = end.begun.elapsed().as_millis() as u64;
            debug!(
                request,
                server,
                ?outcome,
                attempt = end.attempt.number,
                ms,
                "attempt ended"
            );
        }
    }

    fn is_open(&self, id: RequestId) -> bool {
        self.table
            .open
            .get(&id)
            .is_some_and(|open| open.answer.is_some())
    }

    fn tell(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        if !route::route(&mut self.policy, self.clock.now(), event, &mut actions) {
            self.counters.decision_panics.add();
        }
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                cache,
                timeout,
                send_within,
            } => self.send(id, cache, timeout, send_within),
            Action::Reject { id, retry_after } => {
                let after_ms = u64::try_from(retry_after / MS).ok().filter(|ms| *ms > 0);
                if self.table.answer(id, Answer::Busy { after_ms }) {
                    self.counters.refused.add();
                }
                self.table.complete(id);
            }
            Action::Fail { id } => {
                if self.table.answer(id, Answer::Failed) {
                    self.counters.failed.add();
                }
                self.table.complete(id);
            }
            Action::Cancel { id, attempt } => self.table.cancel(id, attempt),
            Action::Timer { delay, token } => {
                self.timers.insert(TimerKind::Token(token), duration(delay));
            }
            Action::Disconnect { cache } => self.pool.close_idle(cache),
            Action::Log(record) => info!("{record}"),
            // Probes answer as not made, so that a module that tries them learns nothing wrong.
            Action::HealthCheck { cache } => {
                let (outcome, load) = (Outcome::NeverSent, LoadReport::default());
                self.tell(Event::HealthChecked {
                    cache,
                    outcome,
                    elapsed: 0,
                    load,
                });
            }
            // Balancers share nothing here, and the watch on discovery's agent never ends.
            Action::SendToPeer { .. } | Action::WatchList(_) | Action::PollList => {}
        }
    }

    fn send(&mut self, id: RequestId, cache: CacheId, timeout: Micros, lapses: Option<Micros>) {
        let sending = self.table.send(id, cache, timeout, lapses);
        self.carry(sending);
    }

    fn carry(&mut self, sending: SendDecision) {
        match sending {
            SendDecision::Job(job) => self.dispatch(job),
            SendDecision::Ended(end) => self.ends.push_back(end),
            SendDecision::Deferred => {}
        }
    }

    fn dispatch(&mut self, job: Job) {
        self.counters.attempts_sent.add();
        if self.members.is_some() {
            *self.sent.entry(job.cache).or_default() += 1;
        }
        self.ends.extend(self.pool.dispatch(job));
        self.time_waits();
    }

    fn time_waits(&mut self) {
        for (attempt, until) in self.pool.new_waits() {
            self.timers.insert_at(TimerKind::Socket(attempt), until);
        }
    }

    /// Passes a list on: to the pool the addresses, to the module the members.
    fn learn(&mut self, list: ServerList, cached: bool) {
        let mut members: Vec<Endpoint> = list.lines.iter().map(|line| line.member).collect();
        if list.full {
            let listed = |id: &CacheId| members.iter().any(|member| member.id == *id);
            let left: Vec<CacheId> = self
                .servers
                .keys()
                .copied()
                .filter(|id| !listed(id))
                .collect();
            left.into_iter().for_each(|id| self.delist(id));
        }
        list.lines.iter().for_each(|line| self.place(line));
        // Danger: a list that is older than what was heard would have the host used again.
        let heard = |member: &&mut Endpoint| {
            member.state == EndpointState::Ready && self.hearsay.contains(&member.id)
        };
        members
            .iter_mut()
            .filter(heard)
            .for_each(|member| member.state = EndpointState::Draining);
        // With any list it can serve, an old one too: a restart that waited for discovery would serve nobody.
        if !self.servers.is_empty() {
            self.ready.send_replace(true);
        }
        self.tell(Event::EndpointList(match (cached, list.full) {
            (true, _) => EndpointListUpdate::Cached(&members),
            (false, true) => EndpointListUpdate::Full(&members),
            (false, false) => EndpointListUpdate::Delta(&members),
        }));
    }

    fn place(&mut self, line: &ServerEntry) {
        let member = line.member;
        if member.state == EndpointState::Removed {
            return self.delist(member.id);
        }
        let origin = self.is_origin(&member);
        let protocol = if origin {
            Protocol::Http
        } else {
            Protocol::Resp
        };
        self.pool.set(
            member.id,
            UpstreamTarget {
                address: line.address,
                protocol,
            },
        );
        let before = self.servers.insert(member.id, member);
        self.dropped.retain(|other| *other != member.id);
        if before.is_none() {
            // The module knows servers by number alone, and so do its log lines.
            info!(
                "server {:012x} is {} at {}",
                member.id.0, line.name, line.address
            );
        }
        if !origin {
            self.registry.note_listed(member.id);
            if self.members.is_some() {
                self.names.insert(member.id, line.name.clone());
            }
        }
        // A process that has started anew knows nothing of connections made before.
        if before.is_some_and(|before| before.incarnation != member.incarnation) {
            self.pool.close_idle(member.id);
        }
        self.bar(member.id);
    }

    /// A list lacks a server or calls it gone. Where that alone does not bind the module goes by the server's own outcomes, and
    /// may go on sending: its address stays.
    fn delist(&mut self, id: CacheId) {
        let stays = |member: &Endpoint| member.state == EndpointState::Ready;
        if !self.dropped_stay_open || !self.servers.get(&id).is_some_and(stays) {
            return self.forget(id);
        }
        self.dropped.retain(|other| *other != id);
        self.dropped.push_back(id);
        if self.dropped.len() > MAX_REMOVED_HOSTS {
            if let Some(oldest) = self.dropped.pop_front() {
                self.forget(oldest);
            }
        }
    }

    fn forget(&mut self, id: CacheId) {
        self.servers.remove(&id);
        self.names.remove(&id);
        self.sent.remove(&id);
        self.hearsay.remove(&id);
        let servers = &self.servers;
        self.registry
            .note_unlisted(id, |other| servers.contains_key(&other));
        self.pool.bar(id, true);
        self.pool.end_waiting(id, &mut self.ends);
        self.pool.forget(id);
    }
}
