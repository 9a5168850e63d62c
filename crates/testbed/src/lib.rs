//! A small fleet on one machine, for whoever has no platform: the real programs as processes of their own, and
//! stand-ins for all that they meet (backends, the operator, clients). It can be looked at ([`up`]) or shown at work
//! under load and trouble, with a judge that knows what was sent, what ran and what was answered ([`demo`]).
//!
//! Everything listens on loopback addresses and is bounded in time and count. Every process that is started here is
//! ended here, by its id.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend;
mod beats;
pub mod capacity;
mod chance;
mod changes;
mod clients;
mod control;
pub mod demo;
pub mod fault;
mod fleet;
pub mod history;
pub mod judge;
mod load;
mod mood;
mod operator;
mod plan;
pub mod report;
pub mod scale;
mod site;
pub mod trial;
mod trouble;
pub mod up;
mod windows;
mod wire;

pub use demo::Demo;
pub use fault::Fault;
pub use trouble::Trouble;
