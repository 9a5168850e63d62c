//! What outlives a process: what it hands over to the next, and what operators took out.

pub mod detached;
pub mod handover;
