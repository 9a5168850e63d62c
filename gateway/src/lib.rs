//! The real gateway: doorcourse's decisions on real sockets. Everything runs on one thread; what is to be
//! decided is decided by the module behind [`control::engine`], the other files move bytes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backends;
pub mod clients;
pub mod control;
pub mod group;
pub mod operators;
pub mod state;

pub use http_proxy::{observe, time, wire};
