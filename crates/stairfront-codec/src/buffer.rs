//! Read and write buffers of a known size, the frames that are cut from them, and memory that they release.
//!
//! A connection always has a read buffer of [`MAX_RETAINED_CAPACITY`]; a greater one is reserved at its capacity before it
//! is made, for the one message that needs it.
use bytes::{Buf, Bytes, BytesMut};

use crate::budget::Reservation;

/// Capacity in bytes of a buffer that a connection keeps. Nothing is reserved for it.
pub const MAX_RETAINED_CAPACITY: usize = 4 * 1024;
/// A buffer with less free space is compacted before it is read into.
const MIN_READ_SPACE: usize = 512;

/// A frame from a read buffer.
#[derive(Debug)]
pub struct Frame {
    /// Its bytes.
    pub bytes: Bytes,
    /// Whether it has the whole buffer into which it was read, so that the buffer's reservation goes with it.
    pub has_buffer: bool,
}

/// Removes a frame of so many bytes from the front of a read buffer.
///
/// A slice keeps the whole buffer that it was cut from in memory, for as long as its request lasts. So a frame is copied,
/// but for one that fills most of a buffer that was made for it.
pub fn cut_frame(src: &mut BytesMut, length: usize) -> Frame {
    let capacity = src.capacity();
    if capacity <= MAX_RETAINED_CAPACITY || length < capacity / 2 {
        let bytes = Bytes::copy_from_slice(&src[..length]);
        src.advance(length);
        if capacity > MAX_RETAINED_CAPACITY {
            *src = copy_with_capacity(src, MAX_RETAINED_CAPACITY);
        }
        return Frame {
            bytes,
            has_buffer: false,
        };
    }
    let rest = copy_with_capacity(&src[length..], MAX_RETAINED_CAPACITY);
    let mut buffer = std::mem::replace(src, rest);
    buffer.truncate(length);
    Frame {
        bytes: buffer.freeze(),
        has_buffer: true,
    }
}

/// A buffer of exactly this capacity, or that of the bytes, with a copy of the bytes.
pub fn copy_with_capacity(bytes: &[u8], capacity: usize) -> BytesMut {
    let mut buffer = BytesMut::with_capacity(capacity.max(bytes.len()));
    buffer.extend_from_slice(bytes);
    buffer
}

/// Makes space in a read buffer for a message of so many bytes, of which all that has come is at its front. Returns false,
/// and changes nothing, if its memory cannot be reserved.
#[must_use]
pub(crate) fn prepare_read(
    src: &mut BytesMut,
    required: usize,
    reservation: &mut Reservation,
) -> bool {
    if src.capacity() >= required && src.capacity() - src.len() >= MIN_READ_SPACE.min(required) {
        return true;
    }
    if required <= MAX_RETAINED_CAPACITY {
        *src = copy_with_capacity(src, MAX_RETAINED_CAPACITY);
        return true;
    }
    if src.capacity() >= required && src.capacity() > src.len() {
        return true;
    }
    // A message whose length is not known yet needs one byte more, and a buffer that is not made anew for each of them.
    let capacity = if required == src.len() + 1 {
        required.next_multiple_of(MAX_RETAINED_CAPACITY)
    } else {
        required
    };
    // Both buffers are there while the bytes are copied.
    if !reservation.try_resize(reservation.bytes() + capacity) {
        return false;
    }
    *src = copy_with_capacity(src, capacity);
    // A smaller reservation is never refused.
    reservation.try_resize(capacity)
}

/// Releases the memory of an empty write buffer that a large message has made grow.
pub fn shrink(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_RETAINED_CAPACITY {
        *buffer = BytesMut::new();
    }
}
