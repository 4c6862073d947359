//! RESP2 as tokio-util codecs: commands in and answers out towards clients, commands out and replies in towards
//! cache hosts. Decoded parts are slices of the read buffer.
use std::io;
use std::ops::Range;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::budget::{Budget, Claim};
use crate::messages::{Answer, Outgoing, Verb};

/// The protocol's limit on values that clients send; other bulk strings of theirs are held to it too.
pub const LARGEST_BULK: usize = 64 * 1024;
/// Longest line: a length, a status or an error with a load report.
const LONGEST_LINE: usize = 1024;
/// Most elements of an array; the longest command has five, `CLIENT` ones a few more.
const MOST_ELEMENTS: usize = 32;
/// Arrays in arrays: none is expected, one level is harmless.
const DEEPEST: usize = 2;
/// What a frame may have beyond its value; without this bound a peer could have a buffer grow for ever.
const FRAME_MARGIN: usize = 8 * 1024;
/// Buffers above this are not kept once empty, and small slices of them are copied out: a slice keeps its whole
/// buffer alive.
pub const ROOMY_BUFFER: usize = 16 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum RespError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("protocol error: {0}")]
    Malformed(&'static str),
}

/// One RESP2 value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    Simple(Bytes),
    Error(Bytes),
    Integer(Bytes),
    Bulk(Bytes),
    Null,
    Array(Vec<Value>),
}

/// The same before the buffer is cut: places in it.
enum Place {
    Simple(Range<usize>),
    Error(Range<usize>),
    Integer(Range<usize>),
    Bulk(Range<usize>),
    Null,
    Array(Vec<Place>),
}

impl Place {
    fn cut(self, frame: &Bytes) -> Value {
        match self {
            Place::Simple(at) => Value::Simple(frame.slice(at)),
            Place::Error(at) => Value::Error(frame.slice(at)),
            Place::Integer(at) => Value::Integer(frame.slice(at)),
            Place::Bulk(at) => Value::Bulk(frame.slice(at)),
            Place::Null => Value::Null,
            Place::Array(items) => Value::Array(items.into_iter().map(|item| item.cut(frame)).collect()),
        }
    }
}

/// What stopped the parser: more bytes are needed, or no bytes will help.
enum Stop {
    /// At least so many in all.
    Need(usize),
    Broken(&'static str),
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
    largest_bulk: usize,
}

impl Parser<'_> {
    fn line(&mut self) -> Result<Range<usize>, Stop> {
        let rest = &self.bytes[self.at..];
        let window = &rest[..rest.len().min(LONGEST_LINE)];
        let Some(end) = window.iter().position(|b| *b == b'\n') else {
            let too_long = rest.len() >= LONGEST_LINE;
            return Err(if too_long {
                Stop::Broken("line too long")
            } else {
                Stop::Need(self.bytes.len() + 1)
            });
        };
        if end == 0 || window[end - 1] != b'\r' {
            return Err(Stop::Broken("line does not end in CRLF"));
        }
        let line = self.at..self.at + end - 1;
        self.at += end + 1;
        Ok(line)
    }

    /// A length; -1 stands for null.
    fn length(&self, line: Range<usize>, most: usize) -> Result<Option<usize>, Stop> {
        let text = std::str::from_utf8(&self.bytes[line]).map_err(|_| Stop::Broken("invalid length"))?;
        if text == "-1" {
            return Ok(None);
        }
        match text.parse::<usize>() {
            Ok(length) if length <= most && !text.starts_with('+') => Ok(Some(length)),
            Ok(_) => Err(Stop::Broken("length out of bounds")),
            Err(_) => Err(Stop::Broken("invalid length")),
        }
    }

    fn value(&mut self, depth: usize) -> Result<Place, Stop> {
        let Some(kind) = self.bytes.get(self.at).copied() else {
            return Err(Stop::Need(self.bytes.len() + 1));
        };
        if !b"+-:$*".contains(&kind) {
            return Err(Stop::Broken("unknown type"));
        }
        self.at += 1;
        let line = self.line()?;
        match kind {
            b'+' => Ok(Place::Simple(line)),
            b'-' => Ok(Place::Error(line)),
            b':' => Ok(Place::Integer(line)),
            b'$' => match self.length(line, self.largest_bulk)? {
                Some(length) => self.bulk(length),
                None => Ok(Place::Null),
            },
            _ if depth == 0 => Err(Stop::Broken("arrays nested too deep")),
            _ => match self.length(line, MOST_ELEMENTS)? {
                Some(count) => {
                    (0..count).map(|_| self.value(depth - 1)).collect::<Result<_, _>>().map(Place::Array)
                }
                None => Ok(Place::Null),
            },
        }
    }

    fn bulk(&mut self, length: usize) -> Result<Place, Stop> {
        let (end, whole) = (self.at + length, self.at + length + 2);
        if self.bytes.len() < whole {
            return Err(Stop::Need(whole));
        }
        if &self.bytes[end..whole] != b"\r\n" {
            return Err(Stop::Broken("bulk string does not end in CRLF"));
        }
        let place = Place::Bulk(self.at..end);
        self.at = whole;
        Ok(place)
    }
}

