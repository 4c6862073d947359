//! RESP2, the protocol of Redis: decoders of commands and replies, and the encoding of both.
//!
//! Decoded values are slices of the read buffer. A split read leaves the buffer as it is until the last byte of a value has
//! arrived.
mod command_decoder;
mod encode;
mod parser;
mod reply_decoder;
mod streaming_decoder;

use std::io;

use bytes::{Bytes, BytesMut};

use crate::budget::Reservation;
use crate::buffer::{cut_frame, prepare_read};
use crate::message_part::MAX_BUFFERED_BYTES;

use self::parser::{BulkLimits, ParseError, Parser};

pub use self::command_decoder::{CommandDecoder, CommandMemory, UnreservedCommand};
pub use self::encode::{put_bulk, put_line, put_null, put_number};
pub use self::reply_decoder::ReplyDecoder;
pub use self::streaming_decoder::StreamingDecoder;

/// Longest bulk string, in bytes, of a client's usual command.
pub const MAX_BULK_BYTES: usize = MAX_BUFFERED_BYTES;

/// Longest value, in bytes, that a client may send.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that a message may have beyond its value. Without this limit a peer could have a buffer grow for ever.
const MAX_FRAME_OVERHEAD: usize = 8 * 1024;

/// Why a message was not decoded.
#[derive(Debug, thiserror::Error)]
pub enum RespError {
    /// The connection failed, or ended within a message.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The message is invalid, or above a limit; the text says in which respect.
    #[error("protocol error: {0}")]
    Malformed(&'static str),
    /// A command waits until others have released memory. Nothing is lost: the decoder continues where it was.
    #[error("no memory for a command of {} bytes yet", .0.bytes)]
    AwaitingMemory(UnreservedCommand),
    /// There is no memory for a message.
    #[error("no memory for a message")]
    OutOfMemory,
}

/// A value of RESP2.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A simple string.
    Simple(Bytes),
    /// A simple error.
    Error(Bytes),
    /// An integer, in digits.
    Integer(Bytes),
    /// A bulk string.
    Bulk(Bytes),
    /// A null bulk string or a null array.
    Null,
    /// An array.
    Array(Vec<Value>),
}

/// Removes the next complete value from the buffer, if there is one. Where it keeps the buffer, the reservation is its own.
fn decode_value(
    src: &mut BytesMut,
    limits: BulkLimits,
    reservation: &mut Reservation,
) -> Result<Option<Value>, RespError> {
    let parsed = if src.is_empty() {
        Err(ParseError::Incomplete { required: 1 })
    } else {
        let mut parser = Parser::new(src, 0, limits);
        parser.value().map(|span| (span, parser.position()))
    };
    match parsed {
        Ok((span, end)) => {
            let frame = cut_frame(src, end);
            if !frame.has_buffer {
                reservation.release();
            }
            Ok(Some(span.slice(&frame.bytes)))
        }
        Err(ParseError::Incomplete { required })
            if required <= limits.max() + MAX_FRAME_OVERHEAD =>
        {
            // Many peers that each send most of a large message would fill the memory.
            if prepare_read(src, required, reservation) {
                Ok(None)
            } else {
                Err(RespError::OutOfMemory)
            }
        }
        Err(ParseError::Incomplete { .. }) => Err(RespError::Malformed("message too large")),
        Err(ParseError::Malformed(reason)) => Err(RespError::Malformed(reason)),
    }
}
