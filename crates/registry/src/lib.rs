//! Who is there: backends by their beats, data planes by those that hear them.
//!
//! Both tables are state machines without I/O or clock. What different processes know of one backend is merged by rules
//! that don't depend on order or repeats: a life's phase only goes forward, and of two words of one life the one with
//! more calls is newer.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod drains;
mod fleet;
mod register;

pub use drains::{DrainRun, DrainTable};
#[doc(hidden)]
pub use fleet::FleetFaults;
pub use fleet::{Fleet, SILENT_DATA_PLANE_TIMEOUT_MS};
pub use register::{BackendRegistry, DrainOutcome, MergeOutcome};

/// Milliseconds of the host's steady clock.
pub type Millis = u64;
