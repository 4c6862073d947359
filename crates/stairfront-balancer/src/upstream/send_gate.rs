//! Whether an attempt may be written: everything that forbids it is asked here, directly before its bytes go out.
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use stairfront_policy::interface::Outcome;
use tracing::debug;

use crate::clock::{timeout_at, Instant};
use crate::list_freshness::ListFreshness;
use crate::messages::{AttemptEnd, AttemptOutcome, Job};
use crate::stages::liveness::RequestLiveness;

/// Why an attempt is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The request has its answer, or its client is known to have left.
    #[error("the request is finished")]
    RequestFinished,
    /// The client has left, and no task has read that yet.
    #[error("the client has left")]
    ClientLeft,
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
    /// A list has been sent and not applied yet; the attempt may be written once it is.
    #[error("a list is on its way")]
    ListPending,
}

/// What was asked longer ago than this is asked again: it may not hold any more.
const MAX_CHECK_DURATION: Duration = Duration::from_millis(10);
/// How often an attempt that waits for its server to read asks whether it may go on.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Asks until an answer is fresh as it is returned: the process may stand still in the middle of a check.
///
/// # Errors
///
/// The first refusal.
pub(super) fn ask_until_fresh<T, E>(mut ask: impl FnMut() -> Result<T, E>) -> Result<T, E> {
    loop {
        let asked_at = Instant::now();
        let answer = ask()?;
        if asked_at.elapsed() < MAX_CHECK_DURATION {
            return Ok(answer);
        }
    }
}

/// Waits for a step of an attempt that has begun, and asks meanwhile whether the attempt may go on.
///
/// # Errors
///
/// The first refusal.
pub(super) async fn wait_while_allowed<F: Future>(
    conditions: &SendConditions,
    may_go_on: impl Fn(&SendConditions) -> Result<(), SendRefusal>,
    step: F,
) -> Result<F::Output, SendRefusal> {
    let mut step = pin!(step);
    loop {
        if let Ok(done) = timeout_at(conditions.next_check(), &mut step).await {
            return Ok(done);
        }
        may_go_on(conditions)?;
    }
}

/// What has to hold while an attempt is written.
#[derive(Clone, Debug)]
pub(super) struct SendConditions {
    liveness: Rc<RequestLiveness>,
    give_up_at: Instant,
    window_end: Option<Instant>,
    barred: Rc<Cell<bool>>,
}

impl SendConditions {
    /// Whether more of a command may be written that has begun. Without its last byte it never runs, so it is broken off
    /// where its server gets nothing new any more.
    pub(super) fn may_write_more(&self) -> Result<(), SendRefusal> {
        if self.barred.get() {
            return Err(SendRefusal::ServerBarred);
        }
        self.may_go_on()
    }

    /// Whether a command may go on to its server of which all is written and a part is not sent yet.
    pub(super) fn may_go_on(&self) -> Result<(), SendRefusal> {
        self.check_known(Instant::now())?;
        if self.liveness.client_has_left() {
            return Err(SendRefusal::ClientLeft);
        }
        Ok(())
    }

    /// The next time at which this is to be asked while an attempt waits for its server: a request may lapse by an event that
    /// wakes no attempt.
    pub(super) fn next_check(&self) -> Instant {
        let end = self.window_end.unwrap_or(self.give_up_at);
        let next = Instant::now() + RECHECK_INTERVAL;
        next.min(end).min(self.give_up_at)
    }

    /// The part that this process knows without asking the network.
    fn check_known(&self, now: Instant) -> Result<(), SendRefusal> {
        if self.liveness.is_finished() {
            return Err(SendRefusal::RequestFinished);
        }
        if self.window_end.is_some_and(|end| now >= end) {
            return Err(SendRefusal::WindowClosed);
        }
        if now >= self.give_up_at {
            return Err(SendRefusal::TimeOver);
        }
        Ok(())
    }
}

impl Job {
    /// What has to hold while it is written.
    pub(super) fn conditions(&self) -> SendConditions {
        SendConditions {
            liveness: Rc::clone(&self.liveness),
            give_up_at: self.give_up_at,
            window_end: self.window_end,
            barred: Rc::clone(&self.barred),
        }
    }

    /// Whether it may still begin. A job may have waited for its connection's task, or for a connection that came up as
    /// its time ended; the request may have been answered by then, and must not be sent after its answer. And the process
    /// may have stood still since it was decided: its client may be gone although no task has read that yet.
    pub(super) fn may_begin(&self) -> Result<(), SendRefusal> {
        self.check_local()?;
        self.conditions().may_go_on()
    }

    /// Whether its first byte may be written now: the list by which it was decided is the newest that discovery has sent.
    pub(super) fn may_be_written(&self, lists: &ListFreshness) -> Result<(), SendRefusal> {
        self.may_begin()?;
        if lists.is_current() {
            Ok(())
        } else {
            Err(SendRefusal::ListPending)
        }
    }

    /// The part that this process knows without asking the network. Asked further up it saves work, and protects nothing.
    pub(super) fn check_known(&self) -> Result<(), SendRefusal> {
        self.check_local()?;
        self.conditions().check_known(Instant::now())
    }

    fn check_local(&self) -> Result<(), SendRefusal> {
        if self.barred.get() {
            return Err(SendRefusal::ServerBarred);
        }
        if !self.cancel.is_empty() {
            return Err(SendRefusal::Cancelled);
        }
        Ok(())
    }

    /// Ends the attempt, of which nothing was written.
    pub(super) fn withhold(&self, refusal: SendRefusal) -> AttemptEnd {
        debug!(
            request = %self.command.id.escape_ascii(),
            attempt = self.attempt.number,
            waited_ms = self.decided_at.elapsed().as_millis() as u64,
            reason = %refusal,
            "attempt not begun"
        );
        self.end(AttemptOutcome::without_report(Outcome::NeverSent))
    }
}
