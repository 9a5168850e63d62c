//! Observability of a running process: records of recent decisions, metrics, and rate-limited logs.
//!
//! The crate reads no clock, and all its memory is bounded. Records hold values rather than text; they are formatted
//! only when queried.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod log_rate_limiter;
mod metrics_page;
mod ring_buffer;

pub use log_rate_limiter::LogRateLimiter;
pub use metrics_page::{Labels, METRICS_CONTENT_TYPE, MetricsPage};
pub use ring_buffer::RingBuffer;
