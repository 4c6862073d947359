//! The server's side of HTTP/1.1: requests in, responses out. Bodies have a length; what else there is, a stand-in or
//! a front has no use for and turns away.
use std::io;
use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::budget::{Budget, Claim};
use crate::http::{HttpError, LARGEST_HEAD, MOST_HEADERS};
use crate::resp::cut_frame;

/// One whole request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    pub headers: Vec<(String, Bytes)>,
    pub body: Bytes,
    /// The client wants the connection closed after the answer.
    pub last: bool,
}

impl Received {
    /// The first header of that name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// One response; names and values must hold no line breaks.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub reason: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

/// Reads one request after the other; `largest_body` bounds each in bytes.
#[derive(Debug)]
pub struct HttpServerCodec {
    largest_body: usize,
    claim: Claim,
    head: Option<(Received, usize)>,
}

impl HttpServerCodec {
    pub fn new(largest_body: usize, budget: &Rc<Budget>) -> Self {
        HttpServerCodec {
            largest_body,
            claim: Claim::new(budget),
            head: None,
        }
    }

    fn read_head(&self, src: &mut BytesMut) -> Result<Option<(Received, usize)>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let end = match parsed.parse(src) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) if src.len() > LARGEST_HEAD => {
                return Err(HttpError::Malformed("head too large"))
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed("head")),
        };
        let word = |text: Option<&str>| text.unwrap_or_default().to_string();
        let mut request = Received {
            method: word(parsed.method),
            target: word(parsed.path),
            // HTTP/1.0 keeps no connection unasked.
            last: parsed.version != Some(1),
            ..Received::default()
        };
        let mut length = None;
        for header in parsed.headers.iter() {
            let value = header.value.trim_ascii();
            if header.name.eq_ignore_ascii_case("content-length") {
                // Danger: of two lengths one is wrong, and the body would run into the next request.
                if length.replace(self.length(value)?).is_some() {
                    return Err(HttpError::Malformed("two lengths"));
                }
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(HttpError::Malformed("transfer encoding"));
            } else if header.name.eq_ignore_ascii_case("connection") {
                request.last |= value.eq_ignore_ascii_case(b"close");
            }
            request
                .headers
                .push((header.name.to_string(), Bytes::copy_from_slice(value)));
        }
        src.advance(end);
        Ok(Some((request, length.unwrap_or(0))))
    }

    fn length(&self, text: &[u8]) -> Result<usize, HttpError> {
        let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
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
}

impl Decoder for HttpServerCodec {
    type Item = Received;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Received>, HttpError> {
        if self.head.is_none() && !src.is_empty() {
            self.head = self.read_head(src)?;
        }
        let Some((mut request, length)) = self.head.take() else {
            return Ok(None);
        };
        if !self.claim.hold(length) {
            return Err(HttpError::Malformed("no memory for so large a body"));
        }
        if src.len() < length {
            src.reserve(length - src.len());
            self.head = Some((request, length));
            return Ok(None);
        }
        request.body = if length == 0 {
            Bytes::new()
        } else {
            cut_frame(src, length)
        };
        let _ = self.claim.hold(0);
        Ok(Some(request))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Received>, HttpError> {
        match self.decode(src)? {
            None if self.head.is_some() || !src.is_empty() => {
                Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
            }
            request => Ok(request),
        }
    }
}

impl Encoder<Reply> for HttpServerCodec {
    type Error = HttpError;

    fn encode(&mut self, reply: Reply, dst: &mut BytesMut) -> Result<(), HttpError> {
        dst.reserve(128 + reply.body.len());
        dst.put_slice(format!("HTTP/1.1 {} {}\r\n", reply.status, reply.reason).as_bytes());
        for (name, value) in &reply.headers {
            if value.bytes().any(|b| matches!(b, b'\r' | b'\n' | 0)) {
                return Err(HttpError::Malformed("line break in a header"));
            }
            dst.put_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        dst.put_slice(format!("Content-Length: {}\r\n\r\n", reply.body.len()).as_bytes());
        dst.put_slice(&reply.body);
        Ok(())
    }
}
