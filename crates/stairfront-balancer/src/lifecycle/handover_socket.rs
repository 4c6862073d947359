//! The local socket between two processes of one balancer: one message to a packet, some with a descriptor beside them.
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, SockAddr, Socket, Type};
use stairfront_handover::{Message, MAX_PACKET_BYTES};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use xxhash_rust::xxh3::xxh3_64;

/// Connections that may wait to be accepted; there is one successor.
const BACKLOG: i32 = 4;

/// Path of the socket at which the process that serves as `balancer` accepts its successor.
pub fn path(directory: &Path, balancer: &str) -> PathBuf {
    directory.join(format!(
        "stairfront-{:016x}.sock",
        xxh3_64(balancer.as_bytes())
    ))
}

/// One end of the connection between two processes. Each sees the end of the other as the end of the connection.
///
/// The socket keeps packets apart (`SOCK_SEQPACKET`); tokio's stream type serves as the owner that waits for it.
pub struct HandoverSocket(UnixStream);

impl HandoverSocket {
    /// Connects to the process that accepts at this path.
    ///
    /// # Errors
    ///
    /// If no process accepts there.
    pub fn connect(path: &Path) -> io::Result<Self> {
        let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
        with_address(path, |address| socket.connect(address))?;
        socket.set_nonblocking(true)?;
        let stream = UnixStream::from_std(OwnedFd::from(socket).into())?;
        Ok(HandoverSocket(stream))
    }

    /// The number of the process at the other end, where the system knows it.
    pub fn other_process(&self) -> Option<u32> {
        let credentials = self.0.peer_cred().ok()?;
        credentials.pid().and_then(|pid| u32::try_from(pid).ok())
    }

    /// Sends a message as a whole or not at all. `descriptor` stays open here; the other side gets one of its own.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub async fn send(
        &self,
        message: &Message,
        descriptor: Option<BorrowedFd<'_>>,
    ) -> io::Result<()> {
        let packet = message.encode();
        let descriptors: Vec<BorrowedFd<'_>> = descriptor.into_iter().collect();
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            if !descriptors.is_empty() {
                control.push(SendAncillaryMessage::ScmRights(&descriptors));
            }
            Ok(sendmsg(
                &self.0,
                &[IoSlice::new(&packet)],
                &mut control,
                SendFlags::NOSIGNAL,
            )?)
        };
        self.0.async_io(Interest::WRITABLE, send).await.map(drop)
    }

    /// The next message and the descriptor that came beside it; `None` at the other side's end.
    ///
    /// # Errors
    ///
    /// If the socket fails, or `InvalidData` for a packet that is no message.
    pub async fn receive(&self) -> io::Result<Option<(Message, Option<OwnedFd>)>> {
        let mut packet = vec![0; MAX_PACKET_BYTES];
        let receive = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut slices = [IoSliceMut::new(&mut packet)];
            let received = recvmsg(&self.0, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let descriptor = control.drain().find_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
                _ => None,
            });
            Ok((received.bytes, descriptor))
        };
        let (length, descriptor) = match self.0.async_io(Interest::READABLE, receive).await {
            Ok((0, _)) => return Ok(None),
            Ok(received) => received,
            // The other side has ended with a message of this side unread.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return Ok(None),
            Err(error) => return Err(error),
        };
        let message = Message::decode(&packet[..length])
            .map_err(|error| io::Error::new(ErrorKind::InvalidData, error))?;
        Ok(Some((message, descriptor)))
    }
}

/// The listener to which a successor connects.
pub struct HandoverListener(UnixListener);

impl HandoverListener {
    /// Listens at a path, which is taken over from whichever process had it before.
    ///
    /// # Errors
    ///
    /// If the path cannot be replaced or bound.
    pub fn open(path: &Path) -> io::Result<Self> {
        let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
        match std::fs::remove_file(path) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        with_address(path, |address| socket.bind(address))?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = UnixListener::from_std(OwnedFd::from(socket).into())?;
        Ok(HandoverListener(listener))
    }

    /// Accepts the next successor.
    ///
    /// # Errors
    ///
    /// If the system has no descriptor left.
    pub async fn accept(&self) -> io::Result<HandoverSocket> {
        self.0
            .accept()
            .await
            .map(|(socket, _)| HandoverSocket(socket))
    }
}

/// Uses a path as the address of a local socket. Such an address has about a hundred bytes, and the path of a directory
/// may have more; the directory is then named by a descriptor of this process.
fn with_address(path: &Path, action: impl Fn(&SockAddr) -> io::Result<()>) -> io::Result<()> {
    if let Ok(address) = SockAddr::unix(path) {
        return action(&address);
    }
    let (Some(directory), Some(file)) = (path.parent(), path.file_name()) else {
        return Err(ErrorKind::InvalidInput.into());
    };
    let directory = std::fs::File::open(directory)?;
    let descriptor = directory.as_fd().as_raw_fd();
    let short_path = Path::new(&format!("/proc/self/fd/{descriptor}")).join(file);
    action(&SockAddr::unix(short_path)?)
}
