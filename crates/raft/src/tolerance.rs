//! Quorum arithmetic: how many losses a list of voters tolerates, and when the list may grow or shrink.
//!
//! The functions take plain counts instead of a node or a clock, so that each rule can be tested in isolation.

use crate::types::{Millis, VoterId};

/// When a leader removes silent voters on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct RetirementPolicy {
    /// A voter that has answered no heartbeat for this long is considered gone.
    pub silence_timeout: Millis,
    /// The leader never shortens the list below this length on its own.
    pub min_voters: usize,
}

/// A leader's view of the membership at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipStatus {
    /// The number of voters on the list.
    pub voters: usize,
    /// Voters that have answered a heartbeat within an election timeout and have caught up, including the leader.
    pub healthy: Vec<VoterId>,
    /// How many healthy voters may be lost at once while a majority remains.
    pub further_losses: usize,
    /// Voters that have not answered a heartbeat within an election timeout.
    pub unresponsive: Vec<VoterId>,
    /// Nodes that receive the log in order to become voters.
    pub learners: Vec<Learner>,
}

/// A node that receives the log in order to become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Learner {
    /// The identity of the node.
    pub id: VoterId,
    /// Whether the node lacks no more entries than may be in flight.
    pub caught_up: bool,
}

/// The number of voters that form a majority of a list of this length.
pub const fn majority_of(voters: usize) -> usize {
    voters / 2 + 1
}

/// How many healthy voters may be lost while the remaining healthy voters form a majority of the list.
pub const fn further_losses(voters: usize, healthy: usize) -> usize {
    healthy.saturating_sub(majority_of(voters))
}

/// The length of the shortest list that keeps a majority after the given number of losses.
pub const fn min_voters(losses: usize) -> usize {
    losses.saturating_mul(2).saturating_add(1)
}

/// Whether removing silent voters increases the number of further losses that the list tolerates.
///
/// The majority size of an even list decreases with the first removal, that of an odd list with the second. A silent
/// voter is not healthy, so its removal never decreases the number of further losses.
pub const fn retirement_helps(voters: usize, silent: usize, min_voters: usize) -> bool {
    let needed = if voters.is_multiple_of(2) { 1 } else { 2 };
    silent >= needed && voters.saturating_sub(needed) >= min_voters
}

/// Whether a voter should leave the list before it shuts down.
///
/// Leaving an even list reduces the majority size, so the remaining voters tolerate as many losses as before.
/// Leaving an odd list does not.
pub const fn departure_helps(voters: usize, min_voters: usize) -> bool {
    voters.is_multiple_of(2) && voters > min_voters
}

/// Whether another voter may be added without reducing the number of further losses that the list tolerates.
///
/// An even list keeps its majority size with one more voter, so adding a voter is a gain. The majority size of an odd
/// list increases: if one of its voters is unresponsive, the new voter must not be lost either. That is acceptable only
/// once all unresponsive voters count as silent, since the first of them is then removed right after the addition.
pub const fn promotion_helps(voters: usize, unresponsive: usize, silent: usize) -> bool {
    voters.is_multiple_of(2) || unresponsive <= silent
}
