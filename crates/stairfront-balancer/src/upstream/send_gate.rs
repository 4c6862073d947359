//! Whether an attempt may be written: everything that forbids it is asked here, directly before its bytes go out.
use tracing::debug;

use crate::clock::Instant;
use crate::messages::Job;

/// Why an attempt is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The request has its answer, or its client is known to have left.
    #[error("the request is finished")]
    RequestFinished,
    /// The decision module has taken the attempt back.
    #[error("the attempt is cancelled")]
    Cancelled,
    /// The attempt's time is over.
    #[error("the attempt's time is over")]
    TimeOver,
    /// A retry could reach a server that has forgotten the attempt before it.
    #[error("the window for the retry has closed")]
    WindowClosed,
    /// Nothing new may be begun at the server.
    #[error("the server is barred")]
    ServerBarred,
}

impl Job {
    /// Whether it may be written now. A job may have waited for its connection's task, or for a connection that came up as
    /// its time ended; the request may have been answered by then, and must not be sent after its answer.
    ///
    /// # Errors
    ///
    /// The first reason that forbids it.
    pub fn may_begin(&self) -> Result<(), SendRefusal> {
        if self.finished.get() {
            return Err(SendRefusal::RequestFinished);
        }
        if !self.cancel.is_empty() {
            return Err(SendRefusal::Cancelled);
        }
        let now = Instant::now();
        if self.window_end.is_some_and(|end| now >= end) {
            return Err(SendRefusal::WindowClosed);
        }
        if now >= self.give_up_at {
            return Err(SendRefusal::TimeOver);
        }
        Ok(())
    }

    /// Logs that the attempt was withheld.
    pub(super) fn log_refusal(&self, refusal: SendRefusal) {
        debug!(
            request = %self.command.id.escape_ascii(),
            attempt = self.attempt.number,
            waited_ms = self.decided_at.elapsed().as_millis() as u64,
            reason = %refusal,
            "attempt not begun"
        );
    }
}
