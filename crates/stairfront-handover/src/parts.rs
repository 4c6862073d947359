//! A knowledge that is larger than a packet goes in parts.
use crate::message::{Message, LARGEST_PART};

/// A full table of keys takes about half of it. Danger: the memory of both processes counts together.
pub const LARGEST_KNOWLEDGE: usize = 4 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a knowledge of over {LARGEST_KNOWLEDGE} bytes")]
pub struct PartsFault;

/// Puts a knowledge together from its parts.
#[derive(Debug, Default)]
pub struct Parts(Vec<u8>);

impl Parts {
    /// The messages that bring a knowledge; one at least. One that is too large goes as an empty one.
    pub fn of(knowledge: &[u8]) -> impl Iterator<Item = Message> + '_ {
        let knowledge = if knowledge.len() > LARGEST_KNOWLEDGE {
            &[][..]
        } else {
            knowledge
        };
        let count = knowledge.len().div_ceil(LARGEST_PART).max(1);
        (0..count).map(move |i| {
            let end = knowledge.len().min((i + 1) * LARGEST_PART);
            Message::Knowledge {
                part: knowledge[i * LARGEST_PART..end].to_vec(),
                last: i + 1 == count,
            }
        })
    }

    /// Takes the next part in; the whole once the last one has come.
    pub fn take(&mut self, part: &[u8], last: bool) -> Result<Option<Vec<u8>>, PartsFault> {
        if self.0.len() + part.len() > LARGEST_KNOWLEDGE {
            self.0 = Vec::new();
            return Err(PartsFault);
        }
        self.0.extend_from_slice(part);
        Ok(last.then(|| std::mem::take(&mut self.0)))
    }
}
