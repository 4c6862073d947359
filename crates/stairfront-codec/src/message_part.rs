//! Replies whose value may be too large to be buffered, in the parts in which they are passed on.
use bytes::Bytes;

/// Longest value, in bytes, that is buffered as a whole. A longer one is passed on in chunks as it arrives.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A reply of a protocol, or a part of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessagePart<R> {
    /// The whole reply.
    Complete(R),
    /// The head of a reply whose value follows in chunks.
    Head {
        /// Length of the value in bytes.
        length: usize,
        /// The reply as far as it is known, with an empty value.
        reply: R,
    },
    /// The next bytes of the value.
    Chunk(Bytes),
    /// The end of a reply in chunks: the reply with what followed the value, which is empty in it.
    End(R),
}
