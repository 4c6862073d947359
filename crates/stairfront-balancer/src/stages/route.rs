//! Third stage: the decision module is notified, and decides.
use std::panic::{catch_unwind, AssertUnwindSafe};

use stairfront_common::time::Micros;
use stairfront_policy::interface::{Action, Event, PolicySnapshot};
use stairfront_policy::Policy;
use tracing::error;

/// Decides which server gets a request, whether an attempt is retried and which request is refused: events and a time go
/// in, actions come out.
pub trait Decide: 'static {
    /// Handles one event and adds what it decides to `actions`.
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>);
    /// The knowledge for a process that takes over from this one; empty by default.
    fn snapshot(&self, _now: Micros) -> PolicySnapshot {
        PolicySnapshot::default()
    }
}

impl Decide for Policy {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        Policy::handle(self, now, event, actions);
    }

    fn snapshot(&self, now: Micros) -> PolicySnapshot {
        Policy::snapshot(self, now)
    }
}

/// Hands one event to the decision module; false if it has panicked. A panic is logged, and what was decided before it
/// stays in `actions`, because it would otherwise end every request in flight.
pub fn route(
    policy: &mut impl Decide,
    now: Micros,
    event: Event<'_>,
    actions: &mut Vec<Action>,
) -> bool {
    let decided = catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, actions)));
    if decided.is_err() {
        error!(?event, "decision module panicked");
    }
    decided.is_ok()
}
