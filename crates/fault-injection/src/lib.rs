//! Shared parts of the tools that test real processes: relays with link faults, seeded random numbers, tracking of
//! child processes, checks of the tool's own delays, positions in files, estimates and plots.

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
