//! Fifth stage: what an attempt has brought goes on, its value to the client and its outcome to the decision module.
use std::rc::Rc;

use stairfront_common::time::from_duration;
use stairfront_policy::interface::{AttemptResult, Outcome, RequestId};

use crate::messages::{Answer, AttemptEnd, FinalAnswer};
use crate::stages::admit::{OpenRequest, RequestTable};

impl RequestTable {
    /// Gives the client its final answer; false if it has had one or has left.
    pub fn answer(&mut self, request: RequestId, answer: impl Into<FinalAnswer>) -> bool {
        let sender = self.open.get_mut(&request).and_then(OpenRequest::finish);
        // If the client leaves at this moment, its connection reports that.
        sender.is_some_and(|sender| sender.send(answer.into()).is_ok())
    }

    /// Gives the value of an attempt to the client, if it is the first of the request, and returns what the decision
    /// module is notified of.
    pub fn relay(&mut self, end: &mut AttemptEnd) -> AttemptResult {
        let id = end.attempt.request;
        if let Some(open) = self.open.get_mut(&id) {
            open.outstanding
                .retain(|outstanding| outstanding.number != end.attempt.number);
            open.may_have_run |= may_have_run(end.result.outcome, open.liveness.take_begun());
        }
        if let Some(mut answer) = take_answer(end) {
            // The id stays claimed until a large answer is out.
            if let (Some(body), Some(open)) = (&mut answer.body, self.open.get(&id)) {
                body.claim = Some(Rc::clone(&open.claim));
            }
            // If no client waits for it any more, the server's connection notices that of a large value, and ends.
            self.answer(id, answer);
        }
        AttemptResult {
            id,
            attempt: end.attempt.number,
            cache: end.cache,
            outcome: end.result.outcome,
            request_finished: self.open.get(&id).is_none_or(|open| open.answer.is_none()),
            elapsed: from_duration(end.started_at.elapsed()),
            cache_status: end.result.cache_status,
            load: end.result.load,
        }
    }
}

/// Whether an attempt that ended so may have run, or may yet; `has_begun` if a part of it was written.
fn may_have_run(outcome: Outcome, has_begun: bool) -> bool {
    match outcome {
        Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent => false,
        Outcome::Cancelled | Outcome::TimedOut => has_begun,
        // A cache that lacks the key has run nothing.
        Outcome::Miss => false,
        Outcome::Served | Outcome::Errored | Outcome::Reset | Outcome::Malformed => true,
    }
}

/// The answer that an attempt has brought; `None` if it has brought none.
fn take_answer(end: &mut AttemptEnd) -> Option<FinalAnswer> {
    if let Some(body) = end.body.take() {
        let head = Answer::Large(body.length);
        return Some(FinalAnswer {
            body: Some(body),
            ..FinalAnswer::from(head)
        });
    }
    match end.result.value.take() {
        Some(value) => Some(FinalAnswer {
            memory: end.memory.take(),
            ..FinalAnswer::from(Answer::Value(value))
        }),
        // The server has served it, and there was no memory for the value.
        None if end.result.outcome == Outcome::Served => Some(FinalAnswer::from(Answer::Failed)),
        None => None,
    }
}
