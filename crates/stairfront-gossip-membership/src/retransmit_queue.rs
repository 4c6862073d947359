//! Queue of gossip that is retransmitted to other members, piggybacked on whatever packet is sent (SWIM, section 4.1). The
//! item that was sent least often goes first; each is sent a number of times proportional to the logarithm of the group's
//! size, and a newer item about the same subject replaces it.
use std::collections::BTreeMap;

use crate::cordon_set::Tag;
use crate::packet::{Item, PacketWriter};

/// Largest number of queued items; beyond it the item that was sent most often is dropped.
const MAX_ITEMS: usize = 1024;
/// Transmissions of an item, as a multiple of log2 of the group's size.
const RETRANSMIT_MULTIPLIER: f64 = 3.0;

/// Identifies items of which only the newest is worth sending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Member(String),
    Cordon(String, Tag),
    Drain(String),
}

impl Subject {
    fn of(item: &Item) -> Self {
        match item {
            Item::Member(message) => Subject::Member(message.member.clone()),
            Item::Cordon(entry) => Subject::Cordon(entry.host.clone(), entry.tag.clone()),
            Item::Drain(notice) => Subject::Drain(notice.host.clone()),
        }
    }
}

#[derive(Debug)]
struct Queued {
    transmissions: u32,
    item: Item,
}

/// Items to send to other members.
#[derive(Debug, Default)]
pub struct RetransmitQueue {
    items: BTreeMap<Subject, Queued>,
}

impl RetransmitQueue {
    /// Queues an item, in place of an older one about the same subject.
    pub fn push(&mut self, item: Item) {
        let queued = Queued {
            transmissions: 0,
            item,
        };
        self.items.insert(Subject::of(&queued.item), queued);
        if self.items.len() > MAX_ITEMS {
            self.drop_most_sent();
        }
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self
            .items
            .iter()
            .max_by_key(|(_, queued)| queued.transmissions)
            .map(|(subject, _)| subject.clone());
        if let Some(subject) = most_sent {
            self.items.remove(&subject);
        }
    }

    /// Whether no item is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds the items that fit to a packet, and drops those that were sent often enough for a group of this size.
    pub fn fill(&mut self, writer: &mut PacketWriter, group_size: usize) {
        let max_transmissions = (RETRANSMIT_MULTIPLIER * ((group_size + 1) as f64).log2())
            .ceil()
            .max(1.0) as u32;
        let mut order: Vec<(u32, Subject)> = self
            .items
            .iter()
            .map(|(subject, queued)| (queued.transmissions, subject.clone()))
            .collect();
        order.sort();
        for (_, subject) in order {
            let Some(queued) = self.items.get_mut(&subject) else {
                continue;
            };
            if !writer.add(&queued.item) {
                // A later item may be smaller, but the one that was sent least goes first.
                break;
            }
            queued.transmissions += 1;
            if queued.transmissions >= max_transmissions {
                self.items.remove(&subject);
            }
        }
    }
}
