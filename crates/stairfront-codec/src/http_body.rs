//! The bodies of HTTP/1.1 messages: how their length is determined, and the memory that they take until they are complete.
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};

use crate::budget::{Budget, Reservation};
use crate::buffer::{copy_with_capacity, cut_frame, prepare_read, MAX_RETAINED_CAPACITY};
use crate::http::{HttpError, MAX_HEAD_BYTES};

const CRLF: &[u8] = b"\r\n";

/// How the length of a body is determined (RFC 9112, section 6.3).
#[derive(Debug)]
pub(crate) enum BodyFraming {
    ContentLength(usize),
    /// With the content of the chunks that were decoded so far, in a buffer of its own.
    Chunked(BytesMut),
    /// The body ends with the connection.
    UntilClose,
}

/// Collects one body after the other, and reserves their memory.
#[derive(Debug)]
pub(crate) struct BodyReader {
    max_bytes: usize,
    /// For the read buffer.
    reservation: Reservation,
    /// For the content of decoded chunks.
    content_reservation: Reservation,
}

impl BodyReader {
    /// A reader of bodies of at most so many bytes, which reserves their memory from a budget.
    pub(crate) fn new(max_bytes: usize, budget: &Rc<Budget>) -> Self {
        BodyReader {
            max_bytes,
            reservation: Reservation::new(budget),
            content_reservation: Reservation::new(budget),
        }
    }

    /// The longest body that is read, in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// The memory of the last body, where that has a buffer of its own.
    pub(crate) fn take_memory(&mut self) -> Option<Reservation> {
        let content = self.content_reservation.take();
        content.or_else(|| self.reservation.take())
    }

    /// Removes a body from the buffer if it is complete; otherwise makes space for more of it.
    pub(crate) fn complete(
        &mut self,
        framing: &mut BodyFraming,
        src: &mut BytesMut,
    ) -> Result<Option<Bytes>, HttpError> {
        match framing {
            BodyFraming::ContentLength(length) if src.len() >= *length => {
                return Ok(Some(self.cut_body(src, *length)));
            }
            BodyFraming::ContentLength(length) => self.await_bytes(src, *length)?,
            BodyFraming::Chunked(content) => {
                let Some(required) = self.decode_chunks(src, content)? else {
                    return Ok(Some(std::mem::take(content).freeze()));
                };
                self.await_bytes(src, required)?;
            }
            BodyFraming::UntilClose if src.len() > self.max_bytes => {
                return Err(HttpError::Malformed("body too large"));
            }
            BodyFraming::UntilClose => {
                let capacity = src.capacity();
                // Its length is not known, so a full buffer is doubled.
                let is_full = capacity == src.len();
                let required = if is_full { 2 * capacity } else { src.len() + 1 };
                self.await_bytes(src, required.max(1))?;
            }
        }
        Ok(None)
    }

    /// Removes a body, whose reservation stays where it keeps the buffer.
    pub(crate) fn cut_body(&mut self, src: &mut BytesMut, length: usize) -> Bytes {
        let frame = cut_frame(src, length);
        if !frame.has_buffer {
            self.reservation.release();
        }
        frame.bytes
    }

    /// Waits for a part of so many bytes.
    pub(crate) fn await_bytes(
        &mut self,
        src: &mut BytesMut,
        required: usize,
    ) -> Result<(), HttpError> {
        if prepare_read(src, required, &mut self.reservation) {
            Ok(())
        } else {
            Err(HttpError::OutOfMemory)
        }
    }

    /// Moves complete chunks from the buffer to the content (RFC 9112, section 7.1). Returns the length that the next one
    /// has at least; `None` after the last one.
    fn decode_chunks(
        &mut self,
        src: &mut BytesMut,
        content: &mut BytesMut,
    ) -> Result<Option<usize>, HttpError> {
        loop {
            let (start, size) = match httparse::parse_chunk_size(src) {
                Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
                Ok(httparse::Status::Partial) if src.len() > MAX_HEAD_BYTES => {
                    return Err(HttpError::Malformed("chunk size"))
                }
                Ok(httparse::Status::Partial) => return Ok(Some(src.len() + 1)),
                Err(_) => return Err(HttpError::Malformed("chunk size")),
            };
            if size > self.max_bytes - content.len() {
                return Err(HttpError::Malformed("body too large"));
            }
            let end = start + size + CRLF.len();
            if src.len() < end {
                return Ok(Some(end));
            }
            // A trailer section is not supported, since no server of this project sends one.
            if &src[start + size..end] != CRLF {
                return Err(HttpError::Malformed("chunk end"));
            }
            self.add_content(content, &src[start..start + size])?;
            src.advance(end);
            if size == 0 {
                return Ok(None);
            }
        }
    }

    /// Adds a chunk to the content, whose buffer is doubled where it is full.
    fn add_content(&mut self, content: &mut BytesMut, chunk: &[u8]) -> Result<(), HttpError> {
        let required = content.len() + chunk.len();
        if required > content.capacity() {
            let doubled = (2 * content.capacity()).max(MAX_RETAINED_CAPACITY);
            let capacity = required.max(doubled.min(self.max_bytes));
            let reservation = &mut self.content_reservation;
            // Both buffers are there while the bytes are copied.
            if !reservation.try_resize(reservation.bytes() + capacity) {
                return Err(HttpError::OutOfMemory);
            }
            *content = copy_with_capacity(content, capacity);
            if !reservation.try_resize(capacity) {
                return Err(HttpError::OutOfMemory);
            }
        }
        content.extend_from_slice(chunk);
        Ok(())
    }
}
