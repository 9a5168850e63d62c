//! A Raft log, as a deterministic state machine without I/O or a clock, and its storage. It replicates the changes that
//! the control planes agree on: configurations, quota checkpoints and drains of backends, all of them opaque to this
//! crate, and the list of voters.
//!
//! [`Node`] is the state machine: it takes an [`Input`] with the host's monotonic time and returns the [`Output`]s that
//! the host must carry out. [`store`] keeps the state that must survive a restart. The host transports messages, writes
//! each [`Save`] to disk and reports when the write is durable; the node holds back every message that depends on the
//! save until then.
//!
//! The leader lease is the span in which a leader may rely on no other node leading: a majority of voters has
//! responded to a heartbeat, and voters grant no vote for some time after that response. A learner receives the log
//! without a vote. The host is the program that runs the node. A transfer sends one long snapshot or entry in
//! chunks.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
mod bounded_model_check;
mod campaign;
mod checksum;
mod election;
mod leader_state;
mod leadership_transfer;
mod log;
mod membership;
mod node;
mod replication;
pub mod store;
mod tolerance;
mod transfer;
mod transfer_protocol;
mod types;
mod writer;

// Test code shared with the integration tests refers to this crate as `raft`.
#[cfg(test)]
extern crate self as raft;

pub use node::{Faults, Node};
pub use replication::MAX_CHANGE_BYTES;
pub use tolerance::{Learner, MembershipStatus, RetirementPolicy, further_losses, majority_of, min_voters};
pub use transfer::TransferLimits;
pub use types::{
    Entry, Input, Message, Millis, Output, Payload, PersistentState, Role, Save, Snapshot, Timing,
    TransferId, TransferKind, VoterId,
};
pub use writer::{Writer, WriterEvent};
