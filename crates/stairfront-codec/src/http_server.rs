//! The server's side of HTTP/1.1: requests are decoded, responses encoded.
//!
//! The body of a request has a `Content-Length`. Transfer codings are rejected, since no client of this project uses one.
use std::io;
use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::budget::{Budget, Reservation};
use crate::buffer::{cut_frame, prepare_read};
use crate::http::{content_length, has_line_break, head_length, HttpError, MAX_HEADER_FIELDS};

/// A request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// Path and query as they were received.
    pub target: String,
    /// Header fields in the order in which they were received.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
    /// The connection is to be closed after the response (RFC 9112, section 9.6).
    pub closes_connection: bool,
}

impl Request {
    /// The value of the first header field of this name, in any case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: &'static str,
    /// Header fields. A value with a line break is an error when the response is encoded.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// A request whose head is decoded, and whose body is not.
#[derive(Debug)]
struct PendingRequest {
    request: Request,
    content_length: usize,
}

/// Decodes one request after the other, and encodes responses.
#[derive(Debug)]
pub struct HttpServerCodec {
    max_body: usize,
    reservation: Reservation,
    pending: Option<PendingRequest>,
}

impl HttpServerCodec {
    /// A codec for bodies of at most `max_body` bytes, which reserves their memory from a budget.
    #[must_use]
    pub fn new(max_body: usize, budget: &Rc<Budget>) -> Self {
        HttpServerCodec {
            max_body,
            reservation: Reservation::new(budget),
            pending: None,
        }
    }

    /// Removes one complete head from the buffer.
    fn parse_head(&self, src: &mut BytesMut) -> Result<Option<PendingRequest>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let Some(length) = head_length(parsed.parse(src), src.len())? else {
            return Ok(None);
        };
        let mut request = Request {
            method: parsed.method.unwrap_or_default().to_string(),
            target: parsed.path.unwrap_or_default().to_string(),
            // HTTP/1.0 does not keep connections open by default.
            closes_connection: parsed.version != Some(1),
            ..Request::default()
        };
        let mut body_length = None;
        for field in parsed.headers.iter() {
            let value = field.value.trim_ascii();
            if field.name.eq_ignore_ascii_case("content-length") {
                let found = content_length(value, self.max_body)?;
                // One of two lengths is wrong: the body would run into the next request.
                if body_length.replace(found).is_some() {
                    return Err(HttpError::Malformed("two lengths"));
                }
            } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(HttpError::Malformed("transfer encoding"));
            } else if field.name.eq_ignore_ascii_case("connection") {
                request.closes_connection |= value.eq_ignore_ascii_case(b"close");
            }
            let name = field.name.to_string();
            request.headers.push((name, Bytes::copy_from_slice(value)));
        }
        src.advance(length);
        Ok(Some(PendingRequest {
            request,
            content_length: body_length.unwrap_or(0),
        }))
    }
}

impl HttpServerCodec {
    /// Waits for a part of so many bytes.
    fn await_bytes(
        &mut self,
        src: &mut BytesMut,
        required: usize,
    ) -> Result<Option<Request>, HttpError> {
        if prepare_read(src, required, &mut self.reservation) {
            Ok(None)
        } else {
            Err(HttpError::OutOfMemory)
        }
    }
}

impl Decoder for HttpServerCodec {
    type Item = Request;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Request>, HttpError> {
        if self.pending.is_none() && !src.is_empty() {
            self.pending = self.parse_head(src)?;
        }
        let Some(pending) = self.pending.take() else {
            return self.await_bytes(src, src.len() + 1);
        };
        let length = pending.content_length;
        if src.len() < length {
            self.pending = Some(pending);
            return self.await_bytes(src, length);
        }
        let mut request = pending.request;
        if length > 0 {
            request.body = cut_frame(src, length).bytes;
        }
        self.reservation.release();
        Ok(Some(request))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Request>, HttpError> {
        match self.decode(src)? {
            None if self.pending.is_some() || !src.is_empty() => {
                Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
            }
            request => Ok(request),
        }
    }
}

impl Encoder<Response> for HttpServerCodec {
    type Error = HttpError;

    fn encode(&mut self, response: Response, dst: &mut BytesMut) -> Result<(), HttpError> {
        let Response { status, reason, .. } = response;
        dst.reserve(128 + response.body.len());
        dst.put_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
        for (name, value) in &response.headers {
            if has_line_break(value.as_bytes()) {
                return Err(HttpError::Malformed("line break in a header"));
            }
            dst.put_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        dst.put_slice(format!("Content-Length: {}\r\n\r\n", response.body.len()).as_bytes());
        dst.put_slice(&response.body);
        Ok(())
    }
}
