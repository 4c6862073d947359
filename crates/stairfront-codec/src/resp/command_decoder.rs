//! The decoder of commands.
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use super::parser::{BulkLimits, ParseError, Parser, ELEMENTS_WITH_VALUE};
use super::{RespError, Value, MAX_BULK_BYTES, MAX_FRAME_OVERHEAD, MAX_VALUE_BYTES};
use crate::budget::{Budget, Reservation};
use crate::buffer::{cut_frame, prepare_read, MAX_RETAINED_CAPACITY};

/// A command with one large value has five elements, and the value is the last of them.
const LIMITS: BulkLimits = BulkLimits {
    usual: MAX_BULK_BYTES,
    value: MAX_VALUE_BYTES,
};
/// Longest command, in bytes, that needs no memory for a large value.
const MAX_USUAL_COMMAND: usize = MAX_BULK_BYTES + MAX_FRAME_OVERHEAD;
const MAX_COMMAND: usize = MAX_VALUE_BYTES + MAX_FRAME_OVERHEAD;

/// A command whose memory could not be reserved. What has come of it is still in the read buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreservedCommand {
    /// Its length in bytes.
    pub bytes: usize,
    /// Whether its value is a large one.
    pub is_large: bool,
    /// Whether there will never be memory for it.
    pub exceeds_limit: bool,
    /// Its elements before the value; none where it stops at another element.
    pub words: Vec<Bytes>,
}

/// The memory of a command that keeps the buffer into which it was read.
#[derive(Debug)]
pub enum CommandMemory {
    /// From the budget of usual commands.
    Usual(Reservation),
    /// From the budget of commands with large values.
    Large(Reservation),
}

/// Decodes commands: arrays of bulk strings, of which one may be a large value.
#[derive(Debug)]
pub struct CommandDecoder {
    reservation: Reservation,
    /// For commands with large values, so that they never use the memory of usual commands.
    large_reservation: Reservation,
    /// Bytes of a command that are dropped as they come.
    skipping: usize,
    /// Bytes that were dropped so far.
    skipped: usize,
}

impl CommandDecoder {
    /// A decoder that reserves the memory of usual commands, and that of commands with large values, from two budgets.
    #[must_use]
    pub fn new(budget: &Rc<Budget>, large_budget: &Rc<Budget>) -> Self {
        CommandDecoder {
            reservation: Reservation::new(budget),
            large_reservation: Reservation::new(large_budget),
            skipping: 0,
            skipped: 0,
        }
    }

    /// The memory of the last command if it keeps its buffer. Whoever keeps the command keeps the reservation too.
    pub fn take_memory(&mut self) -> Option<CommandMemory> {
        let large = self.large_reservation.take().map(CommandMemory::Large);
        large.or_else(|| self.reservation.take().map(CommandMemory::Usual))
    }

    /// Drops a command for which there is no memory, as it comes.
    pub fn skip(&mut self, command: &UnreservedCommand) {
        self.skipping = command.bytes;
    }

    /// Bytes of a command that are still to be dropped.
    #[must_use]
    pub fn bytes_to_skip(&self) -> usize {
        self.skipping
    }

    /// Records that bytes to be dropped were read past the decoder.
    pub fn note_skipped(&mut self, bytes: usize) {
        self.skipping -= bytes;
        self.skipped += bytes;
    }

    /// Bytes that were dropped so far, of all commands.
    #[must_use]
    pub fn skipped_bytes(&self) -> usize {
        self.skipped
    }

    fn skip_available(&mut self, src: &mut BytesMut) {
        let dropped = self.skipping.min(src.len());
        src.advance(dropped);
        self.note_skipped(dropped);
    }

    /// Reserves the memory of a command of which a part has come. Senders of such commands would fill the memory together,
    /// so each has memory for its whole command before more of it is read.
    fn reserve(&mut self, src: &mut BytesMut, required: usize) -> Result<(), RespError> {
        let is_large = required > MAX_USUAL_COMMAND;
        let reservation = if is_large {
            &mut self.large_reservation
        } else {
            &mut self.reservation
        };
        if prepare_read(src, required, reservation) {
            return Ok(());
        }
        let exceeds_limit = !reservation.fits_budget(required);
        let words = words_before_value(src);
        if exceeds_limit && words.is_empty() {
            return Err(RespError::Malformed("no memory for so large a message"));
        }
        Err(RespError::AwaitingMemory(UnreservedCommand {
            bytes: required,
            is_large,
            exceeds_limit,
            words,
        }))
    }
}

impl Decoder for CommandDecoder {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, RespError> {
        self.skip_available(src);
        let Some(first) = src.first() else {
            self.reserve(src, 1)?;
            return Ok(None);
        };
        // A peer that speaks another protocol may never send a complete line, so its first byte is checked.
        if *first != b'*' {
            return Err(RespError::Malformed("expected an array of bulk strings"));
        }
        let mut parser = Parser::new(src, 0, LIMITS);
        match parser.value() {
            Ok(span) => {
                let end = parser.position();
                let frame = cut_frame(src, end);
                if !frame.has_buffer {
                    self.reservation.release();
                    self.large_reservation.release();
                }
                into_elements(span.slice(&frame.bytes)).map(Some)
            }
            Err(ParseError::Incomplete { required }) if required > MAX_COMMAND => {
                Err(RespError::Malformed("message too large"))
            }
            Err(ParseError::Incomplete { required }) => {
                self.reserve(src, required)?;
                Ok(None)
            }
            Err(ParseError::Malformed(reason)) => Err(RespError::Malformed(reason)),
        }
    }
}

/// The elements before the value of a command whose value has not come as a whole; none of another command.
fn words_before_value(src: &BytesMut) -> Vec<Bytes> {
    let front = &src[..src.len().min(MAX_RETAINED_CAPACITY)];
    let mut parser = Parser::new(front, 1, LIMITS);
    let count = parser
        .line()
        .and_then(|line| parser.length(line, ELEMENTS_WITH_VALUE));
    if !matches!(count, Ok(Some(ELEMENTS_WITH_VALUE))) {
        return Vec::new();
    }
    let mut words = Vec::new();
    for _ in 1..ELEMENTS_WITH_VALUE {
        match parser.bulk_string() {
            Ok(word) => words.push(Bytes::copy_from_slice(&front[word])),
            Err(_) => return Vec::new(),
        }
    }
    words
}

/// The elements of a command.
fn into_elements(value: Value) -> Result<Vec<Bytes>, RespError> {
    let Value::Array(items) = value else {
        return Err(RespError::Malformed("expected an array of bulk strings"));
    };
    let into_bulk = |item| match item {
        Value::Bulk(bytes) => Ok(bytes),
        _ => Err(RespError::Malformed("expected a bulk string")),
    };
    items.into_iter().map(into_bulk).collect()
}
