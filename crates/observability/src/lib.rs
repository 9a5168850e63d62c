//! What operators see of a running process: records of the last decisions, metrics, and logs that don't flood.
//!
//! Nothing here is told the time by a clock, and nothing here grows without a bound. Records hold what happened, not
//! text: text is made for the few records that somebody reads.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod log_rate_limiter;
mod metrics_page;
mod ring_buffer;

pub use log_rate_limiter::LogRateLimiter;
pub use metrics_page::{Labels, METRICS_CONTENT_TYPE, MetricsPage};
pub use ring_buffer::RingBuffer;
