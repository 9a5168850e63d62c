//! Coordination of a group of processes. A few processes are voters and run Raft. Every process is a member: it holds
//! a session, and through the session duties. A duty is a named role that at most one session holds at a time. The
//! crate does not interpret what a duty is for.
//!
//! The guarantees are documented where they are enforced: unique holders by fencing tokens in [`state_machine`],
//! unique holders by time in [`lease`], and durable state in [`store`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
pub mod lease;
pub mod member;
pub mod run;
pub mod state_machine;
pub mod store;
pub mod voter;
pub mod wire;
