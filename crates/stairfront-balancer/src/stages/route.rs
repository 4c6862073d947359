//! Third stage: the decision module is told and asked.
use std::panic::{catch_unwind, AssertUnwindSafe};

use stairfront_policy::interface::{Action, Event, Micros, PolicySnapshot};
use stairfront_policy::Policy;
use tracing::error;

/// What decides which server, whether to retry and what is refused: events and a time in, actions out.
pub trait Decide: 'static {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>);
    /// What a process that takes over from this one should know; nothing by default.
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

/// Hands one event over. Danger: a panic in a decision would end every request in flight; it is logged, what was
/// decided before it is carried out, and false returned.
pub fn route(
    policy: &mut impl Decide,
    now: Micros,
    event: Event<'_>,
    actions: &mut Vec<Action>,
) -> bool {
    let decided = catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, actions)));
    if decided.is_err() {
        error!("the decision module panicked on {event:?}");
    }
    decided.is_ok()
}
