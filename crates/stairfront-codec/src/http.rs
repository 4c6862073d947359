//! The client's side of HTTP/1.1 as a tokio-util codec; httparse reads heads and chunk sizes.
use std::io;
use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::budget::{Budget, Claim};
use crate::part::{Part, LARGEST_WHOLE};
use crate::resp::cut_frame;

pub(crate) const MOST_HEADERS: usize = 48;
pub(crate) const LARGEST_HEAD: usize = 16 * 1024;
/// Interim answers (1xx) ahead of one; more are noise without an end.
const MOST_INTERIM: u32 = 16;

#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("invalid HTTP response: {0}")]
    Malformed(&'static str),
}

/// A request; names and values must hold no line breaks.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub target: String,
    pub headers: Vec<(&'static str, Bytes)>,
    pub body: Body,
}

/// What a request brings.
#[derive(Clone, Debug)]
pub enum Body {
    None,
    Here(Bytes),
    /// So many bytes, which whoever sends it writes behind the head.
    Behind(usize),
}

/// A whole response with the headers that this project reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub not_started: bool,
    pub load: Option<Bytes>,
    /// The connection takes no further request.
    pub last: bool,
    pub body: Bytes,
}

/// How the body's end is told.
#[derive(Debug)]
enum Told {
    Sized(usize),
    /// What has come of it so far.
    Chunked(BytesMut),
    /// By the proper end of the connection alone.
    Closed,
}

/// Reads one response after the other; `largest_body` bounds each.
#[derive(Debug)]
pub struct HttpCodec {
    largest_body: usize,
    claim: Claim,
    head: Option<(Response, Told)>,
    /// Interim answers since the last real one.
    interim: u32,
    /// A large body under way, and how much of it is still to come.
    large: Option<(Response, usize)>,
}

impl HttpCodec {
    pub fn new(largest_body: usize, budget: &Rc<Budget>) -> Self {
        HttpCodec {
            largest_body,
            claim: Claim::new(budget),
            head: None,
            interim: 0,
            large: None,
        }
    }

