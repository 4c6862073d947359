//! Whether the list in use counts as current while one is on its way, in the kernel, the engine's queue, or at the agent.

use std::cell::Cell;
use std::rc::{Rc, Weak};

use stairfront_balancer::list_freshness::ListFreshness;
use stairfront_balancer::transport::{Peer, Unread};
use stairfront_test_support::loopback::{ms, run};
use tokio::time::advance;

/// The agent's end of a connection, with or without something unread.
struct Agent(Cell<Unread>);

impl Peer for Agent {
    fn has_ended(&self) -> bool {
        false
    }

    fn unread(&self) -> Unread {
        self.0.get()
    }
}

fn watched_agent() -> (Rc<Agent>, ListFreshness) {
    tokio::time::pause();
    let agent = Rc::new(Agent(Cell::new(Unread::Nothing)));
    let weak: Weak<dyn Peer> = Rc::<Agent>::downgrade(&agent);
    let lists = ListFreshness::default();
    lists.set_agent(weak);
    (agent, lists)
}

#[test]
fn a_list_that_is_unread_in_the_kernel_is_waited_for() {
    run(async {
        let (agent, lists) = watched_agent();
        assert!(lists.is_current());
        agent.0.set(Unread::Bytes);
        // A look of a moment ago still counts; no longer one from before a stall.
        advance(ms(25)).await;
        assert!(!lists.is_current());
        agent.0.set(Unread::Nothing);
        assert!(lists.is_current());
    });
}

#[test]
fn a_list_that_waits_for_the_engine_is_waited_for() {
    run(async {
        let (_agent, lists) = watched_agent();
        let (first, second) = (lists.receive(), lists.receive());
        drop(first);
        assert!(!lists.is_current());
        // Dropped with the watch, or applied.
        drop(second);
        assert!(lists.is_current());
    });
}

/// What changed while no watch was open is with the agent, and nothing is unread here.
#[test]
fn the_answer_to_the_first_poll_after_a_stall_without_a_watch_is_waited_for() {
    run(async {
        let (_agent, lists) = watched_agent();
        lists.note_poll(ms(2));
        assert!(lists.is_current(), "no watch was missed");
        lists.note_poll(ms(400));
        assert!(!lists.is_current());
        lists.note_poll_ended();
        assert!(lists.is_current(), "answered");
        lists.note_poll(ms(400));
        advance(ms(31)).await;
        assert!(lists.is_current(), "there is no change");
    });
}
