//! Shared by both sides of HTTP/1.1: the errors, the limits, and the length of a body.
use std::io;

pub(crate) const MAX_HEADER_FIELDS: usize = 48;
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why a message was not decoded or encoded.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed, or ended within a message.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The message is invalid, or above a limit; the text says in which respect.
    #[error("invalid HTTP response: {0}")]
    Malformed(&'static str),
    /// There is no memory for a message.
    #[error("no memory for a message")]
    OutOfMemory,
}

/// The length of the head that a parser has found, if it is complete.
pub(crate) fn head_length(
    parsed: httparse::Result<usize>,
    received: usize,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received > MAX_HEAD_BYTES => {
            Err(HttpError::Malformed("head too large"))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(HttpError::Malformed("head")),
    }
}

/// The value of a `Content-Length` field: digits alone (RFC 9110, section 8.6).
pub(crate) fn content_length(value: &[u8], max_body: usize) -> Result<usize, HttpError> {
    let length = std::str::from_utf8(value)
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse::<usize>().ok());
    match length {
        Some(length) if length <= max_body => Ok(length),
        Some(_) => Err(HttpError::Malformed("body too large")),
        None => Err(HttpError::Malformed("content length")),
    }
}

/// Whether a field's value has a byte that would end its line, or a NUL (RFC 9110, section 5.5).
pub(crate) fn has_line_break(value: &[u8]) -> bool {
    value.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0))
}
