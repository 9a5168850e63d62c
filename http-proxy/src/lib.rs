//! HTTP/1.1 proxying on sockets and timers around the `doorcourse` decision engine, shared by the quota gateway
//! (`fennelscale`) and the data plane of reachlb.

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
