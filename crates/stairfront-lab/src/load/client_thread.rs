//! The clients of one thread: requests are given to connections as they become due.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_emulator::arrivals::{Arrivals, Popularity};
use stairfront_emulator::client::{Attempt, ClientSettings, Clients, Outcome};
use stairfront_emulator::rules::Observation;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep_until;

use super::connection::{BalancerConnections, ClientConnection, PendingRequest, QueuedRequest};
use super::protocol::put_request;
use super::LoadPlan;
use crate::clock::RunClock;
use crate::event_log::EventLog;
use crate::summary::{AttemptEnd, Summary};

/// Time between two searches for requests whose clients have stopped waiting.
const SWEEP_INTERVAL: Micros = 10 * MS;
/// A client with one request on a connection closes it this long after the deadline.
const CLOSE_TIMEOUT: Micros = 60 * MS;
/// On a pipelined connection a late answer is waited for this long after the deadline.
const LATE_ANSWER_TIMEOUT: Micros = 30 * SECOND;
/// How often a request that no balancer has read is moved to another connection.
const MAX_REASSIGNMENTS: u8 = 4;

/// Settings of a thread of clients.
pub(super) struct ClientThreadSettings {
    pub(super) plan: LoadPlan,
    pub(super) popularity: Arc<Popularity>,
    pub(super) clock: RunClock,
    pub(super) event_log: EventLog,
    /// Index of the thread.
    pub(super) index: usize,
}

/// The clients of one thread.
pub(super) struct ClientThread {
    pub(super) plan: LoadPlan,
    pub(super) clock: RunClock,
    clients: RefCell<Clients>,
    event_log: RefCell<EventLog>,
    summary: RefCell<Summary>,
    pub(super) balancers: Vec<BalancerConnections>,
    /// The balancer that the next connection goes to.
    next_balancer: Cell<usize>,
    /// Requests that are due and wait for a connection.
    waiting: RefCell<VecDeque<QueuedRequest>>,
    in_flight: Cell<usize>,
    rng: RefCell<SeededRng>,
    pub(super) wakeup: Notify,
    /// Largest number of kept connections from this thread to each balancer.
    max_connections: usize,
}

impl ClientThread {
    /// Runs the thread's clients; gives what they got.
    pub(super) async fn run(settings: ClientThreadSettings) -> Summary {
        let index = settings.index;
        let threads = settings.plan.threads.max(1);
        let this = Rc::new(ClientThread::new(settings));
        let quota = |all: usize| all / threads + usize::from(index < all % threads);
        for i in 0..quota(this.plan.behavior.idle) {
            spawn_local(Rc::clone(&this).hold_idle_connection(i));
        }
        let slow_readers: Vec<JoinHandle<()>> = (0..quota(this.plan.behavior.slow_readers))
            .map(|i| spawn_local(Rc::clone(&this).read_slowly(i, index)))
            .collect();
        Rc::clone(&this).drive().await;
        // Slow readers need the time to record that they close, or their open requests would count as unanswered.
        for reader in slow_readers {
            // It fails only by a panic, which has been printed.
            let _ = reader.await;
        }
        this.summary.replace(Summary::new(0, 1, 0, 0))
    }

    fn new(settings: ClientThreadSettings) -> Self {
        let ClientThreadSettings {
            plan,
            popularity,
            clock,
            event_log,
            index,
        } = settings;
        let threads = plan.threads.max(1);
        let traffic = plan.traffic.clone();
        let tenants = traffic.tenants.len();
        let arrivals = Arrivals::new(traffic, popularity, plan.seed, index, threads);
        let clients = Clients::new(
            arrivals,
            ClientSettings {
                classes: &plan.classes,
                retry: plan.retries.clone(),
                seed: plan.seed,
                source: index,
                end: plan.end,
            },
        );
        let summary = Summary::new(plan.classes.len(), tenants, plan.count_from, plan.end);
        ClientThread {
            clock,
            clients: RefCell::new(clients),
            event_log: RefCell::new(event_log),
            summary: RefCell::new(summary),
            balancers: plan
                .balancers
                .iter()
                .map(BalancerConnections::new)
                .collect(),
            next_balancer: Cell::new(index),
            waiting: RefCell::default(),
            in_flight: Cell::new(0),
            rng: RefCell::new(SeededRng::for_part(plan.seed, &format!("habits-{index}"))),
            wakeup: Notify::new(),
            max_connections: plan.behavior.connections.div_ceil(threads).max(1),
            plan,
        }
    }

