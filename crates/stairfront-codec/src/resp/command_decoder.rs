//! The decoder of commands.
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use super::parser::{BulkLimits, ParseError, Parser};
use super::{decode_value, RespError, Value, MAX_BULK_BYTES, MAX_FRAME_OVERHEAD, MAX_VALUE_BYTES};
use crate::budget::{Budget, Reservation};

/// A command with one large value has five elements, and the value is the last of them.
const LIMITS: BulkLimits = BulkLimits {
    usual: MAX_BULK_BYTES,
    value: MAX_VALUE_BYTES,
};
/// Longest command, in bytes, that needs no memory for a large value.
const MAX_USUAL_COMMAND: usize = MAX_BULK_BYTES + MAX_FRAME_OVERHEAD;
const MAX_COMMAND: usize = MAX_VALUE_BYTES + MAX_FRAME_OVERHEAD;

/// Decodes commands: arrays of bulk strings, of which one may be a large value.
#[derive(Debug)]
pub struct CommandDecoder {
    reservation: Reservation,
    /// For commands with large values, so that they never use the memory of usual commands.
    large_reservation: Reservation,
}

impl CommandDecoder {
    /// A decoder that reserves the memory of usual commands, and that of commands with large values, from two budgets.
    #[must_use]
    pub fn new(budget: &Rc<Budget>, large_budget: &Rc<Budget>) -> Self {
        CommandDecoder {
            reservation: Reservation::new(budget),
            large_reservation: Reservation::new(large_budget),
        }
    }

    /// The memory of the last command if it had a large value. Whoever keeps the value keeps the reservation too.
    pub fn take_reservation(&mut self) -> Option<Reservation> {
        self.large_reservation.take()
    }

    /// The length in bytes that the command at the front of the buffer has at least; `None` if it is complete.
    fn required_bytes(src: &BytesMut) -> Result<Option<usize>, RespError> {
        match Parser::new(src, 0, LIMITS).value() {
            Ok(_) => Ok(None),
            Err(ParseError::Incomplete { required }) => Ok(Some(required)),
            Err(ParseError::Malformed(reason)) => Err(RespError::Malformed(reason)),
        }
    }

    /// Reserves the memory of a command with a large value. Senders of such commands would fill the memory together, so
    /// each has memory for its whole command before more of it is read.
    fn reserve_large(&mut self, src: &mut BytesMut, required: usize) -> Result<(), RespError> {
        if !self.large_reservation.try_resize(required) {
            return Err(if self.large_reservation.fits_budget(required) {
                RespError::AwaitingMemory(required)
            } else {
                RespError::Malformed("no memory for so large a message")
            });
        }
        src.reserve(required - src.len());
        Ok(())
    }
}

impl Decoder for CommandDecoder {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, RespError> {
        let Some(first) = src.first() else {
            return Ok(None);
        };
        // A peer that speaks another protocol may never send a complete line, so its first byte is checked.
        if *first != b'*' {
            return Err(RespError::Malformed("expected an array of bulk strings"));
        }
        match Self::required_bytes(src)? {
            Some(required) if required > MAX_COMMAND => {
                return Err(RespError::Malformed("message too large"))
            }
            Some(required) if required > MAX_USUAL_COMMAND => {
                self.reserve_large(src, required)?;
                return Ok(None);
            }
            Some(_) | None => {}
        }
        let value = decode_value(src, LIMITS, &mut self.reservation)?;
        value.map(into_elements).transpose()
    }
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
