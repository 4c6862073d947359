//! The observations of one request.
use stairfront_common::time::Micros;

use super::ClientAnswer;

/// An attempt of a request at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRecord {
    pub(super) attempt: u64,
    pub(super) host: u16,
    pub(super) started: Micros,
    pub(super) ended: Option<Micros>,
    pub(super) executed: bool,
}

/// How a client sent a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub(super) at: Micros,
    pub(super) class: u8,
    pub(super) balancer: u16,
    pub(super) deadline: Micros,
}

/// An answer with its time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedAnswer {
    pub(super) at: Micros,
    pub(super) answer: ClientAnswer,
}

/// All observations of one request.
#[derive(Debug, Default)]
pub(super) struct RequestRecord {
    pub(super) sent: Option<SentRequest>,
    pub(super) answers: Vec<ReceivedAnswer>,
    /// When the client closed the connection.
    pub(super) closed: Option<Micros>,
    /// When the connection ended without an answer.
    pub(super) lost: Option<Micros>,
    pub(super) attempts: Vec<AttemptRecord>,
    pub(super) effects: u32,
    pub(super) last_observed: Micros,
}

impl RequestRecord {
    /// Notes the start of an attempt. Its end may have been observed before.
    pub(super) fn start_attempt(&mut self, attempt: u64, host: u16, at: Micros) {
        match self.find_attempt(attempt) {
            Some(known) => {
                known.started = at;
                known.host = host;
            }
            None => self.attempts.push(AttemptRecord {
                attempt,
                host,
                started: at,
                ended: None,
                executed: false,
            }),
        }
    }

    /// Notes the end of an attempt. Its start may not have been observed yet.
    pub(super) fn end_attempt(&mut self, attempt: u64, executed: bool, at: Micros) {
        match self.find_attempt(attempt) {
            Some(known) => {
                known.ended = Some(at);
                known.executed = executed;
            }
            None => self.attempts.push(AttemptRecord {
                attempt,
                host: u16::MAX,
                started: at,
                ended: Some(at),
                executed,
            }),
        }
    }

    fn find_attempt(&mut self, attempt: u64) -> Option<&mut AttemptRecord> {
        self.attempts
            .iter_mut()
            .find(|known| known.attempt == attempt)
    }

    /// Until when observations of this request may still come.
    pub(super) fn open_until(&self, horizon: Micros) -> Micros {
        let is_unanswered = self.answers.is_empty() && self.lost.is_none() && self.closed.is_none();
        let has_open_attempt = self.attempts.iter().any(|attempt| attempt.ended.is_none());
        // Judged earlier, an answer or an attempt that comes late would count as a request of its own.
        let expected_until = if is_unanswered || has_open_attempt {
            self.sent.map_or(0, |sent| sent.deadline) + horizon
        } else {
            0
        };
        self.last_observed.max(expected_until)
    }
}
