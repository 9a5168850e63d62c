//! The elected log of control changes: a state machine without I/O or clock, and its disk.
//!
//! [`Node`] is the state machine: it is handed what happened together with the host's steady clock, and says what is to
//! be done. [`store`] keeps what must outlive the process. The host carries messages, calls the disk and tells when a
//! [`Save`] is on it; whatever depends on that save is held back until then.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
mod agreement;
mod campaign;
mod checksum;
mod election;
mod lead;
mod leadership_transfer;
mod log;
mod members;
mod node;
mod replication;
pub mod store;
mod tolerance;
mod transfer;
mod transfers;
mod types;
mod writer;

// What tests share names this crate as they do.
#[cfg(test)]
extern crate self as raft;

pub use node::{Faults, Node};
pub use replication::LARGEST_CHANGE;
pub use tolerance::{Learner, RetirementPolicy, Standing, further_losses, least_voters, majority_of};
pub use transfer::TransferLimits;
pub use types::{
    Entry, Input, Message, Millis, Output, PayloadKind, Role, Save, Saved, Snapshot, Timing, TransferId,
    VoterId, What,
};
pub use writer::{Told, Writer};
