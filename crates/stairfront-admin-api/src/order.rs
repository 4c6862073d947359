//! What operators have a balancer do, and what has become of it.
use serde::{Deserialize, Serialize};

/// Where an order comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// From an operator, who may have mistaken a name.
    Operators,
    /// From another process of this balancer that knows the name: discovery may not have told it here yet.
    Vouched,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Take a cache host out, by its name.
    Cordon(String),
    /// It may serve again.
    Uncordon(String),
    /// The group takes it out, beside what operators say here; and gives it back.
    Hold(String),
    Release(String),
    /// Was a cache host of this name ever listed?
    Known(String),
    /// How much of it is in use?
    Use(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Done {
    /// It holds, and is on record.
    Yes,
    /// Never listed, or the origin.
    Unknown,
    /// It holds in this process, but the record could not be written.
    NotRecorded,
    /// The group holds it out: a call to this balancer alone does not lift that.
    Held,
    /// Attempts that are open there, and how many have been sent there since the start.
    Use { open: u64, sent: u64 },
}

impl Done {
    /// What has become of an order that two processes of one balancer were given.
    pub fn and(self, other: Done) -> Done {
        match (self, other) {
            (
                Done::Use { open, sent },
                Done::Use {
                    open: more,
                    sent: other,
                },
            ) => Done::Use {
                open: open + more,
                sent: sent + other,
            },
            (known @ Done::Use { .. }, _) | (_, known @ Done::Use { .. }) => known,
            (Done::NotRecorded, _) | (_, Done::NotRecorded) => Done::NotRecorded,
            (Done::Held, _) | (_, Done::Held) => Done::Held,
            (Done::Yes, _) | (_, Done::Yes) => Done::Yes,
            (Done::Unknown, Done::Unknown) => Done::Unknown,
        }
    }
}
