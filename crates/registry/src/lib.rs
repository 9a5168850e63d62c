//! Tables of the backends, tracked by their heartbeats, and of the data planes, tracked by their connections.
//!
//! Both tables are state machines without I/O or a clock. States of a backend instance that different processes
//! report are merged by rules that are independent of order and duplicates: the phase of an instance only advances,
//! and of two states of one instance, the one with the higher call count is newer.
//!
//! A backend is overdue after missed heartbeats, silent after a long time without any, draining while it finishes its
//! running requests, and gone after its end. Overdue and silent are conclusions of one process, which a newer call of
//! the backend refutes; draining and gone are final. A draining backend has a record in the Raft log (see [`DrainTable`]). The fleet is
//! the set of data planes that may spend quota ([`Fleet`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend_registry;
mod drains;
mod fleet;

pub use backend_registry::{BackendRegistry, DrainOutcome, MergeOutcome, SweepOutcome};
pub use drains::{DrainRun, DrainTable};
#[doc(hidden)]
pub use fleet::FleetFaults;
pub use fleet::{Fleet, SILENT_DATA_PLANE_TIMEOUT_MS};

/// Milliseconds of the host's monotonic clock.
pub type Millis = u64;
