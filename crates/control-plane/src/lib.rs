//! The control plane: agrees on configurations by Raft, tracks backends, grants quota, and sends updates to data
//! planes.
//!
//! A single task owns all tables ([`ControlPlane`]) and handles a queue of commands: calls on the control socket,
//! messages of other processes, completed disk writes, and timers. Nothing else changes a table.

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
mod snapshot_state;
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
pub use snapshot_state::SnapshotState;
pub use tolerance::{Losses, Tolerance};
