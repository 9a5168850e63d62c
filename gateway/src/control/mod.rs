//! The decision engine and its inputs: configuration, discovery and the shared counter.

pub mod config;
pub mod counter;
pub mod discovery;
pub mod engine;
