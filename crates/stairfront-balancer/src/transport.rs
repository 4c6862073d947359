//! The one seam between the balancer and its network: connect, listen, accept, read and write, whether anything
//! unread has come, close (by dropping). All network code is generic over it, so that the same code runs on the
//! kernel's sockets and on a network that a test makes up.
use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};

use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tracing::debug;

/// Connections that may wait to be accepted; as tokio's own listeners have it.
const BACKLOG: u32 = 1024;

/// What has come on a connection and was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    Nothing,
    Bytes,
    /// The connection has ended or is broken.
    End,
}

/// One connection; dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// What is there now and was not read. Danger: an event loop knows only what was there when it last looked.
    fn unread(&self) -> Unread;
    /// Whether the other side has ended, also behind bytes that nobody has read.
    fn has_ended(&self) -> bool {
        self.unread() == Unread::End
    }
    /// Waits until something can be read or the connection has ended; reads nothing.
    fn arrival(&self) -> impl Future<Output = ()>;
    /// Gives the connection up as a descriptor, for another process.
    fn release(self) -> io::Result<OwnedFd>
    where
        Self: Sized,
    {
        Err(ErrorKind::Unsupported.into())
    }
    /// Takes a connection up that another process has given up.
    fn adopt(_: OwnedFd) -> io::Result<Self>
    where
        Self: Sized,
    {
        Err(ErrorKind::Unsupported.into())
    }
}

pub trait Listener: 'static {
    type Stream: Stream;
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
    fn local_address(&self) -> io::Result<SocketAddr>;
    /// Another descriptor of it, for another process.
    fn duplicate(&self) -> io::Result<OwnedFd> {
        Err(ErrorKind::Unsupported.into())
    }
}

pub trait Network: Clone + 'static {
    type Stream: Stream;
    /// AbortOnDrop with an error as soon as it is known that the connection cannot be made; the caller bounds the time.
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
        if let Err(problem) = socket.set_nodelay(true) {
            debug!("no TCP_NODELAY: {problem}");
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

/// Listens where another process may listen too: one that hands nothing over must not keep its successor from starting.
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
    /// Asks the kernel itself.
    fn unread(&self) -> Unread {
        match SockRef::from(self).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Unread::End,
            Ok(_) => Unread::Bytes,
            Err(problem)
                if matches!(
                    problem.kind(),
                    ErrorKind::WouldBlock | ErrorKind::Interrupted
                ) =>
            {
                Unread::Nothing
            }
            Err(_) => Unread::End,
        }
    }

    /// The event queue tells the end by itself, wherever reading stands.
    fn has_ended(&self) -> bool {
        let told = self.ready(Interest::READABLE).now_or_never();
        told.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
            || self.unread() == Unread::End
    }

    fn release(self) -> io::Result<OwnedFd> {
        self.into_std().map(OwnedFd::from)
    }

    fn adopt(socket: OwnedFd) -> io::Result<Self> {
        let socket = std::net::TcpStream::from(socket);
        socket.set_nonblocking(true)?;
        TcpStream::from_std(socket)
    }

    async fn arrival(&self) {
        // An error is an end, which the next read tells.
        let _ = self.peek(&mut [0]).await;
    }
}
