//! How old what a process that serves control tells may be, and which backends leave.

use bitcode::{Decode, Encode};

/// A data plane asks; it counts the answer from when it sent this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FreshnessQuestion {
    /// Chosen by the asker, each higher than the last.
    pub number: u64,
    /// The number of the newest record of a backend that leaves, as the asker has them.
    pub last_drain: u64,
}

/// The answer. What the sender has told on this connection before is complete up to `age_ms` before the answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FreshnessAnswer {
    /// The question's number.
    pub number: u64,
    /// How old the leader's answer is on which the sender goes, in ms; nothing if the sender may be cut off.
    pub age_ms: Option<u32>,
    /// The number of the sender's newest record of a backend that leaves.
    pub last_drain: u64,
    /// The number of the record before the first of `missing`.
    pub missing_after: u64,
    /// The ids of backends whose records the asker lacks, in order; more of them follow the next question.
    pub missing: Vec<String>,
}
