//! A large answer with commands behind it is held before its first byte is written. One that breaks in its middle can only
//! end the connection, and would take the answers behind it along; one that breaks while it is held is answered as failed.
//!
//! It is held until it is complete, but not past the time of its client: what its server still gives then goes on as it
//! comes.
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairfront_codec::budget::Reservation;
use tokio::sync::mpsc;
use tracing::debug;

use crate::client::connection::{Connection, PendingReply};
use crate::client::context::ClientContext;
use crate::clock::{sleep_until, Instant};
use crate::memory::ledger::MemoryLedger;
use crate::messages::{Answer, AnswerBody, BodyChunk, FinalAnswer, HeldBytes};
use crate::transport::Stream;

/// The first bytes are written so long before they are due, or a quarter of the time that was left if that is less.
const MAX_MARGIN: Duration = Duration::from_millis(150);
const MARGIN_DIVISOR: u32 = 4;
/// The longest time for which what has come is held.
const MAX_HOLD: Duration = Duration::from_millis(1500);
/// An answer that has waited behind others is held for as long, up to this, so that an end that it has met by then is seen.
const MAX_HOLD_BEHIND_OTHERS: Duration = Duration::from_millis(250);
/// A server that gives nothing for so long in the middle of a value that others wait for has failed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two checks whether there is memory for the value.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Held bytes are in pieces of this size, each of which is dropped when it is written.
const PIECE_BYTES: usize = 32 * 1024;

/// A large answer that is held.
pub(super) struct HeldAnswer {
    length: usize,
    body: AnswerBody,
    bytes: HeldBytes,
    /// The piece that is being filled.
    filling: BytesMut,
    context: Rc<ClientContext>,
    begin_by: Instant,
    /// When something of it came last.
    progress_at: Instant,
}

impl HeldAnswer {
    fn new(body: AnswerBody, due_at: Instant, context: &Rc<ClientContext>) -> Self {
        let now = Instant::now();
        HeldAnswer {
            length: body.length,
            begin_by: begin_by(due_at, body.begun_at, now),
            body,
            bytes: HeldBytes::default(),
            filling: BytesMut::new(),
            context: Rc::clone(context),
            progress_at: now,
        }
    }

    /// The answer as it can be written: complete, begun at its time, or failed. Cancel safe: what has come is kept here.
    pub(super) async fn ready(&mut self) -> FinalAnswer {
        loop {
            let has_memory = self.has_memory();
            let now = Instant::now();
            if now >= self.begin_by {
                debug!(
                    length = self.length,
                    "large answer begun before it is complete"
                );
                return self.release(false);
            }
            let silent_at = self.progress_at + SILENCE_TIMEOUT;
            if has_memory && now >= silent_at {
                debug!(
                    length = self.length,
                    "large answer failed, its server is silent"
                );
                self.context.counters.streams_broken.add();
                return self.fail();
            }
            let next_check = if has_memory {
                silent_at
            } else {
                now + MEMORY_CHECK_INTERVAL
            };
            tokio::select! {
                biased;
                chunk = self.body.chunks.recv(), if has_memory => match chunk {
                    Some(BodyChunk::Bytes(bytes)) => self.keep(&bytes),
                    Some(BodyChunk::End) => return self.release(true),
                    None => {
                        debug!(length = self.length, "large answer failed before its first byte");
                        return self.fail();
                    }
                },
                () = sleep_until(next_check.min(self.begin_by)) => {}
            }
        }
    }

    /// Whether there is memory for all of the value. Without it what comes stays with the server.
    fn has_memory(&mut self) -> bool {
        if self.bytes.memory.is_none() {
            self.bytes.memory = reserve(&self.context.memory, self.length);
            self.progress_at = Instant::now();
        }
        self.bytes.memory.is_some()
    }

    fn keep(&mut self, mut bytes: &[u8]) {
        self.progress_at = Instant::now();
        while !bytes.is_empty() {
            if self.filling.capacity() == 0 {
                self.filling = BytesMut::with_capacity(PIECE_BYTES.min(self.length));
            }
            let space = self.filling.capacity() - self.filling.len();
            let (fitting, rest) = bytes.split_at(space.min(bytes.len()));
            self.filling.extend_from_slice(fitting);
            bytes = rest;
            if self.filling.len() == self.filling.capacity() {
                self.end_piece();
            }
        }
    }

    fn end_piece(&mut self) {
        let piece = std::mem::take(&mut self.filling).freeze();
        self.bytes.pieces.push_back(piece);
    }

    /// The answer with what is held of it, which is written first.
    fn release(&mut self, is_complete: bool) -> FinalAnswer {
        if !self.filling.is_empty() {
            self.end_piece();
        }
        let body = self.take_body();
        let held = HeldBytes {
            is_complete,
            ..std::mem::take(&mut self.bytes)
        };
        FinalAnswer {
            body: Some(AnswerBody { held, ..body }),
            ..FinalAnswer::from(Answer::Large(self.length))
        }
    }

    /// The server's connection ends with the body.
    fn fail(&mut self) -> FinalAnswer {
        drop(self.take_body());
        FinalAnswer::from(Answer::Failed)
    }

    fn take_body(&mut self) -> AnswerBody {
        let (_, ended) = mpsc::channel(1);
        let left = AnswerBody {
            chunks: ended,
            memory: None,
            held: HeldBytes::default(),
            claim: None,
            ..self.body
        };
        std::mem::replace(&mut self.body, left)
    }
}

/// Until when an answer whose first bytes came at `begun_at`, and whose turn came at `turn_at`, is held at most.
fn begin_by(due_at: Instant, begun_at: Instant, turn_at: Instant) -> Instant {
    let left = due_at.saturating_duration_since(begun_at);
    let margin = MAX_MARGIN.min(left / MARGIN_DIVISOR);
    // The time for which it had to wait for the answers before it does not count.
    let waited = turn_at.saturating_duration_since(begun_at);
    let behind_others = turn_at + waited.min(MAX_HOLD_BEHIND_OTHERS);
    (due_at - margin).max(behind_others).min(turn_at + MAX_HOLD)
}

/// Memory for a value: of large commands, which is the largest account, or else of large values.
fn reserve(ledger: &MemoryLedger, length: usize) -> Option<Reservation> {
    let accounts = [&ledger.large_commands, &ledger.streams];
    let account = accounts
        .into_iter()
        .find(|account| account.available() >= length)?;
    account.try_reserve(length)
}

impl<T: Stream> Connection<T> {
    /// The answer, unless it is a large one with something behind it: that is held, and stays the next one.
    pub(super) fn hold_large(
        &mut self,
        answer: FinalAnswer,
        due_at: Option<Instant>,
    ) -> Option<FinalAnswer> {
        let Some(due_at) = due_at.filter(|_| answer.body.is_some() && self.has_more_behind())
        else {
            return Some(answer);
        };
        let held = HeldAnswer::new(answer.body?, due_at, &self.context);
        self.pending.push_front(PendingReply::Held(held));
        None
    }

    /// Whether further commands have come, read or not.
    fn has_more_behind(&self) -> bool {
        !self.pending.is_empty() || !self.framed.read_buffer().is_empty() || self.has_unread_input()
    }
}
