//! Settings and configurations: declared, read and checked.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
