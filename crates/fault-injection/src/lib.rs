//! What the tools that try real processes have in common: relays with faults on every link, chance by seed, the
//! processes that they started, their own punctuality, places in files, estimates and plots.

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
