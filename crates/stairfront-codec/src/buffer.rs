//! Read and write buffers: frames that are cut from them, and memory that they release.
use bytes::{Bytes, BytesMut};

/// Buffers with a capacity above this are not kept once they are empty, and small frames are copied out of them.
pub const MAX_RETAINED_CAPACITY: usize = 16 * 1024;

/// Removes a frame of so many bytes from the front of a read buffer.
///
/// A slice keeps the whole buffer that it was cut from in memory, for as long as its request lasts. So a small frame is
/// copied out of a large buffer, and the bytes behind it move to a new one.
pub fn cut_frame(src: &mut BytesMut, length: usize) -> Bytes {
    let is_large = src.capacity() > MAX_RETAINED_CAPACITY;
    let frame = src.split_to(length);
    if is_large && src.len() < MAX_RETAINED_CAPACITY {
        *src = BytesMut::from(&src[..]);
    }
    if is_large && length < MAX_RETAINED_CAPACITY / 4 {
        Bytes::copy_from_slice(&frame)
    } else {
        frame.freeze()
    }
}

/// Releases the memory of an empty write buffer that a large message has made grow.
pub fn shrink(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_RETAINED_CAPACITY {
        *buffer = BytesMut::new();
    }
}
