//! The elected log of control changes: a state machine without I/O or clock, and its disk.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
