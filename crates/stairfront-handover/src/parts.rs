//! A knowledge that is larger than a packet goes in parts.
use crate::message::{Message, MAX_PART_BYTES};

/// A full table of keys takes about half of it. Danger: the memory of both processes counts together.
pub const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a knowledge of over {MAX_STATE_BYTES} bytes")]
pub struct PartsError;

/// Puts a knowledge together from its parts.
#[derive(Debug, Default)]
pub struct StateAssembler(Vec<u8>);

impl StateAssembler {
    /// The messages that bring a knowledge; one at least. One that is too large goes as an empty one.
    pub fn of(knowledge: &[u8]) -> impl Iterator<Item = Message> + '_ {
        let knowledge = if knowledge.len() > MAX_STATE_BYTES {
            &[][..]
        } else {
            knowledge
        };
        let count = knowledge.len().div_ceil(MAX_PART_BYTES).max(1);
        (0..count).map(move |i| {
            let end = knowledge.len().min((i + 1) * MAX_PART_BYTES);
            Message::Knowledge {
                part: knowledge[i * MAX_PART_BYTES..end].to_vec(),
                last: i + 1 == count,
            }
        })
    }

    /// Takes the next part in; the whole once the last one has come.
    pub fn take(&mut self, part: &[u8], last: bool) -> Result<Option<Vec<u8>>, PartsError> {
        if self.0.len() + part.len() > MAX_STATE_BYTES {
            self.0 = Vec::new();
            return Err(PartsError);
        }
        self.0.extend_from_slice(part);
        Ok(last.then(|| std::mem::take(&mut self.0)))
    }
}
