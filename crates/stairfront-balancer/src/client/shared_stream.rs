//! A client's connection that its requests can ask for its end.
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::transport::{Peer, Stream, Unread};

/// A connection with one owner, which reads and writes. Others hold it weakly and can ask whether it has ended.
pub(super) struct SharedStream<T>(Rc<RefCell<T>>);

impl<T: Stream> SharedStream<T> {
    pub(super) fn new(stream: T) -> Self {
        SharedStream(Rc::new(RefCell::new(stream)))
    }

    /// For those that ask whether the client has left. Its upgrade fails once the owner has dropped the connection.
    pub(super) fn peer(&self) -> Weak<dyn Peer> {
        let shared: Rc<dyn Peer> = Rc::<RefCell<T>>::clone(&self.0);
        Rc::downgrade(&shared)
    }

    pub(super) fn unread(&self) -> Unread {
        self.0.borrow().unread()
    }

    pub(super) fn has_ended(&self) -> bool {
        self.0.borrow().has_ended()
    }

    /// The connection itself; `None` while somebody asks, which cannot be at an await.
    pub(super) fn into_inner(self) -> Option<T> {
        Rc::into_inner(self.0).map(RefCell::into_inner)
    }
}

impl<T: Stream> AsyncRead for SharedStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buffer)
    }
}

impl<T: Stream> AsyncWrite for SharedStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}
