//! Writes of bytes that lie in several places.
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Buf;
use tokio::io::AsyncWrite;

/// Parts that go out in one system call.
const MAX_SLICES: usize = 3;

/// Writes some of the bytes, which are then removed.
pub(crate) fn poll_write_slices(
    socket: &mut (impl AsyncWrite + Unpin),
    bytes: &mut impl Buf,
    cx: &mut Context<'_>,
) -> Poll<io::Result<()>> {
    let mut slices = [IoSlice::new(&[]); MAX_SLICES];
    let used = bytes.chunks_vectored(&mut slices);
    let written = ready!(Pin::new(socket).poll_write_vectored(cx, &slices[..used]))?;
    if written == 0 {
        return Poll::Ready(Err(ErrorKind::WriteZero.into()));
    }
    bytes.advance(written);
    Poll::Ready(Ok(()))
}
