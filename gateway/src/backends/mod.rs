//! The backends' side: the list of them, and the connections to them.

pub mod list;
pub mod pool;
