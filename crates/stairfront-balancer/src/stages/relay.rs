//! Fifth stage: the end of an attempt is passed on, its value to the client, its outcome to the decision module.
use std::sync::Arc;

use bytes::Bytes;
use stairfront_policy::interface::{AttemptResult, RequestId};

use crate::clock::micros;
use crate::messages::{Answer, AnswerBody, AttemptEnd, FinalAnswer};
use crate::stages::admit::{OpenRequest, RequestTable};

impl RequestTable {
    /// Gives the client its final answer; false if it has had one or has left.
    pub fn answer(&mut self, request: RequestId, answer: impl Into<FinalAnswer>) -> bool {
        let sender = self.open.get_mut(&request).and_then(OpenRequest::end);
        // A client that left in this moment is told of by its connection.
        sender.is_some_and(|sender| sender.send(answer.into()).is_ok())
    }

    /// Danger: clients that ask for large values and read none of them would have all memory filled with answers.
    fn with_room(&self, value: &Bytes) -> FinalAnswer {
        let bytes = u32::try_from(value.len()).unwrap_or(u32::MAX);
        match Arc::clone(&self.room).try_acquire_many_owned(bytes) {
            Ok(room) => FinalAnswer {
                room: Some(room),
                ..FinalAnswer::from(Answer::Value(value.clone()))
            },
            Err(_) => FinalAnswer::from(Answer::Failed),
        }
    }

    /// What the decision module hears; the first value goes to the client and ends the request.
    pub fn relay(&mut self, end: &mut AttemptEnd) -> AttemptResult {
        let id = end.attempt.request;
        if let Some(open) = self.open.get_mut(&id) {
            open.out.retain(|out| out.number != end.attempt.number);
        }
        if let Some(value) = &end.verdict.value {
            self.answer(id, self.with_room(value));
        }
        if let Some(AnswerBody { length, pieces }) = end.rest.take() {
            // Where nobody waits for it any more, its connection sees that and ends.
            self.answer(
                id,
                FinalAnswer {
                    pieces: Some(pieces),
                    ..FinalAnswer::from(Answer::Large(length))
                },
            );
        }
        AttemptResult {
            id,
            attempt: end.attempt.number,
            cache: end.cache,
            outcome: end.verdict.outcome,
            request_finished: self.open.get(&id).is_none_or(|open| open.answer.is_none()),
            elapsed: micros(end.begun.elapsed()),
            cache_status: end.verdict.note,
            load: end.verdict.load,
        }
    }
}
