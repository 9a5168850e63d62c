//! What ties a gateway to sockets and time, for the program in service and for the system.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod engine;
pub mod guest;
mod message;
pub mod observe;
#[doc(hidden)]
pub mod planted;
pub mod pool;
pub mod time;
pub mod wire;
