//! What is seen of a running gateway: figures and costs. Knows nothing of the other parts.

pub mod metrics;
pub mod usage;
