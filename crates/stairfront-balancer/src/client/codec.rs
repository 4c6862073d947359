//! The protocol of clients, RESP2: commands in, answers out.
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::Budget;
use stairfront_codec::resp::{
    put_bulk, put_line, put_number, CommandDecoder, CommandMemory, RespError, UnreservedCommand,
};
use tokio_util::codec::{Decoder, Encoder};

use crate::messages::Answer;

/// What a client has sent.
#[derive(Debug)]
pub enum ClientInput {
    /// A command, given as its words, with the memory of the buffer that it keeps.
    Command {
        /// Its words.
        words: Vec<Bytes>,
        /// The memory of its buffer; `None` for one that was copied.
        memory: Option<CommandMemory>,
    },
    /// A command for which there is no memory yet; it comes again with every look.
    Unreserved(UnreservedCommand),
}

/// Decodes commands and encodes answers.
#[derive(Debug)]
pub struct ClientCodec(CommandDecoder);

impl ClientCodec {
    /// `budget` is for usual commands that have not come as a whole, `large_budget` for those with a large value.
    pub fn new(budget: &Rc<Budget>, large_budget: &Rc<Budget>) -> Self {
        ClientCodec(CommandDecoder::new(budget, large_budget))
    }

    /// Drops a command for which there is no memory, as it comes.
    pub(super) fn skip(&mut self, command: &UnreservedCommand) {
        self.0.skip(command);
    }

    /// Bytes of a command that are still to be dropped.
    pub(super) fn bytes_to_skip(&self) -> usize {
        self.0.bytes_to_skip()
    }

    /// Records that bytes to be dropped were read past the decoder.
    pub(super) fn note_skipped(&mut self, bytes: usize) {
        self.0.note_skipped(bytes);
    }

    /// Bytes that were dropped so far.
    pub(super) fn skipped_bytes(&self) -> usize {
        self.0.skipped_bytes()
    }
}

impl Decoder for ClientCodec {
    type Item = ClientInput;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<ClientInput>, RespError> {
        match self.0.decode(src) {
            Ok(Some(words)) => {
                let memory = self.0.take_memory();
                Ok(Some(ClientInput::Command { words, memory }))
            }
            Ok(None) => Ok(None),
            // An error would have the framed reader read more before it looks again.
            Err(RespError::AwaitingMemory(command)) => Ok(Some(ClientInput::Unreserved(command))),
            Err(error) => Err(error),
        }
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
            // It is rendered before it is written.
            Answer::Info => put_bulk(dst, b""),
        }
        Ok(())
    }
}
