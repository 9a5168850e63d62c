//! The control plane: agrees on configurations by Raft, tracks backends, grants quota, and sends updates to data
//! planes.
//!
//! A single task owns all tables ([`ControlPlane`]) and handles a queue of commands: calls on the control socket,
//! messages of other processes, completed disk writes, and timers. Nothing else changes a table.
//!
//! A backend is an instance of a service that receives proxied requests; it registers by heartbeats and announces
//! its drain (it takes no new requests) and its departure (it has ended). A subscriber is a data plane, or a
//! control plane without a Raft log, that receives updates. The quota holder keeps the quota counters and grants
//! leases (temporary rights to spend quota) to data planes; the leader is a holder, and may appoint other voters as
//! deputies. The fleet is the set of data planes that may spend quota; a data plane without a lease spends a slice,
//! its share of each quota. The voters are the control planes that vote in Raft.

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
