//! RESP2: readers of commands and of replies, and what writes either. Decoded parts are slices of the read buffer.
use std::io;
use std::ops::Range;
use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::budget::{Budget, Claim};
use crate::part::{Part, LARGEST_WHOLE};

/// Up to here a value is a usual one; other bulk strings of clients are held to it too.
pub const LARGEST_BULK: usize = LARGEST_WHOLE;
/// The protocol's limit on values that clients send.
pub const LARGEST_VALUE: usize = 4 * 1024 * 1024;
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
    /// A large value of a client has to wait until others have gone on; in bytes, with its command. Nothing is lost: the
    /// reader goes on where it stood.
    #[error("no room for a command of {0} bytes yet")]
    NoRoom(usize),
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
            Place::Array(items) => {
                Value::Array(items.into_iter().map(|item| item.cut(frame)).collect())
            }
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
    /// The limit of the last word of a command that brings a value.
    largest_value: usize,
}

/// Words of a command that brings a value, which is the last of them.
const WORDS_WITH_VALUE: usize = 5;

impl<'a> Parser<'a> {
    /// All bulk strings have one limit.
    fn new(bytes: &'a [u8], at: usize, largest_bulk: usize) -> Self {
        Parser {
            bytes,
            at,
            largest_bulk,
            largest_value: largest_bulk,
        }
    }

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
        let text =
            std::str::from_utf8(&self.bytes[line]).map_err(|_| Stop::Broken("invalid length"))?;
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
                    let usual = self.largest_bulk;
                    let mut word = |i| {
                        let large = count == WORDS_WITH_VALUE && i + 1 == count;
                        self.largest_bulk = if large { self.largest_value } else { usual };
                        self.value(depth - 1)
                    };
                    let words = (0..count).map(&mut word).collect::<Result<_, _>>();
                    self.largest_bulk = usual;
                    words.map(Place::Array)
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
    (largest_bulk, largest_value): (usize, usize),
    claim: &mut Claim,
) -> Result<Option<Value>, RespError> {
    if src.is_empty() {
        return Ok(None);
    }
    let mut parser = Parser {
        bytes: src,
        at: 0,
        largest_bulk,
        largest_value,
    };
    match parser.value(DEEPEST) {
        Ok(place) => {
            let end = parser.at;
            // From here on it counts as what it is: a request, or an answer.
            let _ = claim.hold(0);
            Ok(Some(place.cut(&cut_frame(src, end))))
        }
        Err(Stop::Need(whole)) if whole <= largest_bulk.max(largest_value) + FRAME_MARGIN => {
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

/// A line of one kind, such as `-ERR failed`; the text must hold no line break.
pub fn put_line(dst: &mut BytesMut, kind: u8, text: &[u8]) {
    dst.reserve(text.len() + 3);
    dst.put_u8(kind);
    dst.put_slice(text);
    dst.put_slice(b"\r\n");
}

/// A line with a number: the head of an array (`*`), or an integer (`:`).
pub fn put_number(dst: &mut BytesMut, kind: u8, number: usize) {
    put_line(dst, kind, number.to_string().as_bytes());
}

pub fn put_bulk(dst: &mut BytesMut, bytes: &[u8]) {
    put_number(dst, b'$', bytes.len());
    dst.reserve(bytes.len() + 2);
    dst.put_slice(bytes);
    dst.put_slice(b"\r\n");
}

pub fn put_null(dst: &mut BytesMut) {
    dst.put_slice(b"$-1\r\n");
}

/// Reads commands: arrays of bulk strings, with one large value at the most.
#[derive(Debug)]
pub struct CommandReader {
    claim: Claim,
    /// For large values, so that they never take the room of usual commands.
    large: Claim,
}

impl CommandReader {
    pub fn new(budget: &Rc<Budget>, large: &Rc<Budget>) -> Self {
        CommandReader {
            claim: Claim::new(budget),
            large: Claim::new(large),
        }
    }

    /// The room of the command that was read last, if it had a large value: whoever keeps the value keeps the room too.
    pub fn take_room(&mut self) -> Option<Claim> {
        self.large.take()
    }

    /// How many bytes the command at the front of the buffer has at least, where they are not there yet.
    fn lacking(src: &BytesMut) -> Result<Option<usize>, RespError> {
        let mut parser = Parser {
            bytes: src,
            at: 0,
            largest_bulk: LARGEST_BULK,
            largest_value: LARGEST_VALUE,
        };
        match parser.value(DEEPEST) {
            Ok(_) => Ok(None),
            Err(Stop::Need(whole)) => Ok(Some(whole)),
            Err(Stop::Broken(problem)) => Err(RespError::Malformed(problem)),
        }
    }
}

impl Decoder for CommandReader {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, RespError> {
        if src.is_empty() {
            return Ok(None);
        }
        // Fail on the first byte: a peer that speaks something else may never send a line.
        if src.first().is_some_and(|b| *b != b'*') {
            return Err(RespError::Malformed("expected an array of bulk strings"));
        }
        let usual = LARGEST_BULK + FRAME_MARGIN;
        let value = match Self::lacking(src)? {
            Some(whole) if whole > LARGEST_VALUE + FRAME_MARGIN => {
                return Err(RespError::Malformed("message too large"))
            }
            Some(whole) if whole > usual => {
                // Danger: senders of large values would fill the memory together. Each has room for all of its command
                // before more of it is read.
                if !self.large.hold(whole) {
                    return Err(match self.large.could_hold(whole) {
                        true => RespError::NoRoom(whole),
                        false => RespError::Malformed("no memory for so large a message"),
                    });
                }
                src.reserve(whole - src.len());
                return Ok(None);
            }
            // There, or a usual one.
            _ => decode_value(src, (LARGEST_BULK, LARGEST_VALUE), &mut self.claim)?,
        };
        let Some(value) = value else { return Ok(None) };
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

/// Reads replies, whatever their form; `largest_value` bounds each bulk string in bytes.
#[derive(Debug)]
pub struct ReplyReader {
    largest_value: usize,
    claim: Claim,
}

impl ReplyReader {
    pub fn new(largest_value: usize, budget: &Rc<Budget>) -> Self {
        ReplyReader {
            largest_value,
            claim: Claim::new(budget),
        }
    }
}

impl Decoder for ReplyReader {
    type Item = Value;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Value>, RespError> {
        decode_value(
            src,
            (self.largest_value, self.largest_value),
            &mut self.claim,
        )
    }
}

/// Reads replies of cache hosts. `largest_value` bounds a value in bytes; above `LARGEST_WHOLE` it comes in pieces, where it
/// stands first in an array of three.
#[derive(Debug)]
pub struct PartReader {
    largest_value: usize,
    claim: Claim,
    at: At,
}

/// Where a reader stands.
#[derive(Clone, Copy, Debug)]
enum At {
    Reply,
    /// So many bytes of a large value are still to come.
    Value(usize),
    /// Behind one: the end of its line, and two more values.
    Behind,
}

/// How a reply with a large value begins, up to its length.
const LARGE_HEAD: &[u8] = b"*3\r\n$";

impl PartReader {
    pub fn new(largest_value: usize, budget: &Rc<Budget>) -> Self {
        PartReader {
            largest_value,
            claim: Claim::new(budget),
            at: At::Reply,
        }
    }

    /// The length of a large value, if the next reply brings one; its head is then taken off.
    fn large(&self, src: &mut BytesMut) -> Result<Option<usize>, RespError> {
        if !src.starts_with(LARGE_HEAD) {
            return Ok(None);
        }
        let mut parser = Parser::new(src, LARGE_HEAD.len(), self.largest_value);
        let length = parser
            .line()
            .and_then(|line| parser.length(line, self.largest_value));
        let head = parser.at;
        match length {
            Ok(Some(length)) if length > LARGEST_WHOLE => {
                src.advance(head);
                Ok(Some(length))
            }
            // A small one, or none: read as a whole, and so is what is not yet there.
            Ok(_) | Err(Stop::Need(_)) => Ok(None),
            Err(Stop::Broken(problem)) => Err(RespError::Malformed(problem)),
        }
    }

    fn piece(src: &mut BytesMut, left: usize) -> Bytes {
        let length = left.min(src.len());
        src.split_to(length).freeze()
    }

    /// What stands behind a large value, as the reply that it belongs to.
    fn behind(src: &mut BytesMut) -> Result<Option<Value>, RespError> {
        if src.len() < 2 {
            return Ok(None);
        }
        if &src[..2] != b"\r\n" {
            return Err(RespError::Malformed("bulk string does not end in CRLF"));
        }
        let mut parser = Parser::new(src, 2, LONGEST_LINE);
        match parser
            .value(1)
            .and_then(|first| Ok((first, parser.value(1)?)))
        {
            Ok((first, second)) => {
                let end = parser.at;
                let frame = cut_frame(src, end);
                Ok(Some(large_reply(first.cut(&frame), second.cut(&frame))))
            }
            Err(Stop::Need(whole)) if whole <= FRAME_MARGIN => Ok(None),
            Err(Stop::Need(_)) => Err(RespError::Malformed("message too large")),
            Err(Stop::Broken(problem)) => Err(RespError::Malformed(problem)),
        }
    }
}

/// A reply whose value came in pieces, and stands empty in it.
fn large_reply(first: Value, second: Value) -> Value {
    Value::Array(vec![Value::Bulk(Bytes::new()), first, second])
}

impl Decoder for PartReader {
    type Item = Part<Value>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Part<Value>>, RespError> {
        match self.at {
            At::Reply => match self.large(src)? {
                Some(length) => {
                    self.at = At::Value(length);
                    Ok(Some(Part::Begun(
                        length,
                        large_reply(Value::Null, Value::Null),
                    )))
                }
                None => Ok(
                    decode_value(src, (LARGEST_WHOLE, LARGEST_WHOLE), &mut self.claim)?
                        .map(Part::Whole),
                ),
            },
            At::Value(_) if src.is_empty() => Ok(None),
            At::Value(left) => {
                let piece = Self::piece(src, left);
                self.at = if piece.len() == left {
                    At::Behind
                } else {
                    At::Value(left - piece.len())
                };
                Ok(Some(Part::Piece(piece)))
            }
            At::Behind => {
                let reply = Self::behind(src)?;
                if reply.is_some() {
                    self.at = At::Reply;
                }
                Ok(reply.map(Part::Done))
            }
        }
    }
}
