//! Transport between the processes of a deployment: connections, and the follower that subscribes a process to
//! updates of a control plane.
//!
//! All tasks run on one thread in a `LocalSet`. The send queue of each peer is bounded. A peer that stops reading
//! loses its connection, reconnects, and receives the complete state again.
//!
//! A peer is the process at the other end of a connection. The followed control plane is the one whose updates a
//! process receives. A quota holder is a control plane that grants quota leases to data planes. A freshness query
//! asks a control plane how long ago the Raft leader confirmed its state.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config_snapshots;
mod connection;
mod departure;
mod drain_records;
mod follower;
pub mod freshness;
mod neighbor_watch;
mod peer_choice;
mod pending_requests;
mod search;
mod upstream;

pub use connection::{
    ConnectionError, FrameReader, FrameSender, Received, attach, dial, write_while_progressing,
};
pub use drain_records::DrainRecords;
pub use follower::{ControlFollower, FollowerSettings, Update};
pub use neighbor_watch::{NeighborWatch, identity};
pub use peer_choice::PeerChoice;
pub use pending_requests::PendingRequests;

/// Spawns a task on the current `LocalSet`. The task runs until it ends or the process exits.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
