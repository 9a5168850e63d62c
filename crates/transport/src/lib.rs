//! How news travels between the system's processes: connections, and who follows whom.
//!
//! Everything runs on one thread of a `LocalSet`; what is queued for a peer is bounded, and a peer that doesn't read
//! loses its connection: it comes back and is told everything anew.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod course;
mod leaving;
mod line;
mod lookout;
mod pilot;
pub mod sheets;
mod tree;
mod unanswered;

pub use course::PeerChoice;
pub use line::{Line, LineError, Reader, Received, attach, dial, write_while_taken};
pub use lookout::{NeighborWatch, card};
pub use pilot::{ControlFollower, FollowerSettings, Place, Update};
pub use tree::{Signals, word_of};
pub use unanswered::Unanswered;

/// Runs a task for as long as the program runs.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
