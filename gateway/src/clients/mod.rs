//! The clients' side.

pub mod frontend;
