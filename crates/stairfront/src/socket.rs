//! What the kernel holds of a connection's input. Danger: the event loop knows only what was there when it last looked.
use std::io::ErrorKind;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    Nothing,
    Bytes,
    /// The connection has ended or is broken.
    End,
}

/// Asks the kernel itself what has come and was not read.
pub fn unread(socket: &TcpStream) -> Unread {
    match SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]) {
        Ok(0) => Unread::End,
        Ok(_) => Unread::Bytes,
        Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            Unread::Nothing
        }
        Err(_) => Unread::End,
    }
}
