//! A connection whose state others can ask for: whether a client has left, or whether an agent has sent anything.
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::arrival::{ArrivalTime, InputWatch, PollClock};
use crate::clock::Instant;
use crate::transport::{Peer, Stream, Unread};

/// A connection with one owner, which reads and writes. Others hold it weakly and ask.
pub(crate) struct SharedStream<T> {
    stream: Rc<RefCell<T>>,
    input: InputWatch,
    /// What was read last came after this.
    arrived_after: Instant,
}

impl<T: Stream> SharedStream<T> {
    /// A connection on which nothing had come at this time.
    pub(crate) fn new(stream: T, polls: &Rc<PollClock>, empty_at: Instant) -> Self {
        SharedStream {
            stream: Rc::new(RefCell::new(stream)),
            input: InputWatch::new(polls, empty_at),
            arrived_after: empty_at,
        }
    }

    /// To be called before a wait for input that follows other work.
    pub(crate) fn resume_reading(&self) {
        self.input.resume();
    }

    /// The last byte of each whole command in the read buffer came after this: nothing is read while there is one, so the
    /// last read completed them all.
    pub(crate) fn arrived_after(&self) -> Instant {
        self.arrived_after
    }

    /// For those that ask for its state. The upgrade fails once the owner has dropped the connection.
    pub(crate) fn peer(&self) -> Weak<dyn Peer> {
        let shared: Rc<dyn Peer> = Rc::<RefCell<T>>::clone(&self.stream);
        Rc::downgrade(&shared)
    }

    /// Number of bytes read so far.
    pub(crate) fn bytes_read(&self) -> u64 {
        self.input.bytes_read()
    }

    /// Number of bytes that have come and were not read; `None` where the network cannot tell.
    pub(crate) fn unread_bytes(&self) -> Option<u64> {
        self.stream.borrow().unread_bytes()
    }

    pub(crate) fn unread(&self) -> Unread {
        self.stream.borrow().unread()
    }

    /// Looks whether anything is unread, while nothing is read for a while.
    pub(crate) fn note_unread(&self) {
        let asked_at = Instant::now();
        if self.unread() == Unread::Nothing {
            self.input.note_empty(asked_at);
        }
    }

    /// Whether what is unread, or a whole command in the read buffer, may have waited for longer than usual.
    pub(crate) fn may_hold_old_input(&self, has_buffered: bool) -> bool {
        self.note_unread();
        let now = Instant::now();
        let is_old = |since| ArrivalTime::between(since, now).is_uncertain();
        self.input.is_old(now) || (has_buffered && is_old(self.arrived_after))
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.stream.borrow().has_ended()
    }

    /// The connection itself; `None` while somebody asks, which cannot be at an await.
    pub(crate) fn into_inner(self) -> Option<T> {
        Rc::into_inner(self.stream).map(RefCell::into_inner)
    }
}

impl<T: Stream> AsyncRead for SharedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (filled, asked_at) = (buffer.filled().len(), Instant::now());
        let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buffer);
        match &read {
            Poll::Pending => self.input.note_pending(),
            Poll::Ready(Ok(())) if buffer.filled().len() > filled => {
                // A read that leaves space in the buffer has taken all that was there.
                let unread = if buffer.remaining() > 0 {
                    Some(0)
                } else {
                    self.stream.borrow().unread_bytes()
                };
                let read = buffer.filled().len() - filled;
                self.arrived_after = self.input.note_bytes(read, unread.unwrap_or(0));
                match unread {
                    Some(0) => self.input.note_drained(asked_at),
                    Some(unread) => self.input.note_backlog(asked_at, unread),
                    None => {}
                }
            }
            Poll::Ready(_) => {}
        }
        read
    }
}

impl<T: Stream> AsyncWrite for SharedStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
