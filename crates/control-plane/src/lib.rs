//! The control plane of the system: configurations, backends, counts, and the news of them.
//!
//! One owner has all tables ([`ControlPlane`]) and works through a queue of commands: calls from the control socket, frames
//! from other processes, words of the disk's thread, and time. Nothing else changes a table.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod backend_batch;
mod call;
mod calls;
mod command;
mod config_history;
mod contact;
mod control_plane;
mod directory;
mod disk;
mod drain_entry;
mod event_log;
mod faults;
mod listener;
mod state;
mod tolerance;

pub use admission::{Decision, decide, reply_to};
pub use call::{Call, Reply};
pub use calls::{ENDPOINTS, Endpoint, serve};
pub use command::Command;
pub use config_history::{Change, ConfigHistory, LogPosition, QuotaCheckpoint, Verdict, snapshot_format};
pub use control_plane::{ControlPlane, ControlPlaneSettings};
pub use disk::{Disk, DiskError};
pub use drain_entry::DrainEntry;
#[doc(hidden)]
pub use faults::Faults;
pub use listener::{Connector, TcpConnector, listen};
pub use state::SnapshotState;
pub use tolerance::{Losses, Tolerance};
