//! A state that is larger than a packet is sent in parts.
use crate::message::{Message, MAX_PART_BYTES};

/// Largest state that is handed over, in bytes. A full table of keys takes about half of it. Both processes hold the state
/// at once, so their memory counts together.
pub const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

/// The parts of a state are larger together than [`MAX_STATE_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a state of over {MAX_STATE_BYTES} bytes")]
pub struct StateTooLarge;

/// The messages that carry a state, at least one. A state that is too large is sent as an empty one.
pub fn split_state(state: &[u8]) -> impl Iterator<Item = Message> + '_ {
    let state = if state.len() > MAX_STATE_BYTES {
        &[]
    } else {
        state
    };
    let count = state.len().div_ceil(MAX_PART_BYTES).max(1);
    (0..count).map(move |i| {
        let begin = i * MAX_PART_BYTES;
        let end = state.len().min(begin + MAX_PART_BYTES);
        Message::StatePart {
            part: state[begin..end].to_vec(),
            last: i + 1 == count,
        }
    })
}

/// Joins a state from its parts.
#[derive(Debug, Default)]
pub struct StateAssembler {
    received: Vec<u8>,
}

impl StateAssembler {
    /// Adds the next part; the complete state once the last one is there.
    ///
    /// # Errors
    ///
    /// [`StateTooLarge`] where the bound is exceeded; the parts so far are dropped then.
    pub fn add(&mut self, part: &[u8], last: bool) -> Result<Option<Vec<u8>>, StateTooLarge> {
        if self.received.len() + part.len() > MAX_STATE_BYTES {
            self.received = Vec::new();
            return Err(StateTooLarge);
        }
        self.received.extend_from_slice(part);
        Ok(last.then(|| std::mem::take(&mut self.received)))
    }
}
