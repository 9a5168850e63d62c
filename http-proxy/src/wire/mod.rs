//! HTTP bodies and client connections to servers.

pub mod body;
pub mod connection;
