//! A simulation of the fleet in simulated time: a model of clients, backends, discovery, counter and network that
//! drives the library's decisions as the real gateway does, a judge that checks the rules, and books that account
//! for the worth that was earned and lost.
//!
//! A simulated day is drawn from a scenario and a seed ([`draw::Day::draw`]) and simulated under a policy
//! ([`world::World`]); then its books are closed ([`books::Books::close`]). The same scenario, seed and policy give
//! the same result. A *try* is one request of a client to a gateway, an *attempt* is one request of a gateway to a
//! backend.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod books;
pub mod decider;
pub mod draw;
pub mod experiment;
pub mod judge;
pub mod live;
pub mod report;
pub mod results;
pub mod scenario;
pub mod trial;
pub mod world;
