//! Runs a small fleet on one machine: the real programs as separate processes, and stand-ins for backends, the operator
//! and clients. The fleet can be kept running for inspection ([`up`]), or run under load and disruptions with an
//! evaluation of what was sent, run and answered ([`demo`], [`trial`]).
//!
//! All listeners use loopback addresses; all runs are bounded in time and size. Every child process that the testbed
//! starts is also ended by the testbed, by its process id.

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
