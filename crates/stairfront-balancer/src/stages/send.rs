//! Fourth stage: a send that was decided becomes a job for the pool of connections.
use std::rc::Rc;

use stairfront_policy::interface::{CacheId, Outcome, RequestId};
use tokio::sync::oneshot;

use crate::clock::Instant;
use crate::messages::{AttemptEnd, AttemptId, AttemptOutcome, Job};
use crate::stages::admit::{OpenRequest, OutstandingAttempt, PlannedSend, RequestTable, SendOrder};

/// The result of a send.
pub enum SendDecision {
    /// It goes to the pool.
    Job(Job),
    /// It has ended before it began: the request has ended or its time is up.
    Ended(AttemptEnd),
    /// It waits until the connection of a cancelled attempt has ended.
    Deferred,
}

impl RequestTable {
    /// Sends a request to a server.
    pub fn send(&mut self, request: RequestId, order: SendOrder) -> SendDecision {
        let Some(open) = self.open.get_mut(&request) else {
            let attempt = AttemptId { request, number: 0 };
            return SendDecision::Ended(never_sent(attempt, order.cache));
        };
        let number = open.attempts_sent;
        let attempt = AttemptId { request, number };
        open.attempts_sent = open.attempts_sent.saturating_add(1);
        if open.liveness.is_finished() || number >= open.max_attempts {
            return SendDecision::Ended(never_sent(attempt, order.cache));
        }
        // Two attempts of one request must not be in flight at once, and a cancelled one is in flight until its
        // connection is closed.
        if open.has_cancelled_attempt() {
            open.deferred = Some(PlannedSend { number, order });
            return SendDecision::Deferred;
        }
        SendDecision::Job(open.start(attempt, order))
    }

    /// The send that has waited for the end of a cancelled attempt.
    pub fn send_deferred(&mut self, request: RequestId) -> Option<SendDecision> {
        let open = self.open.get_mut(&request)?;
        if open.has_cancelled_attempt() {
            return None;
        }
        let send = open.deferred.take()?;
        let attempt = AttemptId {
            request,
            number: send.number,
        };
        // Nothing more may be sent for a request that has been answered meanwhile.
        Some(if open.liveness.is_finished() {
            SendDecision::Ended(never_sent(attempt, send.order.cache))
        } else {
            SendDecision::Job(open.start(attempt, send.order))
        })
    }

    /// Cancels an attempt; one that has just ended needs no cancelling.
    pub fn cancel(&mut self, request: RequestId, number: u8) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let attempt = open
            .outstanding
            .iter_mut()
            .find(|attempt| attempt.number == number);
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            // The attempt may have ended at this moment.
            let _ = cancel.send(());
        }
    }
}

impl OpenRequest {
    fn has_cancelled_attempt(&self) -> bool {
        self.outstanding
            .iter()
            .any(|attempt| attempt.cancel.is_none())
    }

    fn start(&mut self, attempt: AttemptId, order: SendOrder) -> Job {
        let (cancel, cancelled) = oneshot::channel();
        self.outstanding.push(OutstandingAttempt {
            number: attempt.number,
            cancel: Some(cancel),
        });
        let now = Instant::now();
        Job {
            attempt,
            cache: order.cache,
            command: self.command.clone(),
            memory: self.memory.clone(),
            decided_at: now,
            started_at: now,
            give_up_at: order.give_up_at,
            window_end: order.window_end,
            cancel: cancelled,
            barred: Rc::default(),
            liveness: Rc::clone(&self.liveness),
        }
    }
}

fn never_sent(attempt: AttemptId, cache: CacheId) -> AttemptEnd {
    AttemptEnd {
        attempt,
        cache,
        started_at: Instant::now(),
        result: AttemptOutcome::without_report(Outcome::NeverSent),
        memory: None,
        body: None,
    }
}
