//! Orders of an operator, the group or a plan about a cache host, and their outcomes.
//!
//! During an upgrade both processes of a balancer carry an order out; the names of variants and fields are exchanged
//! between them as JSON and keep the form they have always had.
use serde::{Deserialize, Serialize};

/// Who vouches for the name in an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderSource {
    /// An operator, who may have mistaken a name.
    #[serde(rename = "Operators")]
    Operator,
    /// Another process that knows the name, although discovery may not have listed it here yet.
    #[serde(rename = "Vouched")]
    Peer,
}

/// An order about one cache host, by its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorOrder {
    /// An operator takes the host out of service.
    Cordon(String),
    /// An operator lifts the cordon.
    Uncordon(String),
    /// The group takes the host out of service, independently of operators' cordons here.
    #[serde(rename = "Hold")]
    GroupCordon(String),
    /// The group lifts its cordon.
    #[serde(rename = "Release")]
    GroupUncordon(String),
    /// Asks whether a cache host of this name was ever listed.
    #[serde(rename = "Known")]
    IsKnown(String),
    /// Asks how much of the host is in use.
    #[serde(rename = "Use")]
    GetUsage(String),
}

impl OperatorOrder {
    /// Name of the cache host.
    #[must_use]
    pub fn host(&self) -> &str {
        match self {
            OperatorOrder::Cordon(host)
            | OperatorOrder::Uncordon(host)
            | OperatorOrder::GroupCordon(host)
            | OperatorOrder::GroupUncordon(host)
            | OperatorOrder::IsKnown(host)
            | OperatorOrder::GetUsage(host) => host,
        }
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It is in force and recorded; to a question, yes.
    #[serde(rename = "Yes")]
    Done,
    /// No cache host of this name was ever listed, or it is the origin.
    #[serde(rename = "Unknown")]
    UnknownHost,
    /// It is in force in this process, but the record could not be written.
    NotRecorded,
    /// The group has the host cordoned; a call to this balancer alone does not lift that.
    #[serde(rename = "Held")]
    HeldByGroup,
    /// The use of the host by this process.
    #[serde(rename = "Use")]
    Usage {
        /// Attempts in flight.
        #[serde(rename = "open")]
        in_flight: u64,
        /// Attempts sent since the start of the process.
        sent: u64,
    },
}

impl OrderOutcome {
    /// The outcome of an order that two processes of one balancer were given: usage is added up, and of the rest the one
    /// that an operator has to know first holds.
    #[must_use]
    pub fn combine(self, other: OrderOutcome) -> OrderOutcome {
        use OrderOutcome::{Done, HeldByGroup, NotRecorded, UnknownHost, Usage};
        match (self, other) {
            (
                Usage {
                    in_flight: a,
                    sent: b,
                },
                Usage {
                    in_flight: c,
                    sent: d,
                },
            ) => Usage {
                in_flight: a + c,
                sent: b + d,
            },
            (usage @ Usage { .. }, _) | (_, usage @ Usage { .. }) => usage,
            (NotRecorded, _) | (_, NotRecorded) => NotRecorded,
            (HeldByGroup, _) | (_, HeldByGroup) => HeldByGroup,
            (Done, _) | (_, Done) => Done,
            (UnknownHost, UnknownHost) => UnknownHost,
        }
    }
}
