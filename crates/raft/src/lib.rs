//! The elected log of control changes: a state machine without I/O or clock, and its disk.
//!
//! [`Node`] is the state machine: it is handed what happened together with the host's steady clock, and says what is to
//! be done. [`store`] keeps what must outlive the process. The host carries messages, calls the disk and tells when a
//! [`Save`] is on it; whatever depends on that save is held back until then.

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

// What tests share names this crate as they do.
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
