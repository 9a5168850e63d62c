//! The state of a node that requests votes.

use crate::types::VoterId;

/// A round of pre-vote or vote requests.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Campaign {
    /// Whether this round is an election; otherwise it is a pre-vote.
    pub(crate) is_election: bool,
    /// The voters that have granted their vote.
    pub(crate) granted: Vec<VoterId>,
    /// Whether a voter has refused its vote for this term.
    pub(crate) refused: bool,
}