    async fn drive(self: Rc<Self>) {
        let mut next_sweep = 0;
        loop {
            let now = self.clock.now();
            while let Some(request) = self.next_request(now) {
                self.in_flight.set(self.in_flight.get() + 1);
                self.dispatch(QueuedRequest {
                    request,
                    reassignments: 0,
                });
            }
            self.dispatch_waiting(now);
            if now >= next_sweep {
                self.expire_requests(now);
                next_sweep = now + SWEEP_INTERVAL;
            }
            let next = self.clients.borrow().next_due();
            let idle = self.in_flight.get() == 0 && self.waiting.borrow().is_empty();
            if next.is_none() && idle {
                return;
            }
            let due = next.map_or(next_sweep, |next| next.min(next_sweep));
            tokio::select! {
                () = sleep_until(self.clock.instant(due)) => {}
                () = self.wakeup.notified() => {}
            }
        }
    }

    /// The next request that is due. The borrow ends here, since a dispatch may borrow the clients again.
    fn next_request(&self, now: Micros) -> Option<Attempt> {
        self.clients.borrow_mut().take_due(now)
    }

    /// Gives a request to a connection, or has it wait for one.
    pub(super) fn dispatch(self: &Rc<Self>, queued: QueuedRequest) {
        let now = self.clock.now();
        if queued.reassignments > MAX_REASSIGNMENTS {
            return self.finish_attempt(now, &queued.request, Outcome::ConnectionLost, true);
        }
        let one_shot = self.rng.borrow_mut().happens(self.plan.behavior.one_shot);
        let Some(balancer) = self.next_balancer(now) else {
            return self.finish_attempt(now, &queued.request, Outcome::ConnectionLost, true);
        };
        let connection = if one_shot {
            let connection = self.open_connection(balancer);
            connection.closing.set(true);
            Some(connection)
        } else {
            self.kept_connection(balancer)
        };
        match connection {
            Some(connection) => self.write_request(now, &connection, queued),
            None => self.waiting.borrow_mut().push_back(queued),
        }
    }

    /// The next balancer in turn that is available; any if none is.
    fn next_balancer(&self, now: Micros) -> Option<usize> {
        let count = self.balancers.len();
        let next = (self.next_balancer.get() + 1) % count.max(1);
        let first = self.next_balancer.replace(next);
        let available = (0..count)
            .map(|i| (first + i) % count)
            .find(|i| self.balancers[*i].is_available(now));
        available.or((count > 0).then_some(first % count.max(1)))
    }

    /// A kept connection with capacity, which is opened if there may be more of them.
    fn kept_connection(self: &Rc<Self>, balancer: usize) -> Option<Rc<ClientConnection>> {
        let target = &self.balancers[balancer];
        let pipelining = self.plan.behavior.pipelining.max(1);
        if let Some(connection) = target.with_capacity(pipelining, self.max_connections) {
            return Some(connection);
        }
        if target.connections.borrow().len() >= self.max_connections {
            return None;
        }
        let connection = self.open_connection(balancer);
        target.connections.borrow_mut().push(Rc::clone(&connection));
        Some(connection)
    }

    fn open_connection(self: &Rc<Self>, balancer: usize) -> Rc<ClientConnection> {
        let connection = ClientConnection::new(balancer);
        spawn_local(Rc::clone(self).run_connection(Rc::clone(&connection)));
        connection
    }

