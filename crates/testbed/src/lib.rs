//! Runs a small fleet on one machine: the real programs as separate processes, and a simulated operator, backends and
//! clients. The fleet can be kept running for inspection ([`up`]), or run under load and disruptions with an
//! evaluation of what was sent, run and answered ([`demo`], [`trial`]).
//!
//! All listeners use loopback addresses; all runs are bounded in time and size. Every child process that the testbed
//! starts is also ended by the testbed, by its process id.
//!
//! Terms:
//! - A *data plane* is a process that proxies client requests; most modules call it a gateway. A *control plane* is a
//!   process that stores the configuration in a replicated log, receives the heartbeats of backends and grants quota.
//! - A *machine* is a group of loopback addresses with one data plane and, on the first machines, a control plane.
//! - An *attempt* is one sending of a client's request to a gateway; a client may send several attempts of a request.
//! - A *pure* request may run more than once; an *effectful* request may not.
//! - A *backend slot* is a place in a zone that one backend at a time occupies.
//! - A *drain* announces that a backend will stop; a *departure* announces that the backend stops now.
//! - A *hollow* data plane or backend only sends and receives control traffic; it serves no requests.
//! - *Worth* measures the service that clients received: see [`judge::Verdict::worth`].

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
