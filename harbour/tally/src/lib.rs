//! Counts of tenants and the lease caches that draw on them: state machines without I/O or clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
