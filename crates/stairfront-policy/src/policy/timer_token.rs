//! Purposes of the policy's timers. A timer's number encodes its purpose, so that no table of
//! timers is kept.
use crate::interface::RequestId;

const POLL_LIST: u64 = u64::MAX;
/// The lower bits of a request's token hold its id, the upper ones the number of attempts.
const REQUEST_BITS: u32 = u32::BITS;

/// The purpose of a timer.
#[derive(Clone, Copy)]
pub(super) enum TimerToken {
    /// Open the watch of the endpoint list.
    PollList,
    /// Answer a request that has no answer yet.
    Deadline(RequestId),
    /// Cancel an attempt of a request if it is still in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
    },
}

impl TimerToken {
    /// The number that stands for it in `Action::Timer`.
    pub(super) fn encode(self) -> u64 {
        match self {
            TimerToken::PollList => POLL_LIST,
            TimerToken::Deadline(id) => u64::from(id.0),
            TimerToken::CancelAttempt { id, attempt } => {
                (u64::from(attempt) + 1) << REQUEST_BITS | u64::from(id.0)
            }
        }
    }

    /// The purpose that a number returned by `encode` stands for.
    pub(super) fn decode(token: u64) -> Self {
        let id = RequestId(token as u32);
        if token == POLL_LIST {
            TimerToken::PollList
        } else if token > u64::from(u32::MAX) {
            let attempt = (token >> REQUEST_BITS) as u8 - 1;
            TimerToken::CancelAttempt { id, attempt }
        } else {
            TimerToken::Deadline(id)
        }
    }
}
