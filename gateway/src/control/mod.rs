//! Where the decisions are asked, and what tells them of the world: configuration, discovery, counter.

pub mod config;
pub mod counter;
pub mod discovery;
pub mod engine;
