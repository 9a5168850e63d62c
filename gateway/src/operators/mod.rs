//! The operator side of the gateway.

pub mod console;