    fn read_head(&self, src: &mut BytesMut) -> Result<Option<(Response, Told)>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let end = match parsed.parse(src) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) if src.len() > LARGEST_HEAD => {
                return Err(HttpError::Malformed("head too large"))
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed("head")),
        };
        if parsed.version != Some(1) {
            return Err(HttpError::Malformed("not HTTP/1.1"));
        }
        let mut response = Response {
            status: parsed.code.unwrap_or_default(),
            ..Response::default()
        };
        let mut body = None;
        for header in parsed.headers.iter() {
            let value = header.value.trim_ascii();
            let length = header.name.eq_ignore_ascii_case("content-length");
            if length || header.name.eq_ignore_ascii_case("transfer-encoding") {
                let told = if length {
                    Told::Sized(self.length(value)?)
                } else if value.eq_ignore_ascii_case(b"chunked") {
                    Told::Chunked(BytesMut::new())
                } else {
                    return Err(HttpError::Malformed("unknown transfer encoding"));
                };
                // Danger: of two lengths one is wrong, and the body would be cut or run into the next answer.
                if body.replace(told).is_some() {
                    return Err(HttpError::Malformed("two lengths"));
                }
            } else if header.name.eq_ignore_ascii_case("connection") {
                response.last |= value.eq_ignore_ascii_case(b"close");
            } else if header.name.eq_ignore_ascii_case("not-started") {
                response.not_started = value == b"1";
            } else if header.name.eq_ignore_ascii_case("server-load") {
                response.load = Some(Bytes::copy_from_slice(value));
            }
        }
        if matches!(response.status, 100..=199 | 204 | 304) {
            body = Some(Told::Sized(0));
        }
        // Danger: cut short by a reset such a body looks whole; only a connection that was ended properly tells its end.
        let body = body.unwrap_or(Told::Closed);
        response.last |= matches!(body, Told::Closed);
        src.advance(end);
        Ok(Some((response, body)))
    }

    fn length(&self, text: &[u8]) -> Result<usize, HttpError> {
        let digits = text.iter().all(u8::is_ascii_digit);
        let length = std::str::from_utf8(text)
            .ok()
            .filter(|_| digits)
            .and_then(|t| t.parse::<usize>().ok());
        match length {
            Some(length) if length <= self.largest_body => Ok(length),
            Some(_) => Err(HttpError::Malformed("body too large")),
            None => Err(HttpError::Malformed("content length")),
        }
    }

    /// Moves whole chunks over; true at the last one.
    fn read_chunks(
        src: &mut BytesMut,
        body: &mut BytesMut,
        largest: usize,
    ) -> Result<bool, HttpError> {
        loop {
            let (start, size) = match httparse::parse_chunk_size(src) {
                Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
                Ok(httparse::Status::Partial) if src.len() > LARGEST_HEAD => {
                    return Err(HttpError::Malformed("chunk size"))
                }
                Ok(httparse::Status::Partial) => return Ok(false),
                Err(_) => return Err(HttpError::Malformed("chunk size")),
            };
            if size > largest - body.len() {
                return Err(HttpError::Malformed("body too large"));
            }
            if src.len() < start + size + 2 {
                return Ok(false);
            }
            // Trailers are not read: nothing here sends any.
            if &src[start + size..start + size + 2] != b"\r\n" {
                return Err(HttpError::Malformed("chunk end"));
            }
            src.advance(start);
            body.extend_from_slice(&src.split_to(size));
            src.advance(2);
            if size == 0 {
                return Ok(true);
            }
        }
    }

    fn read_body(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        let Some((mut response, mut body)) = self.head.take() else {
            return Ok(None);
        };
        let needed = match &body {
            Told::Sized(length) => *length,
            Told::Chunked(done) => done.len() + src.len(),
            Told::Closed if src.len() > self.largest_body => {
                return Err(HttpError::Malformed("body too large"))
            }
            Told::Closed => src.len(),
        };
        if !self.claim.hold(needed) {
            return Err(HttpError::Malformed("no memory for so large a body"));
        }
        let whole = match &mut body {
            Told::Sized(length) if src.len() >= *length => Some(cut_frame(src, *length)),
            Told::Sized(length) => {
                src.reserve(*length - src.len());
                None
            }
            Told::Chunked(done) => Self::read_chunks(src, done, self.largest_body)?
                .then(|| std::mem::take(done).freeze()),
            Told::Closed => None,
        };
        match whole {
            Some(bytes) => {
                let _ = self.claim.hold(0);
                response.body = bytes;
                Ok(Some(response))
            }
            None => {
                self.head = Some((response, body));
                Ok(None)
            }
        }
    }

    /// The head of the next real answer, unless it stands read already.
    fn find_head(&mut self, src: &mut BytesMut) -> Result<(), HttpError> {
        while self.head.is_none() && !src.is_empty() {
            let Some((response, body)) = self.read_head(src)? else {
                break;
            };
            if response.status >= 200 {
                (self.head, self.interim) = (Some((response, body)), 0);
            } else if self.interim == MOST_INTERIM {
                return Err(HttpError::Malformed("too many interim answers"));
            } else {
                // An interim answer (100 Continue) stands before the real one.
                self.interim += 1;
            }
        }
        Ok(())
    }

    fn next(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        self.find_head(src)?;
        self.read_body(src)
    }

    /// The same for bodies that may be too large to be held: a good answer whose length is told and above
    /// `LARGEST_WHOLE` comes in pieces. One in chunks has no length before its end, and comes whole.
    pub fn next_part(&mut self, src: &mut BytesMut) -> Result<Option<Part<Response>>, HttpError> {
        match self.large.take() {
            Some((response, 0)) => return Ok(Some(Part::Done(response))),
            Some((response, left)) => {
                let piece = src.split_to(left.min(src.len())).freeze();
                self.large = Some((response, left - piece.len()));
                return Ok(Some(piece)
                    .filter(|piece| !piece.is_empty())
                    .map(Part::Piece));
            }
            None => self.find_head(src)?,
        }
        match self.head.take() {
            Some((response, Told::Sized(length)))
                if response.status == 200 && length > LARGEST_WHOLE =>
            {
                self.large = Some((response.clone(), length));
                Ok(Some(Part::Begun(length, response)))
            }
            head => {
                self.head = head;
                Ok(self.read_body(src)?.map(Part::Whole))
            }
        }
    }

    /// What the proper end of the connection makes whole, where the reader has found no more; whatever else has begun is cut.
    pub fn end(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        if let Some((response, Told::Closed)) = &mut self.head {
            let length = src.len();
            let whole = Response {
                body: cut_frame(src, length),
                ..std::mem::take(response)
            };
            self.head = None;
            let _ = self.claim.hold(0);
            return Ok(Some(whole));
        }
        match self.head.is_some() || self.large.is_some() || !src.is_empty() {
            true => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            false => Ok(None),
        }
    }
}

impl Decoder for HttpCodec {
    type Item = Response;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        self.next(src)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        match self.next(src)? {
            None => self.end(src),
            response => Ok(response),
        }
    }
}

impl Encoder<Request> for HttpCodec {
    type Error = HttpError;

    fn encode(&mut self, request: Request, dst: &mut BytesMut) -> Result<(), HttpError> {
        let body: &[u8] = if let Body::Here(body) = &request.body {
            body
        } else {
            &[]
        };
        dst.reserve(256 + request.target.len() + body.len());
        dst.put_slice(request.method.as_bytes());
        dst.put_slice(b" ");
        dst.put_slice(request.target.as_bytes());
        dst.put_slice(b" HTTP/1.1\r\n");
        for (name, value) in &request.headers {
            if value.iter().any(|b| matches!(b, b'\r' | b'\n' | 0)) {
                return Err(HttpError::Malformed("line break in a header"));
            }
            dst.put_slice(name.as_bytes());
            dst.put_slice(b": ");
            dst.put_slice(value);
            dst.put_slice(b"\r\n");
        }
        match &request.body {
            Body::None => dst.put_slice(b"\r\n"),
            Body::Here(body) => {
                dst.put_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes())
            }
            Body::Behind(length) => {
                dst.put_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes())
            }
        }
        dst.put_slice(body);
        Ok(())
    }
}
