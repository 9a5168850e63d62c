//! The backend side of the gateway: the list of backends and the protocol spoken with them.

pub mod list;
pub mod pool;
