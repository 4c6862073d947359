//! Whether the endpoint list in use is the newest that discovery has sent to this balancer.
//!
//! A change counts as notified once it is written to this machine, and a process that stood still has not read it. What is decided
//! by the list before may go to a server that drains. So an attempt asks the network directly before its first byte, and waits
//! for the list to be applied.
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::task::yield_now;

use crate::clock::{sleep, Instant};
use crate::transport::{Peer, Unread};

/// The network is not asked again within this; the grace of a drain is far longer.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A watch that was closed for longer may have missed a change, which the next poll brings at once.
const MAX_UNWATCHED: Duration = Duration::from_millis(100);
/// Time in which the agent, on this machine, answers a poll for which it has a change.
const AGENT_ANSWER_TIME: Duration = Duration::from_millis(30);
/// Turns of the event loop in which a list is usually read and applied, before a pause is made between two questions.
const MAX_YIELDS: u32 = 4;
/// Pause between two questions after these.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// What is known of lists on their way to the engine. Discovery's watch reports, attempts ask.
#[derive(Default)]
pub struct ListFreshness {
    agent: RefCell<Option<Weak<dyn Peer>>>,
    in_transit: Rc<Cell<usize>>,
    /// Until when a poll may be answered that came after a time without a watch.
    answer_due: Cell<Option<Instant>>,
    /// When nothing was last found on its way.
    current_at: Cell<Option<Instant>>,
}

/// A list between its last byte and the engine's having applied it.
#[derive(Debug)]
pub struct ListInTransit(Rc<Cell<usize>>);

impl Drop for ListInTransit {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl ListFreshness {
    /// Sets the connection on which lists come.
    pub fn set_agent(&self, agent: Weak<dyn Peer>) {
        self.agent.replace(Some(agent));
    }

    /// Notes that a list has been read; it is on its way for as long as the result lives.
    pub fn receive(&self) -> ListInTransit {
        self.in_transit.set(self.in_transit.get() + 1);
        ListInTransit(Rc::clone(&self.in_transit))
    }

    /// Notes that the agent is polled again, so long after the answer before may have come.
    pub fn note_poll(&self, unwatched: Duration) {
        if unwatched > MAX_UNWATCHED {
            self.answer_due
                .set(Some(Instant::now() + AGENT_ANSWER_TIME));
        }
    }

    /// Notes that a poll was answered, or will not be.
    pub fn note_poll_ended(&self) {
        self.answer_due.set(None);
    }

    /// Whether no list is on its way that has reached this machine.
    pub fn is_current(&self) -> bool {
        let now = Instant::now();
        if self.in_transit.get() > 0 || self.answer_due.get().is_some_and(|due| now < due) {
            return false;
        }
        let was_current = self.current_at.get();
        if was_current.is_some_and(|at| now < at + CHECK_INTERVAL) {
            return true;
        }
        let agent = self.agent.borrow().as_ref().and_then(Weak::upgrade);
        let is_current = agent.is_none_or(|agent| agent.unread() != Unread::Bytes);
        self.current_at.set(Some(now).filter(|_| is_current));
        is_current
    }

    /// Lets the event loop read and apply what has come, before the question is asked again; `asked` is how often it was.
    pub async fn wait(&self, asked: u32) {
        if asked < MAX_YIELDS {
            yield_now().await;
        } else {
            sleep(RETRY_INTERVAL).await;
        }
    }
}