    fn dispatch_waiting(self: &Rc<Self>, now: Micros) {
        loop {
            // The borrow ends here, since a request that is finished below may be retried and wait again.
            let first = self.waiting.borrow_mut().pop_front();
            let Some(queued) = first else { return };
            if queued.request.deadline <= now {
                self.finish_attempt(now, &queued.request, Outcome::TimedOut, true);
                continue;
            }
            let connection = (0..self.balancers.len()).find_map(|_| {
                let balancer = self.next_balancer(now)?;
                self.kept_connection(balancer)
            });
            match connection {
                Some(connection) => self.write_request(now, &connection, queued),
                None => return self.waiting.borrow_mut().push_front(queued),
            }
        }
    }

    fn write_request(&self, now: Micros, connection: &ClientConnection, queued: QueuedRequest) {
        let request = &queued.request;
        let Some(class) = self.plan.classes.get(usize::from(request.class)) else {
            return;
        };
        let tenants = &self.plan.traffic.tenants;
        let tenant = tenants.get(usize::from(request.tenant));
        let tenant = tenant.map_or("", |tenant| &tenant.name);
        let marked = self.plan.retries.mark_retries;
        let mut out = connection.out.borrow_mut();
        put_request(&mut out, now, request, class, tenant, marked);
        connection.pending.borrow_mut().push_back(PendingRequest {
            queued,
            sent: false,
            crossed_close: false,
            timed_out: false,
        });
        connection.wakeup.notify_one();
    }

    /// Records something that the clients saw.
    pub(super) fn record(&self, at: Micros, observation: Observation) {
        self.event_log.borrow_mut().record(at, observation);
    }

    /// Ends an attempt for its client.
    pub(super) fn finish_attempt(
        &self,
        now: Micros,
        request: &Attempt,
        end: Outcome,
        unsent: bool,
    ) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        let mut clients = self.clients.borrow_mut();
        let objective = clients.latency_objective(request.class);
        let in_time = end == Outcome::Served && now - request.first_due <= objective;
        clients.record_outcome(now, request, end);
        let attempt = AttemptEnd {
            end,
            unsent,
            in_time,
        };
        self.summary.borrow_mut().record(now, request, attempt);
        let latency_us = (now - request.due).max(0) as u64;
        self.plan.live_counters.record_end(end, latency_us);
        self.wakeup.notify_one();
    }

    /// Ends the attempts whose deadline has passed, and closes connections that are late for longer.
    fn expire_requests(self: &Rc<Self>, now: Micros) {
        self.event_log.borrow_mut().flush_if_due();
        let pipelined = self.plan.behavior.pipelining > 1;
        let answer_timeout = if pipelined {
            LATE_ANSWER_TIMEOUT
        } else {
            CLOSE_TIMEOUT
        };
        let mut expired = Vec::new();
        for balancer in &self.balancers {
            for connection in balancer.connections.borrow().iter() {
                collect_expired(connection, now, &mut expired);
                let pending = connection.pending.borrow();
                let first = pending.front().map(|first| first.queued.request.deadline);
                if first.is_some_and(|deadline| deadline + answer_timeout <= now) {
                    connection.abandon();
                }
            }
        }
        for Expired { request, unsent } in expired {
            self.finish_attempt(now, &request, Outcome::TimedOut, unsent);
        }
    }
}

/// A request whose deadline has passed.
struct Expired {
    request: Attempt,
    unsent: bool,
}

fn collect_expired(connection: &ClientConnection, now: Micros, expired: &mut Vec<Expired>) {
    let mut pending = connection.pending.borrow_mut();
    let late = pending
        .iter_mut()
        .take_while(|pending| pending.queued.request.deadline <= now);
    for pending in late.filter(|pending| !pending.timed_out) {
        pending.timed_out = true;
        expired.push(Expired {
            request: pending.queued.request,
            unsent: !pending.sent,
        });
    }
}
