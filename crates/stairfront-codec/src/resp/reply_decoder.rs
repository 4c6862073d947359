//! The decoder of replies that are buffered as a whole.
use std::rc::Rc;

use bytes::BytesMut;
use tokio_util::codec::Decoder;

use super::parser::BulkLimits;
use super::{decode_value, RespError, Value};
use crate::budget::{Budget, Reservation};

/// Decodes replies of any type.
#[derive(Debug)]
pub struct ReplyDecoder {
    max_value: usize,
    reservation: Reservation,
}

impl ReplyDecoder {
    /// A decoder for bulk strings of at most `max_value` bytes, which reserves their memory from a budget.
    #[must_use]
    pub fn new(max_value: usize, budget: &Rc<Budget>) -> Self {
        ReplyDecoder {
            max_value,
            reservation: Reservation::new(budget),
        }
    }
}

impl ReplyDecoder {
    /// The memory of the last reply if it keeps the buffer into which it was read.
    pub fn take_memory(&mut self) -> Option<Reservation> {
        self.reservation.take()
    }
}

impl Decoder for ReplyDecoder {
    type Item = Value;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Value>, RespError> {
        let limits = BulkLimits::uniform(self.max_value);
        decode_value(src, limits, &mut self.reservation)
    }
}
