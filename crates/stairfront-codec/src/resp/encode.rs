//! The encoding of values.
use bytes::{BufMut, BytesMut};

/// Writes a line of one type, such as `-ERR failed`. The text must have no line break.
pub fn put_line(dst: &mut BytesMut, kind: u8, text: &[u8]) {
    dst.reserve(text.len() + 3);
    dst.put_u8(kind);
    dst.put_slice(text);
    dst.put_slice(b"\r\n");
}

/// Writes a line with a number: the head of an array (`*`) or of a bulk string (`$`), or an integer (`:`).
pub fn put_number(dst: &mut BytesMut, kind: u8, number: usize) {
    put_line(dst, kind, number.to_string().as_bytes());
}

/// Writes a bulk string.
pub fn put_bulk(dst: &mut BytesMut, bytes: &[u8]) {
    put_number(dst, b'$', bytes.len());
    dst.reserve(bytes.len() + 2);
    dst.put_slice(bytes);
    dst.put_slice(b"\r\n");
}

/// Writes a null bulk string.
pub fn put_null(dst: &mut BytesMut) {
    dst.put_slice(b"$-1\r\n");
}
