//! The form of what the members of a group exchange: postcard's, by the order of the variants.
use serde::{Deserialize, Serialize};
use stairfront_raft::Envelope;

/// What travels over the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Parcel {
    /// A message of the agreement.
    Agreement(Envelope),
    /// Of whoever uses the agreement.
    Aside(Vec<u8>),
}
