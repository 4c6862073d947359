//! Events for the balancer's engine. Of the events about one host only the latest is kept, so that their number is bounded
//! by the number of hosts.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use tokio::sync::Notify;

/// A change that the engine has to apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The group has cordoned a cache host, or lifted its cordons. The engine applies it, then `cordon_applied` is called.
    Cordon {
        /// The cache host.
        host: String,
        /// Whether the host is cordoned now.
        cordoned: bool,
    },
    /// A drain hint about a cache host begins or ends.
    DrainHint {
        /// The cache host.
        host: String,
        /// Whether new requests to the host are to stop; otherwise the own endpoint list decides again.
        stop: bool,
    },
    /// Another member has a newer endpoint list: poll discovery at once.
    PollDiscovery,
}

#[derive(Default)]
struct Pending {
    cordons: BTreeMap<String, bool>,
    drain_hints: BTreeMap<String, bool>,
    poll_discovery: bool,
}

/// The events that the engine has not taken yet.
#[derive(Default)]
pub(crate) struct EngineEvents {
    pending: RefCell<Pending>,
    /// The engine runs and takes events.
    enabled: Cell<bool>,
    pushed: Notify,
}

impl EngineEvents {
    /// Adds an event, in place of an older one about the same host.
    pub fn push(&self, event: MembershipEvent) {
        let mut pending = self.pending.borrow_mut();
        match event {
            MembershipEvent::Cordon { host, cordoned } => {
                pending.cordons.insert(host, cordoned);
            }
            MembershipEvent::DrainHint { host, stop } => {
                pending.drain_hints.insert(host, stop);
            }
            MembershipEvent::PollDiscovery => pending.poll_discovery = true,
        }
        self.pushed.notify_one();
    }

    /// Drops the cordons that wait: the engine starts with all of them.
    pub fn clear_cordons(&self) {
        self.pending.borrow_mut().cordons.clear();
    }

    /// Lets the engine take events from now on.
    pub fn enable(&self) {
        self.enabled.set(true);
    }

    /// Returns the next event, as soon as there is one.
    pub async fn next(&self) -> MembershipEvent {
        loop {
            if let Some(event) = self.pop().filter(|_| self.enabled.get()) {
                return event;
            }
            self.pushed.notified().await;
        }
    }

    fn pop(&self) -> Option<MembershipEvent> {
        let mut pending = self.pending.borrow_mut();
        if let Some((host, cordoned)) = pending.cordons.pop_first() {
            return Some(MembershipEvent::Cordon { host, cordoned });
        }
        if let Some((host, stop)) = pending.drain_hints.pop_first() {
            return Some(MembershipEvent::DrainHint { host, stop });
        }
        std::mem::take(&mut pending.poll_discovery).then_some(MembershipEvent::PollDiscovery)
    }
}
