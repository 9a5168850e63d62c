//! Gossip-based failure detector: a state machine without I/O or clock.
//!
//! Each process is watched by the [`WATCHERS`] others that rendezvous hashing selects for it; all processes derive
//! the same watch sets from the same view. A watcher pings, the watched process answers, and both piggyback recent
//! membership records on these datagrams. A process that stops answering is suspected. It is declared dead if several
//! members suspect it and none reports it as alive.
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
