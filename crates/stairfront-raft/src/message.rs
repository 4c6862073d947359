//! What voters say to each other.
use serde::{Deserialize, Serialize};

use crate::log::{Entry, Index, Snapshot, Term};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub term: Term,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me in this term, which is not mine yet? (Diss. section 9.6)
    PreVote {
        last_index: Index,
        last_term: Term,
    },
    PreVoteAnswer {
        granted: bool,
    },
    /// `handed`: the leader itself has asked for it, so its being there is no reason to refuse (Diss. section 3.10).
    Vote {
        last_index: Index,
        last_term: Term,
        handed: bool,
    },
    VoteAnswer {
        granted: bool,
    },
    Append {
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    },
    /// What is the same here up to; or where to look for that.
    AppendAnswer {
        matched: Option<Index>,
        hint: Index,
    },
    Install {
        snapshot: Snapshot,
    },
    /// Stand for election now (Diss. section 3.10).
    Campaign,
}
