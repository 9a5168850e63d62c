//! Metrics and resource usage. Independent of the other modules.

pub mod metrics;
pub mod usage;
