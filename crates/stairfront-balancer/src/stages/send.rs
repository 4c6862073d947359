//! Fourth stage: a send that was decided becomes a job for the pool of connections.
use std::rc::Rc;

use stairfront_common::time::Micros;
use stairfront_policy::interface::{CacheId, Outcome, RequestId};
use tokio::sync::oneshot;

use crate::clock::{timer_duration, Instant};
use crate::messages::{AttemptEnd, AttemptId, AttemptOutcome, Job};
use crate::stages::admit::{OpenRequest, OutstandingAttempt, PlannedSend, RequestTable};

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
    /// Sends a request to a server, for at most `timeout`, and not after `send_within`.
    pub fn send(
        &mut self,
        request: RequestId,
        cache: CacheId,
        timeout: Micros,
        send_within: Option<Micros>,
    ) -> SendDecision {
        let Some(open) = self.open.get_mut(&request) else {
            let attempt = AttemptId { request, number: 0 };
            return SendDecision::Ended(never_sent(attempt, cache));
        };
        let number = open.attempts_sent;
        let attempt = AttemptId { request, number };
        open.attempts_sent = open.attempts_sent.saturating_add(1);
        let window_end = send_within.map(|within| Instant::now() + timer_duration(within));
        if open.liveness.is_finished() || number >= open.max_attempts || timeout < 0 {
            return SendDecision::Ended(never_sent(attempt, cache));
        }
        let send = PlannedSend {
            number,
            cache,
            timeout,
            window_end,
        };
        // Two attempts of one request must not be in flight at once, and a cancelled one is in flight until its
        // connection is closed.
        if open.has_cancelled_attempt() {
            open.deferred = Some(send);
            return SendDecision::Deferred;
        }
        SendDecision::Job(open.start(attempt, send))
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
            SendDecision::Ended(never_sent(attempt, send.cache))
        } else {
            SendDecision::Job(open.start(attempt, send))
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

    fn start(&mut self, attempt: AttemptId, send: PlannedSend) -> Job {
        let (cancel, cancelled) = oneshot::channel();
        self.outstanding.push(OutstandingAttempt {
            number: attempt.number,
            cancel: Some(cancel),
        });
        let now = Instant::now();
        Job {
            attempt,
            cache: send.cache,
            command: self.command.clone(),
            decided_at: now,
            started_at: now,
            give_up_at: now + timer_duration(send.timeout),
            window_end: send.window_end,
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
        body: None,
    }
}
