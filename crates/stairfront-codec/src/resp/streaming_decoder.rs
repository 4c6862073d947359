//! The decoder of replies with values that may be too large to be buffered.
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use super::parser::{BulkLimits, ParseError, Parser, ValueSpan, MAX_LINE_BYTES};
use super::{decode_value, RespError, Value, MAX_FRAME_OVERHEAD};
use crate::budget::{Budget, Reservation};
use crate::buffer::{cut_frame, prepare_read};
use crate::message_part::{MessagePart, MAX_BUFFERED_BYTES};

/// How a reply with a large value begins, up to the length of the value.
const LARGE_REPLY_HEAD: &[u8] = b"*3\r\n$";
const CRLF: &[u8] = b"\r\n";

/// Decodes replies of cache hosts. A value above [`MAX_BUFFERED_BYTES`] comes in chunks where it is the first element of an
/// array of three.
#[derive(Debug)]
pub struct StreamingDecoder {
    max_value: usize,
    reservation: Reservation,
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// At the start of a reply.
    Reply,
    /// Within a large value.
    Value { remaining: usize },
    /// Behind a large value: the end of its line, and the two other elements.
    Trailer,
}

impl StreamingDecoder {
    /// A decoder for values of at most `max_value` bytes, which reserves the memory of buffered ones from a budget.
    #[must_use]
    pub fn new(max_value: usize, budget: &Rc<Budget>) -> Self {
        StreamingDecoder {
            max_value,
            reservation: Reservation::new(budget),
            state: State::Reply,
        }
    }

    /// The memory of the last reply if it keeps the buffer into which it was read.
    pub fn take_memory(&mut self) -> Option<Reservation> {
        self.reservation.take()
    }

    fn decode_reply(
        &mut self,
        src: &mut BytesMut,
    ) -> Result<Option<MessagePart<Value>>, RespError> {
        if let Some(length) = self.decode_large_head(src)? {
            self.state = State::Value { remaining: length };
            let reply = large_reply(Value::Null, Value::Null);
            return Ok(Some(MessagePart::Head { length, reply }));
        }
        let limits = BulkLimits::uniform(MAX_BUFFERED_BYTES);
        let reply = decode_value(src, limits, &mut self.reservation)?;
        Ok(reply.map(MessagePart::Complete))
    }

    /// The length of a large value if the next reply has one; its head is then removed from the buffer.
    fn decode_large_head(&self, src: &mut BytesMut) -> Result<Option<usize>, RespError> {
        if !src.starts_with(LARGE_REPLY_HEAD) {
            return Ok(None);
        }
        let limits = BulkLimits::uniform(self.max_value);
        let mut parser = Parser::new(src, LARGE_REPLY_HEAD.len(), limits);
        let length = parser
            .line()
            .and_then(|line| parser.length(line, self.max_value));
        let head = parser.position();
        match length {
            Ok(Some(length)) if length > MAX_BUFFERED_BYTES => {
                src.advance(head);
                Ok(Some(length))
            }
            // A reply with a small value or without one is buffered, and so is a head that is not complete yet.
            Ok(_) | Err(ParseError::Incomplete { .. }) => Ok(None),
            Err(ParseError::Malformed(reason)) => Err(RespError::Malformed(reason)),
        }
    }

    fn next_chunk(&mut self, src: &mut BytesMut, remaining: usize) -> Option<MessagePart<Value>> {
        if src.is_empty() {
            return None;
        }
        let length = remaining.min(src.len());
        let chunk = src.split_to(length).freeze();
        self.state = if length == remaining {
            State::Trailer
        } else {
            State::Value {
                remaining: remaining - length,
            }
        };
        Some(MessagePart::Chunk(chunk))
    }

    fn decode_trailer(
        &mut self,
        src: &mut BytesMut,
    ) -> Result<Option<MessagePart<Value>>, RespError> {
        if src.len() < CRLF.len() {
            return self.await_bytes(src, CRLF.len());
        }
        if !src.starts_with(CRLF) {
            return Err(RespError::Malformed("bulk string does not end in CRLF"));
        }
        let limits = BulkLimits::uniform(MAX_LINE_BYTES);
        let mut parser = Parser::new(src, CRLF.len(), limits);
        match parse_trailer(&mut parser) {
            Ok((first, second)) => {
                let end = parser.position();
                let frame = cut_frame(src, end).bytes;
                self.reservation.release();
                self.state = State::Reply;
                let reply = large_reply(first.slice(&frame), second.slice(&frame));
                Ok(Some(MessagePart::End(reply)))
            }
            Err(ParseError::Incomplete { required }) if required <= MAX_FRAME_OVERHEAD => {
                self.await_bytes(src, required)
            }
            Err(ParseError::Incomplete { .. }) => Err(RespError::Malformed("message too large")),
            Err(ParseError::Malformed(reason)) => Err(RespError::Malformed(reason)),
        }
    }
}

impl StreamingDecoder {
    /// Waits for a part of so many bytes.
    fn await_bytes(
        &mut self,
        src: &mut BytesMut,
        required: usize,
    ) -> Result<Option<MessagePart<Value>>, RespError> {
        if prepare_read(src, required, &mut self.reservation) {
            Ok(None)
        } else {
            Err(RespError::OutOfMemory)
        }
    }
}

/// The two elements behind a large value.
fn parse_trailer(parser: &mut Parser) -> Result<(ValueSpan, ValueSpan), ParseError> {
    let first = parser.value_of_depth(1)?;
    let second = parser.value_of_depth(1)?;
    Ok((first, second))
}

/// A reply whose value came in chunks, and is empty in it.
fn large_reply(first: Value, second: Value) -> Value {
    Value::Array(vec![Value::Bulk(Bytes::new()), first, second])
}

impl Decoder for StreamingDecoder {
    type Item = MessagePart<Value>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<MessagePart<Value>>, RespError> {
        match self.state {
            State::Reply => self.decode_reply(src),
            State::Value { remaining } => Ok(self.next_chunk(src, remaining)),
            State::Trailer => self.decode_trailer(src),
        }
    }
}
