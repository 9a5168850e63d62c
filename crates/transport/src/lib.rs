//! How news travels between the system's processes: connections, and who follows whom.
//!
//! Everything runs on one thread of a `LocalSet`; what is queued for a peer is bounded, and a peer that doesn't read
//! loses its connection: it comes back and is told everything anew.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config_snapshots;
mod connection;
mod drain_records;
mod follower;
pub mod freshness;
mod leaving;
mod neighbor_watch;
mod peer_choice;
mod search;
mod unanswered;
mod upstream;

pub use connection::{
    ConnectionError, FrameReader, FrameSender, Received, attach, dial, write_while_progressing,
};
pub use drain_records::DrainRecords;
pub use follower::{ControlFollower, FollowerSettings, Update};
pub use neighbor_watch::{NeighborWatch, card};
pub use peer_choice::PeerChoice;
pub use unanswered::Unanswered;

/// Runs a task for as long as the program runs.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
