//! Fourth stage: a send that was decided becomes a job for the pool of connections.
use std::rc::Rc;

use stairfront_policy::interface::{CacheId, Micros, Outcome, RequestId};
use tokio::sync::oneshot;

use crate::clock::{duration, Instant};
use crate::messages::{AttemptEnd, AttemptId, Job, Verdict};
use crate::stages::admit::{Deferred, OutstandingAttempt, RequestTable};

pub enum SendDecision {
    Job(Job),
    /// Over before it began: the request has ended or its time is up.
    Ended(AttemptEnd),
    /// Sent as soon as a cancelled attempt's connection has ended.
    Deferred,
}

impl RequestTable {
    pub fn send(
        &mut self,
        request: RequestId,
        cache: CacheId,
        timeout: Micros,
        lapses: Option<Micros>,
    ) -> SendDecision {
        let Some(open) = self.open.get_mut(&request) else {
            let attempt = AttemptId { request, number: 0 };
            return SendDecision::Ended(moot(attempt, cache));
        };
        let number = open.sent;
        open.sent = open.sent.saturating_add(1);
        let lapses = lapses.map(|within| Instant::now() + duration(within));
        if open.over.get() || number >= open.most || timeout < 0 {
            return SendDecision::Ended(moot(AttemptId { request, number }, cache));
        }
        // Danger: two attempts of one request must not be out at once, and a cancelled one is out until its
        // connection is closed.
        if open.out.iter().any(|out| out.cancel.is_none()) {
            open.deferred = Some(Deferred {
                number,
                cache,
                timeout,
                lapses,
            });
            return SendDecision::Deferred;
        }
        SendDecision::Job(job(
            open,
            AttemptId { request, number },
            cache,
            timeout,
            lapses,
        ))
    }

    /// The send that waited for the end of a cancelled attempt.
    pub fn send_deferred(&mut self, request: RequestId) -> Option<SendDecision> {
        let open = self.open.get_mut(&request)?;
        if open.out.iter().any(|out| out.cancel.is_none()) {
            return None;
        }
        let Deferred {
            number,
            cache,
            timeout,
            lapses,
        } = open.deferred.take()?;
        let attempt = AttemptId { request, number };
        // Danger: nothing more may go out for a request that has had its answer meanwhile.
        Some(if open.over.get() {
            SendDecision::Ended(moot(attempt, cache))
        } else {
            SendDecision::Job(job(open, attempt, cache, timeout, lapses))
        })
    }

    pub fn cancel(&mut self, request: RequestId, number: u8) {
        let outs = self.open.get_mut(&request).map(|open| &mut open.out);
        if let Some(out) = outs.and_then(|outs| outs.iter_mut().find(|out| out.number == number)) {
            // An attempt that has just ended needs no cancelling.
            let _ = out.cancel.take().map(|cancel| cancel.send(()));
        }
    }
}

fn job(
    open: &mut super::admit::OpenRequest,
    attempt: AttemptId,
    cache: CacheId,
    timeout: Micros,
    lapses: Option<Instant>,
) -> Job {
    let (cancel, cancelled) = oneshot::channel();
    open.out.push(OutstandingAttempt {
        number: attempt.number,
        cancel: Some(cancel),
    });
    let sent_at = Instant::now();
    let give_up = sent_at + duration(timeout);
    let (command, over) = (open.command.clone(), Rc::clone(&open.over));
    Job {
        attempt,
        cache,
        command,
        sent_at,
        begun: sent_at,
        give_up,
        lapses,
        cancel: cancelled,
        over,
    }
}

fn moot(attempt: AttemptId, cache: CacheId) -> AttemptEnd {
    AttemptEnd {
        attempt,
        cache,
        begun: Instant::now(),
        verdict: Verdict::bare(Outcome::NeverSent),
        rest: None,
    }
}
