//! A parser that finds the spans of values in a buffer, without cutting it.
use std::ops::Range;

use bytes::Bytes;

use super::Value;

/// Longest line in bytes: a length, a status, or an error with a load report.
pub(super) const MAX_LINE_BYTES: usize = 1024;
/// The longest command has five elements, `CLIENT` commands a few more.
const MAX_ARRAY_LENGTH: usize = 32;
/// Arrays in arrays. None is expected, and one level is harmless.
const MAX_DEPTH: usize = 2;
/// Elements of a command with a value, which is the last of them.
pub(super) const ELEMENTS_WITH_VALUE: usize = 5;
const CRLF: &[u8] = b"\r\n";

/// Why a value was not parsed.
pub(super) enum ParseError {
    /// The message has at least so many bytes, counted from the start of the buffer.
    Incomplete { required: usize },
    /// No further byte will make it valid.
    Malformed(&'static str),
}

/// The limits on bulk strings, in bytes.
#[derive(Clone, Copy)]
pub(super) struct BulkLimits {
    pub usual: usize,
    /// Of the last element of a command with a value.
    pub value: usize,
}

impl BulkLimits {
    /// The same limit for all bulk strings.
    pub fn uniform(limit: usize) -> Self {
        BulkLimits {
            usual: limit,
            value: limit,
        }
    }

    /// The greater of both limits.
    pub fn max(self) -> usize {
        self.usual.max(self.value)
    }
}

/// A value by its place in the buffer.
pub(super) enum ValueSpan {
    Simple(Range<usize>),
    Error(Range<usize>),
    Integer(Range<usize>),
    Bulk(Range<usize>),
    Null,
    Array(Vec<ValueSpan>),
}

impl ValueSpan {
    /// The value, as slices of the frame that was cut from the buffer.
    pub fn slice(self, frame: &Bytes) -> Value {
        match self {
            ValueSpan::Simple(span) => Value::Simple(frame.slice(span)),
            ValueSpan::Error(span) => Value::Error(frame.slice(span)),
            ValueSpan::Integer(span) => Value::Integer(frame.slice(span)),
            ValueSpan::Bulk(span) => Value::Bulk(frame.slice(span)),
            ValueSpan::Null => Value::Null,
            ValueSpan::Array(items) => {
                Value::Array(items.into_iter().map(|item| item.slice(frame)).collect())
            }
        }
    }
}

/// Parses values from the front of a buffer.
pub(super) struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
    /// The limit on the next bulk string.
    max_bulk: usize,
    /// The limit on the last element of a command with a value.
    max_value: usize,
}

impl<'a> Parser<'a> {
    /// A parser of a buffer, from an offset on.
    pub fn new(bytes: &'a [u8], position: usize, limits: BulkLimits) -> Self {
        Parser {
            bytes,
            position,
            max_bulk: limits.usual,
            max_value: limits.value,
        }
    }

    /// Offset in the buffer behind what was parsed.
    pub fn position(&self) -> usize {
        self.position
    }

    /// The next value.
    pub fn value(&mut self) -> Result<ValueSpan, ParseError> {
        self.value_of_depth(MAX_DEPTH)
    }

    /// The next value, with so many levels of arrays at most.
    pub fn value_of_depth(&mut self, depth: usize) -> Result<ValueSpan, ParseError> {
        let Some(kind) = self.bytes.get(self.position).copied() else {
            return Err(self.incomplete());
        };
        if !b"+-:$*".contains(&kind) {
            return Err(ParseError::Malformed("unknown type"));
        }
        self.position += 1;
        let line = self.line()?;
        match kind {
            b'+' => Ok(ValueSpan::Simple(line)),
            b'-' => Ok(ValueSpan::Error(line)),
            b':' => Ok(ValueSpan::Integer(line)),
            b'$' => match self.length(line, self.max_bulk)? {
                Some(length) => self.bulk(length),
                None => Ok(ValueSpan::Null),
            },
            _ if depth == 0 => Err(ParseError::Malformed("arrays nested too deep")),
            _ => match self.length(line, MAX_ARRAY_LENGTH)? {
                Some(count) => self.array(count, depth - 1),
                None => Ok(ValueSpan::Null),
            },
        }
    }

    /// The next line, without its end.
    pub fn line(&mut self) -> Result<Range<usize>, ParseError> {
        let rest = &self.bytes[self.position..];
        let window = &rest[..rest.len().min(MAX_LINE_BYTES)];
        let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
            return Err(if rest.len() >= MAX_LINE_BYTES {
                ParseError::Malformed("line too long")
            } else {
                self.incomplete()
            });
        };
        if end == 0 || window[end - 1] != b'\r' {
            return Err(ParseError::Malformed("line does not end in CRLF"));
        }
        let line = self.position..self.position + end - 1;
        self.position += end + 1;
        Ok(line)
    }

    /// The length that a line states; `None` for -1, which stands for null.
    pub fn length(&self, line: Range<usize>, max: usize) -> Result<Option<usize>, ParseError> {
        let text = std::str::from_utf8(&self.bytes[line])
            .map_err(|_| ParseError::Malformed("invalid length"))?;
        if text == "-1" {
            return Ok(None);
        }
        match text.parse::<usize>() {
            Ok(length) if length <= max && !text.starts_with('+') => Ok(Some(length)),
            Ok(_) => Err(ParseError::Malformed("length out of bounds")),
            Err(_) => Err(ParseError::Malformed("invalid length")),
        }
    }

    /// The place of the next value, which has to be a bulk string.
    pub fn bulk_string(&mut self) -> Result<Range<usize>, ParseError> {
        match self.value_of_depth(0)? {
            ValueSpan::Bulk(span) => Ok(span),
            _ => Err(ParseError::Malformed("expected a bulk string")),
        }
    }

    fn array(&mut self, count: usize, depth: usize) -> Result<ValueSpan, ParseError> {
        let max_usual = self.max_bulk;
        let mut items = Vec::new();
        for i in 0..count {
            let is_value = count == ELEMENTS_WITH_VALUE && i + 1 == count;
            self.max_bulk = if is_value { self.max_value } else { max_usual };
            items.push(self.value_of_depth(depth)?);
        }
        self.max_bulk = max_usual;
        Ok(ValueSpan::Array(items))
    }

    fn bulk(&mut self, length: usize) -> Result<ValueSpan, ParseError> {
        let end = self.position + length;
        let required = end + CRLF.len();
        if self.bytes.len() < required {
            return Err(ParseError::Incomplete { required });
        }
        if &self.bytes[end..required] != CRLF {
            return Err(ParseError::Malformed("bulk string does not end in CRLF"));
        }
        let span = self.position..end;
        self.position = required;
        Ok(ValueSpan::Bulk(span))
    }

    fn incomplete(&self) -> ParseError {
        ParseError::Incomplete {
            required: self.bytes.len() + 1,
        }
    }
}
