//! Replies whose value may be too large to be held: they come in parts.
use bytes::Bytes;

/// A value up to this size is read whole before anything of it is used; a larger one is passed on as it comes.
pub const LARGEST_WHOLE: usize = 64 * 1024;

/// What a reader of replies yields. `R` is a reply of its protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part<R> {
    /// All of it.
    Whole(R),
    /// A value of so many bytes follows in pieces; the reply as far as it is known, with an empty value.
    Begun(usize, R),
    Piece(Bytes),
    /// All pieces have come; the reply as `Begun` told it and what stood behind the value.
    Done(R),
}
