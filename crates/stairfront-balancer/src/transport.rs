//! The one interface between the balancer and its network: connect, listen, accept, read and write, whether anything
//! unread has come, close (by dropping). All network code is generic over it, so that the same code runs on the kernel's
//! sockets and on a simulated network of a test.
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use futures_util::FutureExt;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::{ioctl_fionread, retry_on_intr};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::codec::Framed;
use tracing::debug;

/// Connections that may wait to be accepted; the number of tokio's own listeners.
const BACKLOG: u32 = 1024;
/// Bytes that the kernel may hold unsent before it accepts no more: any.
const MAX_UNSENT_BYTES: u32 = 1;

/// Input that has come on a connection and was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// Bytes.
    Bytes,
    /// The connection has ended or is broken.
    End,
}

/// One connection; dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Input that has come and was not read, by the network itself: the event loop knows only what had come when it last
    /// polled.
    fn unread(&self) -> Unread;
    /// Number of bytes that have come and were not read; `None` where the network cannot tell.
    fn unread_bytes(&self) -> Option<u64> {
        None
    }
    /// Whether the other side has ended, also behind bytes that were not read, by the network itself.
    fn has_ended(&self) -> bool;
    /// Resolves when something can be read or the connection has ended; reads nothing.
    fn arrival(&self) -> impl Future<Output = ()>;
    /// Prepares a connection for requests: the network accepts hardly more than it can send at once, so that what was
    /// decided is not kept in a queue, and what it has accepted and not sent is dropped as the connection is closed, also
    /// by the end of the process. Without that it would send the rest of an abandoned request.
    fn discard_unsent_on_close(&self) {}
    /// Has the network deliver all that was accepted, also after the close.
    fn deliver_unsent_on_close(&self) {}
    /// Has the network break the connection where what it sent is not acknowledged within this time; never with `None`.
    /// It holds while this process stands still, too.
    fn set_unacknowledged_timeout(&self, _: Option<Duration>) {}
    /// Whether all that was written has left this machine. True where the network cannot tell.
    fn is_sent(&self) -> bool {
        true
    }
    /// Resolves when all that was written has left this machine, or the connection is broken.
    fn sent(&self) -> impl Future<Output = ()> {
        std::future::ready(())
    }
    /// Gives the connection up as a descriptor, for another process.
    ///
    /// # Errors
    ///
    /// If this network has no descriptors, or the connection is broken.
    fn release(self) -> io::Result<OwnedFd>
    where
        Self: Sized,
    {
        Err(ErrorKind::Unsupported.into())
    }
    /// Adopts a connection that another process has given up.
    ///
    /// # Errors
    ///
    /// If this network has no descriptors, or the descriptor is not a connection.
    fn adopt(_: OwnedFd) -> io::Result<Self>
    where
        Self: Sized,
    {
        Err(ErrorKind::Unsupported.into())
    }
}

/// The other side of a connection, for those that do not own the connection.
pub trait Peer {
    /// Whether it has ended, as [`Stream::has_ended`].
    fn has_ended(&self) -> bool;
    /// What it has sent that was not read, as [`Stream::unread`].
    fn unread(&self) -> Unread;
}

impl<T: Stream> Peer for RefCell<T> {
    fn has_ended(&self) -> bool {
        self.borrow().has_ended()
    }

    fn unread(&self) -> Unread {
        self.borrow().unread()
    }
}

/// Whether nothing has come behind the last reply. A reply names no request: what stands behind a well-formed one would
/// answer the next request on the connection.
pub(crate) fn is_quiet<T: Stream, P>(framed: &Framed<T, P>) -> bool {
    framed.read_buffer().is_empty() && framed.get_ref().unread() == Unread::Nothing
}

/// Accepts connections at one address.
pub trait Listener: 'static {
    /// The connections that it accepts.
    type Stream: Stream;
    /// The next connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
    /// The address it listens at.
    ///
    /// # Errors
    ///
    /// If the system does not know it.
    fn local_address(&self) -> io::Result<SocketAddr>;
    /// Another descriptor of the listener, for another process.
    ///
    /// # Errors
    ///
    /// If this network has no descriptors, or none is left.
    fn duplicate(&self) -> io::Result<OwnedFd> {
        Err(ErrorKind::Unsupported.into())
    }
}

