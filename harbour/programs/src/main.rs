//! The programs of the system.

#![forbid(unsafe_code)]

fn main() {}
