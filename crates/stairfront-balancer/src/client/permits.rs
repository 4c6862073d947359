//! The permits for client connections. Each belongs to one process of this balancer at a time: during an upgrade the old
//! process gives those that are free, and each further one as it is released, to the new process, which accepts alone.
use std::cell::Cell;
use std::sync::Arc;

use tokio::sync::{watch, AcquireError, Notify, OwnedSemaphorePermit, Semaphore};

use crate::clock::Instant;

/// What a process knows of the permits of the process that it takes over from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InheritedPermits {
    /// The old process has all of them, and gives them away one by one.
    All,
    /// The old process keeps so many until its connections are handed over, and goes on accepting with those: it is of a
    /// build that gives none away.
    Kept(usize),
}

/// The process of this balancer that accepts clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acceptor {
    /// The process before this one.
    Predecessor,
    /// This process; connections that wait were not there for it before this time.
    This { since: Instant },
    /// The process that takes over from this one.
    Successor,
}

/// The permits of one process, and who accepts clients.
pub struct ClientPermits {
    /// Those that belong to this process and are free.
    free: Arc<Semaphore>,
    /// Permits of all processes together.
    limit: usize,
    held_by_predecessor: Cell<usize>,
    held_by_successor: Cell<usize>,
    has_successor: Cell<bool>,
    acceptor: watch::Sender<Acceptor>,
    /// When the process before this one was asked to leave the clients to this one.
    asked_at: Cell<Option<Instant>>,
    /// Told when a client waits and no permit is free here.
    wanted: Notify,
}

impl ClientPermits {
    /// The permits of a process without another one before it.
    pub fn new(limit: usize) -> Self {
        ClientPermits {
            free: Arc::new(Semaphore::new(limit)),
            limit,
            held_by_predecessor: Cell::new(0),
            held_by_successor: Cell::new(0),
            has_successor: Cell::new(false),
            acceptor: watch::channel(Acceptor::This {
                since: Instant::now(),
            })
            .0,
            asked_at: Cell::new(None),
            wanted: Notify::new(),
        }
    }

    /// The permits of a process that takes over from another one.
    pub fn inheriting(limit: usize, inherited: InheritedPermits) -> Self {
        let (held, accepts) = match inherited {
            InheritedPermits::All => (limit, false),
            InheritedPermits::Kept(kept) => (kept.min(limit), true),
        };
        let permits = ClientPermits::new(limit - held);
        if !accepts {
            permits.acceptor.send_replace(Acceptor::Predecessor);
        }
        ClientPermits {
            limit,
            held_by_predecessor: Cell::new(held),
            ..permits
        }
    }

    /// Permits of all processes together.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Permits that are free here, or come back from the process before this one.
    pub(super) fn available(&self) -> usize {
        self.free.available_permits() + self.held_by_predecessor.get()
    }