/// The next whole value, or none yet. Split reads leave the buffer as it is until the last byte is there.
fn decode_value(
    src: &mut BytesMut,
    largest_bulk: usize,
    claim: &mut Claim,
) -> Result<Option<Value>, RespError> {
    if src.is_empty() {
        return Ok(None);
    }
    let mut parser = Parser { bytes: src, at: 0, largest_bulk };
    match parser.value(DEEPEST) {
        Ok(place) => {
            let end = parser.at;
            // From here on it counts as what it is: a request, or an answer.
            let _ = claim.hold(0);
            Ok(Some(place.cut(&cut_frame(src, end))))
        }
        Err(Stop::Need(whole)) if whole <= largest_bulk + FRAME_MARGIN => {
            // Danger: many peers that each send most of a large message would fill the memory.
            if !claim.hold(whole) {
                return Err(RespError::Malformed("no memory for so large a message"));
            }
            src.reserve(whole - src.len());
            Ok(None)
        }
        Err(Stop::Need(_)) => Err(RespError::Malformed("message too large")),
        Err(Stop::Broken(problem)) => Err(RespError::Malformed(problem)),
    }
}

/// Takes a frame off the buffer. Danger: a slice that is kept for as long as its request keeps the whole buffer it
/// was cut from. Where that is large, a small frame is copied out, and what follows moves to a new buffer.
pub fn cut_frame(src: &mut BytesMut, end: usize) -> Bytes {
    let roomy = src.capacity() > ROOMY_BUFFER;
    let frame = src.split_to(end);
    if roomy && src.len() < ROOMY_BUFFER {
        *src = BytesMut::from(&src[..]);
    }
    if roomy && end < ROOMY_BUFFER / 4 {
        Bytes::copy_from_slice(&frame)
    } else {
        frame.freeze()
    }
}

/// Gives back the memory of a written buffer that one large message has made grow.
pub fn shrink(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > ROOMY_BUFFER {
        *buffer = BytesMut::new();
    }
}

fn put_line(dst: &mut BytesMut, kind: u8, text: &[u8]) {
    dst.reserve(text.len() + 3);
    dst.put_u8(kind);
    dst.put_slice(text);
    dst.put_slice(b"\r\n");
}

fn put_number(dst: &mut BytesMut, kind: u8, number: usize) {
    put_line(dst, kind, number.to_string().as_bytes());
}

fn put_bulk(dst: &mut BytesMut, bytes: &[u8]) {
    put_number(dst, b'$', bytes.len());
    dst.reserve(bytes.len() + 2);
    dst.put_slice(bytes);
    dst.put_slice(b"\r\n");
}

/// Towards clients: commands in, answers out.
#[derive(Debug)]
pub struct ClientCodec {
    claim: Claim,
}

impl ClientCodec {
    pub fn new(budget: &Rc<Budget>) -> Self {
        ClientCodec { claim: Claim::new(budget) }
    }
}

impl Decoder for ClientCodec {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, RespError> {
        // Fail on the first byte: a peer that speaks something else may never send a line.
        if src.first().is_some_and(|b| *b != b'*') {
            return Err(RespError::Malformed("expected an array of bulk strings"));
        }
        let Some(value) = decode_value(src, LARGEST_BULK, &mut self.claim)? else { return Ok(None) };
        let Value::Array(items) = value else {
            return Err(RespError::Malformed("expected an array of bulk strings"));
        };
        let words = items.into_iter().map(|item| match item {
            Value::Bulk(word) => Ok(word),
            _ => Err(RespError::Malformed("expected a bulk string")),
        });
        words.collect::<Result<Vec<_>, _>>().map(Some)
    }
}

impl Encoder<Answer> for ClientCodec {
    type Error = RespError;

    fn encode(&mut self, answer: Answer, dst: &mut BytesMut) -> Result<(), RespError> {
        match answer {
            Answer::Value(value) => put_bulk(dst, &value),
            Answer::Busy { after_ms: Some(ms) } => put_line(dst, b'-', format!("BUSY {ms}").as_bytes()),
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

/// Towards cache hosts: commands out, replies in.
#[derive(Debug)]
pub struct CacheCodec {
    largest_value: usize,
    claim: Claim,
}

impl CacheCodec {
    pub fn new(largest_value: usize, budget: &Rc<Budget>) -> Self {
        CacheCodec { largest_value, claim: Claim::new(budget) }
    }
}

impl Decoder for CacheCodec {
    type Item = Value;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Value>, RespError> {
        decode_value(src, self.largest_value, &mut self.claim)
    }
}

impl Encoder<Outgoing> for CacheCodec {
    type Error = RespError;

    fn encode(&mut self, outgoing: Outgoing, dst: &mut BytesMut) -> Result<(), RespError> {
        let command = &outgoing.command;
        let (verb, words) = match command.verb {
            Verb::Get => (&b"C.GET"[..], 4),
            Verb::Set => (&b"C.SET"[..], 4 + usize::from(command.value.is_some())),
        };
        dst.reserve(command.bytes() + 64);
        put_number(dst, b'*', words);
        put_bulk(dst, verb);
        put_bulk(dst, &command.key);
        put_bulk(dst, &command.id);
        put_bulk(dst, &with_time_left(&command.info, outgoing.left_ms));
        if let (Verb::Set, Some(value)) = (command.verb, &command.value) {
            put_bulk(dst, value);
        }
        Ok(())
    }
}

/// The list of names and values with `d` telling how long this balancer will wait; all else as it came.
pub fn with_time_left(info: &[u8], left_ms: u64) -> Vec<u8> {
    let mut list = Vec::with_capacity(info.len() + 8);
    for pair in info.split(|b| *b == b',').filter(|pair| !pair.is_empty()) {
        if !list.is_empty() {
            list.push(b',');
        }
        if pair.starts_with(b"d=") {
            list.extend_from_slice(format!("d={left_ms}").as_bytes());
        } else {
            list.extend_from_slice(pair);
        }
    }
    list
}
