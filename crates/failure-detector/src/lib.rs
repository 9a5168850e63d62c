//! Gossip-based failure detector: a state machine without I/O or clock.
//!
//! Each process is watched by the [`WATCHERS`] others that rendezvous hashing selects for it; all processes derive
//! the same watch sets from the same view. A watcher pings, the watched process answers, and both piggyback recent
//! membership records on these datagrams. A process that stops answering is suspected. It is declared dead if several
//! members suspect it and none reports it as alive.
//!
//! Terms:
//! - Member: a process of the fleet, identified by its address and a start ID, a random number drawn at its start.
//! - Record: the state of a member (alive, dead, or departed after an announced shutdown) under an incarnation
//!   number, spread by gossip. The record of a dead or departed member is called a tombstone.
//! - Incarnation: a number that a member raises to override a wrong record about itself.
//! - View: the records that one process has of all members. Views are compared by digests and repaired by a sync, in
//!   which a member sends the records of those buckets (parts of the view) whose digests differ.
//! - Seed: a configured address that a process contacts to join the fleet.
//! - Suspicion and alive report: a watcher's statement that a member does not answer, or that the member was recently
//!   in contact.
//!
//! Invariants:
//! - Of two records about one process, the one with the greater (incarnation, start ID, state) wins, in whatever
//!   order the records arrive.
//! - Only a process itself raises its incarnation.
//! - A process that receives no datagrams, or that was paused, suspects no one.
//! - Datagram sizes, stored records and the number of sends of each record are bounded.

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

/// Milliseconds of the host's monotonic clock.
pub type Millis = u64;

/// Number of watchers of each process.
pub const WATCHERS: usize = 4;
