//! Which connections get a permit, and which idle ones make room for new ones.
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::{AcquireError, Notify, OwnedSemaphorePermit, Semaphore};

use crate::clock::timeout;
use crate::configuration::limits::MAX_SPARE_CONNECTIONS;

/// How long a new connection waits for a permit: with some in use for a tenth of a second each, one is free soon. Each
/// wait in vain halves the next, down to what an idle connection takes to close, so that a row of new connections does not
/// wait past its time while no permit comes free.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(32);
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(2);
/// With less than this part of the permits free, a new connection has an idle one close in advance, since some clients
/// ask once and keep their connection for good.
const LOW_CAPACITY_DIVISOR: usize = 4;

/// The connections that can make room. Those that have sent no command go first, then the one idle longest: waiters are
/// woken in the order in which they began to wait.
#[derive(Default)]
pub struct ConnectionPressure {
    pub(super) silent: Notify,
    pub(super) idle: Notify,
    /// Number of connections that wait for `silent`.
    silent_count: Rc<Cell<usize>>,
}

impl ConnectionPressure {
    /// Asks one connection to make room.
    fn apply(&self) {
        let notify = if self.silent_count.get() > 0 {
            &self.silent
        } else {
            &self.idle
        };
        notify.notify_one();
    }

    /// Takes back what no connection has been woken by: it would close the next one to become idle.
    fn withdraw(&self) {
        for notify in [&self.silent, &self.idle] {
            let _ = notify.notified().now_or_never();
        }
    }
}

/// Counts a connection that has sent no command for a while, for as long as this lives.
pub(super) struct SilentGuard(Rc<Cell<usize>>);

impl SilentGuard {
    pub(super) fn new(pressure: &ConnectionPressure) -> Self {
        let count = Rc::clone(&pressure.silent_count);
        count.set(count.get() + 1);
        SilentGuard(count)
    }
}

impl Drop for SilentGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A connection's part of the limit on sockets, given back as it ends.
pub(super) struct ClientPermit {
    /// Whether it is beyond the limit: requests on such a connection are refused.
    pub(super) spare: bool,
    _hold: PermitHold,
}

impl ClientPermit {
    fn usual(permit: OwnedSemaphorePermit) -> Self {
        ClientPermit {
            spare: false,
            _hold: PermitHold::Own { _permit: permit },
        }
    }

    fn spare(permit: OwnedSemaphorePermit) -> Self {
        ClientPermit {
            spare: true,
            _hold: PermitHold::Own { _permit: permit },
        }
    }

    /// The permit of a connection from the old process, by which it is returned here.
    pub(super) fn inherited(permits: &Arc<Semaphore>) -> Self {
        ClientPermit {
            spare: false,
            _hold: PermitHold::Inherited {
                _permit: InheritedPermit(Arc::clone(permits)),
            },
        }
    }

    /// The next usual permit that is free.
    pub(super) async fn acquire(permits: &Arc<Semaphore>) -> Result<Self, AcquireError> {
        let permit = Arc::clone(permits).acquire_owned().await;
        permit.map(ClientPermit::usual)
    }

    /// A usual permit, if one is free.
    pub(super) fn try_acquire(permits: &Arc<Semaphore>) -> Option<Self> {
        let permit = Arc::clone(permits).try_acquire_owned().ok();
        permit.map(ClientPermit::usual)
    }
}

enum PermitHold {
    Own { _permit: OwnedSemaphorePermit },
    Inherited { _permit: InheritedPermit },
}

/// A permit that a connection has brought from the old process, and leaves here when it ends. Had it to wait behind new
/// connections for a permit, its client would wait with it.
struct InheritedPermit(Arc<Semaphore>);

impl Drop for InheritedPermit {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

/// Gives permits to accepted connections.
pub(super) struct PermitSource {
    permits: Arc<Semaphore>,
    spare_permits: Arc<Semaphore>,
    max_clients: usize,
    wait: Duration,
}

impl PermitSource {
    pub(super) fn new(permits: &Arc<Semaphore>, max_clients: usize) -> Self {
        PermitSource {
            permits: Arc::clone(permits),
            spare_permits: Arc::new(Semaphore::new(MAX_SPARE_CONNECTIONS)),
            max_clients,
            wait: MAX_PERMIT_WAIT,
        }
    }

    /// Has an idle connection close in advance where few permits are free. Those of the old process come back soon.
    pub(super) fn relieve(&self, pressure: &ConnectionPressure, held_by_predecessor: usize) {
        let free = self.permits.available_permits() + held_by_predecessor;
        if free < self.max_clients / LOW_CAPACITY_DIVISOR {
            pressure.apply();
            pressure.withdraw();
        }
    }

    /// The permit of a new connection. With none free an idle connection makes room, since the new client would otherwise
    /// wait for ever behind connections that are not used. With all in use it gets a spare permit, and its request is
    /// refused: unread it would wait past its time and be lost.
    pub(super) async fn next(
        &mut self,
        pressure: &ConnectionPressure,
    ) -> Result<ClientPermit, AcquireError> {
        let permit = self.acquire(pressure).await?;
        self.wait = if permit.spare {
            (self.wait / 2).max(MIN_PERMIT_WAIT)
        } else {
            MAX_PERMIT_WAIT
        };
        Ok(permit)
    }

    async fn acquire(&self, pressure: &ConnectionPressure) -> Result<ClientPermit, AcquireError> {
        if let Some(permit) = ClientPermit::try_acquire(&self.permits) {
            return Ok(permit);
        }
        pressure.apply();
        let waited = timeout(self.wait, ClientPermit::acquire(&self.permits)).await;
        pressure.withdraw();
        if let Ok(permit) = waited {
            return permit;
        }
        tokio::select! {
            biased;
            permit = ClientPermit::acquire(&self.permits) => permit,
            permit = Arc::clone(&self.spare_permits).acquire_owned() => permit.map(ClientPermit::spare),
        }
    }
}
