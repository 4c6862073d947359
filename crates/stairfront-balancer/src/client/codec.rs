//! The protocol of clients, RESP2: commands in, answers out.
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::resp::{put_bulk, put_line, put_number, CommandDecoder, RespError};
use tokio_util::codec::{Decoder, Encoder};

use crate::messages::Answer;

/// Decodes commands and encodes answers.
#[derive(Debug)]
pub struct ClientCodec(CommandDecoder);

impl ClientCodec {
    /// `budget` is for usual commands that have not come as a whole, `large_budget` for those with a large value.
    pub fn new(budget: &Rc<Budget>, large_budget: &Rc<Budget>) -> Self {
        ClientCodec(CommandDecoder::new(budget, large_budget))
    }

    /// The memory that the last command has reserved for a large value.
    pub(super) fn take_memory(&mut self) -> Option<Reservation> {
        self.0.take_reservation()
    }
}

impl Decoder for ClientCodec {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, RespError> {
        self.0.decode(src)
    }
}

impl Encoder<Answer> for ClientCodec {
    type Error = RespError;

    fn encode(&mut self, answer: Answer, dst: &mut BytesMut) -> Result<(), RespError> {
        match answer {
            Answer::Value(value) => put_bulk(dst, &value),
            Answer::Large(length) => put_number(dst, b'$', length),
            Answer::Busy { after_ms: Some(ms) } => {
                put_line(dst, b'-', format!("BUSY {ms}").as_bytes());
            }
            Answer::Busy { after_ms: None } => put_line(dst, b'-', b"BUSY"),
            Answer::Failed => put_line(dst, b'-', b"ERR failed"),
            Answer::Pong => put_line(dst, b'+', b"PONG"),
            Answer::Ok => put_line(dst, b'+', b"OK"),
            Answer::Error(text) => put_line(dst, b'-', text.as_bytes()),
            Answer::Text(text) => put_bulk(dst, text.as_bytes()),
        }
        Ok(())
    }
}
