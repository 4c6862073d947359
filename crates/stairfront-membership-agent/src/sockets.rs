//! The agent's sockets: binding, and the streams of push/pull exchanges and payloads.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

use crate::agent::MembershipAgent;
use crate::streams;

/// Largest number of push/pull exchanges at once, in each direction.
const MAX_PUSH_PULLS: usize = 4;
/// Largest number of streams with payloads at once.
const MAX_PAYLOAD_STREAMS: usize = 4;
/// Connections that may wait to be accepted.
const TCP_BACKLOG: u32 = MAX_PUSH_PULLS as u32 * 4;
/// Largest number of descriptors that an agent holds: two sockets, the push/pull exchanges in both directions, and the
/// streams with payloads.
pub const DESCRIPTORS: usize = 2 + 2 * MAX_PUSH_PULLS + MAX_PAYLOAD_STREAMS;
/// Interval between two attempts to bind: an earlier process of this balancer may still hold the address.
pub(crate) const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The same after [`FAST_BIND_ATTEMPTS`].
const SLOW_BIND_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Attempts before the interval grows and the error is logged.
const FAST_BIND_ATTEMPTS: u32 = 50;

/// The sockets of a member's address.
pub(crate) struct Sockets {
    pub udp: Rc<UdpSocket>,
    pub tcp: TcpListener,
}

/// Limits of the streams at once.
pub(crate) struct StreamLimits {
    outgoing: Arc<Semaphore>,
    incoming: Arc<Semaphore>,
    payloads: Arc<Semaphore>,
}

impl StreamLimits {
    /// No stream is open.
    pub fn new() -> Self {
        StreamLimits {
            outgoing: Arc::new(Semaphore::new(MAX_PUSH_PULLS)),
            incoming: Arc::new(Semaphore::new(MAX_PUSH_PULLS)),
            payloads: Arc::new(Semaphore::new(MAX_PAYLOAD_STREAMS)),
        }
    }

    /// Whether another member's stream may be accepted.
    pub fn can_accept(&self) -> bool {
        self.incoming.available_permits() > 0
    }
}

impl MembershipAgent {
    /// Opens the sockets; tries until it succeeds.
    pub(crate) async fn bind(&self) -> Sockets {
        let mut attempts: u32 = 0;
        loop {
            match self.try_bind().await {
                Ok(sockets) => return sockets,
                Err(error) if attempts == FAST_BIND_ATTEMPTS => {
                    warn!(
                        address = %self.listen,
                        %error,
                        "cannot listen for the group (membership.listen); retrying"
                    );
                }
                Err(_) => {}
            }
            let interval = if attempts < FAST_BIND_ATTEMPTS {
                BIND_RETRY_INTERVAL
            } else {
                SLOW_BIND_RETRY_INTERVAL
            };
            sleep(interval).await;
            attempts = attempts.saturating_add(1);
        }
    }

    async fn try_bind(&self) -> io::Result<Sockets> {
        let udp = UdpSocket::bind(self.listen).await?;
        let tcp = streams::tcp_socket(self.listen)?;
        // Connections of an earlier process of this balancer may not be closed yet.
        tcp.set_reuseaddr(true)?;
        tcp.bind(self.listen)?;
        // An earlier process may have written the file since this one read it.
        let entries = self.cordon_file.read();
        let tcp = tcp.listen(TCP_BACKLOG)?;
        self.core.borrow_mut().restore_record(self.now(), &entries);
        Ok(Sockets {
            udp: Rc::new(udp),
            tcp,
        })
    }

    /// Receives another member's packet and sends the reply, within the time of a stream.
    pub(crate) fn serve_stream(self: &Rc<Self>, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.stream_limits.incoming).try_acquire_owned() else {
            return;
        };
        let agent = Rc::clone(self);
        spawn_local(async move {
            // A late or broken exchange is made again when the next one is due.
            let _ = timeout(streams::TIMEOUT, agent.reply(stream)).await;
            drop(permit);
        });
    }

    async fn reply(&self, mut stream: TcpStream) -> io::Result<()> {
        let packet = streams::receive(&mut stream).await?;
        let reply = self
            .core
            .borrow_mut()
            .handle_stream_packet(self.now(), &packet);
        self.changed.notify_one();
        match reply {
            Some(reply) => streams::send(&mut stream, &reply).await,
            None => Ok(()),
        }
    }

    /// Makes a push/pull exchange; beyond the limit it counts as failed.
    pub(crate) fn begin_push_pull(self: &Rc<Self>, with: SocketAddr, bytes: Vec<u8>) {
        let Ok(permit) = Arc::clone(&self.stream_limits.outgoing).try_acquire_owned() else {
            return self.core.borrow_mut().handle_push_pull_failure();
        };
        let agent = Rc::clone(self);
        spawn_local(async move {
            let reply = streams::push_pull(agent.listen.ip(), with, &bytes).await;
            drop(permit);
            let now = agent.now();
            match reply {
                Ok(packet) => drop(agent.core.borrow_mut().handle_stream_packet(now, &packet)),
                Err(_) => agent.core.borrow_mut().handle_push_pull_failure(),
            }
            agent.changed.notify_one();
        });
    }

    /// Sends a packet without a reply; beyond the limit it is dropped, the same as a loss in the network.
    pub(crate) fn send_by_stream(&self, to: SocketAddr, bytes: Vec<u8>) {
        if let Ok(permit) = Arc::clone(&self.stream_limits.payloads).try_acquire_owned() {
            let from = self.listen.ip();
            spawn_local(async move {
                let _ = streams::send_once(from, to, &bytes).await;
                drop(permit);
            });
        }
    }
}
