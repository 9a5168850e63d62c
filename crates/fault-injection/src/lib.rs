//! Shared parts of the tools that test real processes: relays with link faults, seeded random numbers, tracking of
//! child processes, checks of the tool's own delays, positions in files, estimates and plots.
//!
//! Terms: a trial is a run of processes under load and injected faults. A party is a process or a simulated client,
//! backend or service that takes part in a trial. A link is one direction of traffic between two parties. The verdict
//! states whether a trial broke a rule; a trial has no verdict if the tool itself failed or ran late.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
mod estimate;
mod location;
pub mod mutate;
pub mod plot;
mod random;
pub mod relay;
pub mod running;
mod span;
pub mod timeline;

pub use estimate::Estimate;
pub use location::format_location;
pub use random::Random;
pub use span::Span;