    /// A permit of this process, if one is free.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.free).try_acquire_owned().ok()
    }

    /// The next permit of this process that is free.
    pub(super) async fn acquire(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
        Arc::clone(&self.free).acquire_owned().await
    }

    /// Asks the process before this one, where there is one with permits, for a permit.
    pub(crate) fn want(&self) {
        if self.held_by_predecessor.get() > 0 {
            self.wanted.notify_one();
        }
    }

    /// Waits until a client wants a permit that the process before this one has.
    pub(crate) async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Waits until this process accepts clients; since when it does.
    pub(crate) async fn until_accepting(&self) -> Instant {
        let mut acceptor = self.acceptor.subscribe();
        loop {
            if let Acceptor::This { since } = *acceptor.borrow_and_update() {
                return since;
            }
            if acceptor.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until another process accepts clients in place of this one.
    pub(super) async fn until_not_accepting(&self) {
        let mut acceptor = self.acceptor.subscribe();
        let left = acceptor.wait_for(|acceptor| !matches!(acceptor, Acceptor::This { .. }));
        if left.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Notes that the process before this one is asked, now, to leave the clients to this one.
    pub(crate) fn note_asked(&self) {
        self.asked_at.set(Some(Instant::now()));
    }

    /// Accepts clients from now on, unless a successor does already. Until it was asked the process before this one has
    /// accepted those that came.
    pub(crate) fn accept(&self) {
        self.accept_since(self.asked_at.get().unwrap_or_else(Instant::now));
    }

    fn accept_since(&self, since: Instant) {
        self.acceptor.send_if_modified(|acceptor| {
            let begins = *acceptor == Acceptor::Predecessor;
            if begins {
                *acceptor = Acceptor::This { since };
            }
            begins
        });
    }

    /// Takes permits that the process before this one has given away.
    pub(crate) fn receive(&self, count: usize) {
        let held = self.held_by_predecessor.get();
        let received = count.min(held);
        self.held_by_predecessor.set(held - received);
        self.free.add_permits(received);
    }

    /// The permit of a connection from the process before this one; `None` if that process has no permit left for it.
    pub(super) fn inherit(&self) -> Option<InheritedPermit> {
        let left = self.held_by_predecessor.get().checked_sub(1)?;
        self.held_by_predecessor.set(left);
        Some(InheritedPermit(Some(Arc::clone(&self.free))))
    }

    /// Takes all permits that the process before this one had, since that has ended at this time.
    pub(super) fn predecessor_ended(&self, ended_at: Instant) {
        self.free.add_permits(self.held_by_predecessor.take());
        self.accept_since(ended_at);
    }

    /// Notes that a successor is there. One that is not given permits one by one gets those that are free now, and both
    /// accept. Returns how many the successor does not have.
    pub(crate) fn share(&self, gives_one_by_one: bool) -> usize {
        self.has_successor.set(true);
        if !gives_one_by_one {
            self.take_available();
        }
        self.limit - self.held_by_successor.get()
    }

    /// Accepts no more clients, since the successor does.
    pub(crate) fn stop_accepting(&self) {
        self.acceptor.send_replace(Acceptor::Successor);
    }

    /// Waits until the successor accepts clients.
    pub(crate) async fn until_successor_accepts(&self) {
        let mut acceptor = self.acceptor.subscribe();
        let accepts = acceptor.wait_for(|acceptor| *acceptor == Acceptor::Successor);
        if accepts.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Takes all permits that are free, for the successor; how many these are.
    pub(crate) fn take_available(&self) -> usize {
        let taken = self.free.forget_permits(self.free.available_permits());
        self.held_by_successor
            .set(self.held_by_successor.get() + taken);
        taken
    }

    /// The same as soon as one is free.
    pub(crate) async fn take_next(&self) -> usize {
        if let Ok(permit) = self.acquire().await {
            // It is free again at once, unless a client that has waited for longer gets it.
            drop(permit);
        }
        self.take_available()
    }

    /// Leaves the permit of a connection that was handed over to the successor.
    pub(super) fn give(&self, permit: ClientPermit) {
        // A successor that has ended meanwhile has left all that it had.
        if self.has_successor.get() && permit.leave() {
            self.held_by_successor.set(self.held_by_successor.get() + 1);
        }
    }

    /// Takes back all permits that the successor had, since that has ended at this time.
    pub(crate) fn successor_ended(&self, ended_at: Instant) {
        self.has_successor.set(false);
        self.free.add_permits(self.held_by_successor.take());
        self.acceptor.send_if_modified(|acceptor| {
            let resumes = *acceptor == Acceptor::Successor;
            if resumes {
                *acceptor = Acceptor::This { since: ended_at };
            }
            resumes
        });
    }
}

/// A connection's part of the limit on sockets, given back as it ends.
pub(super) struct ClientPermit {
    /// Whether requests on the connection are refused, since it has no usual permit.
    pub(super) spare: bool,
    hold: PermitHold,
}

enum PermitHold {
    Own(OwnedSemaphorePermit),
    Spare {
        _permit: OwnedSemaphorePermit,
    },
    Inherited(InheritedPermit),
    /// The process before this one had accepted the connection without a permit.
    BeyondLimit,
}

impl ClientPermit {
    pub(super) fn usual(permit: OwnedSemaphorePermit) -> Self {
        ClientPermit {
            spare: false,
            hold: PermitHold::Own(permit),
        }
    }

    pub(super) fn spare(permit: OwnedSemaphorePermit) -> Self {
        ClientPermit {
            spare: true,
            hold: PermitHold::Spare { _permit: permit },
        }
    }

    /// The permit of a connection from the process before this one. A connection that comes without one does not wait: the
    /// requests on it would not be read meanwhile.
    pub(super) fn inherited(permit: Option<InheritedPermit>) -> Self {
        ClientPermit {
            spare: false,
            hold: permit.map_or(PermitHold::BeyondLimit, PermitHold::Inherited),
        }
    }

    /// Takes the permit from this process, in which it does not become free; whether there was one.
    fn leave(self) -> bool {
        match self.hold {
            PermitHold::Own(permit) => permit.forget(),
            PermitHold::Inherited(permit) => permit.forget(),
            PermitHold::Spare { .. } | PermitHold::BeyondLimit => return false,
        }
        true
    }
}

/// A permit that a connection has brought from the process before this one, and leaves here when it ends. Had it to wait
/// behind new connections for a permit, its client would wait with it.
pub(super) struct InheritedPermit(Option<Arc<Semaphore>>);

impl InheritedPermit {
    fn forget(mut self) {
        self.0 = None;
    }
}

impl Drop for InheritedPermit {
    fn drop(&mut self) {
        if let Some(free) = &self.0 {
            free.add_permits(1);
        }
    }
}
