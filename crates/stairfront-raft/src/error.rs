//! Why a request to this member is refused.
use crate::cluster_manager::MAX_PROPOSAL_BYTES;
use crate::log::Voter;

/// Why a [`Node`](crate::Node) refuses a proposal, a change of voters or a transfer of leadership.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RaftError {
    /// Only a leader can do this; the leader that this node knows, if any.
    #[error("not the leader, which is {}", .0.as_ref().map_or("not known", |voter| &voter.name))]
    NotLeader(Option<Voter>),
    /// The leader holds as many uncommitted entries as it may.
    #[error("too many entries are not committed yet; retry")]
    TooManyUncommitted,
    /// The leader is handing over its leadership.
    #[error("a leadership transfer is in progress; retry")]
    TransferInProgress,
    /// An earlier change of voters, or the first entry of the leader's term, is not committed yet.
    #[error(
        "a change of voters is in progress, or the leader has committed nothing in its term; retry"
    )]
    ChangeInProgress,
    /// The voter to be added does not have all committed entries yet.
    #[error("the new voter lacks committed entries; retry")]
    LearnerBehind,
    /// The requested set of voters differs from the current one by other than one server, or is
    /// empty.
    #[error("one voter at a time can be added or removed, and one has to remain")]
    InvalidChange,
    /// The leadership cannot go to this member, or no other voter has been in contact lately.
    #[error("no voter to transfer the leadership to")]
    NoTransferTarget,
}

/// Why a [`ClusterManager`](crate::ClusterManager) refuses a proposal at the member where it is
/// made. The texts are given to operators as answers of the admin API, and do not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// This member has [`MAX_PENDING_PROPOSALS`](crate::MAX_PENDING_PROPOSALS) proposals pending.
    #[error("too many orders of this member are under way; ask again")]
    TooManyPending,
    /// The proposal, of this many bytes, is above
    /// [`MAX_PROPOSAL_BYTES`](crate::MAX_PROPOSAL_BYTES).
    #[error("a proposal of {0} bytes, and {MAX_PROPOSAL_BYTES} are the most")]
    TooLarge(usize),
}