/// Makes connections.
pub trait Network: Clone + 'static {
    /// The connections that it makes.
    type Stream: Stream;
    /// Makes a connection. It fails as soon as it is known that none can be made; the caller bounds the time.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// The kernel's TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let socket = TcpStream::connect(to).await?;
        // Requests are small and each is waited for.
        socket.set_nodelay(true)?;
        Ok(socket)
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        let (socket, _) = TcpListener::accept(self).await?;
        // Answers are small and each is waited for; without it they only come later.
        if let Err(error) = socket.set_nodelay(true) {
            debug!(%error, "TCP_NODELAY not set");
        }
        Ok(socket)
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }

    fn duplicate(&self) -> io::Result<OwnedFd> {
        self.as_fd().try_clone_to_owned()
    }
}

/// Listens at an address where another process may listen too: one that hands nothing over must not keep its successor
/// from starting.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

impl Stream for TcpStream {
    fn unread(&self) -> Unread {
        match SockRef::from(self).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Unread::End,
            Ok(_) => Unread::Bytes,
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Unread::Nothing
            }
            Err(_) => Unread::End,
        }
    }

    fn unread_bytes(&self) -> Option<u64> {
        ioctl_fionread(self).ok()
    }

    /// The event queue reports an end however far the input has been read, but only that of its last look. The kernel
    /// itself knows of the end at once; a reset sets this flag too. A hang-up alone is no end: a socket that the kernel does
    /// not hold for connected always has one.
    fn has_ended(&self) -> bool {
        let mut descriptors = [PollFd::new(self, PollFlags::RDHUP)];
        let asked = retry_on_intr(|| poll(&mut descriptors, Some(&Timespec::default())));
        if descriptors[0].revents().contains(PollFlags::RDHUP) {
            return true;
        }
        let ready = self.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
            || (asked.is_err() && self.unread() == Unread::End)
    }

    fn release(self) -> io::Result<OwnedFd> {
        self.into_std().map(OwnedFd::from)
    }

    fn adopt(socket: OwnedFd) -> io::Result<Self> {
        let socket = std::net::TcpStream::from(socket);
        socket.set_nonblocking(true)?;
        TcpStream::from_std(socket)
    }

    /// With this low-water mark the kernel reports room only while it holds nothing that is not sent.
    fn discard_unsent_on_close(&self) {
        let socket = SockRef::from(self);
        if let Err(error) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            debug!(%error, "TCP_NOTSENT_LOWAT not set");
        }
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            debug!(%error, "SO_LINGER not set");
        }
    }

    fn deliver_unsent_on_close(&self) {
        if let Err(error) = SockRef::from(self).set_linger(None) {
            debug!(%error, "SO_LINGER not set");
        }
    }

    fn set_unacknowledged_timeout(&self, limit: Option<Duration>) {
        if let Err(error) = SockRef::from(self).set_tcp_user_timeout(limit) {
            debug!(%error, "TCP_USER_TIMEOUT not set");
        }
    }

    fn is_sent(&self) -> bool {
        let mut descriptors = [PollFd::new(self, PollFlags::OUT)];
        let asked = retry_on_intr(|| poll(&mut descriptors, Some(&Timespec::default())));
        asked.is_err() || !descriptors[0].revents().is_empty()
    }

    async fn sent(&self) {
        let ask = || {
            if self.is_sent() {
                Ok(())
            } else {
                Err(io::Error::from(ErrorKind::WouldBlock))
            }
        };
        // An error is an end, which the next write or read reports.
        let _ = self.async_io(Interest::WRITABLE, ask).await;
    }

    async fn arrival(&self) {
        // An error is an end, which the next read reports.
        let _ = self.peek(&mut [0]).await;
    }
}
