//! The data plane of the system: takes requests in and carries them to backends.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
