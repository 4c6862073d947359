//! What operators have a balancer do, and what has become of it.
use serde::{Deserialize, Serialize};

/// Where an order comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderSource {
    /// From an operator, who may have mistaken a name.
    Operators,
    /// From another process of this balancer that knows the name: discovery may not have told it here yet.
    Vouched,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorOrder {
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
pub enum OrderOutcome {
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

impl OrderOutcome {
    /// What has become of an order that two processes of one balancer were given.
    pub fn combine(self, other: OrderOutcome) -> OrderOutcome {
        match (self, other) {
            (
                OrderOutcome::Use { open, sent },
                OrderOutcome::Use {
                    open: more,
                    sent: other,
                },
            ) => OrderOutcome::Use {
                open: open + more,
                sent: sent + other,
            },
            (known @ OrderOutcome::Use { .. }, _) | (_, known @ OrderOutcome::Use { .. }) => known,
            (OrderOutcome::NotRecorded, _) | (_, OrderOutcome::NotRecorded) => {
                OrderOutcome::NotRecorded
            }
            (OrderOutcome::Held, _) | (_, OrderOutcome::Held) => OrderOutcome::Held,
            (OrderOutcome::Yes, _) | (_, OrderOutcome::Yes) => OrderOutcome::Yes,
            (OrderOutcome::Unknown, OrderOutcome::Unknown) => OrderOutcome::Unknown,
        }
    }
}
