//! The admin API: an address of its own, HTTP/1.1, one call to a connection. Which calls there are is defined by
//! `stairfront-admin-api`; what they change is done by the engine, the member of the group and the maintenance service.
mod calls;
mod replies;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stairfront_codec::budget::Budget;
use stairfront_codec::http::HttpError;
use stairfront_codec::http_server::{HttpServerCodec, Response};
use stairfront_membership_agent::MembershipAgent;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::codec::Framed;
use tracing::warn;

use crate::clock::{sleep, timeout};
use crate::control::maintenance::MaintenanceService;
use crate::control::pending_order::OrderDispatcher;
use crate::transport::{Listener, Stream};

/// Callers served at once; their descriptors are part of the reserve (`limits.rs`).
pub const MAX_CALLERS: usize = 8;
/// A call comes as a whole at once; a caller that has sent none by then is disconnected, or sooner if others wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// For a caller to read its answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Only plans have a body.
const MAX_BODY_BYTES: usize = 4096;
/// Read buffers of one call: one that is full, and the greater one that takes its place.
const MAX_CALL_BYTES: usize = 2 * (16 * 1024 + MAX_BODY_BYTES);
/// Pause after an accept that failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Serves the admin API.
#[derive(Clone)]
pub struct AdminServer {
    /// Orders to the engine, and to the other process of an upgrade.
    pub orders: OrderDispatcher,
    /// Whether this process can serve requests.
    pub ready: watch::Receiver<bool>,
    /// The member of the group, where there is a group.
    pub membership: Option<Rc<MembershipAgent>>,
    /// The maintenance service, where the group agrees on plans.
    pub maintenance: Option<Rc<MaintenanceService>>,
}

/// Callers that have not sent a whole call yet, the oldest first.
type SilentCallers = Rc<RefCell<VecDeque<(u64, AbortHandle)>>>;

impl AdminServer {
    /// Answers calls for as long as the balancer runs.
    pub async fn run<L: Listener>(self, listener: L) {
        let permits = Arc::new(Semaphore::new(MAX_CALLERS));
        let silent = SilentCallers::default();
        let budget = Budget::new(MAX_CALLERS * MAX_CALL_BYTES);
        for caller in 0.. {
            let socket = accept(&listener).await;
            // The oldest silent caller makes room, so that callers that send nothing cannot keep out one that does.
            if permits.available_permits() == 0 {
                if let Some((_, oldest)) = silent.borrow_mut().pop_front() {
                    oldest.abort();
                }
            }
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let connection = Framed::new(socket, HttpServerCodec::new(MAX_BODY_BYTES, &budget));
            let server = self.clone();
            let own_silent = Rc::clone(&silent);
            let task = spawn_local(async move {
                let call_ended = || {
                    own_silent
                        .borrow_mut()
                        .retain(|(other, _)| *other != caller);
                };
                server.serve_call(connection, call_ended).await;
                drop(permit);
            });
            silent.borrow_mut().push_back((caller, task.abort_handle()));
        }
    }

    /// Reads one call and answers it. `call_ended` is called once the whole call has come or none will come.
    async fn serve_call<T: Stream>(
        &self,
        mut connection: Framed<T, HttpServerCodec>,
        call_ended: impl FnOnce(),
    ) {
        let call = timeout(CALL_TIMEOUT, connection.next()).await;
        call_ended();
        let reply = match call {
            Ok(Some(Ok(received))) => self.answer(&received).await,
            Ok(Some(Err(HttpError::Malformed(problem)))) => replies::bad_request(problem),
            Ok(Some(Err(HttpError::OutOfMemory))) => replies::bad_request("call too large"),
            // The caller has left, or has sent no call.
            Ok(Some(Err(HttpError::Io(_))) | None) | Err(_) => return,
        };
        // A caller that does not read its answer in time does not want it.
        let _ = timeout(REPLY_TIMEOUT, send_reply(connection, reply)).await;
    }
}

async fn accept<L: Listener>(listener: &L) -> L::Stream {
    loop {
        match listener.accept().await {
            Ok(socket) => return socket,
            Err(error) => {
                warn!(%error, "admin connection not accepted");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn send_reply<T: Stream>(
    mut connection: Framed<T, HttpServerCodec>,
    reply: Response,
) -> Result<(), HttpError> {
    connection.send(reply).await?;
    // A close with input unread resets the connection, and the answer is lost with it.
    let socket = connection.get_mut();
    socket.shutdown().await?;
    let mut discarded = [0; 512];
    while socket.read(&mut discarded).await? > 0 {}
    Ok(())
}
