//! The client's side of HTTP/1.1: requests are encoded, responses decoded. `httparse` parses heads and chunk sizes.
use std::io;
use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::budget::{Budget, Reservation};
use crate::http::{content_length, has_line_break, head_length, HttpError, MAX_HEADER_FIELDS};
use crate::http_body::{BodyFraming, BodyReader};
use crate::message_part::{MessagePart, MAX_BUFFERED_BYTES};

/// Interim responses (1xx) that may precede one final response (RFC 9110, section 15.2).
const MAX_INTERIM_RESPONSES: u32 = 16;
const CRLF: &[u8] = b"\r\n";

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields. A value with a line break is an error when the request is encoded.
    pub headers: Vec<(&'static str, Bytes)>,
    /// The body.
    pub body: RequestBody,
}

/// The body of a request.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// There is none.
    Empty,
    /// It is written with the head.
    Inline(Bytes),
    /// So many bytes, which whoever sends the request writes behind the head.
    Separate(usize),
}

/// A response, with the header fields that this project reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The server has not begun to execute the request (`Not-Started: 1`).
    pub not_started: bool,
    /// The value of `Server-Load`.
    pub server_load: Option<Bytes>,
    /// The connection takes no further request (RFC 9112, section 9.6).
    pub closes_connection: bool,
    /// The body.
    pub body: Bytes,
}

/// A response whose head is decoded, and whose body is not.
#[derive(Debug)]
struct PendingResponse {
    response: Response,
    framing: BodyFraming,
}

/// A response whose body is passed on in chunks.
#[derive(Debug)]
struct StreamedResponse {
    response: Response,
    /// Bytes of the body that have not arrived.
    remaining: usize,
}

/// Decodes one response after the other, and encodes requests.
#[derive(Debug)]
pub struct HttpClientCodec {
    body: BodyReader,
    pending: Option<PendingResponse>,
    /// Interim responses since the last final one.
    interim_responses: u32,
    streamed: Option<StreamedResponse>,
}

impl HttpClientCodec {
    /// A codec for bodies of at most `max_body` bytes, which reserves their memory from a budget.
    #[must_use]
    pub fn new(max_body: usize, budget: &Rc<Budget>) -> Self {
        HttpClientCodec {
            body: BodyReader::new(max_body, budget),
            pending: None,
            interim_responses: 0,
            streamed: None,
        }
    }

    /// The memory of the body of the last response, where that has a buffer of its own.
    pub fn take_memory(&mut self) -> Option<Reservation> {
        self.body.take_memory()
    }

    /// Decodes the next response, or the next part of one whose body is too large to be buffered.
    ///
    /// A response of status 200 with a `Content-Length` above [`MAX_BUFFERED_BYTES`] comes in parts. One in chunks has no
    /// length before its end, and is buffered as a whole.
    ///
    /// # Errors
    ///
    /// If the response is malformed, or above a limit.
    pub fn decode_part(
        &mut self,
        src: &mut BytesMut,
    ) -> Result<Option<MessagePart<Response>>, HttpError> {
        if let Some(streamed) = self.streamed.take() {
            return Ok(self.next_chunk(streamed, src));
        }
        self.decode_head(src)?;
        let Some(pending) = self.pending.take() else {
            self.body.await_bytes(src, src.len() + 1)?;
            return Ok(None);
        };
        match pending.framing {
            BodyFraming::ContentLength(length)
                if pending.response.status == 200 && length > MAX_BUFFERED_BYTES =>
            {
                let reply = pending.response.clone();
                self.streamed = Some(StreamedResponse {
                    response: pending.response,
                    remaining: length,
                });
                Ok(Some(MessagePart::Head { length, reply }))
            }
            _ => {
                let response = self.decode_body(pending, src)?;
                Ok(response.map(MessagePart::Complete))
            }
        }
    }

