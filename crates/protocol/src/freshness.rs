//! Queries for the maximum age of a control plane's state, and for records of draining backends.
//!
//! The age is the time since the Raft leader last confirmed the state. A drain record is the id of a backend that
//! must receive no new requests; the leader numbers the records.

use bitcode::{Decode, Encode};

/// Query of a data plane. The data plane dates the answer from when it sent the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FreshnessQuery {
    /// Query number, chosen by the data plane in ascending order.
    pub number: u64,
    /// Number of the newest drain record that the data plane has.
    pub last_drain: u64,
}

/// Answer of a control plane. The state sent on this connection before the answer is complete up to `age_ms` before
/// the answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FreshnessAnswer {
    /// Number of the answered query.
    pub number: u64,
    /// Age in ms of the leader's response that confirms the sender's state; `None` if the sender may be isolated.
    pub age_ms: Option<u32>,
    /// Number of the newest drain record that the sender has.
    pub last_drain: u64,
    /// Number of the record before the first one in `missing`.
    pub missing_after: u64,
    /// Ids of the backends in the records that the data plane lacks, in order. Further records follow the next query.
    pub missing: Vec<String>,
}
