//! The operators' side.

pub mod console;
