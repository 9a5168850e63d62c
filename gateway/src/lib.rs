//! The quota gateway: `doorcourse`'s decision engine on real sockets, single-threaded. All decisions are made by the
//! engine behind [`control::engine`]; the other modules perform I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backends;
pub mod clients;
pub mod control;
pub mod group;
pub mod operators;
pub mod state;

pub use http_proxy::{observe, time, wire};
