//! Who is there, by watches of a few: a state machine without I/O or clock.
//!
//! Each process is watched by the [`WATCHERS`] others that rendezvous hashing names for it; everybody derives the same
//! sets from the same view. A watcher pings, the watched one answers, and both say on those datagrams what they have
//! learned. Who answers no more is doubted; a death takes the suspicions of several and no vouch.
//!
//! Invariants: of two records about one process the greater of (incarnation, start_id, state) stands, whatever their order;
//! only a process itself raises its incarnation; who hears nobody, or woke late, blames nobody; what a datagram holds,
//! what is kept and how often a record is passed on are bounded.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod detector;
mod message;
mod rendezvous;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod simulation_tests;
mod view;

pub use detector::{DetectorStatus, FailureDetector, Outgoing};
pub use message::{Identity, MemberAddr, MemberRecord, MemberState, Message};

/// Milliseconds of the host's steady clock.
pub type Millis = u64;

/// So many others watch each process.
pub const WATCHERS: usize = 4;
