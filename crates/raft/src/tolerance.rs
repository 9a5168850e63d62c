//! The arithmetic of a list of voters: what it bears, when it may grow, when it may shrink.
//!
//! Nothing here reads a clock or a node: the functions take counts, so that each rule can be tested by itself.

use crate::types::{Millis, VoterId};

/// When a leader takes voters that are silent off the list by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct RetirementPolicy {
    /// A voter that has answered no heartbeat for so long counts as gone.
    pub silence_timeout: Millis,
    /// The list is never made shorter than this.
    pub min_voters: usize,
}

/// What a leader knows of its voters at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipStatus {
    /// Voters on the list.
    pub voters: usize,
    /// Those that have answered within an election and lack no more than what is under way; the leader is one.
    pub healthy: Vec<VoterId>,
    /// How many of these may be lost at once while a majority remains.
    pub further_losses: usize,
    /// Voters that have not answered within an election.
    pub unresponsive: Vec<VoterId>,
    /// Nodes that receive the log and are not on the list.
    pub learners: Vec<Learner>,
}

/// A node that receives the log to become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Learner {
    /// Who it is.
    pub id: VoterId,
    /// Whether it lacks no more than what is under way.
    pub caught_up: bool,
}

/// How many voters make a majority of a list of this length.
pub const fn majority_of(voters: usize) -> usize {
    voters / 2 + 1
}

/// How many of the voters that count may be lost while those left are a majority of the list.
pub const fn further_losses(voters: usize, healthy: usize) -> usize {
    healthy.saturating_sub(majority_of(voters))
}

/// The shortest list that keeps a majority through so many losses.
pub const fn min_voters(losses: usize) -> usize {
    losses.saturating_mul(2).saturating_add(1)
}

/// Whether taking silent voters off the list raises the number of further losses that it bears.
///
/// The majority of an even list falls with the first voter that leaves it, that of an odd list with the second. A
/// silent voter counts for nothing, so the number never falls.
pub const fn retirement_helps(voters: usize, silent: usize, min_voters: usize) -> bool {
    let needed = if voters.is_multiple_of(2) { 1 } else { 2 };
    silent >= needed && voters.saturating_sub(needed) >= min_voters
}

/// Whether a voter that is to end had better leave the list before.
///
/// The majority of an even list falls with it, so that what is left bears as much as before; on an odd list it does not.
pub const fn departure_helps(voters: usize, min_voters: usize) -> bool {
    voters.is_multiple_of(2) && voters > min_voters
}

/// Whether another voter may be added without lowering the number of further losses that the list bears.
///
/// An even list has the same majority with one more voter, so that voter is a gain. An odd list has a larger one: if a
/// voter of it is unheard, the new one must not be lost either. That is worth it only once the unheard ones are known
/// to be gone, since the first of them is then retired right after.
pub const fn promotion_helps(voters: usize, unresponsive: usize, silent: usize) -> bool {
    voters.is_multiple_of(2) || unresponsive <= silent
}
