//! The fleet in simulated time: a model of clients, backends, discovery, counter and network, which drives the
//! library's decisions as the real gateway does, a judge of the rules, and books of what was earned and lost.
//!
//! A day is drawn from a scenario and a seed ([`draw::Day::draw`]), played under a policy ([`world::World`]), and
//! its books are closed ([`books::Books::close`]). The same scenario, seed and policy give the same result.

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
