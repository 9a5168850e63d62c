//! Bytes: bodies that are held or streamed, and a connection that carries requests.

pub mod body;
pub mod connection;
