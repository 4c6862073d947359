//! Fifth stage: what an attempt has brought goes on, its value to the client and its outcome to the decision module.
use std::sync::Arc;

use bytes::Bytes;
use stairfront_common::time::from_duration;
use stairfront_policy::interface::{AttemptResult, RequestId};

use crate::messages::{Answer, AnswerBody, AttemptEnd, FinalAnswer};
use crate::stages::admit::{OpenRequest, RequestTable};

impl RequestTable {
    /// Gives the client its final answer; false if it has had one or has left.
    pub fn answer(&mut self, request: RequestId, answer: impl Into<FinalAnswer>) -> bool {
        let sender = self.open.get_mut(&request).and_then(OpenRequest::finish);
        // If the client leaves at this moment, its connection reports that.
        sender.is_some_and(|sender| sender.send(answer.into()).is_ok())
    }

    /// A value with the memory that it takes until it is written, or a failure where there is none: otherwise clients
    /// that ask for large values and read none of them could fill all memory with answers.
    fn reserve_memory(&self, value: &Bytes) -> FinalAnswer {
        let bytes = u32::try_from(value.len()).unwrap_or(u32::MAX);
        match Arc::clone(&self.answer_memory).try_acquire_many_owned(bytes) {
            Ok(memory) => FinalAnswer {
                memory: Some(memory),
                ..FinalAnswer::from(Answer::Value(value.clone()))
            },
            Err(_) => FinalAnswer::from(Answer::Failed),
        }
    }

    /// Gives the value of an attempt to the client, if it is the first of the request, and returns what the decision
    /// module is notified of.
    pub fn relay(&mut self, end: &mut AttemptEnd) -> AttemptResult {
        let id = end.attempt.request;
        if let Some(open) = self.open.get_mut(&id) {
            open.outstanding
                .retain(|outstanding| outstanding.number != end.attempt.number);
        }
        if let Some(value) = &end.result.value {
            self.answer(id, self.reserve_memory(value));
        }
        if let Some(AnswerBody { length, chunks }) = end.body.take() {
            let answer = FinalAnswer {
                chunks: Some(chunks),
                ..FinalAnswer::from(Answer::Large(length))
            };
            // If no client waits for it any more, the server's connection notices that and ends.
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
