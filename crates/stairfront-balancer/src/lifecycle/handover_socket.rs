//! A local socket between two processes of one balancer: a message to a packet, some with a descriptor beside them.
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
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

/// Processes that may wait to be heard; there is one successor.
const BACKLOG: i32 = 4;

/// Where the process that serves as `balancer` hears its successor.
pub fn path(folder: &Path, balancer: &str) -> PathBuf {
    folder.join(format!(
        "stairfront-{:016x}.sock",
        xxh3_64(balancer.as_bytes())
    ))
}

/// Both ends see the end of the other as the end of the connection.
///
/// The socket keeps packets apart (`SOCK_SEQPACKET`); tokio's stream type serves as the owner that waits for it.
pub struct HandoverSocket(UnixStream);

impl HandoverSocket {
    pub fn connect(path: &Path) -> io::Result<Self> {
        let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
        reach(path, |address| socket.connect(address))?;
        Self::over(socket)
    }

    fn over(socket: Socket) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(HandoverSocket(UnixStream::from_std(
            OwnedFd::from(socket).into(),
        )?))
    }

    /// A message goes whole or not at all. `beside` stays open here; the other side gets one of its own.
    pub async fn send(&self, message: &Message, beside: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let packet = message.encode();
        let descriptors: Vec<BorrowedFd<'_>> = beside.into_iter().collect();
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

    /// The next message and what came beside it; none at the other side's end.
    pub async fn receive(&self) -> io::Result<Option<(Message, Option<OwnedFd>)>> {
        let mut packet = vec![0; MAX_PACKET_BYTES];
        let receive = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut pieces = [IoSliceMut::new(&mut packet)];
            let got = recvmsg(&self.0, &mut pieces, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let beside = control.drain().find_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
                _ => None,
            });
            Ok((got.bytes, beside))
        };
        let (length, beside) = match self.0.async_io(Interest::READABLE, receive).await {
            Ok((0, _)) => return Ok(None),
            Ok(received) => received,
            // It has ended with something of ours unread.
            Err(problem) if problem.kind() == ErrorKind::ConnectionReset => return Ok(None),
            Err(problem) => return Err(problem),
        };
        let message = Message::decode(&packet[..length])
            .map_err(|fault| io::Error::new(ErrorKind::InvalidData, fault))?;
        Ok(Some((message, beside)))
    }
}

/// Where a successor asks.
pub struct HandoverListener(UnixListener);

impl HandoverListener {
    /// Takes the path over from whoever had it before.
    pub fn open(path: &Path) -> io::Result<Self> {
        let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
        match std::fs::remove_file(path) {
            Err(problem) if problem.kind() != ErrorKind::NotFound => return Err(problem),
            _ => {}
        }
        reach(path, |address| socket.bind(address))?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(HandoverListener(UnixListener::from_std(
            OwnedFd::from(socket).into(),
        )?))
    }

    pub async fn accept(&self) -> io::Result<HandoverSocket> {
        self.0
            .accept()
            .await
            .map(|(socket, _)| HandoverSocket(socket))
    }
}

/// Danger: an address of a local socket has about a hundred bytes, and a folder's path may have more. The folder is
/// then named by a descriptor of this process.
fn reach(path: &Path, with: impl Fn(&SockAddr) -> io::Result<()>) -> io::Result<()> {
    if let Ok(address) = SockAddr::unix(path) {
        return with(&address);
    }
    let (Some(folder), Some(file)) = (path.parent(), path.file_name()) else {
        return Err(ErrorKind::InvalidInput.into());
    };
    let folder = std::fs::File::open(folder)?;
    let number = std::os::fd::AsRawFd::as_raw_fd(&folder.as_fd());
    with(&SockAddr::unix(
        Path::new(&format!("/proc/self/fd/{number}")).join(file),
    )?)
}
