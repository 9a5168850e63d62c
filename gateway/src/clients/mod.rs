//! The clients' side.

pub mod front;