    /// The response that the orderly end of the connection completes, if there is one.
    ///
    /// # Errors
    ///
    /// If the connection ended within any other response.
    pub fn finish(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        let ends_with_connection =
            |pending: &mut PendingResponse| matches!(pending.framing, BodyFraming::UntilClose);
        if let Some(pending) = self.pending.take_if(ends_with_connection) {
            let length = src.len();
            let body = self.body.cut_body(src, length);
            return Ok(Some(Response {
                body,
                ..pending.response
            }));
        }
        if self.pending.is_some() || self.streamed.is_some() || !src.is_empty() {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(None)
    }

    /// The next chunk of a body, or its end.
    fn next_chunk(
        &mut self,
        mut streamed: StreamedResponse,
        src: &mut BytesMut,
    ) -> Option<MessagePart<Response>> {
        if streamed.remaining == 0 {
            return Some(MessagePart::End(streamed.response));
        }
        let length = streamed.remaining.min(src.len());
        let chunk = src.split_to(length).freeze();
        streamed.remaining -= length;
        self.streamed = Some(streamed);
        (length > 0).then_some(MessagePart::Chunk(chunk))
    }

    /// Decodes the head of the next final response, unless that is done already.
    fn decode_head(&mut self, src: &mut BytesMut) -> Result<(), HttpError> {
        while self.pending.is_none() && !src.is_empty() {
            let Some(head) = self.parse_head(src)? else {
                break;
            };
            if head.response.status >= 200 {
                self.pending = Some(head);
                self.interim_responses = 0;
            } else if self.interim_responses == MAX_INTERIM_RESPONSES {
                return Err(HttpError::Malformed("too many interim answers"));
            } else {
                self.interim_responses += 1;
            }
        }
        Ok(())
    }

    /// Removes one complete head from the buffer, of an interim or a final response.
    fn parse_head(&self, src: &mut BytesMut) -> Result<Option<PendingResponse>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let Some(length) = head_length(parsed.parse(src), src.len())? else {
            return Ok(None);
        };
        if parsed.version != Some(1) {
            return Err(HttpError::Malformed("not HTTP/1.1"));
        }
        let mut response = Response {
            status: parsed.code.unwrap_or_default(),
            ..Response::default()
        };
        let mut framing = None;
        for field in parsed.headers.iter() {
            let value = field.value.trim_ascii();
            let Some(found) = self.framing(field.name, value)? else {
                response.read_field(field.name, value);
                continue;
            };
            // One of two lengths is wrong: the body would be cut, or run into the next response.
            if framing.replace(found).is_some() {
                return Err(HttpError::Malformed("two lengths"));
            }
        }
        if matches!(response.status, 100..=199 | 204 | 304) {
            framing = Some(BodyFraming::ContentLength(0));
        }
        // Cut short by a reset, a body without a length looks complete. Only an orderly end of the connection ends it.
        let framing = framing.unwrap_or(BodyFraming::UntilClose);
        response.closes_connection |= matches!(framing, BodyFraming::UntilClose);
        src.advance(length);
        Ok(Some(PendingResponse { response, framing }))
    }

    /// The framing that a header field determines, if it is one of those that do.
    fn framing(&self, name: &str, value: &[u8]) -> Result<Option<BodyFraming>, HttpError> {
        if name.eq_ignore_ascii_case("content-length") {
            let length = content_length(value, self.body.max_bytes())?;
            return Ok(Some(BodyFraming::ContentLength(length)));
        }
        if !name.eq_ignore_ascii_case("transfer-encoding") {
            return Ok(None);
        }
        if value.eq_ignore_ascii_case(b"chunked") {
            Ok(Some(BodyFraming::Chunked(BytesMut::new())))
        } else {
            Err(HttpError::Malformed("unknown transfer encoding"))
        }
    }

    /// Completes a response by its body, or keeps it until more bytes have arrived.
    fn decode_body(
        &mut self,
        mut pending: PendingResponse,
        src: &mut BytesMut,
    ) -> Result<Option<Response>, HttpError> {
        let Some(body) = self.body.complete(&mut pending.framing, src)? else {
            self.pending = Some(pending);
            return Ok(None);
        };
        Ok(Some(Response {
            body,
            ..pending.response
        }))
    }
}

impl Response {
    /// Takes over a header field that does not determine the framing.
    fn read_field(&mut self, name: &str, value: &[u8]) {
        if name.eq_ignore_ascii_case("connection") {
            self.closes_connection |= value.eq_ignore_ascii_case(b"close");
        } else if name.eq_ignore_ascii_case("not-started") {
            self.not_started = value == b"1";
        } else if name.eq_ignore_ascii_case("server-load") {
            self.server_load = Some(Bytes::copy_from_slice(value));
        }
    }
}

impl Decoder for HttpClientCodec {
    type Item = Response;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        self.decode_head(src)?;
        if let Some(pending) = self.pending.take() {
            return self.decode_body(pending, src);
        }
        self.body.await_bytes(src, src.len() + 1)?;
        Ok(None)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        match self.decode(src)? {
            None => self.finish(src),
            response => Ok(response),
        }
    }
}

impl Encoder<Request> for HttpClientCodec {
    type Error = HttpError;

    fn encode(&mut self, request: Request, dst: &mut BytesMut) -> Result<(), HttpError> {
        let body: &[u8] = match &request.body {
            RequestBody::Inline(body) => body,
            RequestBody::Empty | RequestBody::Separate(_) => &[],
        };
        dst.reserve(256 + request.target.len() + body.len());
        dst.put_slice(request.method.as_bytes());
        dst.put_slice(b" ");
        dst.put_slice(request.target.as_bytes());
        dst.put_slice(b" HTTP/1.1\r\n");
        for (name, value) in &request.headers {
            if has_line_break(value) {
                return Err(HttpError::Malformed("line break in a header"));
            }
            dst.put_slice(name.as_bytes());
            dst.put_slice(b": ");
            dst.put_slice(value);
            dst.put_slice(CRLF);
        }
        let length = match &request.body {
            RequestBody::Empty => None,
            RequestBody::Inline(body) => Some(body.len()),
            RequestBody::Separate(length) => Some(*length),
        };
        if let Some(length) = length {
            dst.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        dst.put_slice(CRLF);
        dst.put_slice(body);
        Ok(())
    }
}
