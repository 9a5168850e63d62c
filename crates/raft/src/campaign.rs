//! A node that asks for votes.

use crate::types::VoterId;

/// A round of asking for votes.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Campaign {
    /// Whether this is the election itself, not the sounding out before it.
    pub(crate) is_election: bool,
    pub(crate) granted: Vec<VoterId>,
    /// Whether a voter has said that its vote of this term is another one's.
    pub(crate) refused: bool,
}
