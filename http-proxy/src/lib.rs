//! What ties a gateway to sockets and time, for the program in service and for the system.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clients;
pub mod engine;
#[doc(hidden)]
pub mod fault_injection;
mod message;
pub mod observe;
pub mod pool;
pub mod time;
pub mod wire;
