//! The client side of the gateway.

pub mod frontend;
