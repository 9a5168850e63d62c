//! A simulation of the fleet in simulated time: a model of clients, backends, discovery, counter and network that
//! drives the library's decisions as the real gateway does, a judge that checks the rules, and books that account
//! for the worth that was earned and lost.
//!
//! A simulated day is drawn from a scenario and a seed ([`draw::Day::draw`]) and simulated under a policy
//! ([`world::World`]); then its books are closed ([`books::Books::close`]). The same scenario, seed and policy give
//! the same result.
//!
//! Terms:
//! - A *try* is one request of a client to a gateway. A client's *first try* may be followed by retries.
//! - An *attempt* is one request of a gateway to a backend, on behalf of a try.
//! - The *worth* of a try is its value in the score; the try earns its worth if it is answered within the target
//!   latency.
//! - A *trouble* is a fault that the day injects at a scheduled time.
//! - A *breach* is one violation of a rule, as found by the judge.
//! - The *quota* of a customer is a token bucket; an answer to a request beyond the quota earns a reduced worth. The
//!   *ceiling* is a second token bucket with a tolerated excess; exceeding the ceiling by more is a breach.
//! - The *counter* is a shared service that adds up the units of quota that all gateways took for a customer.
//! - *Discovery* publishes the list of backends to the gateways. The *front* is the load balancer before the gateways.
//! - A backend is *cold* from its start until its warm-up ends, and has only a part of its capacity until then.
//! - A *duty* is a named role that at most one gateway of a group performs at a time, under a fencing token.

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
