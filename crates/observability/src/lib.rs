//! What operators see of a running process: records of the last decisions, metrics, and logs that don't flood.
//!
//! Nothing here is told the time by a clock, and nothing here grows without a bound. Records hold what happened, not
//! text: text is made for the few records that somebody reads.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod page;
mod ring;
mod seldom;

pub use page::{Labels, Page, TEXT};
pub use ring::Ring;
pub use seldom::Seldom;
