//! Writes answers, those that are ready together in one write, and large values chunk by chunk.
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{self, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::{FutureExt, Sink, SinkExt};
use stairfront_codec::buffer::shrink;
use stairfront_codec::resp::RespError;
use tokio::io::AsyncWrite;
use tokio::sync::oneshot;
use tokio_util::codec::Framed;

use crate::client::codec::ClientCodec;
use crate::client::connection::{Connection, PendingReply, DEPARTURE_CHECK_INTERVAL};
use crate::clock::{timeout_at, Instant};
use crate::configuration::limits::{client_read_timeout, large_value_timeout};
use crate::messages::{Answer, AnswerBody, BodyChunk, FinalAnswer, MAX_COPIED_BYTES};
use crate::shared_stream::SharedStream;
use crate::transport::Stream;
use crate::vectored::poll_write_slices;

const VALUE_END: Bytes = Bytes::from_static(b"\r\n");
/// Bytes of small answers that are written together.
const MAX_WRITE_BUFFER: usize = 2048;
const CLIENT_DOES_NOT_READ: RespError = RespError::Malformed("client does not read");
const VALUE_INCOMPLETE: RespError =
    RespError::Malformed("a large value was not brought to its end");

impl<T: Stream> Connection<T> {
    /// Writes the given answer and those behind it that are ready, the small ones in one go.
    pub(super) async fn write_ready(
        &mut self,
        mut first: Option<FinalAnswer>,
    ) -> Result<(), RespError> {
        // The memory of values is returned once they are written.
        let mut reserved = Vec::new();
        while let Some(mut answer) = first.take().or_else(|| self.next_ready()) {
            reserved.extend(answer.memory);
            match answer.answer {
                Answer::Value(value) if value.len() > MAX_COPIED_BYTES => {
                    self.write_value(value).await?;
                    reserved.clear();
                    continue;
                }
                Answer::Info => answer.answer = Answer::Text(self.context.parser.info()),
                _ => {}
            }
            self.framed.start_send_unpin(answer.answer)?;
            if let Some(body) = answer.body {
                self.flush_answers().await?;
                self.write_large(body).await?;
            }
            if self.framed.write_buffer().len() >= MAX_WRITE_BUFFER {
                self.flush_answers().await?;
                reserved.clear();
            }
        }
        self.flush_answers().await
    }

    async fn flush_answers(&mut self) -> Result<(), RespError> {
        if self.framed.write_buffer().is_empty() {
            return Ok(());
        }
        let limit = self.read_timeout();
        self.while_connected(limit, Sink::<Answer>::poll_flush)
            .await??;
        self.note_answered();
        Ok(())
    }

    /// Writes a value from where it is, behind the answers before it.
    async fn write_value(&mut self, value: Bytes) -> Result<(), RespError> {
        self.framed.start_send_unpin(Answer::Large(value.len()))?;
        let head = std::mem::take(self.framed.write_buffer_mut());
        let mut bytes = head.chain(value).chain(&b"\r\n"[..]);
        let limit = self.read_timeout();
        while bytes.has_remaining() {
            let write = |framed: Pin<&mut Framed<SharedStream<T>, ClientCodec>>,
                         cx: &mut task::Context<'_>| {
                poll_write_slices(framed.get_mut().get_mut(), &mut bytes, cx)
            };
            self.while_connected(limit, write).await??;
        }
        self.note_answered();
        Ok(())
    }

    fn note_answered(&mut self) {
        self.idle_since = Instant::now();
        self.answered = true;
        shrink(self.framed.write_buffer_mut());
    }

    /// A client that reads nothing for this long counts as disconnected.
    fn read_timeout(&self) -> Duration {
        let catalog = self.context.parser.catalog.borrow();
        client_read_timeout(catalog.longest_deadline())
    }

    /// Takes a step of a write that may have to wait for the client, as long as the client is connected. Otherwise a client
    /// that leaves meanwhile would not be noticed, and its other requests would be sent on.
    async fn while_connected<R>(
        &mut self,
        limit: Duration,
        mut step: impl FnMut(
            Pin<&mut Framed<SharedStream<T>, ClientCodec>>,
            &mut task::Context<'_>,
        ) -> Poll<R>,
    ) -> Result<R, RespError> {
        let deadline = Instant::now() + limit;
        loop {
            let next_check = deadline.min(Instant::now() + DEPARTURE_CHECK_INTERVAL);
            // A step keeps no state that is lost when the wait for it is given up.
            let waiting = poll_fn(|cx| step(Pin::new(&mut self.framed), cx));
            match timeout_at(next_check, waiting).await {
                Ok(done) => return Ok(done),
                Err(_) if next_check == deadline || self.framed.get_ref().has_ended() => {
                    return Err(CLIENT_DOES_NOT_READ)
                }
                Err(_) => {}
            }
        }
    }

    /// Writes a large value chunk by chunk, as its client reads; the server's connection waits meanwhile. A value that
    /// cannot be completed ends the connection, so that the client can tell.
    async fn write_large(&mut self, body: AnswerBody) -> Result<(), RespError> {
        // The memory of the chunks is held until the last one is written.
        let AnswerBody {
            mut chunks,
            mut held,
            memory: _memory,
            claim: _claim,
            ..
        } = body;
        self.context.counters.streams.add();
        // As long as the server may take for the next chunk.
        let limit = large_value_timeout(self.read_timeout());
        while let Some(piece) = held.next_piece() {
            self.write_chunk(piece).await?;
        }
        if held.is_complete {
            return self.write_chunk(VALUE_END).await;
        }
        loop {
            let chunk = self.while_connected(limit, |_, cx| chunks.poll_recv(cx));
            match chunk.await? {
                Some(BodyChunk::Bytes(bytes)) => self.write_chunk(bytes).await?,
                Some(BodyChunk::End) => return self.write_chunk(VALUE_END).await,
                None => return Err(VALUE_INCOMPLETE),
            }
        }
    }

    /// Writes a chunk. A slow client is served for as long as it reads at all.
    async fn write_chunk(&mut self, mut bytes: Bytes) -> Result<(), RespError> {
        let limit = large_value_timeout(self.read_timeout());
        while !bytes.is_empty() {
            let write = |framed: Pin<&mut Framed<SharedStream<T>, ClientCodec>>,
                         cx: &mut task::Context<'_>| {
                Pin::new(framed.get_mut().get_mut()).poll_write(cx, &bytes)
            };
            match self.while_connected(limit, write).await?? {
                0 => return Err(CLIENT_DOES_NOT_READ),
                written => bytes.advance(written),
            }
        }
        self.idle_since = Instant::now();
        Ok(())
    }

    /// The answer to the oldest unanswered command, if it is ready.
    fn next_ready(&mut self) -> Option<FinalAnswer> {
        let answer = match self.pending.front_mut()? {
            PendingReply::Ready(_) => None,
            PendingReply::InFlight(in_flight) => match in_flight.answer.try_recv() {
                Ok(answer) => Some(answer),
                Err(oneshot::error::TryRecvError::Empty) => return None,
                // A request that the engine drops without an answer has failed.
                Err(oneshot::error::TryRecvError::Closed) => {
                    Some(FinalAnswer::from(Answer::Failed))
                }
            },
            PendingReply::Held(held) => Some(held.ready().now_or_never()?),
        };
        let reply = self.pending.pop_front()?;
        let due_at = reply.due_at();
        match reply {
            PendingReply::Ready(answer) => Some(FinalAnswer::from(answer)),
            PendingReply::InFlight(_) | PendingReply::Held(_) => self.hold_large(answer?, due_at),
        }
    }
}
