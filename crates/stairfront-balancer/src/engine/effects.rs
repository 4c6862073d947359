//! Carries out the actions of the decision module, and notifies it of attempts that have ended.
use stairfront_common::time::{Micros, MS};
use stairfront_policy::interface::{
    Action, CacheId, Endpoint, Event, LoadReport, Outcome, RequestId,
};
use tracing::{debug, info};

use crate::clock::{timer_duration, Instant};
use crate::engine::{Engine, TimerKind};
use crate::messages::{Answer, AttemptEnd, Job};
use crate::stages::admit::SendOrder;
use crate::stages::route::{self, Decide};
use crate::stages::send::SendDecision;
use crate::stages::used_ids::IdHash;
use crate::transport::Network;

impl<D: Decide, N: Network> Engine<D, N> {
    /// Hands an event to the decision module and carries out what it decides.
    pub(super) fn notify_policy(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        let decided_at = Instant::now();
        let now = self.clock.at(decided_at);
        if !route::route(&mut self.policy, now, event, &mut actions) {
            self.counters.decision_panics.add();
        }
        for action in actions.drain(..) {
            self.perform(action, decided_at);
        }
        self.actions = actions;
    }

    /// Carries out an action that was decided at this time, from which all its times count.
    fn perform(&mut self, action: Action, decided_at: Instant) {
        match action {
            Action::Send {
                id,
                cache,
                timeout,
                send_within,
            } => {
                let order = SendOrder {
                    cache,
                    give_up_at: decided_at + timer_duration(timeout),
                    window_end: send_within.map(|within| decided_at + timer_duration(within)),
                };
                let decision = self.table.send(id, order);
                self.perform_send(decision);
            }
            Action::Reject { id, retry_after } => self.refuse(id, retry_after),
            Action::Fail { id } => self.fail(id),
            Action::Cancel { id, attempt } => self.table.cancel(id, attempt),
            Action::Timer { delay, token } => {
                let due = decided_at + timer_duration(delay);
                self.timers.insert_at(TimerKind::Policy(token), due);
            }
            Action::Disconnect { cache } => self.pool.close_idle(cache),
            Action::Log(record) => info!("{record}"),
            // This balancer makes no health checks; they are reported as not made, which is no information on the server.
            Action::HealthCheck { cache } => self.notify_policy(Event::HealthChecked {
                cache,
                outcome: Outcome::NeverSent,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            // Balancers send each other nothing on behalf of the decision module, and discovery is always watched.
            Action::SendToPeer { .. } | Action::WatchList(_) | Action::PollList => {}
        }
    }

    fn fail(&mut self, id: RequestId) {
        debug!(request = self.client_request_id(id), "request failed");
        if self.table.answer(id, Answer::Failed) {
            self.counters.failed.add();
        }
        self.table.complete(id);
    }

    fn refuse(&mut self, id: RequestId, retry_after: Micros) {
        let after_ms = u64::try_from(retry_after / MS).ok().filter(|ms| *ms > 0);
        debug!(
            request = self.client_request_id(id),
            after_ms, "request refused"
        );
        if self.table.answer(id, Answer::Busy { after_ms }) {
            self.counters.refused.add();
        }
        self.table.complete(id);
    }

    fn perform_send(&mut self, decision: SendDecision) {
        match decision {
            SendDecision::Job(job) => self.dispatch(job),
            SendDecision::Ended(end) => self.ended_attempts.push_back(end),
            SendDecision::Deferred => {}
        }
    }

    fn dispatch(&mut self, job: Job) {
        if !job.command.idempotent {
            self.table.used_ids.announce(IdHash::of(&job.command.id));
        }
        self.counters.attempts_sent.add();
        if self.membership.is_some() {
            *self.attempts_sent.entry(job.cache).or_default() += 1;
        }
        self.ended_attempts.extend(self.pool.dispatch(job));
        self.time_socket_waits();
    }

    /// Starts a timer for each attempt that has begun to wait for a socket.
    pub(super) fn time_socket_waits(&mut self) {
        for (attempt, deadline) in self.pool.new_waits() {
            self.timers
                .insert_at(TimerKind::SocketWait(attempt), deadline);
        }
    }

    pub(super) fn fire(&mut self, timer: TimerKind) {
        match timer {
            TimerKind::Policy(token) => self.notify_policy(Event::Timer { token }),
            TimerKind::SocketWait(attempt) => self
                .ended_attempts
                .extend(self.pool.give_up_waiting(attempt)),
        }
        self.process_ended_attempts();
    }

    /// Notifies the decision module of every attempt that has ended, also of those that its own actions end at once.
    pub(super) fn process_ended_attempts(&mut self) {
        while let Some(end) = self.ended_attempts.pop_front() {
            self.process_end(end);
        }
    }

    fn process_end(&mut self, mut end: AttemptEnd) {
        let id = end.attempt.request;
        self.check_abandoned(id);
        self.counters.count_end(end.result.outcome);
        self.count_origin_attempt(&end);
        self.log_attempt(&end);
        let was_open = self.is_unanswered(id);
        let result = self.table.relay(&mut end);
        if was_open && result.request_finished {
            self.counters.served.add();
        }
        if let Some(decision) = self.table.send_deferred(id) {
            self.perform_send(decision);
        }
        self.notify_policy(Event::AttemptFinished(result));
        self.table.complete(id);
    }

    fn count_origin_attempt(&self, end: &AttemptEnd) {
        let is_origin = |endpoint: &Endpoint| self.is_origin(endpoint);
        if self.membership.is_some() && self.servers.get(&end.cache).is_some_and(is_origin) {
            self.origin.count_end(end.result.outcome);
        }
    }

    fn log_attempt(&self, end: &AttemptEnd) {
        debug!(
            request = self.client_request_id(end.attempt.request),
            server = server_number(end.cache),
            outcome = ?end.result.outcome,
            attempt = end.attempt.number,
            ms = end.started_at.elapsed().as_millis() as u64,
            "attempt ended"
        );
    }

    /// The client's own id of a request, for the log; empty for one that has left the table.
    pub(super) fn client_request_id(&self, id: RequestId) -> String {
        let open = self.table.open.get(&id);
        open.map_or(String::new(), |open| {
            String::from_utf8_lossy(&open.command.id).into_owned()
        })
    }

    fn is_unanswered(&self, id: RequestId) -> bool {
        self.table
            .open
            .get(&id)
            .is_some_and(|open| open.answer.is_some())
    }
}

/// The number of a server as log lines show it.
pub(super) fn server_number(server: CacheId) -> String {
    format!("{:012x}", server.0)
}
