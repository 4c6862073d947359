//! News on its way to others: carried by whatever is sent anyway, that told least often first (SWIM section 4.1). Each
//! item goes out some times the logarithm of the group's size; a newer one of the same subject takes its place.
use std::collections::BTreeMap;

use crate::packet::{Item, Writer};

/// Items under way at once; beyond it the one told most often goes.
const MOST_ITEMS: usize = 1024;
/// An item goes out so many times log2 of the group's size.
const SPREAD: f64 = 3.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Member(String),
    Cordon(String, String, u64, u32),
    Drain(String),
}

impl Subject {
    fn of(item: &Item) -> Self {
        match item {
            Item::Member(rumour) => Subject::Member(rumour.member.clone()),
            Item::Cordon(entry) => {
                let tag = &entry.tag;
                Subject::Cordon(entry.host.clone(), tag.author.clone(), tag.run, tag.number)
            }
            Item::Drain(news) => Subject::Drain(news.host.clone()),
        }
    }
}

#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Subject, (u32, Item)>,
}

impl Queue {
    pub fn push(&mut self, item: Item) {
        self.items.insert(Subject::of(&item), (0, item));
        if self.items.len() > MOST_ITEMS {
            let most = self
                .items
                .iter()
                .max_by_key(|(_, (sent, _))| *sent)
                .map(|(subject, _)| subject.clone());
            most.map(|subject| self.items.remove(&subject));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Puts into a packet what fits, and forgets what has gone out often enough in a group of this size.
    pub fn fill(&mut self, writer: &mut Writer, group: usize) {
        let most = (SPREAD * ((group + 1) as f64).log2()).ceil().max(1.0) as u32;
        let mut order: Vec<(u32, Subject)> = self
            .items
            .iter()
            .map(|(subject, (sent, _))| (*sent, subject.clone()))
            .collect();
        order.sort();
        for (_, subject) in order {
            let Some((sent, item)) = self.items.get_mut(&subject) else {
                continue;
            };
            if !writer.add(item) {
                // Another may be smaller, but what is told least goes first.
                break;
            }
            *sent += 1;
            if *sent >= most {
                self.items.remove(&subject);
            }
        }
    }
}
