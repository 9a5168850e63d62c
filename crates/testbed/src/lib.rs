//! Runs a small fleet on one machine: the real programs as separate processes, and a simulated operator, backends and
//! clients. The fleet can be kept running for inspection ([`up`]), or run under load and disruptions with an
//! evaluation of what was sent, run and answered ([`demo`], [`trial`]).
//!
//! All listeners use loopback addresses; all runs are bounded in time and size. Every child process that the testbed
//! starts is also ended by the testbed, by its process id.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend;
mod behavior;
pub mod capacity;
mod changes;
mod clients;
mod control;
pub mod demo;
pub mod error;
mod fleet;
mod heartbeats;
pub mod history;
mod http;
pub mod judge;
mod load;
mod operator;
mod plan;
mod random;
pub mod report;
pub mod scale;
mod scenario;
mod site;
pub mod trial;
pub mod up;
mod windows;

pub use demo::Demo;
pub use error::TestbedError;
pub use scenario::Scenario;
