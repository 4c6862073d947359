//! The frames that members exchange over the group membership. Their form is postcard's and depends
//! on the order of the variants.
use serde::{Deserialize, Serialize};
use stairfront_raft::Envelope;

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message of the consensus.
    Raft(Envelope),
    /// A side message: bytes of the state machine's user that are not part of the log.
    SideMessage(Vec<u8>),
}

impl Frame {
    /// The bytes of a frame.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Numbers, texts and lists of them, which postcard always can write.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a frame.
    ///
    /// # Errors
    ///
    /// If the bytes are no frame, or are cut short.
    pub fn decode(bytes: &[u8]) -> Result<Frame, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
