//! State that outlives a process: the handover to the next process, and detached backends.

pub mod detached;
pub mod handover;
