//! Which connections get a permit, and which idle ones make room for new ones.
use std::cell::Cell;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::futures::Notified;
use tokio::sync::{AcquireError, Notify, Semaphore};

use crate::client::idle::SPARE_TIMEOUT;
use crate::client::permits::{ClientPermit, ClientPermits};
use crate::clock::timeout;
use crate::configuration::limits::MAX_SPARE_CONNECTIONS;

/// How long a new connection waits for a permit: with some in use for a tenth of a second each, one is free soon. Each
/// wait in vain halves the next, down to what an idle connection takes to close, so that a row of new connections does not
/// wait past its time while no permit comes free.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(32);
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(2);
/// How long a new connection waits for one beyond the permits at most; by then a spare connection that is silent has closed.
const MAX_SPARE_WAIT: Duration = SPARE_TIMEOUT;
/// With less than this part of the permits free, a new connection has an idle one close in advance, since some clients
/// ask once and keep their connection for good.
const LOW_CAPACITY_DIVISOR: usize = 4;

/// The connections that can make room. Those that have sent no command go first, then the one idle longest: waiters are
/// woken in the order in which they began to wait.
#[derive(Default)]
pub struct ConnectionPressure {
    silent: Notify,
    idle: Notify,
    spare: Notify,
    /// Number of connections that wait for `silent`.
    silent_count: Rc<Cell<usize>>,
    /// Whether a new connection waits for room. Only then another connection makes room in place of one that was asked and
    /// does not.
    is_awaited: Cell<bool>,
}

impl ConnectionPressure {
    /// Waits until this connection, which is idle, is asked to make room.
    pub(super) async fn until_idle_asked(&self) {
        self.until_asked(&self.idle).await;
    }

    /// Waits until this connection, which has sent no command, is asked to make room.
    pub(super) async fn until_silent_asked(&self) {
        self.until_asked(&self.silent).await;
    }

    /// Waits until this connection, which is beyond the permits, is asked to make room.
    pub(super) async fn until_spare_asked(&self) {
        self.until_asked(&self.spare).await;
    }

    async fn until_asked(&self, notify: &Notify) {
        let wait = RoomWait {
            asked: pin!(notify.notified()),
            is_awaited: &self.is_awaited,
        };
        wait.await;
    }

    /// Asks one connection to make room.
    fn apply(&self) {
        let notify = if self.silent_count.get() > 0 {
            &self.silent
        } else {
            &self.idle
        };
        notify.notify_one();
    }

    /// Asks one connection to make room, if one can at once.
    pub(crate) fn relieve(&self) {
        self.apply();
        self.withdraw();
    }

    /// Asks one connection to make room, and another one if it does not, until this new connection has waited.
    async fn while_asking<F: Future>(&self, waiting: F) -> F::Output {
        self.apply();
        self.while_awaited(waiting).await
    }

    /// The same for the connections beyond the permits.
    async fn while_asking_spare<F: Future>(&self, waiting: F) -> F::Output {
        self.spare.notify_one();
        self.while_awaited(waiting).await
    }

    async fn while_awaited<F: Future>(&self, waiting: F) -> F::Output {
        self.is_awaited.set(true);
        let waited = waiting.await;
        self.withdraw();
        self.is_awaited.set(false);
        waited
    }

    /// Takes back what no connection has been woken by: it would close the next one to become idle.
    fn withdraw(&self) {
        for notify in [&self.silent, &self.idle, &self.spare] {
            let _ = notify.notified().now_or_never();
        }
    }
}

/// The wait of one connection to be asked for room. [`Notify`] wakes the next waiter in place of one that was woken and goes
/// away, here since its client has sent something or has left; with nobody waiting for room that would close a connection
/// without need, maybe much later.
struct RoomWait<'pressure, 'wait> {
    asked: Pin<&'wait mut Notified<'pressure>>,
    is_awaited: &'pressure Cell<bool>,
}

impl Future for RoomWait<'_, '_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.asked.as_mut().poll(cx)
    }
}

impl Drop for RoomWait<'_, '_> {
    fn drop(&mut self) {
        if !self.is_awaited.get() {
            // What has been received by now is not passed on.
            self.asked.as_mut().enable();
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

/// Gives permits to accepted connections.
pub(super) struct PermitSource {
    permits: Rc<ClientPermits>,
    spare_permits: Arc<Semaphore>,
    wait: Duration,
}

impl PermitSource {
    pub(super) fn new(permits: &Rc<ClientPermits>) -> Self {
        PermitSource {
            permits: Rc::clone(permits),
            spare_permits: Arc::new(Semaphore::new(MAX_SPARE_CONNECTIONS)),
            wait: MAX_PERMIT_WAIT,
        }
    }

    /// Has an idle connection close in advance where few permits are free. Those of the old process come back soon.
    pub(super) fn relieve(&self, pressure: &ConnectionPressure) {
        if self.permits.available() < self.permits.limit() / LOW_CAPACITY_DIVISOR {
            pressure.relieve();
        }
    }

    /// The permit of a new connection. With none free an idle connection makes room, since the new client would otherwise
    /// wait for ever behind connections that are not used. With all in use it gets a spare permit, and its request is
    /// refused: unread it would wait past its time and be lost. `None` if there is no spare one either in time.
    pub(super) async fn next(
        &mut self,
        pressure: &ConnectionPressure,
    ) -> Result<Option<ClientPermit>, AcquireError> {
        if let Some(permit) = self.usual(pressure).await {
            self.wait = MAX_PERMIT_WAIT;
            return permit.map(Some);
        }
        self.wait = (self.wait / 2).max(MIN_PERMIT_WAIT);
        self.usual_or_spare(pressure).await.transpose()
    }

    async fn usual(
        &self,
        pressure: &ConnectionPressure,
    ) -> Option<Result<ClientPermit, AcquireError>> {
        if let Some(permit) = self.permits.try_acquire() {
            return Some(Ok(ClientPermit::usual(permit)));
        }
        self.permits.want();
        let waiting = timeout(self.wait, self.permits.acquire());
        let permit = pressure.while_asking(waiting).await.ok()?;
        Some(permit.map(ClientPermit::usual))
    }

    async fn usual_or_spare(
        &self,
        pressure: &ConnectionPressure,
    ) -> Option<Result<ClientPermit, AcquireError>> {
        if let Ok(permit) = Arc::clone(&self.spare_permits).try_acquire_owned() {
            return Some(Ok(ClientPermit::spare(permit)));
        }
        let either = async {
            tokio::select! {
                biased;
                permit = self.permits.acquire() => permit.map(ClientPermit::usual),
                permit = Arc::clone(&self.spare_permits).acquire_owned() => permit.map(ClientPermit::spare),
            }
        };
        let waiting = timeout(MAX_SPARE_WAIT, either);
        pressure.while_asking_spare(waiting).await.ok()
    }
}
